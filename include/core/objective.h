#ifndef DFF_CORE_OBJECTIVE_H
#define DFF_CORE_OBJECTIVE_H

#include <stdint.h>

/* The service level objective of a job: the time from its submission within which its callers
 * expect it to complete. Pure: no clock and no state of its own. */

struct dff_objective {
	/** Objective as a multiple of the job's longest chain of work; 0: the job has no objective.
	 */
	double stretch;
	/** Constant part of the objective, ms. */
	int64_t target_ms;
	/** Declared duration of the longest chain of the job's steps, ms. */
	int64_t chain_ms;
	/** Declared duration of the longest chain that begins with the step concerned, ms. */
	int64_t tail_ms;
	/** Time since the job was first submitted, ms. */
	int64_t age_ms;
};

/** What a job can still achieve. Values rise with urgency lost: compare them with < and >. */
enum dff_prospect {
	/** It can complete within its objective. */
	DFF_PROSPECT_IN_TIME,
	/** It can complete late: within three times its objective. */
	DFF_PROSPECT_LATE,
	/** It will complete later than that. */
	DFF_PROSPECT_MISSED,
	/** It has no objective. */
	DFF_PROSPECT_NONE,
};

struct dff_objective_assessment {
	enum dff_prospect prospect;
	/** Time that may pass before the step concerned has to start for the prospect to hold, ms;
	 * negative with DFF_PROSPECT_MISSED: how much too late it is; 0 with DFF_PROSPECT_NONE. */
	int64_t slack_ms;
};

/** A job that completes within this many times its objective is late, not lost. */
#define DFF_OBJECTIVE_LATE_FACTOR 3

/** Returns: the objective, ms after the submission. @ratio: expected duration of the work relative
 * to the declared one, at least 0. */
int64_t dff_objective_limit_ms (const struct dff_objective *objective, double ratio);

/** Assesses work that would start now and run without interruption. */
struct dff_objective_assessment dff_objective_assess (const struct dff_objective *objective,
						      double ratio);

/**
 * dff_objective_chance:
 * @ratio: median of the expected duration of the work relative to the declared one
 * @deviation: standard deviation of its logarithm
 * @factor: multiple of the objective, at least 1
 *
 * Returns: the probability that work which starts now, and runs without interruption, completes
 * within @factor times its objective; 0 to 1.
 */
double dff_objective_chance (const struct dff_objective *objective,
			     double ratio,
			     double deviation,
			     double factor);

/** Returns: the prospect's name in logs and metrics ("in_time", ...). Static. */
const char *dff_prospect_name (enum dff_prospect prospect);

#endif
