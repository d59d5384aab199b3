#include "tests/holder/site.h"

/* Failed runs of gangs across a takeover: each run is counted once, whatever the order of its
 * record, its acknowledgement and the end of the holder. Each gang has two members. The last one
 * fails; the report on the other, healthy one arrives late. */

#define HEALTHY_TASK ".0.0.0"
#define FAILING_TASK ".0.0.1"
/** Time from a member's failure until it is recorded and acknowledged, ms. */
#define RECORD_MS 150
/** Longest time from a failure until the next attempt has started, ms: the other member's stop
 * takes up to 400 ms; the rest is for reports, one transaction and the starts. */
#define RETRY_MAX_MS 700

static struct dff_memory_worker_faults *
faults_of (struct site *site, const char *job, const char *task)
{
	g_autofree char *name = g_strconcat (job, task, NULL);
	const char *worker_id = dff_memory_runner_worker_of (site->runner, name);
	assert_non_null (worker_id);
	return site->workers[worker_id[1] - '0'];
}

/* Runs until the last member of a gang has failed. */
static void
run_until_failed (struct site *site, const char *job)
{
	g_autofree char *name = g_strconcat (job, FAILING_TASK, NULL);
	for (int i = 0; i < 3000 && dff_memory_runner_worker_of (site->runner, name) == NULL; i++)
		site_run (site, 1);
	for (int i = 0; i < 3000 && dff_memory_runner_worker_of (site->runner, name) != NULL; i++)
		site_run (site, 1);
}

static void
replace_holder (struct site *site)
{
	int holder = site_holder (site);
	assert_int_not_equal (holder, -1);
	site_kill_process (site, holder);
	site_run (site, 300);
	site_start_process (site, holder);
}

/* Guards against starting a gang more often than its attempts allow: the last attempt fails, the
 * failure is recorded and acknowledged, and the holder is killed before the completion of the other
 * member is reported. If the row holds only the number of failed runs, and not that the run in
 * progress is counted, the next holder sees only a broken member. */
static void
test_recorded_failure_counts_for_next_holder (void **state)
{
	(void)state;
	struct site site;
	site_open (&site);
	site_submit (&site, 0, site_plan ("9", 2, true, SITE_ACCELERATORS));
	run_until_failed (&site, "9");
	site_run (&site, 1000);
	struct dff_memory_worker_faults *healthy = faults_of (&site, "9", HEALTHY_TASK);
	healthy->drops_answers = true;
	run_until_failed (&site, "9");
	site_run (&site, RECORD_MS);
	replace_holder (&site);
	healthy->drops_answers = false;
	assert_int_not_equal (site_wait_for_state (&site, "9", "failed", 10000), -1);
	site_run (&site, 3000);
	assert_int_equal (dff_memory_runner_n_starts (site.runner, "9"), 2 * SITE_MAX_ATTEMPTS);
	site_close (&site);
}

/* Guards against counting a failure twice, so that a job fails after one failed run of two allowed:
 * the failure is recorded but not acknowledged, as the store's answer is lost; the holder is
 * killed, and the next holder receives the same failure again. */
static void
test_repeated_failure_counts_once (void **state)
{
	(void)state;
	struct site site;
	site_open (&site);
	site_submit (&site, 0, site_plan ("8", 2, true, SITE_ACCELERATORS));
	site_run (&site, 300);
	struct dff_memory_worker_faults *healthy = faults_of (&site, "8", HEALTHY_TASK);
	healthy->drops_answers = true;
	dff_memory_rows_client_faults (site.processes[site_holder (&site)].rows)->lost_permille =
		1000;
	run_until_failed (&site, "8");
	site_run (&site, RECORD_MS);
	replace_holder (&site);
	healthy->drops_answers = false;
	assert_int_not_equal (site_wait_for_state (&site, "8", "completed", 10000), -1);
	assert_int_equal (dff_memory_runner_n_starts (site.runner, "8"), 2 * 2);
	site_close (&site);
}

static int64_t
n_completed (struct site *site, int process)
{
	return *dff_metrics_counter (site->processes[process].metrics,
				     "dff_holder_jobs_completed_total", "");
}

/* Guards against counting and logging a job as ended before that is recorded, and again by the next
 * holder: the task completes while the store does not answer, the holder is killed, and the next
 * holder receives the completion once more. */
static void
test_completion_is_counted_when_recorded (void **state)
{
	(void)state;
	struct site site;
	site_open (&site);
	site_submit (&site, 0, site_plan ("0", 1, false, 1));
	site_run (&site, 500);
	int holder = site_holder (&site);
	dff_memory_rows_client_faults (site.processes[holder].rows)->silent = true;
	site_run (&site, 1000);
	assert_int_equal (n_completed (&site, holder), 0);
	site_kill_process (&site, holder);
	assert_int_not_equal (site_wait_for_state (&site, "0", "completed", 10000), -1);
	site_run (&site, 200);
	assert_int_equal (n_completed (&site, site_holder (&site)), 1);
	site_close (&site);
}

static int64_t
holder_counter (struct site *site, int process, const char *name)
{
	return *dff_metrics_counter (site->processes[process].metrics, name, "");
}

/* Guards against places that are used but not counted as kept: a worker refuses the start of one
 * member, and the place of the other one is kept. */
