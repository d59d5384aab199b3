#include "holder/holder_private.h"

#include <string.h>

#include "common/log.h"
#include "holder/policy.h"

/* Jobs of the holder: adding them, submitting them to the core step by step, cancelling and ending
 * them. */

/** Rounds of the core in one step: each round handles the results of the previous round's
 * commands. */
#define ROUNDS_MAX 8
/** Deliberate delay of a timed occurrence, ms: clocks of workers and callers differ slightly. */
#define DUE_MARGIN_MS 30

static void
free_job (gpointer data)
{
	struct holder_job *job = data;
	if (job->plan != NULL)
		dff_plan_free (job->plan);
	if (job->progress != NULL)
		dff_progress_free (job->progress);
	g_array_unref (job->acks);
	g_free (job);
}

void
jobs_begin (struct dff_holder *holder)
{
	struct dff_core_options options;
	dff_policy_core_options (&options, holder->options.gang_wait_ms);
	options.seed = (uint64_t)holder->epoch;
	options.locality_wait_ms = holder->options.locality_wait_ms;
	options.rack_wait_ms = holder->options.rack_wait_ms;
	holder->core = dff_core_new (&options);
	holder->commands = g_array_new (FALSE, TRUE, sizeof (struct dff_command));
	holder->jobs = g_hash_table_new_full (dff_name_hash, dff_name_equal_func, NULL, free_job);
	holder->units = g_hash_table_new_full (dff_name_hash, dff_name_equal_func, NULL, unit_free);
	holder->withdrawn = g_ptr_array_new ();
	load_begin (holder);
	holder->next_due_ms = INT64_MAX;
}

void
jobs_reset (struct dff_holder *holder)
{
	g_clear_pointer (&holder->core, dff_core_free);
	g_clear_pointer (&holder->commands, g_array_unref);
	g_clear_pointer (&holder->units, g_hash_table_unref);
	g_clear_pointer (&holder->withdrawn, g_ptr_array_unref);
	g_clear_pointer (&holder->jobs, g_hash_table_unref);
	load_reset (holder);
	*holder->metrics.open_jobs = 0;
}

void
jobs_report (struct dff_holder *holder,
	     const struct dff_name *unit,
	     int32_t attempt,
	     int32_t member,
	     enum dff_event_type type,
	     bool ran)
{
	struct dff_event event = {
		.type = type, .job = *unit, .attempt = attempt, .member = member, .ran = ran};
	dff_core_handle_event (holder->core, &event, holder_now_ms (holder));
}

void
jobs_submit_ready (struct dff_holder *holder, struct holder_job *job)
{
	if (job->cancelled)
		return;
	g_autoptr (GArray) units = g_array_new (FALSE, FALSE, sizeof (struct dff_unit));
	int64_t wall_ms = dff_clock_wall_ms (holder->options.timers->clock) - DUE_MARGIN_MS;
	job->due_ms = dff_progress_take_ready (job->progress, job->plan, wall_ms, units);
	holder->next_due_ms = MIN (holder->next_due_ms, job->due_ms);
	for (guint i = 0; i < units->len; i++)
		units_submit (holder, job, &g_array_index (units, struct dff_unit, i));
}

static bool
has_units (const struct dff_holder *holder, const struct holder_job *job)
{
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, holder->units);
	while (g_hash_table_iter_next (&iter, NULL, &value)) {
		if (((struct holder_unit *)value)->job == job)
			return true;
	}
	return false;
}

void
jobs_cancel_units (struct dff_holder *holder, const struct holder_job *job)
{
	g_autoptr (GArray) names = g_array_new (FALSE, FALSE, sizeof (struct dff_name));
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, holder->units);
	while (g_hash_table_iter_next (&iter, NULL, &value)) {
		const struct holder_unit *unit = value;
		if (unit->job == job)
			g_array_append_val (names, unit->name);
	}
	for (guint i = 0; i < names->len; i++) {
		struct dff_event event = {.type = DFF_EVENT_JOB_CANCELLED,
					  .job = g_array_index (names, struct dff_name, i)};
		dff_core_handle_event (holder->core, &event, holder_now_ms (holder));
	}
}

void
jobs_end (struct dff_holder *holder,
	  struct holder_job *job,
	  enum dff_job_state state,
	  const char *reason)
{
	job->progress->state = state;
	job->end_reason = reason;
	job->ended_ms = holder_now_ms (holder);
	commit_mark_dirty (holder, job);
}

