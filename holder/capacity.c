#include "holder/holder_private.h"

/* What workers have room for. They tell with their entries, and it may shrink while they run. Most
 * refuse what they have no room for; those of some services start whatever they are told to.
 * Symptom without this: such a worker gets more than it has room for. Sequence: its room shrinks
 * while what it writes does not reach the store, or the process that decides, or while a start is
 * on its way to the record. Cause: what a worker had said last was taken to be so for as long as it
 * answered. */

/** Age of what an unguarded worker has said of itself beyond which it gets nothing new, ms: two of
 * its entries, and less than whoever shrinks its room counts with. */
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
