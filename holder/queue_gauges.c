#include "holder/holder_private.h"

/* Gauges of the core's queue. Computing them walks over all jobs, so it is done at intervals. */

#define INTERVAL_MS 1000
#define PERMILLE 1000

void
queue_gauges_open (struct dff_holder *holder)
{
	struct dff_metrics *metrics = holder->options.metrics;
	static const char *const names[DFF_PROSPECT_NONE + 1] = {
		[DFF_PROSPECT_IN_TIME] = "dff_holder_queued_units{prospect=\"in_time\"}",
		[DFF_PROSPECT_LATE] = "dff_holder_queued_units{prospect=\"late\"}",
		[DFF_PROSPECT_MISSED] = "dff_holder_queued_units{prospect=\"missed\"}",
		[DFF_PROSPECT_NONE] = "dff_holder_queued_units{prospect=\"none\"}",
	};
	for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
		holder->metrics.queued_units[i] = dff_metrics_gauge (
			metrics, names[i], "Units that wait, by what they can still achieve.");
	holder->metrics.share_excess = dff_metrics_gauge (
		metrics, "dff_holder_share_excess_permille",
		"By how much of its share the team furthest above its share is above it.");
}

void
queue_gauges_step (struct dff_holder *holder)
{
	int64_t now_ms = holder_now_ms (holder);
	if (now_ms < holder->queue_gauges_due_ms)
		return;
	holder->queue_gauges_due_ms = now_ms + INTERVAL_MS;
	struct dff_core_queue_stats stats;
	dff_core_get_queue_stats (holder->core, &stats);
	for (size_t i = 0; i < G_N_ELEMENTS (stats.prospects); i++)
		*holder->metrics.queued_units[i] = stats.prospects[i];
	*holder->metrics.share_excess = (int64_t)(stats.share_excess * PERMILLE);
}

void
queue_gauges_reset (struct dff_holder *holder)
{
	for (size_t i = 0; i < G_N_ELEMENTS (holder->metrics.queued_units); i++)
		*holder->metrics.queued_units[i] = 0;
	*holder->metrics.share_excess = 0;
	holder->queue_gauges_due_ms = 0;
}
