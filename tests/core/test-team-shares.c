#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <float.h>
#include <glib.h>
#include <math.h>

#include "core/shares.h"

/* Shares of teams: the sliding window, and how far teams are above their shares. */

#define CLAIMANTS_MAX 3
#define EXACT 1e-6

/* Guards against use that is counted for ever, or forgotten at once. */
static void
test_window (void **state)
{
	(void)state;
	static const struct {
		int64_t from_ms;
		int64_t to_ms;
		int64_t now_ms;
		double unit_ms;
	} cases[] = {
		{0, 0, 0, 0.0},
		{1000, 3500, 3500, 2500.0},
		{3500, 1000, 3500, 0.0},
		/* The current slice has just begun. */
		{0, 60000, 60000, 19000.0},
		{0, 60999, 60999, 19999.0},
		{1000000, 1000500, 1000500, 500.0},
		{1000, 2000, 20000, 1000.0},
		{1000, 2000, 30000, 0.0},
		{1000, 2000, INT64_MAX, 0.0},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct dff_shares_window window = {0};
		dff_shares_window_add (&window, cases[i].from_ms, cases[i].to_ms, 1.0);
		double got = dff_shares_window_sum (&window, cases[i].now_ms);
		assert_float_equal (got, cases[i].unit_ms, EXACT);
	}
}

/* The window slides: after a long use at one rate it holds that rate. */
static void
test_window_slides (void **state)
{
	(void)state;
	struct dff_shares_window window = {0};
	for (int64_t now_ms = 0; now_ms < 100000; now_ms += 130)
		dff_shares_window_add (&window, now_ms, now_ms + 130, 3.0);
	double got = dff_shares_window_sum (&window, 100000);
	assert_true (got > 3.0 * 0.94 * DFF_SHARES_WINDOW_MS && got <= 3.0 * DFF_SHARES_WINDOW_MS);
}

static void
check_excess (const char *name,
	      enum dff_shares_way way,
	      const struct dff_shares_claimant *cases,
	      const double *expected)
{
	g_autoptr (GArray) claimants =
		g_array_new (FALSE, FALSE, sizeof (struct dff_shares_claimant));
	g_array_append_vals (claimants, cases, CLAIMANTS_MAX);
	dff_shares_set_excess (way, claimants);
	for (guint i = 0; i < CLAIMANTS_MAX; i++) {
		double got = g_array_index (claimants, struct dff_shares_claimant, i).excess;
		if (!(fabs (got - expected[i]) <= EXACT))
			fail_msg ("%s: way %d: %f", name, (int)way, got);
	}
}

/* Guards against weights that are not sensible making shares senseless, and against teams that wait
 * for nothing. */
static void
test_excess (void **state)
{
	(void)state;
	static const struct {
		const char *name;
		/* accelerator_ms, dominant, weight, waits */
		struct dff_shares_claimant claimants[CLAIMANTS_MAX];
		double deficit[CLAIMANTS_MAX];
		double dominant[CLAIMANTS_MAX];
	} cases[] = {
		{"nothing used", {{0, 0, 1, true}, {0, 0, 1, true}}, {0}, {0}},
		{"one has all", {{100, 0.5, 1, true}, {0, 0, 1, true}}, {1.0, 0.0}, {1.0, 0.0}},
		{"nobody else waits", {{100, 0.5, 1, true}, {0, 0, 1, false}}, {0}, {0}},
		{"who waits has had more", {{100, 0.5, 1, true}, {50, 0.2, 1, false}}, {0}, {0}},
		{"weights", {{75, 0.3, 3, true}, {25, 0.1, 1, true}, {0, 0, 0, false}}, {0}, {0}},
		{"another resource", {{50, 0.8, 1, true}, {50, 0.2, 1, true}}, {0}, {0.6, 0.0}},
		{"weight 0 counts as 1",
		 {{100, 0.5, 0, true}, {0, 0, 1, true}},
		 {1.0, 0.0},
		 {1.0, 0.0}},
		{"negative weight counts as 1",
		 {{100, 0.5, -7, true}, {0, 0, 1, true}},
		 {1.0, 0.0},
		 {1.0, 0.0}},
		{"no number counts as 1",
		 {{100, 0.5, NAN, true}, {0, 0, 1, true}},
		 {1.0, 0.0},
		 {1.0, 0.0}},
		{"huge weights",
		 {{100, 0.5, DBL_MAX, true}, {0, 0, INFINITY, true}},
		 {1.0, 0.0},
		 {1.0, 0.0}},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		check_excess (cases[i].name, DFF_SHARES_DEFICIT, cases[i].claimants,
			      cases[i].deficit);
		check_excess (cases[i].name, DFF_SHARES_DOMINANT, cases[i].claimants,
			      cases[i].dominant);
		static const double none[CLAIMANTS_MAX] = {0};
		check_excess (cases[i].name, DFF_SHARES_STANDING, cases[i].claimants, none);
	}
}

static void
test_levels (void **state)
{
	(void)state;
	static const struct {
		double excess;
		int32_t deficit;
		int32_t dominant;
	} cases[] = {
		{0.0, 0, 0},
		{0.1, 0, 0},
		{0.2, 1, 1},
		{0.3, 1, 2},
		{1.0, 1, 4},
		{1e300, 1, DFF_SHARES_LEVEL_MAX},
		{INFINITY, 1, DFF_SHARES_LEVEL_MAX},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		assert_int_equal (dff_shares_level (DFF_SHARES_STANDING, cases[i].excess), 0);
		assert_int_equal (dff_shares_level (DFF_SHARES_DEFICIT, cases[i].excess),
				  cases[i].deficit);
		assert_int_equal (dff_shares_level (DFF_SHARES_DOMINANT, cases[i].excess),
				  cases[i].dominant);
	}
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_window),
		cmocka_unit_test (test_window_slides),
		cmocka_unit_test (test_excess),
		cmocka_unit_test (test_levels),
	};
	return cmocka_run_group_tests_name ("core-shares", tests, NULL, NULL);
}
