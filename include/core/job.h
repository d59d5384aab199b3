#ifndef DFF_CORE_JOB_H
#define DFF_CORE_JOB_H

#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"
#include "core/objective.h"
#include "pool/pool.h"

/* What a job asks for, and its outcomes. Shared by the decision core, the cell and the entry. */

enum dff_adjacency {
	/** Tasks may be placed anywhere in one region. */
	DFF_ADJACENCY_NONE,
	/** One rack if the job fits a rack, else the fewest neighbouring racks of one region. */
	DFF_ADJACENCY_NEIGHBOURS,
	/** One rack; a job that fits no rack is never runnable. */
	DFF_ADJACENCY_RACK,
};

/** The outcomes of a job or request; the set is closed. */
enum dff_outcome {
	DFF_OUTCOME_NONE, /**< Not ended. */
	DFF_OUTCOME_COMPLETED,
	DFF_OUTCOME_FAILED,
	DFF_OUTCOME_CANCELLED,
	DFF_OUTCOME_NOT_RUN, /**< Proven: no part of it ran, and none will. */
	DFF_OUTCOME_UNKNOWN, /**< Not idempotent, and neither "completed" nor "not run" can be
				proven. Never started again. */
};

/** Largest gang of one job or request, in tasks: the most that one decision places. */
#define DFF_GANG_MAX 256
/** Largest gang of a job that is stored in one row of the table, with all its placements. */
#define DFF_JOB_GANG_MAX 128

struct dff_job_spec {
	struct dff_name id;
	struct dff_name team;
	struct dff_name service;
	/** Region that runs the job; empty in sessions: any region. */
	struct dff_name region;
	/** Number of tasks, 1 to DFF_GANG_MAX. */
	int32_t gang;
	/** Resources that each task needs. */
	struct dff_resources per_task;
	enum dff_adjacency adjacency;
	bool urgent;
	/** Rank of the job's class; 0 is the highest priority. Work of lower priorities leaves
	 * capacity free for it. */
	int32_t priority;
	/** Claims the team's guaranteed shapes. */
	bool guaranteed;
	/** Can be checkpointed and resumed. */
	bool checkpoint;
	/** May be started again after an attempt that may have run. */
	bool idempotent;
	/** Run time the caller expects, ms. */
	int64_t declared_ms;
	/** Maximum number of attempts; 1 for work that is not idempotent. */
	int32_t max_attempts;
	/** Recorded blame points, for workers that crashed under it: see dff_core_options. */
	int32_t blame;
	/** Label that each worker must have; empty: none. */
	struct dff_name label;
	/** Rack that holds the job's data; empty: none. The job runs more slowly elsewhere. */
	struct dff_name data_rack;
	/** Jobs with the same spread group share a worker up to @per_worker; empty: none. */
	struct dff_name spread_group;
	/** Maximum number of tasks of the spread group on one worker; 0: no limit. */
	int32_t per_worker;
	/** Value of finishing early, per accelerator second, relative to other jobs; 0 counts as
	 * 1. */
	double weight;
	/** (nullable): copied by the core; NULL: the job has no objective. */
	const struct dff_objective *objective;
	/** Whether it was started before, so that it is not restarted for being late. Not set for a
	 * job whose only run is the one that is recovered. */
	bool started_before;
};

/** Returns: the outcome's name on the wire ("completed", "not_run", ...; "none" while it runs). */
const char *dff_outcome_name (enum dff_outcome outcome);

/** Parses the wire name of an outcome. Returns: false when the name is unknown. */
bool dff_outcome_parse (struct dff_str text, enum dff_outcome *outcome);

#endif
