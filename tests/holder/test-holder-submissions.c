#include "tests/holder/site.h"

#include <string.h>

#include "tests/holder/site_links.h"

/* Rows of jobs that are written with the holder's own transactions, and state queries answered by
 * the holder, with a faulty store. */

/* The load: a store that takes 170 ms for each transaction, one after another, 34 times as long as
 * usual. An urgent job with 2.5 s of work has an objective of 4 s, so that it can lose 0.5 s before
 * its start. SLOW_MS: duration of a transaction. */
#define SLOW_MS 170
/** Longest time from the acceptance of a job until its tasks have started, ms: two reads of the
 * inbox and two transactions. */
#define START_LIMIT_MS 1000
/** Transactions before a start: the one in progress, and the one with the job in it. */
#define TRANSACTIONS 2
/** Delays of the messages and intervals of the loop, ms. */
#define MARGIN_MS 60

static struct dff_memory_rows_faults *
faults_of (struct site *site, int process)
{
	return dff_memory_rows_client_faults (site->processes[process].rows);
}

/* Guards against urgent jobs that start 2.5 s after their submission in a slow store: the job's row
 * waits for the transaction in progress and its own, the job is then accepted, and the record of
 * its start waits for two more. The holder has to write both together. */
static void
test_start_delay_in_slow_store (void **state)
{
	(void)state;
	struct site site;
	site_open_with_links (&site);
	for (int i = 0; i < SITE_PROCESSES; i++)
		faults_of (&site, i)->delay_ms = SLOW_MS;
	site_run (&site, 2000);
	int holder = site_holder (&site);
	for (int i = 0; i < 6; i++) {
		g_autofree char *id = g_strdup_printf ("a%d", i);
		int64_t begun_ms = dff_virtual_loop_now_ms (site.loop);
		int process = (holder + i) % SITE_PROCESSES;
		assert_int_equal (site_submit (&site, process, site_plan (id, 1, false, 1)),
				  DFF_FRONT_OK);
		while (dff_memory_runner_n_starts (site.runner, id) == 0)
			site_run (&site, 1);
		assert_in_range (dff_virtual_loop_now_ms (site.loop) - begun_ms, SLOW_MS,
				 TRANSACTIONS * SLOW_MS + MARGIN_MS);
	}
	assert_int_equal (site_holder (&site), holder);
	/* The inbox is empty: the holder itself wrote the rows and has already handled them. */
	assert_int_equal (dff_memory_rows_count (site.rows, DFF_TABLE_INBOX), 0);
	site_close (&site);
}

/* Guards against reporting a completion 250 ms late: the caller queries the job's state just when
 * the last task has ended, gets the answer that the job is running, and queries again after its
 * pause. The completion had not been received yet, or not been recorded. */
static void
test_state_query_at_completion (void **state)
{
	(void)state;
	struct site site;
	site_open_with_links (&site);
	int other = (site_holder (&site) + 1) % SITE_PROCESSES;
	assert_int_equal (site_submit (&site, other, site_plan ("a", 1, false, 1)), DFF_FRONT_OK);
	site_run (&site, 200);
	assert_string_equal (site_state (&site, other, "a"), "running");
	while (dff_memory_runner_n_active (site.runner) > 0)
		site_run (&site, 1);
	int64_t begun_ms = dff_virtual_loop_now_ms (site.loop);
	assert_string_equal (site_state (&site, other, "a"), "completed");
	assert_in_range (dff_virtual_loop_now_ms (site.loop) - begun_ms, 0, 100);
	/* The state of a job that the holder has not loaded is read from the rows. */
	assert_string_equal (site_state (&site, other, "b"), "gone");
	site_close (&site);
}

/* Guards against reporting a completion before it is durable: the completion was received, and its
 * record is on the way to a store that does not answer, when the holder is lost. The next holder
 * runs the job again although its caller saw it finish. */
