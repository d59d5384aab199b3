#include <string.h>

#include "cell/cell_private.h"

/*
 * Publishes the counters of the core as metrics. A core begins at zero at each takeover and a
 * metric counter must not decrease, so the increase since the last publication is added.
 */

#define PUBLISH_INTERVAL_MS 1000
#define PERMILLE 1000

void
dff_cell_core_metrics_init (struct dff_cell *cell, struct dff_metrics *metrics)
{
	struct dff_cell_core_metrics *m = &cell->core_metrics;
	m->reclaims = dff_metrics_counter (metrics, "dff_core_reclaims_total",
					   "Times borrowing work made room for a claim.");
	m->preemptions = dff_metrics_counter (metrics, "dff_core_preemptions_total",
					      "Attempts stopped to make room.");
	m->moves = dff_metrics_counter (metrics, "dff_core_moves_total",
					"Jobs moved to make racks whole.");
	m->start_failures = dff_metrics_counter (metrics, "dff_core_start_failures_total",
						 "Attempts that did not start.");
	m->retries = dff_metrics_counter (metrics, "dff_core_retries_total",
					  "Attempts that were followed by another.");
	m->quarantined = dff_metrics_gauge (metrics, "dff_core_workers_quarantined",
					    "Workers set aside now.");
	m->guarantees_missing = dff_metrics_gauge (metrics, "dff_core_guarantees_missing",
						   "Guaranteed shapes without a place now.");
	m->fragmentation = dff_metrics_gauge (metrics, "dff_core_fragmentation_permille",
					      "Free accelerators that the largest shape cannot "
					      "use.");
}

static void
publish (struct dff_cell_core_metrics *m, const struct dff_core_stats *now)
{
	*m->reclaims += now->reclaims - m->published.reclaims;
	*m->preemptions += now->preemptions - m->published.preemptions;
	*m->moves += now->moves - m->published.moves;
	*m->start_failures += now->start_failures - m->published.start_failures;
	*m->retries += now->retries - m->published.retries;
	*m->quarantined = now->workers_quarantined;
	*m->guarantees_missing = now->witnesses_missing;
	*m->fragmentation = (int64_t)(now->fragmentation * PERMILLE);
	m->published = *now;
}

void
dff_cell_core_metrics_tick (struct dff_cell *cell)
{
	struct dff_cell_core_metrics *m = &cell->core_metrics;
	int64_t now_ms = dff_cell_now_ms (cell);
	if (now_ms < m->due_ms)
		return;
	m->due_ms = now_ms + PUBLISH_INTERVAL_MS;
	struct dff_core_stats stats;
	dff_core_get_stats (cell->core, &stats);
	publish (m, &stats);
}

void
dff_cell_core_metrics_end (struct dff_cell *cell)
{
	struct dff_cell_core_metrics *m = &cell->core_metrics;
	struct dff_core_stats stats;
	dff_core_get_stats (cell->core, &stats);
	publish (m, &stats);
	memset (&m->published, 0, sizeof (m->published));
	*m->quarantined = 0;
	*m->guarantees_missing = 0;
	*m->fragmentation = 0;
	m->due_ms = 0;
}
