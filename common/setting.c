#include "common/setting.h"

#include <arpa/inet.h>
#include <sodium.h>
#include <string.h>

#include "common/json_locate.h"
#include "common/log.h"

/** Maximum size of a file, bytes. */
#define MAX_FILE_BYTES 1048576
#define DIGEST_PREFIX "sha256:"
#define DIGEST_HEX_LEN 64
#define CURVE_KEY_BYTES 32

G_DEFINE_QUARK (dff - settings - error - quark, dff_settings_error)

static void
append_expected (const struct dff_setting *setting, GString *out)
{
	switch (setting->type) {
	case DFF_SETTING_NAME:
		g_string_append_printf (
			out,
			"a name of 1 to %d bytes (letters, digits, hyphen, underscore, dot, colon)",
			setting->max);
		return;
	case DFF_SETTING_ADDRESS:
		g_string_append_printf (out, "\"IP:PORT\" with an IPv4 number and a port from %d",
					setting->min);
		g_string_append (out, " to 65535");
		return;
	case DFF_SETTING_KEY:
		g_string_append (out, "a CURVE key, 43 characters of base64url");
		return;
	case DFF_SETTING_PATH:
		g_string_append (out, "a string");
		return;
	case DFF_SETTING_DIGEST:
		g_string_append (out, "\"sha256:\" and 64 hex digits, or an empty string");
		return;
	case DFF_SETTING_LEVEL:
		g_string_append (out, "\"debug\", \"info\", \"warning\" or \"error\"");
		return;
	case DFF_SETTING_INTEGER:
	case DFF_SETTING_NUMBER:
		g_string_append_printf (out, "%s from %d to %d",
					setting->type == DFF_SETTING_INTEGER ? "an integer"
									     : "a number",
					setting->min, setting->max);
		if (setting->unit != NULL)
			g_string_append_printf (out, " (%s)", setting->unit);
		return;
	}
}

static bool
parse_port (const char *text, int32_t lowest)
{
	if (*text == '\0' || strspn (text, "0123456789") != strlen (text) || strlen (text) > 5)
		return false;
	int64_t port = g_ascii_strtoll (text, NULL, 10);
	return port >= lowest && port <= UINT16_MAX;
}

static bool
address_is_valid (const struct dff_name *address, int32_t lowest_port)
{
	const char *colon = strrchr (address->data, ':');
	if (colon == NULL)
		return false;
	g_autofree char *ip = g_strndup (address->data, (size_t)(colon - address->data));
	struct in_addr parsed;
	return inet_pton (AF_INET, ip, &parsed) == 1 && parse_port (colon + 1, lowest_port);
}

static bool
curve_key_is_valid (const struct dff_name *key)
{
	unsigned char bytes[CURVE_KEY_BYTES];
	size_t len = 0;
	int result = sodium_base642bin (bytes, sizeof (bytes), key->data, key->len, NULL, &len,
					NULL, sodium_base64_VARIANT_URLSAFE_NO_PADDING);
	sodium_memzero (bytes, sizeof (bytes));
	return result == 0 && len == CURVE_KEY_BYTES;
}

static bool
digest_is_valid (const char *text)
{
	if (*text == '\0')
		return true;
	if (!g_str_has_prefix (text, DIGEST_PREFIX))
		return false;
	const char *hex = text + strlen (DIGEST_PREFIX);
	return strlen (hex) == DIGEST_HEX_LEN && strspn (hex, "0123456789abcdef") == DIGEST_HEX_LEN;
}

static void *
member_of (const struct dff_setting *setting, void *object)
{
	return (char *)object + setting->offset;
}

static const void *
member_of_const (const struct dff_setting *setting, const void *object)
{
	return (const char *)object + setting->offset;
}

static bool
name_is_expected (const struct dff_setting *setting, const struct dff_name *name)
{
	if (setting->type == DFF_SETTING_ADDRESS)
		return address_is_valid (name, setting->min);
	if (setting->type == DFF_SETTING_KEY)
		return curve_key_is_valid (name);
	return name->len <= setting->max;
}

static bool
assign_name (const struct dff_setting *setting, struct dff_name *member, struct dff_str text)
{
	struct dff_name name;
	if (!dff_name_parse (text, &name) || !name_is_expected (setting, &name))
		return false;
	*member = name;
	return true;
}

static bool
assign_string (const struct dff_setting *setting, void *object, struct dff_str text)
{
	void *member = member_of (setting, object);
	switch (setting->type) {
	case DFF_SETTING_NAME:
	case DFF_SETTING_ADDRESS:
	case DFF_SETTING_KEY:
		return assign_name (setting, member, text);
	case DFF_SETTING_LEVEL:
		return dff_log_level_parse (text, member);
	case DFF_SETTING_DIGEST:
		if (!digest_is_valid (text.data))
			return false;
		break;
	case DFF_SETTING_PATH:
		break;
	case DFF_SETTING_INTEGER:
	case DFF_SETTING_NUMBER:
		return false;
	}
	GString **string = member;
	g_string_truncate (*string, 0);
	g_string_append_len (*string, text.data, (gssize)text.len);
	return true;
}

