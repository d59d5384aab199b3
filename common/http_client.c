#include "common/http_client.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <string.h>

#include "common/clock.h"
#include "common/http_connection.h"
#include "common/log.h"

#define MAX_CONNECTIONS_DEFAULT 8
#define MAX_WAITING_DEFAULT 256
#define MAX_IDLE_MS_DEFAULT 10000
#define MAX_BODY_BYTES_DEFAULT (4 << 20)
/** Difference between evhttp's timeout and the deadline, ms, so that the deadline fires first. */
#define EVHTTP_TIMEOUT_MARGIN_MS 1000

struct counters {
	int64_t *requests;
	int64_t *unsent;
	int64_t *uncertain;
	int64_t *timeouts;
	int64_t *refused;
	int64_t *opened;
	int64_t *connections;
	struct dff_http_traffic traffic;
};

struct dff_http_client {
	struct dff_http_client_options options;
	struct counters counters;
	/** Key: struct dff_name, address; value: struct endpoint. */
	GHashTable *endpoints;
	/** Elements: struct exchange that has failed and whose callback is pending. */
	GQueue failed;
	/** Elements: struct dff_http_connection to be freed outside evhttp's callback. */
	GPtrArray *retired;
	struct event *deferred;
	struct event *sweep;
};

/** Connections to one address and the requests that wait for one of them. */
struct endpoint {
	struct dff_http_client *client;
	char host[INET_ADDRSTRLEN];
	uint16_t port;
	/** Elements: struct dff_http_connection, at most max_connections. */
	GPtrArray *connections;
	/** Elements: struct exchange, at most max_waiting. */
	GQueue waiting;
	/** Elements: struct exchange with a connection. */
	GPtrArray *active;
};

/** One request, from sending to its callback. */
struct exchange {
	struct dff_http_client *client;
	/** NULL: the address is malformed. */
	struct endpoint *endpoint;
	/** Owned until it is passed to a connection. */
	struct evhttp_request *request;
	enum evhttp_cmd_type method;
	char *path;
	int32_t timeout_ms;
	struct event *timer;
	struct dff_http_connection *connection;
	enum dff_http_outcome failure;
	dff_http_func done;
	void *user;
};

void
dff_http_client_options_init (struct dff_http_client_options *options)
{
	memset (options, 0, sizeof (*options));
	options->max_connections = MAX_CONNECTIONS_DEFAULT;
	options->max_waiting = MAX_WAITING_DEFAULT;
	options->max_idle_ms = MAX_IDLE_MS_DEFAULT;
	options->max_body_bytes = MAX_BODY_BYTES_DEFAULT;
}

static void
exchange_free (struct exchange *exchange)
{
	if (exchange->request != NULL)
		evhttp_request_free (exchange->request);
	if (exchange->timer != NULL)
		event_free (exchange->timer);
	g_free (exchange->path);
	g_free (exchange);
}

static void
close_connection (struct endpoint *endpoint, struct dff_http_connection *connection)
{
	g_ptr_array_remove_fast (endpoint->connections, connection);
	(*endpoint->client->counters.connections)--;
	dff_http_connection_free (connection);
}

/* Closes connections that have been idle for @min_idle_ms or longer. */
static void
close_idle_connections (struct endpoint *endpoint, int64_t min_idle_ms)
{
	int64_t since_ms = dff_clock_now_ms (dff_clock_system ()) - min_idle_ms;
	for (guint i = endpoint->connections->len; i > 0; i--) {
		struct dff_http_connection *connection = endpoint->connections->pdata[i - 1];
		if (!dff_http_connection_is_busy (connection) &&
		    dff_http_connection_idle_since_ms (connection) <= since_ms)
			close_connection (endpoint, connection);
	}
}

static void
endpoint_free (gpointer data)
{
	struct endpoint *endpoint = data;
	while (endpoint->connections->len > 0)
		close_connection (endpoint, endpoint->connections->pdata[0]);
	for (guint i = 0; i < endpoint->active->len; i++)
		exchange_free (endpoint->active->pdata[i]);
	struct exchange *exchange;
	while ((exchange = g_queue_pop_head (&endpoint->waiting)) != NULL)
		exchange_free (exchange);
	g_ptr_array_unref (endpoint->connections);
	g_ptr_array_unref (endpoint->active);
	g_free (endpoint);
}

/* Removes @exchange from its lists; the deferred event runs its callback. */
static void
defer_failure (struct exchange *exchange, enum dff_http_outcome outcome)
{
	struct dff_http_client *client = exchange->client;
	exchange->failure = outcome;
	if (exchange->timer != NULL)
		event_del (exchange->timer);
	g_queue_push_tail (&client->failed, exchange);
	event_active (client->deferred, 0, 0);
}

