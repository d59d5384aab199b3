#include "tests/holder/site.h"

#include <string.h>

/* The holder over workers with faults. */

/* Has a long task run on each worker. */
static void
run_task_on_each_worker (struct site *site)
{
	struct dff_plan *plan = site_plan ("1", SITE_WORKERS, false, 1);
	dff_plan_step (plan, 0)->per_worker = 1;
	site_submit (site, 0, plan);
	site_run (site, 400);
}

/** Workers of a large fleet that only write their entries, and how often, ms. */
#define LARGE_FLEET 900
#define ENTRY_EVERY_MS 300

static void
write_entries (struct site *site, int round)
{
	for (int i = 0; i < LARGE_FLEET; i++) {
		g_autofree char *key = g_strdup_printf ("silent-%d", i);
		g_autofree char *value = g_strdup_printf ("10.9.0.1:%d r9 0 %d", i + 1, round);
		dff_memory_rows_put (site->rows, DFF_TABLE_UPSTREAMS, key, dff_str_from (value));
	}
}

/* Symptom: a worker that leaves is given new work for seconds after it has said so. Sequence: nine
 * hundred workers write their entries three times a second; one answer of the store holds 500.
 * Cause: after a full answer the holder waited for its next look, so that it fell behind. */
static void
test_leaving_in_large_fleet (void **state)
{
	(void)state;
	struct site site;
	site_open (&site);
	for (int round = 0; round < 12; round++) {
		write_entries (&site, round);
		site_run (&site, ENTRY_EVERY_MS);
	}
	site_announce_leaving (&site, 0, 20000);
	for (int round = 12; round < 16; round++) {
		write_entries (&site, round);
		site_run (&site, ENTRY_EVERY_MS);
	}
	struct dff_plan *plan = site_plan ("7", SITE_WORKERS, false, 1);
	dff_plan_step (plan, 0)->per_worker = 1;
	assert_int_equal (site_submit (&site, 0, plan), DFF_FRONT_OK);
	site_run (&site, 1000);
	assert_int_equal (dff_memory_runner_n_starts (site.runner, "7"), SITE_WORKERS - 1);
	site_close (&site);
}

/* Symptom: tasks run twice, are lost or wait for seconds. Sequence: calls to workers go through
 * other processes; one of these is killed or falls silent, and another is there or not. Cause: the
 * calls that it carried never ended, or were taken for not sent. */
static void
test_lost_relay (void **state)
{
	(void)state;
	static const struct {
		bool killed;
		bool both;
	} cases[] = {{true, false}, {true, true}, {false, false}, {false, true}};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct site site;
		site_open_with_relays (&site);
		int holder = site_holder (&site);
		site_run (&site, 1500);
		run_task_on_each_worker (&site);
		for (int j = 1; j <= (cases[i].both ? 2 : 1); j++) {
			int process = (holder + j) % SITE_PROCESSES;
			if (cases[i].killed)
				site_kill_process (&site, process);
			else
				site_silence_relay (&site, process);
		}
		site_submit (&site, holder, site_plan ("2", 3, true, SITE_ACCELERATORS));
		assert_int_not_equal (site_wait_for_state (&site, "1", "completed", 9000), -1);
		assert_int_not_equal (site_wait_for_state (&site, "2", "completed", 9000), -1);
		assert_int_equal (dff_memory_runner_n_starts (site.runner, "1"), SITE_WORKERS);
		assert_int_equal (dff_memory_runner_n_starts (site.runner, "2"), 3);
		assert_int_equal (site_holder (&site), holder);
		site_close (&site);
	}
}

/* Symptom: a task runs twice at a time. Sequence: its worker is cut off from the system and runs
 * on; the task is started elsewhere before the worker's lease has lapsed on its own, slower clock.
 */
static void
test_cut_off_worker (void **state)
{
	(void)state;
	static const struct {
		int64_t cut_ms;
		/** Starts of the six tasks, one on each worker. */
		int32_t n_starts;
		bool mute;
	} cases[] = {
		{4000, 6, false},
		{4000, 6, true},
		{15000, 7, false},
		{15000, 7, true},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct site site;
		site_open (&site);
		run_task_on_each_worker (&site);
		site.workers[SITE_WORKERS - 1]->drops_calls = !cases[i].mute;
		site.workers[SITE_WORKERS - 1]->drops_answers = cases[i].mute;
		site_run (&site, cases[i].cut_ms);
		site.workers[SITE_WORKERS - 1]->drops_calls = false;
		site.workers[SITE_WORKERS - 1]->drops_answers = false;
		assert_int_not_equal (site_wait_for_state (&site, "1", "completed", 20000), -1);
		assert_int_equal (dff_memory_runner_n_starts (site.runner, "1"), cases[i].n_starts);
		site_close (&site);
	}
}

/* Symptom: the log tells of a run that nobody recorded, and a stop is sent for it. Sequence: a gang
 * of two ends; the worker of one member says so, and the other's list from just before arrives
 * after that. Cause: the list was taken for newer than it was. */
