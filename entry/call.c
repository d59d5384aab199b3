#include "entry/call.h"

#include <event2/bufferevent.h>
#include <string.h>
#include <sys/queue.h>

#include "entry/entry_private.h"

static void
begin_span (struct dff_call *call)
{
	struct dff_trace_context parent;
	struct dff_tracer *tracer = call->entry->options.tracer;
	const char *header = dff_call_header (call, "traceparent");
	if (header == NULL || !dff_trace_context_parse (dff_str_from (header), &parent))
		parent = dff_trace_start (tracer);
	call->span = dff_span_begin (tracer, &parent, "entry");
}

struct dff_call *
dff_call_new (struct dff_entry *entry, struct evhttp_request *request)
{
	struct dff_call *call = g_new0 (struct dff_call, 1);
	const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri (request);
	const char *query = uri == NULL ? NULL : evhttp_uri_get_query (uri);
	call->entry = dff_entry_ref (entry);
	entry->n_calls++;
	call->refs = 1;
	call->request = request;
	call->started_ms = dff_entry_now_ms (entry);
	TAILQ_INIT (&call->query);
	if (query != NULL && evhttp_parse_query_str (query, &call->query) != 0)
		evhttp_clear_headers (&call->query);
	begin_span (call);
	struct evhttp_connection *connection = evhttp_request_get_connection (request);
	call->rejected = !dff_connection_group_begin_request (
		entry->callers, evhttp_connection_get_bufferevent (connection));
	return call;
}

struct dff_call *
dff_call_ref (struct dff_call *call)
{
	call->refs++;
	return call;
}

void
dff_call_unref (struct dff_call *call)
{
	call->refs--;
	if (call->refs > 0)
		return;
	g_assert (call->request == NULL);
	evhttp_clear_headers (&call->query);
	call->entry->n_calls--;
	dff_entry_unref (call->entry);
	g_free (call);
}

/* When a connection breaks while its request is being handled, evhttp detaches the request and
 * leaves it to the handler to free. In all other cases evhttp frees it. */
static void
connection_closed (struct evhttp_connection *connection, void *ctx)
{
	struct dff_call *call = ctx;
	dff_connection_group_remove (call->entry->callers,
				     evhttp_connection_get_bufferevent (connection));
	struct evhttp_request *request = call->request;
	call->watched = false;
	if (request != NULL) {
		call->request = NULL;
		call->lost = true;
		(*call->entry->counters.callers_lost)++;
		if (evhttp_request_get_connection (request) == NULL)
			evhttp_request_free (request);
		dff_span_end (call->entry->options.tracer, &call->span, &call->subject, "lost");
		if (call->on_lost != NULL)
			call->on_lost (call, call->on_lost_user);
	}
	dff_call_unref (call);
}

void
dff_call_unwatch_loss (struct dff_call *call)
{
	if (!call->watched)
		return;
	call->watched = false;
	struct evhttp_connection *connection = evhttp_request_get_connection (call->request);
	evhttp_connection_set_closecb (connection, NULL, NULL);
	dff_call_unref (call);
}

/* evhttp does not watch a connection while its request is being handled, so that a caller that
 * disconnects would hold it until the answer is written. Reading stays enabled to detect the end of
 * the stream. evhttp's own read callback is disabled meanwhile: it treats bytes that a client sends
 * ahead as a broken invariant and ends the process. */
void
dff_call_watch_loss (struct dff_call *call)
{
	if (call->request == NULL || call->watched)
		return;
	call->watched = true;
	struct evhttp_connection *connection = evhttp_request_get_connection (call->request);
	struct bufferevent *bev = evhttp_connection_get_bufferevent (connection);
	bufferevent_data_cb write_cb = NULL;
	bufferevent_event_cb event_cb = NULL;
	void *ctx = NULL;
	bufferevent_getcb (bev, NULL, &write_cb, &event_cb, &ctx);
	bufferevent_setcb (bev, NULL, write_cb, event_cb, ctx);
	bufferevent_enable (bev, EV_READ);
	evhttp_connection_set_closecb (connection, connection_closed, dff_call_ref (call));
}

bool
dff_call_is_open (const struct dff_call *call)
{
	return call->request != NULL;
}

const char *
dff_call_header (const struct dff_call *call, const char *name)
{
	if (call->request == NULL)
		return NULL;
	return evhttp_find_header (evhttp_request_get_input_headers (call->request), name);
}

const char *
dff_call_query (const struct dff_call *call, const char *name)
{
	return evhttp_find_header (&call->query, name);
}

struct dff_str
dff_call_body (struct dff_call *call)
{
	struct evbuffer *buffer = evhttp_request_get_input_buffer (call->request);
	size_t len = evbuffer_get_length (buffer);
	struct dff_str body = {.data = "", .len = len};
	if (len > 0)
		body.data = (const char *)evbuffer_pullup (buffer, -1);
	return body;
}

static bool
parse_int (const char *text, int64_t min, int64_t max, int64_t *value)
{
	return g_ascii_string_to_signed (text, 10, min, max, value, NULL);
}

bool
dff_call_header_int (
	const struct dff_call *call, const char *name, int64_t min, int64_t max, int64_t *value)
{
	const char *text = dff_call_header (call, name);
	return text == NULL || parse_int (text, min, max, value);
}

void
dff_call_set_header (struct dff_call *call, const char *name, const char *value)
{
	if (call->request == NULL)
		return;
	struct evkeyvalq *headers = evhttp_request_get_output_headers (call->request);
	evhttp_remove_header (headers, name);
	evhttp_add_header (headers, name, value);
}
