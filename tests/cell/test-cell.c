#include "tests/cell/cell_faults.h"

/* One fault at a time, at every step of a job. The harness checks the invariants after every step;
 * the tests check how the job ends. */

/** Checks that spans called @names ended in this order. */
static void
check_spans (const struct harness *harness, const char *const *names, size_t n_names)
{
	const char *at = harness->spans->str;
	for (size_t i = 0; i < n_names; i++) {
		g_autofree char *quoted = g_strdup_printf ("\"%s\"", names[i]);
		const char *found = strstr (at, quoted);
		assert_non_null (found);
		at = strchr (found, '\n');
		assert_non_null (at);
	}
}

static void
test_jobs_complete (void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS (shapes); i++) {
		struct harness harness;
		begin (&harness, 1);
		int job = harness_submit (&harness, shapes[i].gang, shapes[i].idempotent);
		assert_int_equal (harness_run_job (&harness, job, 5000), DFF_OUTCOME_COMPLETED);
		assert_int_equal (harness_runs (&harness, job), shapes[i].gang);
		const struct dff_job_row *row = harness_row (&harness, job);
		assert_string_equal (row->result.manifest_key.data, "result");
		assert_int_equal (row->attempt, 1);
		g_autoptr (GString) status = g_string_new (NULL);
		dff_cell_status (harness.processes[0].cell, status);
		assert_non_null (strstr (status->str, "\"accepted\":1"));
		assert_non_null (strstr (status->str, "\"completed\":1"));
		static const char *const stages[] = {"queue", "decide", "record",
						     "start", "run",    "record"};
		check_spans (&harness, stages, G_N_ELEMENTS (stages));
		harness_clear (&harness);
	}
}

/* Guards against work that is lost or runs twice because a step left nothing durable: the holder
 * dies at any step between submission and end, and another process takes over. */
static void
test_holder_dies_at_every_step (void **state)
{
	(void)state;
	for (int i = 0; i < (int)G_N_ELEMENTS (shapes) * FAULT_STEPS; i++) {
		const struct shape *shape = &shapes[i / FAULT_STEPS];
		struct harness harness;
		begin (&harness, 2);
		int job = harness_submit (&harness, shape->gang, shape->idempotent);
		int step = i % FAULT_STEPS;
		harness_run (&harness, (int64_t)step * HARNESS_STEP_MS);
		harness_kill (&harness, 0);
		check_outcome (&harness, job, shape, "death", step);
	}
}

/* Guards against commands that are sent without comparing the lease with the clock. The holder is
 * paused past its lease at any step and resumes while the next holder acts: it must not start,
 * release or stop what the next holder decides about. */
static void
test_holder_is_paused_at_every_step (void **state)
{
	(void)state;
	for (int i = 0; i < (int)G_N_ELEMENTS (shapes) * FAULT_STEPS * 2; i++) {
		const struct shape *shape = &shapes[i / 2 / FAULT_STEPS];
		struct harness harness;
		begin (&harness, 3);
		harness.fleet.checks_epochs = i % 2 == 0;
		int job = harness_submit (&harness, shape->gang, shape->idempotent);
		int step = i / 2 % FAULT_STEPS;
		harness_run (&harness, (int64_t)step * HARNESS_STEP_MS);
		harness_pause (&harness, 0, true);
		harness_run (&harness, 5400);
		harness_pause (&harness, 0, false);
		check_outcome (&harness, job, shape, "pause", step);
	}
}

/* Guards against taking a lost answer for a failed write. The answer to one write of the holder is
 * lost, and the write takes effect at once, late or never: a job would be recorded twice, started
 * without a record, or reported as ended when it has not. */
static void
test_table_answer_lost_at_every_step (void **state)
{
	(void)state;
	static const struct dff_memory_faults faults[] = {
		{.lose_answers = 1},
		{.late_writes = 1, .late_ms = 700},
		{.lost_writes = 1},
	};
	int n_cases = (int)(G_N_ELEMENTS (shapes) * G_N_ELEMENTS (faults)) * FAULT_STEPS;
	for (int i = 0; i < n_cases; i++) {
		const struct shape *shape = &shapes[i / FAULT_STEPS % (int)G_N_ELEMENTS (shapes)];
		struct harness harness;
		begin (&harness, 4);
		int job = harness_submit (&harness, shape->gang, shape->idempotent);
		int step = i % FAULT_STEPS;
		harness_run (&harness, (int64_t)step * HARNESS_STEP_MS);
		harness.processes[0].caller->faults =
			faults[i / FAULT_STEPS / (int)G_N_ELEMENTS (shapes)];
		assert_int_equal (harness_run_job (&harness, job, JOB_LIMIT_MS),
				  DFF_OUTCOME_COMPLETED);
		harness_clear (&harness);
	}
}

