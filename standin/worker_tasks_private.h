#ifndef DFF_STANDIN_WORKER_TASKS_PRIVATE_H
#define DFF_STANDIN_WORKER_TASKS_PRIVATE_H

#include "standin/worker_payload.h"
#include "standin/worker_tasks.h"

/* Shared by worker_tasks.c (the state of tasks) and worker_commands.c (the commands). */

/** A task's percent when it may use all of its resources. */
#define DFF_TASK_FULL_SPEED 100

struct dff_task {
	/** Position in the order of changes; data is the task itself. */
	GList link;
	struct dff_task_report report;
	struct dff_resources resources;
	uint64_t accelerators;
	struct dff_task_payload payload;
	int64_t lease_until_ms;
	int32_t percent;
	/** Work done: ms at full speed, times DFF_TASK_FULL_SPEED. */
	int64_t progress;
	/** Time up to which @progress is counted, ms. */
	int64_t progress_until_ms;
	/** Whether the task's last checkpoint is being read. */
	bool loading;
	/** Whether the task's result is being written. */
	bool writing_result;
	int64_t sequence;
	int64_t ended_ms;
};

struct dff_worker_tasks {
	struct dff_worker_tasks_options options;
	/** Maps a struct dff_task_id, which is part of the task, to its struct dff_task. */
	GHashTable *by_id;
	/** Elements: struct dff_task, held or running. */
	GPtrArray *active;
	/** All tasks in order of their last change; the latest is the tail. */
	GQueue changes;
	struct dff_resources used;
	uint64_t accelerators_used;
	int32_t requests;
	int64_t newest_epoch;
	int64_t sequence;
	bool leaving;
	bool fail_everything;
};

struct dff_task *dff_worker_tasks_find (const struct dff_worker_tasks *tasks,
					const struct dff_task_id *id);

struct dff_task *dff_worker_tasks_add (struct dff_worker_tasks *tasks,
				       const struct dff_task_id *id);

/** Adds the resources of @task to those in use (@sign 1) or subtracts them (-1). */
void dff_worker_tasks_account (struct dff_worker_tasks *tasks,
			       const struct dff_task *task,
			       int32_t sign);

/** Records that @task has changed, and calls the changed callback. */
void dff_worker_tasks_changed (struct dff_worker_tasks *tasks, struct dff_task *task);

/** Runs a held task. */
void dff_worker_tasks_run (struct dff_worker_tasks *tasks, struct dff_task *task);

/** Stops an active task, or turns a task that has not run into a tombstone. */
void dff_worker_tasks_end (struct dff_worker_tasks *tasks, struct dff_task *task);

bool dff_task_is_active (const struct dff_task *task);

/** Adds the work done up to @now_ms, or to the end of the lease, to the task's progress. */
void dff_task_update_progress (struct dff_task *task, int64_t now_ms);

#endif
