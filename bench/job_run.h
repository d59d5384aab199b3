#ifndef DFF_BENCH_JOB_RUN_H
#define DFF_BENCH_JOB_RUN_H

#include <glib.h>
#include <stdint.h>

#include "core/core.h"

/* The simulated run of one job of a session. */

enum dff_member_run_state {
	DFF_MEMBER_RUN_ENDED,
	/** A start is pending. */
	DFF_MEMBER_RUN_STARTING,
	DFF_MEMBER_RUN_HELD,
	DFF_MEMBER_RUN_RUNNING,
	/** The worker died; its death has not been reported yet. */
	DFF_MEMBER_RUN_DEAD,
};

struct dff_member_run {
	enum dff_member_run_state state;
	/** Whether the attempt still leases the member's accelerators. */
	bool leased;
	bool checkpointed;
	int32_t worker;
	uint64_t accelerators;
};

struct dff_job_run {
	struct dff_job_spec spec;
	int64_t actual_ms;
	int64_t submitted_ms;
	/** First time at which all tasks ran, ms; -1: never. */
	int64_t first_start_ms;
	/** Time at which the outcome was recorded, ms; -1: not yet. */
	int64_t ended_ms;
	enum dff_outcome outcome;
	bool refused;
	int32_t attempt;
	/** (nullable): one per member, while an attempt exists. */
	struct dff_member_run *members;
	int32_t n_running;
	int32_t n_checkpointed;
	/** Time since which all members of the attempt run, ms; -1: not yet. */
	int64_t running_since_ms;
	/** Time at which the first member of the attempt stopped or died, ms; -1: none. */
	int64_t broken_ms;
	/** Work saved by checkpoints, ms of run time. */
	int64_t saved_ms;
	/** Saved work at the start of the attempt, ms of run time. */
	int64_t resumed_from_ms;
};

/** Returns: accelerators of the whole job. */
int64_t dff_job_run_accelerators (const struct dff_job_run *job);

#endif
