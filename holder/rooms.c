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

static bool
is_unguarded (const struct dff_holder *holder, const struct dff_name *service)
{
	for (guint i = 0; i < holder->unguarded->len; i++) {
		if (dff_name_equal (&g_array_index (holder->unguarded, struct dff_name, i),
				    service))
			return true;
	}
	return false;
}

bool
rooms_are_known (const struct dff_holder *holder, const struct holder_worker *worker)
{
	return !is_unguarded (holder, &worker->upstream.service) ||
	       holder_now_ms (holder) - worker->entry_changed_ms <= SAID_MAX_MS;
}

bool
rooms_allow_start (const struct dff_holder *holder, const struct holder_worker *worker)
{
	return rooms_are_known (holder, worker) &&
	       dff_core_worker_has_room (holder->core, &worker->upstream.id);
}

void
rooms_work (struct dff_holder *holder)
{
	if (holder->unguarded->len == 0)
		return;
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, holder->workers);
	while (g_hash_table_iter_next (&iter, NULL, &value))
		worker_set_state (holder, value);
}

void
dff_holder_set_unguarded (struct dff_holder *holder,
			  const struct dff_name *services,
			  size_t n_services)
{
	g_array_set_size (holder->unguarded, 0);
	if (n_services > 0)
		g_array_append_vals (holder->unguarded, services, (guint)n_services);
}
