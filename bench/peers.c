/* Traffic of membership and the pool file against the number of processes, and the time until all
 * processes have detected a death or received a pool file. All peers run in this process over an
 * in-memory network under a virtual clock, so the figures are the same in every run. Writes CSV. */

#include <stdio.h>

#include "bench/peer_traffic.h"

#define MEASURE_S 60
/** Changes per measurement: at least one every 28 s, as at the design size. */
#define N_CHANGES 3
#define N_DEATHS 10
#define TICK_MS 50

static void
measure_traffic (int32_t n_nodes, bool changes)
{
	DFF_AUTO (fake_network) network = peer_traffic_network (n_nodes);
	struct peer_traffic mean =
		peer_traffic_measure (network, changes ? N_CHANGES : 0, MEASURE_S);
	printf ("%s,%d,%.1f,%.0f,%.0f,%.0f\n", changes ? "pool_changes" : "idle", n_nodes,
		mean.messages, mean.bytes, mean.wire_bytes, mean.wire_bytes_worst);
}

static bool
all_peers_detected_death (struct fake_network *network, int32_t dead)
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
all_peers_have (const struct fake_network *network, int64_t generation)
{
	for (int32_t i = 0; i < network->n_nodes; i++) {
		if (network->nodes[i].peer != NULL && network->nodes[i].generation != generation)
			return false;
	}
	return true;
}

/* Measures the longest time over several deaths and pool files, ms of virtual time. */
static void
measure_times (int32_t n_nodes, int32_t loss)
{
	DFF_AUTO (fake_network) network = peer_traffic_network (n_nodes);
	network->loss = loss;
	int64_t worst_death_ms = 0;
	int64_t worst_pool_ms = 0;
	int32_t n_deaths = MIN (N_DEATHS, n_nodes - 3);
	for (int32_t i = 1; i <= n_deaths; i++) {
		int64_t from_ms = network->clock.now_ms;
		fake_node_apply (&network->nodes[i], i);
		while (!all_peers_have (network, i))
			fake_network_run (network, TICK_MS);
		worst_pool_ms = MAX (worst_pool_ms, network->clock.now_ms - from_ms);
		from_ms = network->clock.now_ms;
		fake_node_kill (&network->nodes[i]);
		while (!all_peers_detected_death (network, i))
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
