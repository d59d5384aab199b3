#include "core/core_private.h"

/* Ways in which a queued job can be started: by a claim, on free capacity, by preemption. */

/** Wait after which urgent work that may not be preempted uses its own team's guarantee, ms. */
#define OWN_GUARANTEE_DELAY_MS 2000
/** Time from the decision to stop other work until an urgent job runs in its place, ms: a stop
 * takes up to 900 ms and a start about 100. */
#define EVICTION_MS 1000

bool
dff_core_within_quota (const struct dff_core *core, const struct dff_core_job *job)
{
	const struct dff_core_team *team = dff_core_team_at (core, job->team);
	return team->quota_accelerators == 0 ||
	       team->used.accelerators + dff_core_job_accelerators (job) <=
		       team->quota_accelerators;
}

static bool
start_claim (struct dff_core *core, struct dff_core_job *job)
{
	int32_t workers[DFF_GANG_MAX];
	int32_t shape;
	job->hold = DFF_CORE_HOLD_CLAIM;
	if (!dff_core_claim (core, job, workers, &shape))
		return false;
	dff_core_take (core, job, workers, DFF_CORE_HOLD_CLAIM, shape);
	return true;
}

/* Whether an urgent job would lose more work of others than it is worth. Otherwise a small
 * interactive job stops a wide gang that has run for seconds and has to repeat all of it: the
 * gang's users lose more than is gained. After evict_unlimited_after_ms a team's right to its own
 * accelerators takes precedence. */
static bool
evicts_too_much_work (const struct dff_core *core,
		      const struct dff_core_job *job,
		      const int32_t *workers)
{
	const struct dff_core_options *options = &core->options;
	if (options->evict_work_ratio <= 0.0)
		return false;
	if (dff_core_job_is_assured (core, job) &&
	    core->now_ms - job->submitted_ms >= options->evict_unlimited_after_ms)
		return false;
	double own = (double)dff_core_job_footprint (core, job) * (double)job->estimate_ms;
	double lost = (double)dff_core_total_evict_cost (core, job, workers);
	return lost > options->evict_work_ratio * own;
}

/* Time for which an urgent job waits for capacity to come free, ms: as long as it can still stop
 * other work and be in time. Urgent work is short, so that capacity for more of it comes free soon,
 * whereas what is stopped at once has run in vain. */
static int64_t
evict_delay_ms (const struct dff_core *core, const struct dff_core_job *job)
{
	if (core->options.evict_delay_ms == 0 || !job->urgent)
		return 0;
	struct dff_objective_assessment assessment = dff_core_job_assess (core, job);
	if (assessment.prospect != DFF_PROSPECT_IN_TIME)
		return 0;
	int64_t left_ms = core->options.evict_delay_ms - (core->now_ms - job->submitted_ms);
	return CLAMP (assessment.slack_ms - EVICTION_MS, 0, MAX (left_ms, 0));
}

/* Preemption by borrowing work scans every occupant, so it is tried for a few jobs only, and not
 * for jobs without accelerators. */
static bool
place_evicting (struct dff_core *core,
		struct dff_core_job *job,
		enum dff_core_view view,
		int32_t *workers)
{
	bool slots_only = dff_core_job_accelerators (job) == 0;
	/* Reserved jobs do not count in a spread group yet, so the jobs of one never preempt. */
	if (job->per_worker > 0)
		return false;
	if (!job->urgent && (core->evictions_left <= 0 || slots_only))
		return false;
	int64_t delay_ms = evict_delay_ms (core, job);
	if (delay_ms > 0) {
		core->stats.eviction_delays++;
		core->evictions_due_ms = MIN (core->evictions_due_ms, core->now_ms + delay_ms);
		return false;
	}
	core->evictions_left -= !job->urgent;
	job->score = dff_core_score (core, job);
	job->score_ms = INT64_MIN / 2;
	return dff_core_place (core, job, view, workers) &&
	       !(job->urgent && evicts_too_much_work (core, job, workers));
}

/* A job that did not fit before fits now only if something came free. */
static bool
place_if_freed (struct dff_core *core,
		const struct dff_core_job *job,
		enum dff_core_view view,
		int32_t *workers)
{
	return (core->capacity_freed || job->has_reserved_racks) &&
	       dff_core_place (core, job, view, workers);
}

