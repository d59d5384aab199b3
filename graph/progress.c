#include "graph/progress.h"

#include <string.h>

static const char *const state_names[] = {
	[DFF_JOB_STATE_QUEUED] = "queued",       [DFF_JOB_STATE_RUNNING] = "running",
	[DFF_JOB_STATE_COMPLETED] = "completed", [DFF_JOB_STATE_FAILED] = "failed",
	[DFF_JOB_STATE_CANCELLED] = "cancelled",
};

const char *
dff_job_state_name (enum dff_job_state state)
{
	return state_names[state];
}

bool
dff_job_state_parse (struct dff_str text, enum dff_job_state *state)
{
	for (size_t i = 0; i < G_N_ELEMENTS (state_names); i++) {
		if (!dff_str_equal (text, dff_str_from (state_names[i])))
			continue;
		*state = (enum dff_job_state)i;
		return true;
	}
	return false;
}

static void
task_clear (gpointer data)
{
	g_free (((struct dff_task *)data)->checkpoint);
}

static void
step_clear (gpointer data)
{
	g_array_unref (((struct dff_step_progress *)data)->tasks);
}

struct dff_progress *
dff_progress_new (const struct dff_plan *plan)
{
	struct dff_progress *progress = g_new0 (struct dff_progress, 1);
	progress->n_steps = (int32_t)plan->steps->len;
	progress->steps = g_array_new (FALSE, TRUE, sizeof (struct dff_step_progress));
	g_array_set_clear_func (progress->steps, step_clear);
	for (int32_t i = 0; i < plan->occurrences * progress->n_steps; i++) {
		const struct dff_step *step = dff_plan_step (plan, i % progress->n_steps);
		struct dff_step_progress step_progress = {
			.tasks = g_array_new (FALSE, TRUE, sizeof (struct dff_task))};
		g_array_set_clear_func (step_progress.tasks, task_clear);
		g_array_set_size (step_progress.tasks, (guint)step->count);
		g_array_append_val (progress->steps, step_progress);
	}
	return progress;
}

void
dff_progress_free (struct dff_progress *progress)
{
	g_array_unref (progress->steps);
	g_free (progress);
}

struct dff_step_progress *
dff_progress_step (const struct dff_progress *progress, int32_t occurrence, int32_t step)
{
	return &g_array_index (progress->steps, struct dff_step_progress,
			       occurrence * progress->n_steps + step);
}

struct dff_task *
dff_progress_task (const struct dff_progress *progress,
		   int32_t occurrence,
		   int32_t step,
		   int32_t index)
{
	return &g_array_index (dff_progress_step (progress, occurrence, step)->tasks,
			       struct dff_task, index);
}

int64_t
dff_plan_due_ms (const struct dff_plan *plan, int32_t occurrence)
{
	return plan->timed ? plan->first_ms + occurrence * plan->interval_ms : 0;
}

static bool
step_is_done (const struct dff_progress *progress, int32_t occurrence, int32_t step)
{
	const struct dff_step_progress *step_progress =
		dff_progress_step (progress, occurrence, step);
	return step_progress->n_done == (int32_t)step_progress->tasks->len;
}

static bool
step_may_begin (const struct dff_progress *progress,
		const struct dff_plan *plan,
		int32_t occurrence,
		int32_t step)
{
	const GArray *after = dff_plan_step (plan, step)->after;
	for (guint i = 0; i < after->len; i++) {
		if (!step_is_done (progress, occurrence, g_array_index (after, int32_t, i)))
			return false;
	}
	return true;
}

static void
append_units (struct dff_progress *progress,
	      const struct dff_plan *plan,
	      int32_t occurrence,
	      int32_t step,
	      GArray *units)
{
	struct dff_step_progress *step_progress = dff_progress_step (progress, occurrence, step);
	step_progress->units_taken = true;
	struct dff_unit unit = {.occurrence = occurrence, .step = step, .index = -1};
	if (dff_plan_step (plan, step)->gang) {
		g_array_append_val (units, unit);
		return;
	}
	for (guint i = 0; i < step_progress->tasks->len; i++) {
		if (g_array_index (step_progress->tasks, struct dff_task, i).state ==
		    DFF_PROGRESS_TASK_DONE)
			continue;
		unit.index = (int32_t)i;
		g_array_append_val (units, unit);
	}
}

int64_t
dff_progress_take_ready (struct dff_progress *progress,
			 const struct dff_plan *plan,
			 int64_t now_wall_ms,
			 GArray *units)
{
	if (dff_job_state_is_final (progress->state))
		return INT64_MAX;
	for (int32_t i = 0; i < plan->occurrences; i++) {
		int64_t due_ms = dff_plan_due_ms (plan, i);
		if (due_ms > now_wall_ms)
			return due_ms;
		for (int32_t j = 0; j < progress->n_steps; j++) {
			if (!dff_progress_step (progress, i, j)->units_taken &&
			    !step_is_done (progress, i, j) && step_may_begin (progress, plan, i, j))
				append_units (progress, plan, i, j, units);
		}
	}
	return INT64_MAX;
}

struct dff_unit_tasks
dff_unit_tasks (const struct dff_plan *plan, const struct dff_unit *unit)
{
	if (unit->index >= 0)
		return (struct dff_unit_tasks){unit->index, unit->index + 1};
	return (struct dff_unit_tasks){0, dff_plan_step (plan, unit->step)->count};
}

