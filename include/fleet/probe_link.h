#ifndef DFF_FLEET_PROBE_LINK_H
#define DFF_FLEET_PROBE_LINK_H

#include "common/cleanup.h"
#include "common/clock.h"
#include "common/http_server.h"
#include "common/metrics.h"
#include "holder/holder.h"

/* Probes between processes: a process asks another for the name of its incarnation. The answer
 * distinguishes a holder that has ended, or cannot write to the store, from one that is merely
 * unreachable. */

struct dff_probe_link;

struct dff_probe_link_options {
	struct event_base *base;
	const struct dff_clock *clock;
	struct dff_metrics *metrics;
	/** Name of this incarnation of the process. */
	struct dff_name incarnation;
	/** (nullable): the holder module of this process. */
	struct dff_holder *holder;
};

struct dff_probe_link *dff_probe_link_new (const struct dff_probe_link_options *options);

void dff_probe_link_free (struct dff_probe_link *link);

DFF_DEFINE_CLEANUP (dff_probe_link, dff_probe_link_free);

void dff_probe_link_set_local_holder (struct dff_probe_link *link, struct dff_holder *holder);

/** Answers probes that arrive on @http. */
void dff_probe_link_serve (struct dff_probe_link *link, struct dff_http_server *server);

/** Probes the process at @address and compares its incarnation with @incarnation. Implements
 * dff_holder_options.send_probe; @ctx is the struct dff_probe_link. */
void dff_probe_link_send (void *ctx,
			  const struct dff_name *address,
			  const struct dff_name *incarnation,
			  const struct dff_holder_probe *probe,
			  dff_holder_probe_func done,
			  void *user);

#endif
