#ifndef DFF_FLEET_STATE_LINK_H
#define DFF_FLEET_STATE_LINK_H

#include <event2/event.h>

#include "common/cleanup.h"
#include "common/clock.h"
#include "common/http_server.h"
#include "common/metrics.h"
#include "front/front.h"
#include "holder/holder.h"

/* Forwards state queries from any process to the holder, over HTTP. */

struct dff_state_link;

struct dff_state_link_options {
	struct event_base *base;
	const struct dff_clock *clock;
	struct dff_metrics *metrics;
	/** The holder has not answered, or is not the holder any more. */
	void (*holder_lost) (void *ctx);
	/** The process that was addressed as the holder answered with another address, which is
	 * used from now on. */
	void (*holder_moved) (void *ctx, const struct dff_name *address);
	void *ctx;
};

/** Returns: (transfer full): @options is copied. */
struct dff_state_link *dff_state_link_new (const struct dff_state_link_options *options);

/** Drops queries in progress without calling back. */
void dff_state_link_free (struct dff_state_link *link);

DFF_DEFINE_CLEANUP (dff_state_link, dff_state_link_free);

/** Sets the holder module of this process. To be called before the first query. */
void dff_state_link_set_local_holder (struct dff_state_link *link, struct dff_holder *holder);

/** Sets the address of the holder. @address is empty if no holder is known, or if @self: this
 * process is the holder. */
void dff_state_link_set_holder_address (struct dff_state_link *link,
					const struct dff_name *address,
					bool self);

/** Queries the holder. Implements dff_front_options.query_state; @ctx is the struct dff_state_link.
 */
bool
dff_state_link_query (void *ctx, const struct dff_name *job, dff_front_state_func done, void *user);

/** Answers the queries of other processes. */
void dff_state_link_serve (struct dff_state_link *link, struct dff_http_server *server);

#endif
