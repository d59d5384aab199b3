#include "core/core_private.h"

/* Claims of guaranteed shapes, and accounting of the resources that may not be preempted. */

static struct dff_core_part *
find_part (const struct dff_core_shape *shape, int32_t worker)
{
	for (guint i = 0; i < shape->parts->len; i++) {
		struct dff_core_part *part = &g_array_index (shape->parts, struct dff_core_part, i);
		if (part->worker == worker)
			return part;
	}
	return NULL;
}

struct dff_resources
dff_core_beyond_share (const struct dff_core_worker *worker, const struct dff_core_job *job)
{
	struct dff_resources share = dff_core_worker_share (worker, job->per_task.accelerators);
	struct dff_resources rest = dff_resources_less (&job->per_task, &share);
	return (struct dff_resources){
		.slots = MAX (rest.slots, 0),
		.cores = MAX (rest.cores, 0),
		.memory_gb = MAX (rest.memory_gb, 0),
	};
}

static void
member_bind (struct dff_core *core, struct dff_core_job *job, struct dff_core_member *member)
{
	if (job->hold == DFF_CORE_HOLD_SOFT || member->worker == DFF_CORE_NONE)
		return;
	struct dff_core_worker *worker = dff_core_worker_at (core, member->worker);
	member->bound = true;
	if (job->hold == DFF_CORE_HOLD_HARD) {
		dff_resources_add (&worker->bound, &job->per_task, 1);
		return;
	}
	struct dff_core_shape *shape = dff_core_shape_at (core, job->shape);
	struct dff_core_part *part = find_part (shape, member->worker);
	g_assert (part != NULL && part->claimed + job->per_task.accelerators <= part->count);
	part->claimed += job->per_task.accelerators;
	shape->claimed += job->per_task.accelerators;
	struct dff_resources rest = dff_core_beyond_share (worker, job);
	dff_resources_add (&worker->bound, &rest, 1);
}

void
dff_core_job_bind (struct dff_core *core, struct dff_core_job *job)
{
	for (int32_t i = 0; i < job->gang; i++) {
		if (job->members[i].state < DFF_CORE_MEMBER_COMPLETED)
			member_bind (core, job, &job->members[i]);
	}
}

/* Returns the part of a member that has ended to the witness placement of its shape, on the same
 * accelerators, so that other work cannot take them in between. */
static void
return_claim (struct dff_core *core, const struct dff_core_job *job, struct dff_core_worker *worker)
{
	struct dff_core_shape *shape = dff_core_shape_at (core, job->shape);
	struct dff_core_part *part = find_part (shape, dff_core_find_worker (core, &worker->name));
	part->claimed -= job->per_task.accelerators;
	shape->claimed -= job->per_task.accelerators;
	struct dff_resources rest = dff_core_beyond_share (worker, job);
	dff_resources_add (&worker->bound, &rest, -1);
	if (!dff_core_worker_usable (worker) || shape->packed < shape->size)
		core->witness_dirty = true;
}

void
dff_core_member_unbind (struct dff_core *core, struct dff_core_job *job, int32_t index)
{
	struct dff_core_member *member = &job->members[index];
	if (!member->bound)
		return;
	member->bound = false;
	struct dff_core_worker *worker = dff_core_worker_at (core, member->worker);
	if (job->hold == DFF_CORE_HOLD_CLAIM) {
		return_claim (core, job, worker);
		return;
	}
	dff_resources_add (&worker->bound, &job->per_task, -1);
	if (core->stats.witnesses_missing > 0)
		core->witness_dirty = true;
}

/* Finds the cheapest workers for a job's members in a witness placement. Returns: work lost,
 * core-ms; -1 when the members do not fit. */
static int64_t
placement_cost (const struct dff_core *core,
		const struct dff_core_job *job,
		const GArray *parts,
		int32_t *workers)
{
	g_autoptr (GArray) candidates =
		g_array_new (FALSE, FALSE, sizeof (struct dff_core_candidate));
	for (guint i = 0; i < parts->len; i++) {
		const struct dff_core_part *part = &g_array_index (parts, struct dff_core_part, i);
		const struct dff_core_worker *worker = dff_core_worker_at (core, part->worker);
		if (!dff_core_worker_usable (worker))
			continue;
		struct dff_resources rest = dff_core_beyond_share (worker, job);
		struct dff_resources available =
			dff_resources_less (&worker->capacity, &worker->bound);
		int32_t fits = (part->count - part->claimed) / job->per_task.accelerators;
		fits = dff_resources_fits (&available, &rest, MIN (fits, job->gang));
		struct dff_core_candidate candidate = {.worker = part->worker,
						       .fits = fits,
						       .accelerators_left =
							       part->count - part->claimed};
		if (fits > 0)
			g_array_append_val (candidates, candidate);
	}
	return dff_core_choose_workers (core, job, candidates, workers);
}

