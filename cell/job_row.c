#include "cell/job_row.h"

#include <jansson.h>
#include <string.h>

#define DIGEST_HEX_LEN 64
/** Number of hex digits of the hash in a job id. */
#define ID_HASH_LEN 32

static const char *const state_names[] = {
	[DFF_JOB_ROW_QUEUED] = "queued",
	[DFF_JOB_ROW_OPEN] = "open",
	[DFF_JOB_ROW_ENDED] = "ended",
};

static const char *const adjacency_names[] = {
	[DFF_ADJACENCY_NONE] = "none",
	[DFF_ADJACENCY_NEIGHBOURS] = "neighbours",
	[DFF_ADJACENCY_RACK] = "rack",
};

static GQuark
row_error_quark (void)
{
	return g_quark_from_static_string ("dff-job-row-error");
}

struct dff_job_row *
dff_job_row_new (void)
{
	struct dff_job_row *row = g_new0 (struct dff_job_row, 1);
	row->placements = g_array_new (FALSE, TRUE, sizeof (struct dff_placement));
	row->incarnations = g_array_new (FALSE, TRUE, sizeof (int64_t));
	row->payload = g_string_new (NULL);
	row->traceparent = g_string_new (NULL);
	return row;
}

void
dff_job_row_free (struct dff_job_row *row)
{
	g_array_unref (row->placements);
	g_array_unref (row->incarnations);
	g_string_free (row->payload, TRUE);
	g_string_free (row->traceparent, TRUE);
	g_free (row);
}

static bool
is_hash (const char *text, size_t len)
{
	if (len != ID_HASH_LEN)
		return false;
	for (size_t i = 0; i < len; i++) {
		if (!g_ascii_isxdigit (text[i]))
			return false;
	}
	return true;
}

static bool
is_index (const char *text, size_t len)
{
	if (len == 0 || len >= ID_HASH_LEN)
		return false;
	for (size_t i = 0; i < len; i++) {
		if (!g_ascii_isdigit (text[i]))
			return false;
	}
	return true;
}

/** Returns: position of the last dot before @end, or 0 when there is none. */
static size_t
last_dot (const struct dff_name *id, size_t end)
{
	while (end > 0 && id->data[end - 1] != '.')
		end--;
	return end > 0 ? end - 1 : 0;
}

struct dff_name
dff_job_id_region (const struct dff_name *id)
{
	struct dff_name region = {0};
	size_t end = id->len;
	size_t dot = last_dot (id, end);
	if (dot > 0 && is_index (id->data + dot + 1, end - dot - 1)) {
		end = dot;
		dot = last_dot (id, end);
	}
	if (dot == 0 || dot > DFF_REGION_NAME_MAX || !is_hash (id->data + dot + 1, end - dot - 1))
		return region;
	struct dff_str text = {.data = id->data, .len = dot};
	dff_name_parse (text, &region);
	return region;
}

GString *
dff_job_row_key (const struct dff_name *id)
{
	struct dff_name region = dff_job_id_region (id);
	GString *key = g_string_new (NULL);
	g_string_printf (key, "job/%s/%s", region.data, id->data);
	return key;
}

static void
set_string (json_t *object, const char *key, const char *data, size_t len)
{
	if (len == 0)
		return;
	json_t *text = json_stringn (data, len);
	if (text == NULL) {
		g_autofree char *valid = g_utf8_make_valid (data, (gssize)len);
		text = json_string (valid);
	}
	json_object_set_new (object, key, text);
}

static void
set_name (json_t *object, const char *key, const struct dff_name *name)
{
	set_string (object, key, name->data, name->len);
}

static void
set_integer (json_t *object, const char *key, int64_t value)
{
	if (value != 0)
		json_object_set_new (object, key, json_integer (value));
}

static void
set_bool (json_t *object, const char *key, bool value)
{
	if (value)
		json_object_set_new (object, key, json_true ());
}

static json_t *
encode_spec (const struct dff_job_spec *spec)
{
	json_t *object = json_object ();
	set_name (object, "id", &spec->id);
	set_name (object, "team", &spec->team);
	set_name (object, "service", &spec->service);
	set_name (object, "region", &spec->region);
	set_integer (object, "gang", spec->gang);
	set_integer (object, "slots", spec->per_task.slots);
	set_integer (object, "cores", spec->per_task.cores);
	set_integer (object, "memory_gb", spec->per_task.memory_gb);
	set_integer (object, "accelerators", spec->per_task.accelerators);
	const char *adjacency = adjacency_names[spec->adjacency];
	set_string (object, "adjacency", adjacency, strlen (adjacency));
	set_bool (object, "urgent", spec->urgent);
	set_bool (object, "guaranteed", spec->guaranteed);
	set_bool (object, "checkpoint", spec->checkpoint);
	set_bool (object, "idempotent", spec->idempotent);
	set_integer (object, "declared_ms", spec->declared_ms);
	set_integer (object, "max_attempts", spec->max_attempts);
	return object;
}

