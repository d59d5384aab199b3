#ifndef DFF_FLEET_RELAYS_H
#define DFF_FLEET_RELAYS_H

#include <event2/event.h>

#include "common/cleanup.h"
#include "common/metrics.h"
#include "common/timer.h"
#include "upstream/runner.h"

/* Both ends of the relays of one process, over TCP: it takes in relays while it decides, and is one
 * while another process does. */

struct dff_fleet_relays;

struct dff_fleet_relays_options {
	struct event_base *base;
	const struct dff_timers *timers;
	struct dff_metrics *metrics;
	/** Calls that go straight to the worker. */
	const struct dff_runner *direct;
	/** Name of this life of the process. */
	struct dff_name incarnation;
	struct dff_name address;
	/** The connection to the process that decides has ended. */
	void (*holder_lost) (void *ctx);
	void *ctx;
};

/** Returns: (transfer full) (nullable): NULL when the address cannot be bound. */
struct dff_fleet_relays *dff_fleet_relays_new (const struct dff_fleet_relays_options *options);

void dff_fleet_relays_free (struct dff_fleet_relays *relays);

DFF_DEFINE_CLEANUP (dff_fleet_relays, dff_fleet_relays_free);

/** Returns: (transfer none): the workers, through relays where there are some. */
const struct dff_runner *dff_fleet_relays_runner (struct dff_fleet_relays *relays);

/** dff_holder_options.relay_connect, with the struct dff_fleet_relays as its context. */
void dff_fleet_relays_connect (void *ctx, const struct dff_name *address, int32_t n_relays);

/** dff_holder_options.relay_set_limit, likewise. */
void dff_fleet_relays_set_limit (void *ctx, int32_t n_relays);

/** This process is about to stop: it carries no further calls. */
void dff_fleet_relays_leave (struct dff_fleet_relays *relays);

#endif
