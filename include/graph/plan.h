#ifndef DFF_GRAPH_PLAN_H
#define DFF_GRAPH_PLAN_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/cleanup.h"
#include "common/str.h"
#include "pool/pool.h"

/*
 * What a job of several steps asks for. Immutable once accepted. A step is a gang, which runs whole
 * or not at all, or a number of independent tasks; it begins when the steps it comes after are
 * done. A job may recur: each occurrence runs all steps.
 */

/** Steps of a job, and tasks of a step, at the most: what keeps a job's progress within one row. */
#define DFF_PLAN_STEPS_MAX 64
#define DFF_STEP_TASKS_MAX 512
/** Tasks of a gang at the most: what the decision core places at once. */
#define DFF_STEP_GANG_MAX 256
#define DFF_PLAN_OCCURRENCES_MAX 256
/** Tasks over all steps and occurrences at the most. */
#define DFF_PLAN_TASKS_MAX 3500

struct dff_step {
	/** Tasks, at least 1. */
	int32_t count;
	struct dff_resources per_task;
	/** Run time of one task that the caller expects, ms; 0: not said. */
	int64_t estimate_ms;
	/** Tasks run together or not at all; the end of one is the end of all. */
	bool gang;
	/** Several times as slow on more than one rack. */
	bool one_rack;
	/** Tasks save what they have done and can go on from there. */
	bool checkpoint;
	/** Tasks run until the job is cancelled, and are started again however they end. */
	bool endless;
	/** Label that a worker must have; empty: none. */
	struct dff_name label;
	/** Rack of the step's data; empty: none. */
	struct dff_name data_rack;
	/** Tasks of one occurrence on one worker at the most; 0: any number. */
	int32_t per_worker;
	/** Earlier steps that must be done first. Elements: int32_t. */
	GArray *after;
};

struct dff_plan {
	struct dff_name id;
	struct dff_name team;
	/** Service class: where limits and objectives come from. */
	struct dff_name class_name;
	/** Service whose workers run the tasks. */
	struct dff_name service;
	/** 0 first. Priority 0 claims the team's guarantee and may preempt the others. */
	int32_t priority;
	/** Failed runs of a task, or of a gang, after which the job has failed. */
	int32_t max_attempts;
	/** What the tasks are given, as the caller sent it. */
	GString *payload;
	/** Elements: struct dff_step. */
	GArray *steps;
	/** Times that the steps run; 1 for a job that does not recur. */
	int32_t occurrences;
	/** Whether they run at set times; else at once. */
	bool timed;
	/** When the first occurrence is due, ms since 1970, and the time between two. */
	int64_t first_ms;
	int64_t interval_ms;
};

/** Returns: (transfer full): a plan without steps. */
struct dff_plan *dff_plan_new (void);

void dff_plan_free (struct dff_plan *plan);

DFF_DEFINE_CLEANUP (dff_plan, dff_plan_free);

/** Appends a step with one task that needs nothing. Returns: it, valid until the next is added. */
struct dff_step *dff_plan_add_step (struct dff_plan *plan);

static inline struct dff_step *
dff_plan_step (const struct dff_plan *plan, int32_t index)
{
	return &g_array_index (plan->steps, struct dff_step, index);
}

/** Returns: (nullable): why the plan cannot be accepted, in words. Static. */
const char *dff_plan_check (const struct dff_plan *plan);

/** Returns: (transfer full): the plan as JSON, the value of its row. */
GString *dff_plan_encode (const struct dff_plan *plan);

/** Reads what dff_plan_encode() wrote. Returns: (transfer full) (nullable): NULL when it is none.
 */
struct dff_plan *dff_plan_decode (struct dff_str text);

#endif
