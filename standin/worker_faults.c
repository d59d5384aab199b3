#include "standin/worker_faults.h"

#include <jansson.h>

#define MAX_COUNT 1000000

static bool
read_bool (const json_t *value, bool *out)
{
	*out = json_is_true (value);
	return json_is_boolean (value);
}

static bool
read_count (const json_t *value, int64_t *out)
{
	*out = json_integer_value (value);
	return json_is_integer (value) && *out >= 0 && *out <= MAX_COUNT;
}

static bool
read_member (const char *key, const json_t *value, struct dff_worker_faults *faults)
{
	struct dff_str name = dff_str_from (key);
	if (dff_str_equal (name, dff_str_from ("silent")))
		return read_bool (value, &faults->silent);
	if (dff_str_equal (name, dff_str_from ("silence_open")))
		return read_bool (value, &faults->silence_open);
	if (dff_str_equal (name, dff_str_from ("slow_ms")))
		return read_count (value, &faults->slow_ms);
	if (dff_str_equal (name, dff_str_from ("fail_everything")))
		return read_bool (value, &faults->fail_everything);
	if (dff_str_equal (name, dff_str_from ("lose_answers")))
		return read_count (value, &faults->lose_answers);
	if (dff_str_equal (name, dff_str_from ("die")))
		return read_bool (value, &faults->die);
	return false;
}

bool
dff_worker_faults_parse (struct dff_str text, struct dff_worker_faults *faults)
{
	struct dff_worker_faults parsed = {0};
	json_t *root = json_loadb (text.data, text.len, JSON_REJECT_DUPLICATES, NULL);
	bool valid = json_is_object (root);
	const char *key;
	json_t *value;
	json_object_foreach (root, key, value)
	{
		valid = read_member (key, value, &parsed) && valid;
	}
	json_decref (root);
	if (valid)
		*faults = parsed;
	return valid;
}