/* Guards against dropping a write when its condition fails, instead of reading the row again.
 * An entry changes the row between the holder's read and its next write: a cancelled job would
 * complete, or be reported as cancelled and run on. */
static void
test_cancelled_at_every_step (void **state)
{
	(void)state;
	for (int i = 0; i < (int)G_N_ELEMENTS (shapes) * FAULT_STEPS; i++) {
		const struct shape *shape = &shapes[i / FAULT_STEPS];
		struct harness harness;
		begin (&harness, 6);
		int job = harness_submit (&harness, shape->gang, shape->idempotent);
		harness_run (&harness, (int64_t)(i % FAULT_STEPS) * HARNESS_STEP_MS);
		harness_cancel (&harness, job);
		enum dff_outcome outcome = harness_run_job (&harness, job, JOB_LIMIT_MS);
		assert_int_equal (outcome, DFF_OUTCOME_CANCELLED);
		for (int w = 0; w < HARNESS_WORKERS; w++) {
			const GArray *tasks = harness.fleet.workers[w].tasks;
			for (guint t = 0; t < tasks->len; t++) {
				enum dff_task_state task_state =
					g_array_index (tasks, struct fake_task, t).report.state;
				assert_int_not_equal (task_state, DFF_TASK_RUNNING);
			}
		}
		harness_clear (&harness);
	}
}

/* Guards against a takeover that restarts attempts instead of querying the workers: the store is
 * down for longer than the lease, and running tasks end meanwhile. */
static void
test_tasks_survive_store_outage (void **state)
{
	(void)state;
	struct harness harness;
	begin (&harness, 7);
	harness.fleet.run_ms = 8000;
	int gang = harness_submit (&harness, 3, false);
	int task = harness_submit (&harness, 1, false);
	harness_run (&harness, 1000);
	for (int i = 0; i < HARNESS_PROCESSES; i++)
		harness.processes[i].caller->faults.outage_until_ms = harness.clock.now_ms + 20000;
	harness_run (&harness, 10000);
	assert_int_equal (harness_holder (&harness), -1);
	assert_int_equal (harness_run_job (&harness, gang, 20000), DFF_OUTCOME_COMPLETED);
	assert_int_equal (harness_run_job (&harness, task, 20000), DFF_OUTCOME_COMPLETED);
	assert_int_equal (harness_runs (&harness, gang), 3);
	harness_clear (&harness);
}

static void
test_drain_releases_lease_early (void **state)
{
	(void)state;
	struct harness harness;
	begin (&harness, 8);
	harness.fleet.run_ms = 5000;
	int job = harness_submit (&harness, 3, false);
	harness_run (&harness, 1000);
	dff_cell_drain (harness.processes[0].cell);
	int64_t begin_ms = harness.clock.now_ms;
	while (!dff_cell_is_drained (harness.processes[0].cell))
		harness_step (&harness);
	assert_in_range (harness.clock.now_ms - begin_ms, 0, 500);
	assert_in_range (harness_run_holder (&harness, 10000), 0, 2500);
	assert_int_equal (harness_holder (&harness), 1);
	assert_int_equal (harness_run_job (&harness, job, 20000), DFF_OUTCOME_COMPLETED);
	assert_int_equal (harness_runs (&harness, job), 3);
	harness_clear (&harness);
}

/* Guards against an overnight batch that is stuck undetected. A worker that its jobs need stays
 * down: nothing fails, and nothing makes progress. */
static void
test_batch_without_progress_is_reported (void **state)
{
	(void)state;
	struct harness harness;
	begin (&harness, 13);
	harness.fleet.workers[0].down = true;
	harness_run (&harness, 2000);
	harness.batch = dff_name_from (HARNESS_REGION "." HARNESS_HASH);
	int job = harness_submit (&harness, HARNESS_WORKERS, true);
	harness_run (&harness, 700000);
	const int64_t *stalled =
		dff_metrics_gauge (harness.metrics, "dff_cell_batches_stalled", "");
	assert_int_equal (*stalled, 0);
	harness_run (&harness, 100000);
	assert_int_equal (*stalled, 1);
	g_autoptr (GString) status = g_string_new (NULL);
	dff_cell_status (harness.processes[0].cell, status);
	assert_non_null (strstr (status->str, "\"batch\":\"" HARNESS_REGION "." HARNESS_HASH));
	fake_worker_restart (&harness.fleet.workers[0]);
	assert_int_equal (harness_run_job (&harness, job, JOB_LIMIT_MS), DFF_OUTCOME_COMPLETED);
	assert_int_equal (*stalled, 0);
	harness_clear (&harness);
}

/* Guards against counters of the core that are in no metric, or go back at a takeover because each
 * core begins at zero. A worker loses its task, the job is tried again, and then the process takes
 * the cell again. */
