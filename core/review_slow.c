#include "core/core_private.h"

#include <math.h>
#include <stdlib.h>

/* Review of running jobs that may be late where they run; core/restart.c decides. How long a job
 * takes elsewhere is estimated from what its members, or the other tasks of its step, show on their
 * workers, and from the relative durations of the workers, because declared run times are far off.
 * A job that takes long on every worker is kept. */

/** Number of durations that are compared at least, and excess over their median beyond which one of
 * them counts as an exception that another run does not repeat, in standard deviations of the tasks
 * of one step. */
#define COMPARED_MIN 3
#define EXCEPTION_DEVIATIONS 3.0F
/** Interval in which the searches for other workers are limited, ms, number of workers that may be
 * searched in it, and largest number of searches. */
#define SEARCH_WINDOW_MS 1000
#define SEARCHED_WORKERS_MAX 16000
#define SEARCHES_MAX 32

struct review {
	struct dff_core *core;
	struct dff_core_job *job;
	const struct dff_event *event;
	struct dff_restart_input input;
	struct dff_restart_decision decision;
	/** Logarithm of the job's duration on workers of average speed, ms. */
	float typical_log;
	/** A member is at fault if it stands still, or ends later after the start of the job, ms,
	 * than this. */
	bool standing;
	int64_t latest_end_ms;
};

static bool
is_reviewed (const struct dff_core *core, const struct dff_core_job *job)
{
	return core->options.restarts_late && job->objective != NULL &&
	       job->state == DFF_CORE_RUNNING && job->hold == DFF_CORE_HOLD_SOFT &&
	       dff_core_job_preemptible (job) && !job->preempted && !job->cancelled;
}

static int64_t
elapsed_ms (const struct dff_core *core, const struct dff_core_job *job)
{
	return core->now_ms - job->started_ms;
}

static int32_t
bounded (int64_t ms)
{
	return (int32_t)CLAMP (ms, 0, INT32_MAX);
}

static void
note_pace (const struct dff_core *core,
	   const struct dff_core_job *job,
	   struct dff_core_member *member,
	   const struct dff_event *event)
{
	int64_t ran_ms = elapsed_ms (core, job);
	int32_t percent = CLAMP (event->percent, 0, 100);
	if (percent != member->percent)
		member->stands = false;
	member->percent = (int8_t)percent;
	/* Tasks progress evenly: of the upper bounds the least is the nearest, and those of an
	 * interval with a pause are too high. */
	if (event->duration_ms > 0 &&
	    (member->duration_ms == 0 || event->duration_ms < member->duration_ms))
		member->duration_ms = bounded (event->duration_ms);
	/* The task may be about to complete its next percent. */
	int64_t left_ms = event->least_duration_ms * MAX (99 - percent, 0) / 100;
	if (percent >= 100 || event->least_duration_ms > 0)
		member->least_end_ms = bounded (ran_ms + left_ms);
}

static int64_t
least_end_ms (const struct dff_core_job *job)
{
	int32_t last_ms = 0;
	for (int32_t i = 0; i < job->gang; i++)
		last_ms = MAX (last_ms, job->members[i].least_end_ms);
	return last_ms;
}

static int32_t
least_percent (const struct dff_core_job *job)
{
	int32_t least = 100;
	for (int32_t i = 0; i < job->gang; i++)
		least = MIN (least, job->members[i].percent);
	return least;
}

static int
compare_logs (gconstpointer a, gconstpointer b)
{
	const float *one = a;
	const float *other = b;
	return (*one > *other) - (*one < *other);
}

static float
log_at (const GArray *logs, guint index)
{
	return g_array_index (logs, float, index);
}

/* Appends the durations of the members as logarithms, on a worker of average speed. */
static void
append_members (const struct review *review, GArray *logs)
{
	for (int32_t i = 0; i < review->job->gang; i++) {
		const struct dff_core_member *member = &review->job->members[i];
		if (member->duration_ms == 0)
			continue;
		float log_ms = logf ((float)member->duration_ms) -
			       dff_core_relative_log (review->core, member->worker);
		g_array_append_val (logs, log_ms);
	}
}

/* Returns: the duration above which one of @logs, which are sorted, is an exception. */
static float
exception_limit (const struct review *review, const GArray *logs)
{
	if (logs->len < COMPARED_MIN)
		return INFINITY;
	return log_at (logs, (logs->len - 1) / 2) +
	       EXCEPTION_DEVIATIONS * sqrtf (review->core->task_variance);
}

/* A gang takes as long as the slowest member that is no exception. Half of the members have to show
 * how long they take. */
static bool
estimate_gang (struct review *review)
{
	g_autoptr (GArray) logs = g_array_new (FALSE, FALSE, sizeof (float));
	append_members (review, logs);
	if (logs->len * 2 < (guint)review->job->gang)
		return false;
	g_array_sort (logs, compare_logs);
	float limit = exception_limit (review, logs);
	guint last = logs->len - 1;
	while (log_at (logs, last) > limit)
		last--;
	review->typical_log = log_at (logs, last);
	return true;
}

