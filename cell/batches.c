#include "cell/cell_private.h"

#include <inttypes.h>

#include "common/log.h"

/* Detects batches whose jobs neither start nor end. A stuck overnight batch raises no error, and
 * would otherwise go unnoticed until its results are requested. */

/** Interval at which batches are checked, ms. */
#define BATCHES_INTERVAL_MS 1000
/** A batch may go without a change for this many times its longest declared run time. */
#define DECLARED_FACTOR 3

void
dff_cell_batch_join (struct dff_cell *cell, const struct dff_job_row *row)
{
	if (dff_name_is_empty (&row->batch))
		return;
	struct dff_cell_batch *batch = g_hash_table_lookup (cell->batches, &row->batch);
	if (batch == NULL) {
		batch = g_new0 (struct dff_cell_batch, 1);
		batch->name = row->batch;
		g_hash_table_insert (cell->batches, &batch->name, batch);
	}
	batch->remaining += 1;
	batch->declared_ms = MAX (batch->declared_ms, row->spec.declared_ms);
	batch->changed_ms = dff_cell_now_ms (cell);
}

void
dff_cell_batch_progress (struct dff_cell *cell, const struct dff_job_row *row)
{
	struct dff_cell_batch *batch = g_hash_table_lookup (cell->batches, &row->batch);
	if (batch == NULL)
		return;
	batch->changed_ms = dff_cell_now_ms (cell);
	if (!batch->stalled)
		return;
	batch->stalled = false;
	*cell->metrics.batches_stalled -= 1;
}

void
dff_cell_batch_leave (struct dff_cell *cell, const struct dff_job_row *row)
{
	struct dff_cell_batch *batch = g_hash_table_lookup (cell->batches, &row->batch);
	if (batch == NULL)
		return;
	dff_cell_batch_progress (cell, row);
	batch->remaining -= 1;
	if (batch->remaining == 0)
		g_hash_table_remove (cell->batches, &row->batch);
}

void
dff_cell_batches_clear (struct dff_cell *cell)
{
	g_hash_table_remove_all (cell->batches);
	*cell->metrics.batches_stalled = 0;
}

static void
check_batch (struct dff_cell *cell, struct dff_cell_batch *batch)
{
	int64_t limit_ms = cell->options.batch_stall_ms + DECLARED_FACTOR * batch->declared_ms;
	int64_t idle_ms = dff_cell_now_ms (cell) - batch->changed_ms;
	if (batch->stalled || idle_ms < limit_ms)
		return;
	batch->stalled = true;
	*cell->metrics.batches_stalled += 1;
	*cell->metrics.batch_stalls += 1;
	dff_log (DFF_LOG_CELL, DFF_LOG_WARNING,
		 "Batch makes no progress. batch=%s jobs=%d ms=%" PRId64, batch->name.data,
		 batch->remaining, idle_ms);
}

void
dff_cell_batches_tick (struct dff_cell *cell)
{
	if (dff_cell_now_ms (cell) < cell->batches_due_ms)
		return;
	cell->batches_due_ms = dff_cell_now_ms (cell) + BATCHES_INTERVAL_MS;
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, cell->batches);
	while (g_hash_table_iter_next (&iter, NULL, &value))
		check_batch (cell, value);
}
