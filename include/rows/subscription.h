#ifndef DFF_ROWS_SUBSCRIPTION_H
#define DFF_ROWS_SUBSCRIPTION_H

#include "common/cleanup.h"
#include "common/timer.h"
#include "rows/rows.h"

/*
 * A subscription to the changes of one table: scans the table, then requests its changes, and scans
 * it again when the store has dropped the history of changes. The reported rows are as old as the
 * last call that was answered.
 */

struct dff_subscription;

/** Callbacks of a subscription. Rows and the end of a snapshot are reported from the event loop,
 * never from within a call to the subscription. */
struct dff_subscription_sink {
	/** A row was written or, with row->removed, removed. A row may be reported more than once:
	 * the highest revision is the current one. */
	void (*row) (void *ctx, const struct dff_row *row);
	/** (nullable): a scan of the table begins: the first one, or another one after the store
	 * has dropped the history of changes. */
	void (*begin_snapshot) (void *ctx);
	/** (nullable): the scan is done; rows not reported since it began no longer exist. */
	void (*end_snapshot) (void *ctx);
	void *ctx;
};

struct dff_subscription_options {
	const struct dff_timers *timers;
	const struct dff_rows *rows;
	const char *table;
	/** Longest time for which the store waits for a change before it answers, ms. It bounds the
	 * age of the reported rows as well. */
	int32_t wait_ms;
	/** Timeout of a call beyond @wait_ms, ms. */
	int32_t timeout_margin_ms;
	/** Timeout of the first page of a scan, ms; 0: @timeout_margin_ms. */
	int32_t page_timeout_ms;
	struct dff_subscription_sink sink;
};

/** Creates a subscription and starts its first scan. @options is copied. */
struct dff_subscription *dff_subscription_new (const struct dff_subscription_options *options);

/** Ends and frees the subscription; no callback is called afterwards. */
void dff_subscription_free (struct dff_subscription *subscription);

DFF_DEFINE_CLEANUP (dff_subscription, dff_subscription_free);

/** Requests changes at once and ignores the call in progress. To be called when the store answers
 * again after a silence: a call that was sent before may have been lost. */
void dff_subscription_wake (struct dff_subscription *subscription);

/** Changes the time for which the store waits for a change. A shorter wait applies at once. */
void dff_subscription_set_wait (struct dff_subscription *subscription, int32_t wait_ms);

/** Returns: whether at least one scan of the table is done. */
bool dff_subscription_is_ready (const struct dff_subscription *subscription);

/**
 * dff_subscription_age_ms:
 *
 * Returns: time since the most recent answered call was sent, ms; INT64_MAX before the first
 * answer. Everything that was written before that call has been reported.
 */
int64_t dff_subscription_age_ms (const struct dff_subscription *subscription);

#endif
