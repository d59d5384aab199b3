#ifndef DFF_BENCH_SLOPES_CORE_LOAD_H
#define DFF_BENCH_SLOPES_CORE_LOAD_H

#include "core/core.h"

/*
 * A core with a fleet of any size. Every command is answered immediately, as if store and workers
 * took no time, so that only the core is measured.
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
 * Racks of 8 workers with 8 slots. Workers have one accelerator, in one rack of 18 two, so that
 * 1,800 workers have 1,900. Each team is guaranteed a gang of up to 8, up to six tenths of the
 * accelerators in all.
 *
 * Returns: (transfer full): the pool file.
 */
GString *core_load_pool_text (const struct core_load_size *size);

/** Returns: (transfer full): the parsed pool file. */
struct dff_pool *core_load_pool (const struct core_load_size *size);

struct core_load *core_load_new (const struct core_load_size *size);

void core_load_free (struct core_load *load);

DFF_DEFINE_CLEANUP (core_load, core_load_free);

/** Returns: a job of the next team in turn: idempotent, not urgent, beyond guarantees. */
struct dff_job_spec core_load_job (struct core_load *load, int gang, int accelerators);

void core_load_submit (struct core_load *load, const struct dff_job_spec *spec);

/** Ticks and answers until the core has no more commands at the current time. */
void core_load_settle (struct core_load *load);

/** Starts gangs of 8 tasks that hold slots, one gang in eight also accelerators. Returns: the
 * number of running tasks. */
int core_load_run_tasks (struct core_load *load, int n_tasks);

/** Reports the first @n workers as down. */
void core_load_fail_workers (struct core_load *load, int n);

#endif
