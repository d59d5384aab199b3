#include "tests/holder/site.h"

#include <string.h>

/* The holder and its successors, over a store with faults. */

static void
set_silent (struct site *site, bool silent)
{
	for (int i = 0; i < SITE_PROCESSES; i++)
		dff_memory_rows_client_faults (site->processes[i].rows)->silent = silent;
}

/* A process holds on to the cell for eight seconds, whatever it takes, and the job of four tasks
 * that it has begun completes once its calls are quick again. */
static void
assert_keeps_lease (struct site *site, int holder)
{
	for (int waited_ms = 0; waited_ms < 8000; waited_ms += 10) {
		site_run (site, 10);
		assert_int_equal (site_holder (site), holder);
	}
	for (int i = 0; i < SITE_PROCESSES; i++) {
		struct dff_memory_rows_faults *faults =
			dff_memory_rows_client_faults (site->processes[i].rows);
		faults->delay_ms = 0;
		faults->commit_delay_ms = 0;
	}
	assert_int_not_equal (site_wait_for_state (site, "1", "completed", 9000), -1);
	assert_int_equal (dff_memory_runner_n_starts (site->runner, "1"), 4);
}

/* Symptom: jobs stand for seconds after the holder is gone. Sequence: its process is killed, or
 * loses its path to the store. Cause: the others waited for the standstill of its row in every
 * case. */
static void
test_take_over (void **state)
{
	(void)state;
	static const struct {
		bool killed;
		bool refuses;
		int64_t limit_ms;
	} cases[] = {
		{true, false, 900},
		{false, false, 1300},
		{false, true, 1300},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct site site;
		site_open (&site);
		site_submit (&site, 0, site_plan ("1", 4, false, 1));
		site_run (&site, 500);
		int holder = site_holder (&site);
		if (cases[i].killed) {
			site_kill_process (&site, holder);
		} else {
			struct dff_memory_rows_faults *faults =
				dff_memory_rows_client_faults (site.processes[holder].rows);
			faults->silent = !cases[i].refuses;
			faults->refuses = cases[i].refuses;
		}
		int64_t waited_ms = 0;
		while (site_holder (&site) == holder || site_holder (&site) < 0) {
			/* The former holder goes on until it learns of the other. */
			if (!cases[i].killed && site_holder (&site) == holder &&
			    dff_holder_is_holding (
				    site.processes[(holder + 1) % SITE_PROCESSES].holder))
				break;
			if (!cases[i].killed &&
			    dff_holder_is_holding (
				    site.processes[(holder + 2) % SITE_PROCESSES].holder))
				break;
			site_run (&site, 10);
			waited_ms += 10;
			assert_in_range (waited_ms, 0, cases[i].limit_ms);
		}
		int other = (holder + 1) % SITE_PROCESSES;
		site_submit (&site, other, site_plan ("b", 1, false, 1));
		site_run (&site, 9000);
		assert_string_equal (site_state (&site, other, "1"), "completed");
		assert_string_equal (site_state (&site, other, "b"), "completed");
		assert_int_equal (dff_memory_runner_n_starts (site.runner, "1"), 4);
		site_close (&site);
	}
}

/* A site without processes, of which the second is quick and the others take longer to take over.
 */
static void
open_with_fast_process (struct site *site, int64_t slow_ms)
{
	site_open (site);
	for (int i = 0; i < SITE_PROCESSES; i++) {
		site->takeover_ms[i] = i == 1 ? 200 : slow_ms;
		site_kill_process (site, i);
	}
}

/* Symptom: a fleet whose machines differ stands for seconds at each take-over, and the cell goes
 * round. Sequence: a small machine is the first to take the cell, is in place late and falls
 * behind, and the next one takes its turn. Cause: it was left to chance who takes the cell. */
