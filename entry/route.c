#include "entry/route.h"

#include <string.h>

/* Ordered by pattern and then method for readability. The table is short enough for a linear
 * search. */
static const struct dff_route routes[] = {
	{"/healthz", EVHTTP_REQ_GET, DFF_AUDIENCE_PUBLIC, dff_health_read},
	{"/metrics", EVHTTP_REQ_GET, DFF_AUDIENCE_PUBLIC, dff_metrics_read},
	{"/readyz", EVHTTP_REQ_GET, DFF_AUDIENCE_PUBLIC, dff_readiness_read},
	{"/v1/batches/*", EVHTTP_REQ_GET, DFF_AUDIENCE_TEAM_OR_OPERATOR, dff_batch_read},
	{"/v1/batches/*", EVHTTP_REQ_DELETE, DFF_AUDIENCE_TEAM_OR_OPERATOR, dff_batch_cancel},
	{"/v1/drain", EVHTTP_REQ_POST, DFF_AUDIENCE_OPERATOR, dff_drain_request},
	{"/v1/jobs", EVHTTP_REQ_POST, DFF_AUDIENCE_TEAM, dff_job_submit},
	{"/v1/jobs", EVHTTP_REQ_DELETE, DFF_AUDIENCE_TEAM_OR_OPERATOR, dff_job_cancel_team},
	{"/v1/jobs/*", EVHTTP_REQ_GET, DFF_AUDIENCE_TEAM_OR_OPERATOR, dff_job_read},
	{"/v1/jobs/*", EVHTTP_REQ_DELETE, DFF_AUDIENCE_TEAM_OR_OPERATOR, dff_job_cancel},
	{"/v1/jobs/*/result", EVHTTP_REQ_GET, DFF_AUDIENCE_TEAM, dff_result_read},
	{"/v1/pool", EVHTTP_REQ_GET, DFF_AUDIENCE_OPERATOR, dff_pool_read},
	{"/v1/pool", EVHTTP_REQ_PUT, DFF_AUDIENCE_POOL_WRITER, dff_pool_write},
	{"/v1/requests/*", EVHTTP_REQ_GET, DFF_AUDIENCE_TEAM, dff_request_read},
	{"/v1/services/*/requests", EVHTTP_REQ_POST, DFF_AUDIENCE_TEAM, dff_request_submit},
	{"/v1/status", EVHTTP_REQ_GET, DFF_AUDIENCE_OPERATOR, dff_status_read},
};

/* Returns whether @path matches @pattern. @subject: the segment that '*' matched. */
static bool
match_pattern (const char *pattern, const char *path, struct dff_str *subject)
{
	subject->data = "";
	subject->len = 0;
	const char *star = strchr (pattern, '*');
	if (star == NULL)
		return strcmp (pattern, path) == 0;
	size_t before = (size_t)(star - pattern);
	if (strncmp (pattern, path, before) != 0)
		return false;
	subject->data = path + before;
	subject->len = strcspn (subject->data, "/");
	return strcmp (star + 1, subject->data + subject->len) == 0;
}

enum dff_route_match
dff_route_find (enum evhttp_cmd_type method,
		const char *path,
		const struct dff_route **route,
		struct dff_name *subject)
{
	enum dff_route_match match = DFF_ROUTE_NO_PATH;
	memset (subject, 0, sizeof (*subject));
	*route = NULL;
	for (size_t i = 0; i < G_N_ELEMENTS (routes); i++) {
		struct dff_str segment;
		if (!match_pattern (routes[i].pattern, path, &segment))
			continue;
		if (routes[i].method != method) {
			match = DFF_ROUTE_NO_METHOD;
			continue;
		}
		if (segment.len > 0 && !dff_name_parse (segment, subject))
			return DFF_ROUTE_BAD_NAME;
		if (segment.len == 0 && strchr (routes[i].pattern, '*') != NULL)
			return DFF_ROUTE_BAD_NAME;
		*route = &routes[i];
		return DFF_ROUTE_FOUND;
	}
	return match;
}
