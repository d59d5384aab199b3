#include "backing/http_service.h"

#define OBJECTS_PATH "/v1/objects/"

struct dff_http_object_store {
	struct dff_http_service service;
	struct dff_object_store interface;
};

static enum dff_object_outcome
outcome (const struct dff_http_call *call, const struct dff_http_response *response)
{
	if (response->outcome != DFF_HTTP_ANSWERED)
		return DFF_OBJECT_UNAVAILABLE;
	if (response->status == 200)
		return DFF_OBJECT_OK;
	if (response->status == 404 && call->kind == DFF_HTTP_CALL_READ)
		return DFF_OBJECT_NOT_FOUND;
	return DFF_OBJECT_UNAVAILABLE;
}

static void
handle_response (void *user, const struct dff_http_response *response)
{
	struct dff_http_call *call = user;
	struct dff_object_result result = {.outcome = outcome (call, response)};
	if (result.outcome == DFF_OBJECT_OK && call->kind == DFF_HTTP_CALL_READ)
		result.data = response->body;
	call->object_done (call->user, &result);
	dff_http_call_end (call);
}

static void
send_call (struct dff_http_call *call,
	   enum evhttp_cmd_type method,
	   struct dff_str key,
	   struct dff_str data)
{
	char *encoded = evhttp_uriencode (key.data, (ev_ssize_t)key.len, 0);
	g_autofree char *path = g_strconcat (OBJECTS_PATH, encoded, NULL);
	free (encoded);
	dff_http_call_send (call, method, path, data, handle_response);
}

static void
object_put (void *ctx, struct dff_str key, struct dff_str data, dff_object_func done, void *user)
{
	struct dff_http_object_store *store = ctx;
	struct dff_http_call *call = dff_http_call_begin (&store->service, DFF_HTTP_CALL_PUT, user);
	call->object_done = done;
	send_call (call, EVHTTP_REQ_PUT, key, data);
}

static void
object_get (void *ctx, struct dff_str key, dff_object_func done, void *user)
{
	struct dff_http_object_store *store = ctx;
	struct dff_http_call *call =
		dff_http_call_begin (&store->service, DFF_HTTP_CALL_READ, user);
	call->object_done = done;
	send_call (call, EVHTTP_REQ_GET, key, (struct dff_str){0});
}

struct dff_http_object_store *
dff_http_object_store_new (const struct dff_http_service_options *options)
{
	struct dff_http_object_store *store = g_new0 (struct dff_http_object_store, 1);
	dff_http_service_init (&store->service, options);
	store->interface.put = object_put;
	store->interface.get = object_get;
	store->interface.ctx = store;
	return store;
}

void
dff_http_object_store_free (struct dff_http_object_store *store)
{
	dff_http_service_clear (&store->service);
	g_free (store);
}

const struct dff_object_store *
dff_http_object_store_interface (struct dff_http_object_store *store)
{
	return &store->interface;
}
