#include "rows/subscription.h"

#include <glib.h>
#include <inttypes.h>

#include "common/log.h"
#include "rows/scan.h"

/** Backoff after a failed call, ms; it doubles with each failure up to the maximum. A store that is
 * down must not be called in a tight loop, and its recovery has to be detected within 500 ms. */
#define RETRY_MIN_MS 50
#define RETRY_MAX_MS 400

struct dff_subscription {
	struct dff_subscription_options options;
	struct dff_scan *scan;
	struct dff_timer *retry;
	/** (nullable): the call in progress. Its pointer to the subscription is cleared when the
	 * subscription is freed or no longer waits for the call. */
	struct call *call;
	/** Revision up to which changes have been reported; 0: the table has to be scanned. */
	int64_t revision;
	bool ready;
	/** One reference until the subscription is freed, and one while an event is handled. */
	grefcount refs;
	bool freed;
	/** Whether the last call failed; used to log only the first of several failures. */
	bool failing;
	int32_t retry_ms;
	/** Start time of the most recent answered call, ms; INT64_MIN: none. */
	int64_t answered_ms;
};

struct call {
	struct dff_subscription *subscription;
	int64_t begun_ms;
};

static void follow (struct dff_subscription *subscription);

static void
subscription_unref (struct dff_subscription *subscription)
{
	if (!g_ref_count_dec (&subscription->refs))
		return;
	dff_timer_free (subscription->retry);
	g_free (subscription);
}

/* Detaches the call in progress: its answer is ignored. */
static void
drop_call (struct dff_subscription *subscription)
{
	if (subscription->call != NULL)
		subscription->call->subscription = NULL;
	subscription->call = NULL;
}

static struct call *
call_begin (struct dff_subscription *subscription)
{
	struct call *call = g_new0 (struct call, 1);
	call->subscription = subscription;
	call->begun_ms = dff_clock_now_ms (subscription->options.timers->clock);
	subscription->call = call;
	return call;
}

/* Returns: (nullable): the subscription; NULL if it no longer waits for this call. */
static struct dff_subscription *
call_end (struct call *call, int64_t *begun_ms)
{
	struct dff_subscription *subscription = call->subscription;
	*begun_ms = call->begun_ms;
	g_free (call);
	if (subscription != NULL)
		subscription->call = NULL;
	return subscription;
}

static void
record_failure (struct dff_subscription *subscription, const struct dff_rows_result *result)
{
	if (!subscription->failing) {
		dff_log (DFF_LOG_RECORD, DFF_LOG_WARNING,
			 "Following a table failed. table=%s outcome=%d",
			 subscription->options.table, (int)result->outcome);
	}
	subscription->failing = true;
}

static void
retry_later (struct dff_subscription *subscription, const struct dff_rows_result *result)
{
	record_failure (subscription, result);
	dff_timer_start (subscription->retry, subscription->retry_ms);
	subscription->retry_ms = MIN (subscription->retry_ms * 2, RETRY_MAX_MS);
}

static void
record_success (struct dff_subscription *subscription, int64_t begun_ms)
{
	if (subscription->failing) {
		dff_log (DFF_LOG_RECORD, DFF_LOG_INFO, "Following a table again. table=%s",
			 subscription->options.table);
	}
	subscription->failing = false;
	subscription->retry_ms = RETRY_MIN_MS;
	subscription->answered_ms = MAX (subscription->answered_ms, begun_ms);
}

static void
report_rows (struct dff_subscription *subscription, const struct dff_rows_result *result)
{
	for (size_t i = 0; i < result->n_rows && !subscription->freed; i++)
		subscription->options.sink.row (subscription->options.sink.ctx, &result->rows[i]);
}

static void
handle_row (void *ctx, const struct dff_row *row)
{
	struct dff_subscription *subscription = ctx;
	subscription->options.sink.row (subscription->options.sink.ctx, row);
}

static void
handle_page (void *ctx, const struct dff_rows_result *result, int64_t begun_ms)
{
	if (result->outcome == DFF_ROWS_DONE)
		record_success (ctx, begun_ms);
	else
		record_failure (ctx, result);
}

static void
handle_scan_done (void *ctx, const struct dff_scan_result *result)
{
	struct dff_subscription *subscription = ctx;
	subscription->revision = result->revision;
	subscription->ready = true;
	g_ref_count_inc (&subscription->refs);
	if (subscription->options.sink.end_snapshot != NULL)
		subscription->options.sink.end_snapshot (subscription->options.sink.ctx);
	if (!subscription->freed)
		follow (subscription);
	subscription_unref (subscription);
}

