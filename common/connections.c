#include "entry/connection.h"

#include <event2/buffer.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

/** Interval at which connections are checked against their limits, ms. */
#define SCAN_MS 50
/** Idle time after which a keep-alive connection is closed, ms. */
#define IDLE_LIMIT_MS 75000
/** Time without progress after which an answer that is being written is aborted, s. */
#define WRITE_STALL_S 30
/** Bytes that a client may send ahead while its request is being handled. */
#define READ_AHEAD_BYTES 65536
/** Number of connections above the limit that are accepted, to be closed at once, before accepting
 * is paused. */
#define OVERFLOW_MAX 32

/** A dead peer is detected after IDLE + INTERVAL * COUNT seconds without a packet. */
#define KEEPALIVE_IDLE_S 15
#define KEEPALIVE_INTERVAL_S 5
#define KEEPALIVE_COUNT 3

enum connection_state {
	DFF_CONNECTION_IDLE,
	DFF_CONNECTION_RECEIVING,
	DFF_CONNECTION_HANDLING,
};

struct connection {
	struct dff_connections *owner;
	/** Holds a reference. evhttp frees the bufferevent without a notification, and its address
	 * must not be reused while it is a key of the table. */
	struct bufferevent *bev;
	enum connection_state state;
	int64_t state_since_ms;
	bool keepalive_enabled;
	bool over_limit;
	bool closing;
};

struct dff_connections {
	const struct dff_clock *clock;
	/** struct bufferevent * -> struct connection *, owned. */
	GHashTable *by_bev;
	int32_t max_connections;
	int32_t n_over_limit;
	int64_t next_scan_ms;
	struct evconnlistener *listener;
};

static void
connection_free (gpointer data)
{
	struct connection *connection = data;
	bufferevent_decref (connection->bev);
	g_free (connection);
}

struct dff_connections *
dff_connections_new (const struct dff_clock *clock)
{
	struct dff_connections *connections = g_new0 (struct dff_connections, 1);
	connections->clock = clock;
	connections->max_connections = INT32_MAX;
	connections->by_bev =
		g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, connection_free);
	return connections;
}

static void handle_input (struct evbuffer *buffer, const struct evbuffer_cb_info *info, void *ctx);

static void
remove_input_callback (gpointer key, gpointer value, gpointer data)
{
	(void)key;
	(void)data;
	struct connection *connection = value;
	evbuffer_remove_cb (bufferevent_get_input (connection->bev), handle_input, connection);
}

void
dff_connections_free (struct dff_connections *connections)
{
	g_hash_table_foreach (connections->by_bev, remove_input_callback, NULL);
	g_hash_table_destroy (connections->by_bev);
	g_free (connections);
}

static void
set_state (struct connection *connection, enum connection_state state)
{
	connection->state = state;
	connection->state_since_ms = dff_clock_now_ms (connection->owner->clock);
}

static void
handle_input (struct evbuffer *buffer, const struct evbuffer_cb_info *info, void *ctx)
{
	(void)buffer;
	struct connection *connection = ctx;
	if (info->n_added > 0 && connection->state == DFF_CONNECTION_IDLE)
		set_state (connection, DFF_CONNECTION_RECEIVING);
}

/* bufferevent_free() clears the callbacks; a live connection always has those of evhttp. */
static bool
is_freed (const struct connection *connection)
{
	bufferevent_event_cb event_cb = NULL;
	bufferevent_getcb (connection->bev, NULL, NULL, &event_cb, NULL);
	return event_cb == NULL;
}

/* Removes the connections that evhttp has freed. */
static void
remove_freed (struct dff_connections *connections)
{
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, connections->by_bev);
	while (g_hash_table_iter_next (&iter, NULL, &value)) {
		struct connection *connection = value;
		if (!is_freed (connection))
			continue;
		remove_input_callback (NULL, connection, NULL);
		g_hash_table_iter_remove (&iter);
	}
}

void
dff_connections_add (struct dff_connections *connections, struct bufferevent *bev)
{
	static const struct timeval write_stall = {.tv_sec = WRITE_STALL_S};
	/* Called before the new connection is added: it has no callbacks yet, as if it were freed,
	 * and would be removed. */
	if (dff_connections_count (connections) >= connections->max_connections)
		remove_freed (connections);
	struct connection *connection = g_new0 (struct connection, 1);
	connection->owner = connections;
	connection->bev = bev;
	bufferevent_incref (bev);
	set_state (connection, DFF_CONNECTION_IDLE);
	bufferevent_set_timeouts (bev, NULL, &write_stall);
	evbuffer_add_cb (bufferevent_get_input (bev), handle_input, connection);
	g_hash_table_insert (connections->by_bev, bev, connection);
	if (dff_connections_count (connections) <= connections->max_connections)
		return;
	connection->over_limit = true;
	connections->n_over_limit++;
	if (connections->n_over_limit >= OVERFLOW_MAX && connections->listener != NULL)
		evconnlistener_disable (connections->listener);
}