static void
test_kept_after_refused_start (void **state)
{
	(void)state;
	struct site site;
	site_open (&site);
	for (size_t i = 0; i < SITE_WORKERS; i += 2)
		site.workers[i]->refuses = true;
	site_submit (&site, 0, site_plan ("a", 2, true, SITE_ACCELERATORS));
	assert_int_not_equal (site_wait_for_state (&site, "a", "completed", 20000), -1);
	int holder = site_holder (&site);
	int64_t kept = holder_counter (&site, holder, "dff_holder_kept_tasks_total");
	int64_t used = holder_counter (&site, holder, "dff_holder_kept_tasks_used_total");
	print_message ("kept: %d, used: %d\n", (int)kept, (int)used);
	assert_true (kept > 0);
	assert_true (used <= kept);
	site_close (&site);
}

/* Guards against a gang that waits because of a faulty worker: its member failed at once on a
 * worker that fails everything, work like it has completed elsewhere, and the pool is idle. The
 * next attempt starts as soon as the other member has been stopped, on other workers. */
static void
test_failing_worker_does_not_delay (void **state)
{
	(void)state;
	struct site site;
	site_open (&site);
	site_submit (&site, 0, site_plan ("a", 1, false, 1));
	assert_int_not_equal (site_wait_for_state (&site, "a", "completed", 5000), -1);
	struct dff_plan *plan = site_plan ("b", 2, true, SITE_ACCELERATORS);
	site_submit (&site, 0, plan);
	g_autofree char *name = g_strconcat ("b", FAILING_TASK, NULL);
	for (int i = 0; i < 3000 && dff_memory_runner_worker_of (site.runner, name) == NULL; i++)
		site_run (&site, 1);
	faults_of (&site, "b", FAILING_TASK)->fails = true;
	int elapsed_ms = 0;
	while (dff_memory_runner_n_starts (site.runner, "b") < 4 && elapsed_ms < 3000) {
		site_run (&site, 1);
		elapsed_ms++;
	}
	assert_in_range (elapsed_ms, 1, RETRY_MAX_MS);
	struct dff_metrics *metrics = site.processes[site_holder (&site)].metrics;
	assert_int_equal (
		*dff_metrics_counter (metrics, "dff_holder_retries_total{cause=\"worker\"}", ""),
		1);
	assert_int_not_equal (site_wait_for_state (&site, "b", "completed", 5000), -1);
	assert_int_equal (dff_memory_runner_n_starts (site.runner, "b"), 4);
	site_close (&site);
}

/* Guards against an attempt too many, or too few, when the holder is killed while a gang waits for
 * its next attempt. */
static void
test_takeover_during_backoff (void **state)
{
	(void)state;
	struct site site;
	site_open (&site);
	site_submit (&site, 0, site_plan ("9", 2, true, SITE_ACCELERATORS));
	run_until_failed (&site, "9");
	g_autofree char *name = g_strconcat ("9", HEALTHY_TASK, NULL);
	for (int i = 0; i < 3000 && dff_memory_runner_worker_of (site.runner, name) != NULL; i++)
		site_run (&site, 1);
	site_run (&site, RECORD_MS);
	assert_int_equal (dff_memory_runner_n_starts (site.runner, "9"), 2);
	replace_holder (&site);
	assert_int_not_equal (site_wait_for_state (&site, "9", "failed", 10000), -1);
	site_run (&site, 3000);
	assert_int_equal (dff_memory_runner_n_starts (site.runner, "9"), 2 * SITE_MAX_ATTEMPTS);
	site_close (&site);
}

/* Guards against a next attempt that starts without its record, or never: the store carries out the
 * transactions around the failure, and its answers are lost. */
static void
test_lost_answers_before_next_attempt (void **state)
{
	(void)state;
	struct site site;
	site_open (&site);
	site_submit (&site, 0, site_plan ("8", 2, true, SITE_ACCELERATORS));
	run_until_failed (&site, "8");
	struct dff_memory_rows_faults *faults =
		dff_memory_rows_client_faults (site.processes[site_holder (&site)].rows);
	faults->lost_permille = 1000;
	site_run (&site, 1500);
	assert_int_equal (dff_memory_runner_n_starts (site.runner, "8"), 2);
	/* A placement counts once it is recorded. */
	int holder = site_holder (&site);
	assert_int_equal (holder_counter (&site, holder, "dff_holder_kept_tasks_used_total"), 0);
	faults->lost_permille = 0;
	assert_int_not_equal (site_wait_for_state (&site, "8", "completed", 10000), -1);
	assert_int_equal (site_holder (&site), holder);
	assert_int_equal (holder_counter (&site, holder, "dff_holder_kept_tasks_total"), 1);
	assert_int_equal (holder_counter (&site, holder, "dff_holder_kept_tasks_used_total"), 1);
	assert_int_equal (dff_memory_runner_n_starts (site.runner, "8"), 2 * 2);
	site_close (&site);
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_recorded_failure_counts_for_next_holder),
		cmocka_unit_test (test_repeated_failure_counts_once),
		cmocka_unit_test (test_completion_is_counted_when_recorded),
		cmocka_unit_test (test_kept_after_refused_start),
		cmocka_unit_test (test_failing_worker_does_not_delay),
		cmocka_unit_test (test_takeover_during_backoff),
		cmocka_unit_test (test_lost_answers_before_next_attempt),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
