#include "core/core_private.h"

#include <xxhash.h>

#include <string.h>

static int32_t
index_lookup (GHashTable *index, const struct dff_name *name)
{
	gpointer value = NULL;
	if (!g_hash_table_lookup_extended (index, name, NULL, &value))
		return DFF_CORE_NONE;
	return GPOINTER_TO_INT (value);
}

int32_t
dff_core_find_worker (const struct dff_core *core, const struct dff_name *name)
{
	return index_lookup (core->worker_index, name);
}

int32_t
dff_core_intern_worker (struct dff_core *core, const struct dff_name *name)
{
	int32_t index = dff_core_find_worker (core, name);
	if (index != DFF_CORE_NONE)
		return index;
	index = (int32_t)core->workers->len;
	g_array_set_size (core->workers, core->workers->len + 1);
	struct dff_core_worker *worker = dff_core_worker_at (core, index);
	worker->name = *name;
	worker->rack = DFF_CORE_NONE;
	worker->occupants = g_ptr_array_new ();
	g_hash_table_insert (core->worker_index, dff_name_dup (name), GINT_TO_POINTER (index));
	return index;
}

int32_t
dff_core_find_team (const struct dff_core *core, const struct dff_name *name)
{
	return index_lookup (core->team_index, name);
}

int32_t
dff_core_find_region (const struct dff_core *core, const struct dff_name *name)
{
	for (guint i = 0; i < core->regions->len; i++) {
		if (dff_name_equal (&dff_core_region_at (core, (int32_t)i)->name, name))
			return (int32_t)i;
	}
	return DFF_CORE_NONE;
}

int32_t
dff_core_find_label (const struct dff_core *core, const struct dff_name *name)
{
	for (guint i = 0; i < core->labels->len; i++) {
		if (dff_name_equal (&g_array_index (core->labels, struct dff_name, i), name))
			return (int32_t)i;
	}
	return DFF_CORE_NONE;
}

int32_t
dff_core_intern_label (struct dff_core *core, const struct dff_name *name)
{
	int32_t index = dff_core_find_label (core, name);
	if (index != DFF_CORE_NONE || dff_name_is_empty (name))
		return index;
	g_array_append_val (core->labels, *name);
	return (int32_t)core->labels->len - 1;
}

int32_t
dff_core_intern_region (struct dff_core *core, const struct dff_name *name)
{
	int32_t index = dff_core_find_region (core, name);
	if (index != DFF_CORE_NONE)
		return index;
	struct dff_core_region region = {.name = *name};
	g_array_append_val (core->regions, region);
	return (int32_t)core->regions->len - 1;
}

struct dff_core_job *
dff_core_find_job (const struct dff_core *core, const struct dff_name *id)
{
	return g_hash_table_lookup (core->jobs, id);
}

struct dff_core_job *
dff_core_job_add (struct dff_core *core, const struct dff_job_spec *spec)
{
	struct dff_core_job *job = g_new0 (struct dff_core_job, 1);
	job->id = spec->id;
	job->team = dff_core_find_team (core, &spec->team);
	job->region = dff_core_find_region (core, &spec->region);
	/* A region without racks now does not mean "any region": the job waits for its racks. */
	if (core->options.retry_without_limit && !dff_name_is_empty (&spec->region))
		job->region = dff_core_intern_region (core, &spec->region);
	job->gang = spec->gang;
	job->per_task = spec->per_task;
	job->adjacency = spec->adjacency;
	job->urgent = spec->urgent;
	job->priority = (int8_t)CLAMP (spec->priority, 0, DFF_CORE_PRIORITIES - 1);
	job->guaranteed = spec->guaranteed;
	job->checkpoint = spec->checkpoint;
	job->idempotent = spec->idempotent;
	job->declared_ms = MAX (spec->declared_ms, 1);
	job->max_attempts = spec->idempotent ? MAX (spec->max_attempts, 1) : 1;
	dff_core_job_set_blame (core, job, spec->blame);
	job->label = dff_core_intern_label (core, &spec->label);
	job->data_rack = dff_core_intern_label (core, &spec->data_rack);
	job->spread_group = XXH3_64bits (spec->spread_group.data, spec->spread_group.len);
	job->per_worker = spec->per_worker;
	job->weight = spec->weight > 0.0 ? (float)spec->weight : 1.0F;
	job->submitted_ms = core->now_ms;
	if (spec->objective != NULL)
		job->objective = g_memdup2 (spec->objective, sizeof (*spec->objective));
	job->estimator = dff_core_estimator_for (core, spec);
	for (int32_t i = 0; i < DFF_CORE_AVOIDED_MAX; i++)
		job->avoided[i] = DFF_CORE_NONE;
	job->shape = DFF_CORE_NONE;
	job->cover = DFF_CORE_NONE;
	job->cover_link.data = job;
	job->state = DFF_CORE_QUEUED;
	job->link.data = job;
	g_hash_table_insert (core->jobs, &job->id, job);
	core->stats.queued++;
	if (job->team != DFF_CORE_NONE) {
		struct dff_core_team *team = dff_core_team_at (core, job->team);
		team->n_jobs++;
		team->urgent_accelerators += job->urgent ? dff_core_job_accelerators (job) : 0;
	}
	dff_core_headroom_count (core, job, 1);
	dff_core_note_shape (core, job);
	dff_core_cover (core, job);
	return job;
}

