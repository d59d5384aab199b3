#include "core/core_private.h"

/* Distinguishes workers that fail all jobs from jobs that fail on all workers. A failure counts
 * against a worker unless the job has failed on other workers before. Different jobs that fail on
 * one worker, with no success in between, put it in quarantine. After that it gets one job as a
 * probe: a small job that may be retried or, if none arrives, any one attempt. A failure of the
 * probe doubles the time in quarantine. */

/** Number of different jobs in a row that have to fail on a worker. */
#define STREAK_LIMIT 2
/** Failures on other workers after which a job's failures do not count against a worker. */
#define JOB_BLAME_LIMIT 2
/** At most one in this many of the workers that are up may be in quarantine; one always may. */
#define QUARANTINED_SHARE 4
#define QUARANTINE_MIN_MS 60000
#define QUARANTINE_MAX_MS 1800000
/** Wait for a small job that may be retried, after which any attempt may be the probe, ms. */
#define PROBE_WAIT_MS 30000

static void
set_health (struct dff_core *core, struct dff_core_worker *worker, enum dff_core_health health)
{
	core->stats.workers_quarantined += (health != DFF_CORE_HEALTHY);
	core->stats.workers_quarantined -= (worker->health != DFF_CORE_HEALTHY);
	worker->health = health;
	core->dirty = true;
	core->witness_dirty = true;
	if (worker->rack != DFF_CORE_NONE)
		dff_core_rack_summarise (core, worker->rack);
}

static void
quarantine (struct dff_core *core, struct dff_core_worker *worker)
{
	int64_t first_ms =
		core->options.quarantine_ms > 0 ? core->options.quarantine_ms : QUARANTINE_MIN_MS;
	int64_t wait_ms = first_ms << MIN (worker->quarantines, 10);
	worker->quarantines++;
	worker->health_due_ms = core->now_ms + MIN (wait_ms, QUARANTINE_MAX_MS);
	set_health (core, worker, DFF_CORE_QUARANTINED);
}

bool
dff_core_worker_on_trial (const struct dff_core_worker *worker)
{
	return worker->health == DFF_CORE_HEALTHY && worker->quarantines > 0;
}

static void
start_probing (struct dff_core *core, struct dff_core_worker *worker)
{
	worker->health_due_ms = core->now_ms + PROBE_WAIT_MS;
	set_health (core, worker, DFF_CORE_PROBING);
}

/* Returns a worker to work without a probe, for one attempt at a time; one failure then is enough
 * for the next, longer quarantine. Guards against gangs that wait for ever for a repaired worker:
 * where only gangs are queued, no small job arrives to probe it. */
static void
put_on_trial (struct dff_core *core, struct dff_core_worker *worker)
{
	worker->failure_streak = STREAK_LIMIT - 1;
	worker->last_failed = 0;
	set_health (core, worker, DFF_CORE_HEALTHY);
}

/* Returns: whether @worker waits for @health_due_ms and not for the end of its probe. */
static bool
health_is_timed (const struct dff_core_worker *worker)
{
	return worker->health == DFF_CORE_QUARANTINED ||
	       (worker->health == DFF_CORE_PROBING && worker->occupants->len == 0);
}

static bool
is_avoided (const struct dff_core_job *job, int32_t worker)
{
	for (int32_t i = 0; i < DFF_CORE_AVOIDED_MAX; i++) {
		if (job->avoided[i] == worker)
			return true;
	}
	return false;
}

void
dff_core_job_avoid (struct dff_core_job *job, int32_t worker)
{
	if (is_avoided (job, worker))
		return;
	job->avoided[job->n_avoided % DFF_CORE_AVOIDED_MAX] = worker;
	job->n_avoided++;
}

/* Returns: the number of different workers on which a job has failed. */
static int32_t
n_failed_on (const struct dff_core_job *job)
{
	return job->n_avoided - job->n_too_slow;
}

bool
dff_core_job_avoids (const struct dff_core_job *job, int32_t worker)
{
	return job->n_avoided > 0 && is_avoided (job, worker);
}

/* Whether another worker may be quarantined. Guards against a batch of a few dozen jobs that fail
 * wherever they run: each worker sees different jobs fail, as if it were at fault. A whole region
 * would be closed, and no team would get its guaranteed shapes for a minute or longer. A quarter of
 * the workers seldom fails at once: beyond that the jobs are blamed. */
static bool
may_quarantine (const struct dff_core *core)
{
	int32_t n_up = 0;
	for (guint i = 0; i < core->workers->len; i++)
		n_up += dff_core_worker_at (core, (int32_t)i)->state == DFF_WORKER_UP;
	return core->stats.workers_quarantined < MAX (1, n_up / QUARANTINED_SHARE);
}

/* Whether a failure came so early in the run that the worker is blamed alone. A faulty worker fails
 * what it starts within moments, faulty work fails along the way. Otherwise each faulty worker has
 * to fail two jobs before its quarantine, and an urgent gang, which has two attempts, may fail on
 * such workers in both. Work that has failed elsewhere does not count: it may fail early anywhere.
 */
