#include "core/core_private.h"

/* Work on workers that leave. A worker tells how long it will be there at least, and is gone soon
 * after. Symptom without this: a task that does not end in that time is lost with the worker, which
 * nobody tells; it starts again only when the worker's lease has surely lapsed, many seconds later,
 * without what it could have saved. So it is stopped at once where it will not end in time. */

/** Time from a stop until it has been carried out and saved, ms: what ends later than that before
 * the worker leaves is not sure to end. */
#define STOP_DURATION_MS 500

static bool
ends_before (const struct dff_core *core, const struct dff_core_job *job, int64_t leaves_ms)
{
	return core->now_ms + dff_core_remaining_ms (core, job) + STOP_DURATION_MS <= leaves_ms;
}

static void
stop_unless_it_ends (struct dff_core *core, struct dff_core_job *job, int32_t worker)
{
	if (worker == DFF_CORE_NONE)
		return;
	const struct dff_core_worker *from = dff_core_worker_at (core, worker);
	bool open = job->state == DFF_CORE_STARTING || job->state == DFF_CORE_RUNNING;
	if (from->state != DFF_WORKER_LEAVING || from->leaves_ms == 0 || !open ||
	    ends_before (core, job, from->leaves_ms))
		return;
	dff_core_job_preempt (core, job, DFF_CORE_PREEMPT_WORKER_LEAVING);
}

void
dff_core_review_leaving_worker (struct dff_core *core, int32_t worker)
{
	/* What is stopped may leave the list. */
	g_autoptr (GPtrArray) occupants =
		g_ptr_array_copy (dff_core_worker_at (core, worker)->occupants, NULL, NULL);
	for (guint i = 0; i < occupants->len; i++)
		stop_unless_it_ends (core, g_ptr_array_index (occupants, i), worker);
}

void
dff_core_review_leaving_job (struct dff_core *core, struct dff_core_job *job)
{
	for (int32_t i = 0; i < job->gang; i++)
		stop_unless_it_ends (core, job, job->members[i].worker);
}
