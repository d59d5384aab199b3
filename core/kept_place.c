#include "core/core_private.h"

/* The place of a gang whose attempt ends because of one of its members. Its workers become free one
 * after the other, as their members stop; other work would take them before the gang can be placed
 * again. So those on which no member has failed are kept for the gang until its next attempt, for a
 * limited time. Work that has a right to the capacity gets it nevertheless. */

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
	int64_t until_ms;
	/** Link in the core's @kept_places. */
	GList link;
	/** One for each member of the gang. */
	struct kept_member members[];
};

static struct dff_core_kept_place *
find_place (const struct dff_core *core, const struct dff_core_job *job)
{
	for (GList *link = core->kept_places.head; link != NULL; link = link->next) {
		struct dff_core_kept_place *place = link->data;
		/* A search for a place uses copies of the job. */
		if (dff_name_equal (&place->job->id, &job->id))
			return place;
	}
	return NULL;
}

static void
drop_member (struct dff_core *core, struct kept_member *member)
{
	if (member->freed) {
		dff_core_worker_at (core, member->worker)->n_kept--;
		core->dirty = true;
	}
	*member = (struct kept_member){.worker = DFF_CORE_NONE};
}

static void
drop_worker (struct dff_core *core, struct dff_core_kept_place *place, int32_t worker)
{
	for (int32_t i = 0; i < place->job->gang; i++) {
		if (place->members[i].worker == worker)
			drop_member (core, &place->members[i]);
	}
}

static void
free_member (struct dff_core *core, struct kept_member *member)
{
	if (member->worker == DFF_CORE_NONE)
		return;
	member->freed = true;
	dff_core_worker_at (core, member->worker)->n_kept++;
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
	dff_core_kept_place_note_end (core, job, ended);
}

void
dff_core_kept_place_note_end (struct dff_core *core, struct dff_core_job *job, int32_t ended)
{
	if (!job->keeps_place)
		return;
	struct dff_core_kept_place *place = find_place (core, job);
	switch (job->members[ended].state) {
	case DFF_CORE_MEMBER_FAILED:
	case DFF_CORE_MEMBER_LOST:
	case DFF_CORE_MEMBER_START_FAILED:
		drop_worker (core, place, job->members[ended].worker);
		return;
	default:
		free_member (core, &place->members[ended]);
		return;
	}
}

static void
release_place (struct dff_core *core, struct dff_core_kept_place *place)
{
	for (int32_t i = 0; i < place->job->gang; i++)
		drop_member (core, &place->members[i]);
	place->job->keeps_place = false;
	g_queue_unlink (&core->kept_places, &place->link);
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
dff_core_kept_place_size (const struct dff_core *core, const struct dff_core_job *job)
{
	int32_t size = 0;
	const struct dff_core_kept_place *place = job->keeps_place ? find_place (core, job) : NULL;
	for (int32_t i = 0; place != NULL && i < job->gang; i++)
		size += place->members[i].freed;
	return size;
}

static int32_t
count_kept (const struct dff_core *core,
	    const struct dff_core_kept_place *place,
	    const struct dff_core_worker *worker)
{
	int32_t count = 0;
	for (int32_t i = 0; i < place->job->gang; i++) {
		const struct kept_member *member = &place->members[i];
		count += member->freed && dff_core_worker_at (core, member->worker) == worker;
	}
	return count;
}

int32_t
dff_core_kept_place_count (const struct dff_core *core,
			   const struct dff_core_job *job,
			   const struct dff_core_worker *worker)
{
	const struct dff_core_kept_place *place =
		job->keeps_place && worker->n_kept > 0 ? find_place (core, job) : NULL;
	return place != NULL ? count_kept (core, place, worker) : 0;
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
dff_core_kept_from (const struct dff_core *core,
		    const struct dff_core_worker *worker,
		    const struct dff_core_job *job)
{
	struct dff_resources kept = {0};
	if (worker->n_kept == 0)
		return kept;
	for (GList *link = core->kept_places.head; link != NULL; link = link->next) {
		const struct dff_core_kept_place *place = link->data;
		if (dff_name_equal (&place->job->id, &job->id) ||
		    dff_core_kept_place_yields (core, place->job, job))
			continue;
		dff_resources_add (&kept, &place->job->per_task, count_kept (core, place, worker));
	}
	return kept;
}

/* Whether @job fits on a worker beside everything that is kept there. */
static bool
fits_beside_kept (const struct dff_core *core, const struct dff_core_job *job, int32_t index)
{
	const struct dff_core_worker *worker = dff_core_worker_at (core, index);
	struct dff_resources available = dff_resources_less (&worker->capacity, &worker->used);
	available = dff_resources_less (&available, &worker->reserved);
	for (GList *link = core->kept_places.head; link != NULL; link = link->next) {
		const struct dff_core_kept_place *place = link->data;
		dff_resources_add (&available, &place->job->per_task,
				   -count_kept (core, place, worker));
	}
	int32_t times = 0;
	for (int32_t i = 0; i < job->gang; i++)
		times += job->members[i].worker == index;
	return dff_resources_fits (&available, &job->per_task, times) == times;
}

static bool
holds_worker (const struct dff_core_kept_place *place, int32_t worker)
{
	for (int32_t i = 0; i < place->job->gang; i++) {
		if (place->members[i].worker == worker)
			return true;
	}
	return false;
}

static void
yield_on (struct dff_core *core, const struct dff_core_job *job, int32_t worker)
{
	if (fits_beside_kept (core, job, worker))
		return;
	for (GList *link = core->kept_places.head; link != NULL; link = link->next) {
		struct dff_core_kept_place *place = link->data;
		if (!dff_core_kept_place_yields (core, place->job, job) ||
		    !holds_worker (place, worker))
			continue;
		drop_worker (core, place, worker);
		core->stats.kept_places_lost++;
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
