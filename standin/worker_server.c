#include "standin/worker_server.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <string.h>
#include <unistd.h>

#include "common/http_listen.h"
#include "standin/worker_faults.h"

#define ADMIN_PATH "/admin/faults"
#define REQUESTS_SUFFIX "/requests"
#define MAX_BODY_BYTES (4 << 20)
/** Longest time between ticks, ms: calls to an unavailable store are retried in ticks. */
#define MAX_TICK_MS 100
#define IDLE_TIMEOUT_S 60

struct dff_worker_server {
	struct dff_worker_server_options options;
	struct dff_name address;
	struct evhttp *http;
	struct event *tick;
	struct dff_worker_faults faults;
	/** Maps a struct evhttp_connection to whether it is silent. */
	GHashTable *connections;
	/** Elements: struct exchange, not answered yet. */
	GQueue exchanges;
	/** Reused. */
	GString *payload;
};

/** An HTTP request that has not been answered yet. */
struct exchange {
	GList link;
	struct dff_worker_server *server;
	struct evhttp_request *request;
	bool lose_answer;
	/** (nullable): timer of a delayed answer. */
	struct event *late;
	int status;
	bool leaving;
	GString *body;
};

static struct exchange *
exchange_new (struct dff_worker_server *server, struct evhttp_request *request)
{
	struct exchange *exchange = g_new0 (struct exchange, 1);
	exchange->link.data = exchange;
	exchange->server = server;
	exchange->request = request;
	exchange->body = g_string_new (NULL);
	if (server->faults.lose_answers > 0) {
		server->faults.lose_answers--;
		exchange->lose_answer = true;
	}
	g_queue_push_tail_link (&server->exchanges, &exchange->link);
	return exchange;
}

static void
exchange_free (struct exchange *exchange)
{
	g_queue_unlink (&exchange->server->exchanges, &exchange->link);
	if (exchange->late != NULL)
		event_free (exchange->late);
	g_string_free (exchange->body, TRUE);
	g_free (exchange);
}

/* evhttp keeps a request whose connection was closed until it is answered. */
static void
send_answer (struct exchange *exchange)
{
	struct evhttp_request *request = exchange->request;
	struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
	evhttp_add_header (headers, "Content-Type", "application/json");
	if (exchange->leaving)
		evhttp_add_header (headers, DFF_WORKER_HEADER_LEAVING, "1");
	struct evbuffer *body = evhttp_request_get_output_buffer (request);
	evbuffer_add (body, exchange->body->str, exchange->body->len);
	if (!exchange->lose_answer)
		evhttp_send_reply (request, exchange->status, NULL, NULL);
	exchange_free (exchange);
}

static void
late_answer (evutil_socket_t fd, short events, void *user)
{
	(void)fd;
	(void)events;
	send_answer (user);
}

static void
answer (struct exchange *exchange)
{
	struct dff_worker_server *server = exchange->server;
	if (server->faults.slow_ms == 0) {
		send_answer (exchange);
		return;
	}
	struct timeval delay = {
		.tv_sec = server->faults.slow_ms / 1000,
		.tv_usec = server->faults.slow_ms % 1000 * 1000,
	};
	exchange->late = evtimer_new (server->options.base, late_answer, exchange);
	evtimer_add (exchange->late, &delay);
}

static void
schedule_tick (struct dff_worker_server *server)
{
	int64_t now_ms = dff_clock_now_ms (server->options.clock);
	int64_t due_ms = dff_standin_worker_next_due_ms (server->options.worker);
	int64_t wait_ms = CLAMP (due_ms - now_ms, 0, MAX_TICK_MS);
	struct timeval wait = {.tv_usec = wait_ms * 1000};
	evtimer_add (server->tick, &wait);
}

/* Defers the tick: the callback runs while the changed task is still being modified. */
static void
tick_soon (void *ctx)
{
	struct dff_worker_server *server = ctx;
	struct timeval at_once = {0};
	evtimer_add (server->tick, &at_once);
}

static void
tick (evutil_socket_t fd, short events, void *user)
{
	(void)fd;
	(void)events;
	struct dff_worker_server *server = user;
	dff_standin_worker_tick (server->options.worker);
	schedule_tick (server);
}

