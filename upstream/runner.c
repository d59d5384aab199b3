#include "upstream/runner.h"

const char *
dff_run_end_name (enum dff_run_end end)
{
	static const char *const names[] = {
		[DFF_RUN_COMPLETED] = "completed", [DFF_RUN_FAILED] = "failed",
		[DFF_RUN_STOPPED] = "stopped",     [DFF_RUN_LEASE_EXPIRED] = "lapsed",
		[DFF_RUN_GANG_BROKEN] = "broken",  [DFF_RUN_GANG_TIMEOUT] = "alone",
	};
	return names[end];
}

const char *
dff_runner_outcome_name (enum dff_runner_outcome outcome)
{
	static const char *const names[] = {
		[DFF_RUNNER_DONE] = "done",           [DFF_RUNNER_STALE_EPOCH] = "stale_epoch",
		[DFF_RUNNER_OLD_RUN] = "old_run",     [DFF_RUNNER_DEADLINE_PASSED] = "late",
		[DFF_RUNNER_NO_CAPACITY] = "no_room", [DFF_RUNNER_UNHEALTHY] = "unhealthy",
		[DFF_RUNNER_INVALID] = "invalid",     [DFF_RUNNER_OTHER_INCARNATION] = "other_life",
		[DFF_RUNNER_UNSENT] = "unsent",       [DFF_RUNNER_UNKNOWN] = "unknown",
	};
	return names[outcome];
}