void
dff_progress_mark_done (struct dff_progress *progress,
			const struct dff_plan *plan,
			const struct dff_unit *unit)
{
	struct dff_step_progress *step_progress =
		dff_progress_step (progress, unit->occurrence, unit->step);
	struct dff_unit_tasks tasks = dff_unit_tasks (plan, unit);
	for (int32_t i = tasks.first; i < tasks.end; i++) {
		struct dff_task *task = &g_array_index (step_progress->tasks, struct dff_task, i);
		if (task->state == DFF_PROGRESS_TASK_DONE)
			continue;
		task->state = DFF_PROGRESS_TASK_DONE;
		g_clear_pointer (&task->checkpoint, g_free);
		step_progress->n_done++;
		if (step_progress->n_done == (int32_t)step_progress->tasks->len)
			progress->n_steps_done++;
	}
	if (progress->n_steps_done == (int32_t)progress->steps->len)
		progress->state = DFF_JOB_STATE_COMPLETED;
}

bool
dff_progress_failure_counted (const struct dff_progress *progress,
			      const struct dff_plan *plan,
			      const struct dff_unit *unit)
{
	struct dff_unit_tasks tasks = dff_unit_tasks (plan, unit);
	for (int32_t i = tasks.first; i < tasks.end; i++) {
		if (dff_progress_task (progress, unit->occurrence, unit->step, i)->state ==
		    DFF_PROGRESS_TASK_FAILED)
			return true;
	}
	return false;
}

/* The task's state records that the failure of the run in progress is counted; the number of
 * failures alone does not show that. Otherwise a job could fail one failed run too early, or be
 * restarted after one too many: a member of a gang fails, the failure is recorded, and the holder
 * ends before the other members have ended. The next holder then receives the failure again or, as
 * the failure was acknowledged, never. */
void
dff_progress_mark_failed (struct dff_progress *progress,
			  const struct dff_plan *plan,
			  const struct dff_unit *unit,
			  int32_t index)
{
	struct dff_unit_tasks tasks = dff_unit_tasks (plan, unit);
	bool counted = dff_progress_failure_counted (progress, plan, unit);
	for (int32_t i = tasks.first; i < tasks.end; i++)
		dff_progress_task (progress, unit->occurrence, unit->step, i)->failures += !counted;
	dff_progress_task (progress, unit->occurrence, unit->step, index)->state =
		DFF_PROGRESS_TASK_FAILED;
}

/* The task's state records the loss, so that a task is not blamed twice for one worker: a member of
 * a gang is lost with its worker, the loss is recorded, and the holder ends before the other
 * members have ended. The next holder then detects the loss of the same worker again. */
bool
dff_progress_mark_lost (struct dff_progress *progress, const struct dff_unit *unit, int32_t index)
{
	struct dff_task *task = dff_progress_task (progress, unit->occurrence, unit->step, index);
	if (task->state != DFF_PROGRESS_TASK_ASSIGNED)
		return false;
	task->state = DFF_PROGRESS_TASK_LOST;
	return true;
}

int32_t
dff_progress_max_blame (const struct dff_progress *progress,
			const struct dff_plan *plan,
			const struct dff_unit *unit)
{
	struct dff_unit_tasks tasks = dff_unit_tasks (plan, unit);
	int32_t blame = 0;
	for (int32_t i = tasks.first; i < tasks.end; i++) {
		const struct dff_task *task =
			dff_progress_task (progress, unit->occurrence, unit->step, i);
		blame = MAX (blame, task->blame);
	}
	return blame;
}

bool
dff_progress_save_checkpoint (struct dff_progress *progress,
			      const struct dff_plan *plan,
			      const struct dff_unit *unit,
			      struct dff_str checkpoint)
{
	bool is_new = false;
	struct dff_unit_tasks tasks = dff_unit_tasks (plan, unit);
	for (int32_t i = tasks.first; i < tasks.end; i++) {
		struct dff_task *task =
			dff_progress_task (progress, unit->occurrence, unit->step, i);
		if (task->checkpoint != NULL &&
		    dff_str_equal (dff_str_from (task->checkpoint), checkpoint))
			break;
		is_new = true;
		g_free (task->checkpoint);
		task->checkpoint = g_strndup (checkpoint.data, checkpoint.len);
	}
	return is_new;
}

struct dff_name
dff_unit_name (const struct dff_plan *plan, const struct dff_unit *unit)
{
	if (unit->index < 0)
		return dff_name_printf ("%s.%d.%d", plan->id.data, unit->occurrence, unit->step);
	return dff_name_printf ("%s.%d.%d.%d", plan->id.data, unit->occurrence, unit->step,
				unit->index);
}

struct dff_name
dff_task_ref_name (const struct dff_task_ref *ref)
{
	return dff_name_printf ("%s.%d.%d.%d", ref->job.data, ref->occurrence, ref->step,
				ref->index);
}

/* Removes the last dot of @text and the number after it. Returns: false if there is no number. */
static bool
split_number (char *text, int32_t *number)
{
	char *dot = strrchr (text, '.');
	guint64 value;
	if (dot == NULL || !g_ascii_string_to_unsigned (dot + 1, 10, 0, INT32_MAX, &value, NULL))
		return false;
	*number = (int32_t)value;
	*dot = '\0';
	return true;
}

bool
dff_task_ref_parse (struct dff_str text, struct dff_task_ref *ref)
{
	struct dff_name name;
	if (!dff_name_parse (text, &name))
		return false;
	return split_number (name.data, &ref->index) && split_number (name.data, &ref->step) &&
	       split_number (name.data, &ref->occurrence) &&
	       dff_name_parse (dff_str_from (name.data), &ref->job);
}
