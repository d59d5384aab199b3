#include "rows/scan.h"

#include <inttypes.h>

#include "common/log.h"

/** Rows of the largest page. */
#define PAGE_ROWS_MAX DFF_ROWS_ANSWER_MAX
/** Rows of the smallest, and the longest wait for one, ms: a full page of jobs has taken 1.4 s
 * where it takes 0.1 s otherwise, and one that is given up on each time ends in no reading at all.
 */
#define PAGE_ROWS_MIN 25
#define PAGE_TIMEOUT_MAX_MS 5000
/** Pause after a page without an answer, doubled up to the limit, ms: a store that refuses is not
 * to be asked in a tight loop, and its return is to be noticed within half a second. */
#define RETRY_MIN_MS 50
#define RETRY_MAX_MS 400
/** A reading that took so long, ms, has a line in the log: ten times what one takes. */
#define SLOW_MS 1000

struct call {
	struct dff_scan *reading;
	int64_t begun_ms;
};

struct dff_scan {
	struct dff_scan_options options;
	struct dff_timer *retry;
	/** (nullable): the call in progress, to tell its callback that the reading is gone. */
	struct call *call;
	bool running;
	int32_t limit;
	int32_t timeout_ms;
	int32_t retry_ms;
	int64_t begun_ms;
	GString *next_key;
	struct dff_scan_result end;
};

static int64_t
now_ms (const struct dff_scan *reading)
{
	return dff_clock_now_ms (reading->options.timers->clock);
}

static void read_page (struct dff_scan *reading);

static void
retry_later (struct dff_scan *reading)
{
	reading->end.n_failed++;
	reading->limit = MAX (reading->limit / 2, PAGE_ROWS_MIN);
	reading->timeout_ms = MIN (reading->timeout_ms * 2, PAGE_TIMEOUT_MAX_MS);
	dff_timer_start (reading->retry, reading->retry_ms);
	reading->retry_ms = MIN (reading->retry_ms * 2, RETRY_MAX_MS);
}

static void
finish (struct dff_scan *reading)
{
	struct dff_scan_result *end = &reading->end;
	end->took_ms = now_ms (reading) - reading->begun_ms;
	reading->running = false;
	if (end->n_failed > 0 || end->took_ms >= SLOW_MS) {
		dff_log (DFF_LOG_RECORD, DFF_LOG_INFO,
			 "Reading a table was slow. table=%s rows=%d pages=%d failed_pages=%d "
			 "took_ms=%" PRId64 " revision=%" PRId64,
			 reading->options.table, end->n_rows, end->n_pages, end->n_failed,
			 end->took_ms, end->revision);
	}
	reading->options.sink.done (reading->options.sink.ctx, end);
}

static void
take_page (struct dff_scan *reading, const struct dff_rows_result *result)
{
	const struct dff_scan_sink *sink = &reading->options.sink;
	if (reading->end.n_pages == 0)
		reading->end.revision = result->revision;
	reading->end.n_pages++;
	reading->end.n_rows += (int32_t)result->n_rows;
	reading->retry_ms = RETRY_MIN_MS;
	for (size_t i = 0; i < result->n_rows; i++)
		sink->row (sink->ctx, &result->rows[i]);
}

static void
handle_page (void *user, const struct dff_rows_result *result)
{
	g_autofree struct call *call = user;
	struct dff_scan *reading = call->reading;
	if (reading == NULL)
		return;
	reading->call = NULL;
	const struct dff_scan_sink *sink = &reading->options.sink;
	if (sink->page != NULL)
		sink->page (sink->ctx, result, call->begun_ms);
	if (result->outcome != DFF_ROWS_DONE) {
		retry_later (reading);
		return;
	}
	take_page (reading, result);
	if (!result->more || result->n_rows == 0) {
		finish (reading);
		return;
	}
	dff_rows_key_after (&result->rows[result->n_rows - 1], reading->next_key);
	read_page (reading);
}

static void
read_page (struct dff_scan *reading)
{
	struct call *call = g_new0 (struct call, 1);
	call->reading = reading;
	call->begun_ms = now_ms (reading);
	reading->call = call;
	struct dff_rows_range range = {.table = reading->options.table,
				       .from = {reading->next_key->str, reading->next_key->len},
				       .limit = reading->limit,
				       .timeout_ms = reading->timeout_ms};
	const struct dff_rows *rows = reading->options.rows;
	rows->get (rows->ctx, &range, handle_page, call);
}

static void
handle_retry (void *ctx)
{
	read_page (ctx);
}

struct dff_scan *
dff_scan_new (const struct dff_scan_options *options)
{
	struct dff_scan *reading = g_new0 (struct dff_scan, 1);
	reading->options = *options;
	reading->retry = dff_timer_new (options->timers, handle_retry, reading);
	reading->next_key = g_string_new (NULL);
	return reading;
}

void
dff_scan_free (struct dff_scan *reading)
{
	if (reading->call != NULL)
		reading->call->reading = NULL;
	dff_timer_free (reading->retry);
	g_string_free (reading->next_key, TRUE);
	g_free (reading);
}

void
dff_scan_start (struct dff_scan *reading)
{
	g_assert (!reading->running);
	reading->running = true;
	reading->begun_ms = now_ms (reading);
	reading->limit = PAGE_ROWS_MAX;
	reading->timeout_ms = reading->options.timeout_ms;
	reading->retry_ms = RETRY_MIN_MS;
	reading->end = (struct dff_scan_result){0};
	g_string_truncate (reading->next_key, 0);
	read_page (reading);
}

bool
dff_scan_is_running (const struct dff_scan *reading)
{
	return reading->running;
}
