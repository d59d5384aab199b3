#include "tests/holder/site.h"

#include <string.h>

/* Tasks that crash the workers that start them, and tasks that only look like it. The workers
 * detect an excess start. */

/** Longest time until such a job has ended, ms: five crashes, the expiry of the workers' leases,
 * and takeovers in between. */
#define END_LIMIT_MS 120000
/** Maximum number of starts of a task: three crashes of workers, and two more starts. */
#define MAX_STARTS 5

/** Number of jobs that crash their workers, and of other jobs beside them. */
#define N_OTHER_JOBS 4
/** Number of workers lost under a task that is not to blame. */
#define BLAMELESS_LOSSES 6
/** Time after which the lease of a worker that is cut off has certainly expired, ms. */
#define LEASE_EXPIRED_MS 11000

/** Longest time until a task is started again, ms. */
#define WAIT_MS 8000
/** Time for which a task runs before its worker announces that it leaves, ms. */
#define RUN_MS 1500
/** Notice period of a worker that leaves, ms. */
#define NOTICE_MS 1800

enum worker_loss {
	DFF_LOSS_CUT_OFF,
	DFF_LOSS_LEAVES,
	DFF_LOSS_CRASHES,
	/** The worker crashes, and the next worker leaves; the task is stopped there in time. */
	DFF_LOSS_CRASHES_NEXT_LEAVES,
};

struct blameless_case {
	const char *name;
	const char *id;
	enum worker_loss loss;
	/** Time for which the task runs between two losses, ms. */
	int64_t between_ms;
};

struct crash_case {
	const char *name;
	const char *id;
	int32_t count;
	int32_t accelerators;
	/** Time after which a crashed worker is restarted, ms; 0: never. */
	int64_t restart_delay_ms;
	bool gang;
	bool endless;
	/** Whether the holder is killed after each crash. */
	bool taken_over;
	/** Whether the first orders to each worker are not answered and are executed late. */
	bool unanswered;
};

static int32_t
count_incarnations (const struct site *site)
{
	int32_t incarnations = 0;
	for (int i = 0; i < SITE_WORKERS; i++)
		incarnations += site->worker_incarnations[i];
	return incarnations;
}

/* Kills the holder each time a crashed worker has restarted, until the job has failed. */
static void
run_with_take_overs (struct site *site, const char *id)
{
	int32_t incarnations = count_incarnations (site);
	for (int i = 0; i < END_LIMIT_MS / 100; i++) {
		site_run (site, 100);
		int holder = site_holder (site);
		if (count_incarnations (site) == incarnations || holder < 0)
			continue;
		incarnations = count_incarnations (site);
		site_kill_process (site, holder);
		site_run (site, 700);
		site_start_process (site, holder);
		if (strcmp (site_state (site, holder, id), "failed") == 0)
			return;
	}
}

/* Guards against a task that crashes one worker after another, every three seconds and without end,
 * together with everything else that runs there: a worker crashes as it starts the task; its next
 * incarnation answers at the same address, or its lease expires; the task is started on another
 * worker, and its job never ends. Only runs that a worker lists as failed count as attempts, and a
 * run that is lost with its worker is not listed, so the number of runs would rise without limit.
 * The blame points end the job in each of these cases. */
static void
test_task_that_crashes_its_workers (void **state)
{
	const struct crash_case *test_case = *state;
	struct site site;
	site_open (&site);
	site.restart_delay_ms = test_case->restart_delay_ms;
	for (int i = 0; i < SITE_WORKERS && test_case->unanswered; i++) {
		site.workers[i]->late_orders = 1;
		site.workers[i]->late_ms = 600;
	}
	struct dff_plan *plan = site_plan (test_case->id, test_case->count, test_case->gang,
					   test_case->accelerators);
	dff_plan_step (plan, 0)->endless = test_case->endless;
	assert_int_equal (site_submit (&site, 0, plan), DFF_FRONT_OK);
	if (test_case->taken_over)
		run_with_take_overs (&site, test_case->id);
	int64_t took_ms = site_wait_for_state (&site, test_case->id, "failed", END_LIMIT_MS);
	const char *violation = dff_memory_runner_violation (site.runner);
	if (violation != NULL)
		fail_msg ("%s", violation);
	assert_int_not_equal (took_ms, -1);
	site_run (&site, 10000);
	g_autofree char *task = g_strdup_printf ("%s.0.0.%d", test_case->id, test_case->count - 1);
	/* A job is failed only if two workers have crashed under one of its tasks. */
	assert_in_range (dff_memory_runner_n_incarnations_ended (site.runner, task), 2, MAX_STARTS);
	assert_in_range (dff_memory_runner_n_starts (site.runner, task), 2, MAX_STARTS);
	site_close (&site);
}

