#ifndef DFF_RELAY_DISPATCH_H
#define DFF_RELAY_DISPATCH_H

#include "common/cleanup.h"
#include "common/metrics.h"
#include "common/timer.h"
#include "relay/link.h"
#include "upstream/runner.h"

/*
 * The holder's end of the relays: an implementation of struct dff_runner that distributes calls to
 * workers over other processes, the relays, which have connected to the holder. The relay for a
 * worker is chosen by rendezvous hashing. When a call to a worker is not answered, the next call to
 * this worker goes through another relay. Calls go directly to the worker if no relay is connected,
 * and after several calls without an answer. As with any runner, each call ends exactly once, and a
 * call whose relay was lost may have been executed or may be executed later.
 */

struct dff_dispatch;

/** A connected relay. */
struct dff_dispatch_relay;

struct dff_dispatch_options {
	const struct dff_timers *timers;
	struct dff_metrics *metrics;
	/** Runner for the calls that go directly to the worker. */
	const struct dff_runner *direct;
};

struct dff_dispatch *dff_dispatch_new (const struct dff_dispatch_options *options);

/** Closes all connections. Calls in progress are dropped without a callback. */
void dff_dispatch_free (struct dff_dispatch *dispatch);

DFF_DEFINE_CLEANUP (dff_dispatch, dff_dispatch_free);

/** Returns: (transfer none): the runner that uses the relays, valid as long as @dispatch. */
const struct dff_runner *dff_dispatch_interface (struct dff_dispatch *dispatch);

/** Sets the maximum number of relays; further connections are closed. With 0, which is set when
 * this process is no longer the holder, all relays are disconnected. */
void dff_dispatch_set_limit (struct dff_dispatch *dispatch, int32_t limit);

/** Returns: the number of connected relays. */
int32_t dff_dispatch_n_relays (const struct dff_dispatch *dispatch);

/** Adds a process that has connected as a relay. Returns: (transfer none) (nullable): the relay;
 * NULL if the maximum number is reached, in which case @link is closed. */
struct dff_dispatch_relay *dff_dispatch_add (struct dff_dispatch *dispatch,
					     const struct dff_relay_link *link);

/** Handles a message from a relay. A malformed message ends the connection. */
void dff_dispatch_receive (struct dff_dispatch_relay *relay, const uint8_t *data, size_t len);

/** Handles the end of a relay's connection: calls in progress through it end with
 * DFF_RUNNER_UNKNOWN. */
void dff_dispatch_remove (struct dff_dispatch_relay *relay);

#endif
