#include <jansson.h>

#include "graph/json.h"
#include "graph/progress.h"

/*
 * Format of the row: {"state": NAME, "workers": [NAME...], "steps": [[INDEX, [TASK...]]...]}. INDEX
 * is the index of a step over all occurrences. Steps that have not started are omitted, and so are
 * all steps of a job in a final state. TASK is 0 for a task that has not started, 1 for one that is
 * done, otherwise [STATE, RUN, FAILURES, WORKER, CHECKPOINT, BLAME, STARTUP_BLAME], where WORKER is
 * an index of "workers". Trailing elements that are empty or 0 are omitted.
 */

/** Length beyond which a row is written without checkpoints, bytes. In base64 the row has to stay
 * below DFF_ROW_VALUE_MAX: the store refuses every transaction with a larger row, and the holder
 * could not record anything. */
#define CHECKPOINTS_ROW_MAX_BYTES 44000

/** Names of workers in the order of their first use. */
struct worker_names {
	json_t *list;
	/** Name to its index in @list plus one. */
	GHashTable *indexes;
};

static int
worker_index (struct worker_names *names, const struct dff_name *worker)
{
	gpointer index = g_hash_table_lookup (names->indexes, worker);
	if (index != NULL)
		return GPOINTER_TO_INT (index) - 1;
	json_array_append_new (names->list, json_string (worker->data));
	int count = (int)json_array_size (names->list);
	g_hash_table_insert (names->indexes, (gpointer)worker, GINT_TO_POINTER (count));
	return count - 1;
}

static bool
task_has_started (const struct dff_task *task)
{
	return task->run > 0 || task->state != DFF_PROGRESS_TASK_PENDING;
}

static json_t *
encode_task (const struct dff_task *task, struct worker_names *names, bool checkpoints)
{
	if (task->state == DFF_PROGRESS_TASK_DONE)
		return json_integer (1);
	if (!task_has_started (task))
		return json_integer (0);
	json_t *value = json_pack ("[i, i, i, i]", (int)task->state, task->run, task->failures,
				   worker_index (names, &task->worker));
	const char *checkpoint = checkpoints && task->checkpoint != NULL ? task->checkpoint : "";
	if (checkpoint[0] != '\0' || task->blame > 0)
		json_array_append_new (value, json_string (checkpoint));
	if (task->blame > 0)
		json_array_append_new (value, json_integer (task->blame));
	if (task->startup_blame > 0)
		json_array_append_new (value, json_integer (task->startup_blame));
	return value;
}

static json_t *
encode_tasks (const struct dff_step_progress *step, struct worker_names *names, bool checkpoints)
{
	json_t *tasks = json_array ();
	bool started = false;
	for (guint i = 0; i < step->tasks->len; i++) {
		const struct dff_task *task = &g_array_index (step->tasks, struct dff_task, i);
		started |= task_has_started (task);
		json_array_append_new (tasks, encode_task (task, names, checkpoints));
	}
	if (started)
		return tasks;
	json_decref (tasks);
	return NULL;
}

static GString *
encode (const struct dff_progress *progress, bool checkpoints)
{
	struct worker_names names = {.list = json_array (),
				     .indexes =
					     g_hash_table_new (dff_name_hash, dff_name_equal_func)};
	json_t *steps = json_array ();
	bool final = dff_job_state_is_final (progress->state);
	for (guint i = 0; i < progress->steps->len && !final; i++) {
		json_t *tasks =
			encode_tasks (&g_array_index (progress->steps, struct dff_step_progress, i),
				      &names, checkpoints);
		if (tasks != NULL)
			json_array_append_new (steps, json_pack ("[i, o]", (int)i, tasks));
	}
	g_hash_table_unref (names.indexes);
	return dff_json_print (json_pack ("{s:s, s:o, s:o}", "state",
					  dff_job_state_name (progress->state), "workers",
					  names.list, "steps", steps));
}

GString *
dff_progress_encode (const struct dff_progress *progress)
{
	GString *text = encode (progress, true);
	if (text->len <= CHECKPOINTS_ROW_MAX_BYTES)
		return text;
	g_string_free (text, TRUE);
	return encode (progress, false);
}

static struct dff_name
name_from_json (const json_t *value)
{
	struct dff_name name = {0};
	if (json_string_length (value) > 0) {
		dff_name_parse (
			(struct dff_str){json_string_value (value), json_string_length (value)},
			&name);
	}
	return name;
}

static void
decode_task (const json_t *value,
	     const json_t *workers,
	     struct dff_task *task,
	     struct dff_step_progress *step)
{
	if (json_is_integer (value)) {
		bool done = json_integer_value (value) == 1;
		task->state = done ? DFF_PROGRESS_TASK_DONE : DFF_PROGRESS_TASK_PENDING;
		step->n_done += done;
		return;
	}
	task->state = (enum dff_progress_task_state)json_integer_value (json_array_get (value, 0));
	task->run = (int32_t)json_integer_value (json_array_get (value, 1));
	task->failures = (int32_t)json_integer_value (json_array_get (value, 2));
	task->worker = name_from_json (
		json_array_get (workers, (size_t)json_integer_value (json_array_get (value, 3))));
	const json_t *checkpoint = json_array_get (value, 4);
	if (json_string_length (checkpoint) > 0)
		task->checkpoint = g_strdup (json_string_value (checkpoint));
	task->blame = (int32_t)json_integer_value (json_array_get (value, 5));
	task->startup_blame = (int32_t)json_integer_value (json_array_get (value, 6));
}

static bool
decode_step (struct dff_progress *progress, const json_t *workers, const json_t *entry)
{
	json_int_t step_index = json_integer_value (json_array_get (entry, 0));
	const json_t *tasks = json_array_get (entry, 1);
	if (step_index < 0 || step_index >= (json_int_t)progress->steps->len)
		return false;
	struct dff_step_progress *step =
		&g_array_index (progress->steps, struct dff_step_progress, step_index);
	if (json_array_size (tasks) != step->tasks->len)
		return false;
	for (guint i = 0; i < step->tasks->len; i++)
		decode_task (json_array_get (tasks, i), workers,
			     &g_array_index (step->tasks, struct dff_task, i), step);
	progress->n_steps_done += step->n_done == (int32_t)step->tasks->len;
	return true;
}

static bool
decode_state (const json_t *root, enum dff_job_state *state)
{
	const json_t *name = json_object_get (root, "state");
	return json_is_string (name) &&
	       dff_job_state_parse (
		       (struct dff_str){json_string_value (name), json_string_length (name)},
		       state);
}

struct dff_progress *
dff_progress_decode (const struct dff_plan *plan, struct dff_str text)
{
	json_t *root = json_loadb (text.data, text.len, 0, NULL);
	DFF_AUTO (dff_progress) progress = dff_progress_new (plan);
	bool valid = decode_state (root, &progress->state);
	const json_t *steps = json_object_get (root, "steps");
	const json_t *workers = json_object_get (root, "workers");
	for (size_t i = 0; valid && i < json_array_size (steps); i++)
		valid = decode_step (progress, workers, json_array_get (steps, i));
	json_decref (root);
	return valid ? g_steal_pointer (&progress) : NULL;
}

bool
dff_progress_decode_state (struct dff_str text, enum dff_job_state *state)
{
	json_t *root = json_loadb (text.data, text.len, 0, NULL);
	bool valid = decode_state (root, state);
	json_decref (root);
	return valid;
}
