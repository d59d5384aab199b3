#ifndef DFF_STANDIN_PLATFORM_HANDLERS_H
#define DFF_STANDIN_PLATFORM_HANDLERS_H

#include <event2/http.h>
#include <jansson.h>
#include <stdbool.h>

#include "backing/memory.h"
#include "standin/platform_server.h"

/* Request handlers of the stand-in platform. */

struct dff_platform_server {
	const struct dff_clock *clock;
	struct evhttp *http;
	struct dff_name address;
	struct dff_memory *memory;
	/** Maps a struct dff_name, the caller's instance, to its struct dff_memory_handle. */
	GHashTable *handles;
	/** For callers without a handle of their own. */
	struct dff_memory_handle *shared_handle;
	/** Faults of handles that are opened later. */
	struct dff_memory_faults faults;
	/** Set of struct call: requests that have not been answered yet. */
	GHashTable *calls;
	struct event *timer;
};

/** Arguments of a request handler. */
struct dff_platform_context {
	struct dff_platform_server *server;
	struct dff_memory_handle *caller;
	struct evhttp_request *request;
	/** (nullable): the body parsed as JSON; NULL: not JSON. */
	json_t *root;
	struct dff_str body;
	/** The part of the path after the route's, decoded. */
	struct dff_str rest;
};

struct dff_platform_route {
	enum evhttp_cmd_type method;
	const char *path;
	/** Whether the path continues with an encoded key. */
	bool has_rest;
	void (*handle) (struct dff_platform_context *context);
};

/** Returns: (nullable): the route for a method and a path. */
const struct dff_platform_route *dff_platform_route_find (enum evhttp_cmd_type method,
							  const char *path);

/** Answers with an error as JSON. */
void dff_platform_reply_error (struct evhttp_request *request, int status, const char *detail);

/** Returns: the handle of @instance, opened on first use, or the shared handle. */
struct dff_memory_handle *dff_platform_server_handle (struct dff_platform_server *server,
						      const struct dff_name *instance);

/** Sets the faults of all handles, including those that are opened later. */
void dff_platform_server_set_faults (struct dff_platform_server *server,
				     const struct dff_memory_faults *faults);

#endif
