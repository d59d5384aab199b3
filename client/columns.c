#include "client/columns.h"

#define GAP 2
#define MAX_DEPTH 3
#define DUMP_FLAGS (JSON_COMPACT | JSON_ENCODE_ANY)

static char *
cell_text (const json_t *value)
{
	if (value == NULL || json_is_null (value))
		return g_strdup ("-");
	if (json_is_string (value))
		return g_strdup (json_string_length (value) > 0 ? json_string_value (value) : "-");
	if (json_is_real (value))
		return g_strdup_printf ("%.3f", json_real_value (value));
	return json_dumps (value, DUMP_FLAGS);
}

static int
column_width (const json_t *rows, const char *key)
{
	size_t width = g_utf8_strlen (key, -1);
	size_t index;
	json_t *row;
	json_array_foreach (rows, index, row)
	{
		g_autofree char *text = cell_text (json_object_get (row, key));
		width = MAX (width, (size_t)g_utf8_strlen (text, -1));
	}
	return (int)width + GAP;
}

static void
append_padded (GString *out, const char *text, int width)
{
	g_string_append (out, text);
	for (glong i = g_utf8_strlen (text, -1); i < width; i++)
		g_string_append_c (out, ' ');
}

static void
end_line (GString *out)
{
	gsize len = out->len;
	while (len > 0 && out->str[len - 1] == ' ')
		len--;
	g_string_truncate (out, len);
	g_string_append_c (out, '\n');
}

void
dff_columns_print (const json_t *rows, GString *out)
{
	json_t *first = json_array_get (rows, 0);
	if (first == NULL)
		return;
	const char *key;
	json_t *value;
	json_object_foreach (first, key, value)
	{
		append_padded (out, key, column_width (rows, key));
	}
	end_line (out);
	size_t index;
	json_t *row;
	json_array_foreach (rows, index, row)
	{
		json_object_foreach (first, key, value)
		{
			g_autofree char *text = cell_text (json_object_get (row, key));
			append_padded (out, text, column_width (rows, key));
		}
		end_line (out);
	}
}

struct field {
	char *name;
	char *text;
};

static void
field_clear (gpointer data)
{
	struct field *field = data;
	g_free (field->name);
	g_free (field->text);
}

static char *
field_text (const json_t *value)
{
	if (json_is_array (value))
		return g_strdup_printf ("%zu entries", json_array_size (value));
	return cell_text (value);
}

/* Collects members as fields. Nested members, down to @depth levels, get names with dots. */
static void
collect_fields (const json_t *object, const char *prefix, int depth, GArray *fields)
{
	const char *key;
	json_t *value;
	json_object_foreach ((json_t *)object, key, value)
	{
		g_autofree char *name = g_strconcat (prefix, key, NULL);
		if (json_is_object (value) && depth > 1) {
			g_autofree char *deeper = g_strconcat (name, ".", NULL);
			collect_fields (value, deeper, depth - 1, fields);
			continue;
		}
		struct field field = {.text = field_text (value)};
		field.name = g_steal_pointer (&name);
		g_array_append_val (fields, field);
	}
}

void
dff_fields_print (const json_t *object, GString *out)
{
	g_autoptr (GArray) fields = g_array_new (FALSE, FALSE, sizeof (struct field));
	g_array_set_clear_func (fields, field_clear);
	collect_fields (object, "", MAX_DEPTH, fields);
	int width = 0;
	for (guint i = 0; i < fields->len; i++) {
		const struct field *field = &g_array_index (fields, struct field, i);
		width = MAX (width, (int)g_utf8_strlen (field->name, -1) + GAP);
	}
	for (guint i = 0; i < fields->len; i++) {
		const struct field *field = &g_array_index (fields, struct field, i);
		append_padded (out, field->name, width);
		g_string_append (out, field->text);
		end_line (out);
	}
}
