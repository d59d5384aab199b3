#include "pool/reader.h"

#include <string.h>

#include "common/json_locate.h"

/* Keys come from outside and are printed to a terminal: control bytes are escaped and the length is
 * limited. */
#define DFF_KEY_SHOWN_MAX 64

static void
reader_report (struct dff_pool_reader *reader, enum dff_pool_error code, char *message)
{
	if (reader->n_errors++ == 0)
		g_set_error_literal (reader->error, DFF_POOL_ERROR, code, message);
	if (reader->errors != NULL)
		g_ptr_array_add (reader->errors, message);
	else
		g_free (message);
}

void
dff_pool_reader_report (struct dff_pool_reader *reader,
			enum dff_pool_error code,
			const char *format,
			...)
{
	va_list args;
	va_start (args, format);
	g_autofree char *expected = g_strdup_vprintf (format, args);
	va_end (args);
	int line = dff_json_locate (reader->text, reader->path->str);
	const char *path = reader->path->len > 0 ? reader->path->str : "file";
	reader_report (reader, code,
		       g_strdup_printf ("%s:%d: %s: %s", reader->source, line, path, expected));
}

gsize
dff_pool_reader_enter (struct dff_pool_reader *reader, const char *key, size_t index)
{
	gsize mark = reader->path->len;
	if (key == NULL) {
		g_string_append_printf (reader->path, "[%zu]", index);
		return mark;
	}
	if (mark > 0)
		g_string_append_c (reader->path, '.');
	g_string_append (reader->path, key);
	return mark;
}

void
dff_pool_reader_leave (struct dff_pool_reader *reader, gsize mark)
{
	g_string_truncate (reader->path, mark);
}

static void
reader_unknown_key (struct dff_pool_reader *reader, const char *key)
{
	g_autofree char *shown = g_strescape (key, NULL);
	if (strlen (shown) > DFF_KEY_SHOWN_MAX)
		shown[DFF_KEY_SHOWN_MAX] = '\0';
	gsize mark = dff_pool_reader_enter (reader, shown, 0);
	dff_pool_reader_report (reader, DFF_POOL_ERROR_FIELD, "unknown key");
	dff_pool_reader_leave (reader, mark);
}

bool
dff_pool_reader_object (struct dff_pool_reader *reader,
			const json_t *value,
			const char *const *allowed)
{
	if (!json_is_object (value)) {
		dff_pool_reader_report (reader, DFF_POOL_ERROR_FIELD, "expected an object");
		return false;
	}
	const char *key;
	json_t *member;
	json_object_foreach ((json_t *)value, key, member)
	{
		if (!g_strv_contains (allowed, key))
			reader_unknown_key (reader, key);
	}
	return true;
}

void
dff_pool_reader_int (struct dff_pool_reader *reader,
		     const json_t *object,
		     const struct dff_pool_int_field *field,
		     int32_t *out)
{
	const json_t *value = json_object_get (object, field->key);
	if (value == NULL && !field->required)
		return;
	json_int_t number = json_integer_value (value);
	if (json_is_integer (value) && number >= field->min && number <= field->max) {
		*out = (int32_t)number;
		return;
	}
	gsize mark = dff_pool_reader_enter (reader, field->key, 0);
	dff_pool_reader_report (reader, DFF_POOL_ERROR_FIELD,
				"expected a whole number from %d to %d%s", field->min, field->max,
				value == NULL ? ", missing" : "");
	dff_pool_reader_leave (reader, mark);
}

bool
dff_pool_reader_name_value (struct dff_pool_reader *reader,
			    const json_t *value,
			    size_t max_len,
			    struct dff_name *out)
{
	struct dff_str text = {json_string_value (value), json_string_length (value)};
	if (json_is_string (value) && text.len <= max_len && dff_name_parse (text, out))
		return true;
	memset (out, 0, sizeof (*out));
	dff_pool_reader_report (reader, DFF_POOL_ERROR_FIELD,
				"expected a name of 1 to %zu letters, digits, '-', '_', '.', ':'%s",
				max_len, value == NULL ? ", missing" : "");
	return false;
}

bool
dff_pool_reader_name (struct dff_pool_reader *reader,
		      const json_t *object,
		      const char *key,
		      size_t max_len,
		      struct dff_name *out)
{
	gsize mark = dff_pool_reader_enter (reader, key, 0);
	const json_t *value = json_object_get (object, key);
	bool valid = dff_pool_reader_name_value (reader, value, max_len, out);
	dff_pool_reader_leave (reader, mark);
	return valid;
}

static void
reader_each (struct dff_pool_reader *reader,
	     const json_t *array,
	     dff_pool_element_func each,
	     void *user)
{
	size_t index;
	const json_t *element;
	json_array_foreach (array, index, element)
	{
		gsize mark = dff_pool_reader_enter (reader, NULL, index);
		each (reader, element, user);
		dff_pool_reader_leave (reader, mark);
	}
}

void
dff_pool_reader_array (struct dff_pool_reader *reader,
		       const json_t *object,
		       const char *key,
		       bool required,
		       dff_pool_element_func each,
		       void *user)
{
	const json_t *value = json_object_get (object, key);
	if (value == NULL && !required)
		return;
	gsize mark = dff_pool_reader_enter (reader, key, 0);
	if (json_is_array (value))
		reader_each (reader, value, each, user);
	else
		dff_pool_reader_report (reader, DFF_POOL_ERROR_FIELD, "expected an array%s",
					value == NULL ? ", missing" : "");
	dff_pool_reader_leave (reader, mark);
}
