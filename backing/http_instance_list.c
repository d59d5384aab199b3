#include "backing/http_service.h"
#include "backing/instance_wire.h"
#include "common/log.h"

#define INSTANCES_PATH "/v1/instances"

struct dff_http_instance_list {
	/** First member: list_of() casts a call's service to the list. */
	struct dff_http_service service;
	struct dff_instance_list interface;
	/** (nullable): the last list received, and its entity tag. */
	GArray *instances;
	char *tag;
};

/* Returns: (nullable): array of struct dff_instance; NULL when @body is malformed. */
static GArray *
parse_instances (struct dff_str body)
{
	json_t *root = json_loadb (body.data, body.len, 0, NULL);
	const json_t *array = json_object_get (root, "instances");
	GArray *instances = g_array_new (FALSE, FALSE, sizeof (struct dff_instance));
	bool valid = json_is_array (array);
	for (size_t i = 0; i < json_array_size (array); i++) {
		struct dff_instance instance;
		valid = dff_instance_wire_from_json (json_array_get (array, i), &instance) && valid;
		g_array_append_val (instances, instance);
	}
	json_decref (root);
	if (valid)
		return instances;
	dff_log (DFF_LOG_PLATFORM, DFF_LOG_ERROR,
		 "Response of the instance list service is malformed.");
	g_array_unref (instances);
	return NULL;
}

static void
cache_list (struct dff_http_instance_list *list, GArray *instances, const char *tag)
{
	g_clear_pointer (&list->instances, g_array_unref);
	g_clear_pointer (&list->tag, g_free);
	list->instances = g_array_ref (instances);
	list->tag = g_strdup (tag);
}

/* Returns: (nullable): the list in @response, or the cached one for 304; NULL: the call failed. */
static GArray *
list_from_response (struct dff_http_instance_list *list, const struct dff_http_response *response)
{
	if (response->outcome != DFF_HTTP_ANSWERED)
		return NULL;
	if (response->status == HTTP_NOTMODIFIED && list->instances != NULL)
		return g_array_ref (list->instances);
	GArray *instances = response->status == HTTP_OK ? parse_instances (response->body) : NULL;
	if (instances != NULL)
		cache_list (list, instances, evhttp_find_header (response->headers, "ETag"));
	return instances;
}

static struct dff_http_instance_list *
list_of (const struct dff_http_call *call)
{
	return (struct dff_http_instance_list *)call->service;
}

static void
handle_list (void *user, const struct dff_http_response *response)
{
	struct dff_http_call *call = user;
	struct dff_http_instance_list *list = list_of (call);
	g_autoptr (GArray) instances = list_from_response (list, response);
	struct dff_instance_list_result result = {.ok = instances != NULL};
	if (instances != NULL) {
		result.instances = (const struct dff_instance *)instances->data;
		result.n_instances = instances->len;
	}
	call->list_done (call->user, &result);
	dff_http_call_end (call);
}

/* Sends the entity tag of the cached list, so that the service returns only a changed list. The
 * list is polled each second, rarely changes, and has 90 KB for a region with 360 workers. */
static void
list_instances (void *ctx, dff_instance_list_func done, void *user)
{
	struct dff_http_instance_list *list = ctx;
	struct dff_http_call *call = dff_http_call_begin (&list->service, DFF_HTTP_CALL_LIST, user);
	call->list_done = done;
	call->known_tag = list->tag;
	dff_http_call_send (call, EVHTTP_REQ_GET, INSTANCES_PATH, (struct dff_str){0}, handle_list);
}

static void
handle_announced (void *user, const struct dff_http_response *response)
{
	struct dff_http_call *call = user;
	if (response->outcome != DFF_HTTP_ANSWERED || response->status != 200)
		dff_log (DFF_LOG_PLATFORM, DFF_LOG_WARNING, "Announcing instance failed. status=%d",
			 response->status);
	dff_http_call_end (call);
}

static void
announce (void *ctx, const struct dff_instance *instance, int32_t ttl_ms)
{
	struct dff_http_instance_list *list = ctx;
	struct dff_http_call *call =
		dff_http_call_begin (&list->service, DFF_HTTP_CALL_ANNOUNCE, NULL);
	json_t *root = dff_instance_wire_to_json (instance);
	json_object_set_new (root, "ttl_ms", json_integer (ttl_ms));
	dff_http_call_send_json (call, INSTANCES_PATH, root, handle_announced);
}

struct dff_http_instance_list *
dff_http_instance_list_new (const struct dff_http_service_options *options)
{
	struct dff_http_instance_list *list = g_new0 (struct dff_http_instance_list, 1);
	dff_http_service_init (&list->service, options);
	list->interface.list = list_instances;
	list->interface.announce = announce;
	list->interface.ctx = list;
	return list;
}

void
dff_http_instance_list_free (struct dff_http_instance_list *list)
{
	dff_http_service_clear (&list->service);
	g_clear_pointer (&list->instances, g_array_unref);
	g_free (list->tag);
	g_free (list);
}

const struct dff_instance_list *
dff_http_instance_list_interface (struct dff_http_instance_list *list)
{
	return &list->interface;
}
