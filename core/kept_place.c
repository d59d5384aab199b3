#include "core/core_private.h"

/* The place of a gang whose attempt ends because of one of its members. Its workers become free one
 * after the other, as their members stop; other work would take them before the gang can be placed
 * again. The workers on which no member has failed are therefore kept for the gang until its next
 * attempt, for a limited time. Work that has a right to the capacity gets it nevertheless. */

/** Time from the end of the last member for which a place is kept, ms. */
#define KEPT_MS 1000
/** Longest time for which a place is kept while members are being stopped, ms. A stop takes less
 * than a second unless a worker does not answer. */
#define STOPPING_MAX_MS 2000

struct kept_member {
	/** DFF_CORE_NONE when the member's place is not kept. */
	int32_t worker;
	/** Whether the member has ended: until then it holds a lease. */
	bool freed;
};

struct dff_core_kept_place {
	struct dff_core_job *job;
	/** Number of @members that have ended and whose place is kept. */
	int32_t n_freed_members;
	int64_t until_ms;
	/** Whether other work has taken a part of it. */
	bool taken;
	/** Link in the core's @kept_places. */
	GList link;
	/** One for each member of the gang. */
	struct kept_member members[];
};

/** What a place keeps on one worker. A search for a place for other work compares thousands of
 * workers: it must not depend on the number of places and of their members. */
struct kept_share {
	struct dff_core_kept_place *place;
	/** Number of its members that have ended there. */
	int32_t n_tasks;
};

GHashTable *
dff_core_kept_by_worker_new (void)
{
	return g_hash_table_new_full (NULL, NULL, NULL, (GDestroyNotify)g_array_unref);
}

static struct dff_core_kept_place *
find_place (const struct dff_core *core, const struct dff_core_job *job)
{
	return g_hash_table_lookup (core->kept_by_job, &job->id);
}

static gpointer
worker_key (const struct dff_core *core, const struct dff_core_worker *worker)
{
	return GINT_TO_POINTER ((int)(worker - dff_core_worker_at (core, 0)));
}

/* Returns: (nullable): the shares of all places on a worker. */
static GArray *
shares_on (const struct dff_core *core, const struct dff_core_worker *worker)
{
	if (worker->n_kept_tasks == 0)
		return NULL;
	return g_hash_table_lookup (core->kept_by_worker, worker_key (core, worker));
}

static void
share_add (struct dff_core *core, struct dff_core_kept_place *place, int32_t index)
{
	struct dff_core_worker *worker = dff_core_worker_at (core, index);
	GArray *shares = shares_on (core, worker);
	if (shares == NULL) {
		shares = g_array_new (FALSE, TRUE, sizeof (struct kept_share));
		g_hash_table_insert (core->kept_by_worker, worker_key (core, worker), shares);
	}
	worker->n_kept_tasks++;
	place->n_freed_members++;
	for (guint i = 0; i < shares->len; i++) {
		struct kept_share *share = &g_array_index (shares, struct kept_share, i);
		if (share->place != place)
			continue;
		share->n_tasks++;
		return;
	}
	struct kept_share share = {.place = place, .n_tasks = 1};
	g_array_append_val (shares, share);
}

static void
share_remove (struct dff_core *core, struct dff_core_kept_place *place, int32_t index)
{
	struct dff_core_worker *worker = dff_core_worker_at (core, index);
	GArray *shares = shares_on (core, worker);
	worker->n_kept_tasks--;
	place->n_freed_members--;
	for (guint i = 0; i < shares->len; i++) {
		struct kept_share *share = &g_array_index (shares, struct kept_share, i);
		if (share->place != place)
			continue;
		if (--share->n_tasks == 0)
			g_array_remove_index (shares, i);
		break;
	}
	if (shares->len == 0)
		g_hash_table_remove (core->kept_by_worker, worker_key (core, worker));
}

static void
drop_member (struct dff_core *core, struct dff_core_kept_place *place, struct kept_member *member)
{
	if (member->freed) {
		share_remove (core, place, member->worker);
		core->dirty = true;
	}
	*member = (struct kept_member){.worker = DFF_CORE_NONE};
}

static void
drop_worker (struct dff_core *core, struct dff_core_kept_place *place, int32_t worker)
{
	for (int32_t i = 0; i < place->job->gang; i++) {
		if (place->members[i].worker == worker)
			drop_member (core, place, &place->members[i]);
	}
}

static void
free_member (struct dff_core *core, struct dff_core_kept_place *place, struct kept_member *member)
{
	if (member->worker == DFF_CORE_NONE)
		return;
	member->freed = true;
	share_add (core, place, member->worker);
}

