#include "tests/holder/site.h"

#include <string.h>

/* Tasks that crash the workers that start them, and those that only look like it. The workers
 * notice a start too many. */

/** Time by which such a job is over, ms: five crashes with the workers' leases to wait for, and
 * take-overs between. */
#define END_LIMIT_MS 120000
/** Starts at the most: of a task under which three workers have crashed, two more. */
#define MAX_STARTS 5

/** Jobs that crash their workers, and as many beside them. */
#define N_OTHER_JOBS 4
/** Times that a worker is lost under a task which is not to blame. */
#define BLAMELESS_LOSSES 6
/** Time until the lease of a worker that is cut off has surely lapsed, ms. */
#define LEASE_EXPIRED_MS 11000

/** Time by which a task is started again, ms. */
#define WAIT_MS 8000
/** Time that a task is at work before its worker tells that it leaves, ms. */
#define RUN_MS 1500
/** Notice of a worker that leaves, ms. */
#define NOTICE_MS 1800

enum worker_loss {
	DFF_LOSS_CUT_OFF,
	DFF_LOSS_LEAVES,
	DFF_LOSS_CRASHES,
	/** And the next one leaves, which the task is stopped for in time. */
	DFF_LOSS_CRASHES_NEXT_LEAVES,
};

struct blameless_case {
	const char *name;
	const char *id;
	enum worker_loss loss;
	/** How long the task is at work between two of them, ms. */
	int64_t between_ms;
};

struct crash_case {
	const char *name;
	const char *id;
	int32_t count;
	int32_t accelerators;
	/** When a crashed worker is back; 0: never. */
	int64_t restart_delay_ms;
	bool gang;
	bool endless;
	/** Whether the process that decides is killed after each crash. */
	bool taken_over;
	/** Whether the first orders to each worker are not answered, and carried out late. */
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

/* Has the holder be killed each time a crashed worker is back, until the job is over. */
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

/* Symptom: one task takes a worker away each three seconds until the day ends, and with it whatever
 * else runs there; its job is never over. Sequence: a worker crashes as it starts the task; another
 * life answers at its address, or its lease lapses; the task is started on the next one, and so on.
 * Cause: only ends that a worker lists as failed cost a task one of its attempts, and a run that
 * goes with its worker has no such end. Shown by: the number of its runs rose without a limit in
 * one process's epoch, at once after each word of its worker's end, and what is counted there now
 * ends it in every one of these cases. */
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
	/* To be given up, a job needs a task under which two workers have crashed. */
	assert_in_range (dff_memory_runner_n_incarnations_ended (site.runner, task), 2, MAX_STARTS);
	assert_in_range (dff_memory_runner_n_starts (site.runner, task), 2, MAX_STARTS);
	site_close (&site);
}

static struct crash_case crash_cases[] = {
	{.name = "single", .id = "x", .count = 1, .accelerators = 1, .restart_delay_ms = 3200},
	{.name = "lease lapses",
	 .id = "x",
	 .count = 1,
	 .accelerators = 1,
	 .restart_delay_ms = 14000},
	{.name = "workers are gone",
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
	{.name = "take-overs",
	 .id = "x",
	 .count = 1,
	 .accelerators = 1,
	 .restart_delay_ms = 3200,
	 .taken_over = true},
	/* The other member has not begun, or is broken. */
	{.name = "gang",
	 .id = "y",
	 .count = 2,
	 .gang = true,
	 .accelerators = 8,
	 .restart_delay_ms = 3200},
	{.name = "gang, take-overs",
	 .id = "y",
	 .count = 2,
	 .gang = true,
	 .accelerators = 8,
	 .restart_delay_ms = 3200,
	 .taken_over = true},
	/* It has been seen at work before. */
	{.name = "late crash", .id = "z", .count = 1, .accelerators = 1, .restart_delay_ms = 3200},
	{.name = "late crash, take-overs",
	 .id = "z",
	 .count = 1,
	 .accelerators = 1,
	 .restart_delay_ms = 3200,
	 .taken_over = true},
};

/* Runs until a task is at work on another worker than @other. Returns: that worker. */
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

/* Has the worker that runs @task be away for good, or for longer than its lease. */
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

/* Symptom: a job is shown as failed though nothing is wrong with it. Sequence: six times its worker
 * is cut off until its lease has lapsed, or leaves, or crashes after the task was at work there for
 * long. Cause: each was counted as if the task had crashed the worker. */
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

/* Symptom: jobs that were started beside one that crashes its workers are given up with it.
 * Sequence: a few jobs are handed in together, some of which crash their workers; whatever was lost
 * with one worker is placed again at the same moment. Cause: it was placed together, so that the
 * same tasks were there whenever a worker ended. */
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
	{.name = "crashes, and sound ends between",
	 .id = "7",
	 .loss = DFF_LOSS_CRASHES_NEXT_LEAVES,
	 .between_ms = 0},
	{.name = "crashes after long", .id = "u", .loss = DFF_LOSS_CRASHES, .between_ms = 70000},
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
