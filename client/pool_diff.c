#include "client/pool_diff.h"

#include <string.h>

#define DUMP_FLAGS (JSON_COMPACT | JSON_ENCODE_ANY | JSON_SORT_KEYS)

/* A section of the pool file, whose entries are identified by name, and the word for an entry. */
struct section {
	const char *key;
	const char *entry;
};

static const struct section sections[] = {
	{"teams", "team"},
	{"services", "service"},
	{"racks", "rack"},
	{"operators", "operator"},
};

static const json_t *
find_entry (const json_t *entries, const char *name)
{
	size_t index;
	json_t *entry;
	json_array_foreach (entries, index, entry)
	{
		const char *candidate = json_string_value (json_object_get (entry, "name"));
		if (candidate != NULL && strcmp (candidate, name) == 0)
			return entry;
	}
	return NULL;
}

static void
append_value (GString *out, const json_t *value)
{
	g_autofree char *text = value != NULL ? json_dumps (value, DUMP_FLAGS) : NULL;
	g_string_append (out, text != NULL ? text : "(not set)");
}

static void
append_member (
	GString *out, const char *where, const char *key, const json_t *before, const json_t *after)
{
	g_string_append_printf (out, "~ %s: %s: ", where, key);
	append_value (out, before);
	g_string_append (out, " -> ");
	append_value (out, after);
	g_string_append_c (out, '\n');
}

static bool
diff_members (const char *where, const json_t *before, const json_t *after, GString *out)
{
	bool differs = false;
	const char *key;
	json_t *value;
	json_object_foreach ((json_t *)before, key, value)
	{
		json_t *other = json_object_get (after, key);
		if (other != NULL && json_equal (value, other))
			continue;
		append_member (out, where, key, value, other);
		differs = true;
	}
	json_object_foreach ((json_t *)after, key, value)
	{
		if (json_object_get (before, key) != NULL)
			continue;
		append_member (out, where, key, NULL, value);
		differs = true;
	}
	return differs;
}

/* Appends the entries of @left that are not in @right. Returns: whether there are any. */
static bool
list_missing (const struct section *section,
	      char sign,
	      const json_t *left,
	      const json_t *right,
	      GString *out)
{
	bool found = false;
	size_t index;
	json_t *entry;
	json_array_foreach (left, index, entry)
	{
		const char *name = json_string_value (json_object_get (entry, "name"));
		if (name == NULL || find_entry (right, name) != NULL)
			continue;
		g_string_append_printf (out, "%c %s %s\n", sign, section->entry, name);
		found = true;
	}
	return found;
}

static bool
diff_section (const struct section *section,
	      const json_t *before,
	      const json_t *after,
	      GString *out)
{
	const json_t *left = json_object_get (before, section->key);
	const json_t *right = json_object_get (after, section->key);
	bool differs = list_missing (section, '-', left, right, out);
	differs |= list_missing (section, '+', right, left, out);
	size_t index;
	json_t *entry;
	json_array_foreach (right, index, entry)
	{
		const char *name = json_string_value (json_object_get (entry, "name"));
		const json_t *old = name != NULL ? find_entry (left, name) : NULL;
		if (old == NULL)
			continue;
		g_autofree char *where = g_strdup_printf ("%s %s", section->entry, name);
		differs |= diff_members (where, old, entry, out);
	}
	return differs;
}

/* The order of racks is significant: racks next to each other in the file are neighbours. */
static bool
diff_rack_order (const json_t *before, const json_t *after, GString *out)
{
	const json_t *left = json_object_get (before, "racks");
	const json_t *right = json_object_get (after, "racks");
	if (json_array_size (left) != json_array_size (right))
		return false;
	bool moved = false;
	for (size_t i = 0; i < json_array_size (right); i++) {
		json_t *old = json_object_get (json_array_get (left, i), "name");
		json_t *new = json_object_get (json_array_get (right, i), "name");
		if (old == NULL || new == NULL ||
		    find_entry (right, json_string_value (old)) == NULL)
			return false;
		moved |= !json_equal (old, new);
	}
	if (moved)
		g_string_append (out, "~ racks: order of neighbours\n");
	return moved;
}

static bool
diff_preset (const json_t *before, const json_t *after, GString *out)
{
	const json_t *left = json_object_get (before, "preset");
	const json_t *right = json_object_get (after, "preset");
	if (left == right || (left != NULL && right != NULL && json_equal (left, right)))
		return false;
	append_member (out, "pool", "preset", left, right);
	return true;
}

bool
dff_pool_diff (const json_t *before, const json_t *after, GString *out)
{
	bool differs = false;
	for (size_t i = 0; i < G_N_ELEMENTS (sections); i++)
		differs |= diff_section (&sections[i], before, after, out);
	differs |= diff_rack_order (before, after, out);
	differs |= diff_preset (before, after, out);
	differs |= diff_members ("weights", json_object_get (before, "weights"),
				 json_object_get (after, "weights"), out);
	return differs;
}