/* Counts and logs a job once its final state is recorded. Until then another holder may take over
 * and end the job itself: the job would be counted and logged twice, at different times. */
void
jobs_note_recorded (struct dff_holder *holder, const struct holder_job *job)
{
	enum dff_job_state state = job->recorded_state;
	int64_t now_ms = holder_now_ms (holder);
	dff_log (DFF_LOG_CELL, DFF_LOG_INFO,
		 "Job over. job=%s state=%s reason=%s class=%s team=%s held_ms=%" PRId64
		 " record_ms=%" PRId64,
		 job->id.data, dff_job_state_name (state), job->end_reason,
		 job->plan->class_name.data, job->plan->team.data, job->ended_ms - job->added_ms,
		 now_ms - job->ended_ms);
	(*holder->metrics.jobs_completed) += state == DFF_JOB_STATE_COMPLETED;
	(*holder->metrics.jobs_failed) += state == DFF_JOB_STATE_FAILED;
	(*holder->metrics.jobs_cancelled) += state == DFF_JOB_STATE_CANCELLED;
}

static void
cancel_job (struct dff_holder *holder, struct holder_job *job)
{
	if (job->cancelled || dff_job_state_is_final (job->progress->state))
		return;
	job->cancelled = true;
	if (holder->phase != DFF_HOLDER_HOLDING)
		return;
	jobs_end (holder, job, DFF_JOB_STATE_CANCELLED, "cancelled");
	jobs_cancel_units (holder, job);
}

struct holder_job *
jobs_ingest (struct dff_holder *holder, const struct dff_row *row)
{
	struct dff_name id;
	if (!dff_name_parse (row->key, &id) || g_hash_table_contains (holder->jobs, &id) ||
	    draft_has_finished (holder, &id))
		return NULL;
	DFF_AUTO (dff_plan) plan = dff_plan_decode (row->value);
	if (plan == NULL) {
		dff_log (DFF_LOG_CELL, DFF_LOG_ERROR,
			 "A job's row cannot be read. job=%s revision=%" PRId64, id.data,
			 row->revision);
		return NULL;
	}
	const GString *recorded = g_hash_table_lookup (holder->recorded, &id);
	struct dff_progress *progress = NULL;
	if (recorded != NULL) {
		progress =
			dff_progress_decode (plan, (struct dff_str){recorded->str, recorded->len});
		if (progress == NULL) {
			dff_log (DFF_LOG_CELL, DFF_LOG_ERROR,
				 "A job's progress cannot be read. job=%s", id.data);
			return NULL;
		}
	}
	struct holder_job *job = g_new0 (struct holder_job, 1);
	job->id = id;
	job->progress = progress != NULL ? progress : dff_progress_new (plan);
	job->recorded_state = job->progress->state;
	job->plan = g_steal_pointer (&plan);
	job->acks = g_array_new (FALSE, TRUE, sizeof (struct holder_ack));
	job->added_ms = holder_now_ms (holder);
	g_hash_table_insert (holder->jobs, &job->id, job);
	load_add_job (holder, job, row->value.len);
	workers_declare_team (holder, &job->plan->team);
	if (holder->phase != DFF_HOLDER_HOLDING)
		return job;
	dff_log (DFF_LOG_CELL, DFF_LOG_INFO,
		 "Job taken in. job=%s class=%s team=%s steps=%u occurrences=%d revision=%" PRId64,
		 job->id.data, job->plan->class_name.data, job->plan->team.data,
		 job->plan->steps->len, job->plan->occurrences, row->revision);
	jobs_submit_ready (holder, job);
	holder_wake (holder);
	return job;
}

static void
remove_job (struct dff_holder *holder, struct holder_job *job)
{
	load_remove_job (holder, job);
	g_hash_table_remove (holder->jobs, &job->id);
}

/* No decision about a provisional job was sent: its starts wait for a record that will not be
 * written. */
void
jobs_withdraw (struct dff_holder *holder, struct holder_job *job)
{
	for (guint i = 0; i < job->acks->len; i++) {
		const struct holder_ack *ack = &g_array_index (job->acks, struct holder_ack, i);
		jobs_report (holder, &ack->unit, ack->attempt, 0, DFF_EVENT_ATTEMPT_REFUSED, false);
	}
	g_array_set_size (job->acks, 0);
	job->cancelled = true;
	jobs_cancel_units (holder, job);
	g_ptr_array_add (holder->withdrawn, job);
	holder_wake (holder);
}

