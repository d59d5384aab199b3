#include "tests/holder/site.h"

/* Workers that restart under the same id: their runs end with each incarnation, and their clocks
 * and completion numbers start again. The workers detect violations. */

/** The worker that restarts. */
#define RESTARTED_WORKER 2
/** Longest time from the last restart until the job has ended, ms: the delay of the lost task's
 * restart and its run time. */
#define END_LIMIT_MS 9500
/** As END_LIMIT_MS, if the restart is shown only by the expiry of the lease or not at all, ms. */
#define END_LIMIT_UNREPORTED_MS 30000

struct restart_case {
	const char *name;
	/** Time for which the next incarnation's entries do not reach the store, ms. */
	int32_t held_back_ms;
	/** Time for which no call reaches the worker before and after the restart, ms. */
	int32_t cut_before_ms;
	int32_t cut_after_ms;
	/** Number of restarts, and the time between two of them, ms. */
	int n_restarts;
	int32_t between_ms;
	/** Accelerators of the next incarnation; 0: unchanged. */
	int32_t accelerators;
	/** Delay of the next orders, which are not answered and executed late, ms; 0: no delay. */
	int32_t late_ms;
	/** Whether the worker has announced that it leaves. */
	bool leaves;
	/** Whether the holder is killed before, or after, the worker restarts. */
	bool taken_over_before;
	bool taken_over_after;
	bool relays;
	/** Whether the lists of the next incarnation do not report its start time. */
	bool hides_start;
};

static void
take_over (struct site *site)
{
	int holder = site_holder (site);
	if (holder < 0)
		return;
	site_kill_process (site, holder);
	site_run (site, 200);
	site_start_process (site, holder);
}

static void
restart_worker (struct site *site, const struct restart_case *test_case)
{
	struct dff_memory_worker_faults *faults = site->workers[RESTARTED_WORKER];
	if (test_case->leaves)
		site_announce_leaving (site, RESTARTED_WORKER, 1500);
	faults->drops_calls = test_case->cut_before_ms > 0;
	site_run (site, test_case->cut_before_ms);
	if (test_case->taken_over_before)
		take_over (site);
	site->next_accelerators[RESTARTED_WORKER] = test_case->accelerators;
	site_hold_entries_back (site, RESTARTED_WORKER, test_case->held_back_ms > 0);
	struct dff_memory_worker_faults before = *faults;
	for (int i = 0; i < test_case->n_restarts; i++) {
		site_restart_worker (site, RESTARTED_WORKER);
		site_run (site, test_case->between_ms);
	}
	faults = site->workers[RESTARTED_WORKER];
	*faults = before;
	faults->drops_calls = test_case->cut_after_ms > 0;
	faults->hides_start = test_case->hides_start;
	if (test_case->taken_over_after)
		take_over (site);
	site_run (site, test_case->cut_after_ms);
	faults->drops_calls = false;
	site_run (site, MAX (test_case->held_back_ms - test_case->cut_after_ms, 0));
	site_hold_entries_back (site, RESTARTED_WORKER, false);
	site_list_worker (site, RESTARTED_WORKER, true, false);
}

/* Starts a task of six seconds on each worker, after short tasks have run to their end there. */
static void
start_tasks (struct site *site)
{
	assert_int_equal (site_submit (site, 0, site_plan ("a", 3 * SITE_WORKERS, false, 1)),
			  DFF_FRONT_OK);
	assert_int_not_equal (site_wait_for_state (site, "a", "completed", 6000), -1);
	struct dff_plan *plan = site_plan ("1", SITE_WORKERS, false, 1);
	dff_plan_step (plan, 0)->per_worker = 1;
	assert_int_equal (site_submit (site, 0, plan), DFF_FRONT_OK);
	site_run (site, 600);
}

/* Checks that the worker's next incarnation is used: a job with one task on every worker completes
 * in time. */
static void
check_worker_is_used (struct site *site)
{
	struct dff_plan *plan = site_plan ("b", SITE_WORKERS, false, 1);
	dff_plan_step (plan, 0)->per_worker = 1;
	assert_int_equal (site_submit (site, 0, plan), DFF_FRONT_OK);
	assert_in_range (site_wait_for_state (site, "b", "completed", 4000), 0, 2500);
}

/* Guards against three faults with runs of an ended incarnation: assuming that they still run,
 * waiting until their lease would have expired, and restarting them while a late order for them is
 * on its way. Also guards against attributing completions, clocks or the announced leaving of one
 * incarnation to the next one. */
