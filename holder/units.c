#include "holder/holder_private.h"

#include "common/log.h"
#include "holder/policy.h"

/* Units connect the graph with the decision core: a unit is submitted to the core, the core's
 * commands become rows and runs, and the ends of runs become progress. */

G_STATIC_ASSERT (DFF_STEP_GANG_MAX <= DFF_GANG_MAX);

void
unit_free (gpointer data)
{
	struct holder_unit *unit = data;
	g_free (unit->runs);
	g_free (unit);
}

static struct dff_task *
member_task (const struct holder_unit *unit, int32_t member)
{
	return dff_progress_task (unit->job->progress, unit->unit.occurrence, unit->unit.step,
				  MAX (unit->unit.index, 0) + member);
}

/* Number of failed runs on record, without the open run. */
static int32_t
failures_before (const struct holder_unit *unit)
{
	return member_task (unit, 0)->failures -
	       dff_progress_failure_counted (unit->job->progress, unit->job->plan, &unit->unit);
}

/* Number of failed runs that remain allowed, including the open run. */
static int32_t
attempts_left (const struct holder_unit *unit)
{
	const struct dff_plan *plan = unit->job->plan;
	if (dff_plan_step (plan, unit->unit.step)->endless)
		return INT32_MAX;
	return MAX (plan->max_attempts - failures_before (unit), 1);
}

/* The age of a job comes from the wall clock of the process that received it, which may differ
 * from that of the holder. It is at least the time that the holder has known the job for. An
 * occurrence that is due later counts from its due time. */
static int64_t
unit_age_ms (const struct dff_holder *holder, const struct holder_unit *unit)
{
	const struct dff_plan *plan = unit->job->plan;
	int64_t known_ms = holder_now_ms (holder) - unit->job->added_ms;
	int64_t due_ms = dff_plan_due_ms (plan, unit->unit.occurrence);
	int64_t since_ms = MAX (plan->accepted_ms, due_ms);
	if (since_ms <= 0)
		return known_ms;
	int64_t age_ms = dff_clock_wall_ms (holder->options.timers->clock) - since_ms;
	return due_ms > 0 ? MAX (age_ms, 0) : MAX (age_ms, known_ms);
}

static struct dff_objective
unit_objective (const struct dff_holder *holder, const struct holder_unit *unit)
{
	const struct dff_plan *plan = unit->job->plan;
	/* A task that runs until it is cancelled has no time to complete in. */
	if (dff_plan_step (plan, unit->unit.step)->endless)
		return (struct dff_objective){0};
	return (struct dff_objective){
		.stretch = plan->stretch,
		.target_ms = plan->target_latency_ms,
		.chain_ms = dff_plan_chain_ms (plan, -1),
		.tail_ms = dff_plan_chain_ms (plan, unit->unit.step),
		.age_ms = unit_age_ms (holder, unit),
	};
}

static struct dff_job_spec
unit_spec (const struct holder_unit *unit)
{
	const struct dff_plan *plan = unit->job->plan;
	const struct dff_step *step = dff_plan_step (plan, unit->unit.step);
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
		.priority = plan->priority,
		.checkpoint = step->checkpoint,
		.idempotent = true,
		.declared_ms = step->estimate_ms,
		.max_attempts = attempts_left (unit),
		.failures_before = failures_before (unit),
		.blame = dff_progress_max_blame (unit->job->progress, plan, &unit->unit),
		.label = step->label,
		.per_worker = step->per_worker,
		.weight = dff_policy_weight (plan->priority, step->gang ? 1 : step->count),
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

static void
recover_run (struct dff_holder *holder, struct holder_unit *unit, int32_t member)
{
	const struct dff_task *task = member_task (unit, member);
	if (task->state == DFF_PROGRESS_TASK_FAILED || task->state == DFF_PROGRESS_TASK_LOST) {
		enum dff_event_type type = task->state == DFF_PROGRESS_TASK_FAILED
						   ? DFF_EVENT_TASK_FAILED
						   : DFF_EVENT_TASK_LOST;
		jobs_report (holder, &unit->name, unit->attempt, member, type, true);
		return;
	}
	struct holder_worker *worker = workers_intern (holder, &task->worker);
	struct holder_run *run = run_new (holder, unit, member, worker, DFF_RUN_PHASE_OPEN);
	run->run = task->run;
	run->inherited = true;
	run->checkpoint = g_strdup (task->checkpoint);
}

/* Units whose runs are recorded as open continue; members that have failed since have ended. */
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
		/* The worker chooses the accelerators of a task: only their number matters here, so
		 * no accelerator is named. */
		struct dff_placement placement = {.worker = task->worker};
		g_array_append_val (placements, placement);
		g_array_append_val (running, yes);
	}
	struct dff_recovered_attempt recovered = {
		.attempt = 1, .open = true, .placements = placements, .running = running};
	struct dff_event event = {
		.type = DFF_EVENT_JOB_RECOVERED, .spec = spec, .recovered = &recovered};
	dff_core_handle_event (holder->core, &event, holder_now_ms (holder));
	for (int32_t i = 0; i < unit->n_members; i++)
		recover_run (holder, unit, i);
}

