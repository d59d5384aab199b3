#ifndef DFF_BENCH_LOAD_LOAD_H
#define DFF_BENCH_LOAD_LOAD_H

#include "core/core.h"

/*
 * Loads of short jobs on the decision core, under a virtual clock and without a network: jobs of
 * some classes arrive at random, by seed, and workers in memory run them, save, fail and stop them.
 * A minute of a pool of fifty workers is played in a fraction of a second, so that a policy can be
 * tried on many, and a test can tell whether a mechanism of the core does for a load what it is
 * there for.
 */

/** Accelerators that a class's tasks ask for: one of so many, each as likely. */
#define DFF_LOAD_SHAPES 5

/** A class of jobs. Times in ms; a spread is the deviation of a logarithm. */
struct dff_load_class {
	const char *name;
	/** 0: urgent. */
	int32_t priority;
	/** Jobs that arrive in a second; so many times as many from @burst_from_ms to
	 * @burst_to_ms. */
	double per_s;
	double burst_times;
	int64_t burst_from_ms;
	int64_t burst_to_ms;
	/** Run time of a task. */
	double run_ms;
	double run_spread;
	double run_max_ms;
	/** Tasks of a job: members of a gang, or single ones. */
	double width;
	double width_spread;
	int32_t width_max;
	bool gang;
	int32_t accelerators[DFF_LOAD_SHAPES];
	/** Cores of a task. */
	int32_t cores;
	/** Shares of the jobs that are bound to a rack, and whose tasks save what they have done.
	 */
	double one_rack_share;
	double checkpoint_share;
	/** Share of the runs that fail. */
	double fail_share;
	int32_t max_attempts;
	/** By how much of the job's run time that of each of its tasks is more or less, at most. */
	double uneven;
	/** How far declared run times are off. */
	double estimate_spread;
	/** Objective: so many times its run time, failed runs included, and @target_ms more. */
	double stretch;
	int64_t target_ms;
};

struct dff_load {
	uint32_t seed;
	int32_t n_racks;
	int32_t per_rack;
	int32_t accelerators;
	int32_t cores;
	/** By how much workers are slower or faster than usual, at most; a third of them each, and
	 * a third as usual. */
	double speed_spread;
	const struct dff_load_class *classes;
	size_t n_classes;
	/** Time in which jobs arrive, and beyond it in which they may end. */
	int64_t length_ms;
	int64_t drain_ms;
};

/** Classes at the most. */
#define DFF_LOAD_CLASSES_MAX 4

/** What became of a class's jobs. */
struct dff_load_outcome {
	int32_t n_jobs;
	/** Ended within their objective, later, and not at all. */
	int32_t n_in_time;
	int32_t n_late;
	int32_t n_open;
	/** Begun within a tenth of a second. */
	int32_t n_at_once;
	/** Runs stopped for others' room. */
	int32_t n_stopped;
};

struct dff_load_figures {
	struct dff_load_outcome classes[DFF_LOAD_CLASSES_MAX];
	/** Work of runs that were stopped and not saved, and of those that completed, core-seconds;
	 * an accelerator counts as its share of a worker's cores. */
	double wasted_core_s;
	double done_core_s;
};

/** Plays a load. @options: of the core, the seed included. */
void dff_load_play (const struct dff_load *load,
		    const struct dff_core_options *options,
		    struct dff_load_figures *figures);

/** Returns: the share of a class's jobs that ended within their objective, 0 to 1. */
double dff_load_in_time (const struct dff_load_figures *figures, size_t class_index);

#endif
