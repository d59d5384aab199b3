#ifndef DFF_DAEMON_ISOLATION_H
#define DFF_DAEMON_ISOLATION_H

#include <stdbool.h>
#include <stdint.h>

/* Whether a process is cut off from everybody who could tell it of a new pool file. Pure. */

/** Monotonic times, ms. */
struct dff_isolation {
	int64_t started_ms;
	/** Last answer of the store; 0: none since the start. */
	int64_t store_ms;
	/** Whether any other process is known. */
	bool has_peers;
	/** When another process was heard last; 0: none since the start. */
	int64_t peer_ms;
	/** Longest silence that is in order, ms. */
	int64_t timeout_ms;
};

/**
 * dff_is_isolated:
 *
 * Returns: whether store and peers have both been silent for longer than is in order. Silence
 * counts from the start at the earliest; without peers the store alone counts.
 */
bool dff_is_isolated (const struct dff_isolation *isolation, int64_t now_ms);

#endif
