#include "common/http_server.h"

#include <glib.h>

#include "common/http_listen.h"

/** Time after which a client may repeat a refused request, s: the header takes whole seconds. */
#define RETRY_AFTER_S "1"

struct dff_http_server {
	struct evhttp *http;
	struct dff_connection_group *group;
	/** Elements: struct handler *. */
	GPtrArray *handlers;
};

/** Handler of a path; of all other paths if @path is NULL. */
struct handler {
	struct dff_http_server *server;
	char *path;
	dff_http_server_func handle;
	void *ctx;
};

static void
handler_free (gpointer data)
{
	struct handler *handler = data;
	g_free (handler->path);
	g_free (handler);
}

static struct bufferevent *
accept_connection (struct event_base *base, void *ctx)
{
	struct dff_http_server *server = ctx;
	struct bufferevent *bev = bufferevent_socket_new (base, -1, BEV_OPT_CLOSE_ON_FREE);
	dff_connection_group_add (server->group, bev);
	return bev;
}

static void
handle_complete (struct evhttp_request *request, void *ctx)
{
	struct dff_http_server *server = ctx;
	struct evhttp_connection *connection = evhttp_request_get_connection (request);
	dff_connection_group_end_request (server->group,
					  evhttp_connection_get_bufferevent (connection));
}

static void
refuse_request (struct evhttp_request *request)
{
	struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
	evhttp_add_header (headers, "Retry-After", RETRY_AFTER_S);
	evhttp_add_header (headers, "Connection", "close");
	evhttp_send_reply (request, HTTP_SERVUNAVAIL, NULL, NULL);
}

/* Returns: whether the request is to be handled; otherwise it has been refused. */
static bool
begin_request (struct dff_http_server *server, struct evhttp_request *request)
{
	struct evhttp_connection *connection = evhttp_request_get_connection (request);
	bool admitted = dff_connection_group_begin_request (
		server->group, evhttp_connection_get_bufferevent (connection));
	evhttp_request_set_on_complete_cb (request, handle_complete, server);
	if (!admitted)
		refuse_request (request);
	return admitted;
}

static void
handle_request (struct evhttp_request *request, void *ctx)
{
	const struct handler *handler = ctx;
	if (begin_request (handler->server, request))
		handler->handle (request, handler->ctx);
}

static void
handle_unknown_path (struct evhttp_request *request, void *ctx)
{
	if (begin_request (ctx, request))
		evhttp_send_reply (request, HTTP_NOTFOUND, NULL, NULL);
}

static struct handler *
handler_new (struct dff_http_server *server,
	     const char *path,
	     dff_http_server_func handle,
	     void *ctx)
{
	struct handler *handler = g_new0 (struct handler, 1);
	*handler = (struct handler){
		.server = server, .path = g_strdup (path), .handle = handle, .ctx = ctx};
	g_ptr_array_add (server->handlers, handler);
	return handler;
}

void
dff_http_server_add_path (struct dff_http_server *server,
			  const char *path,
			  dff_http_server_func handle,
			  void *ctx)
{
	evhttp_set_cb (server->http, path, handle_request, handler_new (server, path, handle, ctx));
}

void
dff_http_server_set_default (struct dff_http_server *server, dff_http_server_func handle, void *ctx)
{
	evhttp_set_gencb (server->http, handle_request, handler_new (server, NULL, handle, ctx));
}

void
dff_http_server_set_methods (struct dff_http_server *server, uint16_t methods)
{
	evhttp_set_allowed_methods (server->http, methods);
}

void
dff_http_server_set_limits (struct dff_http_server *server,
			    const struct dff_connection_limits *limits)
{
	evhttp_set_max_headers_size (server->http, (ev_ssize_t)limits->max_header_bytes);
	evhttp_set_max_body_size (server->http, (ev_ssize_t)limits->max_body_bytes);
	dff_connection_group_set_limits (server->group, limits);
}

bool
dff_http_server_listen (struct dff_http_server *server,
			const struct dff_name *address,
			struct dff_name *bound)
{
	struct evhttp_bound_socket *socket = dff_http_listen (server->http, address, bound);
	if (socket == NULL)
		return false;
	dff_connection_group_set_listener (server->group,
					   evhttp_bound_socket_get_listener (socket));
	return true;
}

int32_t
dff_http_server_n_connections (const struct dff_http_server *server)
{
	return dff_connection_group_count (server->group);
}

struct dff_http_server *
dff_http_server_new (struct event_base *base,
		     struct dff_connections *connections,
		     const char *clients,
		     const struct dff_connection_limits *limits)
{
	struct dff_http_server *server = g_new0 (struct dff_http_server, 1);
	server->http = evhttp_new (base);
	server->group = dff_connections_add_group (connections, clients, limits);
	server->handlers = g_ptr_array_new_with_free_func (handler_free);
	evhttp_set_bevcb (server->http, accept_connection, server);
	evhttp_set_gencb (server->http, handle_unknown_path, server);
	dff_http_server_set_limits (server, limits);
	return server;
}

void
dff_http_server_free (struct dff_http_server *server)
{
	evhttp_free (server->http);
	g_ptr_array_unref (server->handlers);
	g_free (server);
}
