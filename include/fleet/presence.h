#ifndef DFF_FLEET_PRESENCE_H
#define DFF_FLEET_PRESENCE_H

#include <event2/http.h>

#include "common/cleanup.h"
#include "common/clock.h"
#include "common/metrics.h"
#include "holder/holder.h"

/* A process tells its name to others that ask, and asks them. This is how a holder that has ended,
 * or cannot record, is told from one that is merely not heard. */

struct dff_presence;

struct dff_presence_options {
	struct event_base *base;
	const struct dff_clock *clock;
	struct dff_metrics *metrics;
	/** Name of this life of the process. */
	struct dff_name incarnation;
	/** (nullable): the holder of this process. */
	struct dff_holder *holder;
};

struct dff_presence *dff_presence_new (const struct dff_presence_options *options);

void dff_presence_free (struct dff_presence *presence);

DFF_DEFINE_CLEANUP (dff_presence, dff_presence_free);

void dff_presence_set_holder (struct dff_presence *presence, struct dff_holder *holder);

/** Answers those who ask on @http. */
void dff_presence_serve (struct dff_presence *presence, struct evhttp *http);

/** Asks the process at @address whether it is @instance: dff_holder_options.send_probe, with the
 * struct dff_presence as its context. */
void dff_presence_ask (void *ctx,
		       const struct dff_name *address,
		       const struct dff_name *instance,
		       const struct dff_holder_question *question,
		       dff_holder_presence_func done,
		       void *user);

#endif
