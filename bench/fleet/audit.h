#ifndef DFF_BENCH_FLEET_AUDIT_H
#define DFF_BENCH_FLEET_AUDIT_H

#include "bench/fleet/load.h"

/* Compares the results that callers received with the runs that workers logged. */

struct fleet_audit {
	/** Requests and jobs that must run at most once and ran more than once. */
	int64_t duplicates;
	/** Requests and jobs that ran although their outcome is not_run. */
	int64_t false_not_run;
	/** Answered requests and completed jobs without a run. */
	int64_t answered_without_run;
	/** Second starts of a member within one attempt of an idempotent job. */
	int64_t repeated_attempts;
	/** Runs of requests and of members of jobs. */
	int64_t runs;
};

/** Compares @load with the run log and prints each fault. Returns: false: the log is unreadable. */
bool
fleet_audit_run (const struct fleet_load *load, const char *run_log, struct fleet_audit *audit);

#endif
