#include "core/core_private.h"

/* Recovery of rows found at a takeover. Members that are known to run continue. An attempt with a
 * member that is not known to run is stopped, and the workers' answers determine the outcome. */

static void
adopt_member (struct dff_core *core,
	      struct dff_core_job *job,
	      int32_t index,
	      const struct dff_placement *placement,
	      bool running)
{
	struct dff_core_member *member = &job->members[index];
	g_array_append_val (job->placements, *placement);
	/* The pool may no longer declare the worker and may declare it again while the task still
	 * runs there: the accelerators must not look free then. */
	member->worker = dff_core_intern_worker (core, &placement->worker);
	member->state = running ? DFF_CORE_MEMBER_STARTED : DFF_CORE_MEMBER_SENT;
	member->ran = running;
	job->n_started += running;
	/* A member that has ended leaves its accelerators to others while its gang's row still
	 * names them. Until the workers' answers show which of the two rows holds the accelerators,
	 * both do, and no other job gets them. */
	struct dff_core_worker *worker = dff_core_worker_at (core, member->worker);
	if ((worker->leased & placement->accelerators) != 0)
		worker->overlapping = true;
	dff_core_lease (core, job, member->worker, placement->accelerators);
}

static bool
recovered_is_complete (const struct dff_core_job *job,
		       const struct dff_recovered_attempt *recovered)
{
	return recovered->placements != NULL && recovered->running != NULL &&
	       recovered->placements->len == (guint)job->gang &&
	       recovered->running->len == (guint)job->gang;
}

static void
resume_attempt (struct dff_core *core,
		struct dff_core_job *job,
		const struct dff_recovered_attempt *recovered)
{
	job->members = g_new0 (struct dff_core_member, (gsize)job->gang);
	job->placements = g_array_new (FALSE, TRUE, sizeof (struct dff_placement));
	job->n_open = job->gang;
	/* The former holder may have released the gang just before it failed. */
	job->released = true;
	for (int32_t i = 0; i < job->gang; i++) {
		adopt_member (core, job, i,
			      &g_array_index (recovered->placements, struct dff_placement, i),
			      g_array_index (recovered->running, bool, i));
	}
	dff_core_estimate (job);
	job->hold = dff_core_job_preemptible (job) ? DFF_CORE_HOLD_SOFT : DFF_CORE_HOLD_HARD;
	if (job->guaranteed && dff_core_claim_adopt (core, job))
		job->hold = DFF_CORE_HOLD_CLAIM;
	dff_core_job_bind (core, job);
	for (int32_t i = 0; i < job->gang; i++) {
		if (job->members[i].worker != DFF_CORE_NONE)
			dff_core_worker_update_overload (
				dff_core_worker_at (core, job->members[i].worker));
	}
	core->witness_dirty = true;
	dff_core_attempt_resume (core, job, recovered->age_ms);
	if (job->cancelled)
		dff_core_attempt_stop (core, job, DFF_CORE_STOP_CANCELLED);
	else if (job->n_started < job->gang)
		dff_core_attempt_stop (core, job, DFF_CORE_STOP_RECOVERY);
}

void
dff_core_job_recover (struct dff_core *core,
		      const struct dff_job_spec *spec,
		      const struct dff_recovered_attempt *recovered)
{
	struct dff_core_job *job = dff_core_job_add (core, spec);
	job->attempt = recovered->attempt;
	job->cancelled = recovered->cancelled;
	/* An earlier attempt of idempotent work may have run: the outcome cannot be "not run". */
	job->ever_ran = recovered->attempt > 0 && job->idempotent;
	if (recovered->open && recovered_is_complete (job, recovered)) {
		resume_attempt (core, job, recovered);
		return;
	}
	if (recovered->open && !job->idempotent) {
		dff_core_job_end (core, job, DFF_OUTCOME_UNKNOWN, "placement_unknown");
		return;
	}
	if (job->cancelled) {
		dff_core_job_end (core, job, DFF_OUTCOME_CANCELLED, "cancelled");
		return;
	}
	dff_core_job_queue_or_reject (core, job, spec);
}