static void
test_late_worker_reports (void **state)
{
	(void)state;
	struct site site;
	site_open (&site);
	for (int i = 0; i < SITE_WORKERS; i++)
		site.workers[i]->answer_ms = i % 2 == 0 ? 0 : 300;
	/* Single tasks on each worker, of which some end just before the gang. */
	for (int i = 0; i < 12; i++) {
		g_autofree char *id = g_strdup_printf ("a%d", i);
		struct dff_plan *plan = site_plan (id, SITE_WORKERS, false, 1);
		dff_plan_step (plan, 0)->per_worker = 1;
		int64_t begun_ms = dff_virtual_loop_now_ms (site.loop);
		site_submit (&site, 0, plan);
		site_run (&site, begun_ms + 30 - dff_virtual_loop_now_ms (site.loop));
		if (i == 0)
			site_submit (&site, 0, site_plan ("5", 2, true, 4));
		site_run (&site, begun_ms + 250 - dff_virtual_loop_now_ms (site.loop));
	}
	site_run (&site, 20000);
	int holder = site_holder (&site);
	assert_int_equal (*dff_metrics_counter (site.processes[holder].metrics,
						"dff_holder_strays_total", ""),
			  0);
	site_close (&site);
}

/* Symptom: after a take-over, what runs on workers that cannot be reached begins elsewhere 19 s
 * later, and at each further take-over that time begins anew. Sequence: holders are killed and
 * start again while a worker is cut off. Cause: each holder took it that the former one goes on
 * renewing for as long as it may, though another life of its process answered. */
static void
test_lost_worker_after_take_overs (void **state)
{
	(void)state;
	static const struct {
		int n_kills;
		int64_t limit_ms;
	} cases[] = {{1, 18000}, {2, 22500}};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct site site;
		site_open (&site);
		run_task_on_each_worker (&site);
		site.workers[SITE_WORKERS - 1]->drops_calls = true;
		int64_t begun_ms = dff_virtual_loop_now_ms (site.loop);
		for (int j = 0; j < cases[i].n_kills; j++) {
			int holder = site_holder (&site);
			site_kill_process (&site, holder);
			site_run (&site, 1500);
			site_start_process (&site, holder);
			site_run (&site, 3000);
		}
		assert_int_not_equal (site_wait_for_state (&site, "1", "completed", 40000), -1);
		assert_in_range (dff_virtual_loop_now_ms (site.loop) - begun_ms, 0,
				 cases[i].limit_ms);
		site_close (&site);
	}
}

/* Symptom: work on a worker that crashed waits until its lease would have lapsed. Sequence: another
 * life answers at its address. Cause: that answer was not taken as proof of the end. */
static void
test_restarted_worker (void **state)
{
	(void)state;
	struct site site;
	site_open (&site);
	run_task_on_each_worker (&site);
	site_restart_worker (&site, 2);
	site_run (&site, 2500);
	assert_int_equal (dff_memory_runner_n_starts (site.runner, "1"), SITE_WORKERS + 1);
	assert_in_range (site_wait_for_state (&site, "1", "completed", 20000), 0, 7000);
	site_close (&site);
}

/* Symptom: a gang that has completed is started again. Sequence: its members end together; the
 * worker of one is lost before its end is heard, the other's is heard then. Cause: see
 * complete_unit(). */
static void
test_gang_loses_worker_after_completion (void **state)
{
	(void)state;
	struct site site;
	site_open (&site);
	/* Seven of eight accelerators each, so that the members are on two workers. */
	site_submit (&site, 0, site_plan ("5", 2, true, 7));
	site_run (&site, 2500);
	int lost = dff_memory_runner_worker_of (site.runner, "5.0.0.0")[1] - '0';
	for (int i = 0; i < SITE_WORKERS; i++)
		site.workers[i]->drops_answers = true;
	site_run (&site, 1000);
	assert_null (dff_memory_runner_worker_of (site.runner, "5.0.0.0"));
	site_restart_worker (&site, lost);
	/* By now the other life has answered, and the other member is to be stopped. */
	site_run (&site, 1500);
	for (int i = 0; i < SITE_WORKERS; i++)
		site.workers[i]->drops_answers = false;
	assert_in_range (site_wait_for_state (&site, "5", "completed", 5000), 0, 2000);
	site_run (&site, 3000);
	assert_int_equal (dff_memory_runner_n_starts (site.runner, "5"), 2);
	site_close (&site);
}

/* Symptom: a task runs that nobody wants any more, or twice. Sequence: orders are unanswered and
 * carried out seconds later, after newer ones. */
