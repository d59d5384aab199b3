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
