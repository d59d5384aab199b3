#ifndef DFF_FLEET_STATE_LINK_H
#define DFF_FLEET_STATE_LINK_H

#include <event2/event.h>
#include <event2/http.h>

#include "common/cleanup.h"
#include "common/clock.h"
#include "common/metrics.h"
#include "front/front.h"
#include "holder/holder.h"

/* Questions about jobs' states from any process to the one that decides, over HTTP. */

struct dff_state_link;

struct dff_state_link_options {
	struct event_base *base;
	const struct dff_clock *clock;
	struct dff_metrics *metrics;
	/** The process that decides has not answered, or does not decide any more. */
	void (*holder_lost) (void *ctx);
	/** It names another one, which is asked from now on. */
	void (*holder_moved) (void *ctx, const struct dff_name *address);
	void *ctx;
};

/** Returns: (transfer full): @options is copied. */
struct dff_state_link *dff_state_link_new (const struct dff_state_link_options *options);

/** Drops questions in progress without calling back. */
void dff_state_link_free (struct dff_state_link *link);

DFF_DEFINE_CLEANUP (dff_state_link, dff_state_link_free);

/** Sets the holder of this process, before anything is asked. */
void dff_state_link_set_local_holder (struct dff_state_link *link, struct dff_holder *holder);

/** Tells which process decides: @address empty: none is known, or this one if @self. */
void dff_state_link_set_holder_address (struct dff_state_link *link,
					const struct dff_name *address,
					bool self);

/** Asks the process that decides; for struct dff_front_options, with the link as @ctx. */
bool
dff_state_link_query (void *ctx, const struct dff_name *job, dff_front_state_func done, void *user);

/** Answers other processes' questions. */
void dff_state_link_serve (struct dff_state_link *link, struct evhttp *http);

#endif
