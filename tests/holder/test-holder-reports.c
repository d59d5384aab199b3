#include "tests/holder/site.h"

/* Worker reports that list only the oldest of the completions that wait to be acknowledged. A run
 * that such a report does not list may have completed. The workers detect a task that is started
 * again after its completion. */

/** Number of completions in one report, and of tasks that end on each worker at once. */
#define LISTED_ENDS_MAX 2
#define TASKS_PER_WORKER SITE_ACCELERATORS
#define N_TASKS (SITE_WORKERS * TASKS_PER_WORKER)
/** Duration of the tasks, and the time from the submission to the events of a case, ms: before the
 * tasks end, and after they have ended. */
#define TASK_MS 1000
#define BEFORE_END_MS 850
#define AFTER_END_MS 1250
/** Duration of a transaction in a slow store, ms: short enough for the holder to keep the lease. */
#define SLOW_COMMIT_MS 250
/** Time for which transactions have no answer, ms: longer than a run may make no progress.
 */
#define UNRECORDED_MS 1800
/** The worker that restarts, the time from the submission to its restart, and the delay of the
 * orders that it carries out afterwards, ms. */
#define RESTARTED_WORKER 2
#define RESTART_MS 1900
#define LATE_ORDER_MS 2500
/** Longest time until the job has ended, ms: each report of a worker waits for a transaction. */
#define END_LIMIT_MS 8000

struct report_case {
	const char *name;
	/** Whether the workers' answers are lost from the submission until the tasks have ended. */
	bool answers_lost;
	/** Whether another process takes over before, or after, the tasks end. */
	bool taken_over_before;
	bool taken_over_after;
	/** Whether urgent work for all workers is submitted, or the job is cancelled, before the
	 * tasks end. */
	bool preempted;
	bool cancelled;
	bool relays;
};

static void
slow_stores (struct site *site)
{
	for (int i = 0; i < SITE_PROCESSES; i++)
		dff_memory_rows_client_faults (site->processes[i].rows)->commit_delay_ms =
			SLOW_COMMIT_MS;
}

static void
lose_answers (struct site *site, bool lost)
{
	for (int i = 0; i < SITE_WORKERS; i++)
		site->workers[i]->drops_answers = lost;
}

static void
take_over (struct site *site)
{
	int holder = site_holder (site);
	assert_int_not_equal (holder, -1);
	site_kill_process (site, holder);
	site_start_process (site, holder);
}

/* Submits work that needs all workers and precedes everything else. */
static void
submit_urgent (struct site *site)
{
	struct dff_plan *plan = site_plan ("6", SITE_WORKERS, false, SITE_ACCELERATORS);
	plan->priority = 0;
	assert_int_equal (site_submit (site, 0, plan), DFF_FRONT_OK);
}

static int64_t
holder_counter (struct site *site, const char *name)
{
	return *dff_metrics_counter (site->processes[site_holder (site)].metrics, name, "");
}

static void
apply_before_end (struct site *site, const struct report_case *test_case)
{
	if (test_case->taken_over_before)
		take_over (site);
	if (test_case->preempted)
		submit_urgent (site);
	if (test_case->cancelled)
		assert_int_equal (site_cancel (site, 0, "a"), DFF_FRONT_OK);
}

/* Guards against starting tasks again that have completed, because more runs have ended on a worker
 * than its report lists: while the runs count as open, are being started or stopped, or were taken
 * over from a former holder. */
static void
test_unlisted_completions (void **state)
{
	const struct report_case *test_case = *state;
	struct site site;
	site_open_with_short_reports (&site, LISTED_ENDS_MAX, test_case->relays);
	lose_answers (&site, test_case->answers_lost);
	struct dff_plan *plan = site_plan ("a", N_TASKS, false, 1);
	plan->priority = 2;
	int64_t begun_ms = dff_virtual_loop_now_ms (site.loop);
	assert_int_equal (site_submit (&site, 0, plan), DFF_FRONT_OK);
	site_run (&site, begun_ms + BEFORE_END_MS - dff_virtual_loop_now_ms (site.loop));
	assert_int_equal (dff_memory_runner_n_active (site.runner), N_TASKS);
	slow_stores (&site);
	apply_before_end (&site, test_case);
	site_run (&site, begun_ms + AFTER_END_MS - dff_virtual_loop_now_ms (site.loop));
	lose_answers (&site, false);
	if (test_case->taken_over_after)
		take_over (&site);
	const char *expected = test_case->cancelled ? "cancelled" : "completed";
	int64_t ended_ms = site_wait_for_state (&site, "a", expected, END_LIMIT_MS);
	assert_int_equal (dff_memory_runner_n_starts (site.runner, "a"), N_TASKS);
	assert_int_not_equal (ended_ms, -1);
	if (test_case->preempted)
		assert_int_not_equal (site_wait_for_state (&site, "6", "completed", END_LIMIT_MS),
				      -1);
	site_run (&site, END_LIMIT_MS);
	assert_int_equal (dff_memory_runner_n_starts (site.runner, "a"), N_TASKS);
	assert_int_equal (dff_memory_runner_n_active (site.runner), 0);
	site_close (&site);
}