void
dff_core_job_clear_attempt (struct dff_core_job *job)
{
	g_clear_pointer (&job->members, g_free);
	g_clear_pointer (&job->placements, g_array_unref);
	job->n_open = 0;
	job->projected_ms = 0;
	job->saved_ms = 0;
	job->n_started = 0;
	job->released = false;
	job->preempted = false;
	job->stop_cause = DFF_CORE_STOP_NONE;
}

void
dff_core_job_remove (struct dff_core *core, struct dff_core_job *job)
{
	if (job->team != DFF_CORE_NONE) {
		struct dff_core_team *team = dff_core_team_at (core, job->team);
		team->n_jobs--;
		team->urgent_accelerators -= job->urgent ? dff_core_job_accelerators (job) : 0;
	}
	dff_core_headroom_count (core, job, -1);
	dff_core_job_set_blame (core, job, 0);
	g_hash_table_remove (core->jobs, &job->id);
	dff_core_job_free (job);
}

void
dff_core_job_free (struct dff_core_job *job)
{
	dff_core_job_clear_attempt (job);
	g_free (job->objective);
	g_free (job);
}

bool
dff_core_worker_accepts_starts (const struct dff_core_worker *worker)
{
	return worker->rack != DFF_CORE_NONE && worker->state == DFF_WORKER_UP &&
	       worker->health != DFF_CORE_QUARANTINED;
}

bool
dff_core_worker_usable (const struct dff_core_worker *worker)
{
	return dff_core_worker_accepts_starts (worker) && worker->health == DFF_CORE_HEALTHY;
}

void
dff_core_rack_summarise (struct dff_core *core, int32_t index)
{
	struct dff_core_rack *rack = dff_core_rack_at (core, index);
	rack->shapes.is_stale = true;
	rack->free_accelerators = 0;
	rack->accelerators = 0;
	rack->slots = 0;
	for (guint i = 0; i < rack->workers->len; i++) {
		const struct dff_core_worker *worker =
			dff_core_worker_at (core, g_array_index (rack->workers, int32_t, i));
		if (!dff_core_worker_usable (worker))
			continue;
		rack->accelerators += worker->capacity.accelerators;
		rack->slots += worker->capacity.slots;
		rack->free_accelerators +=
			MAX (worker->capacity.accelerators - worker->used.accelerators, 0);
	}
}

void
dff_core_worker_set_state (struct dff_core *core, int32_t index, enum dff_worker_state state)
{
	struct dff_core_worker *worker = dff_core_worker_at (core, index);
	if (worker->state == state)
		return;
	if (worker->state == DFF_WORKER_UP)
		core->stats.workers_up--;
	if (state == DFF_WORKER_UP)
		core->stats.workers_up++;
	worker->state = state;
	core->dirty = true;
	core->witness_dirty = true;
	if (worker->rack != DFF_CORE_NONE)
		dff_core_rack_summarise (core, worker->rack);
}

bool
dff_core_worker_within_capacity (const struct dff_core *core, const struct dff_name *name)
{
	int32_t index = dff_core_find_worker (core, name);
	if (index == DFF_CORE_NONE)
		return false;
	const struct dff_core_worker *worker = dff_core_worker_at (core, index);
	struct dff_resources unused = dff_resources_less (&worker->capacity, &worker->used);
	return dff_resources_covered (&unused);
}

void
dff_core_worker_update_overload (struct dff_core_worker *worker)
{
	struct dff_resources unused = dff_resources_less (&worker->capacity, &worker->used);
	struct dff_resources unbound = dff_resources_less (&worker->capacity, &worker->bound);
	worker->overloaded = !dff_resources_covered (&unused) || !dff_resources_covered (&unbound);
}

