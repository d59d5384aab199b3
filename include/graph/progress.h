#ifndef DFF_GRAPH_PROGRESS_H
#define DFF_GRAPH_PROGRESS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "graph/plan.h"

/*
 * The progress of a job, and the units that may run next. Pure: no I/O and no clock of its own. The
 * unit of placement is a whole gang or one task. The name of a unit consists of its job,
 * occurrence, step and, for a single task, its index.
 */

enum dff_job_state {
	DFF_JOB_STATE_QUEUED,
	/** At least one task has started. */
	DFF_JOB_STATE_RUNNING,
	DFF_JOB_STATE_COMPLETED,
	DFF_JOB_STATE_FAILED,
	DFF_JOB_STATE_CANCELLED,
};

/** Returns: the state's name ("queued", ...). Static. */
const char *dff_job_state_name (enum dff_job_state state);

/** Parses a state's name. Returns: false if @text is not the name of a state. */
bool dff_job_state_parse (struct dff_str text, enum dff_job_state *state);

static inline bool
dff_job_state_is_final (enum dff_job_state state)
{
	return state >= DFF_JOB_STATE_COMPLETED;
}

enum dff_progress_task_state {
	/** No run in progress is recorded. */
	DFF_PROGRESS_TASK_PENDING,
	/** A run is recorded with its worker, and no completion of it. */
	DFF_PROGRESS_TASK_ASSIGNED,
	DFF_PROGRESS_TASK_DONE,
	/** The recorded run has failed, and the failure is counted. Other members of its gang may
	 * still be running. */
	DFF_PROGRESS_TASK_FAILED,
	/** The recorded run was lost with its worker. The blame points that the task got for the
	 * loss are in its blame. Other members of its gang may still be running. */
	DFF_PROGRESS_TASK_LOST,
};

/** Returns: whether a run is recorded that may still be in progress for members of its unit. */
static inline bool
dff_progress_task_state_is_open (enum dff_progress_task_state state)
{
	return state == DFF_PROGRESS_TASK_ASSIGNED || state == DFF_PROGRESS_TASK_FAILED ||
	       state == DFF_PROGRESS_TASK_LOST;
}

struct dff_task {
	enum dff_progress_task_state state;
	/** Number of the last recorded run; 0: none yet. */
	int32_t run;
	/** Number of failed runs. The run of a gang has failed if any member has failed. */
	int32_t failures;
	/** Blame points for workers that were lost while they ran this task. */
	int32_t blame;
	/** The part of @blame for workers that were lost while they started this task. */
	int32_t startup_blame;
	/** Worker of the run in progress. */
	struct dff_name worker;
	/** (nullable): last checkpoint that was saved by the last run. */
	char *checkpoint;
};

struct dff_step_progress {
	/** Elements: struct dff_task. */
	GArray *tasks;
	int32_t n_done;
	/** Whether dff_progress_take_ready() has returned the step's units; not stored. */
	bool units_taken;
};

struct dff_progress {
	enum dff_job_state state;
	/** Progress of each step, ordered by occurrence, then step. Elements: struct
	 * dff_step_progress. */
	GArray *steps;
	/** Number of steps in one occurrence. */
	int32_t n_steps;
	/** Number of steps that are done, over all occurrences. */
	int32_t n_steps_done;
};

/** A unit of placement. */
struct dff_unit {
	int32_t occurrence;
	int32_t step;
	/** Index of the task; -1: the whole gang. */
	int32_t index;
};

/** Returns: (transfer full): the progress of a job that has not started. */
struct dff_progress *dff_progress_new (const struct dff_plan *plan);

void dff_progress_free (struct dff_progress *progress);

DFF_DEFINE_CLEANUP (dff_progress, dff_progress_free);

struct dff_step_progress *
dff_progress_step (const struct dff_progress *progress, int32_t occurrence, int32_t step);

struct dff_task *dff_progress_task (const struct dff_progress *progress,
				    int32_t occurrence,
				    int32_t step,
				    int32_t index);