void
units_submit (struct dff_holder *holder, struct holder_job *job, const struct dff_unit *at)
{
	struct holder_unit *unit = unit_new (holder, job, at);
	struct dff_objective objective = unit_objective (holder, unit);
	struct dff_job_spec spec = unit_spec (unit);
	spec.objective = objective.stretch > 0.0 ? &objective : NULL;
	if (dff_progress_task_state_is_open (member_task (unit, 0)->state)) {
		recover_unit (holder, unit, &spec);
		return;
	}
	struct dff_event event = {.type = DFF_EVENT_JOB_SUBMITTED, .spec = &spec};
	dff_core_handle_event (holder->core, &event, holder_now_ms (holder));
}

void
unit_note_started (struct dff_holder *holder, struct holder_unit *unit)
{
	struct holder_job *job = unit->job;
	if (job->progress->state != DFF_JOB_STATE_QUEUED)
		return;
	job->progress->state = DFF_JOB_STATE_RUNNING;
	commit_mark_dirty (holder, job);
	dff_histogram_observe (holder->metrics.job_wait, holder_now_ms (holder) - job->added_ms);
	dff_log (DFF_LOG_CELL, DFF_LOG_INFO, "Job began. job=%s class=%s waited_ms=%" PRId64,
		 job->id.data, job->plan->class_name.data, holder_now_ms (holder) - job->added_ms);
}

void
unit_note_failed (struct dff_holder *holder, struct holder_unit *unit, int32_t member)
{
	dff_progress_mark_failed (unit->job->progress, unit->job->plan, &unit->unit,
				  MAX (unit->unit.index, 0) + member);
	commit_mark_dirty (holder, unit->job);
}

static void
record_start (struct dff_holder *holder,
	      struct holder_unit *unit,
	      const struct dff_command *command)
{
	unit->attempt = command->attempt;
	for (int32_t i = 0; i < unit->n_members; i++) {
		struct dff_task *task = member_task (unit, i);
		task->state = DFF_PROGRESS_TASK_ASSIGNED;
		task->run = unit->base_run + command->attempt;
		task->worker = g_array_index (command->placements, struct dff_placement, i).worker;
	}
	struct holder_ack ack = {
		.unit = unit->name,
		.attempt = command->attempt,
		.n_kept_tasks = command->n_kept_tasks,
		.retry_delay_ms =
			unit->failed_ms > 0 ? holder_now_ms (holder) - unit->failed_ms : -1,
	};
	unit->failed_ms = 0;
	g_array_append_val (unit->job->acks, ack);
	commit_mark_dirty (holder, unit->job);
	const struct dff_task *task = member_task (unit, 0);
	dff_log (DFF_LOG_CELL, DFF_LOG_INFO,
		 "Unit placed. unit=%s run=%d tasks=%d worker=%s waited_ms=%" PRId64
		 " resumed=%d kept_tasks=%d",
		 unit->name.data, task->run, unit->n_members, task->worker.data,
		 holder_now_ms (holder) - unit->job->added_ms, task->checkpoint != NULL,
		 command->n_kept_tasks);
}

void
units_note_recorded (struct dff_holder *holder, const struct holder_ack *ack)
{
	if (ack->retry_delay_ms >= 0)
		dff_histogram_observe (holder->metrics.retry_delay, ack->retry_delay_ms);
	(*holder->metrics.kept_tasks_used) += ack->n_kept_tasks;
}

static void
start_task (struct dff_holder *holder, struct holder_unit *unit, const struct dff_command *command)
{
	struct holder_worker *worker = workers_find (holder, &command->placement.worker);
	if (worker == NULL || worker->lost) {
		jobs_report (holder, &unit->name, command->attempt, command->member,
			     DFF_EVENT_TASK_REJECTED, false);
		return;
	}
	struct holder_run *run =
		run_new (holder, unit, command->member, worker, DFF_RUN_PHASE_STARTING);
	run->run = unit->base_run + command->attempt;
	run->checkpoint = g_strdup (member_task (unit, command->member)->checkpoint);
}

/* Once per attempt, for all its members. */
static void
note_stop (struct dff_holder *holder, struct holder_unit *unit, const struct dff_command *command)
{
	if (unit->stopped_attempt == command->attempt)
		return;
	unit->stopped_attempt = command->attempt;
	(*holder->metrics.units_stopped)++;
	const struct holder_run *run = unit->runs[command->member];
	dff_log (DFF_LOG_CELL, DFF_LOG_INFO,
		 "Stopping a unit. unit=%s run=%d tasks=%d reason=%s worker=%s ran_ms=%" PRId64
		 " percent=%d",
		 unit->name.data, unit->base_run + command->attempt, unit->n_members,
		 command->reason, command->placement.worker.data,
		 run != NULL ? holder_now_ms (holder) - run->open_ms : -1,
		 run != NULL ? run->percent : -1);
}

