#include "core_fixture.h"

/* Workers on which every job fails, and jobs that fail on every worker. Four workers with one
 * accelerator each; commands are answered at once. */

#define N_WORKERS 4
/** Jobs whose name has this prefix fail wherever they start. */
#define BAD_PREFIX "bad"
/** Jobs whose name has this prefix run until the test completes them. */
#define SLOW_PREFIX "slow"
#define SECOND_MS INT64_C (1000)
#define MINUTE_MS (60 * SECOND_MS)
/** Number of tasks that run on the worker before it becomes faulty, one on each accelerator. */
#define N_BEFORE 8
/** Number of different jobs that fail on a worker before it is quarantined. */
#define FAILURES_TO_QUARANTINE 2

struct run {
	struct dff_core *core;
	struct dff_pool pool;
	int64_t now_ms;
	int n_jobs;
	/** Worker on which every started task fails; NULL: none. */
	const char *bad_worker;
	/** Worker of the current attempt of each job. Key: job, value: worker. */
	GHashTable *placed;
	/** Number of starts by worker, and of starts of bad jobs by worker. */
	GHashTable *starts;
	GHashTable *bad_starts;
	int n_completed;
	int n_failed;
};

static struct dff_core_options
default_options (void)
{
	struct dff_core_options options;
	dff_core_options_init (&options);
	return options;
}

static void
begin_with (struct run *run, int32_t accelerators, struct dff_core_options options)
{
	*run = (struct run){.core = dff_core_new (&options)};
	run->placed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
	run->starts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
	run->bad_starts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
	fixture_pool_init (&run->pool, 1, N_WORKERS, accelerators);
	fixture_pool_add_team (&run->pool, "a", 0, 0);
	dff_core_set_pool (run->core, &run->pool, 0);
	for (int i = 0; i < N_WORKERS; i++) {
		g_autofree char *worker = g_strdup_printf ("w%d", i);
		fixture_worker_state (run->core, worker, DFF_WORKER_UP);
	}
}

static void
begin (struct run *run)
{
	begin_with (run, 1, default_options ());
}

static void
end (struct run *run)
{
	g_hash_table_unref (run->placed);
	g_hash_table_unref (run->starts);
	g_hash_table_unref (run->bad_starts);
	dff_core_free (run->core);
	fixture_pool_clear (&run->pool);
}

static int
count (GHashTable *table, const char *worker)
{
	return GPOINTER_TO_INT (g_hash_table_lookup (table, worker));
}

static void
increment (GHashTable *table, const char *worker)
{
	int n = count (table, worker) + 1;
	g_hash_table_replace (table, g_strdup (worker), GINT_TO_POINTER (n));
}

static void
send_event (struct run *run, enum dff_event_type type, const struct dff_command *command)
{
	struct dff_event event = {.type = type, .job = command->job, .attempt = command->attempt};
	dff_core_handle_event (run->core, &event, run->now_ms);
}

static void
start (struct run *run, const struct dff_command *command)
{
	const char *worker = g_hash_table_lookup (run->placed, command->job.data);
	bool bad_job = g_str_has_prefix (command->job.data, BAD_PREFIX);
	bool fails = bad_job || g_strcmp0 (worker, run->bad_worker) == 0;
	increment (run->starts, worker);
	if (bad_job)
		increment (run->bad_starts, worker);
	send_event (run, DFF_EVENT_TASK_STARTED, command);
	if (g_str_has_prefix (command->job.data, SLOW_PREFIX))
		return;
	send_event (run, fails ? DFF_EVENT_TASK_FAILED : DFF_EVENT_TASK_COMPLETED, command);
}

static void
answer (struct run *run, const struct dff_command *command)
{
	switch (command->type) {
	case DFF_COMMAND_RECORD_START:
		g_hash_table_replace (
			run->placed, g_strdup (command->job.data),
			g_strdup (g_array_index (command->placements, struct dff_placement, 0)
					  .worker.data));
		send_event (run, DFF_EVENT_ATTEMPT_RECORDED, command);
		break;
	case DFF_COMMAND_START_TASK:
		start (run, command);
		break;
	case DFF_COMMAND_RECORD_OUTCOME:
		run->n_completed += command->outcome == DFF_OUTCOME_COMPLETED;
		run->n_failed += command->outcome == DFF_OUTCOME_FAILED;
		send_event (run, DFF_EVENT_OUTCOME_RECORDED, command);
		break;
	default:
		break;
	}
}

