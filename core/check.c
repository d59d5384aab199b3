#include "core/core_private.h"

#include <inttypes.h>
#include <string.h>

/* Checks the invariants: recomputes the tables from the attempts and compares them. */

struct tally {
	struct dff_resources used;
	struct dff_resources reserved;
	struct dff_resources bound;
	uint64_t leased;
	/** Accelerators of single tasks, without and with checkpoints. */
	int32_t singles[2];
};

static char *
tally_job (const struct dff_core *core, const struct dff_core_job *job, struct tally *tallies)
{
	int32_t open = 0;
	for (int32_t i = 0; i < job->gang; i++) {
		const struct dff_core_member *member = &job->members[i];
		if (member->state >= DFF_CORE_MEMBER_COMPLETED)
			continue;
		open++;
		if (member->worker == DFF_CORE_NONE)
			continue;
		struct tally *tally = &tallies[member->worker];
		uint64_t mask =
			g_array_index (job->placements, struct dff_placement, i).accelerators;
		const struct dff_core_worker *worker = dff_core_worker_at (core, member->worker);
		if ((tally->leased & mask) != 0 && !worker->overlapping)
			return g_strdup_printf ("accelerator leased twice: worker=%s job=%s",
						worker->name.data, job->id.data);
		tally->leased |= mask;
		dff_resources_add (&tally->used, &job->per_task, 1);
		if (dff_core_job_is_single (job))
			tally->singles[job->checkpoint] += job->per_task.accelerators;
	}
	if (open != job->n_open)
		return g_strdup_printf ("open members miscounted: job=%s", job->id.data);
	return NULL;
}

static char *
check_worker (const struct dff_core_worker *worker, const struct tally *tally)
{
	if (worker->leased != tally->leased || !dff_resources_equal (&worker->used, &tally->used))
		return g_strdup_printf ("leases differ from attempts: worker=%s",
					worker->name.data);
	if (worker->singles[0] != tally->singles[0] || worker->singles[1] != tally->singles[1])
		return g_strdup_printf ("single tasks miscounted: worker=%s", worker->name.data);
	if (!worker->overlapping &&
	    __builtin_popcountll (worker->leased) != worker->used.accelerators)
		return g_strdup_printf ("accelerators miscounted: worker=%s", worker->name.data);
	return NULL;
}

static char *
check_capacity (const struct dff_core_worker *worker)
{
	/* After the pool shrank, running work may exceed the new capacity until it ends. */
	if (worker->rack == DFF_CORE_NONE || worker->overloaded)
		return NULL;
	struct dff_resources available = dff_resources_less (&worker->capacity, &worker->used);
	if (!dff_resources_covered (&available))
		return g_strdup_printf ("capacity exceeded: worker=%s", worker->name.data);
	return NULL;
}

static char *
check_phase (const struct dff_core_job *job)
{
	bool queued = job->queue_class != NULL;
	if (queued != (job->state == DFF_CORE_QUEUED))
		return g_strdup_printf ("queue and state differ: job=%s", job->id.data);
	if (job->state == DFF_CORE_RESERVED)
		return NULL;
	bool has_attempt = job->state >= DFF_CORE_RECORDING && job->state < DFF_CORE_ENDING;
	if (has_attempt != (job->n_open > 0))
		return g_strdup_printf ("attempt and state differ: job=%s", job->id.data);
	if (job->state == DFF_CORE_RUNNING && job->n_started < job->gang)
		return g_strdup_printf ("part of a gang runs: job=%s", job->id.data);
	return NULL;
}

/* Adds up what a job holds besides leases: reservations and resources that may not be preempted. */
static void
tally_holds (const struct dff_core *core, const struct dff_core_job *job, struct tally *tallies)
{
	for (int32_t i = 0; job->members != NULL && i < job->gang; i++) {
		const struct dff_core_member *member = &job->members[i];
		if (member->worker == DFF_CORE_NONE)
			continue;
		struct tally *tally = &tallies[member->worker];
		if (job->state == DFF_CORE_RESERVED)
			dff_resources_add (&tally->reserved, &job->per_task, 1);
		if (!member->bound)
			continue;
		struct dff_resources bound = job->per_task;
		if (job->hold == DFF_CORE_HOLD_CLAIM)
			bound = dff_core_beyond_share (dff_core_worker_at (core, member->worker),
						       job);
		dff_resources_add (&tally->bound, &bound, 1);
	}
}