/* Whether a task that could be placed waits, because urgent work is expected to stop it soon. */
static bool
is_held (struct dff_core *core, const struct dff_core_job *job, const int32_t *workers)
{
	bool holds = dff_core_shape_holds (core, job, workers[0]);
	core->stats.bulk_holds += holds;
	return holds;
}

static bool
start_soft (struct dff_core *core, struct dff_core_job *job)
{
	int32_t workers[DFF_GANG_MAX];
	job->hold = DFF_CORE_HOLD_SOFT;
	if (!dff_core_place_probe (core, job, workers)) {
		bool fits = place_if_freed (core, job, DFF_CORE_VIEW_FREE, workers);
		if (fits && is_held (core, job, workers))
			return false;
		if (!fits && !place_evicting (core, job, DFF_CORE_VIEW_EVICT, workers))
			return false;
	}
	dff_core_take (core, job, workers, DFF_CORE_HOLD_SOFT, DFF_CORE_NONE);
	return true;
}

static void
bind_workers (struct dff_core *core,
	      const struct dff_core_job *job,
	      const int32_t *workers,
	      int32_t sign)
{
	for (int32_t i = 0; i < job->gang; i++)
		dff_resources_add (&dff_core_worker_at (core, workers[i])->bound, &job->per_task,
				   sign);
}

/* Places a job on free accelerators of a witness placement if the shape finds another one. */
static bool
place_displacing (struct dff_core *core, struct dff_core_job *job, int32_t *workers)
{
	if (!place_if_freed (core, job, DFF_CORE_VIEW_FREE, workers))
		return false;
	bind_workers (core, job, workers, 1);
	bool fits = dff_core_relocate_witnesses (core);
	bind_workers (core, job, workers, -1);
	return fits;
}

/* Guaranteed jobs of the team may arrive at any moment. Work that may not be preempted therefore
 * uses the guarantee only when it could be placed nowhere else in the whole pool, or is urgent and
 * has waited. */
static bool
may_use_guarantee (const struct dff_core *core, const struct dff_core_job *job)
{
	int32_t workers[DFF_GANG_MAX];
	if (job->urgent && core->now_ms - job->submitted_ms >= OWN_GUARANTEE_DELAY_MS)
		return true;
	return !dff_core_place (core, job, DFF_CORE_VIEW_EMPTY_LESS_WITNESSES, workers);
}

/* Starts work that may not be preempted: only where no witness placement needs the capacity. */
static bool
start_hard (struct dff_core *core, struct dff_core_job *job)
{
	int32_t workers[DFF_GANG_MAX];
	job->hold = DFF_CORE_HOLD_HARD;
	if (!place_if_freed (core, job, DFF_CORE_VIEW_UNBOUND, workers) &&
	    !place_displacing (core, job, workers) &&
	    !place_evicting (core, job, DFF_CORE_VIEW_EVICT_UNBOUND, workers))
		return may_use_guarantee (core, job) && start_claim (core, job);
	dff_core_take (core, job, workers, DFF_CORE_HOLD_HARD, DFF_CORE_NONE);
	return true;
}

/* Places a covered job outside its shape. Jobs of one team that claim parts of a shape may leave
 * parts on several workers that no further job fits. The team has a right to them, so the job gets
 * other accelerators instead. */
static bool
start_entitled (struct dff_core *core, struct dff_core_job *job)
{
	int32_t workers[DFF_GANG_MAX];
	job->hold = DFF_CORE_HOLD_HARD;
	job->entitled = true;
	bool placed = dff_core_place (core, job, DFF_CORE_VIEW_UNBOUND, workers) ||
		      dff_core_place (core, job, DFF_CORE_VIEW_EVICT_UNBOUND, workers);
	if (placed)
		dff_core_take (core, job, workers, DFF_CORE_HOLD_HARD, DFF_CORE_NONE);
	job->entitled = false;
	return placed;
}

bool
dff_core_try_claim (struct dff_core *core, struct dff_core_job *job)
{
	return job->cover != DFF_CORE_NONE && dff_core_within_quota (core, job) &&
	       (start_claim (core, job) || start_entitled (core, job));
}

bool
dff_core_try_borrow (struct dff_core *core, struct dff_core_job *job)
{
	if (!dff_core_within_quota (core, job))
		return false;
	if (dff_core_job_preemptible (job))
		return start_soft (core, job);
	return start_hard (core, job);
}
