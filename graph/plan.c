#include "graph/plan.h"

#include <jansson.h>

#include "graph/json.h"

static void
step_clear (gpointer data)
{
	g_array_unref (((struct dff_step *)data)->after);
}

/** Maximum number of cores, GiB, accelerators or slots of a task: more than any worker has, and low
 * enough that the sum over a step's tasks stays within 32 bits. */
#define RESOURCE_AMOUNT_MAX 1000000
/** Latest time and longest interval, ms: as a date it is in the year 5138, and 256 times the value
 * (the maximum number of occurrences) stays within 64 bits. */
#define TIME_MAX_MS INT64_C (100000000000000)

struct dff_plan *
dff_plan_new (void)
{
	struct dff_plan *plan = g_new0 (struct dff_plan, 1);
	plan->payload = g_string_new (NULL);
	plan->steps = g_array_new (FALSE, TRUE, sizeof (struct dff_step));
	g_array_set_clear_func (plan->steps, step_clear);
	plan->occurrences = 1;
	plan->max_attempts = 1;
	return plan;
}

void
dff_plan_free (struct dff_plan *plan)
{
	g_string_free (plan->payload, TRUE);
	g_array_unref (plan->steps);
	g_free (plan);
}

struct dff_step *
dff_plan_add_step (struct dff_plan *plan)
{
	struct dff_step step = {.count = 1, .after = g_array_new (FALSE, TRUE, sizeof (int32_t))};
	g_array_append_val (plan->steps, step);
	return dff_plan_step (plan, (int32_t)plan->steps->len - 1);
}

static bool
amount_is_valid (int32_t amount)
{
	return amount >= 0 && amount <= RESOURCE_AMOUNT_MAX;
}

/* Resource demands come from callers. A negative amount would add capacity that does not exist. */
static bool
resources_are_valid (const struct dff_step *step)
{
	const struct dff_resources *per_task = &step->per_task;
	return amount_is_valid (per_task->slots) && amount_is_valid (per_task->cores) &&
	       amount_is_valid (per_task->memory_gb) && amount_is_valid (per_task->accelerators) &&
	       amount_is_valid (step->per_worker);
}

static bool
time_is_valid (int64_t time_ms)
{
	return time_ms >= 0 && time_ms <= TIME_MAX_MS;
}

static const char *
check_step (const struct dff_step *step, int32_t index)
{
	if (step->count < 1 || step->count > DFF_STEP_TASKS_MAX)
		return "a step has too few or too many tasks";
	if (step->gang && step->count > DFF_STEP_GANG_MAX)
		return "a gang is too large";
	if (!resources_are_valid (step))
		return "a resource demand of a task is negative or too large";
	if (!time_is_valid (step->estimate_ms))
		return "an estimate is out of range";
	for (guint i = 0; i < step->after->len; i++) {
		int32_t predecessor = g_array_index (step->after, int32_t, i);
		if (predecessor < 0 || predecessor >= index)
			return "a step depends on a step that is not earlier";
	}
	return NULL;
}

const char *
dff_plan_check (const struct dff_plan *plan)
{
	if (plan->steps->len < 1 || plan->steps->len > DFF_PLAN_STEPS_MAX)
		return "a job has too few or too many steps";
	if (plan->occurrences < 1 || plan->occurrences > DFF_PLAN_OCCURRENCES_MAX)
		return "a job has too few or too many occurrences";
	if (!time_is_valid (plan->first_ms) || !time_is_valid (plan->interval_ms))
		return "a time is out of range";
	int64_t tasks = 0;
	for (guint i = 0; i < plan->steps->len; i++) {
		const char *error = check_step (dff_plan_step (plan, (int32_t)i), (int32_t)i);
		if (error != NULL)
			return error;
		tasks += dff_plan_step (plan, (int32_t)i)->count;
	}
	if (tasks * plan->occurrences > DFF_PLAN_TASKS_MAX)
		return "a job has too many tasks";
	return NULL;
}

int64_t
dff_plan_chain_ms (const struct dff_plan *plan, int32_t step)
{
	int64_t tails[DFF_PLAN_STEPS_MAX] = {0};
	int64_t longest_ms = 0;
	for (int32_t i = (int32_t)plan->steps->len - 1; i >= 0; i--) {
		const struct dff_step *at = dff_plan_step (plan, i);
		/* Later steps have raised the tails of those that they depend on already. */
		tails[i] += at->estimate_ms;
		longest_ms = MAX (longest_ms, tails[i]);
		for (guint j = 0; j < at->after->len; j++) {
			int32_t before = g_array_index (at->after, int32_t, j);
			tails[before] = MAX (tails[before], tails[i]);
		}
	}
	return step < 0 ? longest_ms : tails[step];
}

