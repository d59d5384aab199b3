#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "backing/memory.h"
#include "standin/memory_workers.h"
#include "upstream/watcher.h"

#define START_MS 100000
#define TICK_MS 5
#define TIMEOUT_MS INT64_C (1000)
#define INTERVAL_MS INT64_C (1000)
#define LEASE_MS INT64_C (9000)
#define REPORT_REPEAT_MS INT64_C (5000)
/** Number of times that each change is reported. */
#define REPORTS_PER_CHANGE 2
#define MAX_WORKERS 40

/** State of one worker according to the reports received. */
struct observed {
	int32_t n_worker_reports;
	int32_t n_reachable_reports;
	int32_t n_task_reports;
	bool reachable;
	bool leaving;
	bool complete;
	int64_t silent_ms;
	int64_t at_ms;
	/** State of the task in the last task report; UNKNOWN without a report, or after a complete
	 * list without the task. */
	enum dff_task_state task;
};

struct fixture {
	struct dff_clock_virtual clock;
	struct dff_memory *memory;
	struct dff_memory_handle *caller;
	struct dff_memory_workers *workers;
	struct dff_metrics *metrics;
	struct dff_watcher *watcher;
	struct dff_watched_worker share[MAX_WORKERS];
	size_t n_workers;
	struct observed observed[MAX_WORKERS];
	/** Number of worker reports, from the next one, that are dropped. */
	int32_t lose_reports;
};

static void
handle_report (void *ctx, const struct dff_worker_report *report)
{
	struct fixture *fixture = ctx;
	if (fixture->lose_reports > 0) {
		fixture->lose_reports--;
		return;
	}
	size_t at = 0;
	while (!dff_name_equal (&fixture->share[at].name, &report->worker))
		at++;
	struct observed *observed = &fixture->observed[at];
	observed->n_worker_reports++;
	observed->n_task_reports += (int32_t)report->n_reports;
	observed->n_reachable_reports += report->reachable;
	observed->reachable = report->reachable;
	observed->leaving = report->leaving;
	observed->complete = report->complete;
	observed->silent_ms = report->silent_ms;
	observed->at_ms = fixture->clock.now_ms;
	if (report->complete)
		observed->task = DFF_TASK_UNKNOWN;
	for (size_t i = 0; i < report->n_reports; i++)
		observed->task = report->reports[i].state;
}

static struct dff_watcher *
new_watcher (struct fixture *fixture, uint64_t seed)
{
	struct dff_watcher_options options;
	dff_watcher_options_init (&options);
	options.workers = dff_memory_workers_interface (fixture->workers);
	options.clock = &fixture->clock.clock;
	options.metrics = fixture->metrics;
	options.seed = seed;
	options.interval_ms = INTERVAL_MS;
	options.report_repeat_ms = REPORT_REPEAT_MS;
	options.lease_ms = LEASE_MS;
	options.report = handle_report;
	options.ctx = fixture;
	return dff_watcher_new (&options);
}

static void
fixture_init (struct fixture *fixture, size_t n_workers)
{
	*fixture = (struct fixture){.n_workers = n_workers};
	dff_clock_virtual_init (&fixture->clock, START_MS);
	struct dff_memory_options memory = {.clock = &fixture->clock.clock, .seed = 1};
	fixture->memory = dff_memory_new (&memory);
	fixture->caller = dff_memory_open (fixture->memory);
	fixture->workers = dff_memory_workers_new (&fixture->clock.clock, TIMEOUT_MS);
	fixture->metrics = dff_metrics_new ();
	for (size_t i = 0; i < n_workers; i++) {
		struct dff_standin_worker_options worker = {
			.store = &fixture->caller->objects,
			.capacity = {.slots = 8, .cores = 32, .memory_gb = 64, .accelerators = 8},
		};
		fixture->share[i].name = dff_name_printf ("w%d", (int)i);
		fixture->share[i].address = dff_name_printf ("10.0.0.%d:80", (int)i);
		dff_memory_workers_add (fixture->workers, &fixture->share[i].address, &worker);
	}
	fixture->watcher = new_watcher (fixture, 1);
	dff_watcher_set_workers (fixture->watcher, fixture->share, n_workers);
}

static void
fixture_clear (struct fixture *fixture)
{
	dff_memory_workers_free (fixture->workers);
	dff_watcher_free (fixture->watcher);
	dff_memory_close (fixture->caller);
	dff_memory_free (fixture->memory);
	dff_metrics_free (fixture->metrics);
}