static struct crash_case crash_cases[] = {
	{.name = "single", .id = "x", .count = 1, .accelerators = 1, .restart_delay_ms = 3200},
	{.name = "lease expires",
	 .id = "x",
	 .count = 1,
	 .accelerators = 1,
	 .restart_delay_ms = 14000},
	{.name = "workers do not restart",
	 .id = "x",
	 .count = 1,
	 .accelerators = 1,
	 .restart_delay_ms = 0},
	{.name = "endless",
	 .id = "x",
	 .count = 1,
	 .accelerators = 1,
	 .restart_delay_ms = 3200,
	 .endless = true},
	{.name = "late orders",
	 .id = "x",
	 .count = 1,
	 .accelerators = 1,
	 .restart_delay_ms = 3200,
	 .unanswered = true},
	{.name = "takeovers",
	 .id = "x",
	 .count = 1,
	 .accelerators = 1,
	 .restart_delay_ms = 3200,
	 .taken_over = true},
	/* The other member has not started, or its gang is broken. */
	{.name = "gang",
	 .id = "y",
	 .count = 2,
	 .gang = true,
	 .accelerators = 8,
	 .restart_delay_ms = 3200},
	{.name = "gang, takeovers",
	 .id = "y",
	 .count = 2,
	 .gang = true,
	 .accelerators = 8,
	 .restart_delay_ms = 3200,
	 .taken_over = true},
	/* The task has been reported as running before the crash. */
	{.name = "late crash", .id = "z", .count = 1, .accelerators = 1, .restart_delay_ms = 3200},
	{.name = "late crash, takeovers",
	 .id = "z",
	 .count = 1,
	 .accelerators = 1,
	 .restart_delay_ms = 3200,
	 .taken_over = true},
};

/* Runs until a task runs on another worker than @other. Returns: that worker. */
static int
wait_for_run (struct site *site, const char *task, int other)
{
	for (int i = 0; i < WAIT_MS / 10; i++) {
		const char *worker_id = dff_memory_runner_worker_of (site->runner, task);
		if (worker_id != NULL && worker_id[1] - '0' != other)
			return worker_id[1] - '0';
		site_run (site, 10);
	}
	fail_msg ("%s is not started", task);
	return -1;
}

/* Makes the worker that runs @task unavailable for good, or for longer than its lease. */
static void
lose_worker (struct site *site, const char *task, enum worker_loss loss)
{
	int worker = wait_for_run (site, task, -1);
	switch (loss) {
	case DFF_LOSS_CUT_OFF:
		site->workers[worker]->drops_calls = true;
		site_run (site, LEASE_EXPIRED_MS);
		site->workers[worker]->drops_calls = false;
		return;
	case DFF_LOSS_LEAVES:
		site_announce_leaving (site, worker, 500);
		site_run (site, 500);
		site_restart_worker (site, worker);
		return;
	case DFF_LOSS_CRASHES:
		site_restart_worker (site, worker);
		return;
	case DFF_LOSS_CRASHES_NEXT_LEAVES:
		site_restart_worker (site, worker);
		worker = wait_for_run (site, task, worker);
		site_run (site, RUN_MS);
		site_announce_leaving (site, worker, NOTICE_MS);
		wait_for_run (site, task, worker);
		site_restart_worker (site, worker);
		return;
	}
}

/* Guards against failing a job without a fault of its own: six times its worker is cut off until
 * the lease has expired, or leaves, or crashes after the task has run for long. None of these may
 * count as a crash caused by the task. */
