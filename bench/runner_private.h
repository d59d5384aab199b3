#ifndef DFF_BENCH_RUNNER_PRIVATE_H
#define DFF_BENCH_RUNNER_PRIVATE_H

#include "bench/runner.h"

static inline struct dff_runner_worker *
dff_runner_worker_at (const struct dff_runner *runner, int32_t index)
{
	return &g_array_index (runner->workers, struct dff_runner_worker, index);
}

static inline struct dff_job_run *
dff_runner_job_at (const struct dff_runner *runner, uint32_t index)
{
	return &g_array_index (runner->jobs, struct dff_job_run, index);
}

/** Returns: index of the worker; -1: unknown name. */
int32_t dff_runner_find_worker (const struct dff_runner *runner, const struct dff_name *name);

/** Updates the worker's free accelerators in the fragmentation. */
void dff_runner_count_worker (struct dff_runner *runner, struct dff_runner_worker *worker);

/** Queues an answer about a member or, with member 0, about the attempt. */
void dff_runner_answer (struct dff_runner *runner,
			enum dff_answer_type type,
			uint32_t job,
			int32_t member,
			int64_t time_ms);

/** Marks the attempt as broken: members no longer advance together, and further work is lost. */
void dff_runner_job_break (struct dff_job_run *job, int64_t now_ms);

#endif