/* A task takes as long as it shows itself, unless it is an exception among the tasks of its step:
 * then as long as most of them. */
static bool
estimate_task (struct review *review)
{
	g_autoptr (GArray) own = g_array_new (FALSE, FALSE, sizeof (float));
	g_autoptr (GArray) peers = g_array_new (FALSE, FALSE, sizeof (float));
	append_members (review, own);
	dff_core_peer_logs (review->core, review->event->peer_group, peers);
	g_array_sort (peers, compare_logs);
	if (own->len > 0 && log_at (own, 0) <= exception_limit (review, peers)) {
		review->typical_log = log_at (own, 0);
		return true;
	}
	if (peers->len < COMPARED_MIN)
		return false;
	review->typical_log =
		log_at (peers, (peers->len - 1) / 2) + sqrtf (review->core->task_variance);
	return true;
}

static bool
estimate_typical (struct review *review)
{
	bool known = review->job->gang > 1 ? estimate_gang (review) : estimate_task (review);
	if (known)
		review->input.typical_ms = (int64_t)expf (review->typical_log);
	return known;
}

static bool
is_at_fault (const struct review *review, const struct dff_core_member *member)
{
	if (review->standing)
		return member->stands;
	return member->least_end_ms > review->latest_end_ms;
}

static bool
is_worker_at_fault (const struct review *review, int32_t worker)
{
	for (int32_t i = 0; i < review->job->gang; i++) {
		const struct dff_core_member *member = &review->job->members[i];
		if (member->worker == worker && is_at_fault (review, member))
			return true;
	}
	return false;
}

/* Makes a job avoid the workers at fault, as far as it can remember them. */
static void
avoid_workers (const struct review *review, struct dff_core_job *job)
{
	for (int32_t i = 0; i < review->job->gang; i++) {
		const struct dff_core_member *member = &review->job->members[i];
		if (!is_at_fault (review, member) || job->n_avoided >= DFF_CORE_AVOIDED_MAX ||
		    dff_core_job_avoids (job, member->worker))
			continue;
		dff_core_job_avoid (job, member->worker);
		job->n_too_slow++;
	}
}

/* Adds what the job holds on the workers that are not at fault, @times, to what is in use. */
static void
use_own (const struct review *review, int32_t times)
{
	for (int32_t i = 0; i < review->job->gang; i++) {
		int32_t index = review->job->members[i].worker;
		if (is_worker_at_fault (review, index))
			continue;
		struct dff_core_worker *worker = dff_core_worker_at (review->core, index);
		dff_core_worker_use (review->core, worker, &review->job->per_task, times);
	}
}

static bool
may_search (struct dff_core *core)
{
	if (core->now_ms - core->restart_window_ms >= SEARCH_WINDOW_MS) {
		core->restart_window_ms = core->now_ms;
		core->n_restart_searches = 0;
	}
	int32_t budget = SEARCHED_WORKERS_MAX / (int32_t)(core->workers->len + 1);
	return core->n_restart_searches++ < CLAMP (budget, 1, SEARCHES_MAX);
}

/* Whether a job of at least the same priority waits, which might get the capacity first. */
static bool
has_competitors (const struct review *review)
{
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, review->core->classes);
	while (g_hash_table_iter_next (&iter, NULL, &value)) {
		const struct dff_core_class *queue_class = value;
		const struct dff_core_job *head = queue_class->jobs.head->data;
		if (head->priority <= review->job->priority)
			return true;
	}
	return false;
}

/* Finds free capacity for the job, its own included, without the workers at fault. Returns: the
 * relative duration of the slowest worker found, as a logarithm; INFINITY: there is none. */
static float
find_workers (const struct review *review)
{
	int32_t workers[DFF_GANG_MAX];
	struct dff_core_job trial = *review->job;
	avoid_workers (review, &trial);
	use_own (review, -1);
	bool placed = dff_core_place (review->core, &trial, DFF_CORE_VIEW_FREE, workers);
	use_own (review, 1);
	if (!placed)
		return INFINITY;
	float slowest = -INFINITY;
	for (int32_t i = 0; i < review->job->gang; i++) {
		if (is_worker_at_fault (review, workers[i]))
			return INFINITY;
		slowest = fmaxf (slowest, dff_core_relative_log (review->core, workers[i]));
	}
	return slowest;
}

static void
report (const struct review *review)
{
	const struct dff_restart_input *input = &review->input;
	struct dff_command *command =
		dff_core_emit (review->core, DFF_COMMAND_REPORT_RESTART, review->job);
	command->member = review->event->member;
	command->placement = g_array_index (review->job->placements, struct dff_placement,
					    review->event->member);
	command->reason = dff_restart_reason_name (review->decision.reason);
	int64_t ran_ms = elapsed_ms (review->core, review->job);
	command->restart = (struct dff_restart_report){
		.reason = review->decision.reason,
		.elapsed_ms = ran_ms,
		.projected_ms = input->standing_ms > 0 ? 0 : ran_ms + input->remaining_ms,
		.elsewhere_ms = input->elsewhere_ms,
		.objective_ms = review->decision.objective_ms,
		.age_ms = input->objective->age_ms,
	};
}

