#ifndef DFF_STANDIN_MEMORY_RUNNER_PRIVATE_H
#define DFF_STANDIN_MEMORY_RUNNER_PRIVATE_H

#include "standin/memory_runner.h"

/* Shared by memory_runner.c (calls of clients) and memory_runner_work.c (runs on workers). */

struct dff_memory_runner {
	struct dff_memory_runner_options options;
	/** Elements: struct worker. */
	GPtrArray *workers;
	GPtrArray *clients;
	/** Maps a task to its struct history. */
	GHashTable *histories;
	char *violation;
};

/** History of a task over all workers. */
struct history {
	int32_t n_starts;
	int64_t last_start_ms;
	/** Whether its completion was acknowledged. */
	bool completed;
	/** Acknowledged runs that failed before the last start. */
	int32_t n_failures;
	/** Acknowledged runs that failed after the last start. */
	int32_t n_failures_since_start;
	/** Number of workers that the task crashed. */
	int32_t n_crashes;
	/** Number of starts since n_crashes reached CRASHES_MAX. */
	int32_t n_starts_after_crashes;
	/** Number of incarnations that ended while they ran the task. */
	int32_t n_incarnations_ended;
};

struct worker {
	struct dff_memory_runner *runner;
	char *id;
	char *address;
	int32_t accelerators;
	/** Capacity before a resize, which counts until @former_until_ms. */
	int32_t former_accelerators;
	int64_t former_until_ms;
	int32_t clock_permille;
	/** Start time of this incarnation on the loop's clock, ms; 0: not reported. */
	int64_t started_ms;
	bool dead;
	struct dff_memory_worker_faults faults;
	int64_t epoch;
	int64_t deadline_ms;
	/** Time of the last lease expiry, which ended all runs, ms; 0: none yet. */
	int64_t lease_expired_ms;
	/** Maps a task to its struct run. */
	GHashTable *runs;
	/** Maps a task to its last stopped or ended run; starts up to it are refused. */
	GHashTable *refused;
	/** Elements: struct end, not yet acknowledged, oldest first. */
	GArray *ends;
	int64_t n_ends;
};

struct run {
	struct dff_name task;
	int32_t run;
	struct dff_memory_task spec;
	int64_t placed_ms;
	/** Work done, and the time up to which it is counted, ms. */
	int64_t done_ms;
	int64_t counted_ms;
	/** Whether the run makes progress: all members of its gang have been present. */
	bool running;
	/** Time at which a stopped run ends, ms; 0: not stopped. */
	int64_t stop_at_ms;
};

/** A run that has ended. */
struct end {
	int64_t number;
	struct dff_name task;
	int32_t run;
	enum dff_run_end end;
	int64_t at_ms;
	char checkpoint[24];
};

int64_t memory_runner_now_ms (const struct dff_memory_runner *runner);

/** Returns: time on the worker's own clock, ms. */
int64_t memory_worker_clock_ms (const struct worker *worker);

/** Returns: the history of a task over all workers, empty when it is new. */
struct history *memory_runner_history (struct dff_memory_runner *runner,
				       const struct dff_name *task);

/** Starts the periodic check that advances a worker's runs until its incarnation ends. */
void memory_worker_start_checks (struct worker *worker);

/** Ends a worker's incarnation with its runs, and breaks the gangs with members there. */
void memory_worker_kill (struct worker *worker);

/** Extends a worker's lease to @deadline_ms on the worker's clock; never shortens it. */
void memory_worker_renew (struct worker *worker, int64_t deadline_ms);

/** Executes a start. @checkpoint: work done before the run, ms; empty: none. */
enum dff_runner_outcome memory_worker_start (struct worker *worker,
					     const struct dff_run_order *order,
					     const char *checkpoint);

/** Checks that no_starts_from_ms allows a start that was not delayed and has started a run. */
void memory_worker_check_allowed (const struct worker *worker, const struct dff_run_order *order);

enum dff_runner_outcome memory_worker_stop (struct worker *worker,
					    const struct dff_run_order *order);

/** Acknowledges ended runs up to @number; they count unless the lease has expired since. */
void memory_worker_acknowledge (struct worker *worker, int64_t number);

#endif
