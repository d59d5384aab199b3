#ifndef DFF_BENCH_MEASURE_H
#define DFF_BENCH_MEASURE_H

#include <glib.h>
#include <jansson.h>

#include "bench/job_run.h"

/* Figures of a replay. docs/SESSIONS.md defines each. */

struct dff_measure_input {
	const GArray *jobs; /**< Elements: struct dff_job_run. */
	/** Accelerators declared in the pool. */
	int64_t accelerators;
	/** Mean fragmentation over the time in which a whole unit was free. */
	double fragmentation;
	/** Work done and lost, accelerator-milliseconds. */
	int64_t lost_work_ms;
	int64_t guarantee_wait_max_ms;
	int64_t guarantee_violations;
	/** Violations by the policy: accelerators leased twice, members run alone. */
	int64_t rule_violations;
	const GArray *tick_us; /**< Elements: double. */
	int64_t decisions;
	double policy_seconds;
};

/** Returns: (transfer full): the JSON object that bench/policy prints. */
json_t *dff_measure_report (const struct dff_measure_input *input);

#endif