static void
test_unrecorded_completion_is_not_reported (void **state)
{
	(void)state;
	struct site site;
	site_open_with_links (&site);
	int holder = site_holder (&site);
	int other = (holder + 1) % SITE_PROCESSES;
	assert_int_equal (site_submit (&site, other, site_plan ("a", 1, false, 1)), DFF_FRONT_OK);
	site_run (&site, 800);
	faults_of (&site, holder)->silent = true;
	while (dff_memory_runner_n_active (site.runner) > 0)
		site_run (&site, 1);
	/* The completion has been received by now, and is not recorded. */
	site_run (&site, 20);
	assert_string_equal (site_state (&site, other, "a"), "running");
	site_kill_process (&site, holder);
	assert_int_not_equal (site_wait_for_state (&site, "a", "completed", 5000), -1);
	site_close (&site);
}

/* Guards against reporting a job that runs as not accepted, and against losing an accepted job: the
 * transaction with the job is refused, is not answered, is executed late or finds the row written
 * already, and the holder may be killed just then. An unknown outcome must not be reported as done
 * or not done. */
static void
test_submission_outcomes (void **state)
{
	(void)state;
	static const struct {
		struct dff_memory_rows_faults faults;
		bool killed;
		bool recorded_before;
	} cases[] = {
		{.faults = {.refuses = true}},
		{.faults = {.refuses = true}, .killed = true},
		{.faults = {.silent = true}},
		{.faults = {.silent = true}, .killed = true},
		{.faults = {.lost_permille = 1000}},
		{.faults = {.lost_permille = 1000}, .killed = true},
		{.faults = {.late_permille = 1000, .late_ms = 700}},
		{.faults = {.late_permille = 1000, .late_ms = 700}, .killed = true},
		{.recorded_before = true},
		{.faults = {.lost_permille = 1000}, .recorded_before = true},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct site site;
		site_open_with_links (&site);
		int holder = site_holder (&site);
		int other = (holder + 1) % SITE_PROCESSES;
		if (cases[i].recorded_before) {
			struct dff_plan *plan = site_plan ("a", 2, false, 1);
			g_autoptr (GString) row = dff_plan_encode (plan);
			dff_memory_rows_put (site.rows, DFF_TABLE_JOBS, "a",
					     (struct dff_str){row->str, row->len});
			dff_plan_free (plan);
		}
		*faults_of (&site, holder) = cases[i].faults;
		enum dff_front_outcome outcome =
			site_submit (&site, other, site_plan ("a", 2, false, 1));
		if (cases[i].killed) {
			site_kill_process (&site, holder);
			site_start_process (&site, holder);
		}
		memset (faults_of (&site, holder), 0, sizeof (struct dff_memory_rows_faults));
		site_run (&site, 15000);
		const char *job_state = site_state (&site, other, "a");
		if (outcome == DFF_FRONT_UNAVAILABLE) {
			assert_string_equal (job_state, "gone");
			assert_int_equal (dff_memory_runner_n_starts (site.runner, "a"), 0);
		} else if (outcome == DFF_FRONT_OK) {
			assert_string_equal (job_state, "completed");
		} else {
			assert_true (strcmp (job_state, "gone") == 0 ||
				     strcmp (job_state, "completed") == 0);
		}
		if (strcmp (job_state, "completed") == 0)
			assert_int_equal (dff_memory_runner_n_starts (site.runner, "a"), 2);
		site_close (&site);
	}
}

static void
ignore_result (void *user, const struct dff_runner_result *result)
{
	(void)user;
	(void)result;
}

/* Sends a worker the next epoch, as after a takeover: the holder steps down at its next call to
 * this worker. */
static void
raise_epoch (void *ctx)
{
	struct site *site = ctx;
	int other = (site_holder (site) + 1) % SITE_PROCESSES;
	const struct dff_runner *runner =
		dff_memory_runner_client_interface (site->processes[other].runner);
	struct dff_run_watch watch = {.worker = dff_name_from ("w0-0"),
				      .address = dff_name_from ("10.0.0.0:1"),
				      .epoch = 2,
				      .timeout_ms = 500};
	runner->watch (runner->ctx, &watch, ignore_result, NULL);
}

