#include "bench/peer_traffic.h"

#define SETTLE_MS 60000
#define TICK_MS 50
#define DATA_CENTRES 3

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