static void
task_answered (void *user, const struct dff_worker_result *result)
{
	struct exchange *exchange = user;
	exchange->status = result->outcome == DFF_WORKER_OK ? 200 : 409;
	dff_worker_wire_append_answer (exchange->body, result);
	answer (exchange);
}

static void
request_answered (void *user, const struct dff_request_result *result)
{
	struct exchange *exchange = user;
	exchange->status = result->status;
	exchange->leaving = result->leaving;
	g_string_append_len (exchange->body, result->body.data, (gssize)result->body.len);
	answer (exchange);
}

static void
answer_status (struct dff_worker_server *server, struct evhttp_request *request, int status)
{
	struct exchange *exchange = exchange_new (server, request);
	exchange->status = status;
	answer (exchange);
}

static struct dff_str
body_of (struct evhttp_request *request)
{
	struct evbuffer *buffer = evhttp_request_get_input_buffer (request);
	const char *data = (const char *)evbuffer_pullup (buffer, -1);
	return (struct dff_str){data == NULL ? "" : data, evbuffer_get_length (buffer)};
}

struct route {
	const char *path;
	enum evhttp_cmd_type method;
	enum dff_worker_call_type type;
};

static const struct route routes[] = {
	{DFF_WORKER_PATH_START, EVHTTP_REQ_POST, DFF_WORKER_CALL_START},
	{DFF_WORKER_PATH_RELEASE, EVHTTP_REQ_POST, DFF_WORKER_CALL_RELEASE},
	{DFF_WORKER_PATH_CHECKPOINT, EVHTTP_REQ_POST, DFF_WORKER_CALL_CHECKPOINT},
	{DFF_WORKER_PATH_THROTTLE, EVHTTP_REQ_POST, DFF_WORKER_CALL_THROTTLE},
	{DFF_WORKER_PATH_STOP, EVHTTP_REQ_POST, DFF_WORKER_CALL_STOP},
	{DFF_WORKER_PATH_QUERY, EVHTTP_REQ_GET, DFF_WORKER_CALL_QUERY},
	{DFF_WORKER_PATH_RENEW, EVHTTP_REQ_POST, DFF_WORKER_CALL_RENEW},
};

static const struct route *
find_route (struct evhttp_request *request)
{
	const char *path = evhttp_request_get_uri (request);
	for (size_t i = 0; i < G_N_ELEMENTS (routes); i++) {
		if (strcmp (routes[i].path, path) == 0 &&
		    routes[i].method == evhttp_request_get_command (request))
			return &routes[i];
	}
	return NULL;
}

static bool
parse_call (struct dff_worker_server *server, struct dff_str body, struct dff_worker_call *call)
{
	switch (call->type) {
	case DFF_WORKER_CALL_QUERY:
		return true;
	case DFF_WORKER_CALL_START:
		return dff_worker_wire_parse_start (body, &call->start, server->payload);
	case DFF_WORKER_CALL_RENEW:
		return dff_worker_wire_parse_renewal (body, &call->renewal);
	default:
		return dff_worker_wire_parse_command (body, &call->command);
	}
}

static void
serve_call (struct dff_worker_server *server,
	    struct evhttp_request *request,
	    const struct route *route)
{
	struct dff_worker_call call = {.type = route->type};
	if (!parse_call (server, body_of (request), &call)) {
		answer_status (server, request, HTTP_BADREQUEST);
		return;
	}
	struct exchange *exchange = exchange_new (server, request);
	dff_standin_worker_call (server->options.worker, &call, task_answered, exchange);
}

static bool
is_request_path (const char *path)
{
	return g_str_has_prefix (path, DFF_WORKER_PATH_SERVICES) &&
	       g_str_has_suffix (path, REQUESTS_SUFFIX);
}

static void
serve_request (struct dff_worker_server *server, struct evhttp_request *request)
{
	struct evkeyvalq *headers = evhttp_request_get_input_headers (request);
	const char *id = evhttp_find_header (headers, "Request-Id");
	struct dff_name name;
	if (id == NULL || !dff_name_parse (dff_str_from (id), &name)) {
		answer_status (server, request, HTTP_BADREQUEST);
		return;
	}
	struct exchange *exchange = exchange_new (server, request);
	dff_standin_worker_request (server->options.worker, &name, body_of (request),
				    request_answered, exchange);
}

