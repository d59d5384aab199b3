#include "core/core_private.h"

/* Rack reservations for waiting gangs. Without them small jobs take each accelerator as it comes
 * free, and a gang that needs a whole rack waits for ever. The shortest run of neighbouring racks
 * that would hold the gang is reserved; of several, the one expected to be free first. Other work
 * is placed there only when it is expected to end before that (backfill), or has precedence. */

static int64_t
rack_clear_ms (const struct dff_core *core,
	       const struct dff_core_rack *rack,
	       const struct dff_core_job *job)
{
	int64_t clear_ms = core->now_ms;
	for (guint i = 0; i < rack->workers->len; i++) {
		const struct dff_core_worker *worker =
			dff_core_worker_at (core, g_array_index (rack->workers, int32_t, i));
		for (guint j = 0; j < worker->occupants->len; j++) {
			struct dff_core_job *occupant = g_ptr_array_index (worker->occupants, j);
			if (occupant->per_task.accelerators == 0 ||
			    dff_core_may_evict (core, job, occupant))
				continue;
			clear_ms = MAX (clear_ms,
					core->now_ms + dff_core_remaining_ms (core, occupant));
		}
	}
	return clear_ms;
}

/* Number of members that the rack would hold once its other work has ended. */
static int32_t
rack_capacity (const struct dff_core *core,
	       const struct dff_core_rack *rack,
	       const struct dff_core_job *job)
{
	enum dff_core_view view = dff_core_job_preemptible (job)
					  ? DFF_CORE_VIEW_EMPTY
					  : DFF_CORE_VIEW_EMPTY_LESS_WITNESSES;
	int32_t capacity = 0;
	for (guint i = 0; i < rack->workers->len; i++) {
		const struct dff_core_worker *worker =
			dff_core_worker_at (core, g_array_index (rack->workers, int32_t, i));
		if (!dff_core_worker_usable (worker))
			continue;
		struct dff_resources available =
			dff_core_worker_available (core, worker, job, view);
		capacity += dff_resources_fits (&available, &job->per_task, job->gang);
	}
	return capacity;
}

struct window {
	int32_t first;
	int32_t last;
	int64_t clear_ms;
};

/* Finds the run of neighbouring racks from @first on that would hold the gang. */
static bool
window_at (const struct dff_core *core,
	   const struct dff_core_job *job,
	   int32_t first,
	   struct window *window)
{
	int32_t region = dff_core_rack_at (core, first)->region;
	int32_t capacity = 0;
	*window = (struct window){.first = first, .clear_ms = core->now_ms};
	for (int32_t i = first; i < (int32_t)core->racks->len; i++) {
		const struct dff_core_rack *rack = dff_core_rack_at (core, i);
		if (rack->region != region || rack->reserved_for != NULL ||
		    (job->region != DFF_CORE_NONE && job->region != region))
			return false;
		window->clear_ms = MAX (window->clear_ms, rack_clear_ms (core, rack, job));
		window->last = i;
		capacity += rack_capacity (core, rack, job);
		if (capacity >= job->gang)
			return true;
	}
	return false;
}

static bool
is_better (const struct window *one, const struct window *other)
{
	int32_t length = one->last - one->first;
	int32_t best_length = other->last - other->first;
	if (length != best_length)
		return length < best_length;
	return one->clear_ms < other->clear_ms;
}

bool
dff_core_reserve_racks (struct dff_core *core, struct dff_core_job *job)
{
	if (job->has_reserved_racks || core->n_rack_reservations >= core->max_rack_reservations)
		return false;
	struct window best = {.first = DFF_CORE_NONE};
	job->has_reserved_racks = true;
	for (int32_t i = 0; i < (int32_t)core->racks->len; i++) {
		struct window window;
		if (!window_at (core, job, i, &window))
			continue;
		if (best.first == DFF_CORE_NONE || is_better (&window, &best))
			best = window;
	}
	job->has_reserved_racks = best.first != DFF_CORE_NONE;
	core->n_rack_reservations += job->has_reserved_racks;
	for (int32_t i = best.first; job->has_reserved_racks && i <= best.last; i++) {
		dff_core_rack_at (core, i)->reserved_for = job;
		dff_core_rack_at (core, i)->expected_free_ms = best.clear_ms;
	}
	return job->has_reserved_racks;
}

void
dff_core_release_racks (struct dff_core *core, struct dff_core_job *job)
{
	if (!job->has_reserved_racks)
		return;
	job->has_reserved_racks = false;
	core->dirty = true;
	core->n_rack_reservations--;
	for (guint i = 0; i < core->racks->len; i++) {
		struct dff_core_rack *rack = dff_core_rack_at (core, (int32_t)i);
		if (rack->reserved_for == job)
			rack->reserved_for = NULL;
	}
}

void
dff_core_run_rack_reservations (struct dff_core *core)
{
	for (guint i = 0; core->n_rack_reservations > 0 && i < core->racks->len; i++) {
		const struct dff_core_rack *rack = dff_core_rack_at (core, (int32_t)i);
		/* The run time estimates by which the racks were chosen were far off: release them,
		 * so that others can be chosen. */
		if (rack->reserved_for != NULL &&
		    rack->expected_free_ms + core->options.rack_reservation_grace_ms < core->now_ms)
			dff_core_release_racks (core, rack->reserved_for);
	}
}

bool
dff_core_rack_is_reserved (const struct dff_core *core,
			   const struct dff_core_rack *rack,
			   const struct dff_core_job *job)
{
	if (rack->reserved_for == NULL || rack->reserved_for == job || job->urgent || job->entitled)
		return false;
	return core->now_ms + dff_core_remaining_ms (core, job) > rack->expected_free_ms;
}
