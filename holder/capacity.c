#include "holder/holder_private.h"

/* Free capacity of workers. Workers report their capacity in their list entries, and it may shrink
 * while tasks run. Most workers reject tasks that exceed it; the workers of some services start
 * every task they are sent. Guards against overloading such a worker: its capacity may shrink while
 * its entry does not reach the store or the holder, or while a start is being recorded. So the last
 * report is only valid for a limited time. */

/** Longest age of the capacity report with which a worker that does not enforce its capacity gets
 * new tasks, ms. It spans two of the worker's entries. It is shorter than the time that whoever
 * shrinks a worker's capacity allows for the holder to take this into account. */
#define REPORT_AGE_MAX_MS 3000
/** Interval at which the free capacity is published, ms. */
#define PUBLISH_INTERVAL_MS 1000

bool
capacity_is_known (const struct dff_holder *holder, const struct holder_worker *worker)
{
	return !holder_names_have (holder->unenforced, &worker->upstream.service) ||
	       holder_now_ms (holder) - worker->entry_changed_ms <= REPORT_AGE_MAX_MS;
}

bool
capacity_allows_start (const struct dff_holder *holder, const struct holder_worker *worker)
{
	return capacity_is_known (holder, worker) &&
	       dff_core_worker_within_capacity (holder->core, &worker->upstream.incarnation.id);
}

bool
capacity_can_expire (const struct dff_holder *holder)
{
	return holder->unenforced->len > 0;
}

void
dff_holder_set_unenforced (struct dff_holder *holder,
			   const struct dff_name *services,
			   size_t n_services)
{
	holder_names_set (holder->unenforced, services, n_services);
}

void
capacity_publish (struct dff_holder *holder)
{
	int64_t now_ms = holder_now_ms (holder);
	if (now_ms < holder->capacity_due_ms)
		return;
	holder->capacity_due_ms = now_ms + PUBLISH_INTERVAL_MS;
	struct dff_core_stats stats;
	dff_core_get_stats (holder->core, &stats);
	*holder->metrics.bulk_holds += stats.bulk_holds - holder->published.bulk_holds;
	*holder->metrics.eviction_delays +=
		stats.eviction_delays - holder->published.eviction_delays;
	holder->published = stats;
	*holder->metrics.free_accelerators = stats.accelerators_free;
	for (int32_t i = 0; i < DFF_CORE_GANG_SIZES; i++)
		*holder->metrics.largest_gangs[i] = stats.largest_gangs[i];
}

void
capacity_clear_metrics (struct dff_holder *holder)
{
	holder->capacity_due_ms = 0;
	holder->published = (struct dff_core_stats){0};
	*holder->metrics.free_accelerators = 0;
	for (int32_t i = 0; i < DFF_CORE_GANG_SIZES; i++)
		*holder->metrics.largest_gangs[i] = 0;
}
