#include "core/retry.h"

#include <glib.h>

/** Number of doublings after which the backoff does not grow any more. */
#define DOUBLINGS_MAX 6
/** Number of failures above which a job is taken to be at fault itself, whatever the last failure
 * is attributed to. */
#define BLAMED_FAILURES_MAX 2
/** A backoff takes at most one part in this many of the slack. The rest is for the wait for
 * capacity and for the start. */
#define SLACK_PARTS 4

static const char *const cause_names[] = {
	[DFF_RETRY_NONE] = "none",
	[DFF_RETRY_WORKER] = "worker",
	[DFF_RETRY_JOB] = "job",
	[DFF_RETRY_LOST] = "lost",
};

const char *
dff_retry_cause_name (enum dff_retry_cause cause)
{
	return cause_names[cause];
}

int64_t
dff_retry_doubling_ms (int32_t failures)
{
	return (int64_t)DFF_RETRY_MIN_MS << CLAMP (failures, 0, DOUBLINGS_MAX);
}

/* An earlier retry is of no use to an objective that is missed anyway. */
static int64_t
first_backoff_ms (const struct dff_objective_assessment *objective)
{
	int64_t wait_ms = dff_retry_doubling_ms (1);
	if (objective->prospect == DFF_PROSPECT_MISSED || objective->prospect == DFF_PROSPECT_NONE)
		return wait_ms;
	return CLAMP (objective->slack_ms / SLACK_PARTS, 0, wait_ms);
}

int64_t
dff_retry_backoff_ms (const struct dff_retry_input *input)
{
	if (input->cause == DFF_RETRY_NONE || input->cause == DFF_RETRY_LOST)
		return 0;
	bool by_worker = input->cause == DFF_RETRY_WORKER &&
			 input->n_workers <= DFF_RETRY_BLAMED_WORKERS_MAX;
	if (input->failures <= 1)
		return by_worker ? 0 : first_backoff_ms (&input->objective);
	if (by_worker && input->failures <= BLAMED_FAILURES_MAX)
		return DFF_RETRY_MIN_MS;
	return dff_retry_doubling_ms (input->failures);
}