static void
test_restarted_worker (void **state)
{
	const struct restart_case *test_case = *state;
	struct site site;
	site_open_with_same_ids (&site, test_case->relays);
	site_run (&site, 1500);
	if (test_case->late_ms > 0) {
		site.workers[RESTARTED_WORKER]->late_orders = 2;
		site.workers[RESTARTED_WORKER]->late_ms = test_case->late_ms;
	}
	start_tasks (&site);
	restart_worker (&site, test_case);
	int64_t limit_ms = test_case->hides_start ? END_LIMIT_UNREPORTED_MS : END_LIMIT_MS;
	assert_in_range (site_wait_for_state (&site, "1", "completed", END_LIMIT_UNREPORTED_MS), 0,
			 limit_ms);
	if (!test_case->hides_start)
		check_worker_is_used (&site);
	site_run (&site, 15000);
	assert_int_equal (dff_memory_runner_n_active (site.runner), 0);
	site_close (&site);
}

static const struct restart_case cases[] = {
	{.name = "at once", .n_restarts = 1},
	{.name = "at once, through relays", .n_restarts = 1, .relays = true},
	{.name = "entry late", .n_restarts = 1, .held_back_ms = 3000},
	{.name = "within a lease, cut off",
	 .n_restarts = 1,
	 .cut_before_ms = 800,
	 .cut_after_ms = 1500},
	{.name = "cut off, entry late",
	 .n_restarts = 1,
	 .cut_before_ms = 300,
	 .held_back_ms = 4000},
	{.name = "twice in a row", .n_restarts = 2, .between_ms = 5},
	{.name = "twice in a row, reported between", .n_restarts = 2, .between_ms = 400},
	{.name = "four times, through relays", .n_restarts = 4, .between_ms = 150, .relays = true},
	{.name = "with less capacity", .n_restarts = 1, .accelerators = 2},
	{.name = "before a takeover", .n_restarts = 1, .taken_over_after = true},
	{.name = "during a takeover", .n_restarts = 1, .taken_over_before = true},
	{.name = "cut off during a takeover",
	 .n_restarts = 1,
	 .cut_before_ms = 400,
	 .cut_after_ms = 1200,
	 .taken_over_before = true},
	{.name = "after it announced that it leaves", .n_restarts = 1, .leaves = true},
	{.name = "leaves, entry late", .n_restarts = 1, .leaves = true, .held_back_ms = 2000},
	{.name = "earlier orders arrive after the restart", .n_restarts = 1, .late_ms = 1500},
	{.name = "earlier orders arrive much later", .n_restarts = 1, .late_ms = 6000},
	{.name = "earlier orders arrive later, twice",
	 .n_restarts = 2,
	 .between_ms = 300,
	 .late_ms = 1500},
	{.name = "lists without the start time", .n_restarts = 1, .hides_start = true},
};

/* Guards against starting a task that crashes its workers for ever: blame points count even if the
 * worker is back under the same id. */
static void
test_crashes_are_blamed (void **state)
{
	(void)state;
	struct site site;
	site_open_with_same_ids (&site, false);
	assert_int_equal (site_submit (&site, 0, site_plan ("x", 1, false, 1)), DFF_FRONT_OK);
	assert_int_not_equal (site_wait_for_state (&site, "x", "failed", 60000), -1);
	assert_in_range (dff_memory_runner_n_starts (site.runner, "x"), 2, 5);
	site_close (&site);
}

/* Guards against keeping a worker in quarantine after a restart: it failed all tasks that it
 * started and has restarted since. */
static void
test_restart_ends_quarantine (void **state)
{
	(void)state;
	struct site site;
	site_open_with_same_ids (&site, false);
	site.workers[RESTARTED_WORKER]->fails = true;
	for (int i = 0; i < 3; i++) {
		g_autofree char *id = g_strdup_printf ("c%d", i);
		struct dff_plan *plan = site_plan (id, SITE_WORKERS, false, 1);
		dff_plan_step (plan, 0)->per_worker = 1;
		site_submit (&site, 0, plan);
		site_run (&site, 500);
	}
	site_run (&site, 3000);
	site_restart_worker (&site, RESTARTED_WORKER);
	site_run (&site, 2500);
	check_worker_is_used (&site);
	site_close (&site);
}

/* Guards against an entry by another writer that names a different start time of a worker: it must
 * neither end the worker's runs nor keep the worker from getting tasks for good. */
