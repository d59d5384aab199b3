#include "core/core_private.h"

#include <string.h>
#include <xxhash.h>

/* Queues of interchangeable jobs. */

/** Added to the constraints hash of isolated jobs. */
#define ISOLATED_HASH 29791
/** Added to that of single tasks with checkpoints, which may be started where others wait. */
#define CHECKPOINT_HASH 923521

guint
dff_core_class_key_hash (gconstpointer key)
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
	return g_hash_table_new_full (dff_core_class_key_hash, class_key_equal, NULL, g_free);
}

/* Estimates within a factor of two get the same level. */
static int32_t
estimate_level (int64_t estimate_ms)
{
	return 64 - __builtin_clzll ((uint64_t)MAX (estimate_ms, 1));
}

static guint32
constraints_hash (const struct dff_core *core, const struct dff_core_job *job)
{
	guint32 hash = (guint32)(job->label + 1) + (guint32)(job->data_rack + 1) * 31;
	if (dff_core_job_is_isolated (core, job))
		hash += ISOLATED_HASH;
	if (job->per_worker > 0)
		hash += (guint32)job->spread_group * 961;
	if (job->checkpoint && core->options.first_checkpoint_ms > 0 &&
	    dff_core_job_is_single (job))
		hash += CHECKPOINT_HASH;
	return hash;
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
	key.estimate_level = estimate_level (dff_core_remaining_ms (core, job));
	key.worker_constraints = constraints_hash (core, job);
	struct dff_core_class *found = g_hash_table_lookup (core->classes, &key);
	if (found != NULL)
		return found;
	found = g_new0 (struct dff_core_class, 1);
	found->key = key;
	g_hash_table_insert (core->classes, &found->key, found);
	return found;
}

int
dff_core_compare_age (const struct dff_core_job *one, const struct dff_core_job *other)
{
	if (one->submitted_ms != other->submitted_ms)
		return one->submitted_ms < other->submitted_ms ? -1 : 1;
	return dff_name_compare (&one->id, &other->id);
}

void
dff_core_enqueue (struct dff_core *core, struct dff_core_job *job)
{
	g_assert (job->state == DFF_CORE_QUEUED && job->queue_class == NULL);
	dff_core_estimate (job);
	job->queued_ms = core->now_ms;
	struct dff_core_class *queue_class = class_for (core, job);
	job->queue_class = queue_class;
	core->dirty = true;
	/* Nearly every job is the newest; one that returns is usually the oldest. */
	GList *before = queue_class->jobs.head;
	if (before != NULL && dff_core_compare_age (before->data, job) <= 0) {
		GList *after = queue_class->jobs.tail;
		while (dff_core_compare_age (after->data, job) > 0)
			after = after->prev;
		before = after->next;
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
	job->waited_ms += core->now_ms - job->queued_ms;
	dff_core_release_racks (core, job);
	if (g_queue_is_empty (&queue_class->jobs))
		g_hash_table_remove (core->classes, &queue_class->key);
}