static enum dff_http_outcome
failure_outcome (const struct exchange *exchange)
{
	return dff_http_connection_has_sent (exchange->connection) ? DFF_HTTP_UNCERTAIN
								   : DFF_HTTP_UNSENT;
}

/* Removes the connection from the pool; the deferred event frees it. */
static void
retire_connection (struct exchange *exchange)
{
	struct endpoint *endpoint = exchange->endpoint;
	g_ptr_array_remove_fast (endpoint->active, exchange);
	g_ptr_array_remove_fast (endpoint->connections, exchange->connection);
	g_ptr_array_add (exchange->client->retired, exchange->connection);
	(*exchange->client->counters.connections)--;
	exchange->connection = NULL;
	event_active (exchange->client->deferred, 0, 0);
}

/* A body without length or chunked encoding ends with the connection: truncation goes unnoticed. */
static bool
is_complete (struct evhttp_request *request)
{
	struct evkeyvalq *headers = evhttp_request_get_input_headers (request);
	int status = evhttp_request_get_response_code (request);
	return status == HTTP_NOCONTENT || status == HTTP_NOTMODIFIED ||
	       evhttp_find_header (headers, "Content-Length") != NULL ||
	       evhttp_find_header (headers, "Transfer-Encoding") != NULL;
}

static void dispatch_waiting (struct endpoint *endpoint);

static void
finish_answered (struct exchange *exchange, struct evhttp_request *request)
{
	struct endpoint *endpoint = exchange->endpoint;
	dff_http_connection_set_idle (exchange->connection);
	g_ptr_array_remove_fast (endpoint->active, exchange);
	event_del (exchange->timer);
	struct evbuffer *input = evhttp_request_get_input_buffer (request);
	struct dff_http_response response = {
		.outcome = DFF_HTTP_ANSWERED,
		.status = evhttp_request_get_response_code (request),
		.headers = evhttp_request_get_input_headers (request),
	};
	response.body.len = evbuffer_get_length (input);
	response.body.data = (const char *)evbuffer_pullup (input, -1);
	if (response.body.data == NULL)
		response.body.data = "";
	dispatch_waiting (endpoint);
	exchange->done (exchange->user, &response);
	exchange_free (exchange);
}

static void
request_done (struct evhttp_request *request, void *ctx)
{
	struct exchange *exchange = ctx;
	/* The connection is NULL when the deadline has passed in this iteration of the loop. */
	if (exchange->connection == NULL)
		return;
	bool answered = request != NULL && evhttp_request_get_response_code (request) != 0;
	if (answered && is_complete (request)) {
		finish_answered (exchange, request);
		return;
	}
	enum dff_http_outcome outcome = answered ? DFF_HTTP_UNCERTAIN : failure_outcome (exchange);
	retire_connection (exchange);
	defer_failure (exchange, outcome);
}

static void
deadline_passed (evutil_socket_t fd, short what, void *ctx)
{
	(void)fd;
	(void)what;
	struct exchange *exchange = ctx;
	(*exchange->client->counters.timeouts)++;
	if (exchange->connection == NULL) {
		g_queue_remove (&exchange->endpoint->waiting, exchange);
		defer_failure (exchange, DFF_HTTP_UNSENT);
		return;
	}
	/* A connection that did not answer in time may be dead because a middlebox dropped its
	 * state, and with it that of all connections to this address. The idle ones are closed as
	 * well; otherwise, after a middlebox restart, each of them would cost one more request that
	 * times out. */
	enum dff_http_outcome outcome = failure_outcome (exchange);
	retire_connection (exchange);
	close_idle_connections (exchange->endpoint, 0);
	defer_failure (exchange, outcome);
}

static struct dff_http_connection *
open_connection (struct endpoint *endpoint)
{
	struct dff_http_client *client = endpoint->client;
	struct dff_http_connection *connection = dff_http_connection_new (
		client->options.base, endpoint->host, endpoint->port,
		client->options.max_body_bytes, &client->counters.traffic, client->options.tls);
	g_ptr_array_add (endpoint->connections, connection);
	(*client->counters.opened)++;
	(*client->counters.connections)++;
	return connection;
}

