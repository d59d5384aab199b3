#ifndef DFF_BENCH_FLEET_AUDIT_H
#define DFF_BENCH_FLEET_AUDIT_H

#include "bench/fleet/load.h"

/* What callers were told against what workers ran. */

struct fleet_audit {
	/** Work that must run at most once and ran more often. */
	int64_t duplicates;
	/** Work that ran although its caller, or its job, says not_run. */
	int64_t false_not_run;
	/** Callers with an answer, or jobs that completed, without a run. */
	int64_t answered_without_run;
	/** Attempts of idempotent jobs that a worker began twice. */
	int64_t repeated_attempts;
	/** Things that began to run. */
	int64_t runs;
};

/** Reads the run log and compares; prints each fault. Returns: false when it cannot be read. */
bool
fleet_audit_run (const struct fleet_load *load, const char *run_log, struct fleet_audit *audit);

#endif
