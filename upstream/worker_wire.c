#include "upstream/worker_wire.h"

#include <inttypes.h>
#include <jansson.h>
#include <string.h>

#define DIGEST_LEN 64
#define MAX_ATTEMPT 1000000
#define MAX_AMOUNT 1000000
#define MAX_WAIT_MS 60000

static const char *const state_names[] = {
	[DFF_TASK_UNKNOWN] = "unseen",  [DFF_TASK_HELD] = "held",
	[DFF_TASK_RUNNING] = "running", [DFF_TASK_COMPLETED] = "completed",
	[DFF_TASK_FAILED] = "failed",   [DFF_TASK_STOPPED] = "stopped",
	[DFF_TASK_REFUSED] = "refused",
};

const char *
dff_task_state_name (enum dff_task_state state)
{
	return state_names[state];
}

static bool
state_parse (const char *text, enum dff_task_state *state)
{
	for (size_t i = 0; i < G_N_ELEMENTS (state_names); i++) {
		if (strcmp (text, state_names[i]) != 0)
			continue;
		*state = (enum dff_task_state)i;
		return true;
	}
	return false;
}

static void
json_unref (json_t *value)
{
	json_decref (value);
}

G_DEFINE_AUTOPTR_CLEANUP_FUNC (json_t, json_unref)

static json_t *
parse_object (struct dff_str body)
{
	json_t *root = json_loadb (body.data, body.len, JSON_REJECT_DUPLICATES, NULL);
	if (json_is_object (root))
		return root;
	json_decref (root);
	return NULL;
}

static bool
get_int64 (const json_t *object, const char *key, int64_t min, int64_t max, int64_t *out)
{
	const json_t *value = json_object_get (object, key);
	if (!json_is_integer (value))
		return false;
	*out = json_integer_value (value);
	return *out >= min && *out <= max;
}

static bool
get_int32 (const json_t *object, const char *key, int32_t min, int32_t max, int32_t *out)
{
	int64_t value;
	if (!get_int64 (object, key, min, max, &value))
		return false;
	*out = (int32_t)value;
	return true;
}

static bool
get_bool (const json_t *object, const char *key, bool *out)
{
	const json_t *value = json_object_get (object, key);
	*out = json_is_true (value);
	return json_is_boolean (value);
}

static bool
get_name (const json_t *object, const char *key, struct dff_name *out)
{
	const json_t *value = json_object_get (object, key);
	if (!json_is_string (value))
		return false;
	struct dff_str text = {json_string_value (value), json_string_length (value)};
	return dff_name_parse (text, out);
}

static bool
get_task (const json_t *object, struct dff_task_id *task)
{
	return get_name (object, "job", &task->job) &&
	       get_int32 (object, "attempt", 1, MAX_ATTEMPT, &task->attempt) &&
	       get_int32 (object, "member", 0, DFF_JOB_GANG_MAX - 1, &task->member);
}

/* Names have a restricted alphabet and need no escaping. */
static void
append_task (GString *out, const struct dff_task_id *task)
{
	g_string_append_printf (out, "\"job\":\"%s\",\"attempt\":%" PRId32 ",\"member\":%" PRId32,
				task->job.data, task->attempt, task->member);
}

static const char *
bool_word (bool value)
{
	return value ? "true" : "false";
}

static void
append_resources (GString *out, const struct dff_task_start *start)
{
	/* Sent as a string: many JSON parsers lose the low bits of 64-bit integers. */
	g_string_append_printf (out, ",\"accelerators\":\"%016" PRIx64 "\"", start->accelerators);
	g_string_append_printf (
		out, ",\"slots\":%" PRId32 ",\"cores\":%" PRId32 ",\"memory_gb\":%" PRId32,
		start->resources.slots, start->resources.cores, start->resources.memory_gb);
}

/* Parsed and serialised again: raw text could close the object and add keys. */
static json_t *
parse_payload (struct dff_str text)
{
	if (text.len == 0)
		return json_object ();
	return json_loadb (text.data, text.len, JSON_DECODE_ANY, NULL);
}

