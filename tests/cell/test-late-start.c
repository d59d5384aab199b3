#include "tests/cell/cell_faults.h"

/* Starts that arrive after the next holder took over, and workers that leave. The harness checks
 * the invariants after every step. */

/** Longer than a takeover, ms. */
#define LATE_MAX_MS 20000
#define SEEDS 60
/** Time between the announcement of a worker that it is leaving and the submission of jobs, ms. */
#define LEAVING_MS 3000

/* Guards against work that may run once and runs twice. The holder sends a start that the network
 * delays for seconds, and dies. The next holder finds the attempt on record, queries the worker,
 * which has not received it, and starts the job elsewhere; then the first start arrives. A
 * holder that did not open the attempt cannot conclude from its own calls that nothing was sent. */
static void
test_start_arrives_after_takeover (void **state)
{
	(void)state;
	for (int i = 0; i < SEEDS * (int)G_N_ELEMENTS (shapes); i++) {
		const struct shape *shape = &shapes[i / SEEDS];
		struct harness harness;
		begin (&harness, 300 + (uint64_t)i);
		harness.fleet.checks_epochs = i % 2 == 0;
		harness.processes[0].link->delay_max_ms = LATE_MAX_MS;
		int job = harness_submit (&harness, shape->gang, shape->idempotent);
		harness_run (&harness, 400);
		harness_kill (&harness, 0);
		enum dff_outcome outcome = harness_run_job (&harness, job, JOB_LIMIT_MS);
		if (!is_allowed_outcome (shape, outcome))
			fail_msg ("%s, seed %d: %s", shape->name, i, dff_outcome_name (outcome));
		/* Messages that are still on their way arrive. */
		harness_run (&harness, LATE_MAX_MS);
		harness_clear (&harness);
	}
}

static bool
has_tasks (const struct harness *harness, int worker)
{
	return harness->fleet.workers[worker].tasks->len > 0;
}

/* Guards against starting work on a worker that is shutting down, which is then cut off. The worker
 * announces that it is leaving; 3 s later more jobs arrive than the others can run at once. The
 * holder must rely neither on the instance list, which lags, nor on the worker being up. */
static void
test_leaving_worker_gets_no_new_tasks (void **state)
{
	(void)state;
	for (int leaving = 0; leaving < HARNESS_WORKERS; leaving++) {
		struct harness harness;
		begin (&harness, 17);
		harness.fleet.workers[leaving].leaving = true;
		harness_run (&harness, LEAVING_MS);
		int jobs[2 * HARNESS_WORKERS];
		for (size_t i = 0; i < G_N_ELEMENTS (jobs); i++)
			jobs[i] = harness_submit (&harness, 1, true);
		for (size_t i = 0; i < G_N_ELEMENTS (jobs); i++)
			assert_int_equal (harness_run_job (&harness, jobs[i], JOB_LIMIT_MS),
					  DFF_OUTCOME_COMPLETED);
		for (int i = 0; i < HARNESS_WORKERS; i++)
			assert_int_equal (has_tasks (&harness, i), i != leaving);
		harness_clear (&harness);
	}
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_start_arrives_after_takeover),
		cmocka_unit_test (test_leaving_worker_gets_no_new_tasks),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