static void
stop_task (struct dff_holder *holder, struct holder_unit *unit, const struct dff_command *command)
{
	note_stop (holder, unit, command);
	struct holder_run *run = unit->runs[command->member];
	if (run != NULL)
		run_stop (holder, run);
	else
		jobs_report (holder, &unit->name, command->attempt, command->member,
			     DFF_EVENT_TASK_STOPPED, false);
}

/* The recorded runs have ended, and none is open. */
static void
clear_assignment (struct dff_holder *holder, struct holder_unit *unit)
{
	for (int32_t i = 0; i < unit->n_members; i++) {
		struct dff_task *task = member_task (unit, i);
		if (dff_progress_task_state_is_open (task->state))
			task->state = DFF_PROGRESS_TASK_PENDING;
	}
	commit_mark_dirty (holder, unit->job);
}

static void
record_retry (struct dff_holder *holder,
	      struct holder_unit *unit,
	      const struct dff_command *command)
{
	clear_assignment (holder, unit);
	const struct dff_retry_input *retry = &command->retry;
	/* A preempted attempt that keeps nothing was logged when it was stopped. */
	if (retry->cause == DFF_RETRY_NONE && command->n_kept_tasks == 0)
		return;
	if (retry->cause != DFF_RETRY_NONE)
		(*holder->metrics.retries[retry->cause])++;
	(*holder->metrics.kept_tasks) += command->n_kept_tasks;
	dff_log (DFF_LOG_CELL, DFF_LOG_INFO,
		 "Unit is retried. unit=%s run=%d attributed=%s failures=%d workers=%d "
		 "prospect=%s slack_ms=%" PRId64 " backoff_ms=%" PRId64 " kept_tasks=%d",
		 unit->name.data, unit->base_run + command->attempt,
		 dff_retry_cause_name (retry->cause), retry->failures, retry->n_workers,
		 dff_prospect_name (retry->objective.prospect), retry->objective.slack_ms,
		 command->backoff_ms, command->n_kept_tasks);
}

static void
complete_unit (struct dff_holder *holder, struct holder_unit *unit)
{
	struct holder_job *job = unit->job;
	unit_note_started (holder, unit);
	dff_progress_mark_done (job->progress, job->plan, &unit->unit);
	commit_mark_dirty (holder, job);
	if (job->progress->state == DFF_JOB_STATE_COMPLETED)
		jobs_end (holder, job, DFF_JOB_STATE_COMPLETED, "all_steps_done");
}

static void
end_unit (struct dff_holder *holder, struct holder_unit *unit, const struct dff_command *command)
{
	struct holder_job *job = unit->job;
	struct dff_unit at = unit->unit;
	bool final = dff_job_state_is_final (job->progress->state);
	/* An endless task fails only because of its blame for lost workers. A withdrawn job has no
	 * final state. */
	bool endless = dff_plan_step (job->plan, at.step)->endless && !final && !job->cancelled &&
		       command->outcome != DFF_OUTCOME_FAILED;
	if (endless || command->outcome != DFF_OUTCOME_COMPLETED)
		clear_assignment (holder, unit);
	else if (!final)
		complete_unit (holder, unit);
	bool failed = !endless && !final && command->outcome == DFF_OUTCOME_FAILED;
	jobs_report (holder, &unit->name, command->attempt, 0, DFF_EVENT_OUTCOME_RECORDED, false);
	g_hash_table_remove (holder->units, &unit->name);
	if (failed) {
		jobs_end (holder, job, DFF_JOB_STATE_FAILED, command->reason);
		jobs_cancel_units (holder, job);
		return;
	}
	/* An endless unit ends only when its job is cancelled: otherwise it is submitted to the
	 * core again. */
	if (endless)
		units_submit (holder, job, &at);
	else
		jobs_submit_ready (holder, job);
}

void
units_execute (struct dff_holder *holder, const struct dff_command *command)
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
		/* A gang starts working by itself once all its members have started. */
		return;
	case DFF_COMMAND_CHECKPOINT_TASK:
		/* A stop saves a checkpoint as well, so there is nothing to wait for. */
		jobs_report (holder, &unit->name, command->attempt, command->member,
			     DFF_EVENT_TASK_CHECKPOINTED, false);
		return;
	case DFF_COMMAND_STOP_TASK:
		stop_task (holder, unit, command);
		return;
	case DFF_COMMAND_RECORD_RETRY:
		record_retry (holder, unit, command);
		return;
	case DFF_COMMAND_RECORD_OUTCOME:
		end_unit (holder, unit, command);
		return;
	}
}
