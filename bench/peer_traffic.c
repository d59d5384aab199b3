#include "bench/peer_traffic.h"

#define SETTLE_MS 60000
#define TICK_MS 50
#define DATA_CENTRES 3
/* As in daemon/daemon.c and daemon/shares.c. */
#define GRANT_INTERVAL_S 2
#define GRANT_VALID_MS 10000

/** Overhead of a message on a CURVE connection over TCP and IP, in bytes: CURVE message frame 33,
 * ZMTP 2, TCP and IP headers with time stamps 52, and 52 for an acknowledgement. */
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

struct fake_network *
peer_traffic_network (int32_t n_nodes)
{
	struct fake_network *network = fake_network_new (1, n_nodes, DATA_CENTRES);
	network->tick_ms = TICK_MS;
	for (int32_t i = 0; i < n_nodes; i++)
		fake_node_start (&network->nodes[i]);
	fake_network_list (network, 0);
	fake_network_run (network, SETTLE_MS);
	dff_peer_set_state (network->nodes[0].peer, true, false, 1);
	fake_network_run (network, SETTLE_MS);
	return network;
}

static struct peer_traffic
traffic_between (const struct fake_network *network,
		 const struct traffic *before,
		 const struct traffic *after,
		 int32_t seconds)
{
	struct peer_traffic mean = {0};
	for (int32_t i = 0; i < network->n_nodes; i++) {
		double messages = (double)(after[i].messages - before[i].messages) / seconds;
		double bytes = (double)(after[i].bytes - before[i].bytes) / seconds;
		double wire_bytes = bytes + messages * OVERHEAD;
		mean.messages += messages / network->n_nodes;
		mean.bytes += bytes / network->n_nodes;
		mean.wire_bytes += wire_bytes / network->n_nodes;
		mean.wire_bytes_worst = MAX (mean.wire_bytes_worst, wire_bytes);
	}
	return mean;
}

struct peer_traffic
peer_traffic_measure (struct fake_network *network, int32_t n_changes, int32_t seconds)
{
	struct traffic *before = g_new0 (struct traffic, network->n_nodes);
	struct traffic *after = g_new0 (struct traffic, network->n_nodes);
	int32_t n_changed = 0;
	snapshot (network, before);
	for (int32_t second = 0; second < seconds; second++) {
		if (n_changed < n_changes && second >= n_changed * (seconds / n_changes))
			fake_node_apply (&network->nodes[1], ++n_changed);
		fake_network_run (network, 1000);
	}
	snapshot (network, after);
	struct peer_traffic mean = traffic_between (network, before, after, seconds);
	g_free (before);
	g_free (after);
	return mean;
}

static double
send_grants (struct fake_network *network, int32_t to, const GArray *grants)
{
	struct fake_node *holder = &network->nodes[0];
	struct traffic before = sent_by (holder);
	dff_peer_send_grants (holder->peer, &network->nodes[to].instance.id, 1,
			      (const struct dff_grant *)(void *)grants->data, grants->len,
			      GRANT_VALID_MS);
	struct traffic after = sent_by (holder);
	return (double)(after.bytes - before.bytes + (after.messages - before.messages) * OVERHEAD);
}

double
peer_traffic_grants (struct fake_network *network, int32_t n_workers, int32_t seconds)
{
	g_autoptr (GArray) grants = g_array_new (FALSE, TRUE, sizeof (struct dff_grant));
	for (int i = 0; i < n_workers; i++) {
		struct dff_grant grant = {dff_name_printf ("r%d-w%d", i / 8 + 1, i % 8 + 1), 1};
		g_array_append_val (grants, grant);
	}
	double bytes = 0;
	for (int32_t second = 0; second < seconds; second += GRANT_INTERVAL_S) {
		for (int32_t to = 1; to < network->n_nodes; to++)
			bytes += send_grants (network, to, grants);
		fake_network_run (network, GRANT_INTERVAL_S * (int64_t)1000);
	}
	return bytes / seconds;
}
