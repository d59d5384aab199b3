#include "cell/cell_private.h"

#include "common/log.h"

/* Reads job rows in order of revision, from the last one read. A scan page by page misses no row,
 * because a row that changes meanwhile moves to the end of the order. */

/** Interval of scans when no hint arrives, ms. */
#define FEED_INTERVAL_MS 1000

void
dff_cell_feed_start (struct dff_cell *cell)
{
	cell->feed = (struct dff_cell_feed){.due_ms = dff_cell_now_ms (cell)};
}

static struct dff_job_row *
decode (struct dff_cell *cell, const struct dff_table_row *table_row)
{
	g_autoptr (GError) error = NULL;
	struct dff_job_row *row =
		dff_job_row_decode (table_row->value, table_row->revision, &error);
	if (row != NULL)
		return row;
	*cell->metrics.bad_rows += 1;
	dff_log (DFF_LOG_CELL, DFF_LOG_ERROR, "Job row cannot be read. key=%.*s cause=%s",
		 (int)table_row->key.len, table_row->key.data, error->message);
	return NULL;
}

/* An unknown job is new only if its row is queued. If the row is open or ended, the job is unknown
 * because it has ended and this holder has removed it. */
static void
handle_new_row (struct dff_cell *cell, struct dff_job_row *row)
{
	if (row->state != DFF_JOB_ROW_QUEUED) {
		dff_job_row_free (row);
		return;
	}
	struct dff_cell_job *job = dff_cell_job_add (cell, row);
	dff_cell_span_next (cell, job, "ok", "queue");
	struct dff_event event = {
		.type = DFF_EVENT_JOB_SUBMITTED,
		.job = row->spec.id,
		.spec = &row->spec,
	};
	dff_cell_queue_event (cell, &event);
	if (row->cancel_requested)
		dff_cell_job_cancelled (cell, job);
}

static void
handle_known_row (struct dff_cell *cell, struct dff_cell_job *job, const struct dff_job_row *row)
{
	if (row->revision <= job->row->revision || row->state == DFF_JOB_ROW_ENDED)
		return;
	/* While a write is outstanding, its answer sets the revision. */
	if (!job->writing)
		job->row->revision = row->revision;
	if (row->cancel_requested)
		dff_cell_job_cancelled (cell, job);
}

static void
handle_row (struct dff_cell *cell, const struct dff_table_row *table_row)
{
	struct dff_job_row *row = decode (cell, table_row);
	if (row == NULL)
		return;
	if (cell->phase == DFF_CELL_SCANNING) {
		dff_cell_recovery_apply_row (cell, row);
		return;
	}
	struct dff_cell_job *job = dff_cell_job_find (cell, &row->spec.id);
	if (job == NULL) {
		handle_new_row (cell, row);
		return;
	}
	handle_known_row (cell, job, row);
	dff_job_row_free (row);
}

static void
on_scan (void *user, const struct dff_table_result *result)
{
	struct dff_cell_call call;
	if (!dff_cell_call_end (user, &call))
		return;
	struct dff_cell *cell = call.cell;
	struct dff_cell_feed *feed = &cell->feed;
	int64_t now_ms = dff_cell_now_ms (cell);
	feed->scanning = false;
	if (result->outcome != DFF_TABLE_OK) {
		feed->due_ms = now_ms + dff_cell_backoff_ms (cell, feed->tries++);
		return;
	}
	feed->tries = 0;
	for (size_t i = 0; i < result->n_rows; i++) {
		handle_row (cell, &result->rows[i]);
		feed->cursor = result->rows[i].revision;
	}
	bool more = result->more;
	if (!more)
		feed->scanned_revision = result->revision;
	feed->due_ms = more || feed->hinted ? now_ms : now_ms + FEED_INTERVAL_MS;
	feed->hinted = false;
	if (!more && cell->phase == DFF_CELL_SCANNING)
		dff_cell_recovery_scanned (cell);
}

void
dff_cell_feed_tick (struct dff_cell *cell)
{
	struct dff_cell_feed *feed = &cell->feed;
	if (feed->scanning || dff_cell_now_ms (cell) < feed->due_ms)
		return;
	feed->scanning = true;
	feed->hinted = false;
	struct dff_cell_call *call = dff_cell_call_begin (cell, DFF_CELL_CALL_SCAN);
	const struct dff_table *table = cell->options.table;
	struct dff_str prefix = {.data = cell->prefix->str, .len = cell->prefix->len};
	table->scan (table->ctx, prefix, feed->cursor, DFF_CELL_PAGE_ROWS, on_scan, call);
}
