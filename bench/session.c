#include "bench/session.h"

#include <jansson.h>
#include <math.h>
#include <string.h>

#define DFF_SECONDS_MAX 1e9
#define DFF_RESOURCE_MAX 1000000
/* Largest number of attempts of an idempotent job. */
#define DFF_SESSION_ATTEMPTS 3

/* Reads the fields of one line and keeps the first error. */
struct line_reader {
	const char *source;
	int line;
	const json_t *object;
	GError **error;
	bool failed;
};

G_GNUC_PRINTF (2, 3)
static void
line_fault (struct line_reader *reader, const char *format, ...)
{
	if (reader->failed)
		return;
	reader->failed = true;
	va_list args;
	va_start (args, format);
	g_autofree char *expected = g_strdup_vprintf (format, args);
	va_end (args);
	g_set_error (reader->error, G_FILE_ERROR, G_FILE_ERROR_INVAL, "%s:%d: %s", reader->source,
		     reader->line, expected);
}

static int64_t
read_seconds (struct line_reader *reader, const char *key, int64_t absent_ms)
{
	const json_t *value = json_object_get (reader->object, key);
	if (value == NULL && absent_ms >= 0)
		return absent_ms;
	double seconds = json_number_value (value);
	if (!json_is_number (value) || !(seconds >= 0.0 && seconds <= DFF_SECONDS_MAX)) {
		line_fault (reader, "%s: expected seconds, 0 to %.0f", key, DFF_SECONDS_MAX);
		return 0;
	}
	return (int64_t)llround (seconds * 1000.0);
}

static int32_t
read_count (struct line_reader *reader, const char *key, int32_t min, int32_t absent)
{
	const json_t *value = json_object_get (reader->object, key);
	if (value == NULL)
		return absent;
	json_int_t count = json_integer_value (value);
	if (!json_is_integer (value) || count < min || count > DFF_RESOURCE_MAX) {
		line_fault (reader, "%s: expected a whole number from %d to %d", key, min,
			    DFF_RESOURCE_MAX);
		return absent;
	}
	return (int32_t)count;
}

static bool
read_flag (struct line_reader *reader, const char *key, bool absent)
{
	const json_t *value = json_object_get (reader->object, key);
	if (value == NULL)
		return absent;
	if (!json_is_boolean (value))
		line_fault (reader, "%s: expected true or false", key);
	return json_is_true (value);
}

static struct dff_name
read_name (struct line_reader *reader, const char *key, bool required)
{
	struct dff_name name = {0};
	const json_t *value = json_object_get (reader->object, key);
	if (value == NULL && !required)
		return name;
	struct dff_str text = {json_string_value (value), json_string_length (value)};
	if (!json_is_string (value) || !dff_name_parse (text, &name)) {
		line_fault (reader,
			    "%s: expected a name of 1 to %d letters, digits, '-', '_', '.', ':'",
			    key, DFF_NAME_MAX);
	}
	return name;
}

static enum dff_adjacency
read_adjacency (struct line_reader *reader)
{
	const json_t *value = json_object_get (reader->object, "adjacent");
	if (value == NULL || json_is_false (value))
		return DFF_ADJACENCY_NONE;
	if (json_is_true (value))
		return DFF_ADJACENCY_NEIGHBOURS;
	if (g_strcmp0 (json_string_value (value), "rack") != 0)
		line_fault (reader, "adjacent: expected true, false or \"rack\"");
	return DFF_ADJACENCY_RACK;
}

static void
read_submit (struct line_reader *reader, struct dff_session_event *event)
{
	struct dff_job_spec *spec = &event->spec;
	event->subject = read_name (reader, "id", true);
	spec->id = event->subject;
	spec->team = read_name (reader, "team", true);
	spec->service = read_name (reader, "service", false);
	spec->region = read_name (reader, "region", false);
	spec->gang = read_count (reader, "gang", 1, 1);
	spec->per_task.accelerators = read_count (reader, "accelerators", 0, 0);
	spec->per_task.slots = read_count (reader, "slots", 0, 1);
	spec->per_task.cores = read_count (reader, "cores", 0, 0);
	spec->per_task.memory_gb = read_count (reader, "memory_gb", 0, 0);
	spec->adjacency = read_adjacency (reader);
	spec->urgent = read_flag (reader, "urgent", false);
	spec->guaranteed = read_flag (reader, "guaranteed", false);
	spec->checkpoint = read_flag (reader, "checkpoint", false);
	spec->idempotent = read_flag (reader, "idempotent", true);
	spec->max_attempts = spec->idempotent ? DFF_SESSION_ATTEMPTS : 1;
	event->actual_ms = read_seconds (reader, "actual_s", -1);
	spec->declared_ms = read_seconds (reader, "declared_s", event->actual_ms);
}

