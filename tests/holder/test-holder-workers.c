#include "tests/holder/site.h"

#include <string.h>

/* The holder with faulty workers. */

/* Runs a long task on each worker. */
static void
run_task_on_each_worker (struct site *site)
{
	struct dff_plan *plan = site_plan ("1", SITE_WORKERS, false, 1);
	dff_plan_step (plan, 0)->per_worker = 1;
	site_submit (site, 0, plan);
	site_run (site, 400);
}

/** Number of workers of a large fleet that do nothing but write their entries, and the interval of
 * the entries, ms. */
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

/* Guards against assigning tasks to a leaving worker for seconds after its announcement: 900
 * workers write their entries three times a second, and one answer of the store holds at most 500
 * rows. After a full answer the holder must not wait for its next interval, or it falls behind. */
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

/* Guards against tasks that run twice, are lost or wait for seconds: calls to workers go through
 * relays; one or both of the relays are killed or become silent. Calls through a lost relay have to
 * end, and must not be taken for unsent. */
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

/* Guards against two concurrent runs of a task: its worker is cut off and continues to run it; the
 * task must not be started elsewhere before the worker's lease has expired on the worker's own,
 * slower clock. */
static void
test_cut_off_worker (void **state)
{
	(void)state;
	static const struct {
		int64_t cut_ms;
		/** Number of starts of the six tasks, one on each worker. */
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

/* Guards against logging a run as orphaned and stopping it although it has ended: a gang of two
 * ends; the worker of one member reports the end, and then an older list of the other worker
 * arrives. The list must not be taken for newer than it is. */
static void
test_late_worker_reports (void **state)
{
	(void)state;
	struct site site;
	site_open (&site);
	for (int i = 0; i < SITE_WORKERS; i++)
		site.workers[i]->answer_ms = i % 2 == 0 ? 0 : 300;
	/* Single tasks on each worker; some of them end just before the gang. */
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

/* Guards against restarting the runs of unreachable workers 19 s late after a takeover, and against
 * beginning this wait again at each further takeover: holders are killed and restarted while a
 * worker is cut off. A holder must not assume that its predecessor continues to renew leases for as
 * long as it may, when another incarnation of the predecessor's process has answered. */
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

/* Guards against waiting for the lease of a crashed worker to expire: its next incarnation answers
 * at the same address, which proves that its runs have ended. */
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

/* Guards against starting a completed gang again: its members end together; the worker of one is
 * lost before its completion is received, and the other member's completion is received after that.
 * See complete_unit(). */
static void
test_gang_loses_worker_after_completion (void **state)
{
	(void)state;
	struct site site;
	site_open (&site);
	/* Each member takes seven of eight accelerators, so that the members are on two workers. */
	site_submit (&site, 0, site_plan ("5", 2, true, 7));
	site_run (&site, 2500);
	int lost = dff_memory_runner_worker_of (site.runner, "5.0.0.0")[1] - '0';
	for (int i = 0; i < SITE_WORKERS; i++)
		site.workers[i]->drops_answers = true;
	site_run (&site, 1000);
	assert_null (dff_memory_runner_worker_of (site.runner, "5.0.0.0"));
	site_restart_worker (&site, lost);
	/* The next incarnation has answered by now, and the other member is to be stopped. */
	site_run (&site, 1500);
	for (int i = 0; i < SITE_WORKERS; i++)
		site.workers[i]->drops_answers = false;
	assert_in_range (site_wait_for_state (&site, "5", "completed", 5000), 0, 2000);
	site_run (&site, 3000);
	assert_int_equal (dff_memory_runner_n_starts (site.runner, "5"), 2);
	site_close (&site);
}

/* Guards against running cancelled tasks, and against running tasks twice: orders are not answered
 * and are executed seconds later, after newer orders. */
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

/* Guards against a stalled worker that delays its tasks without limit: it continues to answer and
 * lists its tasks as running. Their progress has to be checked. */
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
	/* The stalled task resumes on another worker from its checkpoint, once the other tasks have
	 * ended. */
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

/* Guards against restarting the tasks of a removed worker ten seconds late and from their
 * beginning: a worker announces that it leaves in 1.8 s, and is then gone together with its longer
 * tasks. It is not enough to place nothing new there: the running tasks have to be stopped in time,
 * because a removed worker looks like one that is cut off. */
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
		/* Six seconds of work, 0.6 s of it done: restarted from the beginning. */
		{"1", 8, 1800, 8000, 2},
		/* The same with a checkpoint: resumed from it. */
		{"4", 8, 1800, 6500, 2},
		/* The task ends before the worker leaves. */
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
