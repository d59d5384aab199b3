#include "holder/holder_private.h"

#include <string.h>

#include "common/log.h"

/* Between the jobs' steps and the decision core: units that may run are given to the core, its
 * commands become rows and calls, and its answers become progress. */

/** Start of a member that no worker has confirmed, ms, on top of the gang's wait: then the unit
 * looks for other workers. */
#define START_TIMEOUT_MS 1500
/** First stay in quarantine of a worker that fails what others complete, ms. */
#define QUARANTINE_MS 8000
/** Wait that counts like a job's own run time in the core's order, ms: tasks run for seconds. */
#define AGEING_MS 8000.0
/** How long an urgent gang waits for a whole rack, ms: a claim of a team's own accelerators is to
 * have begun within about three seconds. */
#define URGENT_RACK_WAIT_MS 1000
/** Wait after which a job gets what is kept for others while half of the pool is idle, ms. */
#define CALM_WAIT_MS 1200
/** Wait after which racks are kept for a gang, and time past the expected one that they are kept,
 * ms; gangs at once. Without it a gang that needs a rack nearly whole waits behind a stream of
 * single tasks until the day ends. */
#define GUARD_AFTER_MS 1500
#define GUARD_GRACE_MS 15000
#define GUARDS_MAX 2
/** Run time lost by a task with checkpoints that is stopped, ms: a stop saves, and the restart
 * takes some hundred milliseconds. */
#define CHECKPOINT_LOSS_MS 300
/** Run time up to which tasks on a worker that stalls are started anew, ms: about what a stall
 * lasts.
 */
#define STALL_LOSS_MS 4000
/** Share of the workers for urgent work only: an eighth more of it is in time on loaded days, and a
 * quarter less work is thrown away; a larger share costs the wide gangs of the other classes. */
#define URGENT_SHARE 0.167
/** Rounds of the core in one turn of the loop: each answers commands of the one before. */
#define ROUNDS_MAX 8
/** How late an occurrence is begun on purpose, ms: clocks of workers and callers differ a little.
 */
#define DUE_MARGIN_MS 30
/** Weights of the classes in the core's order, by priority. */
static const double priority_weights[] = {4.0, 2.0, 1.0};

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

static void
free_unit (gpointer data)
{
	struct holder_unit *unit = data;
	g_free (unit->runs);
	g_free (unit);
}

void
jobs_begin (struct dff_holder *holder)
{
	struct dff_core_options options;
	dff_core_options_init (&options);
	options.seed = (uint64_t)holder->epoch;
	options.start_timeout_ms = holder->options.gang_wait_ms + START_TIMEOUT_MS;
	options.patient = true;
	options.ageing_ms = AGEING_MS;
	options.quarantine_ms = QUARANTINE_MS;
	options.data_wait_ms = holder->options.data_wait_ms;
	options.rack_wait_ms = holder->options.rack_wait_ms;
	options.urgent_rack_wait_ms = URGENT_RACK_WAIT_MS;
	options.calm_wait_ms = CALM_WAIT_MS;
	options.guard_after_ms = GUARD_AFTER_MS;
	options.guard_grace_ms = GUARD_GRACE_MS;
	options.max_guards = GUARDS_MAX;
	options.urgent_share = URGENT_SHARE;
	options.checkpoint_loss_ms = CHECKPOINT_LOSS_MS;
	options.stall_loss_ms = STALL_LOSS_MS;
	holder->core = dff_core_new (&options);
	holder->commands = g_array_new (FALSE, TRUE, sizeof (struct dff_command));
	holder->jobs = g_hash_table_new_full (dff_name_hash, dff_name_equal_func, NULL, free_job);
	holder->units = g_hash_table_new_full (dff_name_hash, dff_name_equal_func, NULL, free_unit);
	holder->next_due_ms = INT64_MAX;
}

void
jobs_forget (struct dff_holder *holder)
{
	g_clear_pointer (&holder->core, dff_core_free);
	g_clear_pointer (&holder->commands, g_array_unref);
	g_clear_pointer (&holder->units, g_hash_table_unref);
	g_clear_pointer (&holder->jobs, g_hash_table_unref);
	*holder->metrics.open_jobs = 0;
}

