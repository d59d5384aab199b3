#ifndef DFF_GRAPH_PROGRESS_H
#define DFF_GRAPH_PROGRESS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "graph/plan.h"

/*
 * How far a job is, and what may run next. Pure: no I/O and no clock of its own. The unit that is
 * placed is a whole gang or one task; a unit is named by its job, occurrence, step and, for a
 * single task, its index.
 */

enum dff_job_state {
	DFF_JOB_STATE_QUEUED,
	/** Some task has begun. */
	DFF_JOB_STATE_RUNNING,
	DFF_JOB_STATE_COMPLETED,
	DFF_JOB_STATE_FAILED,
	DFF_JOB_STATE_CANCELLED,
};

/** Returns: the state's name ("queued", ...). Static. */
const char *dff_job_state_name (enum dff_job_state state);

/** Reads a state's name. Returns: false when it is none. */
bool dff_job_state_parse (struct dff_str text, enum dff_job_state *state);

static inline bool
dff_job_state_is_final (enum dff_job_state state)
{
	return state >= DFF_JOB_STATE_COMPLETED;
}

enum dff_progress_task_state {
	/** No run is on record as open. */
	DFF_PROGRESS_TASK_PENDING,
	/** A run was recorded with its worker, and no end of it. */
	DFF_PROGRESS_TASK_ASSIGNED,
	DFF_PROGRESS_TASK_DONE,
	/** The recorded run has failed, and that is counted. Members of its gang may not be over
	 * yet. */
	DFF_PROGRESS_TASK_FAILED,
	/** The same, lost with its worker: what that says of the task is in its blame. */
	DFF_PROGRESS_TASK_LOST,
};

/** Whether a run is on record that may not be over for all members of its unit. */
static inline bool
dff_progress_task_state_is_open (enum dff_progress_task_state state)
{
	return state == DFF_PROGRESS_TASK_ASSIGNED || state == DFF_PROGRESS_TASK_FAILED ||
	       state == DFF_PROGRESS_TASK_LOST;
}

struct dff_task {
	enum dff_progress_task_state state;
	/** Number of the last run that was recorded; 0: none yet. */
	int32_t run;
	/** Runs that ended as failed: of a gang, those in which any member did. */
	int32_t failures;
	/** What counts against it for workers that ended while they ran it, in points. */
	int32_t blame;
	/** Of @blame, for those that ended as they started it. */
	int32_t startup_blame;
	/** Worker of the open run. */
	struct dff_name worker;
	/** (nullable): what the last run saved last. */
	char *checkpoint;
};

struct dff_step_progress {
	/** Elements: struct dff_task. */
	GArray *tasks;
	int32_t n_done;
	/** Whether its units were handed out; not on record. */
	bool units_taken;
};

struct dff_progress {
	enum dff_job_state state;
	/** Of each occurrence and step in turn. Elements: struct dff_step_progress. */
	GArray *steps;
	int32_t n_steps;
	/** Steps that are done, over all occurrences. */
	int32_t n_steps_done;
};

/** A unit of placement. */
struct dff_unit {
	int32_t occurrence;
	int32_t step;
	/** Task; -1: the whole gang. */
	int32_t index;
};

/** Returns: (transfer full): the progress of a job of which nothing has begun. */
struct dff_progress *dff_progress_new (const struct dff_plan *plan);

void dff_progress_free (struct dff_progress *progress);

DFF_DEFINE_CLEANUP (dff_progress, dff_progress_free);

struct dff_step_progress *
dff_progress_step (const struct dff_progress *progress, int32_t occurrence, int32_t step);

struct dff_task *dff_progress_task (const struct dff_progress *progress,
				    int32_t occurrence,
				    int32_t step,
				    int32_t index);

/** Returns: when an occurrence is due, ms since 1970; 0: at once. */
int64_t dff_plan_due_ms (const struct dff_plan *plan, int32_t occurrence);

/**
 * dff_progress_take_ready:
 * @now_wall_ms: ms since 1970
 * @units: elements: struct dff_unit; those that may be placed now and were not offered before are
 *   appended
 *
 * Returns: when to ask again though nothing ended, ms since 1970; INT64_MAX: not needed.
 */
int64_t dff_progress_take_ready (struct dff_progress *progress,
				 const struct dff_plan *plan,
				 int64_t now_wall_ms,
				 GArray *units);

/** Marks a unit's tasks as done and, with the last one, the job as completed. */
void dff_progress_mark_done (struct dff_progress *progress,
			     const struct dff_plan *plan,
			     const struct dff_unit *unit);

/**
 * dff_progress_mark_failed:
 * @index: the task, of a unit whose run is on record
 *
 * Counts the recorded run as failed: once for a gang, however many of its members fail.
 */
void dff_progress_mark_failed (struct dff_progress *progress,
			       const struct dff_plan *plan,
			       const struct dff_unit *unit,
			       int32_t index);

/** Returns: whether the failure of a unit's recorded run is counted already. */
bool dff_progress_failure_counted (const struct dff_progress *progress,
				   const struct dff_plan *plan,
				   const struct dff_unit *unit);

/**
 * dff_progress_mark_lost:
 * @index: the task, of a unit whose run is on record
 *
 * Notes that the recorded run was lost with its worker.
 *
 * Returns: whether that is new. If not, its blame is on record already.
 */
bool
dff_progress_mark_lost (struct dff_progress *progress, const struct dff_unit *unit, int32_t index);

/** Returns: the largest blame of a unit's tasks. */
int32_t dff_progress_max_blame (const struct dff_progress *progress,
				const struct dff_plan *plan,
				const struct dff_unit *unit);

/** Keeps what a task, or any member of its gang, saved. */
void dff_progress_save_checkpoint (struct dff_progress *progress,
				   const struct dff_plan *plan,
				   const struct dff_unit *unit,
				   struct dff_str checkpoint);

/** Tasks of a unit: from the first to one beyond the last. */
struct dff_unit_tasks {
	int32_t first;
	int32_t end;
};

struct dff_unit_tasks dff_unit_tasks (const struct dff_plan *plan, const struct dff_unit *unit);

/** Returns: the unit's name, "JOB.OCCURRENCE.STEP" or "JOB.OCCURRENCE.STEP.INDEX". */
struct dff_name dff_unit_name (const struct dff_plan *plan, const struct dff_unit *unit);

/** A task's name taken apart. */
struct dff_task_ref {
	struct dff_name job;
	int32_t occurrence;
	int32_t step;
	int32_t index;
};

/** Returns: "JOB.OCCURRENCE.STEP.INDEX". */
struct dff_name dff_task_ref_name (const struct dff_task_ref *ref);

/** Reads a task's name. Returns: false when it is none. */
bool dff_task_ref_parse (struct dff_str text, struct dff_task_ref *ref);

/** Returns: (transfer full): the progress as JSON, the value of its row. */
GString *dff_progress_encode (const struct dff_progress *progress);

/**
 * dff_progress_decode:
 *
 * Reads what dff_progress_encode() wrote for the same plan.
 *
 * Returns: (transfer full) (nullable): NULL when it is not that.
 */
struct dff_progress *dff_progress_decode (const struct dff_plan *plan, struct dff_str text);

/** Reads the state alone. Returns: false when @text is no progress. */
bool dff_progress_decode_state (struct dff_str text, enum dff_job_state *state);

#endif