/* Guards against setting a worker aside, and stopping its tasks, because runs that have completed
 * make no progress while its report leaves them out. */
static void
test_unlisted_completions_are_no_stall (void **state)
{
	(void)state;
	struct site site;
	site_open_with_short_reports (&site, LISTED_ENDS_MAX, false);
	assert_int_equal (site_submit (&site, 0, site_plan ("a", N_TASKS, false, 1)), DFF_FRONT_OK);
	site_run (&site, BEFORE_END_MS);
	int holder = site_holder (&site);
	struct dff_memory_rows_faults *store =
		dff_memory_rows_client_faults (site.processes[holder].rows);
	store->lost_permille = 1000;
	site_run (&site, UNRECORDED_MS);
	store->lost_permille = 0;
	assert_int_not_equal (site_wait_for_state (&site, "a", "completed", END_LIMIT_MS), -1);
	assert_int_equal (site_holder (&site), holder);
	assert_int_equal (holder_counter (&site, "dff_holder_workers_stalled_total"), 0);
	assert_int_equal (holder_counter (&site, "dff_holder_units_stopped_total"), 0);
	site_close (&site);
}

/* Guards against starting tasks again that have completed on the next incarnation of their worker:
 * it carries out starts that a former holder sent to the previous one, and more of them have ended
 * there than its first report lists. */
static void
test_unlisted_completions_after_restart (void **state)
{
	(void)state;
	struct site site;
	site_open_with_short_reports (&site, LISTED_ENDS_MAX, false);
	site.workers[RESTARTED_WORKER]->late_orders = TASKS_PER_WORKER;
	site.workers[RESTARTED_WORKER]->late_ms = LATE_ORDER_MS;
	int64_t begun_ms = dff_virtual_loop_now_ms (site.loop);
	assert_int_equal (site_submit (&site, 0, site_plan ("a", N_TASKS, false, 1)), DFF_FRONT_OK);
	site_run (&site, 20);
	take_over (&site);
	site_run (&site, begun_ms + RESTART_MS - dff_virtual_loop_now_ms (site.loop));
	assert_int_equal (dff_memory_runner_n_starts (site.runner, "a"), N_TASKS);
	site_restart_worker (&site, RESTARTED_WORKER);
	site.workers[RESTARTED_WORKER]->drops_calls = true;
	site_run (&site,
		  begun_ms + LATE_ORDER_MS + TASK_MS + 100 - dff_virtual_loop_now_ms (site.loop));
	/* The next incarnation has carried out the late orders. */
	assert_int_equal (dff_memory_runner_n_starts (site.runner, "a"),
			  N_TASKS + TASKS_PER_WORKER);
	site.workers[RESTARTED_WORKER]->drops_calls = false;
	int64_t ended_ms = site_wait_for_state (&site, "a", "completed", END_LIMIT_MS);
	assert_int_equal (dff_memory_runner_n_starts (site.runner, "a"),
			  N_TASKS + TASKS_PER_WORKER);
	assert_int_not_equal (ended_ms, -1);
	site_close (&site);
}

static const struct report_case cases[] = {
	{.name = "open"},
	{.name = "open, through relays", .relays = true},
	{.name = "starts not answered", .answers_lost = true},
	{.name = "preempted", .preempted = true},
	{.name = "cancelled", .cancelled = true},
	{.name = "taken over before the end", .taken_over_before = true},
	{.name = "taken over after the end", .taken_over_after = true},
	{.name = "taken over, through relays", .taken_over_after = true, .relays = true},
};

int
main (void)
{
	struct CMUnitTest tests[G_N_ELEMENTS (cases) + 2] = {
		cmocka_unit_test (test_unlisted_completions_are_no_stall),
		cmocka_unit_test (test_unlisted_completions_after_restart),
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		tests[2 + i] = (struct CMUnitTest){.name = cases[i].name,
						   .test_func = test_unlisted_completions,
						   .initial_state = (void *)&cases[i]};
	}
	site_tests_begin (tests, G_N_ELEMENTS (tests));
	return cmocka_run_group_tests (tests, NULL, NULL);
}
