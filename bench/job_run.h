#ifndef DFF_BENCH_JOB_RUN_H
#define DFF_BENCH_JOB_RUN_H

#include <glib.h>
#include <stdint.h>

#include "core/core.h"

/* One job of a session, as it really goes. */

enum dff_member_run_state {
	DFF_MEMBER_RUN_ENDED,
	/** A start is on its way. */
	DFF_MEMBER_RUN_STARTING,
	DFF_MEMBER_RUN_HELD,
	DFF_MEMBER_RUN_RUNNING,
	/** Its worker died; nobody has noticed yet. */
	DFF_MEMBER_RUN_DEAD,
};

struct dff_member_run {
	enum dff_member_run_state state;
	/** Whether the attempt still holds its accelerators. */
	bool leased;
	bool checkpointed;
	int32_t worker;
	uint64_t accelerators;
};

struct dff_job_run {
	struct dff_job_spec spec;
	int64_t actual_ms;
	int64_t submitted_ms;
	/** First time that all its tasks ran; -1: never. */
	int64_t first_start_ms;
	/** When its outcome was on record; -1: not yet. */
	int64_t ended_ms;
	enum dff_outcome outcome;
	bool refused;
	int32_t attempt;
	/** (nullable): one a member, while an attempt exists. */
	struct dff_member_run *members;
	int32_t n_running;
	int32_t n_checkpointed;
	/** When all members of the attempt ran; -1: not yet. */
	int64_t running_since_ms;
	/** When the first member of the attempt stopped or died; -1: none did. */
	int64_t broken_ms;
	/** Work that need not be done again. */
	int64_t saved_ms;
	/** Work saved when the attempt began. */
	int64_t resumed_from_ms;
};

/** Returns: accelerators of the whole job. */
int64_t dff_job_run_accelerators (const struct dff_job_run *job);

#endif
