#ifndef DFF_RELAY_RELAY_H
#define DFF_RELAY_RELAY_H

#include "common/cleanup.h"
#include "common/metrics.h"
#include "common/timer.h"
#include "relay/link.h"
#include "upstream/runner.h"

/*
 * The other end: carries out the calls of the process that decides, and sends their answers back.
 * It decides nothing and keeps nothing. What a call may do when it is carried out late is bounded
 * by what the call itself carries: the epoch, the run's number and the deadline on the worker's
 * clock.
 */

struct dff_relay;

struct dff_relay_options {
	const struct dff_timers *timers;
	struct dff_metrics *metrics;
	const struct dff_runner *runner;
	/** Name of this process, by which workers are shared out. */
	struct dff_name name;
	/** (nullable): nothing was heard of the process that decides for a while; told again and
	 * again. */
	void (*holder_silent) (void *ctx);
	void *ctx;
};

struct dff_relay *dff_relay_new (const struct dff_relay_options *options);

/** The runner must have dropped its calls by then, or have none: they do not call back any more. */
void dff_relay_free (struct dff_relay *relay);

DFF_DEFINE_CLEANUP (dff_relay, dff_relay_free);

/** Serves a process through a new connection; answers to calls of an earlier one are dropped. */
void dff_relay_connected (struct dff_relay *relay, const struct dff_relay_link *link);

/** Takes in a message. One that cannot be read ends the connection. */
void dff_relay_receive (struct dff_relay *relay, const uint8_t *data, size_t len);

/** The connection has ended. */
void dff_relay_disconnected (struct dff_relay *relay);

/** Tells that this process is about to stop: it is given no further calls. */
void dff_relay_leave (struct dff_relay *relay);

#endif
