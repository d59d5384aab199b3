#include "fake_transport.h"

#include <string.h>

struct packet {
	int64_t arrives_ms;
	uint64_t number;
	int32_t to;
	GBytes *bytes;
};

static void
packet_free (gpointer data)
{
	struct packet *packet = data;
	g_bytes_unref (packet->bytes);
	g_free (packet);
}

static int
compare_packets (gconstpointer a, gconstpointer b, gpointer user)
{
	(void)user;
	const struct packet *left = a;
	const struct packet *right = b;
	if (left->arrives_ms != right->arrives_ms)
		return left->arrives_ms < right->arrives_ms ? -1 : 1;
	return left->number < right->number ? -1 : left->number > right->number;
}

static bool
chance (struct fake_network *network, int32_t percent)
{
	return g_rand_int_range (network->random, 0, 100) < percent;
}

static void
post (struct fake_network *network, int32_t to, GBytes *bytes)
{
	int32_t delay_ms = g_rand_int_range (network->random, network->min_delay_ms,
					     network->max_delay_ms + 1);
	struct packet *packet = g_new0 (struct packet, 1);
	packet->arrives_ms = network->clock.now_ms + delay_ms;
	packet->number = network->n_packets++;
	packet->to = to;
	packet->bytes = g_bytes_ref (bytes);
	g_sequence_insert_sorted (network->packets, packet, compare_packets, NULL);
}

static void
fake_send (void *ctx, const struct dff_instance *member, const uint8_t *data, size_t len)
{
	struct fake_node *from = ctx;
	struct fake_network *network = from->network;
	int32_t to = 0;
	while (!dff_name_equal (&network->nodes[to].instance.id, &member->id))
		to++;
	int32_t index = (int32_t)(from - network->nodes);
	if (network->cut[index * network->n_nodes + to] || chance (network, network->loss))
		return;
	g_autoptr (GBytes) bytes = g_bytes_new (data, len);
	post (network, to, bytes);
	if (chance (network, network->repeat))
		post (network, to, bytes);
}

static void
pool_received (void *ctx, int64_t generation, int64_t revision, struct dff_str text)
{
	struct fake_node *node = ctx;
	g_assert (text.len > 0);
	if (generation <= node->generation)
		node->generation_went_back = true;
	node->generation = generation;
	node->pool_revision = revision;
	dff_peer_set_pool (node->peer, generation, revision, text);
}

static void
job_hint (void *ctx, const struct dff_name *job)
{
	(void)job;
	((struct fake_node *)ctx)->hints++;
}

static void
job_ended (void *ctx, const struct dff_name *job, enum dff_outcome outcome)
{
	(void)job;
	((struct fake_node *)ctx)->ended++;
	((struct fake_node *)ctx)->ended_outcome = outcome;
}

static void
job_watch (void *ctx, const struct dff_name *watcher, const struct dff_name *job)
{
	struct fake_node *node = ctx;
	node->watches++;
	dff_peer_send_job_ended (node->peer, watcher, job, DFF_OUTCOME_COMPLETED);
}

static void
worker_report (void *ctx, const struct dff_worker_report *worker_report)
{
	((struct fake_node *)ctx)->worker_reports++;
	((struct fake_node *)ctx)->complete_reports += worker_report->complete;
	((struct fake_node *)ctx)->leaving_reports += worker_report->leaving;
	((struct fake_node *)ctx)->task_reports += (int64_t)worker_report->n_reports;
}

static void
grants_received (
	void *ctx, int64_t epoch, const struct dff_grant *grants, size_t n_grants, int32_t valid_ms)
{
	struct fake_node *node = ctx;
	node->grant_sets++;
	node->grants_epoch = epoch;
	node->grants_expire_ms = node->network->clock.now_ms + valid_ms;
	node->granted_slots = 0;
	for (size_t i = 0; i < n_grants; i++)
		node->granted_slots += grants[i].slots;
}

static void
members_changed (void *ctx)
{
	((struct fake_node *)ctx)->members_changed++;
}

static void
set_up_node (struct fake_network *network, int32_t index, int32_t n_data_centres)
{
	struct fake_node *node = &network->nodes[index];
	node->network = network;
	node->metrics = dff_metrics_new ();
	node->instance.id = dff_name_printf ("entry-%d", index);
	node->instance.role = DFF_INSTANCE_ENTRY;
	node->instance.data_centre = dff_name_printf ("dc-%d", index % n_data_centres);
	node->instance.region = dff_name_from ("region");
	node->instance.peer_address = dff_name_printf ("10.0.0.%d:1", index);
	g_queue_init (&node->inbox);
}

struct fake_network *
fake_network_new (uint64_t seed, int32_t n_nodes, int32_t n_data_centres)
{
	struct fake_network *network = g_new0 (struct fake_network, 1);
	dff_clock_virtual_init (&network->clock, 1000000);
	network->random = g_rand_new_with_seed ((guint32)seed);
	dff_peer_options_init (&network->template);
	network->n_nodes = n_nodes;
	network->nodes = g_new0 (struct fake_node, n_nodes);
	network->cut = g_new0 (bool, n_nodes *n_nodes);
	network->packets = g_sequence_new (packet_free);
	network->tick_ms = 100;
	network->min_delay_ms = 1;
	network->max_delay_ms = 1;
	for (int32_t i = 0; i < n_nodes; i++)
		set_up_node (network, i, n_data_centres);
	return network;
}

