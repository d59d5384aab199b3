#ifndef DFF_DAEMON_ISOLATION_H
#define DFF_DAEMON_ISOLATION_H

#include <stdbool.h>
#include <stdint.h>

/* Whether a process is isolated from all sources of a new pool file. Pure function. */

/** Monotonic times, ms. */
struct dff_isolation {
	int64_t started_ms;
	/** Time of the store's last answer; 0: none since the start. */
	int64_t store_ms;
	/** Whether other processes are known. */
	bool has_peers;
	/** Time of the last heartbeat of another process; 0: none since the start. */
	int64_t peer_ms;
	/** Time without an answer after which a source counts as lost, ms. */
	int64_t timeout_ms;
};

/**
 * dff_is_isolated:
 *
 * Returns: whether neither store nor peers have answered for longer than the timeout, which counts
 * from the start of the process at the earliest. Without peers, only the store counts.
 */
bool dff_is_isolated (const struct dff_isolation *isolation, int64_t now_ms);

#endif