static void
silence_open (struct dff_worker_server *server)
{
	GHashTableIter iter;
	gpointer connection;
	g_hash_table_iter_init (&iter, server->connections);
	while (g_hash_table_iter_next (&iter, &connection, NULL))
		g_hash_table_iter_replace (&iter, GINT_TO_POINTER (true));
}

static void
serve_admin (struct dff_worker_server *server, struct evhttp_request *request)
{
	if (!dff_worker_faults_parse (body_of (request), &server->faults)) {
		evhttp_send_reply (request, HTTP_BADREQUEST, NULL, NULL);
		return;
	}
	if (server->faults.die)
		_exit (1);
	struct dff_worker_tasks *tasks = dff_standin_worker_tasks (server->options.worker);
	dff_worker_tasks_set_fail_everything (tasks, server->faults.fail_everything);
	if (server->faults.silence_open)
		silence_open (server);
	evhttp_send_reply (request, HTTP_OK, NULL, NULL);
}

static void
connection_closed (struct evhttp_connection *connection, void *user)
{
	struct dff_worker_server *server = user;
	g_hash_table_remove (server->connections, connection);
}

/** Returns: whether the request's connection, or the whole server, is silent. */
static bool
is_silenced (struct dff_worker_server *server, struct evhttp_request *request)
{
	struct evhttp_connection *connection = evhttp_request_get_connection (request);
	gpointer silent;
	if (g_hash_table_lookup_extended (server->connections, connection, NULL, &silent))
		return GPOINTER_TO_INT (silent) || server->faults.silent;
	g_hash_table_insert (server->connections, connection, GINT_TO_POINTER (false));
	evhttp_connection_set_closecb (connection, connection_closed, server);
	return server->faults.silent;
}

static void
serve (struct evhttp_request *request, void *user)
{
	struct dff_worker_server *server = user;
	const char *path = evhttp_request_get_uri (request);
	if (strcmp (path, ADMIN_PATH) == 0) {
		serve_admin (server, request);
		return;
	}
	/* Without an answer the connection stays open and silent. */
	if (is_silenced (server, request))
		return;
	const struct route *route = find_route (request);
	if (route != NULL)
		serve_call (server, request, route);
	else if (is_request_path (path))
		serve_request (server, request);
	else
		answer_status (server, request, HTTP_NOTFOUND);
	schedule_tick (server);
}

struct dff_worker_server *
dff_worker_server_new (const struct dff_worker_server_options *options, GError **error)
{
	struct dff_worker_server *server = g_new0 (struct dff_worker_server, 1);
	server->options = *options;
	server->payload = g_string_new (NULL);
	server->connections = g_hash_table_new (NULL, NULL);
	server->http = evhttp_new (options->base);
	server->tick = evtimer_new (options->base, tick, server);
	evhttp_set_max_body_size (server->http, MAX_BODY_BYTES);
	evhttp_set_timeout (server->http, IDLE_TIMEOUT_S);
	evhttp_set_gencb (server->http, serve, server);
	if (!dff_http_listen (server->http, &options->listen, &server->address)) {
		g_set_error (error, G_FILE_ERROR, G_FILE_ERROR_FAILED, "%s: cannot listen",
			     options->listen.data);
		dff_worker_server_free (server);
		return NULL;
	}
	dff_standin_worker_on_change (options->worker, tick_soon, server);
	schedule_tick (server);
	return server;
}

void
dff_worker_server_free (struct dff_worker_server *server)
{
	dff_standin_worker_on_change (server->options.worker, NULL, NULL);
	while (!g_queue_is_empty (&server->exchanges))
		exchange_free (server->exchanges.head->data);
	evhttp_free (server->http);
	event_free (server->tick);
	g_hash_table_unref (server->connections);
	g_string_free (server->payload, TRUE);
	g_free (server);
}

const struct dff_name *
dff_worker_server_address (const struct dff_worker_server *server)
{
	return &server->address;
}

bool
dff_worker_server_is_busy (const struct dff_worker_server *server)
{
	return server->exchanges.length > 0;
}