static void
restart (const struct review *review)
{
	struct dff_core_job *job = review->job;
	enum dff_core_preempt_cause cause = review->decision.reason == DFF_RESTART_STANDING
						    ? DFF_CORE_PREEMPT_STANDING
						    : DFF_CORE_PREEMPT_SLOW;
	report (review);
	avoid_workers (review, job);
	job->restarted = true;
	dff_core_job_preempt (review->core, job, cause);
}

/* A unit that would be late where it runs, and is kept, is reported once for each attempt. */
static void
report_kept (const struct review *review)
{
	enum dff_restart_reason reason = review->decision.reason;
	if (review->job->kept_reported ||
	    (reason != DFF_RESTART_KEPT_NO_CAPACITY && reason != DFF_RESTART_KEPT_LATE_ELSEWHERE &&
	     reason != DFF_RESTART_KEPT_NO_GAIN))
		return;
	review->job->kept_reported = true;
	report (review);
}

/* Returns: whether the job was restarted. */
static bool
decide (struct review *review)
{
	struct dff_restart_input *input = &review->input;
	review->decision = dff_restart_decide (input);
	if (review->decision.reason != DFF_RESTART_KEPT_NO_CAPACITY) {
		report_kept (review);
		return false;
	}
	if (!may_search (review->core))
		return false;
	/* The member may last as long as the job may without being late. */
	int64_t late_by_ms = review->decision.kept_end_ms - review->decision.objective_ms;
	review->latest_end_ms =
		elapsed_ms (review->core, review->job) + input->remaining_ms - late_by_ms;
	float slowest = has_competitors (review) ? INFINITY : find_workers (review);
	if (slowest < INFINITY) {
		input->elsewhere_ms = MAX ((int64_t)expf (review->typical_log + slowest), 1);
		review->decision = dff_restart_decide (input);
	}
	if (!dff_restart_is_restart (review->decision.reason)) {
		report_kept (review);
		return false;
	}
	restart (review);
	return true;
}

/* @objective: (out): filled in for the review. */
static struct review
review_new (struct dff_core *core,
	    struct dff_core_job *job,
	    const struct dff_event *event,
	    struct dff_objective *objective)
{
	*objective = *job->objective;
	objective->age_ms += core->now_ms - job->submitted_ms;
	return (struct review){.core = core,
			       .job = job,
			       .event = event,
			       .input = {
				       .objective = objective,
				       .priority = job->priority,
				       .restarted = job->restarted,
				       .failed = job->failures > 0,
				       .declared_ms = job->declared_ms,
				       .kept_percent = job->checkpoint ? least_percent (job) : 0,
				       .restore_ms = core->options.checkpoint_loss_ms,
			       }};
}

void
dff_core_review_pace (struct dff_core *core,
		      struct dff_core_job *job,
		      const struct dff_event *event)
{
	if (!is_reviewed (core, job))
		return;
	struct dff_core_member *member = &job->members[event->member];
	note_pace (core, job, member, event);
	/* The job's projected end changes only with that of its slowest member. */
	if (member->least_end_ms == 0 || member->least_end_ms < least_end_ms (job))
		return;
	struct dff_objective objective;
	struct review review = review_new (core, job, event, &objective);
	review.input.remaining_ms = MAX (member->least_end_ms - elapsed_ms (core, job), 0);
	if (dff_restart_is_allowed (&review.input) && estimate_typical (&review))
		decide (&review);
}

void
dff_core_review_standing (struct dff_core *core,
			  struct dff_core_job *job,
			  const struct dff_event *event)
{
	if (!is_reviewed (core, job))
		return;
	struct dff_core_member *member = &job->members[event->member];
	struct dff_objective objective;
	struct review review = review_new (core, job, event, &objective);
	if (!dff_restart_is_allowed (&review.input))
		return;
	review.standing = true;
	/* Without any progress to go by, the learned run time only decides how long the standstill
	 * is tolerated. */
	if (!estimate_typical (&review)) {
		review.typical_log = logf ((float)MAX (job->estimate_ms, 1));
		review.input.typical_ms = job->estimate_ms;
	}
	review.input.standing_since_start = event->standing_since_start;
	review.input.standing_ms = MIN (event->standing_ms, elapsed_ms (core, job));
	review.input.next_report_ms = event->next_report_ms;
	member->stands = review.input.standing_ms >=
			 dff_restart_least_standstill_ms (review.input.typical_ms,
							  review.input.standing_since_start);
	/* Where all members of a gang stand still, no worker can be blamed for it. */
	if (!member->stands || (job->gang > 1 && !event->gang_progresses))
		return;
	if (decide (&review) && event->worker_stands)
		dff_core_worker_try_quarantine (core, member->worker);
}