static bool
setting_assign (const struct dff_setting *setting, void *object, const json_t *value)
{
	if (json_is_string (value)) {
		struct dff_str text = {json_string_value (value), json_string_length (value)};
		return assign_string (setting, object, text);
	}
	double number_value = json_number_value (value);
	if (setting->type == DFF_SETTING_NUMBER && json_is_number (value) &&
	    number_value >= setting->min && number_value <= setting->max) {
		*(double *)member_of (setting, object) = number_value;
		return true;
	}
	if (setting->type != DFF_SETTING_INTEGER || !json_is_integer (value))
		return false;
	json_int_t number = json_integer_value (value);
	if (number < setting->min || number > setting->max)
		return false;
	*(int32_t *)member_of (setting, object) = (int32_t)number;
	return true;
}

static void
assign_default (const struct dff_setting *setting, void *object)
{
	if (setting->default_text == NULL)
		return;
	json_t *value = json_loads (setting->default_text, JSON_DECODE_ANY, NULL);
	bool assigned = setting_assign (setting, object, value);
	json_decref (value);
	g_assert (assigned);
}

bool
dff_setting_equal (const struct dff_setting *setting, const void *a, const void *b)
{
	const void *left = member_of_const (setting, a);
	const void *right = member_of_const (setting, b);
	switch (setting->type) {
	case DFF_SETTING_NAME:
	case DFF_SETTING_ADDRESS:
	case DFF_SETTING_KEY:
		return dff_name_equal (left, right);
	case DFF_SETTING_PATH:
	case DFF_SETTING_DIGEST:
		return g_string_equal (*(GString *const *)left, *(GString *const *)right);
	case DFF_SETTING_LEVEL:
		return *(const enum dff_log_level *)left == *(const enum dff_log_level *)right;
	case DFF_SETTING_INTEGER:
		return *(const int32_t *)left == *(const int32_t *)right;
	case DFF_SETTING_NUMBER:
		return *(const double *)left == *(const double *)right;
	}
	return false;
}

static void
setting_copy (const struct dff_setting *setting, void *to, const void *from)
{
	void *target = member_of (setting, to);
	const void *source = member_of_const (setting, from);
	switch (setting->type) {
	case DFF_SETTING_NAME:
	case DFF_SETTING_ADDRESS:
	case DFF_SETTING_KEY:
		memcpy (target, source, sizeof (struct dff_name));
		return;
	case DFF_SETTING_PATH:
	case DFF_SETTING_DIGEST:
		g_string_assign (*(GString **)target, (*(GString *const *)source)->str);
		return;
	case DFF_SETTING_LEVEL:
		*(enum dff_log_level *)target = *(const enum dff_log_level *)source;
		return;
	case DFF_SETTING_INTEGER:
		*(int32_t *)target = *(const int32_t *)source;
		return;
	case DFF_SETTING_NUMBER:
		*(double *)target = *(const double *)source;
		return;
	}
}

int32_t
dff_setting_integer (const struct dff_setting *setting, const void *object)
{
	g_assert (setting->type == DFF_SETTING_INTEGER);
	return *(const int32_t *)member_of_const (setting, object);
}

const struct dff_setting *
dff_setting_table_find (const struct dff_setting_table *table, const char *key)
{
	for (size_t i = 0; i < table->n_settings; i++) {
		if (strcmp (table->settings[i].key, key) == 0)
			return &table->settings[i];
	}
	return NULL;
}

void
dff_setting_table_assign_defaults (const struct dff_setting_table *table, void *object)
{
	for (size_t i = 0; i < table->n_settings; i++)
		assign_default (&table->settings[i], object);
}

struct dff_setting_reader {
	const struct dff_setting_table *table;
	const struct dff_setting_input *input;
	GError **error;
	bool failed;
	const json_t *root;
	/** Elements: int, the line of each key of the outermost object. */
	GArray *key_lines;
};

static void G_GNUC_PRINTF (4, 5) report (struct dff_setting_reader *reader,
					 enum dff_settings_error code,
					 int line,
					 const char *format,
					 ...)
{
	va_list args;
	va_start (args, format);
	g_autofree char *message = g_strdup_vprintf (format, args);
	va_end (args);
	g_autofree char *full = g_strdup_printf ("%s:%d: %s", reader->input->source, line, message);
	if (!reader->failed)
		g_set_error_literal (reader->error, DFF_SETTINGS_ERROR, (int)code, full);
	reader->failed = true;
	if (reader->input->errors != NULL)
		g_ptr_array_add (reader->input->errors, g_steal_pointer (&full));
}

static int
line_of_key (const struct dff_setting_reader *reader, const char *key)
{
	guint index = 0;
	const char *candidate;
	json_t *value;
	json_object_foreach ((json_t *)reader->root, candidate, value)
	{
		if (strcmp (candidate, key) == 0)
			return g_array_index (reader->key_lines, int, index);
		index++;
	}
	return 1;
}