static void
test_task_that_is_not_to_blame (void **state)
{
	const struct blameless_case *test_case = *state;
	struct site site;
	site_open (&site);
	assert_int_equal (site_submit (&site, 0, site_plan (test_case->id, 1, false, 1)),
			  DFF_FRONT_OK);
	g_autofree char *task = g_strdup_printf ("%s.0.0.0", test_case->id);
	for (int i = 0; i < BLAMELESS_LOSSES; i++) {
		site_run (&site, test_case->between_ms);
		lose_worker (&site, task, test_case->loss);
	}
	assert_int_not_equal (site_wait_for_state (&site, test_case->id, "completed", 120000), -1);
	bool twice = test_case->loss == DFF_LOSS_CRASHES_NEXT_LEAVES;
	int32_t n_starts = (twice ? 2 : 1) * BLAMELESS_LOSSES + 1;
	assert_int_equal (dff_memory_runner_n_starts (site.runner, task), n_starts);
	site_close (&site);
}

/* Guards against failing jobs together with one that crashes its workers: several jobs are
 * submitted together, some of which crash their workers, and the tasks lost with one worker are
 * placed again at the same moment. If they were placed together again, the same tasks would be
 * present at every crash. */
static void
test_jobs_beside_crashing_jobs (void **state)
{
	(void)state;
	struct site site;
	site_open (&site);
	for (int i = 0; i < N_OTHER_JOBS; i++) {
		g_autofree char *crashing = g_strdup_printf ("x%d", i);
		g_autofree char *healthy = g_strdup_printf ("a%d", i);
		assert_int_equal (site_submit (&site, 0, site_plan (crashing, 1, false, 1)),
				  DFF_FRONT_OK);
		assert_int_equal (site_submit (&site, 0, site_plan (healthy, 1, false, 1)),
				  DFF_FRONT_OK);
	}
	for (int i = 0; i < N_OTHER_JOBS; i++) {
		g_autofree char *crashing = g_strdup_printf ("x%d", i);
		g_autofree char *healthy = g_strdup_printf ("a%d", i);
		assert_int_not_equal (site_wait_for_state (&site, crashing, "failed", END_LIMIT_MS),
				      -1);
		assert_int_not_equal (
			site_wait_for_state (&site, healthy, "completed", END_LIMIT_MS), -1);
	}
	site_close (&site);
}

static struct blameless_case blameless_cases[] = {
	{.name = "cut off", .id = "7", .loss = DFF_LOSS_CUT_OFF, .between_ms = 2000},
	{.name = "workers leave", .id = "7", .loss = DFF_LOSS_LEAVES, .between_ms = 2000},
	{.name = "crashes, next worker leaves",
	 .id = "7",
	 .loss = DFF_LOSS_CRASHES_NEXT_LEAVES,
	 .between_ms = 0},
	{.name = "crashes after a long run",
	 .id = "u",
	 .loss = DFF_LOSS_CRASHES,
	 .between_ms = 70000},
};

int
main (void)
{
	size_t n_crashes = G_N_ELEMENTS (crash_cases);
	struct CMUnitTest tests[G_N_ELEMENTS (crash_cases) + G_N_ELEMENTS (blameless_cases) + 1];
	for (size_t i = 0; i < n_crashes; i++) {
		tests[i] = (struct CMUnitTest){.name = crash_cases[i].name,
					       .test_func = test_task_that_crashes_its_workers,
					       .initial_state = &crash_cases[i]};
	}
	for (size_t i = 0; i < G_N_ELEMENTS (blameless_cases); i++) {
		tests[n_crashes + i] =
			(struct CMUnitTest){.name = blameless_cases[i].name,
					    .test_func = test_task_that_is_not_to_blame,
					    .initial_state = &blameless_cases[i]};
	}
	tests[G_N_ELEMENTS (tests) - 1] =
		(struct CMUnitTest)cmocka_unit_test (test_jobs_beside_crashing_jobs);
	site_tests_begin (tests, G_N_ELEMENTS (tests));
	return cmocka_run_group_tests (tests, NULL, NULL);
}
