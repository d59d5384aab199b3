#include "holder/holder_private.h"

/* What workers have room for. They tell with their entries, and it may shrink while they run. Most
 * refuse what they have no room for; those of some services start whatever they are told to.
 * Symptom without this: such a worker gets more than it has room for. Sequence: its room shrinks
 * while what it writes does not reach the store, or the process that decides, or while a start is
 * on its way to the record. Cause: what a worker had said last was taken to be so for as long as it
 * answered. */

/** Age of what an unguarded worker has said of itself beyond which it gets nothing new, ms: two of
 * its entries, and less than whoever shrinks its room counts with. */
#define SAID_MAX_MS 3000

bool
rooms_are_known (const struct dff_holder *holder, const struct holder_worker *worker)
{
	return !holder_names_have (holder->unguarded, &worker->upstream.service) ||
	       holder_now_ms (holder) - worker->entry_changed_ms <= SAID_MAX_MS;
}

bool
rooms_allow_start (const struct dff_holder *holder, const struct holder_worker *worker)
{
	return rooms_are_known (holder, worker) &&
	       dff_core_worker_within_capacity (holder->core, &worker->upstream.incarnation.id);
}

bool
rooms_may_get_old (const struct dff_holder *holder)
{
	return holder->unguarded->len > 0;
}

void
dff_holder_set_unenforced (struct dff_holder *holder,
			   const struct dff_name *services,
			   size_t n_services)
{
	holder_names_set (holder->unguarded, services, n_services);
}
