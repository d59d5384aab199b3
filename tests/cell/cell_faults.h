#ifndef DFF_TESTS_CELL_FAULTS_H
#define DFF_TESTS_CELL_FAULTS_H

#include "tests/cell/cell_promises.h"

/* Shared by the tests that inject one fault at a time. */

/** Faults are injected after each of this many steps from submission. */
#define FAULT_STEPS 60
#define JOB_LIMIT_MS 60000

struct shape {
	const char *name;
	int gang;
	bool idempotent;
};

static const struct shape shapes[] = {
	{"idempotent task", 1, true},
	{"task that is not idempotent", 1, false},
	{"idempotent gang", 3, true},
	{"gang that is not idempotent", 3, false},
};

/** Outcomes that are allowed after one fault of a process. */
static inline bool
is_allowed_outcome (const struct shape *shape, enum dff_outcome outcome)
{
	if (outcome == DFF_OUTCOME_COMPLETED)
		return true;
	return !shape->idempotent &&
	       (outcome == DFF_OUTCOME_UNKNOWN || outcome == DFF_OUTCOME_FAILED);
}

static inline void
begin (struct harness *harness, uint64_t seed)
{
	harness_init (harness, seed);
	for (int i = 0; i < HARNESS_PROCESSES; i++)
		harness->processes[i].link->delay_max_ms = 60;
	harness_run_holder (harness, 10000);
	assert_int_equal (harness_holder (harness), 0);
}

static inline void
check_outcome (
	struct harness *harness, int job, const struct shape *shape, const char *fault, int step)
{
	enum dff_outcome outcome = harness_run_job (harness, job, JOB_LIMIT_MS);
	if (!is_allowed_outcome (shape, outcome))
		fail_msg ("%s, %s at step %d: %s", shape->name, fault, step,
			  dff_outcome_name (outcome));
	harness_clear (harness);
}

#endif
