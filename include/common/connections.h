#ifndef DFF_COMMON_CONNECTIONS_H
#define DFF_COMMON_CONNECTIONS_H

#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/cleanup.h"
#include "common/clock.h"

/*
 * Tracks the connections that a process accepts with its HTTP servers, so that slow, idle and
 * half-open clients are closed, and all clients together hold a bounded number of connections and
 * bytes. Clients that do not complete a request give way to others; a connection whose request is
 * being handled is never closed.
 */

/** Default of the memory for what clients have sent and what they have not read yet, bytes: a
 * quarter of the smallest machine's. */
#define DFF_CONNECTIONS_BYTES_DEFAULT (30 << 20)

/** All tracked connections of a process. */
struct dff_connections;

/** Those of one server. */
struct dff_connection_group;

struct dff_connection_limits {
	int32_t max_connections;
	/** Maximum time from the first byte of a request to the end of its headers, and to its last
	 * byte, ms. */
	int32_t header_timeout_ms;
	int32_t request_timeout_ms;
	/** Maximum time between two requests, ms. */
	int32_t idle_timeout_ms;
	/** Maximum sizes of a request's line with its headers, and of its body, bytes. */
	size_t max_header_bytes;
	size_t max_body_bytes;
	/** Whether clients are probed while their requests are handled. Not needed where that takes
	 * some seconds at most. */
	bool keepalive_probes;
};

/**
 * dff_connections_new:
 * @max_bytes: maximum memory for what clients have sent and what they have not read yet, bytes
 */
struct dff_connections *dff_connections_new (const struct dff_clock *clock, size_t max_bytes);

/** Sets a new maximum, see dff_connections_new(). */
void dff_connections_set_max_bytes (struct dff_connections *connections, size_t max_bytes);

/** To be called after the HTTP servers are freed. */
void dff_connections_free (struct dff_connections *connections);

DFF_DEFINE_CLEANUP (dff_connections, dff_connections_free);

/**
 * dff_connections_add_group:
 * @name: who connects, for the log; static
 *
 * Returns: (transfer none): a group without connections, valid as long as @connections.
 */
struct dff_connection_group *dff_connections_add_group (struct dff_connections *connections,
							const char *name,
							const struct dff_connection_limits *limits);

/** Sets new limits, which apply to open connections, too. */
void dff_connection_group_set_limits (struct dff_connection_group *group,
				      const struct dff_connection_limits *limits);

/** Sets the listener that is paused while there are too many connections. */
void dff_connection_group_set_listener (struct dff_connection_group *group,
					struct evconnlistener *listener);

/** Starts tracking a connection that was just accepted. At the limit another one is closed for it
 * that is not sending or being answered. */
void dff_connection_group_add (struct dff_connection_group *group, struct bufferevent *bev);

/** Marks the connection as handling a request, once the request is complete. Returns: false if
 * there are too many connections, or they hold too much: the request has to be refused at once. */
bool dff_connection_group_begin_request (struct dff_connection_group *group,
					 struct bufferevent *bev);

/** Marks the connection's request as answered, once the answer was sent. */
void dff_connection_group_end_request (struct dff_connection_group *group, struct bufferevent *bev);

/** Stops tracking a connection that evhttp is about to free. */
void dff_connection_group_remove (struct dff_connection_group *group, struct bufferevent *bev);

/** Closes connections that have been idle for at least @idle_ms. */
void dff_connection_group_close_idle (struct dff_connection_group *group, int64_t idle_ms);

int32_t dff_connection_group_count (const struct dff_connection_group *group);

/** Removes the connections that are freed and closes those past a limit. To be called at least
 * twice a second. */
void dff_connections_tick (struct dff_connections *connections);

/** Returns: the number of connections closed so far for being slow, idle or too many. */
int64_t dff_connections_n_closed (const struct dff_connections *connections);

/** Returns: the memory held for clients, bytes, as it counts against the maximum. */
size_t dff_connections_held_bytes (const struct dff_connections *connections);

#endif