/* Keep-alive probes detect callers that disappear without closing the connection (power loss, a
 * middlebox that dropped it). Without them the connection would stay in use until the call is
 * answered. */
static void
enable_keepalive (struct connection *connection)
{
	static const int on = 1;
	static const int idle = KEEPALIVE_IDLE_S;
	static const int interval = KEEPALIVE_INTERVAL_S;
	static const int count = KEEPALIVE_COUNT;
	evutil_socket_t fd = bufferevent_getfd (connection->bev);
	connection->keepalive_enabled = true;
	setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof (on));
	setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof (idle));
	setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof (interval));
	setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof (count));
	setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof (on));
}

void
dff_connections_begin_request (struct dff_connections *connections, struct bufferevent *bev)
{
	struct connection *connection = g_hash_table_lookup (connections->by_bev, bev);
	if (connection == NULL)
		return;
	set_state (connection, DFF_CONNECTION_HANDLING);
	bufferevent_setwatermark (bev, EV_READ, 0, READ_AHEAD_BYTES);
	if (!connection->keepalive_enabled)
		enable_keepalive (connection);
}

void
dff_connections_remove (struct dff_connections *connections, struct bufferevent *bev)
{
	struct connection *connection = g_hash_table_lookup (connections->by_bev, bev);
	if (connection == NULL)
		return;
	remove_input_callback (NULL, connection, NULL);
	g_hash_table_remove (connections->by_bev, bev);
}

void
dff_connections_end_request (struct dff_connections *connections, struct bufferevent *bev)
{
	struct connection *connection = g_hash_table_lookup (connections->by_bev, bev);
	if (connection == NULL)
		return;
	/* evhttp leaves a body in the input buffer until it is complete. A watermark here would
	 * stall every larger body for good; evhttp has its own limit on the size of bodies. */
	bufferevent_setwatermark (bev, EV_READ, 0, 0);
	bool more = evbuffer_get_length (bufferevent_get_input (bev)) > 0;
	set_state (connection, more ? DFF_CONNECTION_RECEIVING : DFF_CONNECTION_IDLE);
}

static bool
is_past_limit (const struct connection *connection,
	       const struct dff_connection_limits *limits,
	       int64_t now_ms)
{
	int64_t age_ms = now_ms - connection->state_since_ms;
	if (connection->over_limit)
		return true;
	if (connection->state == DFF_CONNECTION_RECEIVING)
		return age_ms >= limits->request_timeout_ms;
	/* When the limit of connections is reached, idle ones are closed earlier, so that new
	 * callers can connect. */
	bool full = dff_connections_count (connection->owner) >= limits->max_connections;
	int64_t idle_limit_ms = full ? limits->request_timeout_ms : IDLE_LIMIT_MS;
	return connection->state == DFF_CONNECTION_IDLE && age_ms >= idle_limit_ms;
}

/* evhttp owns the connection, and provides no handle to it before the first request. The socket is
 * shut down instead: evhttp then reads the end of the stream and frees the connection. */
static void
close_connection (const struct connection *connection)
{
	evutil_socket_t fd = bufferevent_getfd (connection->bev);
	if (fd >= 0)
		shutdown (fd, SHUT_RDWR);
}

int32_t
dff_connections_tick (struct dff_connections *connections,
		      const struct dff_connection_limits *limits,
		      struct evconnlistener *listener)
{
	int64_t now_ms = dff_clock_now_ms (connections->clock);
	int32_t n_closed = 0;
	GHashTableIter iter;
	gpointer value;
	connections->max_connections = limits->max_connections;
	connections->listener = listener;
	if (now_ms < connections->next_scan_ms)
		return 0;
	connections->next_scan_ms = now_ms + SCAN_MS;
	remove_freed (connections);
	g_hash_table_iter_init (&iter, connections->by_bev);
	while (g_hash_table_iter_next (&iter, NULL, &value)) {
		struct connection *connection = value;
		if (connection->closing || !is_past_limit (connection, limits, now_ms))
			continue;
		connection->closing = true;
		close_connection (connection);
		n_closed++;
	}
	connections->n_over_limit = 0;
	if (listener != NULL)
		evconnlistener_enable (listener);
	return n_closed;
}

void
dff_connections_close_idle (struct dff_connections *connections, int64_t idle_ms)
{
	int64_t now_ms = dff_clock_now_ms (connections->clock);
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, connections->by_bev);
	while (g_hash_table_iter_next (&iter, NULL, &value)) {
		const struct connection *connection = value;
		bool idle = connection->state == DFF_CONNECTION_IDLE &&
			    now_ms - connection->state_since_ms >= idle_ms;
		if (idle && !is_freed (connection))
			close_connection (connection);
	}
}

int32_t
dff_connections_count (const struct dff_connections *connections)
{
	return (int32_t)g_hash_table_size (connections->by_bev);
}
