#include "graph/json.h"

int64_t
dff_json_int (const json_t *object, const char *key)
{
	return json_integer_value (json_object_get (object, key));
}

int32_t
dff_json_int32 (const json_t *object, const char *key)
{
	return (int32_t)CLAMP (dff_json_int (object, key), INT32_MIN, INT32_MAX);
}

int32_t
dff_json_int32_at (const json_t *array, size_t index)
{
	int64_t value = json_integer_value (json_array_get (array, index));
	return (int32_t)CLAMP (value, INT32_MIN, INT32_MAX);
}

bool
dff_json_bool (const json_t *object, const char *key)
{
	return json_is_true (json_object_get (object, key));
}

struct dff_name
dff_json_name (const json_t *object, const char *key)
{
	const json_t *value = json_object_get (object, key);
	struct dff_name name = {0};
	if (json_is_string (value)) {
		dff_name_parse (
			(struct dff_str){json_string_value (value), json_string_length (value)},
			&name);
	}
	return name;
}

static int
append (const char *buffer, size_t size, void *user)
{
	g_string_append_len (user, buffer, (gssize)size);
	return 0;
}

GString *
dff_json_print (json_t *root)
{
	GString *text = g_string_new (NULL);
	json_dump_callback (root, append, text, JSON_COMPACT);
	json_decref (root);
	return text;
}
