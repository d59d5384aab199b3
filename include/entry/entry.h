#ifndef DFF_ENTRY_ENTRY_H
#define DFF_ENTRY_ENTRY_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>

#include "backing/instance_list.h"
#include "backing/object_store.h"
#include "backing/table.h"
#include "cell/cell.h"
#include "common/cleanup.h"
#include "common/clock.h"
#include "common/metrics.h"
#include "common/trace.h"
#include "daemon/settings.h"
#include "peer/peer.h"
#include "pool/pool.h"
#include "record/recorder.h"
#include "upstream/worker_client.h"

/*
 * The HTTP interface for callers and operators (docs/API.md). An entry owns a caller's connection
 * until the whole answer is sent or the connection is lost.
 */

struct dff_entry;

struct dff_entry_options {
	struct event_base *base;
	const struct dff_settings
		*settings; /**< Limits are read at each use, so a reload takes effect. */
	const struct dff_clock *clock;
	struct dff_metrics *metrics;
	struct dff_tracer *tracer;
	const struct dff_table *table;
	const struct dff_object_store *objects;
	struct dff_recorder *recorder;
	const struct dff_worker_client *workers;
	struct dff_peer *peer;
	struct dff_cell *cell;
	uint64_t seed;
	/** Called after an operator's PUT /v1/pool was committed; the daemon then applies the pool
	 * file to this process. */
	void (*pool_committed) (void *ctx,
				int64_t generation,
				int64_t revision,
				struct dff_str text);
	void *ctx;
};

/** Binds the HTTP server. Returns: (nullable): NULL, with @error set, when the TLS key pair cannot
 * be loaded or the address cannot be bound. */
struct dff_entry *dff_entry_new (const struct dff_entry_options *options, GError **error);

void dff_entry_free (struct dff_entry *entry);

DFF_DEFINE_CLEANUP (dff_entry, dff_entry_free);

/** Returns: the port that the server listens on, also when the settings request port 0. */
uint16_t dff_entry_port (const struct dff_entry *entry);

/** Runs expired timers and periodic work. To be called every few ms. */
void dff_entry_tick (struct dff_entry *entry);

/** Sets the pool that this process uses, borrowed until the next call. NULL: no pool yet; the
 * process is not ready. @text: the pool file as applied. */
void dff_entry_set_pool (struct dff_entry *entry, const struct dff_pool *pool, struct dff_str text);

/** Sets the instance list as last read. Only workers on the list can get requests. Copied. */
void dff_entry_set_instances (struct dff_entry *entry,
			      const struct dff_instance *instances,
			      size_t n_instances);

/** Handles a worker's own report that it is leaving: the worker gets no new requests from now
 * on. */
void dff_entry_handle_worker_leaving (struct dff_entry *entry, const struct dff_name *worker);

/** Replaces the request slots that this process may use; the grants expire after @valid_ms. A set
 * with an older @epoch than the last one is ignored. Copied. */
void dff_entry_set_grants (struct dff_entry *entry,
			   int64_t epoch,
			   const struct dff_grant *grants,
			   size_t n_grants,
			   int32_t valid_ms);

/** Handles the end of a job: wakes the callers that wait for it. */
void dff_entry_handle_job_ended (struct dff_entry *entry,
				 const struct dff_name *job,
				 enum dff_outcome outcome);

/** Sets whether this process reaches neither the store nor its peers. /readyz reports not ready
 * while @isolated is true. */
void dff_entry_set_isolated (struct dff_entry *entry, bool isolated);

/** First step of a graceful stop: /readyz reports not ready, so that the load balancer stops
 * sending calls here. Calls that still arrive are handled. */
void dff_entry_set_leaving (struct dff_entry *entry);

/** Second step of a graceful stop: new work is refused with 503. Its outcome is not_run, or unknown
 * when the call carries an Idempotency-Key and not "Attempt: 1". Work in progress is completed. */
void dff_entry_drain (struct dff_entry *entry);

/** Returns: true once no request is in progress and no caller is connected. */
bool dff_entry_is_drained (const struct dff_entry *entry);

/** Returns: whether /readyz reports ready. */
bool dff_entry_is_ready (const struct dff_entry *entry);

/** Returns: whether an operator requested a drain through POST /v1/drain. */
bool dff_entry_drain_requested (const struct dff_entry *entry);

#endif