/* Returns: what a worker contributes to the free accelerators of its rack. */
static int32_t
free_accelerators (const struct dff_core_worker *worker)
{
	if (!dff_core_worker_usable (worker))
		return 0;
	return MAX (worker->capacity.accelerators - worker->used.accelerators, 0);
}

static void
worker_use (struct dff_core *core,
	    struct dff_core_worker *worker,
	    const struct dff_resources *resources,
	    int32_t times)
{
	int32_t before = free_accelerators (worker);
	dff_resources_add (&worker->used, resources, times);
	if (worker->rack == DFF_CORE_NONE)
		return;
	struct dff_core_rack *rack = dff_core_rack_at (core, worker->rack);
	rack->free_accelerators += free_accelerators (worker) - before;
	rack->shapes.is_stale = true;
}

void
dff_core_worker_reserve (struct dff_core *core,
			 int32_t index,
			 const struct dff_resources *resources,
			 int32_t times)
{
	struct dff_core_worker *worker = dff_core_worker_at (core, index);
	dff_resources_add (&worker->reserved, resources, times);
	if (worker->rack != DFF_CORE_NONE)
		dff_core_rack_at (core, worker->rack)->shapes.is_stale = true;
}

void
dff_core_lease (struct dff_core *core,
		struct dff_core_job *job,
		int32_t worker_index,
		uint64_t accelerators)
{
	struct dff_core_worker *worker = dff_core_worker_at (core, worker_index);
	g_assert (worker->overlapping || (worker->leased & accelerators) == 0);
	worker->leased |= accelerators;
	worker_use (core, worker, &job->per_task, 1);
	g_ptr_array_add (worker->occupants, job);
	dff_core_worker_count_single (worker, job, 1);
	if (job->team != DFF_CORE_NONE)
		dff_resources_add (&dff_core_team_at (core, job->team)->used, &job->per_task, 1);
}

/* Adds the leases of one occupant to @leased. Returns: whether some were in @leased already. */
static bool
gather_leases (const struct dff_core_job *job, int32_t worker, uint64_t *leased)
{
	bool overlap = false;
	for (int32_t i = 0; i < job->gang; i++) {
		if (job->members[i].worker != worker ||
		    job->members[i].state >= DFF_CORE_MEMBER_COMPLETED)
			continue;
		uint64_t mask =
			g_array_index (job->placements, struct dff_placement, i).accelerators;
		overlap |= (*leased & mask) != 0;
		*leased |= mask;
	}
	return overlap;
}

static void
resolve_overlap (struct dff_core *core, int32_t index)
{
	struct dff_core_worker *worker = dff_core_worker_at (core, index);
	worker->leased = 0;
	worker->overlapping = false;
	for (guint i = 0; i < worker->occupants->len; i++) {
		const struct dff_core_job *occupant = g_ptr_array_index (worker->occupants, i);
		bool seen = false;
		for (guint j = 0; j < i && !seen; j++)
			seen = g_ptr_array_index (worker->occupants, j) == occupant;
		if (!seen && gather_leases (occupant, index, &worker->leased))
			worker->overlapping = true;
	}
}

void
dff_core_unlease (struct dff_core *core, struct dff_core_job *job, int32_t member)
{
	int32_t index = job->members[member].worker;
	if (index == DFF_CORE_NONE)
		return;
	struct dff_core_worker *worker = dff_core_worker_at (core, index);
	const struct dff_placement *placement =
		&g_array_index (job->placements, struct dff_placement, member);
	g_assert ((worker->leased & placement->accelerators) == placement->accelerators);
	worker->leased &= ~placement->accelerators;
	worker_use (core, worker, &job->per_task, -1);
	g_ptr_array_remove_fast (worker->occupants, job);
	dff_core_worker_count_single (worker, job, -1);
	if (worker->overloaded)
		dff_core_worker_update_overload (worker);
	if (worker->overlapping)
		resolve_overlap (core, index);
	if (job->team != DFF_CORE_NONE)
		dff_resources_add (&dff_core_team_at (core, job->team)->used, &job->per_task, -1);
	core->dirty = true;
}

void
dff_core_worker_clear (gpointer data)
{
	struct dff_core_worker *worker = data;
	g_ptr_array_unref (worker->occupants);
}

void
dff_core_rack_clear (gpointer data)
{
	struct dff_core_rack *rack = data;
	g_array_unref (rack->workers);
}
