#include "common/connections.h"

#include <event2/buffer.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "common/connection_log.h"
#include "common/header_scan.h"

/** Interval at which connections are checked against their limits, ms. */
#define SCAN_MS 50
/** Longest time between two checks that counts as time of the clients, ms. After a pause of this
 * process their bytes wait to be read, and they are not late. */
#define PAUSE_MS 1000
/** Time without progress after which an answer that is being written is aborted, s. */
#define WRITE_STALL_S 30
/** Bytes that a client may send ahead while its request is handled or its answer is written. */
#define READ_AHEAD_BYTES 4096
/** Bytes beyond the largest request that a connection buffers: the frames of chunks, and the
 * beginning of the next request. */
#define RECEIVE_MARGIN_BYTES 16384
/** Memory for each line of a request's headers beside its bytes: it takes three allocations. */
#define HEADER_LINE_BYTES 128
/** Memory of a connection itself, bytes, to weigh idle connections against others. */
#define CONNECTION_BYTES 4096
/** Number of connections above the limit that are accepted, to be closed at once, before accepting
 * is paused. */
#define OVERFLOW_MAX 32
/** Number of connections that may be closed for new ones before accepting is paused until their
 * descriptors are released. */
#define REPLACED_MAX 16

/** A dead peer is detected after IDLE + INTERVAL * COUNT seconds without a packet. */
#define KEEPALIVE_IDLE_S 15
#define KEEPALIVE_INTERVAL_S 5
#define KEEPALIVE_COUNT 3

enum connection_state {
	DFF_CONNECTION_IDLE,
	DFF_CONNECTION_RECEIVING,
	DFF_CONNECTION_HANDLING,
	DFF_CONNECTION_SENDING,
};

struct connection {
	struct dff_connection_group *group;
	/** Holds a reference. evhttp frees the bufferevent without a notification, and its address
	 * must not be reused while it is a key of the table. */
	struct bufferevent *bev;
	enum connection_state state;
	/** Start of the state; while sending, time of the last progress. */
	int64_t state_since_ms;
	struct dff_header_scan headers;
	/** Bytes of the current request that evhttp has taken from the input buffer. */
	size_t parsed_bytes;
	/** Contribution to the total of all connections, bytes. */
	size_t held_bytes;
	bool keepalive_enabled;
	/** To be closed at the next check; its request is refused. */
	bool rejected;
};

struct dff_connection_group {
	struct dff_connections *owner;
	const char *name;
	struct dff_connection_limits limits;
	struct dff_connection_log log;
	/** struct bufferevent * -> struct connection *, owned. */
	GHashTable *by_bev;
	/** Connections accepted above the limit, and connections closed for new ones, since
	 * accepting was last resumed. */
	int32_t n_overflow;
	int32_t n_replaced;
	/** (nullable): NULL before the server listens. */
	struct evconnlistener *listener;
	/** Checks the group in the next iteration of the event loop. */
	struct event *check;
};

struct dff_connections {
	const struct dff_clock *clock;
	/** Elements: struct dff_connection_group *, owned. */
	GPtrArray *groups;
	size_t max_bytes;
	size_t held_bytes;
	int64_t n_closed;
	int64_t next_scan_ms;
	/** Time of the last check, and the time that had passed for the clients by then, ms. */
	int64_t checked_ms;
	int64_t elapsed_ms;
};

static int64_t
elapsed_ms (const struct dff_connections *connections)
{
	int64_t since_ms = dff_clock_now_ms (connections->clock) - connections->checked_ms;
	return connections->elapsed_ms + MIN (since_ms, PAUSE_MS);
}

static int64_t
age_ms (const struct connection *connection)
{
	return elapsed_ms (connection->group->owner) - connection->state_since_ms;
}

static void
connection_free (gpointer data)
{
	struct connection *connection = data;
	bufferevent_decref (connection->bev);
	g_free (connection);
}

static void
group_free (gpointer data)
{
	struct dff_connection_group *group = data;
	g_hash_table_destroy (group->by_bev);
	g_free (group);
}