static void
run (struct fixture *fixture, int64_t duration_ms)
{
	int64_t until_ms = fixture->clock.now_ms + duration_ms;
	for (; fixture->clock.now_ms < until_ms; fixture->clock.now_ms += TICK_MS) {
		dff_memory_workers_tick (fixture->workers);
		dff_watcher_tick (fixture->watcher);
	}
}

static int64_t
renewals (struct fixture *fixture)
{
	return *dff_metrics_counter (fixture->metrics, "dff_watch_renewals_total", "");
}

static void
start_task (struct fixture *fixture)
{
	struct dff_task_start start = {
		.task = {dff_name_from ("sk.a"), 1, 0},
		.epoch = 1,
		.lease_ms = LEASE_MS,
		.payload = dff_str_from ("{\"run_ms\":600000}"),
	};
	struct dff_task_report report;
	struct dff_worker_tasks *tasks =
		dff_memory_workers_tasks (fixture->workers, &fixture->share[0].address);
	assert_int_equal (dff_worker_tasks_start (tasks, &start, &report), DFF_WORKER_OK);
}

/** Returns: the state of the task at its worker. */
static enum dff_task_state
task_state (struct fixture *fixture)
{
	g_autoptr (GArray) reports = g_array_new (FALSE, TRUE, sizeof (struct dff_task_report));
	dff_worker_tasks_query (
		dff_memory_workers_tasks (fixture->workers, &fixture->share[0].address), reports);
	return reports->len == 0 ? DFF_TASK_UNKNOWN
				 : g_array_index (reports, struct dff_task_report, 0).state;
}

static struct dff_memory_worker_faults *
faults (struct fixture *fixture)
{
	return dff_memory_workers_faults (fixture->workers, &fixture->share[0].address);
}

static void
test_renewals_are_spread_and_only_changes_reported (void **state)
{
	(void)state;
	struct fixture fixture;
	fixture_init (&fixture, MAX_WORKERS);
	start_task (&fixture);
	run (&fixture, 2 * INTERVAL_MS);
	int64_t busiest = 0;
	for (int window = 0; window < 100; window++) {
		int64_t before = renewals (&fixture);
		run (&fixture, INTERVAL_MS / 10);
		busiest = MAX (busiest, renewals (&fixture) - before);
	}
	assert_in_range (renewals (&fixture), 11 * MAX_WORKERS, 13 * MAX_WORKERS);
	assert_in_range (busiest, 1, MAX_WORKERS / 3);
	for (size_t i = 0; i < MAX_WORKERS; i++)
		assert_int_equal (fixture.observed[i].n_worker_reports, REPORTS_PER_CHANGE);
	assert_int_equal (task_state (&fixture), DFF_TASK_RUNNING);
	assert_int_equal (fixture.observed[0].task, DFF_TASK_RUNNING);
	fixture_clear (&fixture);
}

/* Guards against taking a hanging worker for a live one: its connections stay open but nothing is
 * answered for longer than the lease; then it answers again. */
static void
test_silent_worker_is_reported_in_time (void **state)
{
	(void)state;
	struct fixture fixture;
	fixture_init (&fixture, 1);
	run (&fixture, 3 * INTERVAL_MS);
	start_task (&fixture);
	run (&fixture, 2 * INTERVAL_MS);
	faults (&fixture)->silent = true;
	run (&fixture, INTERVAL_MS + 2 * TIMEOUT_MS + 500);
	assert_false (fixture.observed[0].reachable);
	while (fixture.observed[0].silent_ms < LEASE_MS)
		run (&fixture, TICK_MS);
	assert_in_range (fixture.observed[0].silent_ms, LEASE_MS,
			 LEASE_MS + INTERVAL_MS + TIMEOUT_MS);
	assert_int_equal (task_state (&fixture), DFF_TASK_STOPPED);
	faults (&fixture)->silent = false;
	run (&fixture, 3 * INTERVAL_MS);
	assert_true (fixture.observed[0].reachable);
	assert_int_equal (fixture.observed[0].task, DFF_TASK_STOPPED);
	fixture_clear (&fixture);
}

/* Guards against a task that runs on after the holder has declared its worker lost: renewals
 * arrive, but their answers are lost. The worker must not prolong the lease with each renewal. */
