#ifndef DFF_STANDIN_WORKER_TASKS_H
#define DFF_STANDIN_WORKER_TASKS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/cleanup.h"
#include "common/clock.h"
#include "pool/pool.h"
#include "upstream/worker_client.h"
#include "upstream/worker_wire.h"

/* The tasks of one stand-in worker as a state machine under a clock: what a worker must do
 * (docs/BACKING.md) without sockets, so that tests use the same in memory. */

struct dff_worker_tasks;

/** Writes the object key of a task's result, "JOB:ATTEMPT:MEMBER". Returns: false: too long. */
bool dff_task_result_key (const struct dff_task_id *id, struct dff_name *key);

/** The first two may be answered before they return. */
struct dff_worker_tasks_callbacks {
	/** A task's work is done: its result is to be written, then
	 * dff_worker_tasks_result_written() called. */
	void (*finish) (void *ctx, const struct dff_task_id *task, int64_t result_bytes);
	/** A task resumes: its last checkpoint is to be read, then dff_worker_tasks_loaded()
	 * called. */
	void (*load) (void *ctx, const struct dff_task_id *task);
	/** Something is there to be reported. Not to be answered before it returns. */
	void (*changed) (void *ctx);
	void *ctx;
	/** (nullable): a task begins to run; @tag is its payload's. */
	void (*ran) (void *ctx, const struct dff_task_id *task, const struct dff_name *tag);
};

struct dff_worker_tasks_options {
	const struct dff_clock *clock;
	struct dff_resources capacity;
	/** Whether commands of an epoch older than the newest seen are refused. */
	bool check_epochs;
	int64_t incarnation;
	struct dff_worker_tasks_callbacks callbacks;
};

/** Returns: (transfer full): a worker without tasks; @options is copied. */
struct dff_worker_tasks *dff_worker_tasks_new (const struct dff_worker_tasks_options *options);

void dff_worker_tasks_free (struct dff_worker_tasks *tasks);

DFF_DEFINE_CLEANUP (dff_worker_tasks, dff_worker_tasks_free);

/** Ends what is due: work that is done, leases that have lapsed, tombstones past their time. */
void dff_worker_tasks_tick (struct dff_worker_tasks *tasks);

/** Returns: monotonic ms at which the next tick has something to do; INT64_MAX: none. */
int64_t dff_worker_tasks_next_due_ms (const struct dff_worker_tasks *tasks);

/*
 * The commands. @report receives the task as it is after the command.
 * Returns: DFF_WORKER_OK, or DFF_WORKER_REFUSED when nothing was done.
 */

/** Starts or, when held, prepares a task. Refused: accelerators in use, beyond the capacity, or a
 * tombstone. The same start again is answered like the first. */
enum dff_worker_outcome dff_worker_tasks_start (struct dff_worker_tasks *tasks,
						const struct dff_task_start *start,
						struct dff_task_report *report);

/** Lets a held task run; one that runs or has ended is left as it is. Refused: never seen, or a
 * tombstone. */
enum dff_worker_outcome dff_worker_tasks_release (struct dff_worker_tasks *tasks,
						  const struct dff_task_id *id,
						  int64_t epoch,
						  struct dff_task_report *report);

/** Sets the share of its resources, 0 to 100 @percent, that a task which is held or runs may use.
 */
enum dff_worker_outcome dff_worker_tasks_throttle (struct dff_worker_tasks *tasks,
						   const struct dff_task_id *id,
						   int64_t epoch,
						   int32_t percent,
						   struct dff_task_report *report);

/** Stops a task; one that is held or was never seen leaves a tombstone. */
enum dff_worker_outcome dff_worker_tasks_stop (struct dff_worker_tasks *tasks,
					       const struct dff_task_id *id,
					       int64_t epoch,
					       struct dff_task_report *report);

/** Begins a checkpoint: @done_ms receives the work to be kept. Refused unless the task runs. */
enum dff_worker_outcome dff_worker_tasks_checkpoint (struct dff_worker_tasks *tasks,
						     const struct dff_task_id *id,
						     int64_t epoch,
						     int64_t *done_ms,
						     struct dff_task_report *report);

/** A checkpoint is durable: counts it while the task still runs. */
void dff_worker_tasks_checkpointed (struct dff_worker_tasks *tasks,
				    const struct dff_task_id *id,
				    struct dff_task_report *report);

/** Appends every task. Elements of @reports: struct dff_task_report. */
void dff_worker_tasks_query (const struct dff_worker_tasks *tasks, GArray *reports);

/**
 * dff_worker_tasks_renew:
 * @renewal: leases end at its from_ms plus its lease_ms, and never sooner than before
 *
 * Renews every lease and appends what changed after its sequence, in order of change.
 */
void dff_worker_tasks_renew (struct dff_worker_tasks *tasks,
			     const struct dff_worker_renewal *renewal,
			     GArray *reports);

/** Returns: sequence of the last change. */
int64_t dff_worker_tasks_sequence (const struct dff_worker_tasks *tasks);

/** Returns: the options' incarnation, which goes into every answer. */
int64_t dff_worker_tasks_incarnation (const struct dff_worker_tasks *tasks);

/** The result is durable: the task completes if it still runs. */
void dff_worker_tasks_result_written (struct dff_worker_tasks *tasks,
				      const struct dff_task_id *id,
				      const struct dff_name *key,
				      int64_t length,
				      const char *digest);

/** The work that a resumed task need not repeat, ms. */
void dff_worker_tasks_loaded (struct dff_worker_tasks *tasks,
			      const struct dff_task_id *id,
			      int64_t done_ms);

/** Takes a slot for a short request. Returns: false when none is free or the worker leaves. */
bool dff_worker_tasks_begin_request (struct dff_worker_tasks *tasks);

/** Gives the slot of a short request back. */
void dff_worker_tasks_end_request (struct dff_worker_tasks *tasks);

/** From now on new starts and requests are refused; what runs goes on. */
void dff_worker_tasks_leave (struct dff_worker_tasks *tasks);

/** Returns: whether dff_worker_tasks_leave() was called. */
bool dff_worker_tasks_is_leaving (const struct dff_worker_tasks *tasks);

/** Fault: every task fails as soon as it runs. */
void dff_worker_tasks_set_fail_everything (struct dff_worker_tasks *tasks, bool fail);

/** Returns: whether that fault is set. */
bool dff_worker_tasks_fails_everything (const struct dff_worker_tasks *tasks);

/** Returns: tasks held or running, and requests in progress. */
int32_t dff_worker_tasks_busy (const struct dff_worker_tasks *tasks);

#endif
