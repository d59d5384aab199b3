#ifndef DFF_RELAY_RELAY_H
#define DFF_RELAY_RELAY_H

#include "common/cleanup.h"
#include "common/metrics.h"
#include "common/timer.h"
#include "relay/link.h"
#include "upstream/runner.h"

/*
 * The relay's end of a connection to the holder: executes the holder's calls to workers and sends
 * the answers back. It makes no decisions and stores nothing. The effect of a call that is executed
 * late is bounded by what the call carries: the epoch, the run number and the deadline on the
 * worker's clock.
 */

struct dff_relay;

struct dff_relay_options {
	const struct dff_timers *timers;
	struct dff_metrics *metrics;
	const struct dff_runner *runner;
	/** Name of this process, by which the holder assigns workers to relays. */
	struct dff_name name;
	/** (nullable): no message has arrived from the holder for some time; called repeatedly
	 * until one arrives. */
	void (*holder_silent) (void *ctx);
	void *ctx;
};

struct dff_relay *dff_relay_new (const struct dff_relay_options *options);

/** Calls of the runner must not call back afterwards: the runner must have dropped them or have
 * none in progress. */
void dff_relay_free (struct dff_relay *relay);

DFF_DEFINE_CLEANUP (dff_relay, dff_relay_free);

/** Handles a new connection to the holder. Answers to calls from earlier connections are dropped.
 */
void dff_relay_connected (struct dff_relay *relay, const struct dff_relay_link *link);

/** Handles a message from the holder. A malformed message ends the connection. */
void dff_relay_receive (struct dff_relay *relay, const uint8_t *data, size_t len);

/** Handles the end of the connection. */
void dff_relay_disconnected (struct dff_relay *relay);

/** Announces to the holder that this process is about to stop, so that the holder sends it no
 * further calls. */
void dff_relay_leave (struct dff_relay *relay);

#endif
