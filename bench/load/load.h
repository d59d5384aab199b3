#ifndef DFF_BENCH_LOAD_LOAD_H
#define DFF_BENCH_LOAD_LOAD_H

#include "core/core.h"

/*
 * Simulates loads of short jobs on the decision core, under a virtual clock and without a network:
 * jobs of several classes arrive at random, by seed, and simulated workers run, checkpoint, fail
 * and stop them. A minute of a pool of fifty workers takes a fraction of a second, so that a policy
 * can be tried on many loads and a test can check the effect of a mechanism of the core.
 */

/** Number of accelerator counts in a class; each task draws one of them, all equally likely. */
#define DFF_LOAD_SHAPES 5

/** A class of jobs. Times in ms; a spread is the standard deviation of the logarithm. */
struct dff_load_class {
	const char *name;
	/** 0: urgent. */
	int32_t priority;
	/** Jobs that arrive per second; multiplied by @burst_times from @burst_from_ms to
	 * @burst_to_ms. */
	double per_s;
	double burst_times;
	int64_t burst_from_ms;
	int64_t burst_to_ms;
	/** Run time of a task. */
	double run_ms;
	double run_spread;
	double run_max_ms;
	/** Tasks of a job: members of a gang, or independent tasks. */
	double width;
	double width_spread;
	int32_t width_max;
	bool gang;
	int32_t accelerators[DFF_LOAD_SHAPES];
	/** Cores of a task. */
	int32_t cores;
	/** Shares of the jobs that need one rack, and whose tasks write checkpoints. */
	double one_rack_share;
	double checkpoint_share;
	/** Share of the runs that fail. */
	double fail_share;
	int32_t max_attempts;
	/** Largest deviation of a task's run time from the job's, as a share. */
	double uneven;
	/** Spread of declared run times around the actual ones. */
	double estimate_spread;
	/** Objective: @stretch times the run time, failed runs included, plus @target_ms. */
	double stretch;
	int64_t target_ms;
};

struct dff_load {
	uint32_t seed;
	int32_t n_racks;
	int32_t per_rack;
	int32_t accelerators;
	int32_t cores;
	/** Deviation of worker speeds, as a share: a third of the workers are slower by it, a third
	 * faster. */
	double speed_spread;
	/** Number of teams; the jobs are spread over them. Of the jobs of one class that arrive in
	 * its burst, all are of the first team. 0 counts as 1. */
	int32_t n_teams;
	const struct dff_load_class *classes;
	size_t n_classes;
	/** Time in which jobs arrive, and time after it in which they may still end. */
	int64_t length_ms;
	int64_t drain_ms;
};

/** Largest number of classes. */
#define DFF_LOAD_CLASSES_MAX 4

/** Results of a class's jobs. */
struct dff_load_outcome {
	int32_t n_jobs;
	/** Ended within their objective, later, and not at all; and those of @n_late that ended
	 * after more than DFF_OBJECTIVE_LATE_FACTOR times their objective. */
	int32_t n_in_time;
	int32_t n_late;
	int32_t n_open;
	int32_t n_missed;
	/** Started within 100 ms. */
	int32_t n_at_once;
	/** Runs preempted. */
	int32_t n_stopped;
};

struct dff_load_figures {
	struct dff_load_outcome classes[DFF_LOAD_CLASSES_MAX];
	/** Work of preempted runs without a checkpoint, and of completed runs, core-seconds; an
	 * accelerator counts as its share of a worker's cores. */
	double wasted_core_s;
	double done_core_s;
};

/** Simulates a load. @options: of the core, the seed included. */
void dff_load_play (const struct dff_load *load,
		    const struct dff_core_options *options,
		    struct dff_load_figures *figures);

/** Returns: the share of a class's jobs that ended within their objective, 0 to 1. */
double dff_load_in_time (const struct dff_load_figures *figures, size_t class_index);

#endif
