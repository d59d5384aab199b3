#include <string.h>

#include "entry/admission.h"
#include "entry/record.h"
#include "entry/reply.h"
#include "entry/request_private.h"
#include "entry/route.h"

/* Submission of short requests: validation and start. */

/** Maximum length of a Request-Id that a caller chose, bytes. */
#define REQUEST_ID_MAX 40
/** Maximum deadline that a caller may set, ms. The service's own timeout also applies. */
#define DEADLINE_MAX_MS 3600000
/** Minimum Retry-After for a caller above the limit of requests, s. */
#define BUSY_RETRY_S 1

/* Reads the Idempotent header. Returns false when it is neither "true" nor "false". */
static bool
read_idempotent (const struct dff_call *call, bool *idempotent)
{
	const char *text = dff_call_header (call, "Idempotent");
	*idempotent = text == NULL || g_str_equal (text, "true");
	return *idempotent || g_str_equal (text, "false");
}

static bool
read_request_id (const struct dff_call *call, struct dff_name *id)
{
	const char *text = dff_call_header (call, "Request-Id");
	memset (id, 0, sizeof (*id));
	return text == NULL ||
	       (dff_name_parse (dff_str_from (text), id) && id->len <= REQUEST_ID_MAX);
}

struct parsed_request {
	const struct dff_service *service;
	struct dff_name id;
	struct dff_name hash;
	bool idempotent;
	int64_t deadline_ms;
};

static bool
refuse (struct dff_call *call, int status, const char *code, const char *detail)
{
	struct dff_problem problem = {
		.status = status,
		.code = code,
		.outcome = status == 400 ? DFF_OUTCOME_NOT_RUN : dff_refusal_outcome (call),
		.detail = detail,
	};
	(*call->entry->counters.refused_input)++;
	dff_reply_problem (call, &problem);
	return false;
}

static bool
find_service (struct dff_call *call, const struct dff_service **found)
{
	const struct dff_service *service =
		dff_pool_find_service (call->entry->pool, &call->subject);
	if (service == NULL)
		return refuse (call, 404, "unknown_service", "There is no such service.");
	if (!dff_admission_may_use (service, &call->principal.name))
		return refuse (call, 403, "service_not_allowed",
			       "The service is not open to the team.");
	*found = service;
	return true;
}

static bool
parse_request (struct dff_call *call, struct parsed_request *parsed)
{
	if (!read_idempotent (call, &parsed->idempotent))
		return refuse (call, 400, "invalid_idempotent",
			       "Idempotent: true or false is expected.");
	call->may_be_repeated = !parsed->idempotent;
	if (!find_service (call, &parsed->service))
		return false;
	parsed->deadline_ms = parsed->service->request_timeout_ms;
	if (!dff_call_header_int (call, "Deadline-Ms", 1, DEADLINE_MAX_MS, &parsed->deadline_ms))
		return refuse (call, 400, "invalid_deadline",
			       "Deadline-Ms: 1 to 3600000 is expected.");
	if (!read_request_id (call, &parsed->id))
		return refuse (call, 400, "invalid_request_id",
			       "Request-Id: a name of at most 40 bytes is expected.");
	g_autofree char *scope = g_strconcat ("request/", call->subject.data, NULL);
	enum dff_key_state key = dff_idempotency_hash (call, scope, &parsed->hash);
	if (key == DFF_KEY_INVALID)
		return refuse (call, 400, "invalid_idempotency_key",
			       "1 to 255 visible ASCII characters are expected.");
	if (key == DFF_KEY_NONE && !parsed->idempotent)
		return refuse (call, 400, "idempotency_key_required",
			       "A request that is not idempotent needs an Idempotency-Key.");
	parsed->deadline_ms = MIN (parsed->deadline_ms, parsed->service->request_timeout_ms);
	return true;
}

