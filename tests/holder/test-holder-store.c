#include "tests/holder/site.h"

#include <string.h>

/* The holder and its successors, with a faulty store. */

static void
set_silent (struct site *site, bool silent)
{
	for (int i = 0; i < SITE_PROCESSES; i++)
		dff_memory_rows_client_faults (site->processes[i].rows)->silent = silent;
}

/* Asserts that a process keeps the lease of the cell for eight seconds of slow calls, and that its
 * job of four tasks completes once the calls are fast again. */
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

/* Guards against jobs that wait for seconds after the holder is killed or loses its path to the
 * store: the other processes must not always wait until the holder's row has been unchanged for the
 * whole timeout. */
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
			/* The former holder continues until the takeover is reported to it. */
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

/* Opens a site in which the second process takes over fast and the others slowly, and kills all
 * processes. */
static void
open_with_fast_process (struct site *site, int64_t slow_ms)
{
	site_open (site);
	for (int i = 0; i < SITE_PROCESSES; i++) {
		site->takeover_ms[i] = i == 1 ? 200 : slow_ms;
		site_kill_process (site, i);
	}
}

/* Guards against seconds of downtime at each takeover in a fleet of unequal machines: a small
 * machine acquires the lease first, takes over late and falls behind, and the lease passes to the
 * next process. Which process acquires the lease must not be left to chance. */
static void
test_fast_process_becomes_holder (void **state)
{
	(void)state;
	struct site site;
	open_with_fast_process (&site, 1200);
	for (int i = 0; i < SITE_PROCESSES; i++)
		site_start_process (&site, i);
	/* All processes start with a row that does not list them: the fast one becomes the holder,
	 * whichever acquires the lease first. */
	site_run (&site, 5000);
	assert_int_equal (site_holder (&site), 1);
	assert_int_equal (site_submit (&site, 0, site_plan ("7", 4, false, 1)), DFF_FRONT_OK);
	site_run (&site, 300);
	site_kill_process (&site, 1);
	/* The other processes wait for the time by which they are slower than the fast one, and no
	 * longer. */
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

/* The load: an idle fleet of small machines and a few large ones. Guards against reads of the store
 * that grow with the fleet, by three a second per machine: counts the reads of a process that is
 * not among the next candidates for the lease. */
static void
test_reads_of_slow_processes (void **state)
{
	(void)state;
	static const struct {
		int64_t takeover_ms;
		int64_t least;
		int64_t most;
	} cases[] = {
		/* As fast as the holder: three reads a second. */
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

/* Guards against sending callers' rows to a lost holder until a slow process next looks up the
 * holder: a process that cannot reach the holder looks it up at once, but not more often than the
 * others do. */
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

/* Guards against a holder that is not replaced because the other processes rarely read its row:
 * whenever it ends, a slow process takes over within its wait, one more read interval and the
 * random spread. */
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

/* Guards against jobs that are lost or run twice: the store executes writes whose answers are lost,
 * some of them seconds later, while the holder changes. */
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

/* Guards against callers that wait until their timeout although their jobs cannot be accepted: each
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
	/* The leases of the workers were renewed during the whole outage. */
	assert_int_equal (dff_memory_runner_n_starts (site.runner, "1"), 6);
	assert_int_not_equal (site_wait_for_state (&site, "c", "completed", 5000), -1);
	site_close (&site);
}

/* The load: a store that is silent for some seconds, which its clients detect, and that answers
 * again just after each call in progress was sent. */
#define OUTAGE_MS 4200
/** Time for a probe of a silent store and two transactions, ms. */
#define RECOVERY_MS 300

/* Guards against jobs that are accepted after an outage of the store and start a second late: the
 * holder's transaction and its reads of jobs that were sent just before the recovery are lost, and
 * must not be awaited until their timeouts. */
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

/* Guards against a lease that passes from process to process, so that no decisions are made, while
 * the store is slow: transactions exceed the holder's timeout, and the holder reports to the other
 * processes that it cannot record anything. A store that is slow for all processes must not be
 * taken for one that only the holder has lost. */
static void
test_slow_store (void **state)
{
	(void)state;
	/* Reads are faster than the holder's transactions of many rows. */
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

/* Guards against replacing a new holder before its first decision, so that the runs on lost workers
 * wait once more: it is short of CPU time after a takeover, and a large transaction exceeds its
 * timeout, while the other processes' reads are fast. A timeout must not count as the loss of the
 * store while the store still answers the same process, nor an unchanged row while the holder
 * reports that it is running. */
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

/* Guards against a new holder that never makes decisions: the table of jobs has grown, and a full
 * page takes longer than the timeout. No further attempt may request as many rows with the same
 * timeout. */
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

/* Guards against jobs that are accepted within one second and start together, late: the store holds
 * its feeds back. */
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

/* Guards against assigning tasks to a leaving worker for as long as the store holds changes back: a
 * change that the feed has not reported may still have happened. */
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
	/* Each task takes a whole worker for two seconds: they run one at a time. */
	site_submit (&site, 0, site_plan ("6", 3, false, SITE_ACCELERATORS));
	site_run (&site, 1500);
	assert_int_equal (dff_memory_runner_n_starts (site.runner, "6"), 1);
	site_close (&site);
}

/* Guards against running an ended job again: the store drops its history, and the holder reads all
 * jobs again. A job that has ended and whose state was discarded must not look like a new one. */
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

/* Guards against a cell without a holder for a second after its holder has stopped. */
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

/* Guards against two concurrent runs of a task: a holder loses the store and the other processes
 * but still renews the lease of a worker that only it reaches; its successor is killed, and the
 * next holder detects the end of this successor. All earlier holders have to be considered, not
 * only the last one. */
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
	/* Otherwise the other workers would report the higher epoch to the first holder. */
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
