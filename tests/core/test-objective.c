#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <glib.h>

#include "core/objective.h"

/* Objectives: what a job that starts now can still achieve, and how long it may wait. */

static void
test_assessment (void **state)
{
	(void)state;
	static const struct {
		const char *name;
		struct dff_objective objective;
		double ratio;
		enum dff_prospect prospect;
		int64_t slack_ms;
	} cases[] = {
		/* stretch, target_ms, chain_ms, tail_ms, age_ms */
		{"new", {1.5, 250, 2000, 2000, 0}, 1.0, DFF_PROSPECT_IN_TIME, 1250},
		{"at the limit", {1.5, 250, 2000, 2000, 1250}, 1.0, DFF_PROSPECT_IN_TIME, 0},
		{"just late", {1.5, 250, 2000, 2000, 1251}, 1.0, DFF_PROSPECT_LATE, 6499},
		{"just missed", {1.5, 250, 2000, 2000, 7751}, 1.0, DFF_PROSPECT_MISSED, -1},
		{"last step", {3.0, 1000, 8000, 2000, 20000}, 1.0, DFF_PROSPECT_IN_TIME, 3000},
		{"runs twice as long as declared",
		 {3.0, 1000, 8000, 8000, 0},
		 2.0,
		 DFF_PROSPECT_IN_TIME,
		 33000},
		{"without an estimate", {1.5, 250, 0, 0, 300}, 1.0, DFF_PROSPECT_LATE, 450},
		{"without an objective", {0.0, 250, 2000, 2000, 9000}, 1.0, DFF_PROSPECT_NONE, 0},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct dff_objective_assessment got =
			dff_objective_assess (&cases[i].objective, cases[i].ratio);
		if (got.prospect != cases[i].prospect || got.slack_ms != cases[i].slack_ms)
			fail_msg ("%s: %s, slack %" G_GINT64_FORMAT, cases[i].name,
				  dff_prospect_name (got.prospect), got.slack_ms);
	}
}

/* Guards against a value density that rates work by a chance that it does not have. */
static void
test_chance (void **state)
{
	(void)state;
	static const struct {
		const char *name;
		struct dff_objective objective;
		double deviation;
		double factor;
		double chance;
	} cases[] = {
		/* stretch, target_ms, chain_ms, tail_ms, age_ms */
		{"younger than its target", {1.5, 250, 2000, 2000, 250}, 1.0, 1.0, 1.0},
		{"at the limit if it takes as long as expected",
		 {1.5, 250, 2000, 2000, 1250},
		 1.0,
		 1.0,
		 0.5},
		{"one deviation past it", {1.5, 0, 2000, 2000, 2718}, 1.0, 1.0, 0.1587},
		{"surely past it", {1.5, 0, 2000, 2000, 2718}, 0.0, 1.0, 0.0},
		{"surely before it", {1.5, 0, 2000, 2000, 999}, 0.0, 1.0, 1.0},
		{"late", {1.5, 250, 2000, 2000, 7750}, 1.0, 3.0, 0.5},
		{"no time to spare", {1.0, 250, 2000, 2000, 300}, 1.0, 1.0, 0.0},
		{"no chain", {3.0, 250, 0, 0, 300}, 1.0, 1.0, 0.0},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		double got = dff_objective_chance (&cases[i].objective, 1.0, cases[i].deviation,
						   cases[i].factor);
		if (got < cases[i].chance - 1e-3 || got > cases[i].chance + 1e-3)
			fail_msg ("%s: %f", cases[i].name, got);
	}
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_assessment),
		cmocka_unit_test (test_chance),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