/* Whether the job will have another attempt, as far as is known before the end of this one. */
static bool
is_retried (const struct dff_core *core,
	    const struct dff_core_job *job,
	    enum dff_core_member_state ended)
{
	if (!job->idempotent || job->cancelled || job->preempted ||
	    dff_core_job_exceeds_blame_limit (core, job))
		return false;
	return ended != DFF_CORE_MEMBER_FAILED || job->failures + 1 < job->max_attempts;
}

void
dff_core_kept_place_open (struct dff_core *core, struct dff_core_job *job, int32_t ended)
{
	enum dff_core_member_state state = job->members[ended].state;
	if (!core->options.keep_places || job->keeps_place || !is_retried (core, job, state))
		return;
	struct dff_core_kept_place *place =
		g_malloc0 (sizeof (*place) + sizeof (struct kept_member) * (gsize)job->gang);
	place->job = job;
	place->until_ms = core->now_ms + STOPPING_MAX_MS;
	place->link.data = place;
	for (int32_t i = 0; i < job->gang; i++) {
		bool open = job->members[i].state < DFF_CORE_MEMBER_COMPLETED;
		place->members[i].worker =
			open || i == ended ? job->members[i].worker : DFF_CORE_NONE;
	}
	job->keeps_place = true;
	core->stats.kept_places++;
	g_queue_push_tail_link (&core->kept_places, &place->link);
	g_hash_table_insert (core->kept_by_job, &job->id, place);
	dff_core_kept_place_note_end (core, job, ended);
}

void
dff_core_kept_place_note_end (struct dff_core *core, struct dff_core_job *job, int32_t ended)
{
	if (!job->keeps_place)
		return;
	struct dff_core_kept_place *place = find_place (core, job);
	const struct dff_core_member *member = &job->members[ended];
	if (dff_core_member_failed_or_lost (member->state))
		drop_worker (core, place, member->worker);
	else
		free_member (core, place, &place->members[ended]);
}

static void
release_place (struct dff_core *core, struct dff_core_kept_place *place)
{
	for (int32_t i = 0; i < place->job->gang; i++)
		drop_member (core, place, &place->members[i]);
	place->job->keeps_place = false;
	g_queue_unlink (&core->kept_places, &place->link);
	g_hash_table_remove (core->kept_by_job, &place->job->id);
	g_free (place);
}

void
dff_core_kept_place_retry (struct dff_core *core, struct dff_core_job *job, int64_t backoff_ms)
{
	if (!job->keeps_place)
		return;
	if (backoff_ms >= KEPT_MS)
		dff_core_kept_place_release (core, job);
	else
		find_place (core, job)->until_ms = core->now_ms + KEPT_MS;
}

void
dff_core_kept_place_release (struct dff_core *core, struct dff_core_job *job)
{
	if (job->keeps_place)
		release_place (core, find_place (core, job));
}

int32_t
dff_core_kept_place_n_tasks (const struct dff_core *core, const struct dff_core_job *job)
{
	return job->keeps_place ? find_place (core, job)->n_freed_members : 0;
}

int32_t
dff_core_kept_place_n_tasks_on (const struct dff_core *core,
				const struct dff_core_job *job,
				const struct dff_core_worker *worker)
{
	const GArray *shares = job->keeps_place ? shares_on (core, worker) : NULL;
	for (guint i = 0; shares != NULL && i < shares->len; i++) {
		const struct kept_share *share = &g_array_index (shares, struct kept_share, i);
		/* A search for a place uses copies of the job. */
		if (dff_name_equal (&share->place->job->id, &job->id))
			return share->n_tasks;
	}
	return 0;
}

bool
dff_core_kept_place_yields (const struct dff_core *core,
			    const struct dff_core_job *keeper,
			    const struct dff_core_job *job)
{
	if (job->hold == DFF_CORE_HOLD_CLAIM || job->entitled)
		return true;
	if (dff_core_job_is_assured (core, job) && job->team != keeper->team)
		return true;
	/* Urgent work might preempt the gang if it ran. */
	return job->urgent && !keeper->urgent;
}

bool
dff_core_kept_places_of_team (const struct dff_core *core, int32_t team)
{
	for (GList *link = core->kept_places.head; link != NULL; link = link->next) {
		if (((const struct dff_core_kept_place *)link->data)->job->team == team)
			return true;
	}
	return false;
}

