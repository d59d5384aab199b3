#ifndef DFF_DAEMON_DRAIN_STEP_H
#define DFF_DAEMON_DRAIN_STEP_H

#include <stdbool.h>
#include <stdint.h>

/* Next step of a process that is being stopped. Pure functions. */

enum dff_drain_step {
	DFF_DRAIN_WAIT,
	/** No work is in flight: the process may exit. */
	DFF_DRAIN_END,
	/** The time limit has passed: work in flight is aborted. */
	DFF_DRAIN_ABORT,
};

struct dff_drain_times {
	/** Time since the stop was requested, ms. */
	int64_t elapsed_ms;
	/** Time during which the load balancer may still send work, ms. */
	int32_t grace_ms;
	/** Time limit, ms; 0: none. */
	int32_t timeout_ms;
};

/** Returns: whether new work is refused. Before that, the process is unready but accepts work. */
bool dff_drain_refuses (const struct dff_drain_times *times);

/**
 * dff_drain_next:
 * @idle: whether new work is refused, no work is in flight and the cell's lease is released
 */
enum dff_drain_step dff_drain_next (const struct dff_drain_times *times, bool idle);

#endif
