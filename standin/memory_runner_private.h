#ifndef DFF_STANDIN_MEMORY_RUNNER_PRIVATE_H
#define DFF_STANDIN_MEMORY_RUNNER_PRIVATE_H

#include "standin/memory_runner.h"

/* Between the calls of processes (memory_runner.c) and what workers do (memory_runner_work.c). */

struct dff_memory_runner {
	struct dff_memory_runner_options options;
	/** Elements: struct worker. */
	GPtrArray *workers;
	GPtrArray *clients;
	/** Task to struct history. */
	GHashTable *histories;
	char *violation;
};

/** What has happened to a task, over all workers. */
struct history {
	int32_t n_starts;
	int64_t last_start_ms;
	/** Whether its end was acknowledged. */
	bool completed;
	/** Acknowledged ends of failed runs that came before the last start. */
	int32_t n_failures;
	/** The same, since it. */
	int32_t n_failures_since_start;
	/** Workers that it has crashed, and its starts since the last that may be too many. */
	int32_t n_crashes;
	int32_t n_starts_after_crashes;
	/** Workers whose lives ended while they ran it. */
	int32_t n_incarnations_ended;
};

struct worker {
	struct dff_memory_runner *runner;
	char *id;
	char *address;
	int32_t accelerators;
	/** What it had room for before, until that does not count any more. */
	int32_t former_accelerators;
	int64_t former_until_ms;
	int32_t clock_permille;
	/** When this life started, on the loop's clock; 0: it is not told. */
	int64_t started_ms;
	bool dead;
	struct dff_memory_worker_faults faults;
	int64_t epoch;
	int64_t deadline_ms;
	/** When everything was killed last for want of a lease. */
	int64_t lease_expired_ms;
	/** Task to struct run. */
	GHashTable *runs;
	/** Task to the highest run that was stopped or ended. */
	GHashTable *refused;
	/** Elements: struct end. */
	GArray *ends;
	int64_t n_ends;
};

struct run {
	struct dff_name task;
	int32_t run;
	struct dff_memory_task spec;
	int64_t placed_ms;
	/** Work done, ms, and when that was counted last. */
	int64_t done_ms;
	int64_t counted_ms;
	/** Whether its gang is all there. */
	bool running;
	/** When it is to be gone; 0: it is not being stopped. */
	int64_t stop_at_ms;
};

struct end {
	int64_t number;
	struct dff_name task;
	int32_t run;
	enum dff_run_end end;
	int64_t at_ms;
	char checkpoint[24];
};

int64_t memory_runner_now_ms (const struct dff_memory_runner *runner);

/** Returns: a worker's own clock. */
int64_t memory_worker_clock_ms (const struct worker *worker);

/** What is known of a task over all workers. */
struct history *memory_runner_history (struct dff_memory_runner *runner,
				       const struct dff_name *task);

/** Has a worker's tasks go on, every so often, until its life ends. */
void memory_worker_start_checks (struct worker *worker);

/** Ends a worker's life: everything there ends, and the gangs that it was part of break. */
void memory_worker_kill (struct worker *worker);

/** Lengthens a worker's lease up to a time on its clock. */
void memory_worker_renew (struct worker *worker, int64_t deadline_ms);

/** Carries out a start. @checkpoint: where the run begins; empty: at its beginning. */
enum dff_runner_outcome memory_worker_start (struct worker *worker,
					     const struct dff_run_order *order,
					     const char *checkpoint);

/** Notes that a start which was not delayed has begun a run. */
void memory_worker_check_allowed (const struct worker *worker, const struct dff_run_order *order);

enum dff_runner_outcome memory_worker_stop (struct worker *worker,
					    const struct dff_run_order *order);

/** Ends up to @number are taken note of, unless the lease has lapsed since. */
void memory_worker_acknowledge (struct worker *worker, int64_t number);

#endif
