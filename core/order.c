#include "core/core_private.h"

#include <string.h>
#include <xxhash.h>

static guint
class_key_hash (gconstpointer key)
{
	return (guint)XXH3_64bits (key, sizeof (struct dff_core_class_key));
}

static gboolean
class_key_equal (gconstpointer a, gconstpointer b)
{
	return memcmp (a, b, sizeof (struct dff_core_class_key)) == 0;
}

GHashTable *
dff_core_classes_new (void)
{
	return g_hash_table_new_full (class_key_hash, class_key_equal, NULL, g_free);
}

static struct dff_core_class *
class_for (struct dff_core *core, const struct dff_core_job *job)
{
	struct dff_core_class_key key;
	memset (&key, 0, sizeof (key));
	key.team = job->team;
	key.region = job->region;
	key.gang = job->gang;
	key.per_task = job->per_task;
	key.adjacency = job->adjacency;
	key.urgent = job->urgent;
	key.guaranteed = job->guaranteed;
	struct dff_core_class *found = g_hash_table_lookup (core->classes, &key);
	if (found != NULL)
		return found;
	found = g_new0 (struct dff_core_class, 1);
	found->key = key;
	g_hash_table_insert (core->classes, &found->key, found);
	return found;
}

static int
compare_age (gconstpointer a, gconstpointer b, G_GNUC_UNUSED gpointer user)
{
	const struct dff_core_job *one = a;
	const struct dff_core_job *other = b;
	if (one->submitted_ms != other->submitted_ms)
		return one->submitted_ms < other->submitted_ms ? -1 : 1;
	return dff_name_compare (&one->id, &other->id);
}

void
dff_core_enqueue (struct dff_core *core, struct dff_core_job *job)
{
	g_assert (job->state == DFF_CORE_QUEUED && job->queue_class == NULL);
	struct dff_core_class *queue_class = class_for (core, job);
	job->queue_class = queue_class;
	core->dirty = true;
	/* Nearly always the newest; a job that comes back after an attempt goes before younger. */
	GList *before = NULL;
	for (GList *at = queue_class->jobs.tail; at != NULL; at = at->prev) {
		if (compare_age (at->data, job, NULL) <= 0)
			break;
		before = at;
	}
	if (before == NULL)
		g_queue_push_tail_link (&queue_class->jobs, &job->link);
	else
		g_queue_insert_before_link (&queue_class->jobs, before, &job->link);
}

void
dff_core_dequeue (struct dff_core *core, struct dff_core_job *job)
{
	struct dff_core_class *queue_class = job->queue_class;
	if (queue_class == NULL)
		return;
	g_queue_unlink (&queue_class->jobs, &job->link);
	job->queue_class = NULL;
	if (g_queue_is_empty (&queue_class->jobs))
		g_hash_table_remove (core->classes, &queue_class->key);
}

static int
compare_classes (gconstpointer a, gconstpointer b)
{
	const struct dff_core_class *one = *(struct dff_core_class *const *)a;
	const struct dff_core_class *other = *(struct dff_core_class *const *)b;
	if (one->key.guaranteed != other->key.guaranteed)
		return one->key.guaranteed ? -1 : 1;
	if (one->key.urgent != other->key.urgent)
		return one->key.urgent ? -1 : 1;
	return compare_age (one->jobs.head->data, other->jobs.head->data, NULL);
}

static GPtrArray *
sorted_classes (struct dff_core *core)
{
	GPtrArray *sorted = g_ptr_array_sized_new (g_hash_table_size (core->classes));
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, core->classes);
	while (g_hash_table_iter_next (&iter, NULL, &value))
		g_ptr_array_add (sorted, value);
	g_ptr_array_sort (sorted, compare_classes);
	return sorted;
}

static bool
within_quota (const struct dff_core *core, const struct dff_core_job *job)
{
	const struct dff_core_team *team = dff_core_team_at (core, job->team);
	int64_t asked = (int64_t)job->gang * job->per_task.accelerators;
	return team->quota_accelerators == 0 ||
	       team->accelerators + asked <= team->quota_accelerators;
}

static bool
try_start (struct dff_core *core, struct dff_core_job *job)
{
	int32_t workers[DFF_GANG_MAX];
	if (!within_quota (core, job) || !dff_core_place (core, job, workers))
		return false;
	job->members = g_new0 (struct dff_core_member, (gsize)job->gang);
	for (int32_t i = 0; i < job->gang; i++)
		job->members[i].worker = workers[i];
	dff_core_attempt_begin (core, job);
	return true;
}

void
dff_core_run_queue (struct dff_core *core)
{
	if (!core->dirty)
		return;
	core->dirty = false;
	g_autoptr (GPtrArray) sorted = sorted_classes (core);
	for (guint i = 0; i < sorted->len; i++) {
		struct dff_core_class *queue_class = g_ptr_array_index (sorted, i);
		/* The class goes with its last job: look at the length before the job starts. */
		bool last = false;
		while (!last) {
			last = queue_class->jobs.length == 1;
			if (!try_start (core, queue_class->jobs.head->data))
				break;
		}
	}
}
