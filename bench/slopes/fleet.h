#ifndef DFF_BENCH_SLOPES_FLEET_H
#define DFF_BENCH_SLOPES_FLEET_H

#include "core/core.h"

/*
 * A core with a fleet of any size whose commands are all answered at once, as if store and workers
 * took no time: what is measured is the core alone.
 */

struct fleet_size {
	int workers;
	int teams;
	int regions;
};

struct fleet {
	struct dff_pool *pool;
	struct dff_core *core;
	GArray *commands;
	int64_t now_ms;
	int n_jobs;
	int n_teams;
};

/**
 * fleet_pool_text:
 *
 * Racks of 8 workers with 8 slots; one rack in 18 has two accelerators a worker, the others one, so
 * that 1,800 workers have 1,900. Each team is guaranteed a gang of up to 8, as far as six tenths of
 * the accelerators go.
 *
 * Returns: (transfer full): the pool file.
 */
GString *fleet_pool_text (const struct fleet_size *size);

/** Returns: (transfer full): the file, parsed. */
struct dff_pool *fleet_pool (const struct fleet_size *size);

struct fleet *fleet_new (const struct fleet_size *size);

void fleet_free (struct fleet *fleet);

DFF_DEFINE_CLEANUP (fleet, fleet_free);

/** Returns: a job of the next team in turn: idempotent, not urgent, beyond guarantees. */
struct dff_job_spec fleet_job (struct fleet *fleet, int gang, int accelerators);

void fleet_submit (struct fleet *fleet, const struct dff_job_spec *spec);

/** Ticks and answers until nothing is left to do at this moment. */
void fleet_settle (struct fleet *fleet);

/** Fills the fleet with gangs of 8 tasks that hold slots, one gang in eight also accelerators.
 * Returns: the number of tasks that run. */
int fleet_run_tasks (struct fleet *fleet, int n_tasks);

/** Every member of @job completes. */
void fleet_complete (struct fleet *fleet, const struct dff_name *job, int gang);

#endif
