#ifndef DFF_BENCH_LOAD_JOBS_H
#define DFF_BENCH_LOAD_JOBS_H

#include "bench/load/load.h"

/* Jobs of a load with their arrival times, determined by the seed alone. */

struct load_job {
	size_t class_index;
	int32_t team;
	int64_t arrives_ms;
	int32_t width;
	int32_t accelerators;
	int64_t run_ms;
	int64_t declared_ms;
	bool one_rack;
	bool checkpoint;
	/** The first @failing_runs runs fail, after the share @fails_after of their run time. */
	int32_t failing_runs;
	double fails_after;
};

/** Returns: (transfer full): the jobs in the order in which they arrive. Elements: struct load_job.
 */
GArray *load_jobs_new (const struct dff_load *load);

#endif