static void
test_fast_process_becomes_holder (void **state)
{
	(void)state;
	struct site site;
	open_with_fast_process (&site, 1200);
	for (int i = 0; i < SITE_PROCESSES; i++)
		site_start_process (&site, i);
	/* All begin with a row that knows nothing of them: whoever is first, the quick one follows.
	 */
	site_run (&site, 5000);
	assert_int_equal (site_holder (&site), 1);
	assert_int_equal (site_submit (&site, 0, site_plan ("7", 4, false, 1)), DFF_FRONT_OK);
	site_run (&site, 300);
	site_kill_process (&site, 1);
	/* The others leave it the time that they are slower by, and no more than that. */
	int64_t waited_ms = 0;
	for (; site_holder (&site) < 0 && waited_ms < 5000; waited_ms += 10)
		site_run (&site, 10);
	assert_in_range (waited_ms, 1000, 2200);
	site_start_process (&site, 1);
	for (waited_ms = 0; site_holder (&site) != 1 && waited_ms < 5000; waited_ms += 10)
		site_run (&site, 10);
	assert_in_range (waited_ms, 0, 3500);
	site_run (&site, 8000);
	assert_int_equal (site_holder (&site), 1);
	assert_int_not_equal (site_wait_for_state (&site, "7", "completed", 30000), -1);
	assert_int_equal (dff_memory_runner_n_starts (site.runner, "7"), 4);
	site_close (&site);
}

static int64_t
count_reads (const struct site *site, int process)
{
	return *dff_metrics_counter (site->processes[process].metrics, "dff_rows_gets_total", "");
}

/* The load: a fleet of small machines beside a few large ones, in which nothing happens. Guards
 * against readings of the store that grow with the fleet by three a second and machine: what a
 * process reads that is not among the next to decide is counted. */
static void
test_reads_of_slow_processes (void **state)
{
	(void)state;
	static const struct {
		int64_t takeover_ms;
		int64_t least;
		int64_t most;
	} cases[] = {
		/* As quick as the one that decides: three a second. */
		{200, 60, 70},
		{700, 20, 28},
		{1400, 11, 15},
		{60000, 10, 13},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct site site;
		open_with_fast_process (&site, cases[i].takeover_ms);
		site_start_process (&site, 1);
		site_run (&site, 4000);
		site_start_process (&site, 0);
		site_run (&site, 4000);
		int64_t before = count_reads (&site, 0);
		site_run (&site, 20000);
		assert_int_equal (site_holder (&site), 1);
		assert_in_range (count_reads (&site, 0) - before, cases[i].least, cases[i].most);
		site_close (&site);
	}
}

/* Guards against callers' rows being sent to a process that is gone for as long as a slow process
 * does not look who decides: one that does not reach it looks at once, and no more often than
 * others. */
static void
test_lost_holder_is_looked_up (void **state)
{
	(void)state;
	struct site site;
	open_with_fast_process (&site, 60000);
	site_start_process (&site, 1);
	site_run (&site, 4000);
	site_start_process (&site, 0);
	site_run (&site, 4000);
	for (int i = 0; i < 5; i++) {
		int64_t before = count_reads (&site, 0);
		for (int j = 0; j < 4; j++) {
			dff_holder_handle_holder_lost (site.processes[0].holder);
			site_run (&site, 100);
		}
		assert_in_range (count_reads (&site, 0) - before, 1, 2);
		site_run (&site, 1700);
	}
	site_close (&site);
}

/* Guards against a holder that nobody replaces because the others look rarely: whenever it ends,
 * slow processes follow within their wait, one look more, and the spread. */
static void
test_slow_processes_follow (void **state)
{
	(void)state;
	for (int phase_ms = 0; phase_ms < 1400; phase_ms += 200) {
		struct site site;
		open_with_fast_process (&site, 1200);
		site_start_process (&site, 1);
		site_run (&site, 4000);
		site_start_process (&site, 0);
		site_start_process (&site, 2);
		site_run (&site, 3000 + phase_ms);
		assert_int_equal (site_holder (&site), 1);
		site_kill_process (&site, 1);
		int64_t waited_ms = 0;
		for (; site_holder (&site) < 0 && waited_ms < 6000; waited_ms += 10)
			site_run (&site, 10);
		assert_in_range (waited_ms, 500, 3000);
		site_close (&site);
	}
}

/* Symptom: a job is lost, or runs twice. Sequence: the store carries out writes of which the answer
 * is lost, some of them seconds later, while the holder changes. */