static void
test_late_orders (void **state)
{
	(void)state;
	static const int32_t late_ms[] = {300, 1500, 6000};
	for (size_t i = 0; i < G_N_ELEMENTS (late_ms); i++) {
		struct site site;
		site_open (&site);
		for (int j = 0; j < SITE_WORKERS; j++) {
			site.workers[j]->late_orders = 3;
			site.workers[j]->late_ms = late_ms[i];
		}
		site_submit (&site, 0, site_plan ("a", 12, false, 1));
		site_submit (&site, 1, site_plan ("5", 2, true, 4));
		site_submit (&site, 1, site_plan ("1c", 6, false, 1));
		site_run (&site, 1000);
		assert_int_equal (site_cancel (&site, 2, "1c"), DFF_FRONT_OK);
		assert_int_not_equal (site_wait_for_state (&site, "a", "completed", 20000), -1);
		assert_int_not_equal (site_wait_for_state (&site, "5", "completed", 20000), -1);
		assert_string_equal (site_state (&site, 0, "1c"), "cancelled");
		site_run (&site, 8000);
		assert_int_equal (dff_memory_runner_n_active (site.runner), 0);
		site_close (&site);
	}
}

/* Symptom: work on a worker that stands still takes as long as the worker likes. Sequence: the
 * worker goes on answering, and lists its tasks as running. Cause: nobody looked at their progress.
 */
static void
test_stalled_worker (void **state)
{
	(void)state;
	struct site site;
	site_open (&site);
	struct dff_plan *plan = site_plan ("4", SITE_WORKERS, false, 1);
	dff_plan_step (plan, 0)->per_worker = 1;
	site_submit (&site, 0, plan);
	site_run (&site, 2000);
	site.workers[1]->hung = true;
	/* The stalled task goes on elsewhere from what it saved, once the others have ended. */
	assert_in_range (site_wait_for_state (&site, "4", "completed", 20000), 8000, 10500);
	assert_int_equal (dff_memory_runner_n_starts (site.runner, "4"), SITE_WORKERS + 1);
	site_close (&site);
}

static void
test_leaving_worker (void **state)
{
	(void)state;
	struct site site;
	site_open (&site);
	for (int i = 1; i < SITE_WORKERS; i++)
		site_list_worker (&site, i, true, true);
	site_run (&site, 1000);
	site_submit (&site, 0, site_plan ("a", 8, false, 1));
	site_submit (&site, 0, site_plan ("b", 1, false, 1));
	assert_int_not_equal (site_wait_for_state (&site, "a", "completed", 5000), -1);
	assert_in_range (site_wait_for_state (&site, "b", "completed", 5000), 500, 1500);
	site_close (&site);
}

/* Symptom: what runs on workers that are taken away begins again ten seconds later, from its
 * beginning. Sequence: a worker tells that it leaves in 1.8 s, and is gone then with the tasks that
 * take longer. Cause: nothing new was placed there, but nothing was done about what ran there, and
 * a worker that is gone looks like one that is cut off. */
static void
test_worker_that_leaves_soon (void **state)
{
	(void)state;
	static const struct {
		const char *id;
		int32_t accelerators;
		int32_t remaining_ms;
		int64_t limit_ms;
		int32_t n_starts;
	} cases[] = {
		/* Six seconds of work, 0.6 s of it done: begun anew. */
		{"1", 8, 1800, 8000, 2},
		/* The same, saved. */
		{"4", 8, 1800, 6500, 2},
		/* It ends before the worker does. */
		{"1", 8, 9000, 6000, 1},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct site site;
		site_open (&site);
		struct dff_plan *plan = site_plan (cases[i].id, 1, false, cases[i].accelerators);
		dff_plan_step (plan, 0)->estimate_ms = 6000;
		site_submit (&site, 0, plan);
		site_run (&site, 600);
		const char *worker_id = NULL;
		g_autofree char *task = g_strdup_printf ("%s.0.0.0", cases[i].id);
		worker_id = dff_memory_runner_worker_of (site.runner, task);
		assert_non_null (worker_id);
		int worker = worker_id[1] - '0';
		site_announce_leaving (&site, worker, cases[i].remaining_ms);
		site_run (&site, cases[i].remaining_ms);
		site_end_worker (&site, worker);
		int64_t took_ms = site_wait_for_state (&site, cases[i].id, "completed", 20000);
		assert_in_range (took_ms + cases[i].remaining_ms, 0,
				 MAX (cases[i].limit_ms, cases[i].remaining_ms + 200));
		assert_int_equal (dff_memory_runner_n_starts (site.runner, cases[i].id),
				  cases[i].n_starts);
		site_close (&site);
	}
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_lost_relay),
		cmocka_unit_test (test_leaving_in_large_fleet),
		cmocka_unit_test (test_cut_off_worker),
		cmocka_unit_test (test_late_worker_reports),
		cmocka_unit_test (test_lost_worker_after_take_overs),
		cmocka_unit_test (test_restarted_worker),
		cmocka_unit_test (test_gang_loses_worker_after_completion),
		cmocka_unit_test (test_late_orders),
		cmocka_unit_test (test_stalled_worker),
		cmocka_unit_test (test_leaving_worker),
		cmocka_unit_test (test_worker_that_leaves_soon),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
