#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "recorder_fixture.h"

/* Lost answers, outages, a table that never answers, and abandoned writes. */

/* Guards against a wrong outcome when the answer to a commit is lost before, after or without the
 * commit taking effect: a job reported as refused would be submitted again and run twice, and an
 * accepted one could be missing. Only a lookup of the write id, which also bars a late write, tells
 * whether the commit took effect. */
static void
test_lost_answers (void **state)
{
	struct recorder_fixture *fixture = *state;
	static const struct {
		const char *key;
		struct dff_memory_faults faults;
		int32_t give_up_ms;
		enum dff_record_outcome outcome;
		int commits;
	} cases[] = {
		{"took-effect", {.lose_answers = 1}, 0, DFF_RECORD_COMMITTED, 1},
		{"took-effect-give-up", {.lose_answers = 1}, 10, DFF_RECORD_COMMITTED, 1},
		{"absent", {.lost_writes = 1}, 0, DFF_RECORD_COMMITTED, 2},
		{"absent-give-up", {.lost_writes = 1}, 10, DFF_RECORD_NOT_COMMITTED, 1},
		{"late", {.late_writes = 1, .late_ms = 300}, 0, DFF_RECORD_COMMITTED, 2},
		{"late-give-up",
		 {.late_writes = 1, .late_ms = 300},
		 10,
		 DFF_RECORD_NOT_COMMITTED,
		 1},
		{"late-before-lookup",
		 {.late_writes = 1, .late_ms = 5},
		 10,
		 DFF_RECORD_COMMITTED,
		 1},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct recorder_writer writer;
		int64_t commits = dff_memory_counts (fixture->memory).commits;
		int64_t rows = dff_memory_counts (fixture->memory).rows_written;
		fixture->caller->faults = cases[i].faults;
		recorder_write (fixture, &writer, cases[i].key, "v", cases[i].key, 0,
				cases[i].give_up_ms);
		recorder_run (fixture, 1000);
		bool done = cases[i].outcome == DFF_RECORD_COMMITTED;
		assert_int_equal (writer.calls, 1);
		assert_int_equal (writer.outcome, cases[i].outcome);
		assert_true (recorder_row_is (fixture, cases[i].key, done ? "v" : NULL));
		assert_int_equal (dff_memory_counts (fixture->memory).commits - commits,
				  cases[i].commits);
		assert_int_equal (dff_memory_counts (fixture->memory).rows_written - rows,
				  done ? 1 : 0);
	}
}

/* Guards against reporting a failed condition that did not fail, on which the writer drops its
 * work. A slow commit times out, a lookup bars its write id but the lookup's answer is lost, and
 * the commit then conflicts with the barred id. */
static void
test_conflict_with_a_barred_write_id (void **state)
{
	struct recorder_fixture *fixture = *state;
	struct recorder_writer writer;
	fixture->caller->faults.delay_min_ms = 2000;
	recorder_write (fixture, &writer, "k", "v", "k", 0, 0);
	recorder_run (fixture, 50);
	fixture->caller->faults.delay_min_ms = 10;
	fixture->caller->faults.lose_permille = 1000;
	recorder_run (fixture, 1900);
	assert_int_equal (writer.calls, 0);
	fixture->caller->faults.lose_permille = 0;
	recorder_run (fixture, 6000);
	assert_int_equal (writer.calls, 1);
	assert_int_equal (writer.outcome, DFF_RECORD_COMMITTED);
	assert_true (recorder_row_is (fixture, "k", "v"));
}

static void
test_outage_and_recovery (void **state)
{
	struct recorder_fixture *fixture = *state;
	struct recorder_writer writers[4];
	struct recorder_writer late;
	static const char *const keys[] = {"a", "b", "c", "d"};
	fixture->caller->faults.outage_until_ms = fixture->clock.now_ms + 10000;
	for (int i = 0; i < 4; i++)
		recorder_write (fixture, &writers[i], keys[i], "v", NULL, 0, i == 3 ? 5000 : 0);
	recorder_run (fixture, 100);
	assert_true (dff_recorder_is_breaker_open (fixture->recorder));
	assert_true (dff_recorder_retry_after_s (fixture->recorder) >= 1);
	/* The last write has a timeout: it is refused at once, not when the timeout ends. */
	assert_int_equal (writers[3].calls, 1);
	assert_int_equal (writers[3].outcome, DFF_RECORD_NOT_COMMITTED);
	recorder_write (fixture, &late, "late", "v", NULL, 0, 5000);
	recorder_run (fixture, TICK_MS);
	assert_int_equal (late.calls, 1);
	assert_int_equal (late.outcome, DFF_RECORD_NOT_COMMITTED);
	recorder_run (fixture, 9000);
	assert_int_equal (writers[0].calls, 0);
	/* The probes back off from 200 ms, doubling to 5 s, each jittered down to half. */
	int64_t tries = *dff_metrics_counter (fixture->metrics, "dff_record_lookups_total", "");
	assert_in_range (tries, 4, 9);
	recorder_run (fixture, 7000);
	assert_false (dff_recorder_is_breaker_open (fixture->recorder));
	assert_string_equal (fixture->done_order->str, "a b c ");
	assert_true (recorder_row_is (fixture, "d", NULL));
	assert_true (recorder_row_is (fixture, "late", NULL));
}