static void
test_lost_answers_end_the_lease (void **state)
{
	(void)state;
	struct fixture fixture;
	fixture_init (&fixture, 1);
	run (&fixture, 3 * INTERVAL_MS);
	start_task (&fixture);
	run (&fixture, 2 * INTERVAL_MS);
	faults (&fixture)->lose_answers = G_MAXINT32;
	while (fixture.observed[0].silent_ms < LEASE_MS) {
		run (&fixture, TICK_MS);
		assert_true (fixture.clock.now_ms < START_MS + 10 * LEASE_MS);
	}
	assert_int_equal (task_state (&fixture), DFF_TASK_STOPPED);
	fixture_clear (&fixture);
}

/* Guards against losing a completion when the answer that reports it is lost: neither the worker
 * nor the watcher may treat a change as received because it was sent. */
static void
test_lost_answer_is_reported_again (void **state)
{
	(void)state;
	struct fixture fixture;
	fixture_init (&fixture, 1);
	run (&fixture, 3 * INTERVAL_MS);
	faults (&fixture)->lose_answers = 1;
	start_task (&fixture);
	run (&fixture, 4 * INTERVAL_MS);
	assert_int_equal (fixture.observed[0].task, DFF_TASK_RUNNING);
	assert_true (fixture.observed[0].reachable);
	fixture_clear (&fixture);
}

/* Guards against counting a completed job as running: the report of its end is lost between two
 * processes and nothing else changes at the worker, so each change has to be reported twice. */
static void
test_lost_report_is_repeated (void **state)
{
	(void)state;
	struct fixture fixture;
	fixture_init (&fixture, 1);
	run (&fixture, REPORT_REPEAT_MS + 3 * INTERVAL_MS);
	start_task (&fixture);
	fixture.lose_reports = 1;
	run (&fixture, 2 * INTERVAL_MS);
	assert_int_equal (fixture.lose_reports, 0);
	assert_int_equal (fixture.observed[0].task, DFF_TASK_UNKNOWN);
	/* Due after REPORT_REPEAT_MS and its jitter; sent with the renewal after that. */
	run (&fixture, REPORT_REPEAT_MS + 2 * INTERVAL_MS);
	assert_int_equal (fixture.observed[0].task, DFF_TASK_RUNNING);
	fixture_clear (&fixture);
}

/* Guards against a worker with a long task list that is never reported: in one message, the list
 * would exceed the length that peers accept. */
static void
test_long_report_lists_are_split (void **state)
{
	(void)state;
	enum { DFF_N_TASKS = 1300 };
	struct fixture fixture;
	fixture_init (&fixture, 1);
	struct dff_worker_tasks *tasks =
		dff_memory_workers_tasks (fixture.workers, &fixture.share[0].address);
	for (int i = 1; i <= DFF_N_TASKS; i++) {
		struct dff_task_id task = {dff_name_from ("sk.a"), i, 0};
		struct dff_task_report report;
		dff_worker_tasks_stop (tasks, &task, 1, &report);
	}
	run (&fixture, 2 * INTERVAL_MS);
	assert_int_equal (fixture.observed[0].n_worker_reports, 3);
	assert_int_equal (fixture.observed[0].n_task_reports, DFF_N_TASKS);
	assert_false (fixture.observed[0].complete);
	fixture_clear (&fixture);
}

static void
test_leaving_is_reported_within_three_seconds (void **state)
{
	(void)state;
	for (int64_t offset_ms = 0; offset_ms < INTERVAL_MS; offset_ms += 50) {
		struct fixture fixture;
		fixture_init (&fixture, 1);
		run (&fixture, 3 * INTERVAL_MS + offset_ms);
		dff_worker_tasks_leave (
			dff_memory_workers_tasks (fixture.workers, &fixture.share[0].address));
		int64_t left_ms = fixture.clock.now_ms;
		run (&fixture, 3000);
		assert_true (fixture.observed[0].leaving);
		assert_true (fixture.observed[0].at_ms - left_ms <= 3000);
		fixture_clear (&fixture);
	}
}

/* Guards against stopping running tasks when the watcher's process fails and its share is assigned
 * to another process, which has no state. Leases must not depend on one process, and the new
 * watcher has to request all tasks. */
static void
test_handover_keeps_tasks_and_reports_all (void **state)
{
	(void)state;
	struct fixture fixture;
	fixture_init (&fixture, 2);
	start_task (&fixture);
	run (&fixture, 5 * INTERVAL_MS);
	dff_watcher_set_workers (fixture.watcher, fixture.share, 0);
	run (&fixture, 2 * INTERVAL_MS);
	struct dff_watcher *old = fixture.watcher;
	fixture.watcher = new_watcher (&fixture, 2);
	dff_watcher_set_workers (fixture.watcher, fixture.share, 2);
	fixture.observed[0] = (struct observed){0};
	run (&fixture, 20 * INTERVAL_MS);
	assert_int_equal (task_state (&fixture), DFF_TASK_RUNNING);
	assert_int_equal (fixture.observed[0].n_worker_reports, REPORTS_PER_CHANGE);
	assert_true (fixture.observed[0].complete);
	assert_int_equal (fixture.observed[0].task, DFF_TASK_RUNNING);
	dff_watcher_free (old);
	fixture_clear (&fixture);
}

