#include "entry/job_json.h"

#include <math.h>
#include <stddef.h>

/** Maximum declared run time: 30 days. */
#define DECLARED_MAX_S (30.0 * 24 * 3600)
#define DECLARED_DEFAULT_S 600.0
#define ATTEMPTS_DEFAULT 3
/** jansson itself limits the nesting depth of the payload (JSON_PARSER_MAX_DEPTH). */
#define LOAD_FLAGS JSON_REJECT_DUPLICATES

struct int_field {
	const char *name;
	size_t offset;
	int32_t min, max, default_value;
};

struct bool_field {
	const char *name;
	size_t offset;
	bool default_value;
};

static const struct int_field int_fields[] = {
	{"gang", offsetof (struct dff_job_spec, gang), 1, DFF_JOB_GANG_MAX, 1},
	{"accelerators", offsetof (struct dff_job_spec, per_task.accelerators), 0, 64, 0},
	{"slots", offsetof (struct dff_job_spec, per_task.slots), 0, 1024, 1},
	{"cores", offsetof (struct dff_job_spec, per_task.cores), 0, 4096, 1},
	{"memory_gb", offsetof (struct dff_job_spec, per_task.memory_gb), 0, 65536, 1},
	{"max_attempts", offsetof (struct dff_job_spec, max_attempts), 1, 100, 0},
};

static const struct bool_field bool_fields[] = {
	{"urgent", offsetof (struct dff_job_spec, urgent), false},
	{"guaranteed", offsetof (struct dff_job_spec, guaranteed), false},
	{"checkpoint", offsetof (struct dff_job_spec, checkpoint), false},
	{"idempotent", offsetof (struct dff_job_spec, idempotent), true},
};

static const char *const other_fields[] = {"service", "adjacent", "declared_s", "region",
					   "payload"};

void
dff_job_rejection_clear (struct dff_job_rejection *rejection)
{
	g_free (rejection->detail);
	rejection->detail = NULL;
	rejection->status = 0;
}

static bool G_GNUC_PRINTF (2, 3)
	reject (struct dff_job_rejection *rejection, const char *format, ...)
{
	va_list args;
	va_start (args, format);
	rejection->status = 400;
	rejection->code = "invalid_job";
	rejection->detail = g_strdup_vprintf (format, args);
	va_end (args);
	return false;
}

static bool
is_known_field (const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS (int_fields); i++) {
		if (g_str_equal (name, int_fields[i].name))
			return true;
	}
	for (size_t i = 0; i < G_N_ELEMENTS (bool_fields); i++) {
		if (g_str_equal (name, bool_fields[i].name))
			return true;
	}
	for (size_t i = 0; i < G_N_ELEMENTS (other_fields); i++) {
		if (g_str_equal (name, other_fields[i]))
			return true;
	}
	return false;
}

static bool
check_names (json_t *json, struct dff_job_rejection *rejection)
{
	const char *name = NULL;
	json_t *value = NULL;
	json_object_foreach (json, name, value)
	{
		if (!is_known_field (name))
			return reject (rejection, "%.64s: no such member", name);
	}
	return true;
}

static bool
read_ints (json_t *json, struct dff_job_spec *spec, struct dff_job_rejection *rejection)
{
	for (size_t i = 0; i < G_N_ELEMENTS (int_fields); i++) {
		const struct int_field *field = &int_fields[i];
		int32_t *target = (int32_t *)((char *)spec + field->offset);
		const json_t *value = json_object_get (json, field->name);
		*target = field->default_value;
		if (value == NULL)
			continue;
		json_int_t number = json_integer_value (value);
		if (!json_is_integer (value) || number < field->min || number > field->max)
			return reject (rejection, "%s: a whole number from %d to %d is expected",
				       field->name, field->min, field->max);
		*target = (int32_t)number;
	}
	return true;
}

static bool
read_bools (json_t *json, struct dff_job_spec *spec, struct dff_job_rejection *rejection)
{
	for (size_t i = 0; i < G_N_ELEMENTS (bool_fields); i++) {
		const struct bool_field *field = &bool_fields[i];
		bool *target = (bool *)((char *)spec + field->offset);
		const json_t *value = json_object_get (json, field->name);
		*target = field->default_value;
		if (value == NULL)
			continue;
		if (!json_is_boolean (value))
			return reject (rejection, "%s: true or false is expected", field->name);
		*target = json_is_true (value);
	}
	return true;
}