static void
test_lost_and_late_answers (void **state)
{
	(void)state;
	struct site site;
	site_open (&site);
	for (int i = 0; i < SITE_PROCESSES; i++) {
		struct dff_memory_rows_faults *faults =
			dff_memory_rows_client_faults (site.processes[i].rows);
		faults->lost_permille = 300;
		faults->late_permille = 300;
		faults->late_ms = 2000;
	}
	int accepted = 0;
	for (int i = 0; i < 10; i++) {
		g_autofree char *id = g_strdup_printf ("a%d", i);
		accepted += site_submit (&site, i % SITE_PROCESSES, site_plan (id, 3, false, 1)) ==
			    DFF_FRONT_OK;
		if (i == 5)
			site_kill_process (&site,
					   site_holder (&site) >= 0 ? site_holder (&site) : 0);
		if (i == 5) {
			for (int j = 0; j < SITE_PROCESSES; j++)
				if (!site.processes[j].alive)
					site_start_process (&site, j);
		}
	}
	assert_in_range (accepted, 1, 10);
	for (int i = 0; i < SITE_PROCESSES; i++)
		memset (dff_memory_rows_client_faults (site.processes[i].rows), 0,
			sizeof (struct dff_memory_rows_faults));
	for (guint i = 0; i < site.accepted->len; i++) {
		assert_int_not_equal (site_wait_for_state (&site,
							   g_ptr_array_index (site.accepted, i),
							   "completed", 20000),
				      -1);
	}
	site_close (&site);
}

/* Symptom: callers wait until their time is up though nothing can be done for them. Cause: each
 * submission was written to a store that does not answer. */
static void
test_silent_store (void **state)
{
	(void)state;
	struct site site;
	site_open (&site);
	site_submit (&site, 0, site_plan ("1", 6, false, 1));
	site_run (&site, 300);
	set_silent (&site, true);
	site_run (&site, 2500);
	int64_t before_ms = dff_virtual_loop_now_ms (site.loop);
	assert_int_equal (site_submit (&site, 1, site_plan ("b", 1, false, 1)),
			  DFF_FRONT_UNAVAILABLE);
	assert_in_range (dff_virtual_loop_now_ms (site.loop) - before_ms, 0, 5);
	site_run (&site, 2000);
	set_silent (&site, false);
	site_run (&site, 300);
	assert_string_equal (site_state (&site, 0, "b"), "gone");
	assert_int_equal (site_submit (&site, 1, site_plan ("c", 1, false, 1)), DFF_FRONT_OK);
	assert_int_not_equal (site_wait_for_state (&site, "1", "completed", 5000), -1);
	/* Leases were renewed all the while. */
	assert_int_equal (dff_memory_runner_n_starts (site.runner, "1"), 6);
	assert_int_not_equal (site_wait_for_state (&site, "c", "completed", 5000), -1);
	site_close (&site);
}

/* The load: a store that falls silent for some seconds, which clients notice, and answers again
 * just after each question in progress was sent. */
#define OUTAGE_MS 4200
/** A probe of a silent store, and two transactions. */
#define RECOVERY_MS 300

/* Symptom: jobs are accepted and begin only a second after the store's return. Sequence: the store
 * is silent for seconds; the holder's transaction, and questions about jobs, were sent just before
 * its return and are lost. Cause: they were waited for until their time was up. */
static void
test_recovery_after_silence (void **state)
{
	(void)state;
	for (int64_t more_ms = 0; more_ms < 1500; more_ms += 150) {
		struct site site;
		site_open (&site);
		site_submit (&site, 0, site_plan ("1", 6, false, 1));
		site_run (&site, 300);
		set_silent (&site, true);
		site_run (&site, OUTAGE_MS + more_ms);
		set_silent (&site, false);
		site_run (&site, RECOVERY_MS);
		for (int i = 0; i < SITE_PROCESSES; i++)
			assert_false (dff_rows_health_is_silent (site.processes[i].health));
		assert_int_equal (site_submit (&site, 1, site_plan ("b", 1, false, 1)),
				  DFF_FRONT_OK);
		site_run (&site, RECOVERY_MS);
		assert_int_equal (dff_memory_runner_n_starts (site.runner, "b"), 1);
		site_close (&site);
	}
}

/* Symptom: for as long as the store is slow, one process after another takes the cell, and nothing
 * is decided. Sequence: transactions take longer than the holder waits for them; it says that it
 * cannot record anything, and the others believe it. Cause: they took a store that is slow for
 * everybody for one that the holder alone has lost. */
static void
test_slow_store (void **state)
{
	(void)state;
	/* Readings are quicker than the holder's transactions of many rows. */
	static const struct {
		int32_t write_ms;
		int32_t read_ms;
	} cases[] = {{450, 150}, {600, 200}, {800, 250}, {950, 320}, {950, 950}};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct site site;
		site_open (&site);
		site_submit (&site, 0, site_plan ("1", 4, false, 1));
		site_run (&site, 500);
		int holder = site_holder (&site);
		for (int j = 0; j < SITE_PROCESSES; j++)
			dff_memory_rows_client_faults (site.processes[j].rows)->delay_ms =
				j == holder ? cases[i].write_ms : cases[i].read_ms;
		assert_keeps_lease (&site, holder);
		site_close (&site);
	}
}