struct dff_connections *
dff_connections_new (const struct dff_clock *clock, size_t max_bytes)
{
	struct dff_connections *connections = g_new0 (struct dff_connections, 1);
	connections->clock = clock;
	connections->max_bytes = max_bytes;
	connections->checked_ms = dff_clock_now_ms (clock);
	connections->groups = g_ptr_array_new_with_free_func (group_free);
	return connections;
}

struct dff_connection_group *
dff_connections_add_group (struct dff_connections *connections,
			   const char *name,
			   const struct dff_connection_limits *limits)
{
	struct dff_connection_group *group = g_new0 (struct dff_connection_group, 1);
	group->owner = connections;
	group->name = name;
	group->limits = *limits;
	group->by_bev =
		g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, connection_free);
	g_ptr_array_add (connections->groups, group);
	return group;
}

void
dff_connection_group_set_limits (struct dff_connection_group *group,
				 const struct dff_connection_limits *limits)
{
	group->limits = *limits;
}

void
dff_connections_set_max_bytes (struct dff_connections *connections, size_t max_bytes)
{
	connections->max_bytes = max_bytes;
}

static void handle_input (struct evbuffer *buffer, const struct evbuffer_cb_info *info, void *ctx);
static void handle_output (struct evbuffer *buffer, const struct evbuffer_cb_info *info, void *ctx);

static void
set_held (struct connection *connection, size_t bytes)
{
	struct dff_connections *connections = connection->group->owner;
	connections->held_bytes += bytes - connection->held_bytes;
	connection->held_bytes = bytes;
}

static void
remove_callbacks (struct connection *connection)
{
	evbuffer_remove_cb (bufferevent_get_input (connection->bev), handle_input, connection);
	evbuffer_remove_cb (bufferevent_get_output (connection->bev), handle_output, connection);
	set_held (connection, 0);
}

void
dff_connections_free (struct dff_connections *connections)
{
	for (guint i = 0; i < connections->groups->len; i++) {
		struct dff_connection_group *group = g_ptr_array_index (connections->groups, i);
		GHashTableIter iter;
		gpointer value;
		g_hash_table_iter_init (&iter, group->by_bev);
		while (g_hash_table_iter_next (&iter, NULL, &value))
			remove_callbacks (value);
		if (group->check != NULL)
			event_free (group->check);
	}
	g_ptr_array_unref (connections->groups);
	g_free (connections);
}

static void
set_state (struct connection *connection, enum connection_state state)
{
	connection->state = state;
	connection->state_since_ms = elapsed_ms (connection->group->owner);
}

static void
update_held (struct connection *connection)
{
	size_t buffered = evbuffer_get_length (bufferevent_get_input (connection->bev)) +
			  evbuffer_get_length (bufferevent_get_output (connection->bev));
	size_t headers = connection->headers.n_lines * HEADER_LINE_BYTES;
	set_held (connection, buffered + connection->parsed_bytes + headers);
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
remove_freed (struct dff_connection_group *group)
{
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, group->by_bev);
	while (g_hash_table_iter_next (&iter, NULL, &value)) {
		struct connection *connection = value;
		if (!is_freed (connection))
			continue;
		remove_callbacks (connection);
		g_hash_table_iter_remove (&iter);
	}
}

void
dff_connection_group_remove (struct dff_connection_group *group, struct bufferevent *bev)
{
	struct connection *connection = g_hash_table_lookup (group->by_bev, bev);
	if (connection == NULL)
		return;
	remove_callbacks (connection);
	g_hash_table_remove (group->by_bev, bev);
}

/* evhttp owns the connection, and provides no handle to it before the first request. An error of
 * the bufferevent makes evhttp free it. Not to be called while the connection itself reads. */
static void
close_connection (struct connection *connection, enum dff_close_reason reason)
{
	struct dff_connection_group *group = connection->group;
	struct bufferevent *bev = connection->bev;
	group->owner->n_closed++;
	dff_connection_log_close (&group->log, reason, age_ms (connection), connection->held_bytes);
	bufferevent_incref (bev);
	bufferevent_trigger_event (bev, BEV_EVENT_READING | BEV_EVENT_ERROR, 0);
	dff_connection_group_remove (group, bev);
	bufferevent_decref (bev);
}

