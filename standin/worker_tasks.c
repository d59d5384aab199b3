#include "standin/worker_tasks_private.h"

#include <inttypes.h>

#include "common/log.h"

/** Retention time of ended tasks and tombstones, ms. */
#define RETENTION_MS (INT64_C (60) * 60 * 1000)

static guint
task_id_hash (gconstpointer key)
{
	const struct dff_task_id *id = key;
	return dff_name_hash (&id->job) ^ (guint)(id->attempt * 131 + id->member);
}

static gboolean
task_id_equal (gconstpointer a, gconstpointer b)
{
	const struct dff_task_id *left = a;
	const struct dff_task_id *right = b;
	return left->attempt == right->attempt && left->member == right->member &&
	       dff_name_equal (&left->job, &right->job);
}

struct dff_worker_tasks *
dff_worker_tasks_new (const struct dff_worker_tasks_options *options)
{
	struct dff_worker_tasks *tasks = g_new0 (struct dff_worker_tasks, 1);
	tasks->options = *options;
	tasks->by_id = g_hash_table_new_full (task_id_hash, task_id_equal, NULL, g_free);
	tasks->active = g_ptr_array_new ();
	return tasks;
}

void
dff_worker_tasks_free (struct dff_worker_tasks *tasks)
{
	g_ptr_array_unref (tasks->active);
	g_hash_table_unref (tasks->by_id);
	g_free (tasks);
}

struct dff_task *
dff_worker_tasks_find (const struct dff_worker_tasks *tasks, const struct dff_task_id *id)
{
	return g_hash_table_lookup (tasks->by_id, id);
}

bool
dff_task_result_key (const struct dff_task_id *id, struct dff_name *key)
{
	char text[2 * DFF_NAME_MAX];
	g_snprintf (text, sizeof (text), "%s:%" PRId32 ":%" PRId32, id->job.data, id->attempt,
		    id->member);
	return dff_name_parse (dff_str_from (text), key);
}

static int64_t
now_ms (const struct dff_worker_tasks *tasks)
{
	return dff_clock_now_ms (tasks->options.clock);
}

bool
dff_task_is_active (const struct dff_task *task)
{
	return task->report.state == DFF_TASK_HELD || task->report.state == DFF_TASK_RUNNING;
}

void
dff_worker_tasks_changed (struct dff_worker_tasks *tasks, struct dff_task *task)
{
	if (task->sequence != 0)
		g_queue_unlink (&tasks->changes, &task->link);
	task->sequence = ++tasks->sequence;
	g_queue_push_tail_link (&tasks->changes, &task->link);
	tasks->options.callbacks.changed (tasks->options.callbacks.ctx);
}

struct dff_task *
dff_worker_tasks_add (struct dff_worker_tasks *tasks, const struct dff_task_id *id)
{
	struct dff_task *task = g_new0 (struct dff_task, 1);
	task->link.data = task;
	task->report.task = *id;
	g_hash_table_insert (tasks->by_id, &task->report.task, task);
	return task;
}

void
dff_worker_tasks_account (struct dff_worker_tasks *tasks, const struct dff_task *task, int32_t sign)
{
	tasks->used.slots += sign * task->resources.slots;
	tasks->used.cores += sign * task->resources.cores;
	tasks->used.memory_gb += sign * task->resources.memory_gb;
	tasks->accelerators_used ^= task->accelerators;
}

/** Moves an active task to a final state, or a new one to a tombstone's. */
static void
end_task (struct dff_worker_tasks *tasks, struct dff_task *task, enum dff_task_state state)
{
	if (dff_task_is_active (task)) {
		dff_worker_tasks_account (tasks, task, -1);
		g_ptr_array_remove_fast (tasks->active, task);
	}
	task->report.state = state;
	task->ended_ms = now_ms (tasks);
	dff_worker_tasks_changed (tasks, task);
}

/** A task that has not run becomes a tombstone. */
void
dff_worker_tasks_end (struct dff_worker_tasks *tasks, struct dff_task *task)
{
	end_task (tasks, task, task->report.ran ? DFF_TASK_STOPPED : DFF_TASK_REFUSED);
}

