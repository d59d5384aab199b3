#include "tests/holder/site.h"

#include <string.h>

#include "tests/holder/site_links.h"

/* Rows of jobs that go with the holder's own transactions, and states that the process that decides
 * tells, over a store with faults. */

/* The load: a store that takes 170 ms for each transaction, one after another, as one that is 34
 * times slower than usual does; an urgent job of two and a half seconds of work has an objective of
 * four, so that half a second before its start is what it can lose. */
#define SLOW_MS 170
/** A transaction in progress, and the one with the job in it. */
#define TRANSACTIONS 2
/** Ways of the messages, and the looks of the loop, ms. */
#define MARGIN_MS 60

static struct dff_memory_rows_faults *
faults_of (struct site *site, int process)
{
	return dff_memory_rows_client_faults (site->processes[process].rows);
}

/* Symptom: in a slow store urgent jobs begin two and a half seconds after they were handed in.
 * Sequence: a job's row waits for the transaction before it and its own; then it is taken in, and
 * its start's record waits for two more. Cause: one process wrote both, one after the other. */
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
	/* Nothing is left to be taken in: the rows were written by the one that knows them. */
	assert_int_equal (dff_memory_rows_count (site.rows, DFF_TABLE_INBOX), 0);
	site_close (&site);
}

/* Symptom: a caller learns a quarter of a second late that its job is over. Sequence: it asks just
 * as the last task has ended, is told that the job runs, and asks again after its pause. Cause: the
 * end was not heard of yet, or not on record. */
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
	/* Of what is not known there the rows tell. */
	assert_string_equal (site_state (&site, other, "b"), "gone");
	site_close (&site);
}

/* Symptom: a caller is told that its job is over, and after a take-over it runs. Sequence: the end
 * was heard, its record is on the way to a store that does not answer; the holder is lost. Cause:
 * what was not on record was told. */
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
	/* Heard by now, and not on record. */
	site_run (&site, 20);
	assert_string_equal (site_state (&site, other, "a"), "running");
	site_kill_process (&site, holder);
	assert_int_not_equal (site_wait_for_state (&site, "a", "completed", 5000), -1);
	site_close (&site);
}

/* Symptom: a caller is told that its job was not done, and it runs; or a job that was accepted is
 * lost. Sequence: the transaction with the job is refused, has no answer, is carried out late or
 * finds the row there; the holder may be killed just then. Cause: what was open was told as done
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

/* A worker sees the next epoch, as after a take-over: the holder lets go at its next call. */
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

/* Symptom: a caller is told that its job was not done, and it runs. Sequence: the transaction with
 * the job is on its way to a slow store when the holder lets go of the cell; the caller's process
 * is refused by the store, so that nothing else settles it; the transaction is carried out. Cause:
 * what the holder had in flight was told as not done. */
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

/* How long before the job the holder's epoch is overtaken, in small steps over more than the time
 * in which it notices: some meet each moment of the transaction. */
static void
test_submission_during_step_down (void **state)
{
	(void)state;
	for (int64_t lead_ms = 0; lead_ms <= 1200; lead_ms += 25)
		submit_around_step_down (lead_ms);
}

/* Symptom: what a withdrawn job was given stays taken, or the same job is never accepted again.
 * Sequence: jobs for all there is are placed, and their rows cannot be written; the store is back
 * and they are handed in again. Cause: nobody gave back what was decided for them. */
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

/* Symptom: callers of a process that the store does not hear are sent away, though others are
 * served. Sequence: its path to the store is cut for seconds; a job is handed in, looked at, and
 * another one cancelled there. Cause: nobody asked whether another process could do it. When
 * nobody's store answers, they are told at once. */
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

/* Guards against processes that the store turns away being of no use to their callers for as long
 * as that lasts, once another process decides: the former holder, turned away as well, was told who
 * follows it, and tells them. */
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

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_holder_and_peer_without_store),
		cmocka_unit_test (test_start_delay_in_slow_store),
		cmocka_unit_test (test_state_query_at_completion),
		cmocka_unit_test (test_unrecorded_completion_is_not_reported),
		cmocka_unit_test (test_submission_outcomes),
		cmocka_unit_test (test_submission_during_step_down),
		cmocka_unit_test (test_withdrawn_jobs),
		cmocka_unit_test (test_process_without_store),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
