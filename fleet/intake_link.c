#include "fleet/intake_link.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

#include "common/address.h"
#include "common/http_client.h"

#define ROW_PATH "/row"
/** Query parameters: the row's key, and the time within which it must be written, ms. */
#define QUERY_KEY "key"
#define QUERY_TIMEOUT "timeout"
/** Upper bound of the timeout parameter, ms. */
#define TIMEOUT_MAX_MS 10000
/** Maximum number of connections to the holder. */
#define CONNECTIONS 4
/** Status with which a process that is not the holder answers; the body is the holder's address, or
 * empty if it is not known. */
#define STATUS_MISDIRECTED 421
/** Time beyond the row's own timeout for which the answer is waited for, ms. */
#define ANSWER_MARGIN_MS 200

/* Statuses that report the outcome of a row. */
static const struct {
	enum dff_rows_outcome outcome;
	int status;
} statuses[] = {
	{DFF_ROWS_DONE, HTTP_OK},
	{DFF_ROWS_CONFLICT, 409},
	{DFF_ROWS_NOT_DONE, HTTP_SERVUNAVAIL},
	{DFF_ROWS_UNKNOWN, 504},
};

struct dff_intake_link {
	struct dff_http_client *client;
};

struct call {
	dff_intake_forward_func done;
	void *user;
};

static enum dff_rows_outcome
outcome_of (const struct dff_http_response *response)
{
	if (response->outcome == DFF_HTTP_UNSENT)
		return DFF_ROWS_NOT_DONE;
	for (size_t i = 0; i < G_N_ELEMENTS (statuses); i++) {
		if (response->outcome == DFF_HTTP_ANSWERED &&
		    response->status == statuses[i].status)
			return statuses[i].outcome;
	}
	return DFF_ROWS_UNKNOWN;
}

static enum dff_intake_delivery
delivery_of (const struct dff_http_response *response)
{
	if (response->outcome != DFF_HTTP_ANSWERED)
		return DFF_INTAKE_UNREACHABLE;
	return response->status == STATUS_MISDIRECTED ? DFF_INTAKE_MISDIRECTED
						      : DFF_INTAKE_DELIVERED;
}

static void
handle_response (void *user, const struct dff_http_response *response)
{
	g_autofree struct call *call = user;
	struct dff_intake_forward_result forwarded = {.delivery = delivery_of (response),
						      .outcome = outcome_of (response)};
	if (forwarded.delivery == DFF_INTAKE_MISDIRECTED) {
		forwarded.outcome = DFF_ROWS_NOT_DONE;
		dff_address_from_text (response->body, &forwarded.holder);
	}
	call->done (call->user, &forwarded);
}

void
dff_intake_link_forward (void *ctx,
			 const struct dff_name *address,
			 const struct dff_intake_row *row,
			 dff_intake_forward_func done,
			 void *user)
{
	struct dff_intake_link *link = ctx;
	struct call *call = g_new0 (struct call, 1);
	call->done = done;
	call->user = user;
	g_autofree char *path =
		g_strdup_printf (ROW_PATH "?" QUERY_KEY "=%.*s&" QUERY_TIMEOUT "=%d",
				 (int)row->key.len, row->key.data, row->timeout_ms);
	struct dff_http_request request = {.address = *address,
					   .method = EVHTTP_REQ_POST,
					   .path = path,
					   .body = row->value,
					   .timeout_ms = row->timeout_ms + ANSWER_MARGIN_MS};
	dff_http_client_send (link->client, &request, handle_response, call);
}

static void
handle_written (void *user, const struct dff_rows_result *result)
{
	int status = HTTP_INTERNAL;
	for (size_t i = 0; i < G_N_ELEMENTS (statuses); i++) {
		if (result->outcome == statuses[i].outcome)
			status = statuses[i].status;
	}
	evhttp_send_reply (user, status, NULL, NULL);
}

static bool
parse_row_query (struct evhttp_request *request, struct dff_name *key, int32_t *timeout_ms)
{
	struct evkeyvalq fields;
	const char *query = evhttp_uri_get_query (evhttp_request_get_evhttp_uri (request));
	if (query == NULL || evhttp_parse_query_str (query, &fields) != 0)
		return false;
	const char *name = evhttp_find_header (&fields, QUERY_KEY);
	const char *timeout = evhttp_find_header (&fields, QUERY_TIMEOUT);
	int64_t requested_ms = timeout != NULL ? g_ascii_strtoll (timeout, NULL, 10) : 0;
	*timeout_ms = (int32_t)CLAMP (requested_ms, 0, TIMEOUT_MAX_MS);
	bool valid = name != NULL && dff_name_parse (dff_str_from (name), key) && *timeout_ms > 0;
	evhttp_clear_headers (&fields);
	return valid;
}

static void
handle_row (struct evhttp_request *request, void *ctx)
{
	struct dff_intake *intake = ctx;
	struct dff_name key;
	int32_t timeout_ms;
	struct evbuffer *input = evhttp_request_get_input_buffer (request);
	size_t length = evbuffer_get_length (input);
	if (evhttp_request_get_command (request) != EVHTTP_REQ_POST || length == 0 ||
	    length > DFF_ROW_VALUE_MAX || !parse_row_query (request, &key, &timeout_ms)) {
		evhttp_send_reply (request, HTTP_BADREQUEST, NULL, NULL);
		return;
	}
	if (!dff_intake_is_holder (intake)) {
		const struct dff_name *holder = dff_intake_holder_address (intake);
		evbuffer_add (evhttp_request_get_output_buffer (request), holder->data,
			      holder->len);
		evhttp_send_reply (request, STATUS_MISDIRECTED, NULL, NULL);
		return;
	}
	struct dff_intake_row row = {.key = {key.data, key.len},
				     .value = {(const char *)evbuffer_pullup (input, -1), length},
				     .timeout_ms = timeout_ms};
	dff_intake_write (intake, &row, handle_written, request);
}

void
dff_intake_link_serve (struct dff_intake *intake, struct dff_http_server *server)
{
	dff_http_server_add_path (server, ROW_PATH, handle_row, intake);
}

struct dff_intake_link *
dff_intake_link_new (struct event_base *base, struct dff_metrics *metrics)
{
	struct dff_intake_link *link = g_new0 (struct dff_intake_link, 1);
	struct dff_http_client_options options;
	dff_http_client_options_init (&options);
	options.base = base;
	options.metrics = metrics;
	options.max_connections = CONNECTIONS;
	link->client = dff_http_client_new (&options);
	return link;
}

void
dff_intake_link_free (struct dff_intake_link *link)
{
	dff_http_client_free (link->client);
	g_free (link);
}
