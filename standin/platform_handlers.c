#include "standin/platform_handlers.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "backing/instance_wire.h"
#include "backing/table_wire.h"
#include "common/digest.h"
#include "common/log.h"
#include "standin/platform_faults.h"

#define OBJECTS_PATH "/v1/objects/"
#define ETAG_DIGITS 16
#define INSTANCES_PATH "/v1/instances/"

/** A request that has not been answered yet. */
struct call {
	struct dff_platform_server *server;
	struct evhttp_request *request;
};

static int64_t
now_ms (const struct dff_platform_server *server)
{
	return dff_clock_now_ms (server->clock);
}

static void
reply_json (struct evhttp_request *request, int status, json_t *root)
{
	struct evbuffer *output = evhttp_request_get_output_buffer (request);
	struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
	char *text = json_dumps (root, JSON_COMPACT);
	evbuffer_add (output, text, strlen (text));
	free (text);
	json_decref (root);
	evhttp_add_header (headers, "Content-Type", "application/json");
	evhttp_send_reply (request, status, NULL, NULL);
}

void
dff_platform_reply_error (struct evhttp_request *request, int status, const char *detail)
{
	reply_json (request, status, json_pack ("{s:s}", "error", detail));
}

/* Closes the connection without an answer: the caller cannot tell whether the call took effect. */
static void
drop_connection (struct evhttp_request *request)
{
	struct evhttp_connection *connection = evhttp_request_get_connection (request);
	if (connection != NULL) {
		struct bufferevent *bev = evhttp_connection_get_bufferevent (connection);
		shutdown (bufferevent_getfd (bev), SHUT_RDWR);
	}
	/* evhttp finds the socket shut down, and frees the connection and the request. */
	evhttp_send_reply (request, HTTP_SERVUNAVAIL, NULL, NULL);
}

static struct call *
begin_call (const struct dff_platform_context *context)
{
	struct call *call = g_new (struct call, 1);
	call->server = context->server;
	call->request = context->request;
	g_hash_table_add (context->server->calls, call);
	return call;
}

static void
end_call (struct call *call)
{
	g_hash_table_remove (call->server->calls, call);
}

static void
answer_table (void *user, const struct dff_table_result *result)
{
	struct call *call = user;
	switch (result->outcome) {
	case DFF_TABLE_OK:
		reply_json (call->request, 200, dff_table_wire_result_to_json (result));
		break;
	case DFF_TABLE_CONFLICT:
		reply_json (call->request, 409, dff_table_wire_result_to_json (result));
		break;
	case DFF_TABLE_UNAVAILABLE:
		dff_platform_reply_error (call->request, 503, "unavailable");
		break;
	case DFF_TABLE_UNCERTAIN:
		drop_connection (call->request);
		break;
	}
	end_call (call);
}

static bool
is_string_array (const json_t *array)
{
	for (size_t i = 0; i < json_array_size (array); i++) {
		if (!json_is_string (json_array_get (array, i)))
			return false;
	}
	return json_is_array (array);
}

static void
handle_get (struct dff_platform_context *context)
{
	const json_t *array = json_object_get (context->root, "keys");
	size_t n_keys = json_array_size (array);
	if (!is_string_array (array)) {
		dff_platform_reply_error (context->request, 400, "keys: expected strings");
		return;
	}
	g_autofree struct dff_str *keys = g_new (struct dff_str, n_keys + 1);
	for (size_t i = 0; i < n_keys; i++)
		keys[i] = dff_wire_str (json_array_get (array, i));
	const struct dff_table *table = &context->caller->table;
	table->get (table->ctx, keys, n_keys, answer_table, begin_call (context));
}

