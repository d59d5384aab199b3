#include <jansson.h>

#include "pool/check.h"
#include "pool/entries.h"
#include "pool/pool.h"
#include "pool/reader.h"

static const struct dff_weights completion_preset = {.completion = 0.7, .fragmentation = 0.3};
static const struct dff_weights fragmentation_preset = {.completion = 0.3, .fragmentation = 0.7};

static void
read_preset (struct dff_pool_reader *reader, const json_t *root, struct dff_weights *weights)
{
	const char *preset = json_string_value (json_object_get (root, "preset"));
	gsize mark = dff_pool_reader_enter (reader, "preset", 0);
	if (g_strcmp0 (preset, "completion") == 0)
		*weights = completion_preset;
	else if (g_strcmp0 (preset, "fragmentation") == 0)
		*weights = fragmentation_preset;
	else
		dff_pool_reader_report (reader, DFF_POOL_ERROR_FIELD,
					"expected \"completion\" or \"fragmentation\"");
	dff_pool_reader_leave (reader, mark);
}

static void
read_weight (struct dff_pool_reader *reader, const json_t *object, const char *key, double *weight)
{
	const json_t *value = json_object_get (object, key);
	double number = json_number_value (value);
	if (json_is_number (value) && number >= 0.0 && number <= 1.0) {
		*weight = number;
		return;
	}
	gsize mark = dff_pool_reader_enter (reader, key, 0);
	dff_pool_reader_report (reader, DFF_POOL_ERROR_FIELD, "expected a number from 0 to 1");
	dff_pool_reader_leave (reader, mark);
}

static void
read_weights (struct dff_pool_reader *reader, const json_t *root, struct dff_weights *weights)
{
	static const char *const keys[] = {"completion", "fragmentation", NULL};
	const json_t *value = json_object_get (root, "weights");
	gsize mark = dff_pool_reader_enter (reader, "weights", 0);
	if (json_object_get (root, "preset") != NULL) {
		dff_pool_reader_report (reader, DFF_POOL_ERROR_FIELD,
					"expected either preset or weights");
	} else if (dff_pool_reader_object (reader, value, keys)) {
		read_weight (reader, value, "completion", &weights->completion);
		read_weight (reader, value, "fragmentation", &weights->fragmentation);
	}
	dff_pool_reader_leave (reader, mark);
}

static void
read_root (struct dff_pool_reader *reader, const json_t *root, struct dff_pool *pool)
{
	static const char *const keys[] = {"preset",   "weights",   "racks", "teams",
					   "services", "operators", NULL};
	if (!dff_pool_reader_object (reader, root, keys))
		return;
	pool->weights = completion_preset;
	if (json_object_get (root, "preset") != NULL)
		read_preset (reader, root, &pool->weights);
	if (json_object_get (root, "weights") != NULL)
		read_weights (reader, root, &pool->weights);
	dff_pool_reader_array (reader, root, "racks", true, dff_pool_read_rack, pool);
	dff_pool_reader_array (reader, root, "teams", true, dff_pool_read_team, pool);
	dff_pool_reader_array (reader, root, "services", false, dff_pool_read_service, pool);
	dff_pool_reader_array (reader, root, "operators", false, dff_pool_read_operator, pool);
}

static void
report_syntax (struct dff_pool_reader *reader, const json_error_t *json_error)
{
	char *message = g_strdup_printf ("%s:%d: file: expected JSON: %s", reader->source,
					 json_error->line, json_error->text);
	g_set_error_literal (reader->error, DFF_POOL_ERROR, DFF_POOL_ERROR_SYNTAX, message);
	if (reader->errors != NULL)
		g_ptr_array_add (reader->errors, message);
	else
		g_free (message);
}

struct dff_pool *
dff_pool_parse (struct dff_str text, const char *source, GPtrArray *errors, GError **error)
{
	g_autoptr (GString) path = g_string_new (NULL);
	struct dff_pool_reader reader = {
		.text = text, .source = source, .errors = errors, .error = error, .path = path};
	json_error_t json_error;
	json_t *root = json_loadb (text.data, text.len, JSON_REJECT_DUPLICATES, &json_error);
	if (root == NULL) {
		report_syntax (&reader, &json_error);
		return NULL;
	}
	DFF_AUTO (dff_pool) pool = dff_pool_new ();
	read_root (&reader, root, pool);
	dff_pool_check (&reader, pool);
	json_decref (root);
	return reader.n_errors == 0 ? g_steal_pointer (&pool) : NULL;
}