/* Guards against reporting a job that runs as not accepted: the transaction with the job is on its
 * way to a slow store when the holder steps down, and the store refuses the caller's process, so
 * that no other write settles the outcome; the transaction is executed. Transactions in progress
 * must not be reported as not done. */
static void
submit_around_step_down (int64_t lead_ms)
{
	struct site site;
	site_open_with_links (&site);
	int holder = site_holder (&site);
	int other = (holder + 1) % SITE_PROCESSES;
	faults_of (&site, holder)->commit_delay_ms = 300;
	site_run (&site, 1000);
	raise_epoch (&site);
	site_run (&site, lead_ms);
	faults_of (&site, other)->refuses = true;
	enum dff_front_outcome outcome = site_submit (&site, other, site_plan ("a", 1, false, 1));
	faults_of (&site, other)->refuses = false;
	site_run (&site, 3000);
	if (outcome == DFF_FRONT_UNAVAILABLE)
		assert_string_equal (site_state (&site, other, "a"), "gone");
	assert_int_not_equal (site_holder (&site), -1);
	site_close (&site);
}

/* The time between the higher epoch and the submission grows in small steps to more than the holder
 * takes to detect the epoch, so that some steps hit each moment of the transaction. */
static void
test_submission_during_step_down (void **state)
{
	(void)state;
	for (int64_t lead_ms = 0; lead_ms <= 1200; lead_ms += 25)
		submit_around_step_down (lead_ms);
}

/* Guards against resources that stay assigned to a withdrawn job, and against refusing the same job
 * for ever: a job that takes all workers is placed, and its row cannot be written; the store
 * recovers, and the job is submitted again. The decisions for a withdrawn job have to be reverted.
 */
static void
test_withdrawn_jobs (void **state)
{
	(void)state;
	struct site site;
	site_open_with_links (&site);
	int holder = site_holder (&site);
	int other = (holder + 1) % SITE_PROCESSES;
	for (int i = 0; i < SITE_PROCESSES; i++)
		faults_of (&site, i)->refuses = true;
	assert_int_not_equal (
		site_submit (&site, other, site_plan ("6", SITE_WORKERS, false, SITE_ACCELERATORS)),
		DFF_FRONT_OK);
	for (int i = 0; i < SITE_PROCESSES; i++)
		faults_of (&site, i)->refuses = false;
	site_run (&site, 2000);
	assert_int_equal (dff_memory_runner_n_starts (site.runner, "6"), 0);
	assert_int_equal (
		site_submit (&site, other, site_plan ("6", SITE_WORKERS, false, SITE_ACCELERATORS)),
		DFF_FRONT_OK);
	assert_int_not_equal (site_wait_for_state (&site, "6", "completed", 8000), -1);
	assert_int_equal (dff_memory_runner_n_starts (site.runner, "6"), SITE_WORKERS);
	site_close (&site);
}

/* Guards against an accepted job that never starts: its first submission was withdrawn because the
 * store refused its row, its endless tasks were placed again in memory, and the row of the second
 * submission was passed over as known. */
static void
test_withdrawn_endless_job (void **state)
{
	(void)state;
	struct site site;
	site_open_with_links (&site);
	int other = (site_holder (&site) + 1) % SITE_PROCESSES;
	for (int accepted = 0; accepted < 2; accepted++) {
		struct dff_plan *plan = site_plan ("u", SITE_WORKERS, false, 1);
		dff_plan_step (plan, 0)->endless = true;
		for (int i = 0; i < SITE_PROCESSES; i++)
			faults_of (&site, i)->refuses = accepted == 0;
		assert_int_equal (site_submit (&site, other, plan) == DFF_FRONT_OK, accepted == 1);
		site_run (&site, START_LIMIT_MS);
		assert_int_equal (dff_memory_runner_n_active (site.runner),
				  accepted * SITE_WORKERS);
	}
	site_close (&site);
}

