#include "core/core_private.h"

/* Work on workers that leave. A worker reports the minimum time until it leaves, and is gone soon
 * after. A task that will not end in that time is stopped at once. Otherwise it would be lost with
 * the worker, without a report, and start again only when its lease has expired, many seconds
 * later, and without a checkpoint. */

/** Time from a stop until it has been carried out and the checkpoint is saved, ms. A task that ends
 * less than this before the worker leaves may not end in time. */
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
	/* A copy, because stopping a job may remove it from the list. */
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
