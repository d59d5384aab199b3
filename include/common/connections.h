#ifndef DFF_ENTRY_CONNECTION_H
#define DFF_ENTRY_CONNECTION_H

#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/cleanup.h"
#include "common/clock.h"

/*
 * Tracks callers' connections and their state, so that slow, idle and half-open clients are closed
 * in bounded time and memory.
 */

struct dff_connections;

struct dff_connection_limits {
	int32_t max_connections;
	/** Maximum time from the first byte of a request to its last, ms. */
	int32_t request_timeout_ms;
};

struct dff_connections *dff_connections_new (const struct dff_clock *clock);

/** To be called after the HTTP server is freed. */
void dff_connections_free (struct dff_connections *connections);

DFF_DEFINE_CLEANUP (dff_connections, dff_connections_free);

/** Starts tracking a connection that was just accepted. */
void dff_connections_add (struct dff_connections *connections, struct bufferevent *bev);

/** Marks the connection as handling a request, once the request is complete. */
void dff_connections_begin_request (struct dff_connections *connections, struct bufferevent *bev);

/** Stops tracking a connection that evhttp is about to free. */
void dff_connections_remove (struct dff_connections *connections, struct bufferevent *bev);

/** Marks the connection's request as answered, once the answer was sent. */
void dff_connections_end_request (struct dff_connections *connections, struct bufferevent *bev);

/**
 * dff_connections_tick:
 * @listener: paused while there are too many connections
 *
 * Removes the connections that are freed and closes those past a limit.
 *
 * Returns: the number of connections closed.
 */
int32_t dff_connections_tick (struct dff_connections *connections,
			      const struct dff_connection_limits *limits,
			      struct evconnlistener *listener);

/** Closes connections that have been idle for at least @idle_ms. */
void dff_connections_close_idle (struct dff_connections *connections, int64_t idle_ms);

int32_t dff_connections_count (const struct dff_connections *connections);

#endif
