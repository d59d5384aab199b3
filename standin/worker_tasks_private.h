#ifndef DFF_STANDIN_WORKER_TASKS_PRIVATE_H
#define DFF_STANDIN_WORKER_TASKS_PRIVATE_H

#include "standin/worker_payload.h"
#include "standin/worker_tasks.h"

/* What worker_tasks.c (the life of tasks) and worker_commands.c (the commands) share. */

#define DFF_TASK_FULL_SPEED 100

struct dff_task {
	/** Place in the order of changes; data is the task itself. */
	GList link;
	struct dff_task_report report;
	struct dff_resources resources;
	uint64_t accelerators;
	struct dff_task_payload payload;
	int64_t lease_until_ms;
	int32_t percent;
	/** Work done, in ms at full speed times 100. */
	int64_t progress;
	/** Up to when @progress counts. */
	int64_t progress_until_ms;
	/** Its last checkpoint is being read. */
	bool loading;
	/** Its result is being written. */
	bool writing_result;
	int64_t sequence;
	int64_t ended_ms;
};

struct dff_worker_tasks {
	struct dff_worker_tasks_options options;
	/** struct dff_task_id * in the task to struct task. */
	GHashTable *by_id;
	/** Elements: struct task, held or running. */
	GPtrArray *active;
	/** All tasks, the one that changed last at the tail. */
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

/** Adds what @task uses (@sign 1) or takes it away (-1). */
void dff_worker_tasks_account (struct dff_worker_tasks *tasks,
			       const struct dff_task *task,
			       int32_t sign);

/** Notes that @task has changed. */
void dff_worker_tasks_changed (struct dff_worker_tasks *tasks, struct dff_task *task);

/** Lets a held task run. */
void dff_worker_tasks_run (struct dff_worker_tasks *tasks, struct dff_task *task);

/** Stops an active task, or turns a new one into a tombstone. */
void dff_worker_tasks_end (struct dff_worker_tasks *tasks, struct dff_task *task);

bool dff_task_is_active (const struct dff_task *task);

/** Counts the work done so far. */
void dff_task_update_progress (struct dff_task *task, int64_t now_ms);

#endif
