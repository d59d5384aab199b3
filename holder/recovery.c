#include "holder/holder_private.h"

#include "common/log.h"

/* State that a new holder reads before it schedules: the progress of every job, then every job.
 * What its predecessor had learned of the workers' speeds is read beside it and not waited for. The
 * rows contain the placement of each run, so that the workers need not be asked first: each
 * recorded run counts as running until its worker reports otherwise. */

/** Timeout of the first page, ms: longer than the answers of a store that is sixty times as slow
 * as usual. */
#define READ_TIMEOUT_MS 1500
/** How long the store holds back an answer about new jobs, ms: no job waits longer for it, and a
 * silent connection is noticed after twice that time. */
#define JOBS_WAIT_MS 1000
#define JOBS_TIMEOUT_MARGIN_MS 1000
/** Timeout of the first page of jobs, ms: on a small machine 500 rows take longer than the timeout
 * margin, and a page that times out was read for nothing. */
#define JOBS_PAGE_TIMEOUT_MS 3000

static void
handle_jobs_snapshot (void *ctx)
{
	struct dff_holder *holder = ctx;
	holder->jobs_read = true;
	holder_wake (holder);
}

static void
subscribe_jobs (struct dff_holder *holder)
{
	struct dff_subscription_options options = {
		.timers = holder->options.timers,
		.rows = holder->options.rows,
		.table = DFF_TABLE_JOBS,
		.wait_ms = JOBS_WAIT_MS,
		.timeout_margin_ms = JOBS_TIMEOUT_MARGIN_MS,
		.page_timeout_ms = JOBS_PAGE_TIMEOUT_MS,
		.sink = {.row = jobs_handle_row,
			 .end_snapshot = handle_jobs_snapshot,
			 .ctx = holder},
	};
	holder->jobs_subscription = dff_subscription_new (&options);
}

static void
free_text (gpointer text)
{
	g_string_free (text, TRUE);
}

static void
handle_progress_row (void *ctx, const struct dff_row *row)
{
	struct dff_holder *holder = ctx;
	struct dff_name job;
	if (!dff_name_parse (row->key, &job))
		return;
	g_hash_table_insert (holder->recorded, dff_name_dup (&job),
			     g_string_new_len (row->value.data, (gssize)row->value.len));
}

static void
handle_progress_done (void *ctx, G_GNUC_UNUSED const struct dff_scan_result *end)
{
	struct dff_holder *holder = ctx;
	holder->progress_read = true;
	subscribe_jobs (holder);
}

static void
read_progress (struct dff_holder *holder)
{
	struct dff_scan_options options = {
		.timers = holder->options.timers,
		.rows = holder->options.rows,
		.table = DFF_TABLE_PROGRESS,
		.timeout_ms = READ_TIMEOUT_MS,
		.sink = {.row = handle_progress_row, .done = handle_progress_done, .ctx = holder},
	};
	holder->progress_scan = dff_scan_new (&options);
	dff_scan_start (holder->progress_scan);
}

void
recovery_begin (struct dff_holder *holder)
{
	holder->phase = DFF_HOLDER_READING;
	holder->progress_read = false;
	holder->jobs_read = false;
	holder->recorded =
		g_hash_table_new_full (dff_name_hash, dff_name_equal_func, g_free, free_text);
	commit_reset (holder);
	holder->dirty = g_hash_table_new (NULL, NULL);
	jobs_begin (holder);
	workers_begin (holder);
	inbox_begin (holder);
	read_progress (holder);
	speeds_begin (holder);
}

void
recovery_step (struct dff_holder *holder)
{
	if (!holder->progress_read || !holder->jobs_read || !holder->listed_once)
		return;
	holder->phase = DFF_HOLDER_HOLDING;
	*holder->metrics.is_holding = 1;
	workers_apply_pool (holder);
	jobs_recover (holder);
	g_hash_table_remove_all (holder->recorded);
	dff_log (DFF_LOG_CELL, DFF_LOG_INFO,
		 "Holding the cell. epoch=%" PRId64 " jobs=%u units=%u workers=%u "
		 "recovery_ms=%" PRId64,
		 holder->epoch, g_hash_table_size (holder->jobs), g_hash_table_size (holder->units),
		 g_hash_table_size (holder->workers), holder_now_ms (holder) - holder->taken_ms);
}

void
recovery_reset (struct dff_holder *holder)
{
	g_clear_pointer (&holder->jobs_subscription, dff_subscription_free);
	g_clear_pointer (&holder->progress_scan, dff_scan_free);
	inbox_reset (holder);
	speeds_reset (holder);
	g_clear_pointer (&holder->recorded, g_hash_table_unref);
	g_clear_pointer (&holder->dirty, g_hash_table_unref);
}
