#include "core/core_private.h"

#include <math.h>

/* How fast workers are. Nobody tells; single tasks do, whose run times are predicted: how much longer
 * than predicted they take on a worker is averaged. A gang runs at the pace of its slowest member and
 * tells nothing of the others.
 *
 * Symptom without this: urgent gangs that had to wait for a stop are late, though half of their run
 * time is left. Cause: nearly each gang of five has a member on one of the slow workers, where a
 * machine in three takes a quarter longer, and that takes the half of what was left. So urgent work
 * goes to workers that are not known to be slow, as long as there is room there. */

/** Pace from which on a worker counts as slow: run times longer by an eighth, half-way between the
 * usual and a quarter, in natural logarithms. */
#define SLOW_PACE 0.12
/** Runs that an unknown worker counts as if it had completed at the usual pace. */
#define PRIOR_RUNS 2
/** Least weight of a new run: workers also change their pace. */
#define LEARNING_RATE 0.1
/** Bound of what one run tells: predictions are off by a fifth and more. */
#define ERROR_MAX 0.5

void
dff_core_pace_learn (struct dff_core *core, const struct dff_core_job *job, int64_t ran_ms)
{
	if (job->gang > 1 || job->run_ms > 0 || ran_ms <= 0)
		return;
	struct dff_core_worker *worker = dff_core_worker_at (core, job->members[0].worker);
	double longer = CLAMP (log ((double)ran_ms) - job->log_mean, -ERROR_MAX, ERROR_MAX);
	double rate = MAX (1.0 / (worker->pace_runs + PRIOR_RUNS + 1), LEARNING_RATE);
	worker->pace_runs++;
	worker->pace += (float)(rate * (longer - (double)worker->pace));
}

bool
dff_core_worker_is_slow (const struct dff_core_worker *worker)
{
	return (double)worker->pace > SLOW_PACE;
}
