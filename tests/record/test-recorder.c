#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "platform/memory.h"
#include "record/recorder.h"

#define TICK_MS 5
#define ANSWER_TIMEOUT_MS 500
#define MAX_COMMITS_PER_S 50
#define MAX_ROWS 8
#define MAX_WAITING 40
#define MAX_ROW_BYTES (200 << 10)

struct fixture {
	struct dff_clock_virtual clock;
	struct dff_metrics *metrics;
	struct dff_memory *memory;
	struct dff_memory_caller *caller;
	struct dff_recorder *recorder;
	/** Keys of confirmed writes, in order of their callbacks. */
	GString *done_order;
};

/** No callback has come yet. */
#define NO_OUTCOME ((enum dff_record_outcome)99)

/** One write and what became of it. */
struct writer {
	struct fixture *fixture;
	const char *key;
	uint64_t ticket;
	int calls;
	enum dff_record_outcome outcome;
	int64_t revision;
};

static int
setup (void **state)
{
	struct fixture *fixture = g_new0 (struct fixture, 1);
	dff_clock_virtual_init (&fixture->clock, 1000);
	struct dff_memory_options memory_options = {
		.clock = &fixture->clock.clock,
		.seed = 1,
		.limits = {.max_row_bytes = MAX_ROW_BYTES},
	};
	fixture->memory = dff_memory_new (&memory_options);
	fixture->caller = dff_memory_open (fixture->memory);
	fixture->metrics = dff_metrics_new ();
	struct dff_recorder_options options;
	dff_recorder_options_init (&options);
	options.table = &fixture->caller->table;
	options.clock = &fixture->clock.clock;
	options.metrics = fixture->metrics;
	options.writer = dff_name_from ("entry-1");
	options.max_commits_per_s = MAX_COMMITS_PER_S;
	options.max_rows_per_commit = MAX_ROWS;
	options.max_waiting = MAX_WAITING;
	options.answer_timeout_ms = ANSWER_TIMEOUT_MS;
	fixture->recorder = dff_recorder_new (&options);
	fixture->done_order = g_string_new (NULL);
	*state = fixture;
	return 0;
}

static int
teardown (void **state)
{
	struct fixture *fixture = *state;
	dff_memory_close (fixture->caller);
	dff_recorder_free (fixture->recorder);
	dff_metrics_free (fixture->metrics);
	dff_memory_free (fixture->memory);
	g_string_free (fixture->done_order, TRUE);
	g_free (fixture);
	return 0;
}

static void
run (struct fixture *fixture, int64_t ms)
{
	for (int64_t end_ms = fixture->clock.now_ms + ms; fixture->clock.now_ms < end_ms;) {
		fixture->clock.now_ms += TICK_MS;
		dff_memory_tick (fixture->memory);
		dff_recorder_tick (fixture->recorder);
	}
}

static void
written (void *user, enum dff_record_outcome outcome, int64_t revision)
{
	struct writer *writer = user;
	writer->calls++;
	writer->outcome = outcome;
	writer->revision = revision;
	if (outcome == DFF_RECORD_DONE)
		g_string_append_printf (writer->fixture->done_order, "%s ", writer->key);
}

/* Writes @value under @key; @condition_key (nullable) must have revision @expected. */
static void
write_row (struct fixture *fixture,
	   struct writer *writer,
	   const char *key,
	   const char *value,
	   const char *condition_key,
	   int64_t expected,
	   int32_t give_up_ms)
{
	memset (writer, 0, sizeof (*writer));
	writer->fixture = fixture;
	writer->key = key;
	writer->outcome = NO_OUTCOME;
	struct dff_table_write row = {dff_str_from (key), dff_str_from (value)};
	struct dff_table_condition condition = {.revision = expected};
	if (condition_key != NULL)
		condition.key = dff_str_from (condition_key);
	struct dff_record_write write = {
		.conditions = &condition,
		.n_conditions = condition_key == NULL ? 0 : 1,
		.writes = &row,
		.n_writes = 1,
		.give_up_ms = give_up_ms,
	};
	writer->ticket = dff_recorder_write (fixture->recorder, &write, written, writer);
	assert_int_equal (writer->calls, 0);
}