static bool
read_name (json_t *json,
	   const char *field,
	   struct dff_name *name,
	   struct dff_job_rejection *rejection)
{
	const json_t *value = json_object_get (json, field);
	struct dff_str text = {json_string_value (value), json_string_length (value)};
	if (value == NULL)
		return true;
	if (text.data != NULL && dff_name_parse (text, name))
		return true;
	return reject (rejection,
		       "%s: a name of at most %d letters, digits, '-', '_', '.' and ':' is "
		       "expected",
		       field, DFF_NAME_MAX);
}

static bool
read_adjacency (json_t *json, struct dff_job_spec *spec, struct dff_job_rejection *rejection)
{
	const json_t *value = json_object_get (json, "adjacent");
	spec->adjacency = DFF_ADJACENCY_NONE;
	if (value == NULL || json_is_false (value))
		return true;
	if (json_is_true (value)) {
		spec->adjacency = DFF_ADJACENCY_NEIGHBOURS;
		return true;
	}
	if (!json_is_string (value) || !g_str_equal (json_string_value (value), "rack"))
		return reject (rejection, "adjacent: true, false or \"rack\" is expected");
	spec->adjacency = DFF_ADJACENCY_RACK;
	return true;
}

static bool
read_declared (json_t *json, struct dff_job_spec *spec, struct dff_job_rejection *rejection)
{
	const json_t *value = json_object_get (json, "declared_s");
	double seconds = value == NULL ? DECLARED_DEFAULT_S : json_number_value (value);
	bool in_range = isfinite (seconds) && seconds > 0 && seconds <= DECLARED_MAX_S;
	if ((value != NULL && !json_is_number (value)) || !in_range)
		return reject (rejection, "declared_s: a number above 0 and up to %.0f is expected",
			       DECLARED_MAX_S);
	spec->declared_ms = MAX (1, (int64_t)(seconds * 1000));
	return true;
}

static bool
read_payload (json_t *json, struct dff_job_row *row, struct dff_job_rejection *rejection)
{
	json_t *value = json_object_get (json, "payload");
	if (value == NULL)
		return true;
	if (!json_is_object (value))
		return reject (rejection, "payload: an object is expected");
	g_autofree char *text = json_dumps (value, JSON_COMPACT);
	g_string_assign (row->payload, text);
	return true;
}

static bool
read_attempts (json_t *json, struct dff_job_spec *spec, struct dff_job_rejection *rejection)
{
	if (json_object_get (json, "max_attempts") == NULL)
		spec->max_attempts = spec->idempotent ? ATTEMPTS_DEFAULT : 1;
	if (!spec->idempotent && spec->max_attempts != 1)
		return reject (rejection, "max_attempts: 1 is expected where idempotent is false");
	return true;
}

static bool
read_job (json_t *json, struct dff_job_row *row, struct dff_job_rejection *rejection)
{
	struct dff_job_spec *spec = &row->spec;
	if (!json_is_object (json))
		return reject (rejection, "a JSON object is expected");
	if (!check_names (json, rejection) || !read_ints (json, spec, rejection) ||
	    !read_bools (json, spec, rejection) || !read_adjacency (json, spec, rejection) ||
	    !read_declared (json, spec, rejection) || !read_attempts (json, spec, rejection) ||
	    !read_name (json, "service", &spec->service, rejection) ||
	    !read_name (json, "region", &spec->region, rejection) ||
	    !read_payload (json, row, rejection))
		return false;
	if (dff_name_is_empty (&spec->service))
		return reject (rejection, "service: is needed");
	if (spec->region.len > DFF_REGION_NAME_MAX)
		return reject (rejection, "region: at most %d bytes", DFF_REGION_NAME_MAX);
	return true;
}