static void
clear_inbox (struct fake_node *node)
{
	g_queue_clear_full (&node->inbox, (GDestroyNotify)g_bytes_unref);
}

void
fake_network_free (struct fake_network *network)
{
	for (int32_t i = 0; i < network->n_nodes; i++) {
		fake_node_kill (&network->nodes[i]);
		dff_metrics_free (network->nodes[i].metrics);
	}
	g_sequence_free (network->packets);
	g_rand_free (network->random);
	g_free (network->cut);
	g_free (network->nodes);
	g_free (network);
}

void
fake_node_start (struct fake_node *node)
{
	struct fake_network *network = node->network;
	struct dff_peer_options options = network->template;
	options.self = node->instance;
	options.clock = &network->clock.clock;
	options.metrics = node->metrics;
	options.seed = ++network->n_starts * 7919 + g_rand_int (network->random);
	options.transport.send = fake_send;
	options.transport.ctx = node;
	options.callbacks.pool_received = pool_received;
	options.callbacks.job_hint = job_hint;
	options.callbacks.job_ended = job_ended;
	options.callbacks.job_watch = job_watch;
	options.callbacks.worker_report = worker_report;
	options.callbacks.grants_received = grants_received;
	options.callbacks.members_changed = members_changed;
	options.callbacks.ctx = node;
	node->generation = 0;
	node->paused = false;
	node->peer = dff_peer_new (&options);
}

void
fake_node_kill (struct fake_node *node)
{
	g_clear_pointer (&node->peer, dff_peer_free);
	node->paused = false;
	clear_inbox (node);
}

void
fake_node_resume (struct fake_node *node)
{
	node->paused = false;
	GBytes *bytes;
	while ((bytes = g_queue_pop_head (&node->inbox)) != NULL) {
		dff_peer_receive (node->peer, g_bytes_get_data (bytes, NULL),
				  g_bytes_get_size (bytes));
		g_bytes_unref (bytes);
	}
}

void
fake_node_apply (struct fake_node *node, int64_t generation)
{
	g_autofree char *text = g_strdup_printf ("pool %" G_GINT64_FORMAT, generation);
	node->generation = generation;
	dff_peer_set_pool (node->peer, generation, generation * 10, dff_str_from (text));
}

void
fake_network_list (struct fake_network *network, uint64_t absent)
{
	g_autoptr (GArray) list = g_array_new (FALSE, FALSE, sizeof (struct dff_instance));
	for (int32_t i = 0; i < network->n_nodes; i++) {
		if (i >= 64 || (absent >> i & 1) == 0)
			g_array_append_val (list, network->nodes[i].instance);
	}
	for (int32_t i = 0; i < network->n_nodes; i++) {
		if (network->nodes[i].peer != NULL)
			dff_peer_set_instances (network->nodes[i].peer,
						(const struct dff_instance *)list->data, list->len);
	}
}

void
fake_network_set_cut (struct fake_network *network, int32_t from, int32_t to, bool cut)
{
	network->cut[from * network->n_nodes + to] = cut;
}

static void
deliver (struct fake_network *network, const struct packet *packet)
{
	struct fake_node *node = &network->nodes[packet->to];
	if (node->peer == NULL)
		return;
	if (node->paused) {
		g_queue_push_tail (&node->inbox, g_bytes_ref (packet->bytes));
		return;
	}
	gsize size;
	const uint8_t *data = g_bytes_get_data (packet->bytes, &size);
	dff_peer_receive (node->peer, data, size);
}

static void
deliver_until (struct fake_network *network, int64_t until_ms)
{
	while (!g_sequence_is_empty (network->packets)) {
		GSequenceIter *first = g_sequence_get_begin_iter (network->packets);
		struct packet *packet = g_sequence_get (first);
		if (packet->arrives_ms > until_ms)
			break;
		network->clock.now_ms = MAX (network->clock.now_ms, packet->arrives_ms);
		deliver (network, packet);
		g_sequence_remove (first);
	}
	network->clock.now_ms = until_ms;
}

void
fake_network_run (struct fake_network *network, int64_t ms)
{
	int64_t end_ms = network->clock.now_ms + ms;
	while (network->clock.now_ms < end_ms) {
		deliver_until (network, MIN (network->clock.now_ms + network->tick_ms, end_ms));
		for (int32_t i = 0; i < network->n_nodes; i++) {
			struct fake_node *node = &network->nodes[i];
			if (node->peer != NULL && !node->paused)
				dff_peer_tick (node->peer);
		}
	}
}

enum dff_member_state
fake_node_state_of (struct fake_node *node, const struct fake_node *other)
{
	const GArray *members = dff_peer_members (node->peer);
	for (guint i = 0; i < members->len; i++) {
		const struct dff_member *member = &g_array_index (members, struct dff_member, i);
		if (dff_name_equal (&member->instance.id, &other->instance.id))
			return member->state;
	}
	return DFF_MEMBER_DEAD;
}
