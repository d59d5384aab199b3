#include "tests/holder/site.h"

/* Evacuations of data centres: nothing is started in a data centre once the holder has received the
 * request, and running tasks run to their end. Each rack of the site is a data centre. Its workers
 * detect starts that come more than five seconds after the request; site_close() then fails the
 * test. */

/** The two data centres. */
#define FIRST 0
#define SECOND 1

/* Submits a job with @count tasks and at most one task per worker. Returns: the number of starts
 * within a second. */
static int32_t
count_starts (struct site *site, const char *id, int32_t count)
{
	struct dff_plan *plan = site_plan (id, count, false, 1);
	dff_plan_step (plan, 0)->per_worker = 1;
	assert_int_equal (site_submit (site, 0, plan), DFF_FRONT_OK);
	site_run (site, 1000);
	return dff_memory_runner_n_starts (site->runner, id);
}

/* Guards against ignored requests: tasks are started in a data centre that is being evacuated. Each
 * case applies its requests in order, then submits a job with one task per worker. */
static void
test_request_sequences (void **state)
{
	(void)state;
	enum action {
		DFF_ACTION_END,
		DFF_ACTION_EVACUATE,
		DFF_ACTION_WITHDRAW,
		DFF_ACTION_DROP_HISTORY,
		DFF_ACTION_TAKE_OVER,
		DFF_ACTION_EVACUATE_UNKNOWN
	};
	static const struct {
		struct {
			enum action action;
			int data_centre;
		} steps[6];
		int32_t n_starts;
	} cases[] = {
		{{{DFF_ACTION_EVACUATE, FIRST}}, 3},
		{{{DFF_ACTION_EVACUATE, FIRST}, {DFF_ACTION_WITHDRAW, FIRST}}, 6},
		{{{DFF_ACTION_EVACUATE, FIRST}, {DFF_ACTION_EVACUATE, SECOND}}, 0},
		{{{DFF_ACTION_EVACUATE, FIRST},
		  {DFF_ACTION_EVACUATE, SECOND},
		  {DFF_ACTION_WITHDRAW, FIRST}},
		 3},
		{{{DFF_ACTION_EVACUATE, FIRST}, {DFF_ACTION_DROP_HISTORY, 0}}, 3},
		{{{DFF_ACTION_EVACUATE, FIRST},
		  {DFF_ACTION_DROP_HISTORY, 0},
		  {DFF_ACTION_WITHDRAW, FIRST}},
		 6},
		{{{DFF_ACTION_EVACUATE, FIRST},
		  {DFF_ACTION_WITHDRAW, FIRST},
		  {DFF_ACTION_DROP_HISTORY, 0}},
		 6},
		{{{DFF_ACTION_EVACUATE, FIRST}, {DFF_ACTION_TAKE_OVER, 0}}, 3},
		{{{DFF_ACTION_EVACUATE, FIRST},
		  {DFF_ACTION_TAKE_OVER, 0},
		  {DFF_ACTION_WITHDRAW, FIRST},
		  {DFF_ACTION_TAKE_OVER, 0}},
		 6},
		{{{DFF_ACTION_EVACUATE_UNKNOWN, 0}}, 6},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct site site;
		site_open_with_evacuations (&site);
		for (size_t j = 0; cases[i].steps[j].action != DFF_ACTION_END; j++) {
			int holder = site_holder (&site);
			switch (cases[i].steps[j].action) {
			case DFF_ACTION_EVACUATE:
			case DFF_ACTION_WITHDRAW:
				site_evacuate (&site, cases[i].steps[j].data_centre,
					       cases[i].steps[j].action == DFF_ACTION_EVACUATE);
				break;
			case DFF_ACTION_DROP_HISTORY:
				dff_memory_rows_drop_history (site.rows);
				break;
			case DFF_ACTION_TAKE_OVER:
				site_kill_process (&site, holder);
				site_start_process (&site, holder);
				break;
			default:
				dff_memory_rows_put (site.rows, DFF_TABLE_CONFIG,
						     "evacuate/nowhere", dff_str_from ("{}"));
				break;
			}
			site_run (&site, 2000);
		}
		assert_int_equal (count_starts (&site, "7", SITE_WORKERS), cases[i].n_starts);
		site_close (&site);
	}
}

/* Guards against an evacuation that never ends: while the store is silent for all processes, the
 * request is removed and the store drops its history. A process that looks only at changes misses
 * the removal. */
