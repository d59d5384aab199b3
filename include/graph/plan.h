#ifndef DFF_GRAPH_PLAN_H
#define DFF_GRAPH_PLAN_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/cleanup.h"
#include "common/str.h"
#include "pool/pool.h"

/*
 * The specification of a job: its steps, their order and their resource demands. Immutable once the
 * job is accepted. A step is either a gang, whose tasks run together or not at all, or a number of
 * independent tasks. A step may start when all steps that it depends on are done. A job may recur:
 * each occurrence runs all steps.
 */

/** Maximum numbers of steps in a job and of tasks in a step. With these limits the progress of a
 * job fits into one row of the store. */
#define DFF_PLAN_STEPS_MAX 64
#define DFF_STEP_TASKS_MAX 512
/** Maximum number of tasks in a gang: the largest gang that the decision core places at once. */
#define DFF_STEP_GANG_MAX 256
#define DFF_PLAN_OCCURRENCES_MAX 256
/** Maximum number of tasks over all steps and occurrences. */
#define DFF_PLAN_TASKS_MAX 3500

struct dff_step {
	/** Number of tasks, at least 1. */
	int32_t count;
	struct dff_resources per_task;
	/** Run time of one task as estimated by the caller, ms; 0: not given. */
	int64_t estimate_ms;
	/** The tasks run together or not at all. When one of them ends, all of them end. */
	bool gang;
	/** The tasks should share a rack: on more than one they are several times as slow. */
	bool one_rack;
	/** The tasks save checkpoints and can resume from them. */
	bool checkpoint;
	/** The tasks run until the job is cancelled: each is restarted whatever its outcome. */
	bool endless;
	/** Label that a worker must have; empty: none. */
	struct dff_name label;
	/** Rack that holds the step's data; empty: none. */
	struct dff_name data_rack;
	/** Maximum number of tasks of one occurrence on one worker; 0: no limit. */
	int32_t per_worker;
	/** Indexes of the steps that this step depends on, all lower than its own. Elements:
	 * int32_t. */
	GArray *after;
};

struct dff_plan {
	struct dff_name id;
	struct dff_name team;
	/** Service class, which sets the limits and objectives of the job. */
	struct dff_name class_name;
	/** Service whose workers run the tasks. */
	struct dff_name service;
	/** 0 is the highest priority. Priority 0 claims the team's guarantee and may preempt jobs
	 * of other priorities. */
	int32_t priority;
	/** Number of failed runs of a task, or of a gang, at which the job fails. */
	int32_t max_attempts;
	/** Objective of the job's class; @stretch is 0 without one. See struct dff_objective. */
	double stretch;
	int64_t target_latency_ms;
	/** When the job was first received, ms since 1970; 0: not known. */
	int64_t accepted_ms;
	/** Input of the tasks, as sent by the caller. */
	GString *payload;
	/** Elements: struct dff_step. */
	GArray *steps;
	/** Number of occurrences; 1 for a job that does not recur. */
	int32_t occurrences;
	/** Whether occurrences are due at set times; otherwise all of them are due at once. */
	bool timed;
	/** Time at which the first occurrence is due, ms since 1970, and the interval between two
	 * occurrences, ms. */
	int64_t first_ms;
	int64_t interval_ms;
};

/** Returns: (transfer full): a plan without steps. */
struct dff_plan *dff_plan_new (void);

void dff_plan_free (struct dff_plan *plan);

DFF_DEFINE_CLEANUP (dff_plan, dff_plan_free);

/** Appends a step with one task that requires no resources. Returns: the step, valid until the next
 * step is added. */
struct dff_step *dff_plan_add_step (struct dff_plan *plan);

static inline struct dff_step *
dff_plan_step (const struct dff_plan *plan, int32_t index)
{
	return &g_array_index (plan->steps, struct dff_step, index);
}

/** Returns: (nullable): a message with the reason why the plan is invalid; NULL for a valid plan.
 * Static. */
const char *dff_plan_check (const struct dff_plan *plan);

/** Returns: the sum of the estimates along the longest chain of steps that begins with @step and
 * depends on it, ms; @step is -1 for the longest chain of the whole job. */
int64_t dff_plan_chain_ms (const struct dff_plan *plan, int32_t step);

/** Returns: (transfer full): the plan as JSON, as stored in its row. */
GString *dff_plan_encode (const struct dff_plan *plan);

/** Parses the output of dff_plan_encode(). Returns: (transfer full) (nullable): NULL if @text is
 * not a valid plan. */
struct dff_plan *dff_plan_decode (struct dff_str text);

#endif
