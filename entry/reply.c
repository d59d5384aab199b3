#include "entry/reply.h"

#include "common/digest.h"
#include "entry/entry_private.h"

struct status {
	int code;
	const char *title;
};

static const struct status statuses[] = {
	{200, "OK"},
	{201, "Created"},
	{202, "Accepted"},
	{400, "Bad Request"},
	{401, "Unauthorized"},
	{403, "Forbidden"},
	{404, "Not Found"},
	{405, "Method Not Allowed"},
	{409, "Conflict"},
	{410, "Gone"},
	{411, "Length Required"},
	{412, "Precondition Failed"},
	{413, "Content Too Large"},
	{415, "Unsupported Media Type"},
	{422, "Unprocessable Content"},
	{428, "Precondition Required"},
	{429, "Too Many Requests"},
	{502, "Bad Gateway"},
	{503, "Service Unavailable"},
	{504, "Gateway Timeout"},
};

static const char *
status_title (int status)
{
	for (size_t i = 0; i < G_N_ELEMENTS (statuses); i++) {
		if (statuses[i].code == status)
			return statuses[i].title;
	}
	return status >= 500 ? "Server Error" : "Answer";
}

static const char *
span_outcome (int status)
{
	if (status < 400)
		return "ok";
	return status < 500 ? "refused" : "error";
}

static void
answer_sent (struct evhttp_request *request, void *ctx)
{
	struct dff_entry *entry = ctx;
	struct evhttp_connection *connection = evhttp_request_get_connection (request);
	if (connection == NULL)
		return;
	dff_connection_group_end_request (entry->callers,
					  evhttp_connection_get_bufferevent (connection));
}

/* Sends @buffer and takes ownership of it. */
static void
send_buffer (struct dff_call *call, int status, const char *content_type, struct evbuffer *buffer)
{
	struct evhttp_request *request = call->request;
	char traceparent[DFF_TRACEPARENT_LEN + 1];
	dff_trace_context_format (&call->span.context, traceparent);
	dff_call_set_header (call, "traceparent", traceparent);
	dff_call_set_header (call, "Content-Type", content_type);
	if (call->entry->leaving)
		dff_call_set_header (call, "Connection", "close");
	evhttp_request_set_on_complete_cb (request, answer_sent, call->entry);
	dff_span_end (call->entry->options.tracer, &call->span, &call->subject,
		      span_outcome (status));
	dff_call_unwatch_loss (call);
	call->request = NULL;
	evhttp_send_reply (request, status, status_title (status), buffer);
	evbuffer_free (buffer);
}

void
dff_reply_body (struct dff_call *call, int status, const char *content_type, struct dff_str body)
{
	if (!dff_call_is_open (call))
		return;
	struct evbuffer *buffer = evbuffer_new ();
	evbuffer_add (buffer, body.data, body.len);
	send_buffer (call, status, content_type, buffer);
}

static void
release_bytes (const void *data, size_t len, void *bytes)
{
	(void)data;
	(void)len;
	g_bytes_unref (bytes);
}

void
dff_reply_bytes (struct dff_call *call, int status, const char *content_type, GBytes *bytes)
{
	gsize len = 0;
	const void *data = g_bytes_get_data (bytes, &len);
	if (!dff_call_is_open (call))
		return;
	struct evbuffer *buffer = evbuffer_new ();
	evbuffer_add_reference (buffer, data, len, release_bytes, g_bytes_ref (bytes));
	send_buffer (call, status, content_type, buffer);
}

void
dff_reply_json (struct dff_call *call, int status, json_t *json)
{
	g_autofree char *text = json_dumps (json, JSON_COMPACT);
	json_decref (json);
	dff_reply_body (call, status, "application/json", dff_str_from (text));
}

GString *
dff_problem_body (const struct dff_problem *problem)
{
	json_t *json = json_pack ("{s:s, s:s, s:i, s:s}", "type", "about:blank", "title",
				  status_title (problem->status), "status", problem->status, "code",
				  problem->code);
	if (problem->detail != NULL)
		json_object_set_new (json, "detail", json_string (problem->detail));
	if (problem->outcome != DFF_OUTCOME_NONE) {
		const char *outcome = dff_outcome_name (problem->outcome);
		json_object_set_new (json, "outcome", json_string (outcome));
	}
	if (problem->extra != NULL)
		json_object_update_missing (json, problem->extra);
	g_autofree char *text = json_dumps (json, JSON_COMPACT);
	json_decref (json);
	return g_string_new (text);
}

void
dff_reply_problem (struct dff_call *call, const struct dff_problem *problem)
{
	g_autoptr (GString) body = dff_problem_body (problem);
	if (problem->retry_after_s > 0) {
		char seconds[16];
		g_snprintf (seconds, sizeof (seconds), "%d", problem->retry_after_s);
		dff_call_set_header (call, "Retry-After", seconds);
	}
	struct dff_str text = {body->str, body->len};
	dff_reply_body (call, problem->status, "application/problem+json", text);
}

void
dff_reply_error (struct dff_call *call, int status, const char *code, const char *detail)
{
	struct dff_problem problem = {.status = status, .code = code, .detail = detail};
	if (status >= 400 && status < 500)
		(*call->entry->counters.refused_input)++;
	dff_reply_problem (call, &problem);
}

/* A call that recorded nothing does not prove that nothing is recorded. After a lost answer the
 * caller may send a submission again to another process, which refuses it because the store is
 * down, the team's queue is full or the process is draining. Reporting not_run there would be
 * false: the job of the first call runs. */
enum dff_outcome
dff_refusal_outcome (const struct dff_call *call)
{
	const char *attempt = dff_call_header (call, "Attempt");
	bool first = attempt != NULL && g_str_equal (attempt, "1");
	return call->may_be_repeated && !first ? DFF_OUTCOME_UNKNOWN : DFF_OUTCOME_NOT_RUN;
}

void
dff_reply_refused (struct dff_call *call, int status, const char *code, const char *detail)
{
	struct dff_problem problem = {
		.status = status,
		.code = code,
		.outcome = DFF_OUTCOME_NOT_RUN,
		.detail = detail,
	};
	(*call->entry->counters.refused_input)++;
	dff_reply_problem (call, &problem);
}

void
dff_reply_store_unavailable (struct dff_call *call)
{
	struct dff_problem problem = {
		.status = 503,
		.code = "store_unavailable",
		.detail = "The store does not answer.",
		.retry_after_s = dff_entry_retry_after_s (call->entry),
	};
	(*call->entry->counters.refused_store)++;
	dff_reply_problem (call, &problem);
}

char *
dff_digest_header (struct dff_str body)
{
	uint8_t digest[DFF_DIGEST_BYTES];
	dff_digest (body, digest);
	g_autofree char *base64 = g_base64_encode (digest, sizeof (digest));
	return g_strconcat ("sha-256=", base64, NULL);
}