static void
remove_withdrawn (struct dff_holder *holder)
{
	for (guint i = holder->withdrawn->len; i > 0; i--) {
		struct holder_job *job = g_ptr_array_index (holder->withdrawn, i - 1);
		if (!has_units (holder, job)) {
			g_ptr_array_remove_index_fast (holder->withdrawn, i - 1);
			g_hash_table_remove (holder->dirty, job);
			remove_job (holder, job);
		}
	}
}

static void
handle_cancel_row (struct dff_holder *holder, struct dff_str job_key)
{
	struct dff_name id;
	if (!dff_name_parse (job_key, &id))
		return;
	struct holder_job *job = g_hash_table_lookup (holder->jobs, &id);
	if (job == NULL)
		return;
	cancel_job (holder, job);
	holder_wake (holder);
}

static bool
split_cancel_key (struct dff_str *key)
{
	static const struct dff_str suffix = {DFF_KEY_CANCEL_SUFFIX,
					      sizeof (DFF_KEY_CANCEL_SUFFIX) - 1};
	if (key->len <= suffix.len ||
	    memcmp (key->data + key->len - suffix.len, suffix.data, suffix.len) != 0)
		return false;
	key->len -= suffix.len;
	return true;
}

bool
jobs_is_cancel_key (struct dff_str key)
{
	return split_cancel_key (&key);
}

bool
jobs_key_is_applied (struct dff_holder *holder, struct dff_str key)
{
	struct dff_name id;
	bool cancel = split_cancel_key (&key);
	if (!dff_name_parse (key, &id) || draft_has_finished (holder, &id))
		return true;
	const struct holder_job *job = g_hash_table_lookup (holder->jobs, &id);
	return job != NULL && !job->provisional &&
	       (!cancel || job->cancelled || dff_job_state_is_final (job->progress->state));
}

void
jobs_handle_row (void *ctx, const struct dff_row *row)
{
	struct dff_holder *holder = ctx;
	struct dff_str key = row->key;
	if (row->removed)
		return;
	if (split_cancel_key (&key)) {
		handle_cancel_row (holder, key);
		return;
	}
	submissions_note_row (holder, key, row->revision);
	jobs_ingest (holder, row);
}

void
jobs_recover (struct dff_holder *holder)
{
	g_autoptr (GList) jobs = g_hash_table_get_values (holder->jobs);
	for (GList *link = jobs; link != NULL; link = link->next) {
		struct holder_job *job = link->data;
		if (dff_job_state_is_final (job->progress->state)) {
			/* Written once more: actions that follow a written final row take place
			 * here too. */
			commit_mark_dirty (holder, job);
			continue;
		}
		bool cancelled = job->cancelled;
		job->cancelled = false;
		jobs_submit_ready (holder, job);
		if (cancelled)
			cancel_job (holder, job);
	}
}

bool
jobs_release (struct dff_holder *holder, struct holder_job *job)
{
	/* A unit may still be stopping. Its end writes the job's row again, which leads here
	 * again. */
	if (has_units (holder, job))
		return false;
	remove_job (holder, job);
	return true;
}

static void
submit_due (struct dff_holder *holder)
{
	int64_t wall_ms = dff_clock_wall_ms (holder->options.timers->clock) - DUE_MARGIN_MS;
	if (holder->next_due_ms > wall_ms)
		return;
	holder->next_due_ms = INT64_MAX;
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, holder->jobs);
	while (g_hash_table_iter_next (&iter, NULL, &value)) {
		struct holder_job *job = value;
		if (job->due_ms <= wall_ms)
			jobs_submit_ready (holder, job);
		else if (job->due_ms > 0)
			holder->next_due_ms = MIN (holder->next_due_ms, job->due_ms);
	}
}

void
jobs_step (struct dff_holder *holder)
{
	submit_due (holder);
	for (int32_t i = 0; i < ROUNDS_MAX; i++) {
		dff_core_tick (holder->core, holder_now_ms (holder), holder->commands);
		if (holder->commands->len == 0)
			break;
		/* Executing commands may cause further ones, which are for the next round. */
		g_autoptr (GArray) commands = g_array_copy (holder->commands);
		for (guint j = 0; j < commands->len; j++)
			units_execute (holder, &g_array_index (commands, struct dff_command, j));
	}
	remove_withdrawn (holder);
	*holder->metrics.open_jobs = (int64_t)g_hash_table_size (holder->jobs);
}