static void
test_entry_of_another_writer (void **state)
{
	(void)state;
	static const struct {
		const char *started;
		/** Address of the worker itself, of another worker, or of no worker. */
		const char *address;
	} entries[] = {
		{"1", "10.0.0.2:1"}, {"999999999999", "10.0.0.2:1"}, {"-1", "10.0.0.2:1"},
		{"x", "10.0.0.2:1"}, {"999999999999", "10.0.0.3:1"}, {"999999999999", "10.0.9.9:1"},
		{"1", "10.0.0.3:1"},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (entries); i++) {
		struct site site;
		site_open_with_same_ids (&site, false);
		site_run (&site, 1500);
		start_tasks (&site);
		g_autofree char *value = g_strdup_printf ("%s r0 0 -1 %d %s", entries[i].address,
							  SITE_ACCELERATORS, entries[i].started);
		dff_memory_rows_put (site.rows, DFF_TABLE_UPSTREAMS, "w2", dff_str_from (value));
		site_run (&site, 2000);
		/* The worker writes its own entry again. */
		site_list_worker (&site, RESTARTED_WORKER, true, false);
		site_run (&site, 600);
		check_worker_is_used (&site);
		assert_int_not_equal (site_wait_for_state (&site, "1", "completed", 8000), -1);
		assert_int_equal (dff_memory_runner_n_starts (site.runner, "1"), SITE_WORKERS);
		site_close (&site);
	}
}

/** Longest time for which a task of a cancelled job may run after a late start, ms: a holder has to
 * reach the worker again, and the worker has to stop the task. */
#define LATE_START_MAX_MS 3400

struct late_case {
	const char *name;
	int32_t late_ms;
	int32_t late_orders;
	/** Time after the start at which the process that sent it is removed for good, ms; 0: it
	 * stays. */
	int32_t removed_after_ms;
	/** Whether the job is cancelled before the removal, or only by the next holder. */
	bool cancelled_before;
	bool restarts;
};

/* Guards against a task of a cancelled job that a worker starts late and then keeps running: the
 * process that sent the start may be gone for good, and no other process has sent the worker
 * anything. */
static void
test_late_start_of_a_cancelled_job (void **state)
{
	(void)state;
	static const struct late_case late_cases[] = {
		{"start late", 2000, 1, 0, true, false},
		{"start and stop late", 2500, 3, 0, true, false},
		{"starter removed before", 3000, 1, 150, false, false},
		{"starter removed after", 3000, 1, 600, true, false},
		{"starter removed, start much later", 8000, 1, 300, true, false},
		{"starter removed, worker starts again", 5000, 1, 300, true, true},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (late_cases); i++) {
		const struct late_case *test_case = &late_cases[i];
		struct site site;
		site_open_with_same_ids (&site, false);
		site_run (&site, 1500);
		int starter = site_holder (&site);
		int other = (starter + 1) % SITE_PROCESSES;
		for (int j = 0; j < SITE_WORKERS; j++) {
			site.workers[j]->late_orders = test_case->late_orders;
			site.workers[j]->late_ms = test_case->late_ms;
		}
		assert_int_equal (site_submit (&site, other, site_plan ("7", 4, false, 8)),
				  DFF_FRONT_OK);
		if (test_case->cancelled_before)
			assert_int_equal (site_cancel (&site, other, "7"), DFF_FRONT_OK);
		site_run (&site, test_case->removed_after_ms);
		if (test_case->removed_after_ms > 0)
			site_kill_process (&site, starter);
		if (!test_case->cancelled_before)
			assert_int_equal (site_cancel (&site, other, "7"), DFF_FRONT_OK);
		if (test_case->restarts)
			site_restart_worker (&site, 0);
		int64_t running_ms = 0;
		for (int j = 0; j < 200; j++) {
			site_run (&site, 100);
			bool runs = dff_memory_runner_n_active (site.runner) > 0;
			running_ms = runs ? running_ms + 100 : 0;
			assert_in_range (running_ms, 0, LATE_START_MAX_MS);
		}
		assert_int_equal (dff_memory_runner_n_active (site.runner), 0);
		site_close (&site);
	}
}

int
main (void)
{
	struct CMUnitTest tests[G_N_ELEMENTS (cases) + 4] = {
		cmocka_unit_test (test_late_start_of_a_cancelled_job),
		cmocka_unit_test (test_crashes_are_blamed),
		cmocka_unit_test (test_restart_ends_quarantine),
		cmocka_unit_test (test_entry_of_another_writer),
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		tests[4 + i] = (struct CMUnitTest){.name = cases[i].name,
						   .test_func = test_restarted_worker,
						   .initial_state = (void *)&cases[i]};
	}
	site_tests_begin (tests, G_N_ELEMENTS (tests));
	return cmocka_run_group_tests (tests, NULL, NULL);
}
