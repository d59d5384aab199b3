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
	key.idempotent = job->idempotent;
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
start_claim (struct dff_core *core, struct dff_core_job *job)
{
	int32_t workers[DFF_GANG_MAX];
	int32_t shape;
	job->hold = DFF_CORE_HOLD_CLAIM;
	if (!dff_core_claim (core, job, workers, &shape))
		return false;
	dff_core_take (core, job, workers, DFF_CORE_HOLD_CLAIM, shape);
	return true;
}

static bool
start_soft (struct dff_core *core, struct dff_core_job *job)
{
	int32_t workers[DFF_GANG_MAX];
	job->hold = DFF_CORE_HOLD_SOFT;
	if (!dff_core_place (core, job, DFF_CORE_VIEW_FREE, workers) &&
	    !(job->urgent && dff_core_place (core, job, DFF_CORE_VIEW_EVICT, workers)))
		return false;
	dff_core_take (core, job, workers, DFF_CORE_HOLD_SOFT, DFF_CORE_NONE);
	return true;
}

static void
bind_workers (struct dff_core *core,
	      const struct dff_core_job *job,
	      const int32_t *workers,
	      int32_t sign)
{
	for (int32_t i = 0; i < job->gang; i++)
		dff_resources_add (&dff_core_worker_at (core, workers[i])->bound, &job->per_task,
				   sign);
}

/* Free accelerators that are some shape's home can serve when the shape finds another one. */
static bool
place_hard_displacing (struct dff_core *core, struct dff_core_job *job, int32_t *workers)
{
	if (!dff_core_place (core, job, DFF_CORE_VIEW_FREE, workers))
		return false;
	bind_workers (core, job, workers, 1);
	bool fits = dff_core_witness_make_room (core);
	bind_workers (core, job, workers, -1);
	return fits;
}

/* Work that may not be preempted: only where no witness needs the place. */
static bool
start_hard (struct dff_core *core, struct dff_core_job *job)
{
	int32_t workers[DFF_GANG_MAX];
	job->hold = DFF_CORE_HOLD_HARD;
	if (!dff_core_place (core, job, DFF_CORE_VIEW_UNBOUND, workers) &&
	    !place_hard_displacing (core, job, workers) &&
	    !(job->urgent && dff_core_place (core, job, DFF_CORE_VIEW_EVICT_UNBOUND, workers)))
		return start_claim (core, job);
	dff_core_take (core, job, workers, DFF_CORE_HOLD_HARD, DFF_CORE_NONE);
	return true;
}

static bool
try_start (struct dff_core *core, struct dff_core_job *job)
{
	if (!within_quota (core, job))
		return false;
	if (job->guaranteed && start_claim (core, job))
		return true;
	if (dff_core_job_preemptible (job))
		return start_soft (core, job);
	return start_hard (core, job);
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
