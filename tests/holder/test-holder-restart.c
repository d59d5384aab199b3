#include "tests/holder/site.h"

/* Units that would be late where they run: the holder restarts them on other workers. */

#define TASK_MS 6000
/** Times as long as elsewhere that tasks take on a slow worker. */
#define SLOW_TIMES 7

static int64_t
restarts (const struct site *site, const char *reason)
{
	g_autofree char *name =
		g_strdup_printf ("dff_holder_units_restarted_total{reason=\"%s\"}", reason);
	int64_t sum = 0;
	for (int i = 0; i < SITE_PROCESSES; i++) {
		if (site->processes[i].alive)
			sum += *dff_metrics_counter (site->processes[i].metrics, name, "");
	}
	return sum;
}

/* Returns: (transfer full): a plan with an objective of @stretch times its duration and 250 ms. */
static struct dff_plan *
plan_with (const char *id, int32_t count, bool gang, int32_t priority, double stretch)
{
	struct dff_plan *plan = site_plan (id, count, gang, SITE_ACCELERATORS);
	plan->priority = priority;
	plan->stretch = stretch;
	plan->target_latency_ms = 250;
	dff_plan_step (plan, 0)->estimate_ms = TASK_MS;
	return plan;
}

static int
worker_of (const struct site *site, const char *task)
{
	const char *id = dff_memory_runner_worker_of (site->runner, task);
	assert_non_null (id);
	return id[1] - '0';
}

/* Guards against urgent work that waits on a worker without progress for the fixed times, although
 * it may be late then: it takes 6 s, and restarted in time it has ended after 9.6 s. */
static void
test_urgent_task_stands_still (void **state)
{
	(void)state;
	static const struct {
		int32_t priority;
		double stretch;
		int64_t n_restarts;
	} cases[] = {
		{0, 1.8, 1},
		/* Without an objective, and bulk, the fixed times apply. */
		{0, 0.0, 0},
		{2, 1.8, 0},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct site site;
		site_open (&site);
		struct dff_plan *plan =
			plan_with ("1", 1, false, cases[i].priority, cases[i].stretch);
		site_submit (&site, 0, plan);
		site_run (&site, 900);
		int stood = worker_of (&site, "1.0.0.0");
		site.workers[stood]->hung = true;
		int64_t took_ms = site_wait_for_state (&site, "1", "completed", 20000);
		assert_int_not_equal (took_ms, -1);
		assert_int_equal (restarts (&site, "standing"), cases[i].n_restarts);
		assert_int_equal (dff_memory_runner_n_starts (site.runner, "1"), 2);
		if (cases[i].n_restarts > 0)
			assert_in_range (took_ms + 900, 0, 9600);
		site_close (&site);
	}
}

/* Guards against waiting for two reports of a worker on which an urgent task never begins to
 * progress: the first one shows it, if it comes late enough. */
static void
test_urgent_task_never_progresses (void **state)
{
	(void)state;
	struct site site;
	site_open (&site);
	site_submit (&site, 0, plan_with ("1", 1, false, 0, 1.6));
	site_run (&site, 30);
	int stood = worker_of (&site, "1.0.0.0");
	site.workers[stood]->hung = true;
	assert_in_range (site_wait_for_state (&site, "1", "completed", 20000), 0, 8500);
	assert_int_equal (restarts (&site, "standing"), 1);
	assert_int_equal (dff_memory_runner_n_starts (site.runner, "1"), 2);
	site_close (&site);
}

static void
slow_rack (struct site *site, int rack, int32_t times)
{
	for (int i = 0; i < SITE_PER_RACK; i++)
		site->workers[rack * SITE_PER_RACK + i]->slow_times = times;
}

/* Guards against a gang that runs to its late end because of one slow worker while a rack is free,
 * against restarting a gang that is slow on all of its workers, and against restarting bulk. */
static void
test_slow_gang (void **state)
{
	(void)state;
	static const struct {
		int32_t priority;
		bool all_slow;
		int64_t n_restarts;
	} cases[] = {{1, false, 1}, {1, true, 0}, {2, false, 0}};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct site site;
		site_open (&site);
		site_submit (&site, 0, plan_with ("g", 3, true, cases[i].priority, 3.0));
		site_run (&site, 200);
		int slow = worker_of (&site, "g.0.0.1");
		if (cases[i].all_slow)
			slow_rack (&site, slow / SITE_PER_RACK, SLOW_TIMES);
		site.workers[slow]->slow_times = SLOW_TIMES;
		site_run (&site, 5000);
		assert_int_equal (restarts (&site, "slow"), cases[i].n_restarts);
		assert_int_equal (dff_memory_runner_n_starts (site.runner, "g"),
				  3 * (1 + cases[i].n_restarts));
		assert_int_not_equal (site_wait_for_state (&site, "g", "completed", 60000), -1);
		site_close (&site);
	}
}

/* Guards against taking one pause of a task for its pace: its next report shows hardly any
 * progress, and it is in time. */
static void
test_pause (void **state)
{
	(void)state;
	for (int pause_ms = 700; pause_ms <= 1100; pause_ms += 100) {
		struct site site;
		site_open (&site);
		site_submit (&site, 0, plan_with ("g", 3, true, 1, 3.0));
		site_run (&site, 900);
		int slow = worker_of (&site, "g.0.0.1");
		site.workers[slow]->hung = true;
		site_run (&site, pause_ms);
		site.workers[slow]->hung = false;
		assert_int_not_equal (site_wait_for_state (&site, "g", "completed", 20000), -1);
		assert_int_equal (dff_memory_runner_n_starts (site.runner, "g"), 3);
		site_close (&site);
	}
}

/* Guards against a storm of restarts after a takeover: the gang was restarted once, its new rack is
 * slow in part too, and the next holder must not restart it again. */
static void
test_takeover_after_restart (void **state)
{
	(void)state;
	struct site site;
	site_open (&site);
	site_submit (&site, 0, plan_with ("g", 3, true, 1, 3.0));
	site_run (&site, 200);
	int slow = worker_of (&site, "g.0.0.1");
	site.workers[slow]->slow_times = SLOW_TIMES;
	for (int i = 0; i < 60 && restarts (&site, "slow") == 0; i++)
		site_run (&site, 100);
	assert_int_equal (restarts (&site, "slow"), 1);
	site_run (&site, 600);
	int next = worker_of (&site, "g.0.0.1");
	assert_int_not_equal (next / SITE_PER_RACK, slow / SITE_PER_RACK);
	site.workers[slow]->slow_times = 0;
	/* All of the new rack is slow, so that the gang is still running when the new holder knows
	 * its pace, and one worker more than the others. */
	slow_rack (&site, next / SITE_PER_RACK, 2);
	site.workers[next]->slow_times = 2 * SLOW_TIMES;
	site_kill_process (&site, site_holder (&site));
	assert_int_not_equal (site_wait_for_state (&site, "g", "completed", 60000), -1);
	assert_int_equal (dff_memory_runner_n_starts (site.runner, "g"), 6);
	assert_int_equal (restarts (&site, "slow"), 0);
	site_close (&site);
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_urgent_task_stands_still),
		cmocka_unit_test (test_urgent_task_never_progresses),
		cmocka_unit_test (test_slow_gang),
		cmocka_unit_test (test_pause),
		cmocka_unit_test (test_takeover_after_restart),
	};
	site_tests_begin (tests, G_N_ELEMENTS (tests));
	return cmocka_run_group_tests (tests, NULL, NULL);
}
