#include "client/columns.h"

#define GAP 2
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

void
dff_fields_print (const json_t *object, GString *out)
{
	int width = 0;
	const char *key;
	json_t *value;
	json_object_foreach ((json_t *)object, key, value)
	{
		width = MAX (width, (int)g_utf8_strlen (key, -1) + GAP);
	}
	json_object_foreach ((json_t *)object, key, value)
	{
		g_autofree char *text = cell_text (value);
		append_padded (out, key, width);
		g_string_append (out, text);
		end_line (out);
	}
}
