#include "standin/platform_server.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/util.h>
#include <stdlib.h>
#include <string.h>

#include "common/http_listen.h"
#include "standin/platform_handlers.h"

#define MAX_BODY_BYTES (16 << 20)
#define MAX_ROWS 1000000
#define MAX_ROW_BYTES (1 << 20)
#define MAX_SCAN_BYTES (1 << 20)
#define MAX_WRITE_IDS 200000
#define MAX_OBJECT_BYTES (256UL << 20)
/** Maximum number of callers with faults of their own; further callers share one handle. */
#define MAX_HANDLES 256

static int64_t
now_ms (const struct dff_platform_server *server)
{
	return dff_clock_now_ms (server->clock);
}

struct dff_memory_handle *
dff_platform_server_handle (struct dff_platform_server *server, const struct dff_name *instance)
{
	struct dff_memory_handle *caller = g_hash_table_lookup (server->handles, instance);
	if (caller != NULL)
		return caller;
	if (dff_name_is_empty (instance) || g_hash_table_size (server->handles) >= MAX_HANDLES)
		return server->shared_handle;
	caller = dff_memory_open (server->memory);
	caller->faults = server->faults;
	g_hash_table_insert (server->handles, dff_name_dup (instance), caller);
	return caller;
}

void
dff_platform_server_set_faults (struct dff_platform_server *server,
				const struct dff_memory_faults *faults)
{
	GHashTableIter iter;
	gpointer caller;
	server->faults = *faults;
	server->shared_handle->faults = *faults;
	g_hash_table_iter_init (&iter, server->handles);
	while (g_hash_table_iter_next (&iter, NULL, &caller))
		((struct dff_memory_handle *)caller)->faults = *faults;
}

/* Runs what is due, and sets the timer for the next due time. */
static void
advance (struct dff_platform_server *server)
{
	dff_memory_tick (server->memory);
	int64_t due_ms = dff_memory_next_due_ms (server->memory);
	if (due_ms == INT64_MAX)
		return;
	int64_t wait_ms = CLAMP (due_ms - now_ms (server), 0, 1000);
	struct timeval wait = {.tv_sec = wait_ms / 1000, .tv_usec = wait_ms % 1000 * 1000};
	evtimer_add (server->timer, &wait);
}

static void
timer_fired (evutil_socket_t fd, short what, void *ctx)
{
	(void)fd;
	(void)what;
	advance (ctx);
}

static void
dispatch (const struct dff_platform_route *route,
	  struct dff_platform_context *context,
	  const char *path)
{
	struct evbuffer *input = evhttp_request_get_input_buffer (context->request);
	size_t rest_len = 0;
	char *rest = evhttp_uridecode (path + strlen (route->path), 0, &rest_len);
	context->rest = (struct dff_str){rest, rest_len};
	context->body.len = evbuffer_get_length (input);
	context->body.data = (const char *)evbuffer_pullup (input, -1);
	if (context->body.data == NULL)
		context->body.data = "";
	context->root = json_loadb (context->body.data, context->body.len, 0, NULL);
	route->handle (context);
	json_decref (context->root);
	free (rest);
}

static void
handle_request (struct evhttp_request *request, void *ctx)
{
	struct dff_platform_server *server = ctx;
	const char *path = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (request));
	const struct dff_platform_route *route = dff_platform_route_find (
		evhttp_request_get_command (request), path == NULL ? "" : path);
	if (route == NULL) {
		dff_platform_reply_error (request, 404, "no such resource");
		return;
	}
	const char *header =
		evhttp_find_header (evhttp_request_get_input_headers (request), "X-Instance");
	struct dff_name instance;
	dff_name_parse (dff_str_from (header == NULL ? "" : header), &instance);
	struct dff_platform_context context = {
		.server = server,
		.caller = dff_platform_server_handle (server, &instance),
		.request = request,
	};
	dispatch (route, &context, path);
	advance (server);
}

struct dff_platform_server *
dff_platform_server_new (const struct dff_platform_server_options *options)
{
	struct dff_platform_server *server = g_new0 (struct dff_platform_server, 1);
	struct dff_memory_options memory_options = {
		.clock = options->clock,
		.seed = options->seed,
		.instance_lag_ms = options->instance_lag_ms,
		.limits = {.max_rows = MAX_ROWS,
			   .max_row_bytes = MAX_ROW_BYTES,
			   .max_scan_bytes = MAX_SCAN_BYTES,
			   .max_write_ids = MAX_WRITE_IDS,
			   .max_object_bytes = MAX_OBJECT_BYTES},
	};
	server->clock = options->clock;
	server->memory = dff_memory_new (&memory_options);
	server->shared_handle = dff_memory_open (server->memory);
	server->handles = g_hash_table_new_full (dff_name_hash, dff_name_equal_func, g_free,
						 (GDestroyNotify)dff_memory_close);
	server->calls = g_hash_table_new_full (NULL, NULL, g_free, NULL);
	server->timer = evtimer_new (options->base, timer_fired, server);
	server->http = evhttp_new (options->base);
	evhttp_set_max_body_size (server->http, MAX_BODY_BYTES);
	evhttp_set_gencb (server->http, handle_request, server);
	if (dff_http_listen (server->http, &options->listen, &server->address))
		return server;
	dff_platform_server_free (server);
	return NULL;
}

void
dff_platform_server_free (struct dff_platform_server *server)
{
	g_hash_table_unref (server->handles);
	dff_memory_close (server->shared_handle);
	evhttp_free (server->http);
	event_free (server->timer);
	g_hash_table_unref (server->calls);
	dff_memory_free (server->memory);
	g_free (server);
}

struct dff_name
dff_platform_server_address (const struct dff_platform_server *server)
{
	return server->address;
}