struct claim_search {
	struct dff_core *core;
	const struct dff_core_job *job;
	int64_t cost;
	int32_t shape;
	int32_t slack;
	/** Shape that swaps witness placements with @shape; DFF_CORE_NONE: none. */
	int32_t swap;
	/** Whether @parts is a new witness placement for @shape. */
	bool moves;
	GArray *parts;
	int32_t *workers;
};

static bool
parts_in_region (const struct claim_search *search, const GArray *parts)
{
	if (search->job->region == DFF_CORE_NONE)
		return true;
	for (guint i = 0; i < parts->len; i++) {
		int32_t worker = g_array_index (parts, struct dff_core_part, i).worker;
		int32_t rack = dff_core_worker_at (search->core, worker)->rack;
		if (rack == DFF_CORE_NONE ||
		    dff_core_rack_at (search->core, rack)->region != search->job->region)
			return false;
	}
	return true;
}

/* Makes a witness placement the best so far when it leaves less of the shape unclaimed, or as much
 * at less cost. Small claims spread over several shapes would leave none whole for the team's
 * gangs. */
static bool
consider (struct claim_search *search, int32_t shape_index, const GArray *parts)
{
	int32_t workers[DFF_GANG_MAX];
	const struct dff_core_shape *shape = dff_core_shape_at (search->core, shape_index);
	int32_t slack = shape->size - shape->claimed - dff_core_job_accelerators (search->job);
	if (!parts_in_region (search, parts))
		return false;
	int64_t cost = placement_cost (search->core, search->job, parts, workers);
	if (cost < 0 || slack > search->slack || (slack == search->slack && cost >= search->cost))
		return false;
	search->cost = cost;
	search->slack = slack;
	search->shape = shape_index;
	search->swap = DFF_CORE_NONE;
	search->moves = false;
	for (int32_t i = 0; i < search->job->gang; i++)
		search->workers[i] = workers[i];
	return true;
}

/* Whether the best placement so far is in this shape and costs nothing: there is no better one. */
static bool
is_optimal (const struct claim_search *search, int32_t shape_index)
{
	return search->shape == shape_index && search->cost == 0;
}

static int64_t
pack_cost (const struct dff_core_worker *worker, const void *user)
{
	const struct claim_search *search = user;
	int32_t times = MAX (worker->capacity.accelerators / search->job->per_task.accelerators, 1);
	return dff_core_evict_cost (search->core, worker, search->job,
				    MIN (times, search->job->gang));
}

/* Tries other racks as the witness placement of a shape that no job claims. */
static void
consider_racks (struct claim_search *search, int32_t shape_index)
{
	struct dff_core_shape *shape = dff_core_shape_at (search->core, shape_index);
	g_autoptr (GArray) former = g_array_new (FALSE, TRUE, sizeof (struct dff_core_part));
	g_autoptr (GArray) trial = g_array_new (FALSE, TRUE, sizeof (struct dff_core_part));
	g_array_append_vals (former, shape->parts->data, shape->parts->len);
	dff_core_shape_unpack (search->core, shape);
	for (guint i = 0; i < search->core->racks->len && !is_optimal (search, shape_index); i++) {
		const struct dff_core_rack *rack = dff_core_rack_at (search->core, (int32_t)i);
		if (shape->region != DFF_CORE_NONE && shape->region != rack->region)
			continue;
		if (!dff_core_pack_rack (search->core, (int32_t)i, shape->size, pack_cost, search,
					 trial))
			continue;
		if (!consider (search, shape_index, trial))
			continue;
		search->moves = true;
		g_array_set_size (search->parts, 0);
		g_array_append_vals (search->parts, trial->data, trial->len);
	}
	dff_core_shape_set_parts (search->core, shape, former);
}

/* Tries swaps with other unclaimed shapes of the same size: both keep a witness placement. */
static void
consider_swaps (struct claim_search *search, int32_t shape_index)
{
	const struct dff_core_shape *shape = dff_core_shape_at (search->core, shape_index);
	for (int32_t i = 0;
	     i < (int32_t)search->core->shapes->len && !is_optimal (search, shape_index); i++) {
		const struct dff_core_shape *other = dff_core_shape_at (search->core, i);
		if (i == shape_index || other->size != shape->size || other->claimed > 0 ||
		    other->region != shape->region || other->packed < other->size)
			continue;
		if (consider (search, shape_index, other->parts))
			search->swap = i;
	}
}

static void
consider_shape (struct claim_search *search, int32_t index, int32_t *last_size)
{
	const struct dff_core_shape *shape = dff_core_shape_at (search->core, index);
	int32_t slack = shape->size - shape->claimed - dff_core_job_accelerators (search->job);
	if (slack > search->slack)
		return;
	if (shape->packed == shape->size)
		consider (search, index, shape->parts);
	if (shape->claimed > 0 || shape->size == *last_size)
		return;
	/* Unclaimed shapes of equal size are interchangeable: only the first is tried. */
	*last_size = shape->size;
	if (shape->packed == shape->size)
		consider_swaps (search, index);
	consider_racks (search, index);
}

