#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "recorder_fixture.h"

/* Grouping, order, conflicts and limits, with a table without faults. */

static void
test_group_commit (void **state)
{
	struct recorder_fixture *fixture = *state;
	struct recorder_writer writers[MAX_ROWS];
	static const char *const keys[MAX_ROWS] = {"a", "b", "c", "d", "e", "f", "g", "h"};
	for (int i = 0; i < MAX_ROWS; i++)
		recorder_write (fixture, &writers[i], keys[i], "v", keys[i], 0, 0);
	recorder_run (fixture, 20);
	for (int i = 0; i < MAX_ROWS; i++) {
		assert_int_equal (writers[i].calls, 1);
		assert_int_equal (writers[i].outcome, DFF_RECORD_COMMITTED);
		assert_int_equal (writers[i].revision, 1);
	}
	assert_int_equal (dff_memory_counts (fixture->memory).commits, 1);
}

/* Guards against two writes to one key in flight together: the answer to the first is lost and it
 * takes effect after the second, so that the table holds the older value although both were
 * confirmed. */
static void
test_writes_to_one_key_stay_in_order (void **state)
{
	struct recorder_fixture *fixture = *state;
	struct recorder_writer writers[4];
	fixture->caller->faults.late_writes = 1;
	fixture->caller->faults.late_ms = 400;
	recorder_write (fixture, &writers[0], "k", "1", NULL, 0, 0);
	recorder_run (fixture, 10);
	recorder_write (fixture, &writers[1], "k", "2", NULL, 0, 0);
	recorder_write (fixture, &writers[2], "other", "x", NULL, 0, 0);
	recorder_write (fixture, &writers[3], "k", "3", NULL, 0, 0);
	recorder_run (fixture, 15);
	assert_int_equal (writers[1].calls, 0);
	assert_int_equal (writers[2].calls, 1);
	recorder_run (fixture, 1000);
	assert_true (recorder_row_is (fixture, "k", "3"));
	assert_string_equal (fixture->done_order->str, "other k k k ");
}

static void
test_conflict_in_a_group (void **state)
{
	struct recorder_fixture *fixture = *state;
	struct recorder_writer writers[4];
	recorder_write (fixture, &writers[0], "a", "v", "a", 0, 0);
	recorder_write (fixture, &writers[1], "b", "v", "b", 9, 0);
	recorder_write (fixture, &writers[2], "c", "v", "c", 0, 0);
	recorder_write (fixture, &writers[3], "d", "v", "x", 9, 0);
	recorder_run (fixture, 100);
	static const enum dff_record_outcome outcomes[] = {
		DFF_RECORD_COMMITTED, DFF_RECORD_CONFLICT, DFF_RECORD_COMMITTED,
		DFF_RECORD_CONFLICT};
	for (int i = 0; i < 4; i++) {
		assert_int_equal (writers[i].calls, 1);
		assert_int_equal (writers[i].outcome, outcomes[i]);
		assert_true (recorder_row_is (fixture, writers[i].key,
					      outcomes[i] == DFF_RECORD_COMMITTED ? "v" : NULL));
	}
	assert_int_equal (dff_memory_counts (fixture->memory).commits, 2);
	assert_int_equal (dff_memory_counts (fixture->memory).gets, 1);
}

/* All units of a group conflict, as for a holder whose epoch is outdated: one commit and one read.
 */
static void
test_conflict_of_a_whole_group (void **state)
{
	struct recorder_fixture *fixture = *state;
	struct recorder_writer writers[4];
	static const char *const keys[] = {"a", "b", "c", "d"};
	for (int i = 0; i < 4; i++)
		recorder_write (fixture, &writers[i], keys[i], "v", "epoch", 3, 0);
	recorder_run (fixture, 100);
	for (int i = 0; i < 4; i++)
		assert_int_equal (writers[i].outcome, DFF_RECORD_CONFLICT);
	assert_int_equal (dff_memory_counts (fixture->memory).commits, 1);
	assert_int_equal (dff_memory_counts (fixture->memory).gets, 1);
	assert_int_equal (dff_memory_revision (fixture->memory), 0);
}

/** Returns: the largest number of transactions in any second while more are requested. The recorder
 * must not be ticked afterwards: the writers are on this stack frame. */
static int64_t
most_in_a_second (struct recorder_fixture *fixture)
{
	struct recorder_writer writers[20];
	g_autoptr (GArray) sent = g_array_new (FALSE, FALSE, sizeof (int64_t));
	/* All writes have the same key, so that each is a commit of its own. Twice as many writes
	 * are requested as the limit allows. */
	for (int tick = 0; tick < 800; tick++) {
		for (int i = 0; tick % 40 == 0 && i < 20; i++)
			recorder_write (fixture, &writers[i], "k", "v", NULL, 0, 0);
		recorder_run (fixture, TICK_MS);
		struct dff_memory_counts counts = dff_memory_counts (fixture->memory);
		int64_t total = counts.commits + counts.lookups;
		g_array_append_val (sent, total);
	}
	guint window = 1000 / TICK_MS;
	int64_t most = 0;
	for (guint i = window; i < sent->len; i++) {
		int64_t in_window = g_array_index (sent, int64_t, i) -
				    g_array_index (sent, int64_t, i - window);
		most = MAX (most, in_window);
	}
	return most;
}

