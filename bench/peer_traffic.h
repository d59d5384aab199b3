#ifndef DFF_BENCH_PEER_TRAFFIC_H
#define DFF_BENCH_PEER_TRAFFIC_H

#include <stdbool.h>
#include <stdint.h>

#include "tests/peer/fake_transport.h"

/* Traffic of membership and the pool file, counted in a network in memory under a virtual clock. */

/** Per process and second, sent and received together; means over all processes. */
struct peer_traffic {
	double messages;
	/** Of payload. */
	double bytes;
	/** With what CURVE, ZMTP, TCP and IP add. */
	double wire_bytes;
	/** The busiest process's. */
	double wire_bytes_worst;
};

/** Returns: (transfer full): a network of that many processes that know each other and of which the
 * first holds the cell. */
struct fake_network *peer_traffic_network (int32_t n_nodes);

/**
 * peer_traffic_measure:
 * @n_changes: pool files applied, spread over the time
 * @seconds: of virtual time
 */
struct peer_traffic
peer_traffic_measure (struct fake_network *network, int32_t n_changes, int32_t seconds);

/**
 * peer_traffic_grants:
 * @n_workers: in the set of each member, which does not change
 *
 * Sends every other process its grants in the daemon's interval.
 *
 * Returns: wire bytes/s that the holder sends for grants.
 */
double peer_traffic_grants (struct fake_network *network, int32_t n_workers, int32_t seconds);

#endif