/* Returns: (nullable): the most recently used idle connection; else a new one, up to the limit. */
static struct dff_http_connection *
find_connection (struct endpoint *endpoint)
{
	struct dff_http_connection *best = NULL;
	for (guint i = 0; i < endpoint->connections->len; i++) {
		struct dff_http_connection *connection = endpoint->connections->pdata[i];
		if (dff_http_connection_is_busy (connection))
			continue;
		if (best == NULL || dff_http_connection_idle_since_ms (connection) >
					    dff_http_connection_idle_since_ms (best))
			best = connection;
	}
	int32_t max = endpoint->client->options.max_connections;
	if (best == NULL && endpoint->connections->len < (guint)max)
		best = open_connection (endpoint);
	return best;
}

/* Sends waiting requests while a connection is available. */
static void
dispatch_waiting (struct endpoint *endpoint)
{
	while (!g_queue_is_empty (&endpoint->waiting)) {
		close_idle_connections (endpoint, endpoint->client->options.max_idle_ms);
		struct dff_http_connection *connection = find_connection (endpoint);
		if (connection == NULL)
			return;
		struct exchange *exchange = g_queue_pop_head (&endpoint->waiting);
		exchange->connection = connection;
		g_ptr_array_add (endpoint->active, exchange);
		struct evhttp_request *request = g_steal_pointer (&exchange->request);
		bool accepted = dff_http_connection_send (
			connection, request, exchange->method, exchange->path,
			exchange->timeout_ms + EVHTTP_TIMEOUT_MARGIN_MS);
		/* Failures during the call have been handled by request_done(). */
		if (accepted || exchange->connection == NULL)
			continue;
		retire_connection (exchange);
		defer_failure (exchange, DFF_HTTP_UNSENT);
	}
}

static void
run_failure_callbacks (struct dff_http_client *client)
{
	/* Requests that fail during a callback wait for the next iteration: a caller that resends
	 * at once must not block the loop. */
	guint n = client->failed.length;
	for (guint i = 0; i < n; i++) {
		struct exchange *exchange = g_queue_pop_head (&client->failed);
		struct dff_http_response response = {.outcome = exchange->failure};
		int64_t *counter = exchange->failure == DFF_HTTP_UNSENT
					   ? client->counters.unsent
					   : client->counters.uncertain;
		(*counter)++;
		if (exchange->endpoint != NULL)
			dispatch_waiting (exchange->endpoint);
		exchange->done (exchange->user, &response);
		exchange_free (exchange);
	}
}

static void
run_deferred (evutil_socket_t fd, short what, void *ctx)
{
	(void)fd;
	(void)what;
	struct dff_http_client *client = ctx;
	while (client->retired->len > 0) {
		dff_http_connection_free (client->retired->pdata[0]);
		g_ptr_array_remove_index_fast (client->retired, 0);
	}
	run_failure_callbacks (client);
}

static gboolean
endpoint_is_unused (gpointer key, gpointer value, gpointer client)
{
	(void)key;
	struct endpoint *endpoint = value;
	close_idle_connections (endpoint, endpoint->client->options.max_idle_ms);
	if (endpoint->connections->len > 0 || !g_queue_is_empty (&endpoint->waiting))
		return FALSE;
	/* An exchange whose callback is pending still refers to its endpoint. */
	return g_queue_is_empty (&((struct dff_http_client *)client)->failed);
}

/* Without this, connections to workers that were replaced would stay open. */
static void
sweep_idle (evutil_socket_t fd, short what, void *ctx)
{
	(void)fd;
	(void)what;
	struct dff_http_client *client = ctx;
	g_hash_table_foreach_remove (client->endpoints, endpoint_is_unused, client);
}

static void
init_counters (struct counters *counters, struct dff_metrics *metrics)
{
	counters->requests = dff_metrics_counter (metrics, "dff_http_client_requests_total",
						  "Requests given to the HTTP client");
	counters->unsent = dff_metrics_counter (metrics, "dff_http_client_unsent_total",
						"Requests that failed and were provably not sent");
	counters->uncertain = dff_metrics_counter (metrics, "dff_http_client_uncertain_total",
						   "Requests sent without a whole answer in time");
	counters->timeouts = dff_metrics_counter (metrics, "dff_http_client_timeouts_total",
						  "Requests whose deadline passed");
	counters->refused = dff_metrics_counter (metrics, "dff_http_client_refused_total",
						 "Requests refused as too many were waiting");
	counters->opened = dff_metrics_counter (metrics, "dff_http_client_connections_opened_total",
						"Connections opened by the HTTP client");
	counters->connections = dff_metrics_gauge (metrics, "dff_http_client_connections",
						   "Connections held by the HTTP client");
	counters->traffic.sent_bytes =
		dff_metrics_counter (metrics, "dff_http_client_sent_bytes_total",
				     "Bytes sent to workers, store and list, without TCP and IP.");
	counters->traffic.received_bytes = dff_metrics_counter (
		metrics, "dff_http_client_received_bytes_total",
		"Bytes received from workers, store and list, without TCP and IP.");
}

