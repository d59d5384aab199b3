#ifndef DFF_FLEET_INTAKE_LINK_H
#define DFF_FLEET_INTAKE_LINK_H

#include "common/cleanup.h"
#include "common/http_server.h"
#include "common/metrics.h"
#include "front/intake.h"

/* Forwards rows from one process to the holder, over HTTP on the readiness address. */

struct dff_intake_link;

struct dff_intake_link *dff_intake_link_new (struct event_base *base, struct dff_metrics *metrics);

void dff_intake_link_free (struct dff_intake_link *link);

DFF_DEFINE_CLEANUP (dff_intake_link, dff_intake_link_free);

/** Implements dff_intake_options.forward; @ctx is the struct dff_intake_link. */
void dff_intake_link_forward (void *ctx,
			      const struct dff_name *address,
			      const struct dff_intake_row *row,
			      dff_intake_forward_func done,
			      void *user);

/** Passes rows that arrive on @http to @intake. */
void dff_intake_link_serve (struct dff_intake *intake, struct dff_http_server *server);

#endif
