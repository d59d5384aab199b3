#ifndef DFF_COMMON_HTTP_SERVER_H
#define DFF_COMMON_HTTP_SERVER_H

#include <event2/http.h>

#include "common/cleanup.h"
#include "common/connections.h"
#include "common/str.h"

/* HTTP/1.1 server over evhttp whose connections are tracked, see common/connections.h. */

struct dff_http_server;

typedef void (*dff_http_server_func) (struct evhttp_request *request, void *ctx);

/** Returns: (transfer full): a server that does not listen yet. @connections has to outlive it.
 * @clients: who connects, for the log; static. */
struct dff_http_server *dff_http_server_new (struct event_base *base,
					     struct dff_connections *connections,
					     const char *clients,
					     const struct dff_connection_limits *limits);

void dff_http_server_free (struct dff_http_server *server);

DFF_DEFINE_CLEANUP (dff_http_server, dff_http_server_free);

/** Sets new limits. Those of sizes apply to new connections. */
void dff_http_server_set_limits (struct dff_http_server *server,
				 const struct dff_connection_limits *limits);

/** Sets the methods that are allowed, a mask of enum evhttp_cmd_type. Others are answered with
 * 501. */
void dff_http_server_set_methods (struct dff_http_server *server, uint16_t methods);

/** Handles the requests to @path. The handler answers each, at once or later. */
void dff_http_server_add_path (struct dff_http_server *server,
			       const char *path,
			       dff_http_server_func handle,
			       void *ctx);

/** Handles the requests to all other paths; without a handler they are answered with 404. */
void dff_http_server_set_default (struct dff_http_server *server,
				  dff_http_server_func handle,
				  void *ctx);

/** Listens at @address, "IP:PORT". @bound: (out): the address with the port that was bound.
 * Returns: false on failure. */
bool dff_http_server_listen (struct dff_http_server *server,
			     const struct dff_name *address,
			     struct dff_name *bound);

/** Returns: the number of open connections. */
int32_t dff_http_server_n_connections (const struct dff_http_server *server);

#endif