struct dff_http_client *
dff_http_client_new (const struct dff_http_client_options *options)
{
	struct dff_http_client *client = g_new0 (struct dff_http_client, 1);
	client->options = *options;
	init_counters (&client->counters, options->metrics);
	client->endpoints =
		g_hash_table_new_full (dff_name_hash, dff_name_equal_func, g_free, endpoint_free);
	client->retired = g_ptr_array_new ();
	client->deferred = event_new (options->base, -1, 0, run_deferred, client);
	client->sweep = event_new (options->base, -1, EV_PERSIST, sweep_idle, client);
	struct timeval interval = dff_timeval_from_ms (options->max_idle_ms);
	event_add (client->sweep, &interval);
	return client;
}

void
dff_http_client_free (struct dff_http_client *client)
{
	event_free (client->deferred);
	event_free (client->sweep);
	for (guint i = 0; i < client->retired->len; i++)
		dff_http_connection_free (client->retired->pdata[i]);
	g_ptr_array_unref (client->retired);
	struct exchange *exchange;
	while ((exchange = g_queue_pop_head (&client->failed)) != NULL)
		exchange_free (exchange);
	g_hash_table_unref (client->endpoints);
	g_free (client);
}

/* Returns: (nullable): NULL when @address is not an IPv4 address with a port. */
static struct endpoint *
endpoint_for (struct dff_http_client *client, const struct dff_name *address)
{
	struct endpoint *endpoint = g_hash_table_lookup (client->endpoints, address);
	if (endpoint != NULL)
		return endpoint;
	struct sockaddr_in socket_address;
	int len = sizeof (socket_address);
	if (evutil_parse_sockaddr_port (address->data, (struct sockaddr *)&socket_address, &len) !=
		    0 ||
	    socket_address.sin_family != AF_INET || socket_address.sin_port == 0)
		return NULL;
	endpoint = g_new0 (struct endpoint, 1);
	endpoint->client = client;
	endpoint->port = ntohs (socket_address.sin_port);
	inet_ntop (AF_INET, &socket_address.sin_addr, endpoint->host, sizeof (endpoint->host));
	endpoint->connections = g_ptr_array_new ();
	endpoint->active = g_ptr_array_new ();
	g_queue_init (&endpoint->waiting);
	g_hash_table_insert (client->endpoints, dff_name_dup (address), endpoint);
	return endpoint;
}

static void
fill_request (struct evhttp_request *request, const struct dff_http_request *from)
{
	struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
	evhttp_add_header (headers, "Host", from->address.data);
	for (size_t i = 0; i < from->n_headers; i++) {
		const struct dff_http_header *header = &from->headers[i];
		g_autofree char *value = g_strndup (header->value.data, header->value.len);
		evhttp_add_header (headers, header->name, value);
	}
	if (from->body.len > 0)
		evbuffer_add (evhttp_request_get_output_buffer (request), from->body.data,
			      from->body.len);
}

static struct exchange *
exchange_new (struct dff_http_client *client,
	      const struct dff_http_request *request,
	      dff_http_func done,
	      void *user)
{
	struct exchange *exchange = g_new0 (struct exchange, 1);
	exchange->client = client;
	exchange->endpoint = endpoint_for (client, &request->address);
	exchange->method = request->method;
	exchange->path = g_strdup (request->path);
	exchange->timeout_ms = request->timeout_ms;
	exchange->done = done;
	exchange->user = user;
	exchange->request = evhttp_request_new (request_done, exchange);
	fill_request (exchange->request, request);
	return exchange;
}

void
dff_http_client_send (struct dff_http_client *client,
		      const struct dff_http_request *request,
		      dff_http_func done,
		      void *user)
{
	struct exchange *exchange = exchange_new (client, request, done, user);
	struct endpoint *endpoint = exchange->endpoint;
	(*client->counters.requests)++;
	if (endpoint == NULL) {
		defer_failure (exchange, DFF_HTTP_UNSENT);
		return;
	}
	g_queue_push_tail (&endpoint->waiting, exchange);
	exchange->timer = evtimer_new (client->options.base, deadline_passed, exchange);
	struct timeval timeout = dff_timeval_from_ms (request->timeout_ms);
	evtimer_add (exchange->timer, &timeout);
	dispatch_waiting (endpoint);
	if (endpoint->waiting.length <= (guint)client->options.max_waiting)
		return;
	(*client->counters.refused)++;
	g_queue_pop_tail (&endpoint->waiting);
	defer_failure (exchange, DFF_HTTP_UNSENT);
}
