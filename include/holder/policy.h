#ifndef DFF_HOLDER_POLICY_H
#define DFF_HOLDER_POLICY_H

#include "core/core.h"

/* Options of the decision core for the holder: tasks here run for seconds, not hours. Separate
 * from the holder so that benchmarks and tests use the same options, and can switch off one
 * mechanism. */

/**
 * dff_policy_core_options:
 * @options: (out): all but the seed and the waits for racks and data, which are the platform's
 * @gang_wait_ms: longest wait of a gang's members for each other at a worker, ms
 */
void dff_policy_core_options (struct dff_core_options *options, int32_t gang_wait_ms);

/** Blame points of a task whose worker ended while the task ran there. */
enum dff_policy_blame {
	/** The task had been seen running there, or it is not known whether the worker has ended.
	 */
	DFF_POLICY_BLAME_RUNNING = 1,
	/** Nothing was received from the worker after the task started there. */
	DFF_POLICY_BLAME_STARTUP = 2,
	/** Limit at which the task's job fails: after the third worker that ends while it starts
	 * the task, and after the fifth worker in any case. */
	DFF_POLICY_BLAME_LIMIT = 5,
};

/** Returns: the weight of a unit in the core's order. @n_units: number of units of its step; 1 for
 * a gang. */
double dff_policy_weight (int32_t priority, int32_t n_units);

#endif
