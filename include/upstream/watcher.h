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
 * Watches this process's share of the workers: renews the leases of their tasks and collects their
 * task reports. A worker is reported to the holder only when something changed, and once more
 * @report_repeat_ms later, because a report can be lost on its way. Leases are renewed
 * independently of the holder of the cell, so that a takeover stops no running task.
 *
 * A connection that no longer answers is detected within @interval_ms plus the client's timeout;
 * the renewal is retried after @retry_ms on another connection.
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
	/** Interval of renewals for each worker, ms; jittered by up to an eighth. */
	int32_t interval_ms;
	/** Delay before the first retry of a failed renewal, ms. */
	int32_t retry_ms;
	/** Delay before a change is reported a second time, ms. */
	int32_t report_repeat_ms;
	/** Lease of tasks, ms; at least three times @interval_ms. */
	int32_t lease_ms;
	/** Consecutive failed renewals after which a worker is reported as unreachable. */
	int32_t failures_unreachable;
	/** Receives a worker report, borrowed for the call. A long list of task reports is split
	 * over several worker reports, none of which is marked as complete. */
	void (*report) (void *ctx, const struct dff_worker_report *report);
	void *ctx;
};

/** Sets the defaults of all times and of @failures_unreachable. */
void dff_watcher_options_init (struct dff_watcher_options *options);

/** Returns: (transfer full): a watcher without workers; @options is copied. */
struct dff_watcher *dff_watcher_new (const struct dff_watcher_options *options);

/** The worker client must not call back any more. */
void dff_watcher_free (struct dff_watcher *watcher);

DFF_DEFINE_CLEANUP (dff_watcher, dff_watcher_free);

/**
 * dff_watcher_set_workers:
 *
 * Replaces the share. A worker that is added is first renewed at a random time within one interval
 * and reports all its tasks; the time without an answer counts from now.
 */
void dff_watcher_set_workers (struct dff_watcher *watcher,
			      const struct dff_watched_worker *workers,
			      size_t n_workers);

/** Changes the interval of renewals; takes effect for each worker after its next renewal. */
void dff_watcher_set_interval (struct dff_watcher *watcher, int32_t interval_ms);

/** Sends the renewals that are due. To be called every few milliseconds. */
void dff_watcher_tick (struct dff_watcher *watcher);

/** Reports every worker again, with all its tasks, at its next answer: a new holder has not
 * received the earlier reports. */
void dff_watcher_report_all (struct dff_watcher *watcher);

#endif