static bool
refuse_too_many (struct dff_call *call)
{
	struct dff_entry *entry = call->entry;
	guint n = g_hash_table_size (entry->requests->by_upstream_id);
	struct dff_problem problem = {
		.status = 429,
		.code = "too_many_requests",
		.outcome = dff_refusal_outcome (call),
		.detail = "As many requests as allowed are in progress in this process.",
		.retry_after_s = BUSY_RETRY_S + g_rand_int_range (entry->rng, 0, 2),
	};
	if ((int64_t)n < entry->options.settings->max_requests)
		return false;
	(*entry->counters.refused_busy)++;
	dff_reply_problem (call, &problem);
	return true;
}

static void
drop_call (gpointer data)
{
	struct dff_call *call = data;
	call->on_lost = NULL;
	dff_call_unref (call);
}

static struct dff_request *
request_new (struct dff_call *call, const struct parsed_request *parsed)
{
	struct dff_entry *entry = call->entry;
	struct dff_str body = dff_call_body (call);
	struct dff_request *request = g_new0 (struct dff_request, 1);
	request->owner = entry->requests;
	request->refs = 1;
	request->upstream_id = dff_request_id_new (entry);
	request->id = dff_name_is_empty (&parsed->id) ? request->upstream_id : parsed->id;
	request->team = call->principal.name;
	request->service = call->subject;
	request->body = g_string_new_len (body.data, (gssize)body.len);
	request->idempotent = parsed->idempotent;
	request->refusal_outcome = dff_refusal_outcome (call);
	request->deadline_ms = call->started_ms + parsed->deadline_ms;
	request->span = dff_span_begin (entry->options.tracer, &call->span.context, "request");
	request->calls = g_ptr_array_new_with_free_func (drop_call);
	if (!parsed->idempotent) {
		dff_digest_hex (body, request->digest);
		request->hash = parsed->hash;
	}
	return request;
}

static void
begin (struct dff_request *request, struct dff_call *call)
{
	struct dff_requests *requests = request->owner;
	(*requests->counters.started)++;
	g_hash_table_insert (requests->by_upstream_id, &request->upstream_id, request);
	g_hash_table_insert (requests->by_id, dff_request_key (request), request);
	dff_request_attach (request, call);
	call->subject = request->id;
	dff_request_ref (request);
	if (request->idempotent) {
		dff_request_dispatch (request);
	} else {
		g_hash_table_insert (requests->by_hash, &request->hash, request);
		dff_attempt_begin (request);
	}
	dff_request_unref (request);
}

/* Refuses the call if another request of the same team uses its Request-Id. Returns whether it was
 * refused. */
static bool
refuse_id_in_use (struct dff_call *call, const struct parsed_request *parsed)
{
	struct dff_requests *requests = call->entry->requests;
	if (dff_name_is_empty (&parsed->id))
		return false;
	g_autofree char *key =
		g_strdup_printf ("%s/%s", call->principal.name.data, parsed->id.data);
	if (!g_hash_table_contains (requests->by_id, key))
		return false;
	refuse (call, 409, "request_id_in_use", "Another request has this Request-Id.");
	return true;
}

/* Attaches the call to a request with the same key that is in progress in this process. Returns
 * false when there is none. */
static bool
join_attempt (struct dff_call *call, const struct parsed_request *parsed)
{
	struct dff_requests *requests = call->entry->requests;
	struct dff_request *first = g_hash_table_lookup (requests->by_hash, &parsed->hash);
	struct dff_str body = dff_call_body (call);
	if (parsed->idempotent || first == NULL)
		return false;
	struct dff_str first_body = {first->body->str, first->body->len};
	if (!dff_str_equal (body, first_body)) {
		dff_reply_key_reused (call);
		return true;
	}
	(*requests->counters.attached)++;
	if (first->state == DFF_REQUEST_ENDED)
		dff_reply_answer (call, first->answer, &first->id);
	else
		dff_request_attach (first, call);
	return true;
}

void
dff_request_submit (struct dff_call *call)
{
	struct parsed_request parsed = {.service = NULL};
	if (!parse_request (call, &parsed) || join_attempt (call, &parsed) ||
	    dff_refuse_draining (call) || refuse_too_many (call) ||
	    refuse_id_in_use (call, &parsed))
		return;
	if (!parsed.idempotent && dff_refuse_new_work (call))
		return;
	begin (request_new (call, &parsed), call);
}