/* Guards against keeping a task that no worker runs: a worker crashes and restarts between two
 * renewals and answers as before, with no changes. */
static void
test_restart_is_reported_as_a_complete_list (void **state)
{
	(void)state;
	static const int64_t watched_before_ms[] = {0, 20, 2 * INTERVAL_MS};
	for (size_t i = 0; i < G_N_ELEMENTS (watched_before_ms); i++) {
		struct fixture fixture;
		fixture_init (&fixture, 1);
		run (&fixture, 3 * INTERVAL_MS);
		start_task (&fixture);
		run (&fixture, watched_before_ms[i]);
		int32_t before = fixture.observed[0].n_worker_reports;
		dff_memory_workers_restart (fixture.workers, &fixture.share[0].address);
		run (&fixture, 2 * INTERVAL_MS);
		assert_true (fixture.observed[0].n_worker_reports > before);
		assert_true (fixture.observed[0].complete);
		assert_int_equal (fixture.observed[0].task, DFF_TASK_UNKNOWN);
		fixture_clear (&fixture);
	}
}

/* Guards against a new holder that misses a task which ended just before the takeover: a renewal is
 * in progress when the holder changes, and its answer covers only the changes after the old
 * sequence number. It must not count as the complete list. */
static void
test_new_holder_receives_all_tasks (void **state)
{
	(void)state;
	for (int64_t offset_ms = 0; offset_ms < INTERVAL_MS; offset_ms += 20) {
		struct fixture fixture;
		fixture_init (&fixture, 1);
		start_task (&fixture);
		faults (&fixture)->delay_ms = 300;
		run (&fixture, REPORT_REPEAT_MS + 4 * INTERVAL_MS + offset_ms);
		fixture.observed[0] = (struct observed){0};
		dff_watcher_report_all (fixture.watcher);
		run (&fixture, 3 * INTERVAL_MS);
		assert_int_equal (fixture.observed[0].n_worker_reports, 1);
		assert_true (fixture.observed[0].complete);
		assert_int_equal (fixture.observed[0].task, DFF_TASK_RUNNING);
		run (&fixture, 2 * REPORT_REPEAT_MS);
		assert_int_equal (fixture.observed[0].n_worker_reports, REPORTS_PER_CHANGE);
		fixture_clear (&fixture);
	}
}

/* Guards against a crash, or a report on a worker that another process watches: a worker leaves the
 * share while its renewal is in progress and returns at another address. The late answer must not
 * be taken for the new entry's. */
static void
test_answers_after_removal_are_dropped (void **state)
{
	(void)state;
	struct fixture fixture;
	fixture_init (&fixture, 1);
	faults (&fixture)->delay_ms = 500;
	run (&fixture, INTERVAL_MS + 100);
	fixture.observed[0] = (struct observed){0};
	struct dff_watched_worker moved = fixture.share[0];
	moved.address = dff_name_from ("10.0.0.99:80");
	dff_watcher_set_workers (fixture.watcher, &moved, 1);
	run (&fixture, 4 * INTERVAL_MS);
	assert_int_not_equal (fixture.observed[0].n_worker_reports, 0);
	assert_int_equal (fixture.observed[0].n_reachable_reports, 0);
	fixture_clear (&fixture);
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_renewals_are_spread_and_only_changes_reported),
		cmocka_unit_test (test_silent_worker_is_reported_in_time),
		cmocka_unit_test (test_lost_answers_end_the_lease),
		cmocka_unit_test (test_lost_answer_is_reported_again),
		cmocka_unit_test (test_lost_report_is_repeated),
		cmocka_unit_test (test_long_report_lists_are_split),
		cmocka_unit_test (test_leaving_is_reported_within_three_seconds),
		cmocka_unit_test (test_handover_keeps_tasks_and_reports_all),
		cmocka_unit_test (test_restart_is_reported_as_a_complete_list),
		cmocka_unit_test (test_new_holder_receives_all_tasks),
		cmocka_unit_test (test_answers_after_removal_are_dropped),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