/* Accelerators are a 64-bit mask; JSON integers are signed, so the top bit becomes the sign. */
static json_t *
encode_placements (const struct dff_job_row *row)
{
	g_assert (row->incarnations->len == row->placements->len);
	json_t *array = json_array ();
	for (guint i = 0; i < row->placements->len; i++) {
		const struct dff_placement *placement =
			&g_array_index (row->placements, struct dff_placement, i);
		json_int_t accelerators = (json_int_t)placement->accelerators;
		json_int_t incarnation = g_array_index (row->incarnations, int64_t, i);
		json_t *entry =
			json_pack ("[sII]", placement->worker.data, accelerators, incarnation);
		json_array_append_new (array, entry);
	}
	return array;
}

static json_t *
encode_result (const struct dff_result_ref *result)
{
	json_t *object = json_object ();
	set_name (object, "key", &result->manifest_key);
	set_integer (object, "length", result->length);
	set_string (object, "digest", result->digest, strlen (result->digest));
	return object;
}

GString *
dff_job_row_encode (const struct dff_job_row *row)
{
	json_t *object = json_object ();
	json_object_set_new (object, "spec", encode_spec (&row->spec));
	json_object_set_new (object, "state", json_string (state_names[row->state]));
	set_integer (object, "attempt", row->attempt);
	if (row->placements->len > 0)
		json_object_set_new (object, "placements", encode_placements (row));
	set_bool (object, "cancel_requested", row->cancel_requested);
	json_object_set_new (object, "outcome", json_string (dff_outcome_name (row->outcome)));
	set_name (object, "reason", &row->reason);
	if (!dff_name_is_empty (&row->result.manifest_key))
		json_object_set_new (object, "result", encode_result (&row->result));
	set_name (object, "batch", &row->batch);
	set_integer (object, "submitted_ms", row->submitted_wall_ms);
	set_integer (object, "ended_ms", row->ended_wall_ms);
	set_integer (object, "epoch", row->epoch);
	set_string (object, "payload", row->payload->str, row->payload->len);
	set_string (object, "traceparent", row->traceparent->str, row->traceparent->len);
	char *text = json_dumps (object, JSON_COMPACT);
	json_decref (object);
	GString *value = g_string_new (text);
	free (text);
	return value;
}

/* The recorder refuses a row that is too long, at every retry, so that an accepted job would never
 * start. The row grows when the job starts and ends; so a job is accepted only if its row leaves
 * capacity for that. */
bool
dff_job_row_fits (const struct dff_job_row *row)
{
	/* The encoding at most doubles a payload: most rows need not be encoded here. */
	if (row->payload->len < DFF_JOB_ROW_MAX_BYTES / 4)
		return true;
	g_autoptr (GString) value = dff_job_row_encode (row);
	return value->len <= DFF_JOB_ROW_MAX_BYTES;
}

/** Reads an optional name; empty if absent. Returns: false if present and malformed. */
static bool
get_name (const json_t *object, const char *key, struct dff_name *name)
{
	memset (name, 0, sizeof (*name));
	const json_t *value = json_object_get (object, key);
	if (value == NULL)
		return true;
	struct dff_str text = {
		.data = json_string_value (value),
		.len = json_string_length (value),
	};
	return dff_name_parse (text, name);
}

static void
get_text (const json_t *object, const char *key, GString *text)
{
	const json_t *value = json_object_get (object, key);
	if (json_is_string (value))
		g_string_append_len (text, json_string_value (value), json_string_length (value));
}

/** Reads an optional 32-bit integer; 0 if absent. */
static bool
get_int32 (const json_t *object, const char *key, int32_t *out)
{
	const json_t *value = json_object_get (object, key);
	json_int_t number = json_integer_value (value);
	*out = (int32_t)number;
	return value == NULL || (json_is_integer (value) && number >= 0 && number <= INT32_MAX);
}

static int64_t
get_int64 (const json_t *object, const char *key)
{
	return json_integer_value (json_object_get (object, key));
}

static bool
get_bool (const json_t *object, const char *key)
{
	return json_is_true (json_object_get (object, key));
}

/** Returns: index of the string under @key in @names, or -1. */
static int
get_choice (const json_t *object, const char *key, const char *const *names, size_t n_names)
{
	const char *text = json_string_value (json_object_get (object, key));
	for (size_t i = 0; text != NULL && i < n_names; i++) {
		if (strcmp (text, names[i]) == 0)
			return (int)i;
	}
	return -1;
}

