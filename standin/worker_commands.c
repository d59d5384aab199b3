#include "standin/worker_tasks_private.h"

#include <string.h>

/** Fills in the report of @id; an unknown task is reported as DFF_TASK_UNKNOWN. */
static void
report_task (const struct dff_worker_tasks *tasks,
	     const struct dff_task_id *id,
	     struct dff_task_report *report)
{
	const struct dff_task *task = dff_worker_tasks_find (tasks, id);
	memset (report, 0, sizeof (*report));
	report->task = *id;
	report->state = DFF_TASK_UNKNOWN;
	if (task != NULL)
		*report = task->report;
}

/**
 * Ticks before the command: a held task whose lease has expired must not run when its release
 * arrives before the tick that ends the task. Returns: whether a command of @epoch is allowed.
 */
static bool
begin_command (struct dff_worker_tasks *tasks, int64_t epoch)
{
	dff_worker_tasks_tick (tasks);
	if (tasks->options.check_epochs && epoch < tasks->newest_epoch)
		return false;
	tasks->newest_epoch = MAX (tasks->newest_epoch, epoch);
	return true;
}

static bool
fits (const struct dff_worker_tasks *tasks, const struct dff_task_start *start)
{
	const struct dff_resources *capacity = &tasks->options.capacity;
	const struct dff_resources *used = &tasks->used;
	uint64_t present = capacity->accelerators >= 64
				   ? UINT64_MAX
				   : (UINT64_C (1) << capacity->accelerators) - 1;
	struct dff_name key;
	return dff_task_result_key (&start->task, &key) && (start->accelerators & ~present) == 0 &&
	       (start->accelerators & tasks->accelerators_used) == 0 &&
	       used->slots + tasks->requests + start->resources.slots <= capacity->slots &&
	       used->cores + start->resources.cores <= capacity->cores &&
	       used->memory_gb + start->resources.memory_gb <= capacity->memory_gb;
}

static void
accept_start (struct dff_worker_tasks *tasks, const struct dff_task_start *start)
{
	struct dff_task *task = dff_worker_tasks_add (tasks, &start->task);
	task->resources = start->resources;
	task->accelerators = start->accelerators;
	task->percent = DFF_TASK_FULL_SPEED;
	task->lease_until_ms = dff_clock_now_ms (tasks->options.clock) + start->lease_ms;
	task->loading = start->resume;
	task->report.state = DFF_TASK_HELD;
	dff_task_payload_parse (start->payload, &task->payload);
	dff_worker_tasks_account (tasks, task, 1);
	g_ptr_array_add (tasks->active, task);
	dff_worker_tasks_changed (tasks, task);
	if (!start->held)
		dff_worker_tasks_run (tasks, task);
	if (start->resume)
		tasks->options.callbacks.load (tasks->options.callbacks.ctx, &start->task);
}

enum dff_worker_outcome
dff_worker_tasks_start (struct dff_worker_tasks *tasks,
			const struct dff_task_start *start,
			struct dff_task_report *report)
{
	bool accepted = begin_command (tasks, start->epoch);
	const struct dff_task *known = dff_worker_tasks_find (tasks, &start->task);
	if (accepted && known != NULL)
		accepted = known->report.state != DFF_TASK_REFUSED;
	else if (accepted)
		accepted = !tasks->leaving && fits (tasks, start);
	if (accepted && known == NULL)
		accept_start (tasks, start);
	report_task (tasks, &start->task, report);
	return accepted ? DFF_WORKER_OK : DFF_WORKER_REFUSED;
}

enum dff_worker_outcome
dff_worker_tasks_release (struct dff_worker_tasks *tasks,
			  const struct dff_task_id *id,
			  int64_t epoch,
			  struct dff_task_report *report)
{
	bool current = begin_command (tasks, epoch);
	struct dff_task *task = dff_worker_tasks_find (tasks, id);
	bool accepted = current && task != NULL && task->report.state != DFF_TASK_REFUSED;
	if (accepted && task->report.state == DFF_TASK_HELD)
		dff_worker_tasks_run (tasks, task);
	report_task (tasks, id, report);
	return accepted ? DFF_WORKER_OK : DFF_WORKER_REFUSED;
}

enum dff_worker_outcome
dff_worker_tasks_throttle (struct dff_worker_tasks *tasks,
			   const struct dff_task_id *id,
			   int64_t epoch,
			   int32_t percent,
			   struct dff_task_report *report)
{
	bool current = begin_command (tasks, epoch);
	struct dff_task *task = dff_worker_tasks_find (tasks, id);
	bool accepted = current && task != NULL && dff_task_is_active (task);
	if (accepted) {
		dff_task_update_progress (task, dff_clock_now_ms (tasks->options.clock));
		task->percent = percent;
	}
	report_task (tasks, id, report);
	return accepted ? DFF_WORKER_OK : DFF_WORKER_REFUSED;
}

enum dff_worker_outcome
dff_worker_tasks_stop (struct dff_worker_tasks *tasks,
		       const struct dff_task_id *id,
		       int64_t epoch,
		       struct dff_task_report *report)
{
	bool accepted = begin_command (tasks, epoch);
	if (accepted) {
		struct dff_task *task = dff_worker_tasks_find (tasks, id);
		if (task == NULL)
			task = dff_worker_tasks_add (tasks, id);
		if (dff_task_is_active (task) || task->report.state == DFF_TASK_UNKNOWN)
			dff_worker_tasks_end (tasks, task);
	}
	report_task (tasks, id, report);
	return accepted ? DFF_WORKER_OK : DFF_WORKER_REFUSED;
}

enum dff_worker_outcome
dff_worker_tasks_checkpoint (struct dff_worker_tasks *tasks,
			     const struct dff_task_id *id,
			     int64_t epoch,
			     int64_t *done_ms,
			     struct dff_task_report *report)
{
	bool current = begin_command (tasks, epoch);
	struct dff_task *task = dff_worker_tasks_find (tasks, id);
	bool accepted =
		current && task != NULL && !task->loading && task->report.state == DFF_TASK_RUNNING;
	if (accepted) {
		dff_task_update_progress (task, dff_clock_now_ms (tasks->options.clock));
		*done_ms = task->progress / DFF_TASK_FULL_SPEED;
	}
	report_task (tasks, id, report);
	return accepted ? DFF_WORKER_OK : DFF_WORKER_REFUSED;
}

void
dff_worker_tasks_checkpointed (struct dff_worker_tasks *tasks,
			       const struct dff_task_id *id,
			       struct dff_task_report *report)
{
	struct dff_task *task = dff_worker_tasks_find (tasks, id);
	if (task != NULL && task->report.state == DFF_TASK_RUNNING) {
		task->report.checkpoints++;
		dff_worker_tasks_changed (tasks, task);
	}
	report_task (tasks, id, report);
}
