#include "backing/memory_instances.h"

#include <string.h>

struct entry {
	struct dff_instance instance;
	/** Time at which the entry leaves the list, lag included, ms. */
	int64_t expires_ms;
};

struct change {
	int64_t visible_ms;
	bool removed;
	struct entry entry;
};

void
dff_memory_instances_init (struct dff_memory_instances *instances, int32_t lag_ms)
{
	instances->lag_ms = lag_ms;
	g_queue_init (&instances->changes);
	instances->visible = g_ptr_array_new_with_free_func (g_free);
}

void
dff_memory_instances_clear (struct dff_memory_instances *instances)
{
	g_queue_clear_full (&instances->changes, g_free);
	g_ptr_array_unref (instances->visible);
}

/* Returns: the index of @id, or the index at which to insert it. */
static guint
find (const GPtrArray *visible, const struct dff_name *id, bool *found)
{
	*found = false;
	for (guint i = 0; i < visible->len; i++) {
		const struct entry *entry = visible->pdata[i];
		int order = dff_name_compare (&entry->instance.id, id);
		*found = order == 0;
		if (order >= 0)
			return i;
	}
	return visible->len;
}

static void
apply (GPtrArray *visible, const struct change *change)
{
	bool found;
	guint index = find (visible, &change->entry.instance.id, &found);
	if (found)
		g_ptr_array_remove_index (visible, index);
	if (!change->removed)
		g_ptr_array_insert (visible, (gint)index,
				    g_memdup2 (&change->entry, sizeof (change->entry)));
}

static void
advance (struct dff_memory_instances *instances, int64_t now_ms)
{
	for (;;) {
		struct change *change = g_queue_peek_head (&instances->changes);
		if (change == NULL || change->visible_ms > now_ms)
			break;
		apply (instances->visible, change);
		g_free (g_queue_pop_head (&instances->changes));
	}
	for (guint i = instances->visible->len; i > 0; i--) {
		const struct entry *entry = instances->visible->pdata[i - 1];
		if (entry->expires_ms <= now_ms)
			g_ptr_array_remove_index (instances->visible, i - 1);
	}
}

void
dff_memory_instances_announce (struct dff_memory_instances *instances,
			       const struct dff_instance *instance,
			       int32_t ttl_ms,
			       int64_t now_ms)
{
	/* Bounds the queue to the changes within the lag when the list is never read. */
	advance (instances, now_ms);
	struct change *change = g_new0 (struct change, 1);
	change->visible_ms = now_ms + instances->lag_ms;
	change->entry.instance = *instance;
	change->entry.expires_ms = ttl_ms == 0 ? INT64_MAX : change->visible_ms + ttl_ms;
	g_queue_push_tail (&instances->changes, change);
}

void
dff_memory_instances_remove (struct dff_memory_instances *instances,
			     const struct dff_name *id,
			     int64_t now_ms)
{
	struct change *change = g_new0 (struct change, 1);
	change->visible_ms = now_ms + instances->lag_ms;
	change->removed = true;
	change->entry.instance.id = *id;
	g_queue_push_tail (&instances->changes, change);
}

GArray *
dff_memory_instances_list (struct dff_memory_instances *instances, int64_t now_ms)
{
	advance (instances, now_ms);
	GArray *list = g_array_new (FALSE, FALSE, sizeof (struct dff_instance));
	for (guint i = 0; i < instances->visible->len; i++) {
		const struct entry *entry = instances->visible->pdata[i];
		g_array_append_val (list, entry->instance);
	}
	return list;
}
