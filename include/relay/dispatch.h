#ifndef DFF_RELAY_DISPATCH_H
#define DFF_RELAY_DISPATCH_H

#include "common/cleanup.h"
#include "common/metrics.h"
#include "common/timer.h"
#include "relay/link.h"
#include "upstream/runner.h"

/*
 * The deciding process's end of the relays: workers as struct dff_runner, with the calls spread
 * over other processes that have connected. Each worker's calls go through one of them, by
 * rendezvous hashing; where a call has no answer the next one of that worker goes through another,
 * and without any relay, or after several such calls, calls go straight to the worker. Calls keep
 * their meaning: each ends once, and one whose relay was lost may have been carried out, or may be
 * later.
 */

struct dff_dispatch;

/** A relay that has connected. */
struct dff_dispatch_relay;

struct dff_dispatch_options {
	const struct dff_timers *timers;
	struct dff_metrics *metrics;
	/** Calls that go straight to the worker. */
	const struct dff_runner *direct;
};

struct dff_dispatch *dff_dispatch_new (const struct dff_dispatch_options *options);

/** Closes all connections. Calls in progress are dropped without calling back. */
void dff_dispatch_free (struct dff_dispatch *dispatch);

DFF_DEFINE_CLEANUP (dff_dispatch, dff_dispatch_free);

/** Returns: (transfer none): the workers, valid as long as @dispatch. */
const struct dff_runner *dff_dispatch_interface (struct dff_dispatch *dispatch);

/** Sets how many relays are taken at the most; those beyond it are turned away. With 0 those that
 * are there are let go of, as this process does not decide any more. */
void dff_dispatch_set_limit (struct dff_dispatch *dispatch, int32_t limit);

/** Returns: how many relays there are. */
int32_t dff_dispatch_n_relays (const struct dff_dispatch *dispatch);

/** Takes in a process that has connected. Returns: (transfer none) (nullable): NULL when there are
 * enough, and @link is closed. */
struct dff_dispatch_relay *dff_dispatch_add (struct dff_dispatch *dispatch,
					     const struct dff_relay_link *link);

/** Takes in a message. One that cannot be read ends the connection. */
void dff_dispatch_receive (struct dff_dispatch_relay *relay, const uint8_t *data, size_t len);

/** The connection has ended: calls that were under way through it end as unknown. */
void dff_dispatch_remove (struct dff_dispatch_relay *relay);

#endif
