#ifndef DFF_STANDIN_MEMORY_RUNNER_H
#define DFF_STANDIN_MEMORY_RUNNER_H

#include "standin/virtual_loop.h"
#include "upstream/runner.h"

/* In-memory workers under a virtual clock, with faults. They detect broken invariants: two
 * concurrent runs of a task; a start after its completion was acknowledged, after failed runs used
 * up its attempts, beyond a worker's accelerators, or where starts are forbidden; a third start
 * after it crashed three workers. */

struct dff_memory_runner;
struct dff_memory_runner_client;

/** How a task behaves. */
struct dff_memory_task {
	int32_t duration_ms;
	/** Members of its gang, all of which must be present before it runs; 0: no gang. */
	int32_t gang;
	int32_t accelerators;
	/** Runs with a number up to this fail after half of the duration. */
	int32_t failing_runs;
	bool checkpoints;
	/** Whether its runs crash their workers, and the time from start to crash, ms. */
	bool crashes;
	int32_t crashes_after_ms;
};

#define DFF_MEMORY_TASK_ALWAYS_FAILS INT32_MAX

struct dff_memory_runner_options {
	struct dff_virtual_loop *loop;
	/** Returns: the behaviour of the task called @task. */
	struct dff_memory_task (*describe) (void *ctx, const struct dff_name *task);
	void *ctx;
	int32_t stop_grace_ms;
	int32_t gang_wait_ms;
	/** Number of failed runs after which a task must not be started again. */
	int32_t max_attempts;
	/** Number of completions that a worker lists in one answer, oldest first; 0: all. */
	int32_t listed_ends_max;
	/** Workers accept starts beyond their capacity, each reported as a violation. */
	bool unenforced;
	/** (nullable): called when a task has crashed its worker, whose incarnation has ended. */
	void (*crashed) (void *ctx, const char *id);
};

/** Faults injected into one worker. They may be changed at any time. */
struct dff_memory_worker_faults {
	/** Calls do not arrive. */
	bool drops_calls;
	/** Calls take effect; their answers are lost. */
	bool drops_answers;
	/** Delay of the answers to watches, ms. */
	int32_t answer_ms;
	/** Tasks make no progress. */
	bool hung;
	/** Duration of tasks relative to their nominal one, per thousand; 0: the nominal one. */
	int32_t duration_permille;
	/** Starts are refused with UNHEALTHY. */
	bool refuses;
	/** Every running task fails immediately. */
	bool fails;
	/** Watches do not report when the worker started. */
	bool hides_start;
	/** Number of next orders that are not answered and are carried out @late_ms later. */
	int32_t late_orders;
	int32_t late_ms;
	/** Time from which on a start that is carried out is a violation, unless it was delayed by
	 * @late_orders; 0: starts are allowed. */
	int64_t no_starts_from_ms;
};

struct dff_memory_runner *dff_memory_runner_new (const struct dff_memory_runner_options *options);

/** No call may be in progress that has yet to call back. */
void dff_memory_runner_free (struct dff_memory_runner *runner);

DFF_DEFINE_CLEANUP (dff_memory_runner, dff_memory_runner_free);

/** Adds a worker. Its clock runs at @clock_permille of the loop's rate. Returns: its faults. */
struct dff_memory_worker_faults *dff_memory_runner_add (struct dff_memory_runner *runner,
							const char *id,
							const char *address,
							int32_t accelerators,
							int32_t clock_permille);

/** Adds a worker that reports its start, from which its clock counts. An earlier worker of the same
 * id must be dead. */
struct dff_memory_worker_faults *dff_memory_runner_add_with_start (struct dff_memory_runner *runner,
								   const char *id,
								   const char *address,
								   int32_t accelerators,
								   int32_t clock_permille);

/** Returns: start time of a worker's last incarnation on the loop's clock, ms; 0: not reported. */
int64_t dff_memory_runner_started_ms (struct dff_memory_runner *runner, const char *id);

/** Changes a worker's capacity; its runs go on. A smaller capacity is enforced only after the time
 * that it may take to reach the holder. */
void
dff_memory_runner_resize (struct dff_memory_runner *runner, const char *id, int32_t accelerators);

/** Ends a worker's incarnation with its runs. Another one may then be added at its address. */
void dff_memory_runner_kill (struct dff_memory_runner *runner, const char *id);

/** Returns: (transfer none): a new client: one process that calls the workers. */
struct dff_memory_runner_client *dff_memory_runner_client_new (struct dff_memory_runner *runner);

const struct dff_runner *
dff_memory_runner_client_interface (struct dff_memory_runner_client *client);

/** Simulates the end of the client's process: its calls do not call back any more. */
void dff_memory_runner_client_end (struct dff_memory_runner_client *client);

/** While @cut, this client alone cannot reach the worker. */
void
dff_memory_runner_client_cut (struct dff_memory_runner_client *client, const char *id, bool cut);

/** Returns: (nullable): description of the first violation of an invariant. */
const char *dff_memory_runner_violation (const struct dff_memory_runner *runner);

/** Returns: number of active runs on all live workers. */
int32_t dff_memory_runner_n_active (const struct dff_memory_runner *runner);

/** Returns: (nullable): id of the worker that runs @task now. */
const char *dff_memory_runner_worker_of (const struct dff_memory_runner *runner, const char *task);

/** Returns: number of incarnations that ended, for whatever reason, while they ran @task. */
int32_t dff_memory_runner_n_incarnations_ended (const struct dff_memory_runner *runner,
						const char *task);

/** Returns: number of starts carried out, of tasks whose name begins with @prefix. */
int32_t dff_memory_runner_n_starts (const struct dff_memory_runner *runner, const char *prefix);

#endif