static void
test_end_missed_during_silence (void **state)
{
	(void)state;
	struct site site;
	site_open_with_evacuations (&site);
	site_evacuate (&site, FIRST, true);
	site_run (&site, 1000);
	for (int i = 0; i < SITE_PROCESSES; i++)
		dff_memory_rows_client_faults (site.processes[i].rows)->silent = true;
	site_run (&site, 3000);
	site_evacuate (&site, FIRST, false);
	dff_memory_rows_drop_history (site.rows);
	for (int i = 0; i < SITE_PROCESSES; i++)
		dff_memory_rows_client_faults (site.processes[i].rows)->silent = false;
	site_run (&site, 4000);
	assert_int_equal (count_starts (&site, "7", SITE_WORKERS), SITE_WORKERS);
	site_close (&site);
}

/* Guards against repeating a recorded start in an evacuated data centre, seconds after the request:
 * the start was recorded and sent without an answer, or the holder ended before it sent the start.
 * New decisions are not the only ones to be checked. */
static void
test_recorded_starts (void **state)
{
	(void)state;
	static const struct {
		bool cut;
		bool killed;
	} cases[] = {{true, false}, {true, true}, {false, true}};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct site site;
		site_open_with_evacuations (&site);
		int holder = site_holder (&site);
		for (int j = 0; j < SITE_PER_RACK; j++)
			site.workers[j]->drops_calls = cases[i].cut;
		struct dff_plan *plan = site_plan ("7", SITE_WORKERS, false, 1);
		dff_plan_step (plan, 0)->per_worker = 1;
		assert_int_equal (site_submit (&site, holder, plan), DFF_FRONT_OK);
		site_run (&site, cases[i].cut ? 60 : 12);
		site_evacuate (&site, FIRST, true);
		if (cases[i].killed)
			site_kill_process (&site, holder);
		site_run (&site, SITE_EVACUATION_MS);
		for (int j = 0; j < SITE_PER_RACK; j++)
			site.workers[j]->drops_calls = false;
		site_run (&site, 4000);
		site_evacuate (&site, FIRST, false);
		if (cases[i].killed)
			site_start_process (&site, holder);
		assert_int_not_equal (site_wait_for_state (&site, "7", "completed", 80000), -1);
		site_close (&site);
	}
}

/* Guards against starts that rely on stale operator state: the holder's calls for the requests are
 * no longer answered, but its transactions are, and a data centre is to be evacuated. The age of
 * the operator state has to be checked. */
static void
test_no_starts_with_stale_requests (void **state)
{
	(void)state;
	struct site site;
	site_open_with_evacuations (&site);
	int holder = site_holder (&site);
	site_block_requests (&site, holder, true);
	site_evacuate (&site, FIRST, true);
	site_run (&site, SITE_EVACUATION_MS);
	assert_int_equal (count_starts (&site, "7", SITE_WORKERS), 0);
	assert_int_equal (site_holder (&site), holder);
	site_block_requests (&site, holder, false);
	site_run (&site, 1000);
	assert_int_equal (dff_memory_runner_n_starts (site.runner, "7"), SITE_PER_RACK);
	site_evacuate (&site, FIRST, false);
	assert_int_not_equal (site_wait_for_state (&site, "7", "completed", 60000), -1);
	site_close (&site);
}

/* Tasks that run in an evacuated data centre run to their end, and their completion is received:
 * nothing is started twice. */
static void
test_running_tasks_end (void **state)
{
	(void)state;
	struct site site;
	site_open_with_evacuations (&site);
	assert_int_equal (count_starts (&site, "1", SITE_WORKERS), SITE_WORKERS);
	site_evacuate (&site, FIRST, true);
	site_evacuate (&site, SECOND, true);
	assert_int_not_equal (site_wait_for_state (&site, "1", "completed", 8000), -1);
	assert_int_equal (dff_memory_runner_n_starts (site.runner, "1"), SITE_WORKERS);
	/* All data centres are evacuated: a new job waits until a request is withdrawn. */
	assert_int_equal (count_starts (&site, "a", 2), 0);
	assert_string_equal (site_state (&site, 0, "a"), "queued");
	site_evacuate (&site, SECOND, false);
	assert_int_not_equal (site_wait_for_state (&site, "a", "completed", 5000), -1);
	site_close (&site);
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_request_sequences),
		cmocka_unit_test (test_end_missed_during_silence),
		cmocka_unit_test (test_recorded_starts),
		cmocka_unit_test (test_no_starts_with_stale_requests),
		cmocka_unit_test (test_running_tasks_end),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