/* Ticks until the core gives no more commands at the current time. */
static void
tick_until_idle (struct run *run)
{
	g_autoptr (GArray) commands = g_array_new (FALSE, TRUE, sizeof (struct dff_command));
	do {
		dff_core_tick (run->core, run->now_ms, commands);
		for (guint i = 0; i < commands->len; i++)
			answer (run, &g_array_index (commands, struct dff_command, i));
	} while (commands->len > 0);
}

static void
submit (struct run *run, const char *id, int max_attempts)
{
	struct dff_job_spec spec = fixture_spec (id, 1, 1);
	spec.max_attempts = max_attempts;
	struct dff_event event = {.type = DFF_EVENT_JOB_SUBMITTED, .spec = &spec};
	dff_core_handle_event (run->core, &event, run->now_ms);
}

/* Submits one job a second for @duration_ms. */
static void
submit_jobs_for (struct run *run, int64_t duration_ms)
{
	for (int64_t end_ms = run->now_ms + duration_ms; run->now_ms < end_ms;
	     run->now_ms += SECOND_MS) {
		g_autofree char *id = g_strdup_printf ("j%d", run->n_jobs++);
		submit (run, id, 3);
		tick_until_idle (run);
	}
}

/* Guards against a worker that fails at once being always the first one free, so that half of all
 * jobs fail on it: its failures have to be counted. And against a repaired worker that is never
 * tried again: it fails every job for ten minutes, then recovers. */
static void
test_worker_that_fails_everything (void **state)
{
	(void)state;
	struct run run;
	begin (&run);
	run.bad_worker = "w0";
	submit_jobs_for (&run, MINUTE_MS / 2);
	assert_int_equal (count (run.starts, "w0"), FAILURES_TO_QUARANTINE);
	submit_jobs_for (&run, 10 * MINUTE_MS);
	/* One probe each after one, two and four more minutes. */
	assert_in_range (count (run.starts, "w0"), FAILURES_TO_QUARANTINE + 1,
			 FAILURES_TO_QUARANTINE + 4);
	assert_int_equal (run.n_failed, 0);
	run.bad_worker = NULL;
	submit_jobs_for (&run, 20 * MINUTE_MS);
	assert_true (count (run.starts, "w0") > 100);
	end (&run);
}

static void
pass_time (struct run *run, int64_t duration_ms)
{
	for (int64_t end_ms = run->now_ms + duration_ms; run->now_ms < end_ms;
	     run->now_ms += SECOND_MS)
		tick_until_idle (run);
}

static int64_t
workers_quarantined (const struct run *run)
{
	struct dff_core_stats stats;
	dff_core_get_stats (run->core, &stats);
	return stats.workers_quarantined;
}

/* Guards against quarantining healthy workers one after the other: a job fails wherever it is
 * started while other jobs succeed in between, so its failures must not be blamed on the
 * workers. */
static void
test_job_that_fails_everywhere (void **state)
{
	(void)state;
	struct run run;
	begin (&run);
	submit (&run, "bad", N_WORKERS);
	submit_jobs_for (&run, 5 * MINUTE_MS);
	assert_int_equal (run.n_failed, 1);
	assert_int_equal (run.n_completed, run.n_jobs);
	assert_int_equal (g_hash_table_size (run.bad_starts), N_WORKERS);
	assert_int_equal (workers_quarantined (&run), 0);
	end (&run);
}

/* Guards against two bad jobs closing a pool: both fail on every worker and no other job runs that
 * would clear a worker. The failures of a job must not count against a worker once the job has
 * failed on others. */
static void
test_two_jobs_that_fail_everywhere (void **state)
{
	(void)state;
	struct run run;
	begin (&run);
	submit (&run, "bad0", N_WORKERS);
	submit (&run, "bad1", N_WORKERS);
	pass_time (&run, MINUTE_MS / 2);
	assert_in_range (workers_quarantined (&run), 0, N_WORKERS / 2);
	submit_jobs_for (&run, 10 * MINUTE_MS);
	assert_int_equal (run.n_failed, 2);
	assert_int_equal (run.n_completed, run.n_jobs);
	assert_int_equal (workers_quarantined (&run), 0);
	end (&run);
}

/* Guards against one team's batch closing the region, so that another team's guaranteed gang waits
 * for a minute or longer. More jobs than there are workers fail at once wherever they run, so each
 * worker sees two different jobs fail. Found with real processes: 64 jobs put all of 16 workers
 * into quarantine within 2 s. */