void
dff_worker_tasks_run (struct dff_worker_tasks *tasks, struct dff_task *task)
{
	task->report.state = DFF_TASK_RUNNING;
	task->report.ran = true;
	task->progress_until_ms = now_ms (tasks);
	dff_worker_tasks_changed (tasks, task);
	dff_log (DFF_LOG_STANDIN, DFF_LOG_INFO, "Task started. job=%s attempt=%d member=%d",
		 task->report.task.job.data, task->report.task.attempt, task->report.task.member);
	const struct dff_worker_tasks_callbacks *callbacks = &tasks->options.callbacks;
	if (callbacks->ran != NULL)
		callbacks->ran (callbacks->ctx, &task->report.task, &task->payload.tag);
	if (tasks->fail_everything)
		end_task (tasks, task, DFF_TASK_FAILED);
}

static bool
is_working (const struct dff_task *task)
{
	return task->report.state == DFF_TASK_RUNNING && !task->loading && !task->writing_result;
}

void
dff_task_update_progress (struct dff_task *task, int64_t now_ms)
{
	int64_t until_ms = MIN (now_ms, task->lease_until_ms);
	if (until_ms <= task->progress_until_ms)
		return;
	if (is_working (task))
		task->progress += (until_ms - task->progress_until_ms) * task->percent;
	task->progress_until_ms = until_ms;
}

static bool
work_is_done (const struct dff_task *task)
{
	return is_working (task) && task->progress >= task->payload.run_ms * DFF_TASK_FULL_SPEED;
}

static bool
is_due (struct dff_task *task, int64_t now)
{
	dff_task_update_progress (task, now);
	return work_is_done (task) || now >= task->lease_until_ms;
}

/* Work that was done before the lease expired counts, even when the tick comes late. */
static void
end_due_task (struct dff_worker_tasks *tasks, struct dff_task *task)
{
	if (!work_is_done (task)) {
		dff_log (DFF_LOG_STANDIN, DFF_LOG_WARNING,
			 "Task lease expired. job=%s attempt=%d member=%d",
			 task->report.task.job.data, task->report.task.attempt,
			 task->report.task.member);
		dff_worker_tasks_end (tasks, task);
		return;
	}
	if (task->payload.fail) {
		end_task (tasks, task, DFF_TASK_FAILED);
		return;
	}
	task->writing_result = true;
	tasks->options.callbacks.finish (tasks->options.callbacks.ctx, &task->report.task,
					 task->payload.result_bytes);
}

static struct dff_task *
first_due (struct dff_worker_tasks *tasks, int64_t now)
{
	for (guint i = 0; i < tasks->active->len; i++) {
		struct dff_task *task = g_ptr_array_index (tasks->active, i);
		if (is_due (task, now))
			return task;
	}
	return NULL;
}

static void
remove_expired (struct dff_worker_tasks *tasks, int64_t now)
{
	while (!g_queue_is_empty (&tasks->changes)) {
		struct dff_task *task = tasks->changes.head->data;
		if (dff_task_is_active (task) || task->ended_ms + RETENTION_MS > now)
			return;
		g_queue_unlink (&tasks->changes, &task->link);
		g_hash_table_remove (tasks->by_id, &task->report.task);
	}
}

void
dff_worker_tasks_tick (struct dff_worker_tasks *tasks)
{
	int64_t now = now_ms (tasks);
	/* A callback may end the task and change the array, so iteration restarts after each. */
	for (struct dff_task *task = first_due (tasks, now); task != NULL;
	     task = first_due (tasks, now))
		end_due_task (tasks, task);
	remove_expired (tasks, now);
}

static int64_t
task_due_ms (const struct dff_task *task)
{
	if (!is_working (task) || task->percent == 0)
		return task->lease_until_ms;
	int64_t left = MAX (task->payload.run_ms * DFF_TASK_FULL_SPEED - task->progress, 0);
	int64_t done_ms = task->progress_until_ms + (left + task->percent - 1) / task->percent;
	return MIN (done_ms, task->lease_until_ms);
}

int64_t
dff_worker_tasks_next_due_ms (const struct dff_worker_tasks *tasks)
{
	int64_t due_ms = INT64_MAX;
	for (guint i = 0; i < tasks->active->len; i++)
		due_ms = MIN (due_ms, task_due_ms (g_ptr_array_index (tasks->active, i)));
	return due_ms;
}