/* Guards against writers that wait forever: the table commits, but neither the commit nor the
 * lookups are answered. Calls without an answer have to time out and count as failures. */
static void
test_table_that_never_answers (void **state)
{
	struct recorder_fixture *fixture = *state;
	struct recorder_writer writer;
	struct recorder_writer waiting;
	fixture->caller->faults.silent_until_ms = fixture->clock.now_ms + 5000;
	recorder_write (fixture, &writer, "a", "v", NULL, 0, 0);
	recorder_run (fixture, 10);
	recorder_write (fixture, &waiting, "a", "w", NULL, 0, 4900);
	recorder_run (fixture, 4000);
	assert_true (dff_recorder_is_breaker_open (fixture->recorder));
	assert_int_equal (writer.calls, 0);
	assert_int_equal (waiting.outcome, DFF_RECORD_NOT_COMMITTED);
	recorder_run (fixture, 6000);
	assert_int_equal (writer.calls, 1);
	assert_int_equal (writer.outcome, DFF_RECORD_COMMITTED);
	assert_true (recorder_row_is (fixture, "a", "v"));
	assert_false (dff_recorder_is_breaker_open (fixture->recorder));
}

/* Guards against reporting a job as not run that runs: the caller abandons a write in flight, which
 * then takes effect. Abandoning a write does not revert it. */
static void
test_abandon_reports_known_effect (void **state)
{
	struct recorder_fixture *fixture = *state;
	static const struct {
		const char *key;
		int64_t run_ms;
		struct dff_memory_faults faults;
		enum dff_abandon_outcome abandon;
		bool written;
	} cases[] = {
		{"waiting", 0, {0}, DFF_ABANDON_NOT_COMMITTED, false},
		{"sent", 10, {.delay_min_ms = 50}, DFF_ABANDON_UNKNOWN, true},
		{"unresolved", 10, {.lost_writes = 1}, DFF_ABANDON_UNKNOWN, false},
		{"refused", 5, {.outage_until_ms = 1}, DFF_ABANDON_NOT_COMMITTED, false},
		{"in-outage",
		 100,
		 {.outage_until_ms = INT64_MAX},
		 DFF_ABANDON_NOT_COMMITTED,
		 false},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct recorder_writer writer;
		fixture->caller->faults = cases[i].faults;
		recorder_write (fixture, &writer, cases[i].key, "v", NULL, 0, 0);
		if (cases[i].run_ms > TICK_MS)
			recorder_run (fixture, cases[i].run_ms);
		assert_int_equal (dff_recorder_abandon (fixture->recorder, writer.ticket),
				  cases[i].abandon);
		recorder_run (fixture, 1000);
		assert_int_equal (writer.calls, 0);
		assert_true (
			recorder_row_is (fixture, cases[i].key, cases[i].written ? "v" : NULL));
		assert_int_equal (dff_recorder_abandon (fixture->recorder, writer.ticket),
				  DFF_ABANDON_UNKNOWN);
	}
}

/* Abandons the writer that @user points to. */
static void
abandon_other (void *user, enum dff_record_outcome outcome, int64_t revision)
{
	struct recorder_writer *other = user;
	assert_int_equal (outcome, DFF_RECORD_COMMITTED);
	assert_int_equal (revision, 1);
	assert_int_equal (dff_recorder_abandon (other->fixture->recorder, other->ticket),
			  DFF_ABANDON_UNKNOWN);
}

/* Two writes are committed together, and the callback of the first abandons the second. */
static void
test_abandon_of_a_confirmed_write (void **state)
{
	struct recorder_fixture *fixture = *state;
	struct recorder_writer second;
	struct dff_table_write row = {dff_str_from ("first"), dff_str_from ("v")};
	struct dff_record_write write = {.writes = &row, .n_writes = 1};
	dff_recorder_write (fixture->recorder, &write, abandon_other, &second);
	recorder_write (fixture, &second, "second", "v", NULL, 0, 0);
	recorder_run (fixture, 50);
	assert_int_equal (second.calls, 0);
	assert_true (recorder_row_is (fixture, "second", "v"));
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown (test_lost_answers, recorder_setup,
						 recorder_teardown),
		cmocka_unit_test_setup_teardown (test_conflict_with_a_barred_write_id,
						 recorder_setup, recorder_teardown),
		cmocka_unit_test_setup_teardown (test_outage_and_recovery, recorder_setup,
						 recorder_teardown),
		cmocka_unit_test_setup_teardown (test_table_that_never_answers, recorder_setup,
						 recorder_teardown),
		cmocka_unit_test_setup_teardown (test_abandon_reports_known_effect, recorder_setup,
						 recorder_teardown),
		cmocka_unit_test_setup_teardown (test_abandon_of_a_confirmed_write, recorder_setup,
						 recorder_teardown),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