static void
handle_scan (struct dff_platform_context *context)
{
	struct dff_str prefix = dff_wire_str (json_object_get (context->root, "prefix"));
	const json_t *after = json_object_get (context->root, "after");
	json_int_t limit = json_integer_value (json_object_get (context->root, "limit"));
	if (prefix.data == NULL || !json_is_integer (after) || limit <= 0) {
		dff_platform_reply_error (context->request, 400,
					  "expected prefix, after and limit");
		return;
	}
	const struct dff_table *table = &context->caller->table;
	table->scan (table->ctx, prefix, json_integer_value (after), (size_t)limit, answer_table,
		     begin_call (context));
}

static void
handle_commit (struct dff_platform_context *context)
{
	struct dff_table_wire_txn parsed;
	if (dff_table_wire_txn_from_json (context->root, &parsed)) {
		const struct dff_table *table = &context->caller->table;
		table->commit (table->ctx, &parsed.txn, answer_table, begin_call (context));
	} else {
		dff_platform_reply_error (context->request, 400, "expected a transaction");
	}
	dff_table_wire_txn_clear (&parsed);
}

static void
handle_lookup (struct dff_platform_context *context)
{
	struct dff_name write_id;
	if (!dff_wire_name (json_object_get (context->root, "write_id"), &write_id)) {
		dff_platform_reply_error (context->request, 400,
					  "write_id: expected an identifier");
		return;
	}
	const struct dff_table *table = &context->caller->table;
	table->lookup (table->ctx, &write_id, answer_table, begin_call (context));
}

static void
answer_object (void *user, const struct dff_object_result *result)
{
	struct call *call = user;
	struct evbuffer *output = evhttp_request_get_output_buffer (call->request);
	switch (result->outcome) {
	case DFF_OBJECT_OK:
		evbuffer_add (output, result->data.data, result->data.len);
		evhttp_send_reply (call->request, 200, NULL, NULL);
		break;
	case DFF_OBJECT_NOT_FOUND:
		dff_platform_reply_error (call->request, 404, "no such object");
		break;
	case DFF_OBJECT_UNAVAILABLE:
		dff_platform_reply_error (call->request, 503, "unavailable");
		break;
	}
	end_call (call);
}

static void
handle_put_object (struct dff_platform_context *context)
{
	const struct dff_object_store *objects = &context->caller->objects;
	objects->put (objects->ctx, context->rest, context->body, answer_object,
		      begin_call (context));
}

static void
handle_get_object (struct dff_platform_context *context)
{
	const struct dff_object_store *objects = &context->caller->objects;
	objects->get (objects->ctx, context->rest, answer_object, begin_call (context));
}

/* Sends @list, or 304 Not Modified when the caller already has it (If-None-Match). */
static void
reply_list (struct evhttp_request *request, json_t *list)
{
	g_autofree char *text = json_dumps (list, JSON_COMPACT);
	json_decref (list);
	char digest[DFF_DIGEST_HEX_LEN + 1];
	dff_digest_hex (dff_str_from (text), digest);
	g_autofree char *tag = g_strdup_printf ("\"%.*s\"", ETAG_DIGITS, digest);
	const char *known =
		evhttp_find_header (evhttp_request_get_input_headers (request), "If-None-Match");
	struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
	evhttp_add_header (headers, "ETag", tag);
	if (known != NULL && strcmp (known, tag) == 0) {
		evhttp_send_reply (request, HTTP_NOTMODIFIED, NULL, NULL);
		return;
	}
	evhttp_add_header (headers, "Content-Type", "application/json");
	evbuffer_add (evhttp_request_get_output_buffer (request), text, strlen (text));
	evhttp_send_reply (request, HTTP_OK, NULL, NULL);
}

static void
answer_instances (void *user, const struct dff_instance_list_result *result)
{
	struct call *call = user;
	json_t *array = json_array ();
	for (size_t i = 0; i < result->n_instances; i++)
		json_array_append_new (array, dff_instance_wire_to_json (&result->instances[i]));
	json_t *root = json_pack ("{s:o}", "instances", array);
	if (result->ok) {
		reply_list (call->request, root);
	} else {
		json_decref (root);
		dff_platform_reply_error (call->request, 503, "unavailable");
	}
	end_call (call);
}

