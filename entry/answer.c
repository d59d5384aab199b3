#include "entry/answer.h"

#include <jansson.h>
#include <string.h>

#include "common/digest.h"
#include "entry/entry_private.h"

#define PROBLEM_TYPE "application/problem+json"
/** Workers answer in JSON (docs/BACKING.md). */
#define ANSWER_TYPE "application/json"

struct dff_answer *
dff_answer_new (int status, struct dff_str body, enum dff_outcome outcome)
{
	struct dff_answer *answer = g_new0 (struct dff_answer, 1);
	answer->status = status;
	answer->content_type = ANSWER_TYPE;
	answer->body = g_string_new_len (body.data, (gssize)body.len);
	answer->outcome = outcome;
	return answer;
}

struct dff_answer *
dff_answer_from_problem (const struct dff_problem *problem)
{
	struct dff_answer *answer = g_new0 (struct dff_answer, 1);
	answer->status = problem->status;
	answer->content_type = PROBLEM_TYPE;
	answer->body = dff_problem_body (problem);
	answer->outcome = problem->outcome;
	answer->retry_after_s = problem->retry_after_s;
	return answer;
}

void
dff_answer_free (struct dff_answer *answer)
{
	g_string_free (answer->body, TRUE);
	g_free (answer);
}

void
dff_reply_answer (struct dff_call *call,
		  const struct dff_answer *answer,
		  const struct dff_name *request)
{
	struct dff_str body = {answer->body->str, answer->body->len};
	g_autofree char *digest = dff_digest_header (body);
	dff_call_set_header (call, "Request-Id", request->data);
	dff_call_set_header (call, "Digest", digest);
	if (answer->retry_after_s > 0) {
		char seconds[16];
		g_snprintf (seconds, sizeof (seconds), "%d", answer->retry_after_s);
		dff_call_set_header (call, "Retry-After", seconds);
	}
	dff_reply_body (call, answer->status, answer->content_type, body);
}

void
dff_reply_stored_answer (struct dff_call *call,
			 const struct dff_answer *answer,
			 const struct dff_name *request)
{
	if (answer->outcome == DFF_OUTCOME_COMPLETED) {
		dff_reply_answer (call, answer, request);
		return;
	}
	struct dff_problem problem = {
		.status = 410,
		.code = "no_answer",
		.outcome = answer->outcome,
		.detail = "The request has ended without an answer.",
	};
	dff_reply_problem (call, &problem);
}

GString *
dff_answer_key (const struct dff_name *team, const struct dff_name *request)
{
	GString *key = g_string_new (NULL);
	g_string_printf (key, "answer/%s/%s", team->data, request->data);
	return key;
}

GString *
dff_answer_encode (const struct dff_answer *answer)
{
	struct dff_str body = {answer->body->str, answer->body->len};
	char digest[DFF_DIGEST_HEX_LEN + 1];
	dff_digest_hex (body, digest);
	json_t *json =
		json_pack ("{s:i, s:s, s:s, s:I, s:s}", "status", answer->status, "content_type",
			   answer->content_type, "outcome", dff_outcome_name (answer->outcome),
			   "length", (json_int_t)answer->body->len, "digest", digest);
	g_autofree char *head = json_dumps (json, JSON_COMPACT);
	json_decref (json);
	GString *object = g_string_new (head);
	g_string_append_c (object, '\n');
	g_string_append_len (object, answer->body->str, (gssize)answer->body->len);
	return object;
}

static struct dff_answer *
decode_parts (json_t *head, struct dff_str body)
{
	int status = 0;
	const char *type = NULL;
	const char *outcome_name = NULL;
	const char *digest = NULL;
	json_int_t length = -1;
	enum dff_outcome outcome = DFF_OUTCOME_NONE;
	if (json_unpack (head, "{s:i, s:s, s:s, s:I, s:s}", "status", &status, "content_type",
			 &type, "outcome", &outcome_name, "length", &length, "digest",
			 &digest) != 0)
		return NULL;
	char actual[DFF_DIGEST_HEX_LEN + 1];
	dff_digest_hex (body, actual);
	if (length != (json_int_t)body.len || !g_str_equal (actual, digest) ||
	    !dff_outcome_parse (dff_str_from (outcome_name), &outcome))
		return NULL;
	struct dff_answer *answer = dff_answer_new (status, body, outcome);
	if (g_str_equal (type, PROBLEM_TYPE))
		answer->content_type = PROBLEM_TYPE;
	return answer;
}

struct dff_answer *
dff_answer_decode (struct dff_str object)
{
	const char *end = memchr (object.data, '\n', object.len);
	if (end == NULL)
		return NULL;
	size_t head_len = (size_t)(end - object.data);
	struct dff_str body = {end + 1, object.len - head_len - 1};
	json_t *head = json_loadb (object.data, head_len, 0, NULL);
	struct dff_answer *answer = head == NULL ? NULL : decode_parts (head, body);
	json_decref (head);
	return answer;
}