/* A request that was read completely is answered, and an answer that the client reads is
 * delivered. */
static bool
may_close (const struct connection *connection)
{
	if (connection->state == DFF_CONNECTION_SENDING)
		return evbuffer_get_length (bufferevent_get_output (connection->bev)) > 0;
	return connection->state != DFF_CONNECTION_HANDLING;
}

/* The cost of leaving a connection open: what it holds, times how long it has made no progress. A
 * client that has just begun to send a large request is not closed for many that hold little. */
static double
cost_of (const struct connection *connection, size_t bytes)
{
	return (double)(age_ms (connection) + 1) * (double)bytes;
}

static void
schedule_check (struct dff_connection_group *group)
{
	static const struct timeval next_iteration = {0};
	if (group->check != NULL && !event_pending (group->check, EV_TIMEOUT, NULL))
		evtimer_add (group->check, &next_iteration);
}

struct victim {
	struct connection *connection;
	double cost;
};

static void
consider_victim (struct victim *victim, struct connection *connection, size_t bytes)
{
	if (bytes == 0 || !may_close (connection))
		return;
	double cost = cost_of (connection, bytes);
	if (victim->connection != NULL && cost <= victim->cost)
		return;
	*victim = (struct victim){connection, cost};
}

/* Returns: (nullable): the connection to be closed for a new one. */
static struct connection *
find_replaceable (const struct dff_connection_group *group)
{
	struct victim victim = {0};
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, group->by_bev);
	while (g_hash_table_iter_next (&iter, NULL, &value)) {
		struct connection *connection = value;
		consider_victim (&victim, connection, connection->held_bytes + CONNECTION_BYTES);
	}
	return victim.connection;
}

/* Returns: (nullable): the connection to be closed to release memory. */
static struct connection *
find_largest (const struct dff_connections *connections)
{
	struct victim victim = {0};
	for (guint i = 0; i < connections->groups->len; i++) {
		const struct dff_connection_group *group =
			g_ptr_array_index (connections->groups, i);
		GHashTableIter iter;
		gpointer value;
		g_hash_table_iter_init (&iter, group->by_bev);
		while (g_hash_table_iter_next (&iter, NULL, &value)) {
			struct connection *connection = value;
			consider_victim (&victim, connection, connection->held_bytes);
		}
	}
	return victim.connection;
}

/* Closes the connection in the next iteration of the event loop: evhttp may be parsing its input. A
 * request that is complete by then is refused, see dff_connection_group_begin_request(). */
static void
reject (struct connection *connection)
{
	connection->rejected = true;
	schedule_check (connection->group);
}

/* Closes connections until the total is within the maximum. @reading is the one that has just
 * received bytes. */
static void
release_memory (struct dff_connections *connections, struct connection *reading)
{
	if (connections->held_bytes <= connections->max_bytes)
		return;
	for (guint i = 0; i < connections->groups->len; i++)
		remove_freed (g_ptr_array_index (connections->groups, i));
	while (connections->held_bytes > connections->max_bytes) {
		struct connection *largest = find_largest (connections);
		if (largest == NULL || largest == reading) {
			reject (reading);
			return;
		}
		close_connection (largest, DFF_CLOSE_MEMORY);
	}
}

/* evhttp leaves a body in the input buffer until it is complete, so the limit is above that of
 * bodies. It is not a watermark, because libevent calls back again and again while a buffer is at
 * its watermark. */
static bool
is_oversized (const struct connection *connection, const struct evbuffer *input)
{
	const struct dff_connection_limits *limits = &connection->group->limits;
	return evbuffer_get_length (input) >
	       limits->max_header_bytes + limits->max_body_bytes + RECEIVE_MARGIN_BYTES;
}

