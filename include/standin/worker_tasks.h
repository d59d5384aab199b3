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

/* The tasks of one stand-in worker as a state machine under a clock. It implements what a worker
 * must do (docs/BACKING.md) without sockets, so that tests can run the same code in memory. */

struct dff_worker_tasks;

/** Writes the result's object key, "JOB:ATTEMPT:MEMBER". Returns: false when it is too long. */
bool dff_task_result_key (const struct dff_task_id *id, struct dff_name *key);

/** @finish and @load may be answered before they return. */
struct dff_worker_tasks_callbacks {
	/** Task done: write the result, then call dff_worker_tasks_result_written(). */
	void (*finish) (void *ctx, const struct dff_task_id *task, int64_t result_bytes);
	/** Task resumed: read its last checkpoint, then call dff_worker_tasks_loaded(). */
	void (*load) (void *ctx, const struct dff_task_id *task);
	/** Called when a task has changed, which a renewal then reports. A renewal must not be
	 * answered before this returns. */
	void (*changed) (void *ctx);
	void *ctx;
	/** (nullable): called when a task starts to run. @tag: from the task's payload. */
	void (*ran) (void *ctx, const struct dff_task_id *task, const struct dff_name *tag);
};

struct dff_worker_tasks_options {
	const struct dff_clock *clock;
	struct dff_resources capacity;
	/** Whether commands with an epoch older than the newest epoch seen are refused. */
	bool check_epochs;
	int64_t incarnation;
	struct dff_worker_tasks_callbacks callbacks;
};

/** Returns: (transfer full): an empty set of tasks; @options is copied. */
struct dff_worker_tasks *dff_worker_tasks_new (const struct dff_worker_tasks_options *options);

void dff_worker_tasks_free (struct dff_worker_tasks *tasks);

DFF_DEFINE_CLEANUP (dff_worker_tasks, dff_worker_tasks_free);

/** Ends tasks that are done or whose lease has expired; removes old ended tasks and tombstones. */
void dff_worker_tasks_tick (struct dff_worker_tasks *tasks);

/** Returns: monotonic time at which the next tick is due, ms; INT64_MAX: none. */
int64_t dff_worker_tasks_next_due_ms (const struct dff_worker_tasks *tasks);

/*
 * The commands. @report receives the task's state after the command.
 * Returns: DFF_WORKER_OK, or DFF_WORKER_REFUSED when nothing was done.
 */

/** Starts a task or, when the start is held, reserves its resources. Refused: an accelerator is in
 * use, the capacity is exceeded, the worker is leaving, or a tombstone exists. A repeated start is
 * answered like the first one. */
enum dff_worker_outcome dff_worker_tasks_start (struct dff_worker_tasks *tasks,
						const struct dff_task_start *start,
						struct dff_task_report *report);

/** Runs a held task; a running or ended one is not changed. Refused: unknown or a tombstone. */
enum dff_worker_outcome dff_worker_tasks_release (struct dff_worker_tasks *tasks,
						  const struct dff_task_id *id,
						  int64_t epoch,
						  struct dff_task_report *report);

/** Sets the share of its resources that a held or running task may use. @percent: 0 to 100. */
enum dff_worker_outcome dff_worker_tasks_throttle (struct dff_worker_tasks *tasks,
						   const struct dff_task_id *id,
						   int64_t epoch,
						   int32_t percent,
						   struct dff_task_report *report);

/** Stops a task. A held or unknown task becomes a tombstone, which refuses later starts. */
enum dff_worker_outcome dff_worker_tasks_stop (struct dff_worker_tasks *tasks,
					       const struct dff_task_id *id,
					       int64_t epoch,
					       struct dff_task_report *report);

/** Starts a checkpoint. @done_ms receives the work to save, ms. Refused unless the task runs. */
enum dff_worker_outcome dff_worker_tasks_checkpoint (struct dff_worker_tasks *tasks,
						     const struct dff_task_id *id,
						     int64_t epoch,
						     int64_t *done_ms,
						     struct dff_task_report *report);

/** Reports that a checkpoint is durable. It counts if the task still runs. */
void dff_worker_tasks_checkpointed (struct dff_worker_tasks *tasks,
				    const struct dff_task_id *id,
				    struct dff_task_report *report);

/** Appends the state of every task. Elements of @reports: struct dff_task_report. */
void dff_worker_tasks_query (const struct dff_worker_tasks *tasks, GArray *reports);

/**
 * dff_worker_tasks_renew:
 * @renewal: leases end at its from_ms plus its lease_ms, and never earlier than before
 *
 * Renews the lease of every active task and appends the tasks that changed after the renewal's
 * after_sequence, in order of change.
 */
void dff_worker_tasks_renew (struct dff_worker_tasks *tasks,
			     const struct dff_worker_renewal *renewal,
			     GArray *reports);

/** Returns: sequence number of the last change; 0: none yet. */
int64_t dff_worker_tasks_sequence (const struct dff_worker_tasks *tasks);

/** Returns: the worker's incarnation, which every answer carries. */
int64_t dff_worker_tasks_incarnation (const struct dff_worker_tasks *tasks);

/** Reports that a task's result is durable. The task completes if it still runs. */
void dff_worker_tasks_result_written (struct dff_worker_tasks *tasks,
				      const struct dff_task_id *id,
				      const struct dff_name *key,
				      int64_t length,
				      const char *digest);

/** Reports that a resumed task's checkpoint was read, which saves @done_ms of work. */
void dff_worker_tasks_loaded (struct dff_worker_tasks *tasks,
			      const struct dff_task_id *id,
			      int64_t done_ms);

/** Acquires a slot for a short request. Returns: false when none is free or when leaving. */
bool dff_worker_tasks_begin_request (struct dff_worker_tasks *tasks);

/** Releases the slot of a short request. */
void dff_worker_tasks_end_request (struct dff_worker_tasks *tasks);

/** Refuses new starts and requests from now on; what runs goes on. */
void dff_worker_tasks_leave (struct dff_worker_tasks *tasks);

/** Returns: whether dff_worker_tasks_leave() was called. */
bool dff_worker_tasks_is_leaving (const struct dff_worker_tasks *tasks);

/** Injects the fault that every task fails as soon as it runs. */
void dff_worker_tasks_set_fail_everything (struct dff_worker_tasks *tasks, bool fail);

/** Returns: whether the fault of dff_worker_tasks_set_fail_everything() is set. */
bool dff_worker_tasks_fails_everything (const struct dff_worker_tasks *tasks);

/** Returns: number of tasks held or running plus requests in progress. */
int32_t dff_worker_tasks_busy (const struct dff_worker_tasks *tasks);

#endif