/* Symptom: a new holder is relieved again before it has decided anything, and what runs on lost
 * workers waits anew. Sequence: it is short of processor time after a take-over, so that a large
 * transaction outlasts its timeout, while the others' readings are quick. Cause: the timeout alone
 * counted as the loss of the store, though the store went on answering the same process; and the
 * standstill of its row counted, though it said that it was there. */
static void
test_slow_holder (void **state)
{
	(void)state;
	static const int32_t delays_ms[] = {450, 600, 700, 950};
	for (size_t i = 0; i < G_N_ELEMENTS (delays_ms); i++) {
		struct site site;
		site_open (&site);
		site_submit (&site, 0, site_plan ("1", 4, false, 1));
		site_run (&site, 500);
		int holder = site_holder (&site);
		struct dff_memory_rows_faults *faults =
			dff_memory_rows_client_faults (site.processes[holder].rows);
		faults->delay_ms = 200;
		faults->commit_delay_ms = delays_ms[i];
		assert_keeps_lease (&site, holder);
		site_close (&site);
	}
}

/* Symptom: after a take-over nothing is decided any more, for good. Sequence: the table of jobs has
 * grown; a full page of it takes longer than the new holder waits for one. Cause: each further
 * attempt asked for as much and waited as long. */
static void
test_slow_pages (void **state)
{
	(void)state;
	struct site site;
	site_open (&site);
	for (int i = 0; i < 300; i++) {
		g_autofree char *id = g_strdup_printf ("a%d", i);
		assert_int_equal (
			site_submit (&site, i % SITE_PROCESSES, site_plan (id, 1, false, 1)),
			DFF_FRONT_OK);
	}
	site_run (&site, 3000);
	int holder = site_holder (&site);
	for (int i = 0; i < SITE_PROCESSES; i++)
		dff_memory_rows_client_faults (site.processes[i].rows)->row_us = 6000;
	site_kill_process (&site, holder);
	site_run (&site, 12000);
	assert_int_not_equal (site_holder (&site), -1);
	int other = (holder + 1) % SITE_PROCESSES;
	assert_int_equal (site_submit (&site, other, site_plan ("c", 1, false, 1)), DFF_FRONT_OK);
	assert_int_not_equal (site_wait_for_state (&site, "c", "completed", 20000), -1);
	site_close (&site);
}

/* Symptom: jobs accepted in one second begin together, late. Cause: the store held its feeds back.
 */
static void
test_held_feeds (void **state)
{
	(void)state;
	struct site site;
	site_open (&site);
	for (int i = 0; i < SITE_PROCESSES; i++)
		dff_memory_rows_client_faults (site.processes[i].rows)->feeds_held = true;
	site_submit (&site, 0, site_plan ("a", 1, false, 1));
	site_run (&site, 350);
	assert_int_equal (dff_memory_runner_n_starts (site.runner, "a"), 1);
	site_submit (&site, 0, site_plan ("1", 1, false, 1));
	site_run (&site, 350);
	assert_int_equal (site_cancel (&site, 1, "1"), DFF_FRONT_OK);
	site_run (&site, 900);
	assert_string_equal (site_state (&site, 2, "1"), "cancelled");
	site_run (&site, 1000);
	assert_int_equal (dff_memory_rows_count (site.rows, DFF_TABLE_INBOX), 0);
	assert_int_equal (dff_memory_runner_n_active (site.runner), 0);
	site_close (&site);
}

/* Symptom: a worker that leaves gets new tasks for as long as the store holds changes back. Cause:
 * what the feed did not tell was taken for what is so. */
static void
test_leaving_while_feeds_are_held (void **state)
{
	(void)state;
	struct site site;
	site_open (&site);
	for (int i = 0; i < SITE_PROCESSES; i++)
		dff_memory_rows_client_faults (site.processes[i].rows)->feeds_held = true;
	for (int i = 1; i < SITE_WORKERS; i++)
		site_list_worker (&site, i, true, true);
	site_run (&site, 1100);
	/* Each takes a worker whole, for two seconds: one at a time. */
	site_submit (&site, 0, site_plan ("6", 3, false, SITE_ACCELERATORS));
	site_run (&site, 1500);
	assert_int_equal (dff_memory_runner_n_starts (site.runner, "6"), 1);
	site_close (&site);
}