struct dff_resources
dff_core_kept_for_others (const struct dff_core *core,
			  const struct dff_core_worker *worker,
			  const struct dff_core_job *job)
{
	struct dff_resources kept = {0};
	const GArray *shares = shares_on (core, worker);
	for (guint i = 0; shares != NULL && i < shares->len; i++) {
		const struct kept_share *share = &g_array_index (shares, struct kept_share, i);
		const struct dff_core_job *keeper = share->place->job;
		if (!dff_name_equal (&keeper->id, &job->id) &&
		    !dff_core_kept_place_yields (core, keeper, job))
			dff_resources_add (&kept, &keeper->per_task, share->n_tasks);
	}
	return kept;
}

static struct dff_resources
kept_on (const struct dff_core *core, const struct dff_core_worker *worker)
{
	struct dff_resources kept = {0};
	const GArray *shares = shares_on (core, worker);
	for (guint i = 0; shares != NULL && i < shares->len; i++) {
		const struct kept_share *share = &g_array_index (shares, struct kept_share, i);
		dff_resources_add (&kept, &share->place->job->per_task, share->n_tasks);
	}
	return kept;
}

/* Returns: what is left on a worker beside everything that is kept there once the members of @job
 * are placed on it; negative where that is too little. */
static struct dff_resources
left_beside_kept (const struct dff_core *core, const struct dff_core_job *job, int32_t index)
{
	const struct dff_core_worker *worker = dff_core_worker_at (core, index);
	struct dff_resources left = dff_resources_less (&worker->capacity, &worker->used);
	left = dff_resources_less (&left, &worker->reserved);
	struct dff_resources kept = kept_on (core, worker);
	left = dff_resources_less (&left, &kept);
	for (int32_t i = 0; i < job->gang; i++) {
		if (job->members[i].worker == index)
			dff_resources_add (&left, &job->per_task, -1);
	}
	return left;
}

/* Whether a task uses a resource of which too little is left. */
static bool
is_in_the_way (const struct dff_resources *per_task, const struct dff_resources *left)
{
	return (left->slots < 0 && per_task->slots > 0) ||
	       (left->cores < 0 && per_task->cores > 0) ||
	       (left->memory_gb < 0 && per_task->memory_gb > 0) ||
	       (left->accelerators < 0 && per_task->accelerators > 0);
}

/* Returns: the number of members whose place on a worker is kept, or will be once they have
 * stopped. */
static int32_t
members_kept_on (const struct dff_core_kept_place *place, int32_t worker)
{
	int32_t count = 0;
	for (int32_t i = 0; i < place->job->gang; i++)
		count += place->members[i].worker == worker;
	return count;
}

/* The victims of @job are chosen to cover what is missing without the kept places that yield to it,
 * so these have to yield although the victims hold more of the same resource. */
static void
yield_on (struct dff_core *core, const struct dff_core_job *job, int32_t worker)
{
	struct dff_resources left = left_beside_kept (core, job, worker);
	for (GList *link = core->kept_places.head; link != NULL; link = link->next) {
		if (dff_resources_covered (&left))
			return;
		struct dff_core_kept_place *place = link->data;
		const struct dff_core_job *keeper = place->job;
		int32_t n_members = members_kept_on (place, worker);
		if (n_members == 0 || !is_in_the_way (&keeper->per_task, &left) ||
		    !dff_core_kept_place_yields (core, keeper, job))
			continue;
		drop_worker (core, place, worker);
		dff_resources_add (&left, &keeper->per_task, n_members);
		core->stats.kept_places_lost += !place->taken;
		place->taken = true;
	}
}

void
dff_core_kept_places_yield (struct dff_core *core, const struct dff_core_job *job)
{
	if (core->kept_places.head == NULL)
		return;
	for (int32_t i = 0; i < job->gang; i++) {
		if (i == 0 || job->members[i].worker != job->members[i - 1].worker)
			yield_on (core, job, job->members[i].worker);
	}
}

void
dff_core_run_kept_places (struct dff_core *core)
{
	GList *next = NULL;
	for (GList *link = core->kept_places.head; link != NULL; link = next) {
		next = link->next;
		struct dff_core_kept_place *place = link->data;
		if (place->until_ms <= core->now_ms)
			release_place (core, place);
	}
}

int64_t
dff_core_kept_places_wake_ms (const struct dff_core *core)
{
	int64_t wake_ms = INT64_MAX;
	for (GList *link = core->kept_places.head; link != NULL; link = link->next)
		wake_ms = MIN (wake_ms, ((const struct dff_core_kept_place *)link->data)->until_ms);
	return wake_ms;
}
