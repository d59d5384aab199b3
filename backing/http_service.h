#ifndef DFF_BACKING_HTTP_SERVICE_H
#define DFF_BACKING_HTTP_SERVICE_H

#include <jansson.h>

#include "backing/http.h"

/* Common to the HTTP clients of the table, the object store and the instance list: sends calls and
 * keeps those without an answer. */

struct dff_http_service {
	struct dff_http_service_options options;
	/** Set of struct dff_http_call without an answer; freed with the service. */
	GHashTable *calls;
};

enum dff_http_call_kind {
	DFF_HTTP_CALL_READ,
	DFF_HTTP_CALL_COMMIT,
	DFF_HTTP_CALL_LOOKUP,
	DFF_HTTP_CALL_PUT,
	DFF_HTTP_CALL_LIST,
	DFF_HTTP_CALL_ANNOUNCE,
};

/** A call that has not been answered yet. */
struct dff_http_call {
	struct dff_http_service *service;
	enum dff_http_call_kind kind;
	dff_table_func table_done;
	dff_object_func object_done;
	dff_instance_list_func list_done;
	void *user;
	/** (nullable): entity tag of the cached copy, sent as If-None-Match. */
	const char *known_tag;
};

void dff_http_service_init (struct dff_http_service *service,
			    const struct dff_http_service_options *options);

void dff_http_service_clear (struct dff_http_service *service);

/** Returns: a call owned by @service until dff_http_call_end(). */
struct dff_http_call *
dff_http_call_begin (struct dff_http_service *service, enum dff_http_call_kind kind, void *user);

/** Frees @call. To be called after its callback. */
void dff_http_call_end (struct dff_http_call *call);

/** Sends @body; @done is called with @call as its user. */
void dff_http_call_send (struct dff_http_call *call,
			 enum evhttp_cmd_type method,
			 const char *path,
			 struct dff_str body,
			 dff_http_func done);

/** Sends @body (transfer full) as JSON with POST. */
void dff_http_call_send_json (struct dff_http_call *call,
			      const char *path,
			      json_t *body,
			      dff_http_func done);

#endif
