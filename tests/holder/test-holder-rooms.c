#include "tests/holder/site.h"

/* Workers that do not enforce their capacity, which shrinks and grows. They report a start beyond
 * their capacity as a violation if the sender had the time to learn of the change. */

/** Time within which a change of a worker's capacity is reported, ms. */
#define CAPACITY_REPORTED_MS 2500
/** Time after which a worker's last reported capacity is no longer relied on, ms. */
#define CAPACITY_STALE_MS 5000

static void
resize_all (struct site *site, int32_t accelerators)
{
	for (int i = 0; i < SITE_WORKERS; i++)
		site_resize_worker (site, i, accelerators);
}

/* When capacity shrinks, running tasks continue and nothing is started beyond the new capacity.
 * When it grows again, all of it is used. */
static void
test_capacity_shrinks_and_grows (void **state)
{
	(void)state;
	struct site site;
	site_open_unenforced (&site);
	int32_t n_all = SITE_WORKERS * SITE_ACCELERATORS;
	site_submit (&site, 0, site_plan ("1", n_all, false, 1));
	site_run (&site, 500);
	int32_t n_running = dff_memory_runner_n_active (site.runner);
	assert_in_range (n_running, n_all / 2, n_all);
	resize_all (&site, 2);
	site_run (&site, CAPACITY_REPORTED_MS);
	site_submit (&site, 0, site_plan ("7", n_all, false, 1));
	site_run (&site, 1000);
	assert_int_equal (dff_memory_runner_n_starts (site.runner, "7"), 0);
	assert_int_equal (dff_memory_runner_n_active (site.runner), n_running);
	site_run (&site, 10000);
	assert_in_range (dff_memory_runner_n_active (site.runner), 1, 2 * SITE_WORKERS);
	resize_all (&site, SITE_ACCELERATORS);
	site_run (&site, 8000);
	assert_in_range (dff_memory_runner_n_active (site.runner), n_all / 2, n_all);
	site_close (&site);
}

/* Guards against exceeding the capacity of a worker that does not enforce it: its capacity shrinks
 * while its entries reach neither the store nor the holder, and the holder relies on the last
 * reported capacity for as long as the worker answers. */
static void
test_unreported_capacity (void **state)
{
	(void)state;
	struct site site;
	site_open_unenforced (&site);
	for (int i = 0; i < SITE_WORKERS - 1; i++) {
		site_hold_entries_back (&site, i, true);
		site_resize_worker (&site, i, 1);
	}
	site_run (&site, CAPACITY_STALE_MS);
	site_submit (&site, 0, site_plan ("a", SITE_ACCELERATORS, false, 1));
	assert_in_range (site_wait_for_state (&site, "a", "completed", 10000), 1000, 3500);
	assert_null (dff_memory_runner_violation (site.runner));
	/* When the entries arrive again, the workers are used within their capacity. */
	for (int i = 0; i < SITE_WORKERS - 1; i++)
		site_hold_entries_back (&site, i, false);
	site_run (&site, CAPACITY_REPORTED_MS);
	site_submit (&site, 0, site_plan ("7", SITE_WORKERS * SITE_ACCELERATORS, false, 1));
	site_run (&site, 4000);
	assert_in_range (dff_memory_runner_n_active (site.runner), SITE_ACCELERATORS,
			 SITE_ACCELERATORS + SITE_WORKERS - 1);
	site_close (&site);
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_capacity_shrinks_and_grows),
		cmocka_unit_test (test_unreported_capacity),
	};
	site_tests_begin (tests, G_N_ELEMENTS (tests));
	return cmocka_run_group_tests (tests, NULL, NULL);
}