/* Guards against refusing the callers of a process without a path to the store although other
 * processes are served: the path is cut for seconds; a job is submitted, its state is queried, and
 * another job is cancelled through this process. The process has to use another one. If no process
 * reaches the store, callers are answered at once. */
static void
test_process_without_store (void **state)
{
	(void)state;
	struct site site;
	site_open_with_links (&site);
	int holder = site_holder (&site);
	int other = (holder + 1) % SITE_PROCESSES;
	assert_int_equal (site_submit (&site, holder, site_plan ("7", 1, false, 1)), DFF_FRONT_OK);
	faults_of (&site, other)->silent = true;
	site_run (&site, 2000);
	assert_true (dff_rows_health_is_silent (site.processes[other].health));
	assert_int_equal (site_submit (&site, other, site_plan ("a", 1, false, 1)), DFF_FRONT_OK);
	assert_int_equal (site_cancel (&site, other, "7"), DFF_FRONT_OK);
	site_run (&site, 1500);
	assert_string_equal (site_state (&site, other, "a"), "completed");
	assert_string_equal (site_state (&site, other, "7"), "cancelled");
	for (int i = 0; i < SITE_PROCESSES; i++)
		faults_of (&site, i)->silent = true;
	site_run (&site, 1500);
	for (int i = 0; i < SITE_PROCESSES; i++) {
		int64_t begun_ms = dff_virtual_loop_now_ms (site.loop);
		assert_int_equal (site_submit (&site, i, site_plan ("b", 1, false, 1)),
				  DFF_FRONT_UNAVAILABLE);
		assert_in_range (dff_virtual_loop_now_ms (site.loop) - begun_ms, 0, 100);
	}
	for (int i = 0; i < SITE_PROCESSES; i++)
		faults_of (&site, i)->silent = false;
	site_run (&site, 3000);
	assert_string_equal (site_state (&site, holder, "b"), "gone");
	site_close (&site);
}

/* Guards against processes that cannot serve their callers for as long as the store does not serve
 * them, after another process has become the holder: the former holder, which the store does not
 * serve either, has received the address of its successor and passes it on. */
static void
test_holder_and_peer_without_store (void **state)
{
	(void)state;
	static const bool silent[] = {true, false};
	for (size_t i = 0; i < G_N_ELEMENTS (silent); i++) {
		struct site site;
		site_open_with_links (&site);
		int former = site_holder (&site);
		int other = (former + 1) % SITE_PROCESSES;
		int next = (former + 2) % SITE_PROCESSES;
		int without_store[] = {former, other};
		for (size_t j = 0; j < G_N_ELEMENTS (without_store); j++) {
			struct dff_memory_rows_faults *faults = dff_memory_rows_client_faults (
				site.processes[without_store[j]].rows);
			faults->silent = silent[i];
			faults->refuses = !silent[i];
		}
		site_run (&site, 3000);
		assert_int_equal (site_holder (&site), next);
		assert_int_equal (site_submit (&site, other, site_plan ("a", 1, false, 1)),
				  DFF_FRONT_OK);
		assert_int_equal (site_submit (&site, former, site_plan ("b", 1, false, 1)),
				  DFF_FRONT_OK);
		site_run (&site, 2500);
		assert_string_equal (site_state (&site, other, "a"), "completed");
		assert_string_equal (site_state (&site, former, "b"), "completed");
		site_close (&site);
	}
}

static struct dff_plan *
plan_of_team (const char *id, const char *team)
{
	struct dff_plan *plan = site_plan (id, 40, false, 1);
	plan->team = dff_name_from (team);
	return plan;
}

/* Guards against jobs that fill the memory of the holder, and then that of its successors: jobs of
 * 40 tasks count for 35 kB, and one team may take half of the limit. A refused job is not on record
 * and never runs; ended jobs make room for others. */
