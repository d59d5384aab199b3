#ifndef DFF_STANDIN_PLATFORM_HANDLERS_H
#define DFF_STANDIN_PLATFORM_HANDLERS_H

#include <event2/http.h>
#include <jansson.h>
#include <stdbool.h>

#include "backing/memory.h"
#include "standin/platform_server.h"

/* The requests that the stand-in platform answers. */

struct dff_platform_server {
	const struct dff_clock *clock;
	struct evhttp *http;
	struct dff_name address;
	struct dff_memory *memory;
	/** struct dff_name to struct dff_memory_handle. */
	GHashTable *handles;
	struct dff_memory_handle *shared_handle;
	/** For handles that are opened later. */
	struct dff_memory_faults faults;
	/** Requests whose answer is on its way, a set. */
	GHashTable *calls;
	struct event *timer;
};

/** What a handler gets. */
struct dff_platform_context {
	struct dff_platform_server *server;
	struct dff_memory_handle *caller;
	struct evhttp_request *request;
	/** (nullable): the body when it is JSON. */
	json_t *root;
	struct dff_str body;
	/** The decoded rest of the path after the route's. */
	struct dff_str rest;
};

struct dff_platform_route {
	enum evhttp_cmd_type method;
	const char *path;
	/** The path goes on with an encoded key. */
	bool has_rest;
	void (*handle) (struct dff_platform_context *context);
};

/** Returns: (nullable): the route of a request. */
const struct dff_platform_route *dff_platform_route_find (enum evhttp_cmd_type method,
							  const char *path);

/** Answers with an error as JSON. */
void dff_platform_reply_error (struct evhttp_request *request, int status, const char *detail);

/** Returns: the handle of @instance, which is opened when it is new. */
struct dff_memory_handle *dff_platform_server_handle (struct dff_platform_server *server,
						      const struct dff_name *instance);

/** Sets the faults of every handle, and of those opened later. */
void dff_platform_server_set_faults (struct dff_platform_server *server,
				     const struct dff_memory_faults *faults);

#endif