static void
handle_input (struct evbuffer *buffer, const struct evbuffer_cb_info *info, void *ctx)
{
	struct connection *connection = ctx;
	if (info->n_added > 0 && is_freed (connection)) {
		/* The reference keeps the bufferevent reading. */
		bufferevent_disable (connection->bev, EV_READ);
		schedule_check (connection->group);
		return;
	}
	if (info->n_added > 0 && connection->state == DFF_CONNECTION_IDLE)
		set_state (connection, DFF_CONNECTION_RECEIVING);
	if (connection->state == DFF_CONNECTION_RECEIVING) {
		if (info->n_added > 0)
			dff_header_scan_update (&connection->headers, buffer, info->orig_size);
		connection->parsed_bytes += info->n_deleted;
		if (is_oversized (connection, buffer))
			reject (connection);
	}
	update_held (connection);
	release_memory (connection->group->owner, connection);
}

static void
handle_output (struct evbuffer *buffer, const struct evbuffer_cb_info *info, void *ctx)
{
	(void)buffer;
	(void)info;
	struct connection *connection = ctx;
	if (connection->state == DFF_CONNECTION_HANDLING ||
	    connection->state == DFF_CONNECTION_SENDING)
		set_state (connection, DFF_CONNECTION_SENDING);
	update_held (connection);
}

static void handle_check (evutil_socket_t fd, short events, void *ctx);

/* Without a pause, the listener would fail again and again until a descriptor is released. */
static void
handle_accept_error (struct evconnlistener *listener, void *ctx)
{
	struct dff_connection_group *group = ctx;
	group->n_overflow = OVERFLOW_MAX;
	evconnlistener_disable (listener);
}

void
dff_connection_group_set_listener (struct dff_connection_group *group,
				   struct evconnlistener *listener)
{
	group->listener = listener;
	group->check = evtimer_new (evconnlistener_get_base (listener), handle_check, group);
	evconnlistener_set_error_cb (listener, handle_accept_error);
}

static void
pause_accepting (struct dff_connection_group *group)
{
	if (group->listener == NULL ||
	    (group->n_overflow < OVERFLOW_MAX && group->n_replaced < REPLACED_MAX))
		return;
	evconnlistener_disable (group->listener);
	schedule_check (group);
}

/* Closes connections until there is room for one more. Called before the new connection is added:
 * it has no callbacks yet, as if it were freed. Returns: whether there is room. */
static bool
make_room (struct dff_connection_group *group)
{
	if (dff_connection_group_count (group) >= group->limits.max_connections)
		remove_freed (group);
	while (dff_connection_group_count (group) >= group->limits.max_connections) {
		struct connection *replaceable = find_replaceable (group);
		if (replaceable == NULL)
			return false;
		close_connection (replaceable, DFF_CLOSE_REPLACED);
		group->n_replaced++;
	}
	return true;
}