/* Symptom: a job that has ended runs again. Sequence: the store drops its history, so that the
 * holder reads every job anew. Cause: a job that was over and forgotten looked like a new one. */
static void
test_dropped_history (void **state)
{
	(void)state;
	struct site site;
	site_open (&site);
	site_submit (&site, 0, site_plan ("a", 3, false, 1));
	site_wait_for_state (&site, "a", "completed", 5000);
	dff_memory_rows_drop_history (site.rows);
	site_submit (&site, 1, site_plan ("b", 1, false, 1));
	assert_int_not_equal (site_wait_for_state (&site, "b", "completed", 5000), -1);
	site_run (&site, 2000);
	assert_int_equal (dff_memory_runner_n_starts (site.runner, "a"), 3);
	site_close (&site);
}

/* Symptom: a stopping process leaves the cell without a holder for a second. */
static void
test_step_down (void **state)
{
	(void)state;
	struct site site;
	site_open (&site);
	site_submit (&site, 0, site_plan ("1", 4, false, 1));
	site_run (&site, 300);
	int holder = site_holder (&site);
	dff_holder_step_down (site.processes[holder].holder);
	site_run (&site, 800);
	assert_true (dff_holder_has_stepped_down (site.processes[holder].holder));
	assert_int_not_equal (site_holder (&site), holder);
	assert_int_not_equal (site_holder (&site), -1);
	assert_int_not_equal (site_wait_for_state (&site, "1", "completed", 9000), -1);
	assert_int_equal (dff_memory_runner_n_starts (site.runner, "1"), 4);
	site_close (&site);
}

/* Symptom: a task runs twice at a time. Sequence: a holder loses the store and the other processes,
 * and goes on renewing a worker that only it reaches; its successor is killed, and the next one
 * knows that this successor has ended. Cause: only the last holder was thought of. */
static void
test_renewals_of_an_earlier_holder (void **state)
{
	(void)state;
	struct site site;
	site_open (&site);
	site_submit (&site, 0, site_plan ("7", 1, false, 1));
	site_run (&site, 400);
	const char *worker_id = dff_memory_runner_worker_of (site.runner, "7.0.0.0");
	assert_non_null (worker_id);
	int reached = worker_id[1] - '0';
	int first = site_holder (&site);
	site.processes[first].isolated = true;
	dff_memory_rows_client_faults (site.processes[first].rows)->silent = true;
	for (int i = 0; i < SITE_PROCESSES; i++)
		site_cut_worker_from (&site, reached, i, i != first);
	/* The others would tell it of the higher epoch. */
	for (int i = 0; i < SITE_WORKERS; i++)
		site_cut_worker_from (&site, i, first, i != reached);
	site_run (&site, 3000);
	int second = (first + 1) % SITE_PROCESSES;
	if (!dff_holder_is_holding (site.processes[second].holder))
		second = (first + 2) % SITE_PROCESSES;
	assert_true (dff_holder_is_holding (site.processes[second].holder));
	site_kill_process (&site, second);
	site_run (&site, 300);
	site_start_process (&site, second);
	site_cut_worker_from (&site, reached, second, true);
	site_run (&site, 22000);
	dff_memory_rows_client_faults (site.processes[first].rows)->silent = false;
	site.processes[first].isolated = false;
	assert_int_not_equal (site_wait_for_state (&site, "7", "completed", 60000), -1);
	assert_int_equal (dff_memory_runner_n_starts (site.runner, "7"), 2);
	site_close (&site);
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_take_over),
		cmocka_unit_test (test_fast_process_becomes_holder),
		cmocka_unit_test (test_reads_of_slow_processes),
		cmocka_unit_test (test_lost_holder_is_looked_up),
		cmocka_unit_test (test_slow_processes_follow),
		cmocka_unit_test (test_lost_and_late_answers),
		cmocka_unit_test (test_silent_store),
		cmocka_unit_test (test_slow_store),
		cmocka_unit_test (test_recovery_after_silence),
		cmocka_unit_test (test_slow_holder),
		cmocka_unit_test (test_slow_pages),
		cmocka_unit_test (test_held_feeds),
		cmocka_unit_test (test_leaving_while_feeds_are_held),
		cmocka_unit_test (test_dropped_history),
		cmocka_unit_test (test_step_down),
		cmocka_unit_test (test_renewals_of_an_earlier_holder),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
