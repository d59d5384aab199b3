#include <string.h>

#include "bench/baseline.h"

/* Compared bytewise, so the padding must be zeroed. */
struct class_key {
	struct dff_name region;
	struct dff_resources per_task;
	int32_t gang;
	int32_t adjacency;
	int32_t urgent;
	int32_t guaranteed;
};

static GBytes *
class_key_new (const struct dff_job_spec *spec)
{
	struct class_key key;
	memset (&key, 0, sizeof (key));
	key.region = spec->region;
	key.per_task = spec->per_task;
	key.gang = spec->gang;
	key.adjacency = spec->adjacency;
	key.urgent = spec->urgent;
	key.guaranteed = spec->guaranteed;
	return g_bytes_new (&key, sizeof (key));
}

static struct dff_baseline_class *
class_for (struct dff_baseline *baseline, const struct dff_baseline_job *job)
{
	g_autoptr (GBytes) key = class_key_new (&job->spec);
	struct dff_baseline_class *found = g_hash_table_lookup (baseline->classes, key);
	if (found != NULL)
		return found;
	found = g_new0 (struct dff_baseline_class, 1);
	g_hash_table_insert (baseline->classes, g_steal_pointer (&key), found);
	return found;
}

void
dff_baseline_enqueue (struct dff_baseline *baseline, struct dff_baseline_job *job)
{
	struct dff_baseline_class *queue = class_for (baseline, job);
	GList *after = queue->jobs.tail;
	while (after != NULL &&
	       ((const struct dff_baseline_job *)after->data)->sequence > job->sequence)
		after = after->prev;
	job->state = DFF_BASELINE_QUEUED;
	job->link.data = job;
	job->queue = queue;
	if (after == NULL)
		g_queue_push_head_link (&queue->jobs, &job->link);
	else
		g_queue_insert_after_link (&queue->jobs, after, &job->link);
	baseline->dirty = true;
}

void
dff_baseline_dequeue (struct dff_baseline_job *job)
{
	g_queue_unlink (&job->queue->jobs, &job->link);
}

void
dff_baseline_pass_begin (struct dff_baseline *baseline)
{
	g_ptr_array_set_size (baseline->open_classes, 0);
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, baseline->classes);
	while (g_hash_table_iter_next (&iter, NULL, &value)) {
		struct dff_baseline_class *queue = value;
		if (g_queue_is_empty (&queue->jobs))
			continue;
		queue->closed = false;
		queue->limited = false;
		queue->next = queue->jobs.head;
		g_ptr_array_add (baseline->open_classes, queue);
	}
}

static bool
comes_before (const struct dff_baseline_job *one, const struct dff_baseline_job *other)
{
	if (other == NULL)
		return true;
	if (one->spec.urgent != other->spec.urgent)
		return one->spec.urgent;
	if (one->spec.guaranteed != other->spec.guaranteed)
		return one->spec.guaranteed;
	return one->sequence < other->sequence;
}

struct dff_baseline_job *
dff_baseline_pass_next (struct dff_baseline *baseline)
{
	struct dff_baseline_class *from = NULL;
	struct dff_baseline_job *best = NULL;
	guint i = 0;
	while (i < baseline->open_classes->len) {
		struct dff_baseline_class *queue = g_ptr_array_index (baseline->open_classes, i);
		if (queue->closed || queue->next == NULL) {
			g_ptr_array_remove_index_fast (baseline->open_classes, i);
			continue;
		}
		i++;
		if (!comes_before (queue->next->data, best))
			continue;
		from = queue;
		best = queue->next->data;
	}
	if (from != NULL)
		from->next = from->next->next;
	return best;
}
