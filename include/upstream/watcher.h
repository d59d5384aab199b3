#ifndef DFF_UPSTREAM_WATCHER_H
#define DFF_UPSTREAM_WATCHER_H

#include <glib.h>
#include <stdint.h>

#include "cell/cell.h"
#include "common/cleanup.h"
#include "common/clock.h"
#include "common/metrics.h"
#include "upstream/worker_client.h"

/*
 * Watches this process's share of the workers: renews the leases of their tasks, takes their
 * reports, and tells of a worker only when something changed, and once more later, as what is told
 * may be lost on its way to the holder. Leases are renewed whatever happens to the holder of the
 * cell, so that a take-over costs no running task.
 *
 * A worker whose connection has gone silent is noticed within @interval_ms plus the client's
 * timeout, and tried again after @retry_ms on another connection.
 */

struct dff_watcher;

struct dff_watched_worker {
	struct dff_name name;
	struct dff_name address;
};

struct dff_watcher_options {
	const struct dff_worker_client *workers;
	const struct dff_clock *clock;
	struct dff_metrics *metrics;
	uint64_t seed;
	/** Between renewals at each worker, ms; each is jittered by up to an eighth. */
	int32_t interval_ms;
	/** Until a renewal that failed is tried again, ms. */
	int32_t retry_ms;
	/** Until a change is told once more, ms. */
	int32_t report_repeat_ms;
	/** Lease of tasks; at least three times @interval_ms. */
	int32_t lease_ms;
	/** Renewals that fail in a row until a worker is told to be unreachable. */
	int32_t failures_unreachable;
	/** Takes a sighting, borrowed for the call. A long list of reports comes in pieces, none of
	 * which is whole. */
	void (*report) (void *ctx, const struct dff_worker_report *report);
	void *ctx;
};

/** Sets the defaults of all times. */
void dff_watcher_options_init (struct dff_watcher_options *options);

/** Returns: (transfer full): a watcher without workers; @options is copied. */
struct dff_watcher *dff_watcher_new (const struct dff_watcher_options *options);

/** No callback of the worker client may come any more. */
void dff_watcher_free (struct dff_watcher *watcher);

DFF_DEFINE_CLEANUP (dff_watcher, dff_watcher_free);

/**
 * dff_watcher_set_workers:
 *
 * Sets the share as a whole. A worker that is new to it is renewed at a random time within one
 * interval and reports all its tasks; its silence is counted from now on.
 */
void dff_watcher_set_workers (struct dff_watcher *watcher,
			      const struct dff_watched_worker *workers,
			      size_t n_workers);

/** Changes the interval of renewals, from each worker's next one on. */
void dff_watcher_set_interval (struct dff_watcher *watcher, int32_t interval_ms);

/** Sends what is due. To be called every few milliseconds. */
void dff_watcher_tick (struct dff_watcher *watcher);

/** Tells of every worker again at its next answer, all its tasks included: the cell has a new
 * holder, who has not seen what was told before. */
void dff_watcher_report_all (struct dff_watcher *watcher);

#endif