void
dff_worker_wire_append_start (GString *out, const struct dff_task_start *start)
{
	g_autoptr (json_t) payload = parse_payload (start->payload);
	if (payload == NULL)
		return;
	g_autofree char *text = json_dumps (payload, JSON_COMPACT | JSON_ENCODE_ANY);
	g_string_append_c (out, '{');
	append_task (out, &start->task);
	append_resources (out, start);
	g_string_append_printf (out,
				",\"epoch\":%" PRId64 ",\"held\":%s,\"resume\":%s"
				",\"lease_ms\":%" PRId32 ",\"payload\":",
				start->epoch, bool_word (start->held), bool_word (start->resume),
				start->lease_ms);
	g_string_append (out, text);
	g_string_append_c (out, '}');
}

static bool
get_mask (const json_t *object, const char *key, uint64_t *mask)
{
	const char *text = json_string_value (json_object_get (object, key));
	return text != NULL && g_ascii_string_to_unsigned (text, 16, 0, UINT64_MAX, mask, NULL);
}

static bool
get_resources (const json_t *object, struct dff_task_start *start)
{
	if (!get_mask (object, "accelerators", &start->accelerators))
		return false;
	struct dff_resources *resources = &start->resources;
	resources->accelerators = __builtin_popcountll (start->accelerators);
	return get_int32 (object, "slots", 0, MAX_AMOUNT, &resources->slots) &&
	       get_int32 (object, "cores", 0, MAX_AMOUNT, &resources->cores) &&
	       get_int32 (object, "memory_gb", 0, MAX_AMOUNT, &resources->memory_gb);
}

bool
dff_worker_wire_parse_start (struct dff_str body, struct dff_task_start *start, GString *payload)
{
	memset (start, 0, sizeof (*start));
	g_autoptr (json_t) root = parse_object (body);
	if (root == NULL || !get_task (root, &start->task) || !get_resources (root, start))
		return false;
	if (!get_int64 (root, "epoch", 0, INT64_MAX, &start->epoch) ||
	    !get_bool (root, "held", &start->held) || !get_bool (root, "resume", &start->resume) ||
	    !get_int32 (root, "lease_ms", 1, INT32_MAX, &start->lease_ms))
		return false;
	const json_t *value = json_object_get (root, "payload");
	if (value == NULL)
		return false;
	g_autofree char *text = json_dumps (value, JSON_COMPACT | JSON_ENCODE_ANY);
	g_string_assign (payload, text);
	start->payload = (struct dff_str){payload->str, payload->len};
	return true;
}

void
dff_worker_wire_append_command (GString *out, const struct dff_worker_command *command)
{
	g_string_append_c (out, '{');
	append_task (out, &command->task);
	g_string_append_printf (out, ",\"epoch\":%" PRId64 ",\"percent\":%" PRId32 "}",
				command->epoch, command->percent);
}

bool
dff_worker_wire_parse_command (struct dff_str body, struct dff_worker_command *command)
{
	memset (command, 0, sizeof (*command));
	g_autoptr (json_t) root = parse_object (body);
	return root != NULL && get_task (root, &command->task) &&
	       get_int64 (root, "epoch", 0, INT64_MAX, &command->epoch) &&
	       get_int32 (root, "percent", 0, 100, &command->percent);
}

void
dff_worker_wire_append_renewal (GString *out, const struct dff_worker_renewal *renewal)
{
	g_string_append_printf (out,
				"{\"lease_ms\":%" PRId32 ",\"after\":%" PRId64
				",\"from_ms\":%" PRId64 ",\"wait_ms\":%" PRId32 "}",
				renewal->lease_ms, renewal->after_sequence, renewal->from_ms,
				renewal->wait_ms);
}

bool
dff_worker_wire_parse_renewal (struct dff_str body, struct dff_worker_renewal *renewal)
{
	memset (renewal, 0, sizeof (*renewal));
	g_autoptr (json_t) root = parse_object (body);
	return root != NULL && get_int32 (root, "lease_ms", 1, INT32_MAX, &renewal->lease_ms) &&
	       get_int64 (root, "after", 0, INT64_MAX, &renewal->after_sequence) &&
	       get_int64 (root, "from_ms", 0, INT64_MAX, &renewal->from_ms) &&
	       get_int32 (root, "wait_ms", 0, MAX_WAIT_MS, &renewal->wait_ms);
}

