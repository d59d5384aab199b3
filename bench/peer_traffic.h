#ifndef DFF_BENCH_PEER_TRAFFIC_H
#define DFF_BENCH_PEER_TRAFFIC_H

#include <stdbool.h>
#include <stdint.h>

#include "tests/peer/fake_transport.h"

/* Traffic of membership and the pool file in an in-memory network under a virtual clock. */

/** Traffic per process and second, sent and received together; mean over all processes. */
struct peer_traffic {
	double messages;
	/** Payload bytes. */
	double bytes;
	/** Bytes including the overhead of CURVE, ZMTP, TCP and IP. */
	double wire_bytes;
	/** Wire bytes of the process with the most traffic. */
	double wire_bytes_worst;
};

/** Returns: (transfer full): a network of @n_nodes peers; the first holds the cell. */
struct fake_network *peer_traffic_network (int32_t n_nodes);

/**
 * peer_traffic_measure:
 * @n_changes: number of pool files applied, spread over the time
 * @seconds: length, virtual time
 */
struct peer_traffic
peer_traffic_measure (struct fake_network *network, int32_t n_changes, int32_t seconds);

/**
 * peer_traffic_grants:
 * @n_workers: number of workers in the unchanged set of each member
 *
 * Sends grants to every other process at the daemon's interval.
 *
 * Returns: wire bytes/s that the holder sends for grants.
 */
double peer_traffic_grants (struct fake_network *network, int32_t n_workers, int32_t seconds);

#endif
