#include "daemon/settings.h"

#include <jansson.h>
#include <string.h>

#include "common/json_locate.h"
#include "daemon/settings_keys.h"

#define MAX_FILE_BYTES 1048576

G_DEFINE_QUARK (dff - settings - error - quark, dff_settings_error)

/* One parse: where faults go, and the line of each key. */
struct parse {
	const char *source;
	struct dff_str text;
	GPtrArray *errors;
	GError **error;
	bool failed;
	/* Elements: int; line of the nth key of the outermost object. */
	GArray *key_lines;
	const json_t *root;
};

/* @smaller + @margin has to stay below @larger. */
struct relation {
	const char *smaller;
	const char *margin;
	const char *larger;
	const char *reason;
};

static const struct relation relations[] = {
	{"cell_renew_ms", "cell_margin_ms", "cell_lease_ms",
	 "else the holder stops acting before each renewal"},
	{"tick_ms", NULL, "cell_renew_ms", "else renewals come late"},
	{"watch_interval_ms", NULL, "task_lease_ms", "else tasks lapse between renewals"},
	{"heartbeat_ms", NULL, "suspect_ms", "else every peer is suspected between heartbeats"},
	{"suspect_ms", NULL, "dead_ms", "else a suspicion cannot be refuted"},
	{"heartbeat_ms", NULL, "isolated_after_ms", "else every process takes itself for isolated"},
};

static void G_GNUC_PRINTF (4, 5) report (
	struct parse *parse, enum dff_settings_error code, int line, const char *format, ...)
{
	va_list args;
	va_start (args, format);
	g_autofree char *message = g_strdup_vprintf (format, args);
	va_end (args);
	g_autofree char *full = g_strdup_printf ("%s:%d: %s", parse->source, line, message);
	if (!parse->failed)
		g_set_error_literal (parse->error, DFF_SETTINGS_ERROR, code, full);
	parse->failed = true;
	if (parse->errors != NULL)
		g_ptr_array_add (parse->errors, g_steal_pointer (&full));
}

static int
line_of_key (const struct parse *parse, const char *key)
{
	guint index = 0;
	const char *candidate;
	json_t *value;
	json_object_foreach ((json_t *)parse->root, candidate, value)
	{
		if (strcmp (candidate, key) == 0)
			return g_array_index (parse->key_lines, int, index);
		index++;
	}
	return 1;
}

static struct dff_settings *
settings_new (void)
{
	struct dff_settings *settings = g_new0 (struct dff_settings, 1);
	settings->tls_certificate = g_string_new (NULL);
	settings->tls_key = g_string_new (NULL);
	settings->bootstrap_token_digest = g_string_new (NULL);
	settings->trace_path = g_string_new (NULL);
	size_t n_settings;
	const struct dff_setting *table = dff_setting_table (&n_settings);
	for (size_t i = 0; i < n_settings; i++)
		dff_setting_assign_default (&table[i], settings);
	return settings;
}

static void
read_keys (struct parse *parse, struct dff_settings *settings)
{
	guint index = 0;
	const char *key;
	json_t *value;
	json_object_foreach ((json_t *)parse->root, key, value)
	{
		int line = g_array_index (parse->key_lines, int, index++);
		const struct dff_setting *setting = dff_setting_find (key);
		if (setting == NULL) {
			report (parse, DFF_SETTINGS_ERROR_FIELD, line,
				"%s: unknown key; expected one of dragonflyfold-settings(5)", key);
			continue;
		}
		if (dff_setting_assign (setting, settings, value))
			continue;
		g_autoptr (GString) expected = g_string_new (NULL);
		dff_setting_append_expected (setting, expected);
		report (parse, DFF_SETTINGS_ERROR_FIELD, line, "%s: expected %s", key,
			expected->str);
	}
}

static void
check_required (struct parse *parse)
{
	size_t n_settings;
	const struct dff_setting *table = dff_setting_table (&n_settings);
	for (size_t i = 0; i < n_settings; i++) {
		if (!table[i].required || json_object_get (parse->root, table[i].key) != NULL)
			continue;
		g_autoptr (GString) expected = g_string_new (NULL);
		dff_setting_append_expected (&table[i], expected);
		report (parse, DFF_SETTINGS_ERROR_FIELD, 1, "%s: required; expected %s",
			table[i].key, expected->str);
	}
}

static void
check_relation (struct parse *parse,
		const struct dff_settings *settings,
		const struct relation *relation)
{
	int64_t smaller = dff_setting_integer (dff_setting_find (relation->smaller), settings);
	int64_t larger = dff_setting_integer (dff_setting_find (relation->larger), settings);
	int64_t margin = 0;
	if (relation->margin != NULL)
		margin = dff_setting_integer (dff_setting_find (relation->margin), settings);
	if (smaller + margin < larger)
		return;
	bool named = json_object_get (parse->root, relation->smaller) != NULL;
	int line = line_of_key (parse, named ? relation->smaller : relation->larger);
	report (parse, DFF_SETTINGS_ERROR_FIELD, line,
		"%s: expected less than %s%s%s (%" G_GINT64_FORMAT "), %s", relation->smaller,
		relation->larger, margin > 0 ? " - " : "", margin > 0 ? relation->margin : "",
		larger - margin, relation->reason);
}

