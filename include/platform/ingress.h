#ifndef DFF_PLATFORM_INGRESS_H
#define DFF_PLATFORM_INGRESS_H

#include "common/cleanup.h"
#include "common/clock.h"
#include "common/http_server.h"
#include "common/metrics.h"
#include "fleet/config.h"
#include "front/front.h"

/* HTTP server for the platform's callers: maps the platform's paths, headers and status codes to
 * calls of the front. */

struct dff_ingress;

struct dff_ingress_options {
	struct event_base *base;
	const struct dff_clock *clock;
	struct dff_front *front;
	struct dff_metrics *metrics;
	/** Returns: (nullable): the current configuration; NULL: none is known, or the known one is
	 * stale. */
	const struct dff_fleet_config *(*config) (void *ctx);
	void *ctx;
};

struct dff_ingress *dff_ingress_new (const struct dff_ingress_options *options);

void dff_ingress_free (struct dff_ingress *ingress);

DFF_DEFINE_CLEANUP (dff_ingress, dff_ingress_free);

/** Returns: number of calls that have not been answered. */
int32_t dff_ingress_n_open (const struct dff_ingress *ingress);

/** Answers all requests that arrive at @server. */
void dff_ingress_serve (struct dff_ingress *ingress, struct dff_http_server *server);

#endif