static void
handle_list (struct dff_platform_context *context)
{
	const struct dff_instance_list *instances = &context->caller->instances;
	instances->list (instances->ctx, answer_instances, begin_call (context));
}

static void
handle_announce (struct dff_platform_context *context)
{
	struct dff_instance instance;
	json_int_t ttl_ms = json_integer_value (json_object_get (context->root, "ttl_ms"));
	const struct dff_memory_faults *faults = &context->caller->faults;
	if (!dff_instance_wire_from_json (context->root, &instance) || ttl_ms < 0 ||
	    ttl_ms > INT32_MAX) {
		dff_platform_reply_error (context->request, 400, "expected an instance");
		return;
	}
	if (now_ms (context->server) < faults->silent_until_ms) {
		drop_connection (context->request);
		return;
	}
	if (now_ms (context->server) < faults->outage_until_ms) {
		dff_platform_reply_error (context->request, 503, "unavailable");
		return;
	}
	dff_memory_announce (context->server->memory, &instance, (int32_t)ttl_ms);
	reply_json (context->request, 200, json_object ());
}

static void
handle_remove_instance (struct dff_platform_context *context)
{
	struct dff_name id;
	if (!dff_name_parse (context->rest, &id)) {
		dff_platform_reply_error (context->request, 400, "expected an identifier");
		return;
	}
	dff_memory_remove_instance (context->server->memory, &id);
	reply_json (context->request, 200, json_object ());
}

static void
handle_set_faults (struct dff_platform_context *context)
{
	struct dff_platform_server *server = context->server;
	struct dff_memory_faults faults;
	struct dff_name instance;
	if (!dff_platform_faults_from_json (context->root, now_ms (server), &faults)) {
		dff_platform_reply_error (context->request, 400, "expected faults");
		return;
	}
	if (dff_wire_name (json_object_get (context->root, "instance"), &instance))
		dff_platform_server_handle (server, &instance)->faults = faults;
	else
		dff_platform_server_set_faults (server, &faults);
	dff_log (DFF_LOG_STANDIN, DFF_LOG_INFO, "Injected faults changed.");
	reply_json (context->request, 200, json_object ());
}

static void
handle_counters (struct dff_platform_context *context)
{
	struct dff_memory_counts counts = dff_memory_counts (context->server->memory);
	reply_json (context->request, 200, dff_platform_counts_to_json (&counts));
}

static const struct dff_platform_route routes[] = {
	{EVHTTP_REQ_POST, "/v1/table/get", false, handle_get},
	{EVHTTP_REQ_POST, "/v1/table/scan", false, handle_scan},
	{EVHTTP_REQ_POST, "/v1/table/commit", false, handle_commit},
	{EVHTTP_REQ_POST, "/v1/table/lookup", false, handle_lookup},
	{EVHTTP_REQ_PUT, OBJECTS_PATH, true, handle_put_object},
	{EVHTTP_REQ_GET, OBJECTS_PATH, true, handle_get_object},
	{EVHTTP_REQ_GET, "/v1/instances", false, handle_list},
	{EVHTTP_REQ_POST, "/v1/instances", false, handle_announce},
	{EVHTTP_REQ_DELETE, INSTANCES_PATH, true, handle_remove_instance},
	{EVHTTP_REQ_POST, "/admin/faults", false, handle_set_faults},
	{EVHTTP_REQ_GET, "/admin/counters", false, handle_counters},
};

const struct dff_platform_route *
dff_platform_route_find (enum evhttp_cmd_type method, const char *path)
{
	for (size_t i = 0; i < G_N_ELEMENTS (routes); i++) {
		const struct dff_platform_route *route = &routes[i];
		bool matches = route->has_rest ? g_str_has_prefix (path, route->path)
					       : strcmp (path, route->path) == 0;
		if (matches && method == route->method)
			return route;
	}
	return NULL;
}
