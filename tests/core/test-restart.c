#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <glib.h>

#include "core/restart.h"

/* The decision whether a unit that may be late is restarted elsewhere. */

/** Declared duration, ms. */
#define TASK_MS INT64_C (10000)
/** stretch, target_ms, chain_ms, tail_ms, age_ms: the objective is 31 s, or 15.25 s. */
#define NORMAL(age)                                                                                \
	{                                                                                          \
		3.0, 1000, TASK_MS, TASK_MS, age                                                   \
	}
#define URGENT(age)                                                                                \
	{                                                                                          \
		1.5, 250, TASK_MS, TASK_MS, age                                                    \
	}

struct decision_case {
	const char *name;
	struct dff_objective objective;
	struct dff_restart_input input;
	enum dff_restart_reason reason;
};

static const struct decision_case slow_cases[] = {
	{"in time",
	 NORMAL (5000),
	 {.remaining_ms = 20000, .elsewhere_ms = TASK_MS},
	 DFF_RESTART_KEPT_IN_TIME},
	{"slow", NORMAL (8000), {.remaining_ms = 60000, .elsewhere_ms = TASK_MS}, DFF_RESTART_SLOW},
	{"slow, and no capacity",
	 NORMAL (8000),
	 {.remaining_ms = 60000},
	 DFF_RESTART_KEPT_NO_CAPACITY},
	{"just in time elsewhere",
	 NORMAL (19500),
	 {.remaining_ms = 60000, .elsewhere_ms = TASK_MS},
	 DFF_RESTART_SLOW},
	{"just late elsewhere",
	 NORMAL (19501),
	 {.remaining_ms = 60000, .elsewhere_ms = TASK_MS},
	 DFF_RESTART_KEPT_LATE_ELSEWHERE},
	{"missed here, late elsewhere",
	 NORMAL (30000),
	 {.remaining_ms = 600000, .elsewhere_ms = TASK_MS},
	 DFF_RESTART_KEPT_LATE_ELSEWHERE},
	{"slow workers elsewhere",
	 NORMAL (8000),
	 {.remaining_ms = 60000, .elsewhere_ms = 22000},
	 DFF_RESTART_KEPT_LATE_ELSEWHERE},
	{"ends here about as soon",
	 NORMAL (19500),
	 {.remaining_ms = 12000, .elsewhere_ms = TASK_MS},
	 DFF_RESTART_KEPT_NO_GAIN},
	{"long on every worker",
	 NORMAL (8000),
	 {.remaining_ms = 60000, .elsewhere_ms = 40000, .typical_ms = 40000},
	 DFF_RESTART_KEPT_IN_TIME},
	{"duration elsewhere not known",
	 NORMAL (8000),
	 {.remaining_ms = 60000, .elsewhere_ms = TASK_MS, .typical_ms = -1},
	 DFF_RESTART_KEPT_UNKNOWN},
	{"resumes from its checkpoint",
	 NORMAL (25000),
	 {.remaining_ms = 60000, .elsewhere_ms = TASK_MS, .kept_percent = 80, .restore_ms = 300},
	 DFF_RESTART_SLOW},
	{"all of its work would be discarded",
	 NORMAL (25000),
	 {.remaining_ms = 60000, .elsewhere_ms = TASK_MS, .restore_ms = 300},
	 DFF_RESTART_KEPT_LATE_ELSEWHERE},
	{"a step with others after it",
	 {3.0, 1000, 30000, 20000, 40000},
	 {.remaining_ms = 45000, .elsewhere_ms = TASK_MS},
	 DFF_RESTART_SLOW},
	{"the last step of a chain",
	 {3.0, 1000, 30000, TASK_MS, 40000},
	 {.remaining_ms = 45000, .elsewhere_ms = TASK_MS},
	 DFF_RESTART_KEPT_IN_TIME},
	{"bulk",
	 NORMAL (8000),
	 {.remaining_ms = 60000, .elsewhere_ms = TASK_MS, .priority = 2},
	 DFF_RESTART_KEPT_BULK},
	{"without an objective",
	 {0},
	 {.remaining_ms = 60000, .elsewhere_ms = TASK_MS},
	 DFF_RESTART_KEPT_BULK},
	{"restarted before",
	 NORMAL (8000),
	 {.remaining_ms = 60000, .elsewhere_ms = TASK_MS, .restarted = true},
	 DFF_RESTART_KEPT_RESTARTED},
	{"failed before",
	 NORMAL (8000),
	 {.remaining_ms = 60000, .elsewhere_ms = TASK_MS, .failed = true},
	 DFF_RESTART_KEPT_FAILED},
	{"urgent, too late for any restart",
	 URGENT (4000),
	 {.remaining_ms = 60000, .elsewhere_ms = TASK_MS},
	 DFF_RESTART_KEPT_LATE_ELSEWHERE},
};