/* Witness placements are disjoint if what they bind adds up, and complete if their parts do. */
static char *
check_shape (const struct dff_core *core, const struct dff_core_shape *shape, struct tally *tallies)
{
	int32_t packed = 0;
	int32_t claimed = 0;
	for (guint i = 0; i < shape->parts->len; i++) {
		const struct dff_core_part *part =
			&g_array_index (shape->parts, struct dff_core_part, i);
		struct dff_resources share = dff_core_worker_share (
			dff_core_worker_at (core, part->worker), part->count);
		dff_resources_add (&tallies[part->worker].bound, &share, 1);
		packed += part->count;
		claimed += part->claimed;
		if (part->claimed < 0 || part->claimed > part->count)
			return g_strdup ("a shape is claimed beyond its witness placement");
	}
	if (shape->covered < 0 || shape->covered > shape->size)
		return g_strdup ("a shape covers more than its size");
	if (packed != shape->packed || claimed != shape->claimed)
		return g_strdup ("the parts of a shape differ from its totals");
	return NULL;
}

static char *
check_shapes (const struct dff_core *core, struct tally *tallies)
{
	int64_t missing = 0;
	char *broken = NULL;
	for (int32_t i = 0; broken == NULL && i < (int32_t)core->shapes->len; i++) {
		const struct dff_core_shape *shape = dff_core_shape_at (core, i);
		missing += shape->packed < shape->size;
		broken = check_shape (core, shape, tallies);
	}
	if (broken == NULL && !core->witness_dirty && missing != core->stats.witnesses_missing)
		return g_strdup_printf ("witnesses missing: %" PRId64, missing);
	return broken;
}

/* No work that may not be preempted runs on the witness placement of a shape. */
static char *
check_bound (const struct dff_core *core,
	     const struct dff_core_worker *worker,
	     const struct tally *tally)
{
	if (!dff_resources_equal (&worker->bound, &tally->bound))
		return g_strdup_printf ("bound resources miscounted: worker=%s", worker->name.data);
	if (!dff_resources_equal (&worker->reserved, &tally->reserved))
		return g_strdup_printf ("reservations miscounted: worker=%s", worker->name.data);
	struct dff_resources available = dff_resources_less (&worker->capacity, &worker->bound);
	if (!core->witness_dirty && dff_core_worker_usable (worker) && !worker->overloaded &&
	    !dff_resources_covered (&available))
		return g_strdup_printf ("bound beyond capacity: worker=%s", worker->name.data);
	return NULL;
}

static char *
check_jobs (const struct dff_core *core, struct tally *tallies)
{
	char *broken = NULL;
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, core->jobs);
	while (broken == NULL && g_hash_table_iter_next (&iter, NULL, &value)) {
		const struct dff_core_job *job = value;
		broken = check_phase (job);
		tally_holds (core, job, tallies);
		if (broken == NULL && job->placements != NULL)
			broken = tally_job (core, job, tallies);
	}
	return broken;
}

static char *
check_rack (const struct dff_core *core, const struct dff_core_rack *rack)
{
	int32_t unused = 0;
	for (guint i = 0; i < rack->workers->len; i++) {
		const struct dff_core_worker *worker =
			dff_core_worker_at (core, g_array_index (rack->workers, int32_t, i));
		if (dff_core_worker_usable (worker))
			unused +=
				MAX (worker->capacity.accelerators - worker->used.accelerators, 0);
	}
	if (unused != rack->free_accelerators)
		return g_strdup_printf ("free accelerators miscounted: rack=%s", rack->name.data);
	struct dff_rack_fits fits = dff_core_rack_fits (core, rack);
	if (!rack->shapes.is_stale && memcmp (&fits, &rack->shapes.fits, sizeof (fits)) != 0)
		return g_strdup_printf ("fits miscounted: rack=%s", rack->name.data);
	return NULL;
}

char *
dff_core_check (const struct dff_core *core)
{
	g_autoptr (GArray) table = g_array_new (FALSE, TRUE, sizeof (struct tally));
	g_array_set_size (table, core->workers->len + 1);
	struct tally *tallies = (struct tally *)(void *)table->data;
	char *broken = check_jobs (core, tallies);
	if (broken == NULL)
		broken = check_shapes (core, tallies);
	for (guint i = 0; broken == NULL && i < core->workers->len; i++) {
		const struct dff_core_worker *worker = dff_core_worker_at (core, (int32_t)i);
		broken = check_worker (worker, &tallies[i]);
		if (broken == NULL)
			broken = check_capacity (worker);
		if (broken == NULL)
			broken = check_bound (core, worker, &tallies[i]);
	}
	for (guint i = 0; broken == NULL && i < core->racks->len; i++)
		broken = check_rack (core, dff_core_rack_at (core, (int32_t)i));
	return broken;
}
