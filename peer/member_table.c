#include "peer/member_table.h"

#include "common/rendezvous.h"

static int
compare_entries (gconstpointer a, gconstpointer b)
{
	const struct dff_member_entry *const *left = a;
	const struct dff_member_entry *const *right = b;
	return dff_name_compare (&(*left)->instance.id, &(*right)->instance.id);
}

static int
compare_positions (gconstpointer a, gconstpointer b)
{
	const struct dff_member_entry *const *left = a;
	const struct dff_member_entry *const *right = b;
	if ((*left)->position != (*right)->position)
		return (*left)->position < (*right)->position ? -1 : 1;
	return compare_entries (a, b);
}

struct dff_member_table *
dff_member_table_new (const struct dff_instance *self)
{
	struct dff_member_table *table = g_new0 (struct dff_member_table, 1);
	table->entries = g_ptr_array_new_with_free_func (g_free);
	table->ring = g_ptr_array_new ();
	table->self = dff_member_table_add (table, self, 0);
	table->self->known.liveness = DFF_LIVENESS_ALIVE;
	table->self->known.incarnation = 1;
	return table;
}

void
dff_member_table_free (struct dff_member_table *table)
{
	g_ptr_array_free (table->ring, TRUE);
	g_ptr_array_free (table->entries, TRUE);
	g_free (table);
}

struct dff_member_entry *
dff_member_table_find (const struct dff_member_table *table, const struct dff_name *id)
{
	guint low = 0;
	guint high = table->entries->len;
	while (low < high) {
		guint middle = low + (high - low) / 2;
		struct dff_member_entry *entry = table->entries->pdata[middle];
		int order = dff_name_compare (id, &entry->instance.id);
		if (order == 0)
			return entry;
		if (order < 0)
			high = middle;
		else
			low = middle + 1;
	}
	return NULL;
}

struct dff_member_entry *
dff_member_table_add (struct dff_member_table *table,
		      const struct dff_instance *instance,
		      int64_t now_ms)
{
	struct dff_member_entry *entry = g_new0 (struct dff_member_entry, 1);
	entry->instance = *instance;
	entry->known.id = instance->id;
	entry->known.liveness = DFF_LIVENESS_SUSPECT;
	entry->heartbeat_received_ms = now_ms;
	entry->direct_received_ms = DFF_TIME_NEVER;
	entry->corrected_ms = DFF_TIME_NEVER;
	entry->liveness_since_ms = now_ms;
	entry->position = dff_rendezvous_weight (dff_str_from ("ring"), &instance->id);
	g_ptr_array_add (table->entries, entry);
	g_ptr_array_sort (table->entries, compare_entries);
	return entry;
}

void
dff_member_table_remove (struct dff_member_table *table, guint index)
{
	g_ptr_array_remove (table->ring, table->entries->pdata[index]);
	g_ptr_array_remove_index (table->entries, index);
}

static guint
ring_place_of_self (const struct dff_member_table *table)
{
	guint place = 0;
	bool found = g_ptr_array_find (table->ring, table->self, &place);
	g_assert (found);
	return place;
}

/* Suspects are skipped when neighbours on the ring are counted: when many members fail at once, so
 * do their neighbours, and each group of dead members would have to be removed before the next
 * could be evaluated. A member without any heartbeat counts, or none would send at the start. */
static bool
counts_on_ring (const struct dff_member_entry *entry)
{
	return entry->known.liveness == DFF_LIVENESS_ALIVE || entry->known.incarnation == 0;
}

static void
set_observed (struct dff_member_entry *entry, bool observed, int64_t now_ms)
{
	if (observed && !entry->observed)
		entry->heartbeat_received_ms = now_ms;
	entry->observed = observed;
}

void
dff_member_table_arrange (struct dff_member_table *table, int32_t n_observers, int64_t now_ms)
{
	g_ptr_array_set_size (table->ring, 0);
	for (guint i = 0; i < table->entries->len; i++) {
		struct dff_member_entry *entry = table->entries->pdata[i];
		if (entry->known.liveness != DFF_LIVENESS_DEAD)
			g_ptr_array_add (table->ring, entry);
		else
			entry->observed = false;
	}
	g_ptr_array_sort (table->ring, compare_positions);
	guint place = ring_place_of_self (table);
	guint n = table->ring->len;
	int32_t n_counted = 0;
	for (guint step = 1; step < n; step++) {
		struct dff_member_entry *predecessor = table->ring->pdata[(place + n - step) % n];
		set_observed (predecessor, n_counted < n_observers, now_ms);
		n_counted += counts_on_ring (predecessor);
	}
}

static GPtrArray *
counted_successors (const struct dff_member_table *table)
{
	GPtrArray *successors = g_ptr_array_new ();
	guint place = ring_place_of_self (table);
	guint n = table->ring->len;
	for (guint step = 1; step < n; step++) {
		struct dff_member_entry *successor = table->ring->pdata[(place + step) % n];
		if (counts_on_ring (successor))
			g_ptr_array_add (successors, successor);
	}
	return successors;
}

static void
add_new (GPtrArray *out, gpointer entry)
{
	if (!g_ptr_array_find (out, entry, NULL))
		g_ptr_array_add (out, entry);
}

void
dff_member_table_targets (const struct dff_member_table *table, int32_t n_observers, GPtrArray *out)
{
	g_autoptr (GPtrArray) successors = counted_successors (table);
	guint n_near = MIN ((guint)n_observers, successors->len);
	guint n_wanted = MIN (2 * n_near, successors->len);
	for (guint i = 0; i < n_near; i++)
		g_ptr_array_add (out, successors->pdata[i]);
	guint n_members = successors->len + 1;
	for (guint distance = n_members / 2; distance > 0 && out->len < n_wanted; distance /= 2)
		add_new (out, successors->pdata[distance - 1]);
	for (guint i = n_near; i < successors->len && out->len < n_wanted; i++)
		add_new (out, successors->pdata[i]);
}