static bool
row_is (const struct fixture *fixture, const char *key, const char *value)
{
	struct dff_table_row row;
	if (!dff_memory_peek (fixture->memory, dff_str_from (key), &row))
		return value == NULL;
	return value != NULL && dff_str_equal (row.value, dff_str_from (value));
}

static void
test_group_commit (void **state)
{
	struct fixture *fixture = *state;
	struct writer writers[MAX_ROWS];
	static const char *const keys[MAX_ROWS] = {"a", "b", "c", "d", "e", "f", "g", "h"};
	for (int i = 0; i < MAX_ROWS; i++)
		write_row (fixture, &writers[i], keys[i], "v", keys[i], 0, 0);
	run (fixture, 20);
	for (int i = 0; i < MAX_ROWS; i++) {
		assert_int_equal (writers[i].calls, 1);
		assert_int_equal (writers[i].outcome, DFF_RECORD_DONE);
		assert_int_equal (writers[i].revision, 1);
	}
	assert_int_equal (dff_memory_counts (fixture->memory).commits, 1);
}

/* Symptom: a job is refused, sent again by its caller, and runs twice; or it is accepted and is
 * nowhere. Sequence: the answer to a commit is lost, before or after it took effect, or it takes
 * effect later. Cause: the answer's loss says nothing about the effect; only the lookup of the
 * write id does, which also bars a late write. */
static void
test_lost_answers (void **state)
{
	struct fixture *fixture = *state;
	static const struct {
		const char *key;
		struct dff_memory_faults faults;
		int32_t give_up_ms;
		enum dff_record_outcome outcome;
		int commits;
	} cases[] = {
		{"took-effect", {.lose_answers = 1}, 0, DFF_RECORD_DONE, 1},
		{"took-effect-give-up", {.lose_answers = 1}, 10, DFF_RECORD_DONE, 1},
		{"absent", {.lost_writes = 1}, 0, DFF_RECORD_DONE, 2},
		{"absent-give-up", {.lost_writes = 1}, 10, DFF_RECORD_NOT_DONE, 1},
		{"late", {.late_writes = 1, .late_ms = 300}, 0, DFF_RECORD_DONE, 2},
		{"late-give-up", {.late_writes = 1, .late_ms = 300}, 10, DFF_RECORD_NOT_DONE, 1},
		{"late-before-lookup", {.late_writes = 1, .late_ms = 5}, 10, DFF_RECORD_DONE, 1},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct writer writer;
		int64_t commits = dff_memory_counts (fixture->memory).commits;
		int64_t rows = dff_memory_counts (fixture->memory).rows_written;
		fixture->caller->faults = cases[i].faults;
		write_row (fixture, &writer, cases[i].key, "v", cases[i].key, 0,
			   cases[i].give_up_ms);
		run (fixture, 1000);
		bool done = cases[i].outcome == DFF_RECORD_DONE;
		assert_int_equal (writer.calls, 1);
		assert_int_equal (writer.outcome, cases[i].outcome);
		assert_true (row_is (fixture, cases[i].key, done ? "v" : NULL));
		assert_int_equal (dff_memory_counts (fixture->memory).commits - commits,
				  cases[i].commits);
		assert_int_equal (dff_memory_counts (fixture->memory).rows_written - rows,
				  done ? 1 : 0);
	}
}

/* Symptom: a writer is told of a race that never was, and gives its work up. Sequence: a slow
 * commit times out, a lookup bars its write id but its answer is lost, the commit arrives and is
 * answered with a conflict. Cause: the conflict with the barred id was taken for a failed
 * condition. */