static void
test_core_counters_are_published (void **state)
{
	(void)state;
	struct harness harness;
	begin (&harness, 14);
	const int64_t *retries =
		dff_metrics_counter (harness.metrics, "dff_core_retries_total", "");
	harness_run (&harness, 2000);
	assert_int_equal (*retries, 0);
	int job = harness_submit (&harness, 1, true);
	harness_run (&harness, 300);
	for (int i = 0; i < HARNESS_WORKERS; i++)
		fake_worker_restart (&harness.fleet.workers[i]);
	assert_int_equal (harness_run_job (&harness, job, JOB_LIMIT_MS), DFF_OUTCOME_COMPLETED);
	harness_run (&harness, 1500);
	int64_t before = *retries;
	assert_in_range (before, 1, 5);
	dff_cell_drain (harness.processes[harness_holder (&harness)].cell);
	harness_run (&harness, 10000);
	assert_int_equal (*retries, before);
	harness_clear (&harness);
}

static gint
compare_ms (gconstpointer a, gconstpointer b)
{
	int64_t left = *(const int64_t *)a;
	int64_t right = *(const int64_t *)b;
	return (left > right) - (left < right);
}

/** Returns: time from the holder's death until the next holder makes decisions, ms. */
static int64_t
takeover_ms (int32_t lease_ms, int phase)
{
	struct harness harness;
	harness_init (&harness, 1000 + (uint64_t)phase);
	for (int i = 0; i < HARNESS_PROCESSES; i++)
		harness_kill (&harness, i);
	harness.lease_ms = lease_ms;
	for (int i = 0; i < HARNESS_PROCESSES; i++)
		harness_start (&harness, i);
	harness_run_holder (&harness, 10000);
	harness_submit (&harness, 3, true);
	harness_run (&harness, 1000 + (int64_t)phase * 100);
	harness_kill (&harness, harness_holder (&harness));
	int64_t took_ms = harness_run_holder (&harness, 60000);
	harness_clear (&harness);
	return took_ms;
}

static void
test_takeover_time_follows_the_lease (void **state)
{
	(void)state;
	static const int32_t leases_ms[] = {1000, 2000, 4000, 8000, 16000};
	for (size_t i = 0; i < G_N_ELEMENTS (leases_ms); i++) {
		int64_t took_ms[30];
		for (int phase = 0; phase < (int)G_N_ELEMENTS (took_ms); phase++)
			took_ms[phase] = takeover_ms (leases_ms[i], phase);
		qsort (took_ms, G_N_ELEMENTS (took_ms), sizeof (took_ms[0]), compare_ms);
		int64_t worst_ms = took_ms[G_N_ELEMENTS (took_ms) - 1];
		print_message ("lease %d ms: takeover median %d ms, worst %d ms\n", leases_ms[i],
			       (int)took_ms[G_N_ELEMENTS (took_ms) / 2], (int)worst_ms);
		/* A lease, a read interval, the second rank's delay and the worker queries. */
		assert_true (worst_ms <= leases_ms[i] + leases_ms[i] / 3 + 500);
	}
}

/* Guards against a write that is conditional on the job's row alone. The holder's start intent is
 * delayed in the network, the holder dies, the next one cannot place the job yet, and the intent
 * arrives. The harness checks the writer of every row. */
static void
test_late_write_of_former_holder_is_rejected (void **state)
{
	(void)state;
	struct harness harness;
	begin (&harness, 15);
	harness.processes[0].caller->faults.late_permille = 1000;
	harness.processes[0].caller->faults.late_ms = 8000;
	int job = harness_submit (&harness, 1, false);
	harness_run (&harness, 200);
	harness_kill (&harness, 0);
	for (int i = 0; i < HARNESS_WORKERS; i++)
		harness.fleet.workers[i].down = true;
	harness_run (&harness, 12000);
	assert_int_equal (harness_row (&harness, job)->state, DFF_JOB_ROW_QUEUED);
	for (int i = 0; i < HARNESS_WORKERS; i++)
		harness.fleet.workers[i].down = false;
	assert_int_equal (harness_run_job (&harness, job, JOB_LIMIT_MS), DFF_OUTCOME_COMPLETED);
	harness_clear (&harness);
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_jobs_complete),
		cmocka_unit_test (test_holder_dies_at_every_step),
		cmocka_unit_test (test_holder_is_paused_at_every_step),
		cmocka_unit_test (test_table_answer_lost_at_every_step),
		cmocka_unit_test (test_cancelled_at_every_step),
		cmocka_unit_test (test_tasks_survive_store_outage),
		cmocka_unit_test (test_drain_releases_lease_early),
		cmocka_unit_test (test_batch_without_progress_is_reported),
		cmocka_unit_test (test_core_counters_are_published),
		cmocka_unit_test (test_takeover_time_follows_the_lease),
		cmocka_unit_test (test_late_write_of_former_holder_is_rejected),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