static void
apply_changes (struct dff_subscription *subscription,
	       const struct dff_rows_result *result,
	       int64_t begun_ms)
{
	if (result->outcome == DFF_ROWS_HISTORY_GONE) {
		dff_log (DFF_LOG_RECORD, DFF_LOG_INFO,
			 "Store dropped the history; scanning table again. table=%s "
			 "revision=%" PRId64,
			 subscription->options.table, subscription->revision);
		subscription->revision = 0;
		follow (subscription);
		return;
	}
	if (result->outcome != DFF_ROWS_DONE) {
		retry_later (subscription, result);
		return;
	}
	record_success (subscription, begun_ms);
	subscription->revision = MAX (subscription->revision, result->revision);
	report_rows (subscription, result);
	if (!subscription->freed)
		follow (subscription);
}

static void
handle_changes (void *user, const struct dff_rows_result *result)
{
	int64_t begun_ms;
	struct dff_subscription *subscription = call_end (user, &begun_ms);
	if (subscription == NULL)
		return;
	g_ref_count_inc (&subscription->refs);
	apply_changes (subscription, result, begun_ms);
	subscription_unref (subscription);
}

/* Reads the whole table. */
static void
begin_scan (struct dff_subscription *subscription)
{
	if (subscription->options.sink.begin_snapshot != NULL)
		subscription->options.sink.begin_snapshot (subscription->options.sink.ctx);
	if (!subscription->freed)
		dff_scan_start (subscription->scan);
}

static void
follow (struct dff_subscription *subscription)
{
	const struct dff_subscription_options *options = &subscription->options;
	if (subscription->revision == 0) {
		begin_scan (subscription);
		return;
	}
	struct dff_rows_feed feed = {.table = options->table,
				     .after = subscription->revision,
				     .wait_ms = options->wait_ms,
				     .timeout_ms = options->wait_ms + options->timeout_margin_ms};
	options->rows->feed (options->rows->ctx, &feed, handle_changes, call_begin (subscription));
}

static void
handle_retry (void *ctx)
{
	struct dff_subscription *subscription = ctx;
	g_ref_count_inc (&subscription->refs);
	follow (subscription);
	subscription_unref (subscription);
}

void
dff_subscription_wake (struct dff_subscription *subscription)
{
	if (dff_scan_is_running (subscription->scan))
		return;
	drop_call (subscription);
	subscription->retry_ms = RETRY_MIN_MS;
	dff_timer_start (subscription->retry, 0);
}

void
dff_subscription_set_wait (struct dff_subscription *subscription, int32_t wait_ms)
{
	bool shorter = wait_ms < subscription->options.wait_ms;
	subscription->options.wait_ms = wait_ms;
	if (shorter && subscription->ready)
		dff_subscription_wake (subscription);
}

struct dff_subscription *
dff_subscription_new (const struct dff_subscription_options *options)
{
	struct dff_subscription *subscription = g_new0 (struct dff_subscription, 1);
	g_ref_count_init (&subscription->refs);
	subscription->options = *options;
	subscription->retry = dff_timer_new (options->timers, handle_retry, subscription);
	subscription->retry_ms = RETRY_MIN_MS;
	subscription->answered_ms = INT64_MIN;
	struct dff_scan_options scan_options = {
		.timers = options->timers,
		.rows = options->rows,
		.table = options->table,
		.timeout_ms = options->page_timeout_ms > 0 ? options->page_timeout_ms
							   : options->timeout_margin_ms,
		.sink = {.row = handle_row,
			 .page = handle_page,
			 .done = handle_scan_done,
			 .ctx = subscription},
	};
	subscription->scan = dff_scan_new (&scan_options);
	follow (subscription);
	return subscription;
}

void
dff_subscription_free (struct dff_subscription *subscription)
{
	drop_call (subscription);
	dff_timer_stop (subscription->retry);
	dff_scan_free (subscription->scan);
	subscription->freed = true;
	subscription_unref (subscription);
}

bool
dff_subscription_is_ready (const struct dff_subscription *subscription)
{
	return subscription->ready;
}

int64_t
dff_subscription_age_ms (const struct dff_subscription *subscription)
{
	if (subscription->answered_ms == INT64_MIN)
		return INT64_MAX;
	return dff_clock_now_ms (subscription->options.timers->clock) - subscription->answered_ms;
}
