#ifndef DFF_ENTRY_ROUTE_H
#define DFF_ENTRY_ROUTE_H

#include <event2/http.h>

#include "common/str.h"
#include "entry/auth.h"
#include "entry/call.h"

/* The table of HTTP calls, by method and path. */

struct dff_route {
	/** Path; "*" matches one segment, which has to be a name. */
	const char *pattern;
	enum evhttp_cmd_type method;
	enum dff_audience audience;
	/** Answers the call, before or after it returns. */
	void (*handle) (struct dff_call *call);
};

enum dff_route_match {
	DFF_ROUTE_FOUND,
	DFF_ROUTE_NO_PATH,
	/** The path exists, but not with this method. */
	DFF_ROUTE_NO_METHOD,
	/** The segment that "*" matched is not a valid name. */
	DFF_ROUTE_BAD_NAME,
};

/**
 * dff_route_find:
 * @path: decoded path without query
 * @route: (out): the route when found
 * @subject: (out): the segment that "*" matched
 */
enum dff_route_match dff_route_find (enum evhttp_cmd_type method,
				     const char *path,
				     const struct dff_route **route,
				     struct dff_name *subject);

/* Handlers, one file for each group. */
void dff_job_submit (struct dff_call *call);
void dff_job_read (struct dff_call *call);
void dff_job_cancel (struct dff_call *call);
void dff_job_cancel_team (struct dff_call *call);
void dff_batch_read (struct dff_call *call);
void dff_batch_cancel (struct dff_call *call);
void dff_result_read (struct dff_call *call);
void dff_request_submit (struct dff_call *call);
void dff_request_read (struct dff_call *call);
void dff_pool_read (struct dff_call *call);
void dff_pool_write (struct dff_call *call);
void dff_status_read (struct dff_call *call);
void dff_drain_request (struct dff_call *call);
void dff_metrics_read (struct dff_call *call);
void dff_health_read (struct dff_call *call);
void dff_readiness_read (struct dff_call *call);

#endif
