#include "standin/worker_payload.h"

#include <jansson.h>
#include <string.h>

/** Longest run and largest result: sums of these do not overflow. */
#define MAX_RUN_MS (INT64_C (1) << 40)
#define MAX_BYTES (INT64_C (64) << 20)

static bool
get_amount (const json_t *object, const char *key, int64_t max, int64_t *out)
{
	const json_t *value = json_object_get (object, key);
	if (value == NULL)
		return true;
	if (!json_is_integer (value))
		return false;
	*out = json_integer_value (value);
	return *out >= 0 && *out <= max;
}

static bool
get_tag (const json_t *object, struct dff_name *out)
{
	const json_t *value = json_object_get (object, "tag");
	struct dff_str text = {json_string_value (value), json_string_length (value)};
	return value == NULL || (json_is_string (value) && dff_name_parse (text, out));
}

void
dff_task_payload_parse (struct dff_str text, struct dff_task_payload *payload)
{
	memset (payload, 0, sizeof (*payload));
	json_t *root = json_loadb (text.data, text.len, 0, NULL);
	bool valid = json_is_object (root) &&
		     get_amount (root, "run_ms", MAX_RUN_MS, &payload->run_ms) &&
		     get_amount (root, "result_bytes", MAX_BYTES, &payload->result_bytes) &&
		     get_tag (root, &payload->tag);
	payload->fail = !valid || json_is_true (json_object_get (root, "fail"));
	if (!valid)
		payload->run_ms = 0;
	json_decref (root);
}

bool
dff_request_payload_parse (struct dff_str text, struct dff_request_payload *payload)
{
	memset (payload, 0, sizeof (*payload));
	json_t *root = json_loadb (text.data, text.len, 0, NULL);
	bool valid = json_is_object (root) &&
		     get_amount (root, "work_ms", MAX_RUN_MS, &payload->work_ms) &&
		     get_amount (root, "answer_bytes", MAX_BYTES, &payload->answer_bytes) &&
		     get_tag (root, &payload->tag);
	json_decref (root);
	return valid;
}
