#ifndef DFF_STANDIN_MEMORY_RUNNER_H
#define DFF_STANDIN_MEMORY_RUNNER_H

#include "standin/virtual_loop.h"
#include "upstream/runner.h"

/* Workers in memory, under a virtual clock, with faults. They notice what must never happen: a task
 * that runs twice at a time, one that starts after its end was acknowledged or after its failed
 * runs have used up its attempts, work beyond a worker's accelerators, a start where none is to
 * come any more, a third start after three workers have crashed under a task. */

struct dff_memory_runner;
struct dff_memory_runner_client;

/** What a task does. */
struct dff_memory_task {
	int32_t duration_ms;
	/** Members that it waits for; 0: it runs by itself. */
	int32_t gang;
	int32_t accelerators;
	/** Runs up to this number fail half-way. */
	int32_t failing_runs;
	bool checkpoints;
	/** Whether its runs crash their workers, and how long after their starts, ms. */
	bool crashes;
	int32_t crashes_after_ms;
};

#define DFF_MEMORY_TASK_ALWAYS_FAILS INT32_MAX

struct dff_memory_runner_options {
	struct dff_virtual_loop *loop;
	/** Tells what a task does, by its name. */
	struct dff_memory_task (*describe) (void *ctx, const struct dff_name *task);
	void *ctx;
	int32_t stop_grace_ms;
	int32_t gang_wait_ms;
	/** Failed runs of a task after which it must not be started again. */
	int32_t max_attempts;
	/** Workers start what they are told to, whether or not there is room for it. */
	bool unenforced;
	/** (nullable): told when a task has crashed its worker, whose life is over. */
	void (*crashed) (void *ctx, const char *id);
};

/** Faults of one worker, changed at any time. */
struct dff_memory_worker_faults {
	/** Calls do not arrive. */
	bool drops_calls;
	/** Calls arrive, answers do not. */
	bool drops_answers;
	/** Lists are so late, ms. */
	int32_t answer_ms;
	/** Tasks stand still. */
	bool hung;
	/** Starts are refused, the worker being unhealthy. */
	bool refuses;
	/** All tasks fail at once. */
	bool fails;
	/** Its lists do not tell when it started. */
	bool hides_start;
	/** So many of the next orders have no answer and are carried out later. */
	int32_t late_orders;
	int32_t late_ms;
	/** Starts that arrive from then on and are not late ones must not be carried out; 0: they
	 * may. */
	int64_t no_starts_from_ms;
};

struct dff_memory_runner *dff_memory_runner_new (const struct dff_memory_runner_options *options);

/** No call may be in progress that is still to call back. */
void dff_memory_runner_free (struct dff_memory_runner *runner);

DFF_DEFINE_CLEANUP (dff_memory_runner, dff_memory_runner_free);

/** Adds a worker. Its clock runs at @clock_permille of the loop's. Returns: its faults. */
struct dff_memory_worker_faults *dff_memory_runner_add (struct dff_memory_runner *runner,
							const char *id,
							const char *address,
							int32_t accelerators,
							int32_t clock_permille);

/** The same for a worker that tells when it started, and whose clock counts from then on; one of
 * that id that was there before has to be dead. */
struct dff_memory_worker_faults *dff_memory_runner_add_with_start (struct dff_memory_runner *runner,
								   const char *id,
								   const char *address,
								   int32_t accelerators,
								   int32_t clock_permille);

/** Returns: when the last life of a worker started, on the loop's clock; 0: it does not tell. */
int64_t dff_memory_runner_started_ms (struct dff_memory_runner *runner, const char *id);

/** Changes what a worker has room for; what runs there goes on. A smaller room counts once whoever
 * starts tasks had the time to learn of it. */
void
dff_memory_runner_resize (struct dff_memory_runner *runner, const char *id, int32_t accelerators);

/** Ends a life: everything there ends, and another life may come to its address. */
void dff_memory_runner_kill (struct dff_memory_runner *runner, const char *id);

/** Returns: (transfer none): the workers as one process reaches them. */
struct dff_memory_runner_client *dff_memory_runner_client_new (struct dff_memory_runner *runner);

const struct dff_runner *
dff_memory_runner_client_interface (struct dff_memory_runner_client *client);

/** The process of this client has ended: none of its calls calls back any more. */
void dff_memory_runner_client_end (struct dff_memory_runner_client *client);

/** Has a worker not be reached by this process alone. */
void
dff_memory_runner_client_cut (struct dff_memory_runner_client *client, const char *id, bool cut);

/** Returns: (nullable): the first thing that must never happen, in words. */
const char *dff_memory_runner_violation (const struct dff_memory_runner *runner);

/** Returns: runs that are open, over all workers. */
int32_t dff_memory_runner_n_active (const struct dff_memory_runner *runner);

/** Returns: (nullable): the worker that runs @task now. */
const char *dff_memory_runner_worker_of (const struct dff_memory_runner *runner, const char *task);

/** Returns: workers whose lives ended while they ran @task, whatever ended them. */
int32_t dff_memory_runner_n_incarnations_ended (const struct dff_memory_runner *runner,
						const char *task);

/** Returns: starts that were carried out, of tasks whose name begins with @prefix. */
int32_t dff_memory_runner_n_starts (const struct dff_memory_runner *runner, const char *prefix);

#endif
