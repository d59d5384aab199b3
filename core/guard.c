#include "core/core_private.h"

/* Reservations for waiting gangs. Small jobs would otherwise take each accelerator as it comes
 * free, and a gang that needs a rack whole would wait for ever. The racks that come free first are
 * kept: other work may be placed there only when it is gone by then (backfill), or more urgent. */

static int64_t
rack_clear_ms (const struct dff_core *core,
	       const struct dff_core_rack *rack,
	       const struct dff_core_job *job)
{
	int64_t clear_ms = core->now_ms;
	for (guint i = 0; i < rack->workers->len; i++) {
		const struct dff_core_worker *worker =
			dff_core_worker_at (core, g_array_index (rack->workers, int32_t, i));
		for (guint j = 0; j < worker->tenants->len; j++) {
			struct dff_core_job *tenant = g_ptr_array_index (worker->tenants, j);
			if (tenant->per_task.accelerators == 0 ||
			    dff_core_may_evict (core, job, tenant))
				continue;
			clear_ms =
				MAX (clear_ms, core->now_ms + dff_core_remaining_ms (core, tenant));
		}
	}
	return clear_ms;
}

/* Members that the rack would hold once its other work is gone. */
static int32_t
rack_yield (const struct dff_core *core,
	    const struct dff_core_rack *rack,
	    const struct dff_core_job *job)
{
	enum dff_core_view view =
		dff_core_job_preemptible (job) ? DFF_CORE_VIEW_EMPTY : DFF_CORE_VIEW_HOMELESS;
	int32_t yield = 0;
	for (guint i = 0; i < rack->workers->len; i++) {
		const struct dff_core_worker *worker =
			dff_core_worker_at (core, g_array_index (rack->workers, int32_t, i));
		if (!dff_core_worker_usable (worker))
			continue;
		struct dff_resources room = dff_core_worker_room (core, worker, job, view);
		yield += dff_resources_fits (&room, &job->per_task, job->gang);
	}
	return yield;
}

struct window {
	int32_t first;
	int32_t last;
	int64_t clear_ms;
};

/* Neighbouring racks from @first on that would hold the gang. */
static bool
window_at (const struct dff_core *core,
	   const struct dff_core_job *job,
	   int32_t first,
	   struct window *window)
{
	int32_t region = dff_core_rack_at (core, first)->region;
	int32_t yield = 0;
	*window = (struct window){.first = first, .clear_ms = core->now_ms};
	for (int32_t i = first; i < (int32_t)core->racks->len; i++) {
		const struct dff_core_rack *rack = dff_core_rack_at (core, i);
		if (rack->region != region || rack->guard != NULL ||
		    (job->region != DFF_CORE_NONE && job->region != region))
			return false;
		window->clear_ms = MAX (window->clear_ms, rack_clear_ms (core, rack, job));
		window->last = i;
		yield += rack_yield (core, rack, job);
		if (yield >= job->gang)
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
dff_core_guard (struct dff_core *core, struct dff_core_job *job)
{
	if (job->guarded || core->n_guards >= core->max_guards)
		return false;
	struct window best = {.first = DFF_CORE_NONE};
	job->guarded = true;
	for (int32_t i = 0; i < (int32_t)core->racks->len; i++) {
		struct window window;
		if (!window_at (core, job, i, &window))
			continue;
		if (best.first == DFF_CORE_NONE || is_better (&window, &best))
			best = window;
	}
	job->guarded = best.first != DFF_CORE_NONE;
	core->n_guards += job->guarded;
	for (int32_t i = best.first; job->guarded && i <= best.last; i++) {
		dff_core_rack_at (core, i)->guard = job;
		dff_core_rack_at (core, i)->guard_ms = best.clear_ms;
	}
	return job->guarded;
}

void
dff_core_unguard (struct dff_core *core, struct dff_core_job *job)
{
	if (!job->guarded)
		return;
	job->guarded = false;
	core->dirty = true;
	core->n_guards--;
	for (guint i = 0; i < core->racks->len; i++) {
		struct dff_core_rack *rack = dff_core_rack_at (core, (int32_t)i);
		if (rack->guard == job)
			rack->guard = NULL;
	}
}

void
dff_core_run_guards (struct dff_core *core)
{
	for (guint i = 0; core->n_guards > 0 && i < core->racks->len; i++) {
		const struct dff_core_rack *rack = dff_core_rack_at (core, (int32_t)i);
		/* The estimates that it was chosen by were far off: choose again. */
		if (rack->guard != NULL &&
		    rack->guard_ms + core->options.rack_reservation_grace_ms < core->now_ms)
			dff_core_unguard (core, rack->guard);
	}
}

bool
dff_core_rack_is_kept (const struct dff_core *core,
		       const struct dff_core_rack *rack,
		       const struct dff_core_job *job)
{
	if (rack->guard == NULL || rack->guard == job || job->urgent || job->entitled)
		return false;
	return core->now_ms + dff_core_remaining_ms (core, job) > rack->guard_ms;
}