void
dff_connection_group_add (struct dff_connection_group *group, struct bufferevent *bev)
{
	static const struct timeval write_stall = {.tv_sec = WRITE_STALL_S};
	bool room = make_room (group);
	struct connection *connection = g_new0 (struct connection, 1);
	connection->group = group;
	connection->bev = bev;
	bufferevent_incref (bev);
	dff_header_scan_reset (&connection->headers);
	set_state (connection, DFF_CONNECTION_IDLE);
	bufferevent_set_timeouts (bev, NULL, &write_stall);
	evbuffer_add_cb (bufferevent_get_input (bev), handle_input, connection);
	evbuffer_add_cb (bufferevent_get_output (bev), handle_output, connection);
	g_hash_table_insert (group->by_bev, bev, connection);
	if (!room) {
		reject (connection);
		group->n_overflow++;
	}
	pause_accepting (group);
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

bool
dff_connection_group_begin_request (struct dff_connection_group *group, struct bufferevent *bev)
{
	struct connection *connection = g_hash_table_lookup (group->by_bev, bev);
	if (connection == NULL)
		return true;
	set_state (connection, DFF_CONNECTION_HANDLING);
	bufferevent_setwatermark (bev, EV_READ, 0, READ_AHEAD_BYTES);
	if (group->limits.keepalive_probes && !connection->keepalive_enabled)
		enable_keepalive (connection);
	if (connection->rejected)
		dff_connection_log_refuse (&group->log);
	return !connection->rejected;
}

void
dff_connection_group_end_request (struct dff_connection_group *group, struct bufferevent *bev)
{
	struct connection *connection = g_hash_table_lookup (group->by_bev, bev);
	if (connection == NULL)
		return;
	struct evbuffer *input = bufferevent_get_input (bev);
	bool more = evbuffer_get_length (input) > 0;
	connection->parsed_bytes = 0;
	dff_header_scan_reset (&connection->headers);
	dff_header_scan_update (&connection->headers, input, 0);
	set_state (connection, more ? DFF_CONNECTION_RECEIVING : DFF_CONNECTION_IDLE);
	update_held (connection);
	bufferevent_setwatermark (bev, EV_READ, 0, 0);
}

static bool
is_past_limit (const struct connection *connection)
{
	const struct dff_connection_limits *limits = &connection->group->limits;
	switch (connection->state) {
	case DFF_CONNECTION_IDLE:
		return connection->rejected || age_ms (connection) >= limits->idle_timeout_ms;
	case DFF_CONNECTION_RECEIVING:
		return connection->rejected || age_ms (connection) >= limits->request_timeout_ms ||
		       (!connection->headers.complete &&
			age_ms (connection) >= limits->header_timeout_ms);
	default:
		return false;
	}
}

static bool
is_idle_for (const struct connection *connection, int64_t idle_ms)
{
	return connection->state == DFF_CONNECTION_IDLE && age_ms (connection) >= idle_ms;
}

static enum dff_close_reason
reason_of (const struct connection *connection)
{
	if (connection->rejected)
		return DFF_CLOSE_REJECTED;
	return connection->state == DFF_CONNECTION_IDLE ? DFF_CLOSE_IDLE : DFF_CLOSE_SLOW;
}

/* Closes the connections past a limit, or those that have been idle for @idle_ms; -1: the former.
 */
static void
close_matching (struct dff_connection_group *group, int64_t idle_ms)
{
	/* Closing a connection changes the table. */
	g_autoptr (GPtrArray) matching = g_ptr_array_new ();
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, group->by_bev);
	while (g_hash_table_iter_next (&iter, NULL, &value)) {
		bool matches = idle_ms >= 0 ? is_idle_for (value, idle_ms) : is_past_limit (value);
		if (matches)
			g_ptr_array_add (matching, value);
	}
	for (guint i = 0; i < matching->len; i++) {
		struct connection *connection = g_ptr_array_index (matching, i);
		close_connection (connection, reason_of (connection));
	}
}

void
dff_connection_group_close_idle (struct dff_connection_group *group, int64_t idle_ms)
{
	remove_freed (group);
	close_matching (group, idle_ms);
}

static void
check_group (struct dff_connection_group *group)
{
	remove_freed (group);
	close_matching (group, -1);
	group->n_replaced = 0;
	if (group->listener != NULL && group->n_overflow < OVERFLOW_MAX)
		evconnlistener_enable (group->listener);
}

static void
handle_check (evutil_socket_t fd, short events, void *ctx)
{
	(void)fd;
	(void)events;
	check_group (ctx);
}

void
dff_connections_tick (struct dff_connections *connections)
{
	int64_t now_ms = dff_clock_now_ms (connections->clock);
	if (now_ms < connections->next_scan_ms)
		return;
	connections->next_scan_ms = now_ms + SCAN_MS;
	connections->elapsed_ms = elapsed_ms (connections);
	connections->checked_ms = now_ms;
	for (guint i = 0; i < connections->groups->len; i++) {
		struct dff_connection_group *group = g_ptr_array_index (connections->groups, i);
		group->n_overflow = 0;
		check_group (group);
		dff_connection_log_write (&group->log, group->name,
					  dff_connection_group_count (group),
					  connections->held_bytes, now_ms);
	}
}

int32_t
dff_connection_group_count (const struct dff_connection_group *group)
{
	return (int32_t)g_hash_table_size (group->by_bev);
}

int64_t
dff_connections_n_closed (const struct dff_connections *connections)
{
	return connections->n_closed;
}

size_t
dff_connections_held_bytes (const struct dff_connections *connections)
{
	return connections->held_bytes;
}
