#include "core/core_private.h"

#include <math.h>

/*
 * Headroom: capacity kept free for work that is about to arrive. Work of a priority leaves free
 * what higher priorities have needed lately. Urgent work arrives in bursts, whereas other work can
 * wait for many seconds. Without headroom urgent jobs find the pool full and wait until a task is
 * stopped, whose work is lost; the same tasks are started and stopped again and again.
 *
 * The headroom is the largest recent demand, which decays slowly, so that a burst leaves its
 * capacity free for the next. It consists of whole workers, the last of each region, so that gangs
 * find racks in it. Work that has waited long while the pool is mostly idle uses it nevertheless,
 * see may_ignore_reservations() in place.c.
 */

/** Share of the demand that is left free. Values from 0.7 to 1.2 make no difference to the work
 * served in time, and the smallest leaves most to bulk work. */
#define HEADROOM_SHARE 0.7

void
dff_core_headroom_count (struct dff_core *core, const struct dff_core_job *job, int32_t times)
{
	if (job->region != DFF_CORE_NONE)
		dff_core_region_at (core, job->region)->demand[job->priority] +=
			times * dff_core_job_accelerators (job);
}

static void
sum_accelerators (struct dff_core *core)
{
	for (guint i = 0; i < core->regions->len; i++)
		dff_core_region_at (core, (int32_t)i)->accelerators = 0;
	for (guint i = 0; i < core->workers->len; i++) {
		const struct dff_core_worker *worker = dff_core_worker_at (core, (int32_t)i);
		if (worker->rack == DFF_CORE_NONE)
			continue;
		int32_t region = dff_core_rack_at (core, worker->rack)->region;
		dff_core_region_at (core, region)->accelerators += worker->capacity.accelerators;
	}
}

void
dff_core_headroom_rank (struct dff_core *core)
{
	sum_accelerators (core);
	g_autoptr (GArray) before = g_array_new (FALSE, TRUE, sizeof (int32_t));
	g_array_set_size (before, core->regions->len);
	for (guint i = 0; i < core->racks->len; i++) {
		const struct dff_core_rack *rack = dff_core_rack_at (core, (int32_t)i);
		int32_t all = dff_core_region_at (core, rack->region)->accelerators;
		int32_t *sum = &g_array_index (before, int32_t, rack->region);
		for (guint j = 0; j < rack->workers->len; j++) {
			struct dff_core_worker *worker = dff_core_worker_at (
				core, g_array_index (rack->workers, int32_t, j));
			worker->headroom_rank = (float)*sum / (float)MAX (all, 1);
			*sum += worker->capacity.accelerators;
		}
	}
}

static void
update_region (const struct dff_core *core, struct dff_core_region *region)
{
	double passed_ms = (double)(core->now_ms - region->headroom_ms);
	double left = exp (-passed_ms / (double)core->options.headroom_decay_ms);
	double needed = 0.0;
	for (int32_t i = 1; i < DFF_CORE_PRIORITIES; i++) {
		needed += region->demand[i - 1];
		double share = HEADROOM_SHARE * needed / MAX (region->accelerators, 1);
		double shrunk = share + (region->headroom[i] - share) * left;
		region->headroom[i] = MAX (share, shrunk);
	}
	region->headroom_ms = core->now_ms;
}

void
dff_core_run_headroom (struct dff_core *core)
{
	if (core->options.headroom_decay_ms == 0)
		return;
	for (guint i = 0; i < core->regions->len; i++)
		update_region (core, dff_core_region_at (core, (int32_t)i));
}

/* Work that has waited headroom_wait_ratio times its estimated run time leaves headroom for the
 * highest priority only: its deadline comes closer, and preemption can free the capacity again.
 * Guards against starvation under load: work of the middle priority waits for racks and cannot use
 * the headroom at once, and lower priorities may not use it until their deadlines pass, so that on
 * a loaded day an entire class of jobs is not served. */
int32_t
dff_core_headroom_level (const struct dff_core *core, const struct dff_core_job *job)
{
	double times = core->options.headroom_wait_ratio;
	double waited_ms = (double)(core->now_ms - job->submitted_ms);
	bool has_waited = times > 0.0 && waited_ms >= times * (double)job->estimate_ms &&
			  !dff_core_job_yields (core, job);
	return has_waited ? MIN (job->priority, 1) : job->priority;
}

bool
dff_core_is_headroom (const struct dff_core *core,
		      const struct dff_core_worker *worker,
		      int32_t priority)
{
	if (worker->rack == DFF_CORE_NONE)
		return false;
	int32_t region = dff_core_rack_at (core, worker->rack)->region;
	double headroom = dff_core_region_at (core, region)->headroom[priority];
	return (double)worker->headroom_rank + headroom >= 1.0;
}