static const struct decision_case standing_cases[] = {
	{"standing, no time to wait for a report",
	 URGENT (2000),
	 {.standing_ms = 1000, .next_report_ms = 2000, .elsewhere_ms = TASK_MS},
	 DFF_RESTART_STANDING},
	{"standing, time for another report",
	 URGENT (2000),
	 {.standing_ms = 1000, .next_report_ms = 1000, .elsewhere_ms = TASK_MS},
	 DFF_RESTART_KEPT_TOLERATED},
	{"much slack",
	 NORMAL (2000),
	 {.standing_ms = 5000, .next_report_ms = 2000, .elsewhere_ms = TASK_MS},
	 DFF_RESTART_KEPT_TOLERATED},
	{"the slack has run out",
	 NORMAL (18000),
	 {.standing_ms = 8000, .next_report_ms = 2000, .elsewhere_ms = TASK_MS},
	 DFF_RESTART_STANDING},
	{"two percents may not show yet",
	 URGENT (2000),
	 {.standing_ms = 799, .next_report_ms = 2000, .elsewhere_ms = TASK_MS},
	 DFF_RESTART_KEPT_UNPROVEN},
	{"may still start",
	 URGENT (2000),
	 {.standing_ms = 1399,
	  .standing_since_start = true,
	  .next_report_ms = 2000,
	  .elsewhere_ms = TASK_MS},
	 DFF_RESTART_KEPT_UNPROVEN},
	{"standing since the start",
	 URGENT (2000),
	 {.standing_ms = 1400,
	  .standing_since_start = true,
	  .next_report_ms = 2000,
	  .elsewhere_ms = TASK_MS},
	 DFF_RESTART_STANDING},
	{"a percent takes seconds",
	 {1.5, 250, 30 * TASK_MS, 30 * TASK_MS, 140000},
	 {.standing_ms = 6000,
	  .next_report_ms = 2000,
	  .elsewhere_ms = 30 * TASK_MS,
	  .declared_ms = 30 * TASK_MS,
	  .typical_ms = 30 * TASK_MS},
	 DFF_RESTART_KEPT_UNPROVEN},
	{"standing, late elsewhere",
	 URGENT (4000),
	 {.standing_ms = 1000, .next_report_ms = 2000, .elsewhere_ms = TASK_MS},
	 DFF_RESTART_KEPT_LATE_ELSEWHERE},
	{"standing, no capacity",
	 URGENT (2000),
	 {.standing_ms = 1000, .next_report_ms = 2000},
	 DFF_RESTART_KEPT_NO_CAPACITY},
	{"standing bulk",
	 NORMAL (18000),
	 {.standing_ms = 8000, .next_report_ms = 2000, .elsewhere_ms = TASK_MS, .priority = 2},
	 DFF_RESTART_KEPT_BULK},
	{"standing, restarted before",
	 URGENT (2000),
	 {.standing_ms = 1000, .next_report_ms = 2000, .elsewhere_ms = TASK_MS, .restarted = true},
	 DFF_RESTART_KEPT_RESTARTED},
};

static void
check_case (const struct decision_case *at)
{
	struct dff_restart_input input = at->input;
	input.objective = &at->objective;
	input.declared_ms = input.declared_ms > 0 ? input.declared_ms : TASK_MS;
	input.typical_ms = input.typical_ms == 0 ? TASK_MS : MAX (input.typical_ms, 0);
	struct dff_restart_decision got = dff_restart_decide (&input);
	if (got.reason != at->reason) {
		fail_msg ("%s: %s, kept %" G_GINT64_FORMAT " restarted %" G_GINT64_FORMAT
			  " objective %" G_GINT64_FORMAT,
			  at->name, dff_restart_reason_name (got.reason), got.kept_end_ms,
			  got.restarted_end_ms, got.objective_ms);
	}
}

static void
test_decisions (void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS (slow_cases); i++)
		check_case (&slow_cases[i]);
	for (size_t i = 0; i < G_N_ELEMENTS (standing_cases); i++)
		check_case (&standing_cases[i]);
}

/* Guards against a unit of a class without an objective that has no input at all. */
static void
test_no_objective (void **state)
{
	(void)state;
	struct dff_restart_input input = {.remaining_ms = 60000, .elsewhere_ms = TASK_MS};
	assert_int_equal (dff_restart_decide (&input).reason, DFF_RESTART_KEPT_BULK);
}

/* Guards against losing more time than is gained: whatever the input, a unit is restarted for being
 * slow only if it ends later where it is, and in time elsewhere. */
static void
test_restart_gains (void **state)
{
	(void)state;
	g_autoptr (GRand) rand = g_rand_new_with_seed (3);
	int n_restarts = 0;
	for (int i = 0; i < 20000; i++) {
		struct dff_objective objective = URGENT (g_rand_int_range (rand, 0, 30000));
		objective.stretch = g_rand_double_range (rand, 1.0, 4.0);
		struct dff_restart_input input = {
			.objective = &objective,
			.declared_ms = TASK_MS,
			.typical_ms = g_rand_int_range (rand, 1, 40000),
			.remaining_ms = g_rand_int_range (rand, 0, 100000),
			.elsewhere_ms = g_rand_int_range (rand, 0, 40000),
			.kept_percent = g_rand_int_range (rand, 0, 101),
			.restore_ms = 300,
		};
		struct dff_restart_decision got = dff_restart_decide (&input);
		if (!dff_restart_is_restart (got.reason))
			continue;
		n_restarts++;
		assert_true (got.kept_end_ms > got.objective_ms);
		assert_true (got.restarted_end_ms <= got.objective_ms);
		int64_t left_ms = input.elsewhere_ms * (100 - input.kept_percent) / 100;
		assert_true (DFF_RESTART_STOP_MS + DFF_RESTART_START_MS + left_ms <
			     input.remaining_ms);
	}
	assert_in_range (n_restarts, 100, 19900);
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_decisions),
		cmocka_unit_test (test_no_objective),
		cmocka_unit_test (test_restart_gains),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