static bool
decode_resources (const json_t *object, struct dff_resources *resources)
{
	return get_int32 (object, "slots", &resources->slots) &&
	       get_int32 (object, "cores", &resources->cores) &&
	       get_int32 (object, "memory_gb", &resources->memory_gb) &&
	       get_int32 (object, "accelerators", &resources->accelerators);
}

static bool
decode_spec (const json_t *object, struct dff_job_spec *spec)
{
	int adjacency =
		get_choice (object, "adjacency", adjacency_names, G_N_ELEMENTS (adjacency_names));
	if (adjacency < 0 || !get_name (object, "id", &spec->id) ||
	    !get_name (object, "team", &spec->team) ||
	    !get_name (object, "service", &spec->service) ||
	    !get_name (object, "region", &spec->region) ||
	    !get_int32 (object, "gang", &spec->gang) ||
	    !get_int32 (object, "max_attempts", &spec->max_attempts) ||
	    !decode_resources (object, &spec->per_task))
		return false;
	spec->adjacency = (enum dff_adjacency)adjacency;
	spec->urgent = get_bool (object, "urgent");
	spec->guaranteed = get_bool (object, "guaranteed");
	spec->checkpoint = get_bool (object, "checkpoint");
	spec->idempotent = get_bool (object, "idempotent");
	spec->declared_ms = get_int64 (object, "declared_ms");
	return !dff_name_is_empty (&spec->id) && spec->gang >= 1 && spec->gang <= DFF_JOB_GANG_MAX;
}

static bool
decode_placements (const json_t *array, struct dff_job_row *row)
{
	for (size_t i = 0; i < json_array_size (array); i++) {
		const json_t *entry = json_array_get (array, i);
		const json_t *worker = json_array_get (entry, 0);
		struct dff_placement placement = {0};
		struct dff_str text = {
			.data = json_string_value (worker),
			.len = json_string_length (worker),
		};
		if (!dff_name_parse (text, &placement.worker))
			return false;
		placement.accelerators = (uint64_t)json_integer_value (json_array_get (entry, 1));
		g_array_append_val (row->placements, placement);
		int64_t incarnation = json_integer_value (json_array_get (entry, 2));
		g_array_append_val (row->incarnations, incarnation);
	}
	return true;
}

static bool
decode_result (const json_t *object, struct dff_result_ref *result)
{
	if (object == NULL)
		return true;
	const char *digest = json_string_value (json_object_get (object, "digest"));
	result->length = get_int64 (object, "length");
	if (digest != NULL && strlen (digest) <= DIGEST_HEX_LEN)
		g_strlcpy (result->digest, digest, sizeof (result->digest));
	return get_name (object, "key", &result->manifest_key);
}

/** The open attempt names one worker for each member: a takeover has to query them all. */
static bool
placements_fit (const struct dff_job_row *row)
{
	return row->state != DFF_JOB_ROW_OPEN || row->placements->len == (guint)row->spec.gang;
}

static bool
decode_row (const json_t *object, struct dff_job_row *row)
{
	int state = get_choice (object, "state", state_names, G_N_ELEMENTS (state_names));
	const json_t *outcome = json_object_get (object, "outcome");
	struct dff_str outcome_text = {
		.data = json_string_value (outcome),
		.len = json_string_length (outcome),
	};
	if (state < 0 || !json_is_string (outcome) ||
	    !dff_outcome_parse (outcome_text, &row->outcome) ||
	    !decode_spec (json_object_get (object, "spec"), &row->spec) ||
	    !get_int32 (object, "attempt", &row->attempt) ||
	    !decode_placements (json_object_get (object, "placements"), row) ||
	    !get_name (object, "reason", &row->reason) ||
	    !decode_result (json_object_get (object, "result"), &row->result) ||
	    !get_name (object, "batch", &row->batch))
		return false;
	row->state = (enum dff_job_row_state)state;
	row->cancel_requested = get_bool (object, "cancel_requested");
	row->submitted_wall_ms = get_int64 (object, "submitted_ms");
	row->ended_wall_ms = get_int64 (object, "ended_ms");
	row->epoch = get_int64 (object, "epoch");
	get_text (object, "payload", row->payload);
	get_text (object, "traceparent", row->traceparent);
	return placements_fit (row);
}

struct dff_job_row *
dff_job_row_decode (struct dff_str value, int64_t revision, GError **error)
{
	json_error_t json_error;
	json_t *object = json_loadb (value.data, value.len, 0, &json_error);
	if (object == NULL) {
		g_set_error (error, row_error_quark (), 0, "job row: %s", json_error.text);
		return NULL;
	}
	struct dff_job_row *row = dff_job_row_new ();
	bool valid = decode_row (object, row);
	json_decref (object);
	if (!valid) {
		dff_job_row_free (row);
		g_set_error (error, row_error_quark (), 1,
			     "job row: a field is missing or malformed");
		return NULL;
	}
	row->revision = revision;
	return row;
}