static void
test_conflict_with_a_barred_write_id (void **state)
{
	struct fixture *fixture = *state;
	struct writer writer;
	fixture->caller->faults.delay_min_ms = 2000;
	write_row (fixture, &writer, "k", "v", "k", 0, 0);
	run (fixture, 50);
	fixture->caller->faults.delay_min_ms = 10;
	fixture->caller->faults.lose_permille = 1000;
	run (fixture, 1900);
	assert_int_equal (writer.calls, 0);
	fixture->caller->faults.lose_permille = 0;
	run (fixture, 6000);
	assert_int_equal (writer.calls, 1);
	assert_int_equal (writer.outcome, DFF_RECORD_DONE);
	assert_true (row_is (fixture, "k", "v"));
}

/* Symptom: the table holds the older of two states although both writes were confirmed. Sequence:
 * the first write's answer is lost and it takes effect late, the second is sent meanwhile. Cause:
 * two writes to one key on their way at once. */
static void
test_writes_to_one_key_keep_their_order (void **state)
{
	struct fixture *fixture = *state;
	struct writer writers[4];
	fixture->caller->faults.late_writes = 1;
	fixture->caller->faults.late_ms = 400;
	write_row (fixture, &writers[0], "k", "1", NULL, 0, 0);
	run (fixture, 10);
	write_row (fixture, &writers[1], "k", "2", NULL, 0, 0);
	write_row (fixture, &writers[2], "other", "x", NULL, 0, 0);
	write_row (fixture, &writers[3], "k", "3", NULL, 0, 0);
	run (fixture, 15);
	assert_int_equal (writers[1].calls, 0);
	assert_int_equal (writers[2].calls, 1);
	run (fixture, 1000);
	assert_true (row_is (fixture, "k", "3"));
	assert_string_equal (fixture->done_order->str, "other k k k ");
}

static void
test_conflict_in_a_group (void **state)
{
	struct fixture *fixture = *state;
	struct writer writers[4];
	write_row (fixture, &writers[0], "a", "v", "a", 0, 0);
	write_row (fixture, &writers[1], "b", "v", "b", 9, 0);
	write_row (fixture, &writers[2], "c", "v", "c", 0, 0);
	write_row (fixture, &writers[3], "d", "v", "x", 9, 0);
	run (fixture, 100);
	static const enum dff_record_outcome outcomes[] = {DFF_RECORD_DONE, DFF_RECORD_CONFLICT,
							   DFF_RECORD_DONE, DFF_RECORD_CONFLICT};
	for (int i = 0; i < 4; i++) {
		assert_int_equal (writers[i].calls, 1);
		assert_int_equal (writers[i].outcome, outcomes[i]);
		assert_true (row_is (fixture, writers[i].key,
				     outcomes[i] == DFF_RECORD_DONE ? "v" : NULL));
	}
	assert_int_equal (dff_memory_counts (fixture->memory).commits, 2);
	assert_int_equal (dff_memory_counts (fixture->memory).gets, 1);
}

/* A holder that lost its epoch: all of a group conflict, for one commit and one read. */
static void
test_conflict_of_a_whole_group (void **state)
{
	struct fixture *fixture = *state;
	struct writer writers[4];
	static const char *const keys[] = {"a", "b", "c", "d"};
	for (int i = 0; i < 4; i++)
		write_row (fixture, &writers[i], keys[i], "v", "epoch", 3, 0);
	run (fixture, 100);
	for (int i = 0; i < 4; i++)
		assert_int_equal (writers[i].outcome, DFF_RECORD_CONFLICT);
	assert_int_equal (dff_memory_counts (fixture->memory).commits, 1);
	assert_int_equal (dff_memory_counts (fixture->memory).gets, 1);
	assert_int_equal (dff_memory_revision (fixture->memory), 0);
}

