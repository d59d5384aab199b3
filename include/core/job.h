#ifndef DFF_CORE_JOB_H
#define DFF_CORE_JOB_H

#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"
#include "pool/pool.h"

/* What a job asks for and how it can end. Shared by the decision core, the cell and the entry. */

enum dff_adjacency {
	/** Tasks may sit anywhere in one region. */
	DFF_ADJACENCY_NONE,
	/** One rack where the job fits a rack, else the fewest neighbouring racks of one region. */
	DFF_ADJACENCY_NEIGHBOURS,
	/** One rack, or the job is never runnable. */
	DFF_ADJACENCY_RACK,
};

/** The closed set of ends of a job or request. */
enum dff_outcome {
	DFF_OUTCOME_NONE, /**< Not ended. */
	DFF_OUTCOME_COMPLETED,
	DFF_OUTCOME_FAILED,
	DFF_OUTCOME_CANCELLED,
	DFF_OUTCOME_NOT_RUN, /**< Proven: no part of it ran, and none will. */
	DFF_OUTCOME_UNKNOWN, /**< Non-idempotent, and neither end can be proven. Never started
				again. */
};

/** Largest gang, in tasks: what a decision looks at for one unit. */
#define DFF_GANG_MAX 256
/** Largest gang of a job in one row of the table, with all its placements. */
#define DFF_JOB_GANG_MAX 128

struct dff_job_spec {
	struct dff_name id;
	struct dff_name team;
	struct dff_name service;
	/** Region that runs the job; empty in sessions: any one region. */
	struct dff_name region;
	/** Number of tasks, 1 to DFF_GANG_MAX. */
	int32_t gang;
	/** Needs of each task. */
	struct dff_resources per_task;
	enum dff_adjacency adjacency;
	bool urgent;
	/** Rank of the job's class, 0 first. Work of a later priority leaves room free for it. */
	int32_t priority;
	/** Claims the team's guaranteed shapes. */
	bool guaranteed;
	/** Can be checkpointed and resumed. */
	bool checkpoint;
	/** May be started again after an attempt that may have run. */
	bool idempotent;
	/** Run time the caller expects, ms. */
	int64_t declared_ms;
	/** Attempts at the most; 1 for work that is not idempotent. */
	int32_t max_attempts;
	/** What is on record against it for workers that ended under it, in points: see
	 * dff_core_options. */
	int32_t blame;
	/** Label that each worker must have; empty: none. */
	struct dff_name label;
	/** Rack that the job's data is in; empty: none. Elsewhere it is slower. */
	struct dff_name data_rack;
	/** Jobs of one spread group share workers no more than @per_worker says; empty: none. */
	struct dff_name spread_group;
	/** Tasks of the group on one worker at the most; 0: any number. */
	int32_t per_worker;
	/** Worth of finishing early against other jobs, per accelerator second; 0 counts as 1. */
	double weight;
};

/** Returns: the outcome's name on the wire ("completed", "not_run", ...; "none" while it runs). */
const char *dff_outcome_name (enum dff_outcome outcome);

/** Reads an outcome's wire name. Returns: false when it is none. */
bool dff_outcome_parse (struct dff_str text, enum dff_outcome *outcome);

#endif