static void
test_commit_rate_limit (void **state)
{
	assert_in_range (most_in_a_second (*state), MAX_COMMITS_PER_S * 8 / 10, MAX_COMMITS_PER_S);
}

/* Guards against a new limit that has no effect: an operator lowers it and reloads the settings
 * with SIGHUP, but the recorder keeps the value it was created with. */
static void
test_commit_rate_limit_can_be_changed (void **state)
{
	struct recorder_fixture *fixture = *state;
	dff_recorder_set_max_commits (fixture->recorder, MAX_COMMITS_PER_S / 2);
	assert_in_range (most_in_a_second (fixture), MAX_COMMITS_PER_S * 4 / 10,
			 MAX_COMMITS_PER_S / 2);
}

static void
test_full_queue_refuses_at_once (void **state)
{
	struct recorder_fixture *fixture = *state;
	struct recorder_writer writers[MAX_WAITING + 1];
	for (int i = 0; i <= MAX_WAITING; i++)
		recorder_write (fixture, &writers[i], "k", "v", NULL, 0, 0);
	dff_recorder_tick (fixture->recorder);
	assert_int_equal (writers[MAX_WAITING].calls, 1);
	assert_int_equal (writers[MAX_WAITING].outcome, DFF_RECORD_NOT_COMMITTED);
	for (int i = 1; i < MAX_WAITING; i++)
		assert_int_equal (writers[i].calls, 0);
}

/* Guards against one refused unit that blocks all writes: a row is too large for the table, its
 * transaction is refused and retried with the same group, and the refusals open the breaker
 * although the table works. */
static void
test_refused_unit_does_not_hold_up_others (void **state)
{
	struct recorder_fixture *fixture = *state;
	struct recorder_writer refused;
	struct recorder_writer writers[4];
	static const char *const keys[] = {"a", "b", "c", "d"};
	g_autofree char *large = g_strnfill (MAX_ROW_BYTES + 1, 'x');
	recorder_write (fixture, &refused, "large", large, NULL, 0, 0);
	for (int i = 0; i < 3; i++)
		recorder_write (fixture, &writers[i], keys[i], "v", NULL, 0, 0);
	recorder_run (fixture, 2000);
	for (int i = 0; i < 3; i++)
		assert_int_equal (writers[i].outcome, DFF_RECORD_COMMITTED);
	int64_t opened =
		*dff_metrics_counter (fixture->metrics, "dff_record_breaker_opened_total", "");
	int64_t commits = dff_memory_counts (fixture->memory).commits;
	for (int i = 0; i < 20; i++) {
		recorder_write (fixture, &writers[3], keys[3], "v", NULL, 0, 100);
		recorder_run (fixture, 1000);
		assert_int_equal (writers[3].outcome, DFF_RECORD_COMMITTED);
	}
	assert_int_equal (
		*dff_metrics_counter (fixture->metrics, "dff_record_breaker_opened_total", ""),
		opened);
	assert_in_range (dff_memory_counts (fixture->memory).commits - commits, 22, 30);
	assert_int_equal (refused.calls, 0);
	assert_int_equal (dff_recorder_abandon (fixture->recorder, refused.ticket),
			  DFF_ABANDON_NOT_COMMITTED);
}

static void
test_limits_in_bytes (void **state)
{
	struct recorder_fixture *fixture = *state;
	struct recorder_writer too_large;
	struct recorder_writer writers[5];
	static const char *const keys[] = {"a", "b", "c", "d", "e"};
	g_autofree char *huge = g_strnfill (DFF_RECORD_MAX_UNIT_BYTES + 1, 'x');
	g_autofree char *large = g_strnfill (100 << 10, 'x');
	recorder_write (fixture, &too_large, "huge", huge, NULL, 0, 0);
	dff_recorder_tick (fixture->recorder);
	assert_int_equal (too_large.calls, 1);
	assert_int_equal (too_large.outcome, DFF_RECORD_NOT_COMMITTED);
	for (int i = 0; i < 5; i++)
		recorder_write (fixture, &writers[i], keys[i], large, NULL, 0, 0);
	recorder_run (fixture, 200);
	for (int i = 0; i < 5; i++)
		assert_int_equal (writers[i].outcome, DFF_RECORD_COMMITTED);
	/* A transaction of 256 KiB holds two of the rows. */
	assert_int_equal (dff_memory_counts (fixture->memory).commits, 3);
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown (test_group_commit, recorder_setup,
						 recorder_teardown),
		cmocka_unit_test_setup_teardown (test_writes_to_one_key_stay_in_order,
						 recorder_setup, recorder_teardown),
		cmocka_unit_test_setup_teardown (test_conflict_in_a_group, recorder_setup,
						 recorder_teardown),
		cmocka_unit_test_setup_teardown (test_conflict_of_a_whole_group, recorder_setup,
						 recorder_teardown),
		cmocka_unit_test_setup_teardown (test_commit_rate_limit, recorder_setup,
						 recorder_teardown),
		cmocka_unit_test_setup_teardown (test_commit_rate_limit_can_be_changed,
						 recorder_setup, recorder_teardown),
		cmocka_unit_test_setup_teardown (test_full_queue_refuses_at_once, recorder_setup,
						 recorder_teardown),
		cmocka_unit_test_setup_teardown (test_refused_unit_does_not_hold_up_others,
						 recorder_setup, recorder_teardown),
		cmocka_unit_test_setup_teardown (test_limits_in_bytes, recorder_setup,
						 recorder_teardown),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