static void
check_tls (struct parse *parse, const struct dff_settings *settings)
{
	bool has_certificate = settings->tls_certificate->len > 0;
	bool has_key = settings->tls_key->len > 0;
	if (has_certificate == has_key)
		return;
	const char *given = has_certificate ? "tls_certificate" : "tls_key";
	report (parse, DFF_SETTINGS_ERROR_FIELD, line_of_key (parse, given),
		"%s: expected together with %s", given,
		has_certificate ? "tls_key" : "tls_certificate");
}

static void
parse_object (struct parse *parse, struct dff_settings *settings)
{
	if (!json_is_object (parse->root)) {
		report (parse, DFF_SETTINGS_ERROR_SYNTAX, 1, "syntax: expected an object");
		return;
	}
	/* The nth key in jansson's insertion order is the nth key of the text, because duplicates
	 * are refused. */
	parse->key_lines = dff_json_key_lines (parse->text);
	read_keys (parse, settings);
	check_required (parse);
	check_tls (parse, settings);
	for (size_t i = 0; i < G_N_ELEMENTS (relations); i++)
		check_relation (parse, settings, &relations[i]);
	g_clear_pointer (&parse->key_lines, g_array_unref);
}

struct dff_settings *
dff_settings_parse (struct dff_str text, const char *source, GPtrArray *errors, GError **error)
{
	struct parse parse = {.source = source, .text = text, .errors = errors, .error = error};
	json_error_t fault;
	json_t *root = json_loadb (text.data, text.len, JSON_REJECT_DUPLICATES, &fault);
	if (root == NULL) {
		report (&parse, DFF_SETTINGS_ERROR_SYNTAX, MAX (fault.line, 1), "syntax: %s",
			fault.text);
		return NULL;
	}
	parse.root = root;
	struct dff_settings *settings = settings_new ();
	parse_object (&parse, settings);
	json_decref (root);
	if (!parse.failed)
		return settings;
	dff_settings_free (settings);
	return NULL;
}

struct dff_settings *
dff_settings_load (const char *path, GPtrArray *errors, GError **error)
{
	g_autoptr (GError) fault = NULL;
	g_autofree char *data = NULL;
	gsize len = 0;
	struct parse parse = {.source = path, .errors = errors, .error = error};
	if (!g_file_get_contents (path, &data, &len, &fault)) {
		report (&parse, DFF_SETTINGS_ERROR_READ, 1, "%s", fault->message);
		return NULL;
	}
	if (len > MAX_FILE_BYTES) {
		report (&parse, DFF_SETTINGS_ERROR_READ, 1, "expected at most %d bytes",
			MAX_FILE_BYTES);
		return NULL;
	}
	struct dff_str text = {data, len};
	return dff_settings_parse (text, path, errors, error);
}

void
dff_settings_free (struct dff_settings *settings)
{
	if (settings == NULL)
		return;
	g_string_free (settings->tls_certificate, TRUE);
	g_string_free (settings->tls_key, TRUE);
	g_string_free (settings->bootstrap_token_digest, TRUE);
	g_string_free (settings->trace_path, TRUE);
	g_free (settings);
}

void
dff_settings_reload (struct dff_settings *settings,
		     const struct dff_settings *fresh,
		     GPtrArray *fixed)
{
	size_t n_settings;
	const struct dff_setting *table = dff_setting_table (&n_settings);
	for (size_t i = 0; i < n_settings; i++) {
		if (dff_setting_equal (&table[i], settings, fresh))
			continue;
		if (table[i].reloadable)
			dff_setting_copy (&table[i], settings, fresh);
		else
			g_ptr_array_add (fixed, g_strdup (table[i].key));
	}
}

void
dff_settings_describe (GString *out)
{
	size_t n_settings;
	const struct dff_setting *table = dff_setting_table (&n_settings);
	for (size_t i = 0; i < n_settings; i++) {
		const struct dff_setting *setting = &table[i];
		g_string_append_printf (out, "*%s*\n\t%s Expects ", setting->key, setting->help);
		dff_setting_append_expected (setting, out);
		g_string_append_c (out, '.');
		if (setting->required)
			g_string_append (out, " Required.");
		else if (setting->default_text != NULL)
			g_string_append_printf (out, " Default: %s.", setting->default_text);
		if (setting->reloadable)
			g_string_append (out, " Reloadable.");
		g_string_append (out, "\n\n");
	}
}