void
dff_worker_tasks_query (const struct dff_worker_tasks *tasks, GArray *reports)
{
	for (const GList *at = tasks->changes.head; at != NULL; at = at->next) {
		const struct dff_task *task = at->data;
		g_array_append_val (reports, task->report);
	}
}

static void
append_changes (const struct dff_worker_tasks *tasks, int64_t after_sequence, GArray *reports)
{
	const GList *at = tasks->changes.tail;
	while (at != NULL && ((const struct dff_task *)at->data)->sequence > after_sequence)
		at = at->prev;
	for (at = at == NULL ? tasks->changes.head : at->next; at != NULL; at = at->next) {
		const struct dff_task *task = at->data;
		g_array_append_val (reports, task->report);
	}
}

void
dff_worker_tasks_renew (struct dff_worker_tasks *tasks,
			const struct dff_worker_renewal *renewal,
			GArray *reports)
{
	/* A task whose lease has expired is ended first: the holder may rely on its end. */
	dff_worker_tasks_tick (tasks);
	/* The lease counts from from_ms, not from now: a renewal that was delayed, or whose answer
	 * is lost, must not keep tasks running after the time at which the holder assumes them
	 * lost. A from_ms in the future is from another machine's clock and extends nothing. */
	int64_t until_ms = renewal->from_ms + renewal->lease_ms;
	if (renewal->from_ms > now_ms (tasks))
		until_ms = 0;
	for (guint i = 0; i < tasks->active->len; i++) {
		struct dff_task *task = g_ptr_array_index (tasks->active, i);
		task->lease_until_ms = MAX (task->lease_until_ms, until_ms);
	}
	append_changes (tasks, renewal->after_sequence, reports);
}

int64_t
dff_worker_tasks_sequence (const struct dff_worker_tasks *tasks)
{
	return tasks->sequence;
}

int64_t
dff_worker_tasks_incarnation (const struct dff_worker_tasks *tasks)
{
	return tasks->options.incarnation;
}

void
dff_worker_tasks_result_written (struct dff_worker_tasks *tasks,
				 const struct dff_task_id *id,
				 const struct dff_name *key,
				 int64_t length,
				 const char *digest)
{
	struct dff_task *task = dff_worker_tasks_find (tasks, id);
	if (task == NULL || !task->writing_result || !dff_task_is_active (task))
		return;
	task->report.result_key = *key;
	task->report.result_length = length;
	g_strlcpy (task->report.result_digest, digest, sizeof (task->report.result_digest));
	end_task (tasks, task, DFF_TASK_COMPLETED);
}

void
dff_worker_tasks_loaded (struct dff_worker_tasks *tasks,
			 const struct dff_task_id *id,
			 int64_t done_ms)
{
	struct dff_task *task = dff_worker_tasks_find (tasks, id);
	if (task == NULL || !task->loading)
		return;
	dff_task_update_progress (task, now_ms (tasks));
	task->loading = false;
	task->progress = done_ms * DFF_TASK_FULL_SPEED;
}

bool
dff_worker_tasks_begin_request (struct dff_worker_tasks *tasks)
{
	if (tasks->leaving || tasks->used.slots + tasks->requests >= tasks->options.capacity.slots)
		return false;
	tasks->requests++;
	return true;
}

void
dff_worker_tasks_end_request (struct dff_worker_tasks *tasks)
{
	tasks->requests--;
}

void
dff_worker_tasks_leave (struct dff_worker_tasks *tasks)
{
	tasks->leaving = true;
}

bool
dff_worker_tasks_is_leaving (const struct dff_worker_tasks *tasks)
{
	return tasks->leaving;
}

void
dff_worker_tasks_set_fail_everything (struct dff_worker_tasks *tasks, bool fail)
{
	tasks->fail_everything = fail;
}

bool
dff_worker_tasks_fails_everything (const struct dff_worker_tasks *tasks)
{
	return tasks->fail_everything;
}

int32_t
dff_worker_tasks_busy (const struct dff_worker_tasks *tasks)
{
	return (int32_t)tasks->active->len + tasks->requests;
}
