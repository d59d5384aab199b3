#ifndef DFF_ROWS_SUBSCRIPTION_H
#define DFF_ROWS_SUBSCRIPTION_H

#include "common/cleanup.h"
#include "common/timer.h"
#include "rows/rows.h"

/*
 * Follows one table: reads it whole, then waits for changes, and reads it whole again when the
 * store has dropped its history. What the follower knows is as old as its last answered call.
 */

struct dff_subscription;

/** What a follower reports to. Each is called from the loop, never from within a call to it. */
struct dff_subscription_sink {
	/** A row was written, or, with row->removed, is gone. Rows repeat: act on the newest. */
	void (*row) (void *ctx, const struct dff_row *row);
	/** (nullable): the table is going to be read whole, once more if the store has dropped its
	 * history. */
	void (*begin_snapshot) (void *ctx);
	/** (nullable): the table was read whole; rows not reported since the reading began are
	 * gone. */
	void (*end_snapshot) (void *ctx);
	void *ctx;
};

struct dff_subscription_options {
	const struct dff_timers *timers;
	const struct dff_rows *rows;
	const char *table;
	/** How long the store may hold an answer back, ms: also how old the knowledge may be. */
	int32_t wait_ms;
	/** Time beyond @wait_ms after which a call is given up, ms. */
	int32_t timeout_margin_ms;
	/** Timeout of the first page while the table is read whole, ms; 0: @timeout_margin_ms. */
	int32_t page_timeout_ms;
	struct dff_subscription_sink sink;
};

/** Starts following. @options is copied. */
struct dff_subscription *dff_subscription_new (const struct dff_subscription_options *options);

/** Ends it; no callback comes afterwards. */
void dff_subscription_free (struct dff_subscription *subscription);

DFF_DEFINE_CLEANUP (dff_subscription, dff_subscription_free);

/** Asks at once, instead of waiting for a call in progress: the store was silent and answers again,
 * and a call from before may have been lost. */
void dff_subscription_wake (struct dff_subscription *subscription);

/** Changes how long the store may hold an answer back. A shorter wait is asked for at once. */
void dff_subscription_set_wait (struct dff_subscription *subscription, int32_t wait_ms);

/** Returns: whether the table has been read whole at least once. */
bool dff_subscription_is_ready (const struct dff_subscription *subscription);

/**
 * dff_subscription_age_ms:
 *
 * Returns: how long ago the call began whose answer was the last; INT64_MAX before the first. What
 * was written before that is known.
 */
int64_t dff_subscription_age_ms (const struct dff_subscription *subscription);

#endif