struct dff_job_row *
dff_job_parse (struct dff_str text,
	       const struct dff_name *team,
	       const struct dff_name *default_region,
	       struct dff_job_rejection *rejection)
{
	json_error_t error;
	rejection->status = 0;
	rejection->detail = NULL;
	json_t *json = json_loadb (text.data, text.len, LOAD_FLAGS, &error);
	if (json == NULL) {
		reject (rejection, "column %d: %s", error.column, error.text);
		rejection->code = "malformed_json";
		return NULL;
	}
	struct dff_job_row *row = dff_job_row_new ();
	row->spec.team = *team;
	bool valid = read_job (json, row, rejection);
	json_decref (json);
	if (!valid) {
		dff_job_row_free (row);
		return NULL;
	}
	if (dff_name_is_empty (&row->spec.region))
		row->spec.region = *default_region;
	return row;
}

static json_t *
adjacency_json (enum dff_adjacency adjacency)
{
	if (adjacency == DFF_ADJACENCY_RACK)
		return json_string ("rack");
	return json_boolean (adjacency == DFF_ADJACENCY_NEIGHBOURS);
}

static json_t *
submission_json (const struct dff_job_row *row)
{
	const struct dff_job_spec *spec = &row->spec;
	json_t *json = json_object ();
	json_object_set_new (json, "team", json_string (spec->team.data));
	json_object_set_new (json, "service", json_string (spec->service.data));
	json_object_set_new (json, "region", json_string (spec->region.data));
	for (size_t i = 0; i < G_N_ELEMENTS (int_fields); i++) {
		const struct int_field *field = &int_fields[i];
		int32_t value = *(const int32_t *)((const char *)spec + field->offset);
		json_object_set_new (json, field->name, json_integer (value));
	}
	for (size_t i = 0; i < G_N_ELEMENTS (bool_fields); i++) {
		const struct bool_field *field = &bool_fields[i];
		bool value = *(const bool *)((const char *)spec + field->offset);
		json_object_set_new (json, field->name, json_boolean (value));
	}
	json_object_set_new (json, "adjacent", adjacency_json (spec->adjacency));
	json_object_set_new (json, "declared_s", json_real ((double)spec->declared_ms / 1000));
	if (row->payload->len > 0) {
		json_t *payload = json_loadb (row->payload->str, row->payload->len, 0, NULL);
		if (payload != NULL)
			json_object_set_new (json, "payload", payload);
	}
	return json;
}

const char *
dff_job_row_state_name (enum dff_job_row_state state)
{
	static const char *const names[] = {
		[DFF_JOB_ROW_QUEUED] = "queued",
		[DFF_JOB_ROW_OPEN] = "open",
		[DFF_JOB_ROW_ENDED] = "ended",
	};
	return names[state];
}

static void
add_outcome (json_t *json, const struct dff_job_row *row)
{
	if (row->state != DFF_JOB_ROW_ENDED)
		return;
	json_object_set_new (json, "outcome", json_string (dff_outcome_name (row->outcome)));
	json_object_set_new (json, "ended_ms", json_integer (row->ended_wall_ms));
	if (row->result.digest[0] == '\0')
		return;
	json_t *result = json_object ();
	json_object_set_new (result, "length", json_integer (row->result.length));
	json_object_set_new (result, "digest", json_string (row->result.digest));
	json_object_set_new (json, "result", result);
}

json_t *
dff_job_to_json (const struct dff_job_row *row)
{
	json_t *json = json_object ();
	json_object_set_new (json, "id", json_string (row->spec.id.data));
	json_t *submission = submission_json (row);
	json_object_update (json, submission);
	json_decref (submission);
	json_object_set_new (json, "state", json_string (dff_job_row_state_name (row->state)));
	json_object_set_new (json, "attempt", json_integer (row->attempt));
	json_object_set_new (json, "cancel_requested", json_boolean (row->cancel_requested));
	json_object_set_new (json, "submitted_ms", json_integer (row->submitted_wall_ms));
	if (!dff_name_is_empty (&row->reason))
		json_object_set_new (json, "reason", json_string (row->reason.data));
	if (!dff_name_is_empty (&row->batch))
		json_object_set_new (json, "batch", json_string (row->batch.data));
	add_outcome (json, row);
	return json;
}

bool
dff_job_same_submission (const struct dff_job_row *a, const struct dff_job_row *b)
{
	json_t *left = submission_json (a);
	json_t *right = submission_json (b);
	bool same = json_equal (left, right) == 1;
	json_decref (left);
	json_decref (right);
	return same;
}