static void
move_witness (struct claim_search *search)
{
	struct dff_core_shape *shape = dff_core_shape_at (search->core, search->shape);
	if (search->moves) {
		dff_core_shape_set_parts (search->core, shape, search->parts);
		return;
	}
	if (search->swap == DFF_CORE_NONE)
		return;
	struct dff_core_shape *other = dff_core_shape_at (search->core, search->swap);
	GArray *parts = shape->parts;
	shape->parts = other->parts;
	other->parts = parts;
}

bool
dff_core_claim (struct dff_core *core,
		const struct dff_core_job *job,
		int32_t *workers,
		int32_t *shape)
{
	int32_t asked = dff_core_job_accelerators (job);
	if (asked == 0)
		return false;
	g_autoptr (GArray) parts = g_array_new (FALSE, TRUE, sizeof (struct dff_core_part));
	struct claim_search search = {.core = core,
				      .job = job,
				      .cost = INT64_MAX,
				      .shape = DFF_CORE_NONE,
				      .slack = INT32_MAX,
				      .swap = DFF_CORE_NONE,
				      .parts = parts,
				      .workers = workers};
	int32_t last_size = 0;
	for (int32_t i = 0; i < (int32_t)core->shapes->len; i++) {
		const struct dff_core_shape *at = dff_core_shape_at (core, i);
		if (at->team != job->team || (job->guaranteed && job->cover != i))
			continue;
		if (at->size - at->claimed >= asked)
			consider_shape (&search, i, &last_size);
	}
	if (search.shape == DFF_CORE_NONE)
		return false;
	move_witness (&search);
	*shape = search.shape;
	return true;
}

/* Collects the parts on which a recovered job's members run. */
static void
parts_of_job (const struct dff_core_job *job, GArray *parts)
{
	for (int32_t i = 0; i < job->gang; i++) {
		if (job->members[i].worker == DFF_CORE_NONE ||
		    job->members[i].state >= DFF_CORE_MEMBER_COMPLETED)
			continue;
		struct dff_core_part *found = NULL;
		for (guint j = 0; j < parts->len && found == NULL; j++) {
			struct dff_core_part *part =
				&g_array_index (parts, struct dff_core_part, j);
			found = part->worker == job->members[i].worker ? part : NULL;
		}
		if (found != NULL) {
			found->count += job->per_task.accelerators;
			continue;
		}
		struct dff_core_part part = {.worker = job->members[i].worker,
					     .count = job->per_task.accelerators};
		g_array_append_val (parts, part);
	}
}

bool
dff_core_claim_adopt (struct dff_core *core, struct dff_core_job *job)
{
	int32_t asked = dff_core_job_accelerators (job);
	int32_t best = DFF_CORE_NONE;
	for (int32_t i = 0; i < (int32_t)core->shapes->len; i++) {
		const struct dff_core_shape *shape = dff_core_shape_at (core, i);
		if (shape->team == job->team && shape->claimed == 0 && shape->size >= asked)
			best = i;
	}
	if (asked == 0 || best == DFF_CORE_NONE)
		return false;
	g_autoptr (GArray) parts = g_array_new (FALSE, TRUE, sizeof (struct dff_core_part));
	parts_of_job (job, parts);
	dff_core_shape_set_parts (core, dff_core_shape_at (core, best), parts);
	job->shape = best;
	core->witness_dirty = true;
	return true;
}

static void
rebind (struct dff_core *core, struct dff_core_job *job)
{
	for (int32_t i = 0; i < job->gang; i++)
		job->members[i].bound = false;
	if (job->hold == DFF_CORE_HOLD_CLAIM && !dff_core_claim_adopt (core, job))
		job->hold =
			dff_core_job_preemptible (job) ? DFF_CORE_HOLD_SOFT : DFF_CORE_HOLD_HARD;
	dff_core_job_bind (core, job);
}

void
dff_core_rebind_all (struct dff_core *core)
{
	for (guint i = 0; i < core->workers->len; i++) {
		dff_core_worker_at (core, (int32_t)i)->bound = (struct dff_resources){0};
		dff_core_worker_at (core, (int32_t)i)->witnesses = (struct dff_resources){0};
	}
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, core->jobs);
	while (g_hash_table_iter_next (&iter, NULL, &value)) {
		struct dff_core_job *job = value;
		if (job->members != NULL && job->state != DFF_CORE_ENDING)
			rebind (core, job);
	}
	for (guint i = 0; i < core->workers->len; i++)
		dff_core_worker_update_overload (dff_core_worker_at (core, (int32_t)i));
}