static void
test_many_jobs_that_fail_everywhere (void **state)
{
	(void)state;
	struct run run;
	begin (&run);
	for (int i = 0; i < 8 * N_WORKERS; i++) {
		g_autofree char *id = g_strdup_printf ("bad%d", i);
		submit (&run, id, N_WORKERS);
	}
	for (int i = 0; i < 30; i++) {
		pass_time (&run, SECOND_MS);
		assert_in_range (workers_quarantined (&run), 0, N_WORKERS / 4);
	}
	int n_completed = run.n_completed;
	submit (&run, "good", 1);
	pass_time (&run, 5 * SECOND_MS);
	assert_int_equal (run.n_completed, n_completed + 1);
	end (&run);
}

static void
complete_slow (struct run *run, int index)
{
	struct dff_event event = {.type = DFF_EVENT_TASK_COMPLETED, .attempt = 1};
	event.job = dff_name_printf (SLOW_PREFIX "%d", index);
	dff_core_handle_event (run->core, &event, run->now_ms);
}

/* Guards against a faulty worker getting dozens of tasks in a few seconds, so that a third of the
 * urgent gangs meet one such worker in both of their attempts. The worker runs several tasks and
 * then fails what it starts, while tasks that began earlier complete there, one a second. These
 * completions must not count as a sign of health. */
static void
test_success_of_run_begun_before_failures (void **state)
{
	(void)state;
	struct run run;
	begin_with (&run, N_BEFORE, default_options ());
	for (int i = 0; i < N_BEFORE; i++) {
		g_autofree char *id = g_strdup_printf (SLOW_PREFIX "%d", i);
		submit (&run, id, 3);
	}
	tick_until_idle (&run);
	run.bad_worker = "w0";
	assert_int_equal (count (run.starts, "w0"), N_BEFORE);
	for (int i = 0; i < N_BEFORE; i++) {
		submit_jobs_for (&run, SECOND_MS);
		complete_slow (&run, i);
	}
	submit_jobs_for (&run, MINUTE_MS / 2);
	assert_int_equal (count (run.starts, "w0") - N_BEFORE, FAILURES_TO_QUARANTINE);
	assert_int_equal (run.n_failed, 0);
	end (&run);
}

/* Guards against an urgent gang, which has two attempts, meeting a faulty worker in both: one gang
 * in nine failed that way. The worker fails what it starts within moments; an early failure has to
 * quarantine it without a second one. A job that fails early wherever it runs must not close the
 * pool by that. */
static void
test_early_failures (void **state)
{
	(void)state;
	struct run run;
	struct dff_core_options options = default_options ();
	options.early_failure_share = 0.1;
	begin_with (&run, 1, options);
	run.bad_worker = "w0";
	submit_jobs_for (&run, MINUTE_MS / 2);
	assert_int_equal (count (run.starts, "w0"), 1);
	assert_int_equal (run.n_failed, 0);
	end (&run);
	begin_with (&run, 1, options);
	submit (&run, "bad", N_WORKERS);
	pass_time (&run, MINUTE_MS);
	assert_in_range (workers_quarantined (&run), 0, 1);
	assert_int_equal (g_hash_table_size (run.bad_starts), N_WORKERS);
	assert_int_equal (run.n_failed, 1);
	end (&run);
}

/* Failures half-way through the run, as caused by the work itself, quarantine no worker. */
static void
test_late_failure (void **state)
{
	(void)state;
	struct run run;
	struct dff_core_options options = default_options ();
	options.early_failure_share = 0.1;
	begin_with (&run, 1, options);
	submit (&run, SLOW_PREFIX "0", 3);
	tick_until_idle (&run);
	run.now_ms += MINUTE_MS;
	struct dff_event event = {.type = DFF_EVENT_TASK_FAILED, .attempt = 1};
	event.job = dff_name_from (SLOW_PREFIX "0");
	dff_core_handle_event (run.core, &event, run.now_ms);
	tick_until_idle (&run);
	assert_int_equal (workers_quarantined (&run), 0);
	end (&run);
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_worker_that_fails_everything),
		cmocka_unit_test (test_job_that_fails_everywhere),
		cmocka_unit_test (test_two_jobs_that_fail_everywhere),
		cmocka_unit_test (test_many_jobs_that_fail_everywhere),
		cmocka_unit_test (test_success_of_run_begun_before_failures),
		cmocka_unit_test (test_early_failures),
		cmocka_unit_test (test_late_failure),
	};
	return cmocka_run_group_tests_name ("core-bad-workers", tests, NULL, NULL);
}
