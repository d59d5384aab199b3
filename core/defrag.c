#include "core/core_private.h"

/* Defragmentation by checkpoint and move. Where a few narrow jobs keep a rack from having one more
 * whole piece free, and the fragments of other racks have capacity for these jobs, they are
 * preempted with a checkpoint and placed again in the fragments. */

/** Interval, ms. */
#define DEFRAG_MS 10000
/** Maximum number of accelerators that are moved at once. */
#define MOVE_MAX 16
/** Minimum run time before a job is moved, ms; multiplied by one plus its number of preemptions. */
#define MOVE_AFTER_MS 120000

static bool
is_movable (const struct dff_core *core, const struct dff_core_job *job, int32_t missing)
{
	int32_t width = dff_core_job_accelerators (job);
	return job->hold == DFF_CORE_HOLD_SOFT && job->state == DFF_CORE_RUNNING &&
	       job->checkpoint && !job->urgent && width > 0 && width <= missing &&
	       core->now_ms - job->started_ms > (int64_t)MOVE_AFTER_MS * (1 + job->preemptions);
}

/* Collects jobs of a rack that together hold at least @missing accelerators. */
static bool
collect_jobs (const struct dff_core *core,
	      const struct dff_core_rack *rack,
	      int32_t missing,
	      GPtrArray *jobs)
{
	int32_t freed = 0;
	g_ptr_array_set_size (jobs, 0);
	for (guint i = 0; i < rack->workers->len; i++) {
		const struct dff_core_worker *worker =
			dff_core_worker_at (core, g_array_index (rack->workers, int32_t, i));
		for (guint j = 0; j < worker->occupants->len && freed < missing; j++) {
			struct dff_core_job *occupant = g_ptr_array_index (worker->occupants, j);
			if (occupant->gang > 1 || !is_movable (core, occupant, missing - freed))
				continue;
			freed += occupant->per_task.accelerators;
			g_ptr_array_add (jobs, occupant);
		}
	}
	return freed >= missing;
}

/* Returns: free accelerators of other racks that are not part of a whole piece. */
static int32_t
fragments_elsewhere (const struct dff_core *core, int32_t except)
{
	int32_t sum = 0;
	for (int32_t i = 0; i < (int32_t)core->racks->len; i++) {
		if (i != except)
			sum += dff_core_rack_at (core, i)->free_accelerators %
			       core->largest_rack_shape;
	}
	return sum;
}

void
dff_core_run_defrag (struct dff_core *core)
{
	if (core->now_ms < core->defrag_ms || !core->policy.moves_jobs)
		return;
	core->defrag_ms = core->now_ms + DEFRAG_MS;
	g_autoptr (GPtrArray) jobs = g_ptr_array_new ();
	g_autoptr (GPtrArray) best = g_ptr_array_new ();
	int32_t best_missing = MOVE_MAX + 1;
	for (int32_t i = 0; i < (int32_t)core->racks->len; i++) {
		const struct dff_core_rack *rack = dff_core_rack_at (core, i);
		int32_t unit = core->largest_rack_shape;
		int32_t missing = unit - rack->free_accelerators % unit;
		if (missing >= best_missing ||
		    rack->free_accelerators + missing > rack->accelerators ||
		    fragments_elsewhere (core, i) < missing ||
		    !collect_jobs (core, rack, missing, jobs))
			continue;
		best_missing = missing;
		g_ptr_array_set_size (best, 0);
		g_ptr_array_extend (best, jobs, NULL, NULL);
	}
	for (guint i = 0; i < best->len; i++)
		dff_core_job_preempt (core, g_ptr_array_index (best, i), DFF_CORE_PREEMPT_DEFRAG);
	core->stats.moves += best->len;
}

int64_t
dff_core_defrag_wake_ms (const struct dff_core *core)
{
	return core->policy.moves_jobs && core->stats.running > 0 ? core->defrag_ms : INT64_MAX;
}