static bool
is_early_failure (const struct dff_core *core, const struct dff_core_job *job)
{
	double limit_ms = core->options.early_failure_share * (double)job->estimate_ms;
	bool started = job->state == DFF_CORE_RUNNING;
	return limit_ms > 0.0 && n_failed_on (job) == 0 &&
	       (!started || (double)(core->now_ms - job->started_ms) <= limit_ms);
}

void
dff_core_note_failure (struct dff_core *core, struct dff_core_job *job, int32_t worker_index)
{
	struct dff_core_worker *worker = dff_core_worker_at (core, worker_index);
	bool blamed = n_failed_on (job) < JOB_BLAME_LIMIT;
	bool early = is_early_failure (core, job);
	worker->failed_ms = core->now_ms;
	dff_core_job_avoid (job, worker_index);
	if (worker->health == DFF_CORE_PROBING) {
		quarantine (core, worker);
		return;
	}
	guint failed = dff_name_hash (&job->id);
	if (!blamed || worker->health != DFF_CORE_HEALTHY || worker->last_failed == failed)
		return;
	worker->last_failed = failed;
	worker->failure_streak += early ? STREAK_LIMIT : 1;
	if (worker->failure_streak >= STREAK_LIMIT && may_quarantine (core))
		quarantine (core, worker);
}

void
dff_core_worker_try_quarantine (struct dff_core *core, int32_t index)
{
	struct dff_core_worker *worker = dff_core_worker_at (core, index);
	if (worker->health == DFF_CORE_PROBING ||
	    (worker->health == DFF_CORE_HEALTHY && may_quarantine (core)))
		quarantine (core, worker);
}

void
dff_core_worker_handle_restart (struct dff_core *core, const struct dff_name *id)
{
	int32_t index = dff_core_find_worker (core, id);
	if (index == DFF_CORE_NONE)
		return;
	struct dff_core_worker *worker = dff_core_worker_at (core, index);
	worker->failure_streak = 0;
	worker->last_failed = 0;
	worker->quarantines = 0;
	worker->failed_ms = 0;
	dff_core_reset_durations (core, index);
	if (worker->health != DFF_CORE_HEALTHY)
		set_health (core, worker, DFF_CORE_HEALTHY);
}

/* A success counts only if the run began after the last failure. Otherwise a run that began before
 * a worker became faulty would end its quarantine: it then gets dozens of tasks in a few seconds,
 * each of which fails at once and makes room for the next. */
void
dff_core_note_success (struct dff_core *core, int32_t worker_index, int64_t started_ms)
{
	struct dff_core_worker *worker = dff_core_worker_at (core, worker_index);
	if (started_ms < worker->failed_ms)
		return;
	worker->failure_streak = 0;
	worker->last_failed = 0;
	bool suspect = worker->health != DFF_CORE_HEALTHY || worker->quarantines > 0;
	worker->quarantines = 0;
	if (!suspect)
		return;
	set_health (core, worker, DFF_CORE_HEALTHY);
}

void
dff_core_run_quarantine (struct dff_core *core)
{
	if (core->stats.workers_quarantined == 0)
		return;
	for (guint i = 0; i < core->workers->len; i++) {
		struct dff_core_worker *worker = dff_core_worker_at (core, (int32_t)i);
		if (!health_is_timed (worker) || worker->health_due_ms > core->now_ms)
			continue;
		if (worker->health == DFF_CORE_QUARANTINED)
			start_probing (core, worker);
		else
			put_on_trial (core, worker);
	}
}

int64_t
dff_core_quarantine_wake_ms (const struct dff_core *core)
{
	int64_t wake_ms = INT64_MAX;
	for (guint i = 0; core->stats.workers_quarantined > 0 && i < core->workers->len; i++) {
		const struct dff_core_worker *worker = dff_core_worker_at (core, (int32_t)i);
		if (health_is_timed (worker))
			wake_ms = MIN (wake_ms, worker->health_due_ms);
	}
	return wake_ms;
}

/* A probe may fail through no fault of its job, so only a job that may be retried is used. */
bool
dff_core_place_probe (const struct dff_core *core, const struct dff_core_job *job, int32_t *worker)
{
	if (core->stats.workers_quarantined == 0 || job->gang > 1 || !job->idempotent ||
	    job->failures > 0 || job->max_attempts < 2 || job->urgent)
		return false;
	for (guint i = 0; i < core->workers->len; i++) {
		const struct dff_core_worker *at = dff_core_worker_at (core, (int32_t)i);
		if (at->health != DFF_CORE_PROBING || at->state != DFF_WORKER_UP ||
		    at->rack == DFF_CORE_NONE || at->occupants->len > 0)
			continue;
		if (job->region != DFF_CORE_NONE &&
		    dff_core_rack_at (core, at->rack)->region != job->region)
			continue;
		struct dff_resources available =
			dff_core_worker_available (core, at, job, DFF_CORE_VIEW_FREE);
		if (dff_resources_fits (&available, &job->per_task, 1) == 0)
			continue;
		*worker = (int32_t)i;
		return true;
	}
	return false;
}