static void
test_jobs_beyond_the_limit_are_refused (void **state)
{
	(void)state;
	static const struct {
		const char *id;
		const char *team;
		enum dff_front_outcome outcome;
	} cases[] = {
		{"a1", "team", DFF_FRONT_OK},           {"a2", "team", DFF_FRONT_OK},
		{"a3", "team", DFF_FRONT_UNAVAILABLE},  {"a1", "team", DFF_FRONT_OK},
		{"b1", "other", DFF_FRONT_OK},          {"b2", "other", DFF_FRONT_OK},
		{"b3", "other", DFF_FRONT_UNAVAILABLE}, {"c1", "third", DFF_FRONT_OK},
		{"c2", "third", DFF_FRONT_UNAVAILABLE},
	};
	struct site site;
	site_open_with_job_limit (&site, 180000);
	int holder = site_holder (&site);
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		int process = (holder + (int)i) % SITE_PROCESSES;
		enum dff_front_outcome outcome =
			site_submit (&site, process, plan_of_team (cases[i].id, cases[i].team));
		if (outcome != cases[i].outcome)
			fail_msg ("%s: %d", cases[i].id, (int)outcome);
	}
	assert_int_equal (dff_memory_rows_count (site.rows, DFF_TABLE_JOBS), 5);
	assert_int_equal (site_cancel (&site, holder, "a1"), DFF_FRONT_OK);
	site_run (&site, 3000);
	assert_int_equal (dff_memory_runner_n_starts (site.runner, "a3"), 0);
	assert_int_equal (site_submit (&site, holder, plan_of_team ("a3", "team")), DFF_FRONT_OK);
	site_close (&site);
}

/* Guards against telling a caller that a job never runs although it does: another process wrote its
 * row while it knew no holder, the answer was lost, and the holder, which takes no more jobs and
 * has not read the row yet, refuses the repeated call. */
static void
test_recorded_job_is_not_refused (void **state)
{
	(void)state;
	static const struct {
		bool recorded;
		enum dff_front_outcome outcome;
	} cases[] = {
		{true, DFF_FRONT_OK},
		{false, DFF_FRONT_UNAVAILABLE},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct site site;
		site_open_with_job_limit (&site, 180000);
		int holder = site_holder (&site);
		assert_int_equal (site_submit (&site, holder, plan_of_team ("a1", "team")),
				  DFF_FRONT_OK);
		assert_int_equal (site_submit (&site, holder, plan_of_team ("a2", "team")),
				  DFF_FRONT_OK);
		/* The holder's next look into the inbox takes longer than its callers' repeats. */
		faults_of (&site, holder)->delay_ms = 300;
		site_run (&site, 100);
		struct dff_plan *plan = plan_of_team ("a3", "team");
		GString *row = dff_plan_encode (plan);
		struct dff_str value = {row->str, row->len};
		if (cases[i].recorded) {
			dff_memory_rows_put (site.rows, DFF_TABLE_JOBS, "a3", value);
			dff_memory_rows_put (site.rows, DFF_TABLE_INBOX, "a3", dff_str_from ("{}"));
		}
		assert_int_equal (site_submit (&site, holder, plan), cases[i].outcome);
		faults_of (&site, holder)->delay_ms = 0;
		site_run (&site, 12000);
		assert_int_equal (dff_memory_runner_n_starts (site.runner, "a3") > 0,
				  cases[i].recorded);
		g_string_free (row, TRUE);
		site_close (&site);
	}
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_holder_and_peer_without_store),
		cmocka_unit_test (test_start_delay_in_slow_store),
		cmocka_unit_test (test_state_query_at_completion),
		cmocka_unit_test (test_unrecorded_completion_is_not_reported),
		cmocka_unit_test (test_submission_outcomes),
		cmocka_unit_test (test_jobs_beyond_the_limit_are_refused),
		cmocka_unit_test (test_recorded_job_is_not_refused),
		cmocka_unit_test (test_submission_during_step_down),
		cmocka_unit_test (test_withdrawn_jobs),
		cmocka_unit_test (test_withdrawn_endless_job),
		cmocka_unit_test (test_process_without_store),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