struct event_kind {
	const char *name;
	enum dff_session_event_type type;
	/** Key of the job, worker or rack of the event. */
	const char *subject;
};

static const struct event_kind event_kinds[] = {
	{"submit", DFF_SESSION_SUBMIT, "id"},
	{"cancel", DFF_SESSION_CANCEL, "id"},
	{"worker_up", DFF_SESSION_WORKER_UP, "worker"},
	{"worker_down", DFF_SESSION_WORKER_DOWN, "worker"},
	{"worker_leaving", DFF_SESSION_WORKER_LEAVING, "worker"},
	{"worker_fails_everything", DFF_SESSION_WORKER_FAILS_EVERYTHING, "worker"},
	{"rack_up", DFF_SESSION_RACK_UP, "rack"},
	{"rack_down", DFF_SESSION_RACK_DOWN, "rack"},
};

static const struct event_kind *
read_kind (struct line_reader *reader)
{
	const char *name = json_string_value (json_object_get (reader->object, "event"));
	for (size_t i = 0; i < G_N_ELEMENTS (event_kinds); i++) {
		if (g_strcmp0 (event_kinds[i].name, name) == 0)
			return &event_kinds[i];
	}
	line_fault (reader, "event: expected submit, cancel, worker_up, worker_down, "
			    "worker_leaving, worker_fails_everything, rack_up or rack_down");
	return NULL;
}

static void
read_event (struct line_reader *reader, int64_t last_ms, struct dff_session_event *event)
{
	if (!json_is_object (reader->object)) {
		line_fault (reader, "expected an object");
		return;
	}
	const struct event_kind *kind = read_kind (reader);
	if (kind == NULL)
		return;
	event->type = kind->type;
	event->line = reader->line;
	event->time_ms = read_seconds (reader, "t", last_ms);
	if (event->time_ms < last_ms)
		line_fault (reader, "t: expected the lines in time order");
	if (kind->type == DFF_SESSION_SUBMIT)
		read_submit (reader, event);
	else
		event->subject = read_name (reader, kind->subject, true);
}

static void
read_line (struct line_reader *reader, struct dff_str line, GArray *events)
{
	json_error_t fault;
	json_t *root = json_loadb (line.data, line.len, JSON_REJECT_DUPLICATES, &fault);
	if (root == NULL) {
		line_fault (reader, "expected a JSON object: %s", fault.text);
		return;
	}
	int64_t last_ms = 0;
	if (events->len > 0)
		last_ms = g_array_index (events, struct dff_session_event, events->len - 1).time_ms;
	struct dff_session_event event = {0};
	reader->object = root;
	read_event (reader, last_ms, &event);
	json_decref (root);
	g_array_append_val (events, event);
}

static void
check_ids (struct line_reader *reader, const GArray *events)
{
	g_autoptr (GHashTable) seen = g_hash_table_new (dff_name_hash, dff_name_equal_func);
	for (guint i = 0; i < events->len; i++) {
		const struct dff_session_event *event =
			&g_array_index (events, struct dff_session_event, i);
		if (event->type != DFF_SESSION_SUBMIT)
			continue;
		reader->line = event->line;
		if (!g_hash_table_add (seen, (gpointer)&event->subject))
			line_fault (reader, "id: expected a job id used once");
	}
}

static bool
is_blank (struct dff_str line)
{
	for (size_t i = 0; i < line.len; i++) {
		if (!g_ascii_isspace (line.data[i]))
			return false;
	}
	return true;
}

struct dff_session *
dff_session_parse (struct dff_str text, const char *source, GError **error)
{
	struct dff_session *session = g_new0 (struct dff_session, 1);
	session->events = g_array_new (FALSE, FALSE, sizeof (struct dff_session_event));
	struct line_reader reader = {.source = source, .error = error};
	size_t start = 0;
	while (start < text.len && !reader.failed) {
		const char *end = memchr (text.data + start, '\n', text.len - start);
		size_t stop = end != NULL ? (size_t)(end - text.data) : text.len;
		struct dff_str line = {text.data + start, stop - start};
		reader.line++;
		if (!is_blank (line))
			read_line (&reader, line, session->events);
		start = stop + 1;
	}
	check_ids (&reader, session->events);
	if (!reader.failed)
		return session;
	dff_session_free (session);
	return NULL;
}

struct dff_session *
dff_session_load (const char *path, GError **error)
{
	g_autofree char *data = NULL;
	gsize len = 0;
	if (!g_file_get_contents (path, &data, &len, error))
		return NULL;
	return dff_session_parse ((struct dff_str){data, len}, path, error);
}

void
dff_session_free (struct dff_session *session)
{
	if (session == NULL)
		return;
	g_array_unref (session->events);
	g_free (session);
}