static void
append_report (GString *out, const struct dff_task_report *report)
{
	g_string_append_c (out, '{');
	append_task (out, &report->task);
	g_string_append_printf (out, ",\"state\":\"%s\",\"ran\":%s,\"checkpoints\":%" PRId32,
				dff_task_state_name (report->state), bool_word (report->ran),
				report->checkpoints);
	if (!dff_name_is_empty (&report->result_key)) {
		g_string_append_printf (
			out,
			",\"result\":{\"key\":\"%s\",\"length\":%" PRId64 ",\"digest\":\"%s\"}",
			report->result_key.data, report->result_length, report->result_digest);
	}
	g_string_append_c (out, '}');
}

void
dff_worker_wire_append_answer (GString *out, const struct dff_worker_result *result)
{
	g_string_append_printf (out,
				"{\"leaving\":%s,\"sequence\":%" PRId64 ",\"incarnation\":%" PRId64
				",\"now_ms\":%" PRId64,
				bool_word (result->leaving), result->sequence, result->incarnation,
				result->clock_ms);
	if (result->n_reports > 0)
		g_string_append (out, ",\"reports\":[");
	for (size_t i = 0; i < result->n_reports; i++) {
		if (i > 0)
			g_string_append_c (out, ',');
		append_report (out, &result->reports[i]);
	}
	g_string_append (out, result->n_reports > 0 ? "]}" : "}");
}

static bool
digest_valid (const char *text, size_t len)
{
	return len == DIGEST_LEN && strspn (text, "0123456789abcdef") == DIGEST_LEN;
}

static bool
get_result (const json_t *object, struct dff_task_report *report)
{
	const json_t *result = json_object_get (object, "result");
	if (result == NULL)
		return true;
	const json_t *digest = json_object_get (result, "digest");
	if (!json_is_string (digest) ||
	    !digest_valid (json_string_value (digest), json_string_length (digest)))
		return false;
	memcpy (report->result_digest, json_string_value (digest), DIGEST_LEN);
	return get_name (result, "key", &report->result_key) &&
	       get_int64 (result, "length", 0, INT64_MAX, &report->result_length);
}

static bool
get_report (const json_t *object, struct dff_task_report *report)
{
	const char *state = json_string_value (json_object_get (object, "state"));
	return state != NULL && state_parse (state, &report->state) &&
	       get_task (object, &report->task) && get_bool (object, "ran", &report->ran) &&
	       get_int32 (object, "checkpoints", 0, INT32_MAX, &report->checkpoints) &&
	       get_result (object, report);
}

static bool
get_reports (const json_t *array, GArray *reports)
{
	size_t i;
	const json_t *item;
	json_array_foreach (array, i, item)
	{
		struct dff_task_report report = {0};
		if (!get_report (item, &report))
			return false;
		g_array_append_val (reports, report);
	}
	return true;
}

static bool
get_answer (struct dff_str body, struct dff_worker_result *result, GArray *reports)
{
	g_autoptr (json_t) root = parse_object (body);
	return root != NULL && get_bool (root, "leaving", &result->leaving) &&
	       get_int64 (root, "sequence", 0, INT64_MAX, &result->sequence) &&
	       get_int64 (root, "incarnation", 0, INT64_MAX, &result->incarnation) &&
	       get_int64 (root, "now_ms", 0, INT64_MAX, &result->clock_ms) &&
	       get_reports (json_object_get (root, "reports"), reports);
}

bool
dff_worker_wire_parse_answer (struct dff_str body,
			      struct dff_worker_result *result,
			      GArray *reports)
{
	g_array_set_size (reports, 0);
	bool valid = get_answer (body, result, reports);
	if (!valid)
		g_array_set_size (reports, 0);
	result->reports = (const struct dff_task_report *)reports->data;
	result->n_reports = reports->len;
	return valid;
}
