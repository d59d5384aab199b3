#include "core_site.h"

/* Headroom that work leaves free for higher priorities: how much, for how long, and when it is used
 * nevertheless. The pool has four workers of eight accelerators. */

static struct dff_core_options
headroom_options (void)
{
	struct dff_core_options options = retry_options ();
	options.low_load_wait_ms = 0;
	options.headroom_decay_ms = 10000;
	return options;
}

/* Submits @count single tasks of a priority. Returns: how many of them are started. */
static int32_t
begin_tasks (struct site *site, int32_t count, int32_t priority, int32_t accelerators)
{
	for (int32_t i = 0; i < count; i++) {
		struct dff_name id = dff_name_printf ("p%d-%d", priority, i);
		struct dff_job_spec spec = fixture_spec (id.data, 1, accelerators);
		spec.region = dff_name_from ("region0");
		spec.priority = priority;
		site_submit (site, &spec);
	}
	g_autoptr (GString) starts = site_advance (site, 0);
	g_auto (GStrv) placed = g_strsplit (starts->str, " ", -1);
	return starts->len > 0 ? (int32_t)g_strv_length (placed) : 0;
}

/* Guards against urgent work finding the pool full each time and stopping what has just begun:
 * between two bursts of urgent work, bulk work must not take all that is idle. */
static void
test_headroom_follows_demand (void **state)
{
	(void)state;
	static const struct {
		/** Number of whole workers that urgent work has used, and time since then. */
		int32_t needed;
		int32_t ago_ms;
		/** Number of tasks started, of four whole-worker tasks submitted by each
		 * priority. */
		int32_t begun[DFF_CORE_TEST_PRIORITIES];
	} cases[] = {
		{0, 0, {4, 4, 4}},
		/* Seven tenths of one worker is less than a whole worker: nothing is left free. */
		{1, 0, {4, 4, 4}},
		{2, 0, {4, 3, 3}},
		{4, 0, {4, 2, 2}},
		{4, 5000, {4, 3, 3}},
		{4, 20000, {4, 4, 4}},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		for (int32_t priority = 0; priority < DFF_CORE_TEST_PRIORITIES; priority++) {
			struct dff_core_options options = headroom_options ();
			struct site site;
			site_open (&site, &options);
			if (cases[i].needed > 0)
				site_run_urgent_once (&site, cases[i].needed);
			site.now_ms += cases[i].ago_ms;
			assert_int_equal (begin_tasks (&site, 4, priority, 8),
					  cases[i].begun[priority]);
			site_close (&site);
		}
	}
}

/* The demand of gangs is left free by bulk work, and not by the gangs themselves. */
static void
test_headroom_per_priority (void **state)
{
	(void)state;
	struct dff_core_options options = headroom_options ();
	struct site site;
	site_open (&site, &options);
	assert_int_equal (begin_tasks (&site, 2, 1, 8), 2);
	/* Of the two workers left, 0.7 of the demand of the running gangs is one. */
	assert_int_equal (begin_tasks (&site, 2, 2, 8), 1);
	site_close (&site);
}

/* Guards against bulk work waiting while the pool is idle: urgent work has needed the whole pool,
 * and headroom decays slowly after it. */
static void
test_headroom_under_low_load (void **state)
{
	(void)state;
	static const struct {
		int64_t low_load_wait_ms;
		int32_t begun;
	} cases[] = {{0, 0}, {1000, 1}};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct dff_core_options options = headroom_options ();
		options.headroom_decay_ms = 1000000;
		options.low_load_wait_ms = cases[i].low_load_wait_ms;
		struct site site;
		site_open (&site, &options);
		site_run_urgent_once (&site, 4);
		/* Two tasks fit outside the headroom. Half of the pool is idle then, until a third
		 * starts. */
		assert_int_equal (begin_tasks (&site, 4, 2, 8), 2);
		g_autoptr (GString) later = site_advance (&site, 1100);
		g_auto (GStrv) placed = g_strsplit (later->str, "@", -1);
		int32_t n_later = later->len > 0 ? (int32_t)g_strv_length (placed) - 1 : 0;
		assert_int_equal (n_later, cases[i].begun);
		site_close (&site);
	}
}

/* Guards against starvation of bulk work on a loaded day: gangs that wait for a whole rack count as
 * demand, so headroom is left free for them until the bulk work's deadline passes. */
static void
test_headroom_after_wait (void **state)
{
	(void)state;
	static const struct {
		double wait_ratio;
		int64_t later_ms;
		int32_t begun;
	} cases[] = {
		{0.0, 100000, 0},
		/* Tasks have an expected run time of a minute. */
		{1.0, 50000, 0},
		{1.0, 70000, 1},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct dff_core_options options = headroom_options ();
		options.headroom_decay_ms = 1000000;
		options.headroom_wait_ratio = cases[i].wait_ratio;
		struct site site;
		site_open (&site, &options);
		assert_int_equal (begin_tasks (&site, 2, 1, 8), 2);
		/* Of the two workers left, 0.7 of the demand of the running gangs is one. */
		assert_int_equal (begin_tasks (&site, 2, 2, 8), 1);
		g_autoptr (GString) later = site_advance (&site, cases[i].later_ms);
		g_auto (GStrv) placed = g_strsplit (later->str, "@", -1);
		int32_t n_later = later->len > 0 ? (int32_t)g_strv_length (placed) - 1 : 0;
		assert_int_equal (n_later, cases[i].begun);
		site_close (&site);
	}
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_headroom_follows_demand),
		cmocka_unit_test (test_headroom_per_priority),
		cmocka_unit_test (test_headroom_under_low_load),
		cmocka_unit_test (test_headroom_after_wait),
	};
	return cmocka_run_group_tests_name ("core-headroom", tests, NULL, NULL);
}
