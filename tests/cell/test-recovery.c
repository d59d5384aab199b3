#include "tests/cell/cell_faults.h"

/* The effect of a takeover on running tasks. The harness checks the invariants after every step. */

/** Submits a job with one long-running task. Returns: the index of its worker. */
static int
run_long_job (struct harness *harness, int *job)
{
	harness->fleet.run_ms = 60000;
	*job = harness_submit (harness, 1, true);
	harness_run (harness, 1000);
	const struct dff_job_row *row = harness_row (harness, *job);
	assert_int_equal (row->state, DFF_JOB_ROW_OPEN);
	return g_array_index (row->placements, struct dff_placement, 0).worker.data[1] - '0';
}

static void
check_runs_on (struct harness *harness, int job)
{
	assert_int_equal (harness_row (harness, job)->attempt, 1);
	assert_int_equal (harness_run_job (harness, job, 100000), DFF_OUTCOME_COMPLETED);
	assert_int_equal (harness_runs (harness, job), 1);
}

/* Guards against a takeover that stops and restarts a running job. A process that held the cell
 * before takes it again. Workers have restarted meanwhile, and each of them is queried a second
 * time as soon as it has answered. If the second answer counted as that of a worker that has not
 * answered yet, the tables would be rebuilt without that worker's tasks. */
static void
test_rebuild_waits_for_every_worker (void **state)
{
	(void)state;
	for (int seed = 0; seed < FAULT_STEPS; seed++) {
		struct harness harness;
		int job;
		begin (&harness, 300 + (uint64_t)seed);
		int placed = run_long_job (&harness, &job);
		harness_pause (&harness, 0, true);
		harness_run (&harness, 8000);
		for (int i = 0; i < HARNESS_WORKERS; i++) {
			if (i != placed)
				fake_worker_restart (&harness.fleet.workers[i]);
		}
		harness_pause (&harness, 0, false);
		harness_run (&harness, 1000);
		harness.processes[0].link->delay_max_ms = 200;
		harness_kill (&harness, 1);
		harness_kill (&harness, 2);
		harness_run_holder (&harness, 20000);
		harness_run (&harness, 3000);
		check_runs_on (&harness, job);
		harness_clear (&harness);
	}
}

/* Guards against stopping every running job. All processes are replaced while the instance list is
 * unavailable and the table is not. A process without the workers' addresses must not take the
 * lease: it would query no worker, and treat the absence of answers as the absence of tasks. */
static void
test_no_takeover_without_instance_list (void **state)
{
	(void)state;
	struct harness harness;
	int job;
	begin (&harness, 17);
	run_long_job (&harness, &job);
	for (int i = 0; i < HARNESS_PROCESSES; i++)
		harness_kill (&harness, i);
	harness.no_instance_list = true;
	for (int i = 0; i < HARNESS_PROCESSES; i++)
		harness_start (&harness, i);
	harness_run (&harness, 10000);
	for (int i = 0; i < HARNESS_PROCESSES; i++)
		harness_set_instances (&harness, harness.processes[i].cell);
	check_runs_on (&harness, job);
	harness_clear (&harness);
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_rebuild_waits_for_every_worker),
		cmocka_unit_test (test_no_takeover_without_instance_list),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
