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
 * The callers' and operators' interface over HTTP (docs/API.md). Owns the conversation with a
 * caller until the whole answer is out or the connection is gone.
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
	/** An operator's PUT /v1/pool was committed: the daemon puts it in force here. */
	void (*pool_committed) (void *ctx,
				int64_t generation,
				int64_t revision,
				struct dff_str text);
	void *ctx;
};

/** Binds the HTTP server. Returns: (nullable): NULL with @error set when it cannot. */
struct dff_entry *dff_entry_new (const struct dff_entry_options *options, GError **error);

void dff_entry_free (struct dff_entry *entry);

DFF_DEFINE_CLEANUP (dff_entry, dff_entry_free);

/** Returns: the port that it listens on, also where the settings say 0. */
uint16_t dff_entry_port (const struct dff_entry *entry);

/** Does what is due by the clock. To be called every few ms. */
void dff_entry_tick (struct dff_entry *entry);

/** The pool in force, borrowed until the next call; NULL: none yet, the process is unready. @text
 * is the file as applied. */
void dff_entry_set_pool (struct dff_entry *entry, const struct dff_pool *pool, struct dff_str text);

/** The instance list as it was read last: workers on it may get requests. Copied. */
void dff_entry_set_instances (struct dff_entry *entry,
			      const struct dff_instance *instances,
			      size_t n_instances);

/** A worker said itself that it is leaving: nothing new goes there from now on. */
void dff_entry_handle_worker_leaving (struct dff_entry *entry, const struct dff_name *worker);

/** Replaces the request slots that this process may use, for @valid_ms from now; a set of an older
 * @epoch is ignored. Copied. */
void dff_entry_set_grants (struct dff_entry *entry,
			   int64_t epoch,
			   const struct dff_grant *grants,
			   size_t n_grants,
			   int32_t valid_ms);

/** A job ended: wakes the callers who wait for it. */
void dff_entry_handle_job_ended (struct dff_entry *entry,
				 const struct dff_name *job,
				 enum dff_outcome outcome);

/** Neither store nor peers answer: /readyz says no until it is called with false. */
void dff_entry_set_isolated (struct dff_entry *entry, bool isolated);

/** First step of a graceful stop: /readyz says no, so that the balancer sends nothing more; what
 * still arrives is taken. */
void dff_entry_set_leaving (struct dff_entry *entry);

/** Second step: new work is refused with 503 and not_run, or unknown under an Idempotency-Key; what
 * is in flight goes on to its end. */
void dff_entry_drain (struct dff_entry *entry);

/** Returns: true once no request is in flight and no caller is connected. */
bool dff_entry_is_drained (const struct dff_entry *entry);

/** Whether /readyz says yes. */
bool dff_entry_is_ready (const struct dff_entry *entry);

/** Returns: whether an operator asked for a drain through POST /v1/drain. */
bool dff_entry_drain_requested (const struct dff_entry *entry);

#endif