/** Returns: the time at which an occurrence is due, ms since 1970; 0: at once. */
int64_t dff_plan_due_ms (const struct dff_plan *plan, int32_t occurrence);

/**
 * dff_progress_take_ready:
 * @now_wall_ms: ms since 1970
 * @units: elements: struct dff_unit; the units that may be placed now and were not returned by an
 *   earlier call are appended
 *
 * Returns: the time at which the next occurrence is due, ms since 1970: the function has to be
 * called then even if no unit has ended; INT64_MAX: no further occurrence becomes due.
 */
int64_t dff_progress_take_ready (struct dff_progress *progress,
				 const struct dff_plan *plan,
				 int64_t now_wall_ms,
				 GArray *units);

/** Marks a unit's tasks as done and, when all steps are done, the job as completed. */
void dff_progress_mark_done (struct dff_progress *progress,
			     const struct dff_plan *plan,
			     const struct dff_unit *unit);

/**
 * dff_progress_mark_failed:
 * @index: the task, which belongs to a unit with a recorded run
 *
 * Counts the recorded run as failed. The run of a gang is counted once, however many of its members
 * fail.
 */
void dff_progress_mark_failed (struct dff_progress *progress,
			       const struct dff_plan *plan,
			       const struct dff_unit *unit,
			       int32_t index);

/** Returns: whether the failure of a unit's recorded run has been counted. */
bool dff_progress_failure_counted (const struct dff_progress *progress,
				   const struct dff_plan *plan,
				   const struct dff_unit *unit);

/**
 * dff_progress_mark_lost:
 * @index: the task, which belongs to a unit with a recorded run
 *
 * Records that the task's run was lost with its worker.
 *
 * Returns: whether the loss was not recorded before. If it was, its blame is recorded as well.
 */
bool
dff_progress_mark_lost (struct dff_progress *progress, const struct dff_unit *unit, int32_t index);

/** Returns: the highest blame of a unit's tasks. */
int32_t dff_progress_max_blame (const struct dff_progress *progress,
				const struct dff_plan *plan,
				const struct dff_unit *unit);

/** Stores a checkpoint for all tasks of a unit. All members of a gang share the checkpoint that any
 * of them has saved. Returns: whether it differs from the one stored. */
bool dff_progress_save_checkpoint (struct dff_progress *progress,
				   const struct dff_plan *plan,
				   const struct dff_unit *unit,
				   struct dff_str checkpoint);

/** Indexes of a unit's tasks: @first is the first one, @end is one beyond the last. */
struct dff_unit_tasks {
	int32_t first;
	int32_t end;
};

struct dff_unit_tasks dff_unit_tasks (const struct dff_plan *plan, const struct dff_unit *unit);

/** Returns: the unit's name, "JOB.OCCURRENCE.STEP" or "JOB.OCCURRENCE.STEP.INDEX". */
struct dff_name dff_unit_name (const struct dff_plan *plan, const struct dff_unit *unit);

/** The parts of a task's name. */
struct dff_task_ref {
	struct dff_name job;
	int32_t occurrence;
	int32_t step;
	int32_t index;
};

/** Returns: "JOB.OCCURRENCE.STEP.INDEX". */
struct dff_name dff_task_ref_name (const struct dff_task_ref *ref);

/** Parses a task's name. Returns: false if @text is not the name of a task. */
bool dff_task_ref_parse (struct dff_str text, struct dff_task_ref *ref);

/** Returns: (transfer full): the progress as JSON, as stored in its row. */
GString *dff_progress_encode (const struct dff_progress *progress);

/**
 * dff_progress_decode:
 *
 * Parses the output of dff_progress_encode() for the same plan.
 *
 * Returns: (transfer full) (nullable): NULL if @text is not a valid progress of @plan.
 */
struct dff_progress *dff_progress_decode (const struct dff_plan *plan, struct dff_str text);

/** Parses only the state of a job. Returns: false if @text is not a valid progress. */
bool dff_progress_decode_state (struct dff_str text, enum dff_job_state *state);

#endif
