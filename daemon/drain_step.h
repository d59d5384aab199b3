#ifndef DFF_DAEMON_DRAIN_STEP_H
#define DFF_DAEMON_DRAIN_STEP_H

#include <stdbool.h>
#include <stdint.h>

/* What a process that is being stopped does next. Pure. */

enum dff_drain_step {
	DFF_DRAIN_WAIT,
	/** Nothing is in flight: the process may end. */
	DFF_DRAIN_END,
	/** The time limit is over: what is in flight is cut off. */
	DFF_DRAIN_ABORT,
};

struct dff_drain_times {
	/** Time since the stop was asked for, ms. */
	int64_t elapsed_ms;
	/** Time in which the balancer may still send work, ms. */
	int32_t grace_ms;
	/** Time limit, ms; 0: none. */
	int32_t timeout_ms;
};

/** Returns: whether new work is refused; before, the process is unready and takes what still comes.
 */
bool dff_drain_refuses (const struct dff_drain_times *times);

/**
 * dff_drain_next:
 * @idle: whether new work is refused, nothing is in flight and the cell has been given back
 */
enum dff_drain_step dff_drain_next (const struct dff_drain_times *times, bool idle);

#endif
