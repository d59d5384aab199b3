/* Traffic of membership and the pool file against the number of processes, and how long a death and
 * a pool file take to be known everywhere. Peers of all processes run in this one over a network in
 * memory under a virtual clock, so the figures are counts and the same in every run. Writes CSV. */

#include <stdio.h>

#include "tests/peer/fake_transport.h"

#define SETTLE_MS 60000
#define MEASURE_S 60
#define CHANGE_S 28
#define N_DEATHS 10
#define TICK_MS 50

/** What a message costs beyond its payload on a CURVE connection over TCP and IP, in bytes: CURVE's
 * message frame 33, ZMTP 2, TCP and IP with time stamps 52, and as much for an acknowledgement. */
#define OVERHEAD (33 + 2 + 52 + 52)

struct traffic {
	int64_t messages;
	int64_t bytes;
};

static struct traffic
received_by (struct fake_node *node)
{
	struct traffic traffic = {
		.messages = *dff_metrics_counter (node->metrics, "dff_peer_received_total", ""),
		.bytes = *dff_metrics_counter (node->metrics, "dff_peer_received_bytes_total", ""),
	};
	return traffic;
}

static struct traffic
sent_by (struct fake_node *node)
{
	struct traffic traffic = {
		.messages = *dff_metrics_counter (node->metrics, "dff_peer_sent_total", ""),
		.bytes = *dff_metrics_counter (node->metrics, "dff_peer_sent_bytes_total", ""),
	};
	return traffic;
}

static void
snapshot (struct fake_network *network, struct traffic *traffic)
{
	for (int32_t i = 0; i < network->n_nodes; i++) {
		struct traffic sent = sent_by (&network->nodes[i]);
		struct traffic received = received_by (&network->nodes[i]);
		traffic[i].messages = sent.messages + received.messages;
		traffic[i].bytes = sent.bytes + received.bytes;
	}
}

static struct fake_network *
started (int32_t n_nodes)
{
	struct fake_network *network = fake_network_new (1, n_nodes, 3);
	network->tick_ms = TICK_MS;
	for (int32_t i = 0; i < n_nodes; i++)
		fake_node_start (&network->nodes[i]);
	fake_network_list (network, 0);
	fake_network_run (network, SETTLE_MS);
	dff_peer_set_state (network->nodes[0].peer, true, false, 1);
	fake_network_run (network, SETTLE_MS);
	return network;
}

/* Both directions together, for each process and second. */
static void
print_traffic (const char *what,
	       const struct fake_network *network,
	       const struct traffic *before,
	       const struct traffic *after)
{
	double messages = 0;
	double bytes = 0;
	double wire_max = 0;
	double wire = 0;
	for (int32_t i = 0; i < network->n_nodes; i++) {
		double own_messages = (double)(after[i].messages - before[i].messages) / MEASURE_S;
		double own_bytes = (double)(after[i].bytes - before[i].bytes) / MEASURE_S;
		double own_wire = own_bytes + own_messages * OVERHEAD;
		messages += own_messages / network->n_nodes;
		bytes += own_bytes / network->n_nodes;
		wire += own_wire / network->n_nodes;
		wire_max = MAX (wire_max, own_wire);
	}
	printf ("%s,%d,%.1f,%.0f,%.0f,%.0f\n", what, network->n_nodes, messages, bytes, wire,
		wire_max);
}

static void
measure_traffic (int32_t n_nodes, bool changes)
{
	DFF_AUTO (fake_network) network = started (n_nodes);
	g_autofree struct traffic *before = g_new0 (struct traffic, n_nodes);
	g_autofree struct traffic *after = g_new0 (struct traffic, n_nodes);
	snapshot (network, before);
	for (int second = 0; second < MEASURE_S; second++) {
		if (changes && second % CHANGE_S == 0)
			fake_node_apply (&network->nodes[1], second + 1);
		fake_network_run (network, 1000);
	}
	snapshot (network, after);
	print_traffic (changes ? "pool_changes" : "idle", network, before, after);
}

static bool
everybody_knows_death (struct fake_network *network, int32_t dead)
{
	for (int32_t i = 0; i < network->n_nodes; i++) {
		struct fake_node *node = &network->nodes[i];
		if (node->peer == NULL)
			continue;
		if (fake_node_state_of (node, &network->nodes[dead]) != DFF_MEMBER_DEAD)
			return false;
	}
	return true;
}

static bool
everybody_has (const struct fake_network *network, int64_t generation)
{
	for (int32_t i = 0; i < network->n_nodes; i++) {
		if (network->nodes[i].peer != NULL && network->nodes[i].generation != generation)
			return false;
	}
	return true;
}

/* Worst of several deaths and pool files, in ms of virtual time. */
static void
measure_times (int32_t n_nodes, int32_t loss)
{
	DFF_AUTO (fake_network) network = started (n_nodes);
	network->loss = loss;
	int64_t worst_death_ms = 0;
	int64_t worst_pool_ms = 0;
	int32_t n_deaths = MIN (N_DEATHS, n_nodes - 3);
	for (int32_t i = 1; i <= n_deaths; i++) {
		int64_t from_ms = network->clock.now_ms;
		fake_node_apply (&network->nodes[i], i);
		while (!everybody_has (network, i))
			fake_network_run (network, TICK_MS);
		worst_pool_ms = MAX (worst_pool_ms, network->clock.now_ms - from_ms);
		from_ms = network->clock.now_ms;
		fake_node_kill (&network->nodes[i]);
		while (!everybody_knows_death (network, i))
			fake_network_run (network, TICK_MS);
		worst_death_ms = MAX (worst_death_ms, network->clock.now_ms - from_ms);
	}
	printf ("%d,%d,%d,%" G_GINT64_FORMAT ",%" G_GINT64_FORMAT "\n", n_nodes, loss, n_deaths,
		worst_pool_ms, worst_death_ms);
}

int
main (void)
{
	static const int32_t sizes[] = {9, 30, 90, 160};
	printf ("scenario,processes,messages_per_s,payload_bytes_per_s,wire_bytes_per_s,"
		"wire_bytes_per_s_worst\n");
	for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++) {
		measure_traffic (sizes[i], false);
		measure_traffic (sizes[i], true);
	}
	printf ("\nprocesses,loss_percent,rounds,pool_in_force_worst_ms,death_known_worst_ms\n");
	for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++) {
		measure_times (sizes[i], 0);
		measure_times (sizes[i], 20);
	}
	return 0;
}