static void
test_outage_and_return (void **state)
{
	struct fixture *fixture = *state;
	struct writer writers[4];
	struct writer late;
	static const char *const keys[] = {"a", "b", "c", "d"};
	fixture->caller->faults.outage_until_ms = fixture->clock.now_ms + 10000;
	for (int i = 0; i < 4; i++)
		write_row (fixture, &writers[i], keys[i], "v", NULL, 0, i == 3 ? 5000 : 0);
	run (fixture, 100);
	assert_true (dff_recorder_is_open (fixture->recorder));
	assert_true (dff_recorder_retry_after_s (fixture->recorder) >= 1);
	/* A caller waits for the last one: it is told at once, not when its time is over. */
	assert_int_equal (writers[3].calls, 1);
	assert_int_equal (writers[3].outcome, DFF_RECORD_NOT_DONE);
	write_row (fixture, &late, "late", "v", NULL, 0, 5000);
	run (fixture, TICK_MS);
	assert_int_equal (late.calls, 1);
	assert_int_equal (late.outcome, DFF_RECORD_NOT_DONE);
	run (fixture, 9000);
	assert_int_equal (writers[0].calls, 0);
	/* The breaker's tries back off: 200 ms doubling to 5 s, each between half and all of it. */
	int64_t tries = *dff_metrics_counter (fixture->metrics, "dff_record_lookups_total", "");
	assert_in_range (tries, 4, 9);
	run (fixture, 7000);
	assert_false (dff_recorder_is_open (fixture->recorder));
	assert_string_equal (fixture->done_order->str, "a b c ");
	assert_true (row_is (fixture, "d", NULL));
	assert_true (row_is (fixture, "late", NULL));
}

/* Symptom: writers wait for ever. Sequence: the table takes the commit and the connection falls
 * silent; lookups get no answer either. Cause: no answer is no failure unless somebody counts the
 * time. */
static void
test_silence (void **state)
{
	struct fixture *fixture = *state;
	struct writer writer;
	struct writer waiting;
	fixture->caller->faults.silent_until_ms = fixture->clock.now_ms + 5000;
	write_row (fixture, &writer, "a", "v", NULL, 0, 0);
	run (fixture, 10);
	write_row (fixture, &waiting, "a", "w", NULL, 0, 4900);
	run (fixture, 4000);
	assert_true (dff_recorder_is_open (fixture->recorder));
	assert_int_equal (writer.calls, 0);
	assert_int_equal (waiting.outcome, DFF_RECORD_NOT_DONE);
	run (fixture, 6000);
	assert_int_equal (writer.calls, 1);
	assert_int_equal (writer.outcome, DFF_RECORD_DONE);
	assert_true (row_is (fixture, "a", "v"));
	assert_false (dff_recorder_is_open (fixture->recorder));
}

/** Returns: the most transactions of any second, while far more are asked for. The recorder is not
 * to be ticked after it. */
