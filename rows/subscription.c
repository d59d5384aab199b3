#include "rows/subscription.h"

#include <glib.h>
#include <inttypes.h>

#include "common/log.h"
#include "rows/scan.h"

/** Pause after a call that failed, doubled up to the limit, ms: a store that is down is not to be
 * asked in a tight loop, and its return is to be noticed within half a second. */
#define RETRY_MIN_MS 50
#define RETRY_MAX_MS 400

struct dff_subscription {
	struct dff_subscription_options options;
	struct dff_scan *reading;
	struct dff_timer *retry;
	/** The call in progress, to tell its callback that the follower is gone. */
	struct call *call;
	/** Revision up to which changes are known. */
	int64_t revision;
	bool ready;
	bool lost;
	int32_t retry_ms;
	int64_t answered_ms;
};

struct call {
	struct dff_subscription *follower;
	int64_t begun_ms;
};

static void follow (struct dff_subscription *follower);

static struct call *
call_begin (struct dff_subscription *follower)
{
	struct call *call = g_new0 (struct call, 1);
	call->follower = follower;
	call->begun_ms = dff_clock_now_ms (follower->options.timers->clock);
	follower->call = call;
	return call;
}

/* Returns: (nullable): the follower, unless it is gone. */
static struct dff_subscription *
call_end (struct call *call, int64_t *begun_ms)
{
	struct dff_subscription *follower = call->follower;
	*begun_ms = call->begun_ms;
	g_free (call);
	if (follower != NULL)
		follower->call = NULL;
	return follower;
}

static void
note_failure (struct dff_subscription *follower, const struct dff_rows_result *result)
{
	if (!follower->lost) {
		dff_log (DFF_LOG_RECORD, DFF_LOG_WARNING,
			 "Following a table failed. table=%s outcome=%d", follower->options.table,
			 (int)result->outcome);
	}
	follower->lost = true;
}

static void
retry_later (struct dff_subscription *follower, const struct dff_rows_result *result)
{
	note_failure (follower, result);
	dff_timer_start (follower->retry, follower->retry_ms);
	follower->retry_ms = MIN (follower->retry_ms * 2, RETRY_MAX_MS);
}

static void
note_answer (struct dff_subscription *follower, int64_t begun_ms)
{
	if (follower->lost) {
		dff_log (DFF_LOG_RECORD, DFF_LOG_INFO, "Following a table again. table=%s",
			 follower->options.table);
	}
	follower->lost = false;
	follower->retry_ms = RETRY_MIN_MS;
	follower->answered_ms = MAX (follower->answered_ms, begun_ms);
}

static void
report_rows (struct dff_subscription *follower, const struct dff_rows_result *result)
{
	for (size_t i = 0; i < result->n_rows; i++)
		follower->options.sink.row (follower->options.sink.ctx, &result->rows[i]);
}

static void
handle_row (void *ctx, const struct dff_row *row)
{
	struct dff_subscription *follower = ctx;
	follower->options.sink.row (follower->options.sink.ctx, row);
}

static void
handle_page (void *ctx, const struct dff_rows_result *result, int64_t begun_ms)
{
	if (result->outcome == DFF_ROWS_DONE)
		note_answer (ctx, begun_ms);
	else
		note_failure (ctx, result);
}

static void
handle_whole (void *ctx, const struct dff_scan_result *end)
{
	struct dff_subscription *follower = ctx;
	follower->revision = end->revision;
	follower->ready = true;
	if (follower->options.sink.end_snapshot != NULL)
		follower->options.sink.end_snapshot (follower->options.sink.ctx);
	follow (follower);
}

static void
handle_changes (void *user, const struct dff_rows_result *result)
{
	int64_t begun_ms;
	struct dff_subscription *follower = call_end (user, &begun_ms);
	if (follower == NULL)
		return;
	if (result->outcome == DFF_ROWS_HISTORY_GONE) {
		dff_log (DFF_LOG_RECORD, DFF_LOG_INFO,
			 "History is gone, reading a table whole. table=%s revision=%" PRId64,
			 follower->options.table, follower->revision);
		follower->revision = 0;
		follow (follower);
		return;
	}
	if (result->outcome != DFF_ROWS_DONE) {
		retry_later (follower, result);
		return;
	}
	note_answer (follower, begun_ms);
	follower->revision = MAX (follower->revision, result->revision);
	report_rows (follower, result);
	follow (follower);
}

static void
follow (struct dff_subscription *follower)
{
	const struct dff_subscription_options *options = &follower->options;
	if (follower->revision == 0) {
		if (options->sink.begin_snapshot != NULL)
			options->sink.begin_snapshot (options->sink.ctx);
		dff_scan_start (follower->reading);
		return;
	}
	struct dff_rows_feed feed = {.table = options->table,
				     .after = follower->revision,
				     .wait_ms = options->wait_ms,
				     .timeout_ms = options->wait_ms + options->timeout_margin_ms};
	options->rows->feed (options->rows->ctx, &feed, handle_changes, call_begin (follower));
}

static void
handle_retry (void *ctx)
{
	follow (ctx);
}

void
dff_subscription_wake (struct dff_subscription *follower)
{
	if (dff_scan_is_running (follower->reading))
		return;
	if (follower->call != NULL)
		follower->call->follower = NULL;
	follower->retry_ms = RETRY_MIN_MS;
	dff_timer_start (follower->retry, 0);
}

void
dff_subscription_set_wait (struct dff_subscription *follower, int32_t wait_ms)
{
	bool shorter = wait_ms < follower->options.wait_ms;
	follower->options.wait_ms = wait_ms;
	if (shorter && follower->ready)
		dff_subscription_wake (follower);
}

struct dff_subscription *
dff_subscription_new (const struct dff_subscription_options *options)
{
	struct dff_subscription *follower = g_new0 (struct dff_subscription, 1);
	follower->options = *options;
	follower->retry = dff_timer_new (options->timers, handle_retry, follower);
	follower->retry_ms = RETRY_MIN_MS;
	follower->answered_ms = INT64_MIN;
	struct dff_scan_options reading = {
		.timers = options->timers,
		.rows = options->rows,
		.table = options->table,
		.timeout_ms = options->page_timeout_ms > 0 ? options->page_timeout_ms
							   : options->timeout_margin_ms,
		.sink = {.row = handle_row,
			 .page = handle_page,
			 .done = handle_whole,
			 .ctx = follower},
	};
	follower->reading = dff_scan_new (&reading);
	follow (follower);
	return follower;
}

void
dff_subscription_free (struct dff_subscription *follower)
{
	if (follower->call != NULL)
		follower->call->follower = NULL;
	dff_timer_free (follower->retry);
	dff_scan_free (follower->reading);
	g_free (follower);
}

bool
dff_subscription_is_ready (const struct dff_subscription *follower)
{
	return follower->ready;
}

int64_t
dff_subscription_age_ms (const struct dff_subscription *follower)
{
	if (follower->answered_ms == INT64_MIN)
		return INT64_MAX;
	return dff_clock_now_ms (follower->options.timers->clock) - follower->answered_ms;
}
