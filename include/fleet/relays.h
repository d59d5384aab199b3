#ifndef DFF_FLEET_RELAYS_H
#define DFF_FLEET_RELAYS_H

#include <event2/event.h>

#include "common/cleanup.h"
#include "common/metrics.h"
#include "common/timer.h"
#include "upstream/runner.h"

/* Both ends of the relay connections of one process, over TCP. While this process is the holder, it
 * accepts relays; while another process is, this process acts as a relay for it. */

struct dff_fleet_relays;

struct dff_fleet_relays_options {
	struct event_base *base;
	const struct dff_timers *timers;
	struct dff_metrics *metrics;
	/** Runner that calls workers directly. */
	const struct dff_runner *direct;
	/** Name of this incarnation of the process. */
	struct dff_name incarnation;
	struct dff_name address;
	/** The connection to the holder has ended. */
	void (*holder_lost) (void *ctx);
	void *ctx;
};

/** Returns: (transfer full) (nullable): NULL when the address cannot be bound. */
struct dff_fleet_relays *dff_fleet_relays_new (const struct dff_fleet_relays_options *options);

void dff_fleet_relays_free (struct dff_fleet_relays *relays);

DFF_DEFINE_CLEANUP (dff_fleet_relays, dff_fleet_relays_free);

/** Returns: (transfer none): a runner that calls workers through relays where there are any. */
const struct dff_runner *dff_fleet_relays_runner (struct dff_fleet_relays *relays);

/** Implements dff_holder_options.relay_connect; @ctx is the struct dff_fleet_relays. */
void dff_fleet_relays_connect (void *ctx, const struct dff_name *address, int32_t n_relays);

/** Implements dff_holder_options.relay_set_limit, likewise. */
void dff_fleet_relays_set_limit (void *ctx, int32_t n_relays);

/** Stops relaying: this process is about to stop and carries no further calls. */
void dff_fleet_relays_leave (struct dff_fleet_relays *relays);

#endif