void
jobs_emit (struct dff_holder *holder,
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

static double
weight_of (const struct dff_plan *plan)
{
	int32_t last = (int32_t)G_N_ELEMENTS (priority_weights) - 1;
	return priority_weights[CLAMP (plan->priority, 0, last)];
}

static struct dff_job_spec
unit_spec (const struct holder_unit *unit)
{
	const struct dff_plan *plan = unit->job->plan;
	const struct dff_step *step = dff_plan_step (plan, unit->unit.step);
	int32_t first = MAX (unit->unit.index, 0);
	const struct dff_task *task = dff_progress_task (unit->job->progress, unit->unit.occurrence,
							 unit->unit.step, first);
	struct dff_job_spec spec = {
		.id = unit->name,
		.team = plan->team,
		.service = plan->class_name,
		.region = plan->service,
		.gang = unit->n_members,
		.per_task = step->per_task,
		.adjacency = step->gang && step->one_rack ? DFF_ADJACENCY_NEIGHBOURS
							  : DFF_ADJACENCY_NONE,
		.urgent = plan->priority == 0,
		.checkpoint = step->checkpoint,
		.idempotent = true,
		.declared_ms = step->estimate_ms,
		.max_attempts =
			step->endless ? INT32_MAX : MAX (plan->max_attempts - task->failures, 1),
		.label = step->label,
		.per_worker = step->per_worker,
		.weight = weight_of (plan),
	};
	if (!dff_name_is_empty (&step->data_rack))
		spec.data_rack = workers_rack_name (&plan->service, &step->data_rack);
	if (step->per_worker > 0) {
		struct dff_unit whole = unit->unit;
		whole.index = -1;
		spec.spread_group = dff_unit_name (plan, &whole);
	}
	return spec;
}

static struct holder_unit *
unit_new (struct dff_holder *holder, struct holder_job *job, const struct dff_unit *at)
{
	struct holder_unit *unit = g_new0 (struct holder_unit, 1);
	struct dff_unit_tasks tasks = dff_unit_tasks (job->plan, at);
	unit->name = dff_unit_name (job->plan, at);
	unit->job = job;
	unit->unit = *at;
	unit->n_members = tasks.end - tasks.first;
	unit->runs = g_new0 (struct holder_run *, (gsize)unit->n_members);
	unit->base_run =
		dff_progress_task (job->progress, at->occurrence, at->step, tasks.first)->run;
	g_hash_table_replace (holder->units, &unit->name, unit);
	return unit;
}

static struct dff_task *
member_task (const struct holder_unit *unit, int32_t member)
{
	return dff_progress_task (unit->job->progress, unit->unit.occurrence, unit->unit.step,
				  MAX (unit->unit.index, 0) + member);
}

/* Units whose tasks are on record as assigned go on where they are. */
static void
recover_unit (struct dff_holder *holder, struct holder_unit *unit, const struct dff_job_spec *spec)
{
	g_autoptr (GArray) placements = g_array_new (FALSE, TRUE, sizeof (struct dff_placement));
	g_autoptr (GArray) running = g_array_new (FALSE, TRUE, sizeof (bool));
	bool yes = true;
	unit->base_run--;
	unit->attempt = 1;
	for (int32_t i = 0; i < unit->n_members; i++) {
		const struct dff_task *task = member_task (unit, i);
		/* Which accelerators a task has is the worker's affair: only their number counts,
		 * so none is named. */
		struct dff_placement placement = {.worker = task->worker};
		g_array_append_val (placements, placement);
		g_array_append_val (running, yes);
	}
	struct dff_recovered recovered = {
		.attempt = 1, .open = true, .placements = placements, .running = running};
	struct dff_event event = {
		.type = DFF_EVENT_JOB_RECOVERED, .spec = spec, .recovered = &recovered};
	dff_core_handle_event (holder->core, &event, holder_now_ms (holder));
	for (int32_t i = 0; i < unit->n_members; i++) {
		struct holder_worker *worker =
			workers_intern (holder, &member_task (unit, i)->worker);
		struct holder_run *run = run_new (holder, unit, i, worker, DFF_RUN_PHASE_OPEN);
		run->run = member_task (unit, i)->run;
		run->checkpoint = g_strdup (member_task (unit, i)->checkpoint);
	}
}

static void
give_unit (struct dff_holder *holder, struct holder_job *job, const struct dff_unit *at)
{
	struct holder_unit *unit = unit_new (holder, job, at);
	struct dff_job_spec spec = unit_spec (unit);
	if (member_task (unit, 0)->state == DFF_TASK_ASSIGNED) {
		recover_unit (holder, unit, &spec);
		return;
	}
	struct dff_event event = {.type = DFF_EVENT_JOB_SUBMITTED, .spec = &spec};
	dff_core_handle_event (holder->core, &event, holder_now_ms (holder));
}

static void
offer (struct dff_holder *holder, struct holder_job *job)
{
	if (job->cancelled)
		return;
	g_autoptr (GArray) units = g_array_new (FALSE, FALSE, sizeof (struct dff_unit));
	int64_t wall_ms = dff_clock_wall_ms (holder->options.timers->clock) - DUE_MARGIN_MS;
	job->due_ms = dff_progress_offer (job->progress, job->plan, wall_ms, units);
	holder->next_due_ms = MIN (holder->next_due_ms, job->due_ms);
	for (guint i = 0; i < units->len; i++)
		give_unit (holder, job, &g_array_index (units, struct dff_unit, i));
}

static void
cancel_units (struct dff_holder *holder, const struct holder_job *job)
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

static void
end_job (struct dff_holder *holder,
	 struct holder_job *job,
	 enum dff_job_state state,
	 const char *reason)
{
	job->progress->state = state;
	commit_mark (holder, job);
	dff_log (DFF_LOG_CELL, DFF_LOG_INFO,
		 "Job over. job=%s state=%s reason=%s class=%s team=%s held_ms=%" PRId64,
		 job->id.data, dff_job_state_name (state), reason, job->plan->class_name.data,
		 job->plan->team.data, holder_now_ms (holder) - job->added_ms);
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
	end_job (holder, job, DFF_JOB_STATE_CANCELLED, "cancelled");
	cancel_units (holder, job);
}

static void
add_job (struct dff_holder *holder, const struct dff_row *row)
{
	struct dff_name id;
	if (!dff_name_parse (row->key, &id) || g_hash_table_contains (holder->jobs, &id) ||
	    commit_is_finished (holder, &id))
		return;
	DFF_AUTO (dff_plan) plan = dff_plan_decode (row->value);
	if (plan == NULL) {
		dff_log (DFF_LOG_CELL, DFF_LOG_ERROR,
			 "A job's row cannot be read. job=%s revision=%" PRId64, id.data,
			 row->revision);
		return;
	}
	const GString *recorded = g_hash_table_lookup (holder->recorded, &id);
	struct dff_progress *progress = NULL;
	if (recorded != NULL) {
		progress =
			dff_progress_decode (plan, (struct dff_str){recorded->str, recorded->len});
		if (progress == NULL) {
			dff_log (DFF_LOG_CELL, DFF_LOG_ERROR,
				 "A job's progress cannot be read. job=%s", id.data);
			return;
		}
	}
	struct holder_job *job = g_new0 (struct holder_job, 1);
	job->id = id;
	job->progress = progress != NULL ? progress : dff_progress_new (plan);
	job->plan = g_steal_pointer (&plan);
	job->acks = g_array_new (FALSE, TRUE, sizeof (struct holder_ack));
	job->added_ms = holder_now_ms (holder);
	g_hash_table_insert (holder->jobs, &job->id, job);
	workers_declare_team (holder, &job->plan->team);
	if (holder->phase != DFF_HOLDER_HOLDING)
		return;
	dff_log (DFF_LOG_CELL, DFF_LOG_INFO,
		 "Job taken in. job=%s class=%s team=%s steps=%u occurrences=%d revision=%" PRId64,
		 job->id.data, job->plan->class_name.data, job->plan->team.data,
		 job->plan->steps->len, job->plan->occurrences, row->revision);
	offer (holder, job);
	holder_wake (holder);
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
jobs_know_key (struct dff_holder *holder, struct dff_str key)
{
	struct dff_name id;
	bool cancel = split_cancel_key (&key);
	if (!dff_name_parse (key, &id) || commit_is_finished (holder, &id))
		return true;
	const struct holder_job *job = g_hash_table_lookup (holder->jobs, &id);
	return job != NULL &&
	       (!cancel || job->cancelled || dff_job_state_is_final (job->progress->state));
}

void
jobs_handle_row (void *ctx, const struct dff_row *row)
{
	struct dff_holder *holder = ctx;
	struct dff_str key = row->key;
	if (row->removed)
		return;
	if (split_cancel_key (&key))
		handle_cancel_row (holder, key);
	else
		add_job (holder, row);
}

void
jobs_recover (struct dff_holder *holder)
{
	g_autoptr (GList) jobs = g_hash_table_get_values (holder->jobs);
	for (GList *link = jobs; link != NULL; link = link->next) {
		struct holder_job *job = link->data;
		if (dff_job_state_is_final (job->progress->state)) {
			/* Written once more: what follows a written final row follows here too. */
			commit_mark (holder, job);
			continue;
		}
		bool cancelled = job->cancelled;
		job->cancelled = false;
		offer (holder, job);
		if (cancelled)
			cancel_job (holder, job);
	}
}

bool
jobs_release (struct dff_holder *holder, struct holder_job *job)
{
	/* A unit may still be stopping. Its end writes the job's row again and comes here again. */
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, holder->units);
	while (g_hash_table_iter_next (&iter, NULL, &value)) {
		if (((struct holder_unit *)value)->job == job)
			return false;
	}
	g_hash_table_remove (holder->jobs, &job->id);
	return true;
}

void
jobs_note_started (struct dff_holder *holder, struct holder_unit *unit)
{
	struct holder_job *job = unit->job;
	if (job->progress->state != DFF_JOB_STATE_QUEUED)
		return;
	job->progress->state = DFF_JOB_STATE_RUNNING;
	commit_mark (holder, job);
	dff_histogram_observe (holder->metrics.job_wait, holder_now_ms (holder) - job->added_ms);
	dff_log (DFF_LOG_CELL, DFF_LOG_INFO, "Job began. job=%s class=%s waited_ms=%" PRId64,
		 job->id.data, job->plan->class_name.data, holder_now_ms (holder) - job->added_ms);
}

void
jobs_note_failed (struct dff_holder *holder, struct holder_unit *unit, int32_t member)
{
	int32_t failures = member_task (unit, member)->failures + 1;
	for (int32_t i = 0; i < unit->n_members; i++)
		member_task (unit, i)->failures = failures;
	commit_mark (holder, unit->job);
}

static void
record_start (struct dff_holder *holder,
	      struct holder_unit *unit,
	      const struct dff_command *command)
{
	unit->attempt = command->attempt;
	for (int32_t i = 0; i < unit->n_members; i++) {
		struct dff_task *task = member_task (unit, i);
		task->state = DFF_TASK_ASSIGNED;
		task->run = unit->base_run + command->attempt;
		task->worker = g_array_index (command->placements, struct dff_placement, i).worker;
	}
	struct holder_ack ack = {.unit = unit->name, .attempt = command->attempt};
	g_array_append_val (unit->job->acks, ack);
	commit_mark (holder, unit->job);
	const struct dff_task *task = member_task (unit, 0);
	dff_log (DFF_LOG_CELL, DFF_LOG_INFO,
		 "Unit placed. unit=%s run=%d tasks=%d worker=%s waited_ms=%" PRId64 " resumed=%d",
		 unit->name.data, task->run, unit->n_members, task->worker.data,
		 holder_now_ms (holder) - unit->job->added_ms, task->checkpoint != NULL);
}

static void
start_task (struct dff_holder *holder, struct holder_unit *unit, const struct dff_command *command)
{
	struct holder_worker *worker = workers_find (holder, &command->placement.worker);
	if (worker == NULL || worker->gone) {
		jobs_emit (holder, &unit->name, command->attempt, command->member,
			   DFF_EVENT_TASK_REJECTED, false);
		return;
	}
	struct holder_run *run =
		run_new (holder, unit, command->member, worker, DFF_RUN_PHASE_STARTING);
	run->run = unit->base_run + command->attempt;
	run->checkpoint = g_strdup (member_task (unit, command->member)->checkpoint);
}

static void
stop_task (struct dff_holder *holder, struct holder_unit *unit, const struct dff_command *command)
{
	struct holder_run *run = unit->runs[command->member];
	if (run != NULL)
		run_stop (holder, run);
	else
		jobs_emit (holder, &unit->name, command->attempt, command->member,
			   DFF_EVENT_TASK_STOPPED, false);
}

/* The recorded runs are over, and none is open. */
static void
clear_assignment (struct dff_holder *holder, struct holder_unit *unit)
{
	for (int32_t i = 0; i < unit->n_members; i++) {
		struct dff_task *task = member_task (unit, i);
		if (task->state == DFF_TASK_ASSIGNED)
			task->state = DFF_TASK_PENDING;
	}
	commit_mark (holder, unit->job);
}

static void
complete_unit (struct dff_holder *holder, struct holder_unit *unit)
{
	struct holder_job *job = unit->job;
	jobs_note_started (holder, unit);
	dff_progress_finish (job->progress, job->plan, &unit->unit);
	commit_mark (holder, job);
	if (job->progress->state == DFF_JOB_STATE_COMPLETED)
		end_job (holder, job, DFF_JOB_STATE_COMPLETED, "all_steps_done");
}

static void
end_unit (struct dff_holder *holder, struct holder_unit *unit, const struct dff_command *command)
{
	struct holder_job *job = unit->job;
	struct dff_unit at = unit->unit;
	bool final = dff_job_state_is_final (job->progress->state);
	bool endless = dff_plan_step (job->plan, at.step)->endless && !final;
	if (endless || command->outcome != DFF_OUTCOME_COMPLETED)
		clear_assignment (holder, unit);
	else if (!final)
		complete_unit (holder, unit);
	bool failed = !endless && !final && command->outcome == DFF_OUTCOME_FAILED;
	jobs_emit (holder, &unit->name, command->attempt, 0, DFF_EVENT_OUTCOME_RECORDED, false);
	g_hash_table_remove (holder->units, &unit->name);
	if (failed) {
		end_job (holder, job, DFF_JOB_STATE_FAILED, command->reason);
		cancel_units (holder, job);
		return;
	}
	/* An endless unit is over only when its job is cancelled: it is given to the core anew. */
	if (endless)
		give_unit (holder, job, &at);
	else
		offer (holder, job);
}

static void
carry_out (struct dff_holder *holder, const struct dff_command *command)
{
	struct holder_unit *unit = g_hash_table_lookup (holder->units, &command->job);
	if (unit == NULL)
		return;
	switch (command->type) {
	case DFF_COMMAND_RECORD_START:
		record_start (holder, unit, command);
		return;
	case DFF_COMMAND_START_TASK:
		start_task (holder, unit, command);
		return;
	case DFF_COMMAND_RELEASE_TASK:
		/* A gang here begins by itself once its members are all present. */
		return;
	case DFF_COMMAND_CHECKPOINT_TASK:
		/* A stop saves as well, so that there is nothing to wait for. */
		jobs_emit (holder, &unit->name, command->attempt, command->member,
			   DFF_EVENT_TASK_CHECKPOINTED, false);
		return;
	case DFF_COMMAND_STOP_TASK:
		stop_task (holder, unit, command);
		return;
	case DFF_COMMAND_RECORD_RETRY:
		clear_assignment (holder, unit);
		return;
	case DFF_COMMAND_RECORD_END:
		end_unit (holder, unit, command);
		return;
	}
}

static void
offer_due (struct dff_holder *holder)
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
			offer (holder, job);
		else if (job->due_ms > 0)
			holder->next_due_ms = MIN (holder->next_due_ms, job->due_ms);
	}
}

void
jobs_work (struct dff_holder *holder)
{
	offer_due (holder);
	for (int32_t i = 0; i < ROUNDS_MAX; i++) {
		dff_core_tick (holder->core, holder_now_ms (holder), holder->commands);
		if (holder->commands->len == 0)
			break;
		/* Commands may bring on others: those are of the next round. */
		g_autoptr (GArray) commands = g_array_copy (holder->commands);
		for (guint j = 0; j < commands->len; j++)
			carry_out (holder, &g_array_index (commands, struct dff_command, j));
	}
	*holder->metrics.open_jobs = (int64_t)g_hash_table_size (holder->jobs);
}
