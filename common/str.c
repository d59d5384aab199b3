#include "common/str.h"

#include <stdarg.h>
#include <string.h>
#include <xxhash.h>

struct dff_str
dff_str_from (const char *text)
{
	struct dff_str str = {.data = text, .len = strlen (text)};
	return str;
}

bool
dff_str_equal (struct dff_str a, struct dff_str b)
{
	return a.len == b.len && (a.len == 0 || memcmp (a.data, b.data, a.len) == 0);
}

static bool
name_byte_allowed (char byte)
{
	return g_ascii_isalnum (byte) || byte == '-' || byte == '_' || byte == '.' || byte == ':';
}

bool
dff_name_parse (struct dff_str text, struct dff_name *name)
{
	memset (name, 0, sizeof (*name));
	if (text.len == 0 || text.len > DFF_NAME_MAX)
		return false;
	for (size_t i = 0; i < text.len; i++) {
		if (!name_byte_allowed (text.data[i]))
			return false;
	}
	memcpy (name->data, text.data, text.len);
	name->len = (uint8_t)text.len;
	return true;
}

struct dff_name
dff_name_from (const char *text)
{
	struct dff_name name;
	bool valid = dff_name_parse (dff_str_from (text), &name);
	g_assert (valid);
	return name;
}

struct dff_name
dff_name_printf (const char *format, ...)
{
	char buffer[DFF_NAME_MAX + 2];
	va_list args;
	va_start (args, format);
	int written = g_vsnprintf (buffer, sizeof (buffer), format, args);
	va_end (args);
	g_assert (written > 0 && written <= DFF_NAME_MAX);
	return dff_name_from (buffer);
}

bool
dff_name_equal (const struct dff_name *a, const struct dff_name *b)
{
	return a->len == b->len && memcmp (a->data, b->data, a->len) == 0;
}

bool
dff_name_is_empty (const struct dff_name *name)
{
	return name->len == 0;
}

int
dff_name_compare (const struct dff_name *a, const struct dff_name *b)
{
	return strcmp (a->data, b->data);
}

guint
dff_name_hash (gconstpointer name)
{
	const struct dff_name *key = name;
	return (guint)XXH3_64bits (key->data, key->len);
}

gboolean
dff_name_equal_func (gconstpointer a, gconstpointer b)
{
	return dff_name_equal (a, b);
}

struct dff_name *
dff_name_dup (const struct dff_name *name)
{
	return g_memdup2 (name, sizeof (*name));
}