static json_t *
encode_step (const struct dff_step *step)
{
	json_t *after = json_array ();
	for (guint i = 0; i < step->after->len; i++)
		json_array_append_new (after,
				       json_integer (g_array_index (step->after, int32_t, i)));
	return json_pack ("{s:i, s:i, s:i, s:i, s:i, s:I, s:b, s:b, s:b, s:b, s:s, s:s, s:i, s:o}",
			  "count", step->count, "slots", step->per_task.slots, "cores",
			  step->per_task.cores, "memory_gb", step->per_task.memory_gb,
			  "accelerators", step->per_task.accelerators, "estimate_ms",
			  (json_int_t)step->estimate_ms, "gang", step->gang, "one_rack",
			  step->one_rack, "checkpoint", step->checkpoint, "endless", step->endless,
			  "label", step->label.data, "data_rack", step->data_rack.data,
			  "per_worker", step->per_worker, "after", after);
}

GString *
dff_plan_encode (const struct dff_plan *plan)
{
	json_t *steps = json_array ();
	for (guint i = 0; i < plan->steps->len; i++)
		json_array_append_new (steps, encode_step (dff_plan_step (plan, (int32_t)i)));
	json_t *root = json_pack (
		"{s:s, s:s, s:s, s:s, s:i, s:i, s:s%, s:o, s:i, s:b, s:I, s:I}", "id",
		plan->id.data, "team", plan->team.data, "class", plan->class_name.data, "service",
		plan->service.data, "priority", plan->priority, "max_attempts", plan->max_attempts,
		"payload", plan->payload->str, plan->payload->len, "steps", steps, "occurrences",
		plan->occurrences, "timed", plan->timed, "first_ms", (json_int_t)plan->first_ms,
		"interval_ms", (json_int_t)plan->interval_ms);
	if (plan->stretch > 0.0) {
		json_object_set_new (root, "stretch", json_real (plan->stretch));
		json_object_set_new (root, "target_latency_ms",
				     json_integer (plan->target_latency_ms));
		json_object_set_new (root, "accepted_ms", json_integer (plan->accepted_ms));
	}
	return dff_json_print (root);
}

static void
decode_step (const json_t *object, struct dff_step *step)
{
	step->count = dff_json_int32 (object, "count");
	step->per_task = (struct dff_resources){
		.slots = dff_json_int32 (object, "slots"),
		.cores = dff_json_int32 (object, "cores"),
		.memory_gb = dff_json_int32 (object, "memory_gb"),
		.accelerators = dff_json_int32 (object, "accelerators"),
	};
	step->estimate_ms = dff_json_int (object, "estimate_ms");
	step->gang = dff_json_bool (object, "gang");
	step->one_rack = dff_json_bool (object, "one_rack");
	step->checkpoint = dff_json_bool (object, "checkpoint");
	step->endless = dff_json_bool (object, "endless");
	step->label = dff_json_name (object, "label");
	step->data_rack = dff_json_name (object, "data_rack");
	step->per_worker = dff_json_int32 (object, "per_worker");
	const json_t *after = json_object_get (object, "after");
	for (size_t i = 0; i < json_array_size (after); i++) {
		int32_t predecessor = dff_json_int32_at (after, i);
		g_array_append_val (step->after, predecessor);
	}
}

struct dff_plan *
dff_plan_decode (struct dff_str text)
{
	json_t *root = json_loadb (text.data, text.len, 0, NULL);
	if (root == NULL)
		return NULL;
	struct dff_plan *plan = dff_plan_new ();
	plan->id = dff_json_name (root, "id");
	plan->team = dff_json_name (root, "team");
	plan->class_name = dff_json_name (root, "class");
	plan->service = dff_json_name (root, "service");
	plan->priority = dff_json_int32 (root, "priority");
	plan->max_attempts = dff_json_int32 (root, "max_attempts");
	/* Rows written by earlier versions have no objective. */
	plan->stretch = MAX (json_number_value (json_object_get (root, "stretch")), 0.0);
	plan->target_latency_ms = MAX (dff_json_int (root, "target_latency_ms"), 0);
	plan->accepted_ms = MAX (dff_json_int (root, "accepted_ms"), 0);
	const json_t *payload = json_object_get (root, "payload");
	g_string_append_len (plan->payload, json_string_value (payload),
			     (gssize)json_string_length (payload));
	plan->occurrences = dff_json_int32 (root, "occurrences");
	plan->timed = dff_json_bool (root, "timed");
	plan->first_ms = dff_json_int (root, "first_ms");
	plan->interval_ms = dff_json_int (root, "interval_ms");
	const json_t *steps = json_object_get (root, "steps");
	for (size_t i = 0; i < json_array_size (steps); i++)
		decode_step (json_array_get (steps, i), dff_plan_add_step (plan));
	json_decref (root);
	if (!dff_name_is_empty (&plan->id) && dff_plan_check (plan) == NULL)
		return plan;
	dff_plan_free (plan);
	return NULL;
}
