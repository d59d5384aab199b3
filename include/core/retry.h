#ifndef DFF_CORE_RETRY_H
#define DFF_CORE_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "core/objective.h"

/* How soon a job is placed again after an attempt in which a task failed or was lost. Pure: no
 * clock and no state of its own. */

/** Why an attempt is followed by another. */
enum dff_retry_cause {
	/** No task failed: the attempt was preempted, or nothing ran. */
	DFF_RETRY_NONE,
	/** Tasks failed, and workers are shown to be at fault for those that failed first. */
	DFF_RETRY_WORKER,
	/** Tasks failed, and nothing shows that a worker is at fault. */
	DFF_RETRY_JOB,
	/** No task failed, but some were lost with their workers. */
	DFF_RETRY_LOST,
};

/** Smallest backoff after a refused record or start, and after a job's second and later failures,
 * ms. */
#define DFF_RETRY_MIN_MS 250
/** Number of different workers up to which the failures of one job may count against them. */
#define DFF_RETRY_BLAMED_WORKERS_MAX 2

struct dff_retry_input {
	enum dff_retry_cause cause;
	/** Number of the job's attempts in which a task failed; with DFF_RETRY_WORKER and
	 * DFF_RETRY_JOB this one included. */
	int32_t failures;
	/** Number of different workers on which the job has failed. */
	int32_t n_workers;
	/** Whether the job can still meet its objective if it starts now. */
	struct dff_objective_assessment objective;
};

/** Returns: DFF_RETRY_MIN_MS, doubled for each failure up to a limit: the backoff by the number of
 * failures alone, ms. */
int64_t dff_retry_doubling_ms (int32_t failures);

/**
 * dff_retry_backoff_ms:
 *
 * Returns: the time from the end of the attempt until the job is queued again, ms. Never more than
 * dff_retry_doubling_ms(); 0 with DFF_RETRY_NONE and DFF_RETRY_LOST. With the other causes at least
 * DFF_RETRY_MIN_MS from the second failure on.
 */
int64_t dff_retry_backoff_ms (const struct dff_retry_input *input);

/** Returns: the cause's name in logs and metrics ("worker", "job", "lost", "none"). Static. */
const char *dff_retry_cause_name (enum dff_retry_cause cause);

#endif
