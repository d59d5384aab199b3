#include "core/core_private.h"

/* The invariants, computed anew from the attempts and compared with the tables. */

struct tally {
	struct dff_resources used;
	uint64_t leased;
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
		if ((tally->leased & mask) != 0)
			return g_strdup_printf (
				"accelerator leased twice: worker=%s job=%s member=%d",
				dff_core_worker_at (core, member->worker)->name.data, job->id.data,
				i);
		tally->leased |= mask;
		tally->used.slots += job->per_task.slots;
		tally->used.cores += job->per_task.cores;
		tally->used.memory_gb += job->per_task.memory_gb;
		tally->used.accelerators += job->per_task.accelerators;
	}
	if (open != job->n_open)
		return g_strdup_printf ("open members miscounted: job=%s", job->id.data);
	return NULL;
}

static bool
resources_equal (const struct dff_resources *a, const struct dff_resources *b)
{
	return a->slots == b->slots && a->cores == b->cores && a->memory_gb == b->memory_gb &&
	       a->accelerators == b->accelerators;
}

static char *
check_worker (const struct dff_core_worker *worker, const struct tally *tally)
{
	if (worker->leased != tally->leased || !resources_equal (&worker->used, &tally->used))
		return g_strdup_printf ("leases differ from attempts: worker=%s",
					worker->name.data);
	if (worker->used.accelerators > 0 &&
	    __builtin_popcountll (worker->leased) != worker->used.accelerators)
		return g_strdup_printf ("accelerators miscounted: worker=%s", worker->name.data);
	return NULL;
}

static char *
check_capacity (const struct dff_core_worker *worker)
{
	/* A pool that shrank may leave running work over the new capacity until it ends. */
	if (worker->rack == DFF_CORE_NONE || worker->overloaded)
		return NULL;
	if (worker->used.slots > worker->capacity.slots ||
	    worker->used.cores > worker->capacity.cores ||
	    worker->used.memory_gb > worker->capacity.memory_gb ||
	    worker->used.accelerators > worker->capacity.accelerators)
		return g_strdup_printf ("capacity exceeded: worker=%s", worker->name.data);
	return NULL;
}

static char *
check_phase (const struct dff_core_job *job)
{
	bool queued = job->queue_class != NULL;
	if (queued != (job->state == DFF_CORE_QUEUED))
		return g_strdup_printf ("queue and state differ: job=%s", job->id.data);
	bool has_attempt = job->state >= DFF_CORE_RECORDING && job->state < DFF_CORE_ENDING;
	if (has_attempt != (job->n_open > 0))
		return g_strdup_printf ("attempt and state differ: job=%s", job->id.data);
	if (job->state == DFF_CORE_RUNNING && job->n_started < job->gang)
		return g_strdup_printf ("part of a gang runs: job=%s", job->id.data);
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
		if (broken == NULL && job->members != NULL)
			broken = tally_job (core, job, tallies);
	}
	return broken;
}

char *
dff_core_check (const struct dff_core *core)
{
	g_autofree struct tally *tallies = g_new0 (struct tally, core->workers->len + 1);
	char *broken = check_jobs (core, tallies);
	for (guint i = 0; broken == NULL && i < core->workers->len; i++) {
		const struct dff_core_worker *worker = dff_core_worker_at (core, (int32_t)i);
		broken = check_worker (worker, &tallies[i]);
		if (broken == NULL)
			broken = check_capacity (worker);
	}
	return broken;
}