static int64_t
most_in_a_second (struct fixture *fixture)
{
	struct writer writers[20];
	g_autoptr (GArray) sent = g_array_new (FALSE, FALSE, sizeof (int64_t));
	/* Each write waits for the one before it, so that each is a commit of its own; twice as
	 * many are asked for as the budget allows. */
	for (int tick = 0; tick < 800; tick++) {
		for (int i = 0; tick % 40 == 0 && i < 20; i++)
			write_row (fixture, &writers[i], "k", "v", NULL, 0, 0);
		run (fixture, TICK_MS);
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
test_budget_is_kept (void **state)
{
	assert_in_range (most_in_a_second (*state), MAX_COMMITS_PER_S * 8 / 10, MAX_COMMITS_PER_S);
}

/* Symptom: an operator lowers the writes a second of a process with SIGHUP, is told that the
 * settings are read, and the table is as busy as before. Cause: the recorder had copied the number
 * when it was made. */
static void
test_budget_can_be_changed (void **state)
{
	struct fixture *fixture = *state;
	dff_recorder_set_max_commits (fixture->recorder, MAX_COMMITS_PER_S / 2);
	assert_in_range (most_in_a_second (fixture), MAX_COMMITS_PER_S * 4 / 10,
			 MAX_COMMITS_PER_S / 2);
}

static void
test_full_queue_refuses_at_once (void **state)
{
	struct fixture *fixture = *state;
	struct writer writers[MAX_WAITING + 1];
	for (int i = 0; i <= MAX_WAITING; i++)
		write_row (fixture, &writers[i], "k", "v", NULL, 0, 0);
	dff_recorder_tick (fixture->recorder);
	assert_int_equal (writers[MAX_WAITING].calls, 1);
	assert_int_equal (writers[MAX_WAITING].outcome, DFF_RECORD_NOT_DONE);
	for (int i = 1; i < MAX_WAITING; i++)
		assert_int_equal (writers[i].calls, 0);
}

/* Symptom: nothing is recorded any more although the table works. Sequence: one row is larger than
 * the table takes, its transaction is refused, and goes again with the same company. Cause: the
 * refusal of one unit was taken for the table's failure. */
static void
test_refused_unit_does_not_hold_up_others (void **state)
{
	struct fixture *fixture = *state;
	struct writer refused;
	struct writer writers[4];
	static const char *const keys[] = {"a", "b", "c", "d"};
	g_autofree char *large = g_strnfill (MAX_ROW_BYTES + 1, 'x');
	write_row (fixture, &refused, "large", large, NULL, 0, 0);
	for (int i = 0; i < 3; i++)
		write_row (fixture, &writers[i], keys[i], "v", NULL, 0, 0);
	run (fixture, 2000);
	for (int i = 0; i < 3; i++)
		assert_int_equal (writers[i].outcome, DFF_RECORD_DONE);
	int64_t opened =
		*dff_metrics_counter (fixture->metrics, "dff_record_breaker_opened_total", "");
	int64_t commits = dff_memory_counts (fixture->memory).commits;
	for (int i = 0; i < 20; i++) {
		write_row (fixture, &writers[3], keys[3], "v", NULL, 0, 100);
		run (fixture, 1000);
		assert_int_equal (writers[3].outcome, DFF_RECORD_DONE);
	}
	assert_int_equal (
		*dff_metrics_counter (fixture->metrics, "dff_record_breaker_opened_total", ""),
		opened);
	assert_in_range (dff_memory_counts (fixture->memory).commits - commits, 22, 30);
	assert_int_equal (refused.calls, 0);
	assert_int_equal (dff_recorder_abandon (fixture->recorder, refused.ticket),
			  DFF_ABANDON_NOT_DONE);
}

static void
test_limits_in_bytes (void **state)
{
	struct fixture *fixture = *state;
	struct writer too_large;
	struct writer writers[5];
	static const char *const keys[] = {"a", "b", "c", "d", "e"};
	g_autofree char *huge = g_strnfill (DFF_RECORD_MAX_UNIT_BYTES + 1, 'x');
	g_autofree char *large = g_strnfill (100 << 10, 'x');
	write_row (fixture, &too_large, "huge", huge, NULL, 0, 0);
	dff_recorder_tick (fixture->recorder);
	assert_int_equal (too_large.calls, 1);
	assert_int_equal (too_large.outcome, DFF_RECORD_NOT_DONE);
	for (int i = 0; i < 5; i++)
		write_row (fixture, &writers[i], keys[i], large, NULL, 0, 0);
	run (fixture, 200);
	for (int i = 0; i < 5; i++)
		assert_int_equal (writers[i].outcome, DFF_RECORD_DONE);
	/* 256 KiB a transaction hold two of them. */
	assert_int_equal (dff_memory_counts (fixture->memory).commits, 3);
}

/* Symptom: a caller is told "not run", and the job runs. Sequence: the caller's time is over while
 * the commit is on its way; the commit takes effect. Cause: giving up was taken for undoing. */
static void
test_abandon_is_truthful (void **state)
{
	struct fixture *fixture = *state;
	static const struct {
		const char *key;
		int64_t run_ms;
		struct dff_memory_faults faults;
		enum dff_abandon abandon;
		bool written;
	} cases[] = {
		{"waiting", 0, {0}, DFF_ABANDON_NOT_DONE, false},
		{"sent", 10, {.delay_min_ms = 50}, DFF_ABANDON_UNKNOWN, true},
		{"unresolved", 10, {.lost_writes = 1}, DFF_ABANDON_UNKNOWN, false},
		{"refused", 5, {.outage_until_ms = 1}, DFF_ABANDON_NOT_DONE, false},
		{"in-outage", 100, {.outage_until_ms = INT64_MAX}, DFF_ABANDON_NOT_DONE, false},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct writer writer;
		fixture->caller->faults = cases[i].faults;
		write_row (fixture, &writer, cases[i].key, "v", NULL, 0, 0);
		if (cases[i].run_ms > TICK_MS)
			run (fixture, cases[i].run_ms);
		assert_int_equal (dff_recorder_abandon (fixture->recorder, writer.ticket),
				  cases[i].abandon);
		run (fixture, 1000);
		assert_int_equal (writer.calls, 0);
		assert_true (row_is (fixture, cases[i].key, cases[i].written ? "v" : NULL));
		assert_int_equal (dff_recorder_abandon (fixture->recorder, writer.ticket),
				  DFF_ABANDON_UNKNOWN);
	}
}

/* Abandons the writer that @user points to. */
static void
abandon_other (void *user, enum dff_record_outcome outcome, int64_t revision)
{
	struct writer *other = user;
	assert_int_equal (outcome, DFF_RECORD_DONE);
	assert_int_equal (revision, 1);
	assert_int_equal (dff_recorder_abandon (other->fixture->recorder, other->ticket),
			  DFF_ABANDON_UNKNOWN);
}

/* Two writes are confirmed together, and the first one's callback gives the second up. */
static void
test_abandon_of_a_confirmed_write (void **state)
{
	struct fixture *fixture = *state;
	struct writer second;
	struct dff_table_write row = {dff_str_from ("first"), dff_str_from ("v")};
	struct dff_record_write write = {.writes = &row, .n_writes = 1};
	dff_recorder_write (fixture->recorder, &write, abandon_other, &second);
	write_row (fixture, &second, "second", "v", NULL, 0, 0);
	run (fixture, 50);
	assert_int_equal (second.calls, 0);
	assert_true (row_is (fixture, "second", "v"));
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown (test_group_commit, setup, teardown),
		cmocka_unit_test_setup_teardown (test_lost_answers, setup, teardown),
		cmocka_unit_test_setup_teardown (test_writes_to_one_key_keep_their_order, setup,
						 teardown),
		cmocka_unit_test_setup_teardown (test_conflict_with_a_barred_write_id, setup,
						 teardown),
		cmocka_unit_test_setup_teardown (test_conflict_in_a_group, setup, teardown),
		cmocka_unit_test_setup_teardown (test_conflict_of_a_whole_group, setup, teardown),
		cmocka_unit_test_setup_teardown (test_outage_and_return, setup, teardown),
		cmocka_unit_test_setup_teardown (test_silence, setup, teardown),
		cmocka_unit_test_setup_teardown (test_budget_is_kept, setup, teardown),
		cmocka_unit_test_setup_teardown (test_budget_can_be_changed, setup, teardown),
		cmocka_unit_test_setup_teardown (test_full_queue_refuses_at_once, setup, teardown),
		cmocka_unit_test_setup_teardown (test_refused_unit_does_not_hold_up_others, setup,
						 teardown),
		cmocka_unit_test_setup_teardown (test_limits_in_bytes, setup, teardown),
		cmocka_unit_test_setup_teardown (test_abandon_is_truthful, setup, teardown),
		cmocka_unit_test_setup_teardown (test_abandon_of_a_confirmed_write, setup,
						 teardown),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