void
dff_setting_reader_report_at (struct dff_setting_reader *reader,
			      const char *key,
			      const char *format,
			      ...)
{
	va_list args;
	va_start (args, format);
	g_autofree char *message = g_strdup_vprintf (format, args);
	va_end (args);
	report (reader, DFF_SETTINGS_ERROR_FIELD, line_of_key (reader, key), "%s", message);
}

bool
dff_setting_reader_has_key (const struct dff_setting_reader *reader, const char *key)
{
	return json_object_get (reader->root, key) != NULL;
}

static void
read_keys (struct dff_setting_reader *reader, void *object)
{
	guint index = 0;
	const char *key;
	json_t *value;
	json_object_foreach ((json_t *)reader->root, key, value)
	{
		int line = g_array_index (reader->key_lines, int, index++);
		const struct dff_setting *setting = dff_setting_table_find (reader->table, key);
		if (setting == NULL) {
			report (reader, DFF_SETTINGS_ERROR_FIELD, line,
				"%s: unknown key; expected one of %s", key, reader->table->page);
			continue;
		}
		if (setting_assign (setting, object, value))
			continue;
		g_autoptr (GString) expected = g_string_new (NULL);
		append_expected (setting, expected);
		report (reader, DFF_SETTINGS_ERROR_FIELD, line, "%s: expected %s", key,
			expected->str);
	}
}

static void
check_required (struct dff_setting_reader *reader)
{
	for (size_t i = 0; i < reader->table->n_settings; i++) {
		const struct dff_setting *setting = &reader->table->settings[i];
		if (!setting->required || dff_setting_reader_has_key (reader, setting->key))
			continue;
		g_autoptr (GString) expected = g_string_new (NULL);
		append_expected (setting, expected);
		report (reader, DFF_SETTINGS_ERROR_FIELD, 1, "%s: required; expected %s",
			setting->key, expected->str);
	}
}

static void
read_object (struct dff_setting_reader *reader, void *object)
{
	if (!json_is_object (reader->root)) {
		report (reader, DFF_SETTINGS_ERROR_SYNTAX, 1, "syntax: expected an object");
		return;
	}
	/* The nth key in jansson's insertion order is the nth key of the text: duplicates are
	 * rejected. */
	reader->key_lines = dff_json_key_lines (reader->input->text);
	read_keys (reader, object);
	check_required (reader);
	if (reader->input->check != NULL)
		reader->input->check (reader, object);
	g_clear_pointer (&reader->key_lines, g_array_unref);
}

bool
dff_setting_table_read (const struct dff_setting_table *table,
			const struct dff_setting_input *input,
			void *object,
			GError **error)
{
	struct dff_setting_reader reader = {.table = table, .input = input, .error = error};
	json_error_t syntax_error;
	json_t *root = json_loadb (input->text.data, input->text.len, JSON_REJECT_DUPLICATES,
				   &syntax_error);
	if (root == NULL) {
		report (&reader, DFF_SETTINGS_ERROR_SYNTAX, MAX (syntax_error.line, 1),
			"syntax: %s", syntax_error.text);
		return false;
	}
	reader.root = root;
	read_object (&reader, object);
	json_decref (root);
	return !reader.failed;
}

bool
dff_setting_table_load (const struct dff_setting_table *table,
			const struct dff_setting_input *input,
			void *object,
			GError **error)
{
	g_autoptr (GError) read_error = NULL;
	g_autofree char *data = NULL;
	gsize len = 0;
	struct dff_setting_reader reader = {.table = table, .input = input, .error = error};
	if (!g_file_get_contents (input->source, &data, &len, &read_error)) {
		report (&reader, DFF_SETTINGS_ERROR_READ, 1, "%s", read_error->message);
		return false;
	}
	if (len > MAX_FILE_BYTES) {
		report (&reader, DFF_SETTINGS_ERROR_READ, 1, "expected at most %d bytes",
			MAX_FILE_BYTES);
		return false;
	}
	struct dff_setting_input from_file = *input;
	from_file.text = (struct dff_str){data, len};
	return dff_setting_table_read (table, &from_file, object, error);
}

void
dff_setting_table_reload (const struct dff_setting_table *table,
			  void *object,
			  const void *fresh,
			  GPtrArray *fixed)
{
	for (size_t i = 0; i < table->n_settings; i++) {
		const struct dff_setting *setting = &table->settings[i];
		if (dff_setting_equal (setting, object, fresh))
			continue;
		if (setting->reloadable)
			setting_copy (setting, object, fresh);
		else
			g_ptr_array_add (fixed, g_strdup (setting->key));
	}
}

void
dff_setting_table_describe (const struct dff_setting_table *table, GString *out)
{
	for (size_t i = 0; i < table->n_settings; i++) {
		const struct dff_setting *setting = &table->settings[i];
		g_string_append_printf (out, "*%s*\n\t%s Expects ", setting->key, setting->help);
		append_expected (setting, out);
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
