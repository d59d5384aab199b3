#include "core/core_private.h"

/* Placement of jobs that may crash their workers. Such a job is placed in isolation: where least
 * else runs, and at most one such job on trial per worker. Where there is another place, no new job
 * is placed beside it until the worker has survived its start. Guards against blaming the wrong
 * jobs: all jobs lost with one worker are placed again at the same moment, and so together. Jobs
 * that run beside the crashing job when the next worker crashes would get blame points too, and
 * would be ended with it. */

/** Time after its start for which an isolated job is on trial, ms. By then the silence of a crashed
 * worker has been noticed. */
#define TRIAL_MS 1500
/** Sorts workers with a job on trial after all others. */
#define BESIDE_TRIAL (1 << 28)

void
dff_core_job_set_blame (struct dff_core *core, struct dff_core_job *job, int32_t blame)
{
	core->n_isolated -= dff_core_job_is_isolated (core, job);
	job->blame = (int8_t)CLAMP (blame, 0, INT8_MAX);
	core->n_isolated += dff_core_job_is_isolated (core, job);
}

bool
dff_core_job_is_isolated (const struct dff_core *core, const struct dff_core_job *job)
{
	return core->options.isolation_blame > 0 && job->blame >= core->options.isolation_blame;
}

static bool
is_on_trial (const struct dff_core *core, const struct dff_core_job *job)
{
	if (!dff_core_job_is_isolated (core, job))
		return false;
	return job->state != DFF_CORE_RUNNING || core->now_ms - job->started_ms < TRIAL_MS;
}

static bool
has_trial (const struct dff_core *core, const struct dff_core_worker *worker)
{
	for (guint i = 0; i < worker->occupants->len; i++) {
		if (is_on_trial (core, g_ptr_array_index (worker->occupants, i)))
			return true;
	}
	return false;
}

bool
dff_core_isolation_allows (const struct dff_core *core,
			   const struct dff_core_worker *worker,
			   const struct dff_core_job *job)
{
	return !dff_core_job_is_isolated (core, job) || !has_trial (core, worker);
}

int32_t
dff_core_isolation_order (const struct dff_core *core,
			  const struct dff_core_worker *worker,
			  const struct dff_core_job *job,
			  int32_t left)
{
	if (core->n_isolated == 0)
		return left;
	if (dff_core_job_is_isolated (core, job))
		return -left;
	return has_trial (core, worker) ? left + BESIDE_TRIAL : left;
}
