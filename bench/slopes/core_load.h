#ifndef DFF_BENCH_SLOPES_CORE_LOAD_H
#define DFF_BENCH_SLOPES_CORE_LOAD_H

#include "core/core.h"

/*
 * A core with a fleet of any size whose commands are all answered at once, as if store and workers
 * took no time: what is measured is the core alone.
 */

struct core_load_size {
	int workers;
	int teams;
	int regions;
};

struct core_load {
	struct dff_pool *pool;
	struct dff_core *core;
	GArray *commands;
	int64_t now_ms;
	int n_jobs;
	int n_teams;
};

/**
 * core_load_pool_text:
 *
 * Racks of 8 workers with 8 slots; one rack in 18 has two accelerators a worker, the others one, so
 * that 1,800 workers have 1,900. Each team is guaranteed a gang of up to 8, as far as six tenths of
 * the accelerators go.
 *
 * Returns: (transfer full): the pool file.
 */
GString *core_load_pool_text (const struct core_load_size *size);

/** Returns: (transfer full): the file, parsed. */
struct dff_pool *core_load_pool (const struct core_load_size *size);

struct core_load *core_load_new (const struct core_load_size *size);

void core_load_free (struct core_load *load);

DFF_DEFINE_CLEANUP (core_load, core_load_free);

/** Returns: a job of the next team in turn: idempotent, not urgent, beyond guarantees. */
struct dff_job_spec core_load_job (struct core_load *load, int gang, int accelerators);

void core_load_submit (struct core_load *load, const struct dff_job_spec *spec);

/** Ticks and answers until nothing is left to do at this moment. */
void core_load_settle (struct core_load *load);

/** Fills the fleet with gangs of 8 tasks that hold slots, one gang in eight also accelerators.
 * Returns: the number of tasks that run. */
int core_load_run_tasks (struct core_load *load, int n_tasks);

/** The first @n workers go down. */
void core_load_fail_workers (struct core_load *load, int n);

#endif
