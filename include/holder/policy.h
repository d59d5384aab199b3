#ifndef DFF_HOLDER_POLICY_H
#define DFF_HOLDER_POLICY_H

#include "core/core.h"

/* What a holder asks of the decision core: tasks here run for seconds, not hours. Apart from the
 * holder, so that benches and tests play loads with the same, and switch a mechanism off. */

/**
 * dff_policy_core_options:
 * @options: (out): all but the seed and the waits for racks and data, which are the platform's
 * @gang_wait_ms: longest wait of a gang's members for each other at a worker, ms
 */
void dff_policy_core_options (struct dff_core_options *options, int32_t gang_wait_ms);

/** Points against a task for a worker that ended while it ran there. */
enum dff_policy_blame {
	/** It had been seen at work there, or nobody knows whether the worker ended. */
	DFF_POLICY_BLAME_RUNNING = 1,
	/** Nothing was heard of the worker since it was started there. */
	DFF_POLICY_BLAME_STARTUP = 2,
	/** It is given up: after the third worker that ends as it starts, and after the fifth in
	 * any case. */
	DFF_POLICY_BLAME_LIMIT = 5,
};

/** Returns: the weight of a unit in the core's order. @n_units: units of its step, 1 for a gang. */
double dff_policy_weight (int32_t priority, int32_t n_units);

#endif
