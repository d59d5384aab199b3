#include "rows/scan.h"

#include <inttypes.h>

#include "common/log.h"

/** Rows of the largest page. */
#define PAGE_ROWS_MAX DFF_ROWS_ANSWER_MAX
/** Rows of the smallest page, and the longest timeout of a page, ms. A full page of jobs, which
 * usually takes 0.1 s, has taken 1.4 s; a scan whose pages time out each time never completes. */
#define PAGE_ROWS_MIN 25
#define PAGE_TIMEOUT_MAX_MS 5000
/** Backoff after a failed page, ms; it doubles with each failure up to the maximum. A store that
 * refuses calls must not be called in a tight loop, and its recovery has to be detected within
 * 500 ms. */
#define RETRY_MIN_MS 50
#define RETRY_MAX_MS 400
/** Duration from which a scan is logged as slow, ms: ten times the usual duration. */
#define SLOW_SCAN_MS 1000

struct call {
	struct dff_scan *scan;
	int64_t begun_ms;
};

struct dff_scan {
	struct dff_scan_options options;
	struct dff_timer *retry;
	/** (nullable): the call in progress; detached from the scan when the scan is freed. */
	struct call *call;
	bool running;
	/** One reference until the scan is freed, and one while a page is handled. */
	grefcount refs;
	bool freed;
	int32_t page_limit;
	int32_t timeout_ms;
	int32_t retry_ms;
	int64_t begun_ms;
	GString *next_key;
	struct dff_scan_result result;
};

static int64_t
now_ms (const struct dff_scan *scan)
{
	return dff_clock_now_ms (scan->options.timers->clock);
}

static void read_page (struct dff_scan *scan);

static void
retry_later (struct dff_scan *scan)
{
	scan->result.n_failed++;
	scan->page_limit = MAX (scan->page_limit / 2, PAGE_ROWS_MIN);
	scan->timeout_ms = MIN (scan->timeout_ms * 2, PAGE_TIMEOUT_MAX_MS);
	dff_timer_start (scan->retry, scan->retry_ms);
	scan->retry_ms = MIN (scan->retry_ms * 2, RETRY_MAX_MS);
}

static void
finish (struct dff_scan *scan)
{
	struct dff_scan_result *result = &scan->result;
	result->took_ms = now_ms (scan) - scan->begun_ms;
	scan->running = false;
	if (result->n_failed > 0 || result->took_ms >= SLOW_SCAN_MS) {
		dff_log (DFF_LOG_RECORD, DFF_LOG_INFO,
			 "Table scan was slow. table=%s rows=%d pages=%d failed_pages=%d "
			 "took_ms=%" PRId64 " revision=%" PRId64,
			 scan->options.table, result->n_rows, result->n_pages, result->n_failed,
			 result->took_ms, result->revision);
	}
	scan->options.sink.done (scan->options.sink.ctx, result);
}

static void
take_page (struct dff_scan *scan, const struct dff_rows_result *result)
{
	const struct dff_scan_sink *sink = &scan->options.sink;
	if (scan->result.n_pages == 0)
		scan->result.revision = result->revision;
	scan->result.n_pages++;
	scan->result.n_rows += (int32_t)result->n_rows;
	scan->retry_ms = RETRY_MIN_MS;
	for (size_t i = 0; i < result->n_rows && !scan->freed; i++)
		sink->row (sink->ctx, &result->rows[i]);
}

static void
apply_page (struct dff_scan *scan, const struct dff_rows_result *result, int64_t begun_ms)
{
	const struct dff_scan_sink *sink = &scan->options.sink;
	if (sink->page != NULL)
		sink->page (sink->ctx, result, begun_ms);
	if (scan->freed)
		return;
	if (result->outcome != DFF_ROWS_DONE) {
		retry_later (scan);
		return;
	}
	take_page (scan, result);
	if (scan->freed)
		return;
	if (!result->more || result->n_rows == 0) {
		finish (scan);
		return;
	}
	dff_rows_key_after (&result->rows[result->n_rows - 1], scan->next_key);
	read_page (scan);
}

static void
scan_unref (struct dff_scan *scan)
{
	if (!g_ref_count_dec (&scan->refs))
		return;
	dff_timer_free (scan->retry);
	g_string_free (scan->next_key, TRUE);
	g_free (scan);
}

static void
handle_page (void *user, const struct dff_rows_result *result)
{
	g_autofree struct call *call = user;
	struct dff_scan *scan = call->scan;
	if (scan == NULL)
		return;
	scan->call = NULL;
	/* The sink may free the scan. */
	g_ref_count_inc (&scan->refs);
	apply_page (scan, result, call->begun_ms);
	scan_unref (scan);
}

static void
read_page (struct dff_scan *scan)
{
	struct call *call = g_new0 (struct call, 1);
	call->scan = scan;
	call->begun_ms = now_ms (scan);
	scan->call = call;
	struct dff_rows_range range = {.table = scan->options.table,
				       .from = {scan->next_key->str, scan->next_key->len},
				       .limit = scan->page_limit,
				       .timeout_ms = scan->timeout_ms};
	const struct dff_rows *rows = scan->options.rows;
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
	struct dff_scan *scan = g_new0 (struct dff_scan, 1);
	g_ref_count_init (&scan->refs);
	scan->options = *options;
	scan->retry = dff_timer_new (options->timers, handle_retry, scan);
	scan->next_key = g_string_new (NULL);
	return scan;
}

void
dff_scan_free (struct dff_scan *scan)
{
	if (scan->call != NULL)
		scan->call->scan = NULL;
	dff_timer_stop (scan->retry);
	scan->freed = true;
	scan_unref (scan);
}

void
dff_scan_start (struct dff_scan *scan)
{
	g_assert (!scan->running);
	scan->running = true;
	scan->begun_ms = now_ms (scan);
	scan->page_limit = PAGE_ROWS_MAX;
	scan->timeout_ms = scan->options.timeout_ms;
	scan->retry_ms = RETRY_MIN_MS;
	scan->result = (struct dff_scan_result){0};
	g_string_truncate (scan->next_key, 0);
	read_page (scan);
}

bool
dff_scan_is_running (const struct dff_scan *scan)
{
	return scan->running;
}
