#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "backing/memory.h"
#include "record/recorder.h"

/* Random schedules of writes and faults, one per seed. At the end of each, the table must agree
 * with the outcomes that were reported to the writers. */

#define N_SEEDS 2000
#define N_WRITES 60
#define N_SHARED_KEYS 3
#define TICK_MS 5
#define FAULTY_MS 3000
#define SETTLING_MS 20000
#define MAX_COMMITS_PER_S 20
#define EPOCH_KEY "epoch"

enum write_kind {
	/** Writes a separate row on condition that it does not exist. */
	DFF_WRITE_CREATE,
	/** Writes a separate row on a condition that never holds. */
	DFF_WRITE_CONFLICTING,
	/** Writes a separate row on condition that the epoch is unchanged. */
	DFF_WRITE_FENCED,
	/** Writes a row that other writers write too, in order. */
	DFF_WRITE_SHARED,
	DFF_WRITE_N_KINDS,
};

struct writer {
	enum write_kind kind;
	char key[16];
	char value[16];
	uint64_t ticket;
	int calls;
	enum dff_record_outcome outcome;
	int64_t revision;
	bool abandoned;
	enum dff_abandon_outcome abandon;
};

struct run {
	GRand *rand;
	struct dff_clock_virtual clock;
	struct dff_metrics *metrics;
	struct dff_memory *memory;
	struct dff_memory_handle *caller;
	/** Changes the epoch; not subject to faults. */
	struct dff_memory_handle *rival;
	struct dff_recorder *recorder;
	struct writer writers[N_WRITES];
	int n_writers;
	int64_t epoch_revision;
	int64_t rival_revision;
	/** Transactions that the table received up to the end of each tick. */
	int64_t sent[(FAULTY_MS + SETTLING_MS) / TICK_MS];
	int n_ticks;
};

static void
handle_revision (void *user, const struct dff_table_result *result)
{
	assert_int_equal (result->outcome, DFF_TABLE_OK);
	*(int64_t *)user = result->revision;
}

static void
set_epoch (struct run *run, const char *write_id, int64_t *revision)
{
	struct dff_table_write write = {dff_str_from (EPOCH_KEY), dff_str_from (write_id)};
	struct dff_table_txn txn = {
		.write_id = dff_name_from (write_id), .writes = &write, .n_writes = 1};
	run->rival->table.commit (run->rival->table.ctx, &txn, handle_revision, revision);
}

static struct run *
run_new (guint32 seed)
{
	struct run *run = g_new0 (struct run, 1);
	run->rand = g_rand_new_with_seed (seed);
	dff_clock_virtual_init (&run->clock, 1000);
	struct dff_memory_options memory_options = {.clock = &run->clock.clock, .seed = seed};
	run->memory = dff_memory_new (&memory_options);
	run->caller = dff_memory_open (run->memory);
	run->rival = dff_memory_open (run->memory);
	set_epoch (run, "first", &run->epoch_revision);
	run->metrics = dff_metrics_new ();
	struct dff_recorder_options options;
	dff_recorder_options_init (&options);
	options.table = &run->caller->table;
	options.clock = &run->clock.clock;
	options.metrics = run->metrics;
	options.writer = dff_name_from ("entry-1");
	options.seed = seed;
	options.max_commits_per_s = MAX_COMMITS_PER_S;
	options.max_rows_per_commit = g_rand_int_range (run->rand, 1, 12);
	options.answer_timeout_ms = 200;
	run->recorder = dff_recorder_new (&options);
	return run;
}

static void
run_free (struct run *run)
{
	dff_memory_close (run->caller);
	dff_memory_close (run->rival);
	dff_recorder_free (run->recorder);
	dff_metrics_free (run->metrics);
	dff_memory_free (run->memory);
	g_rand_free (run->rand);
	g_free (run);
}

static bool
chance (struct run *run, int percent)
{
	return g_rand_int_range (run->rand, 0, 100) < percent;
}

static void
draw_faults (struct run *run)
{
	struct dff_memory_faults *faults = &run->caller->faults;
	memset (faults, 0, sizeof (*faults));
	faults->delay_min_ms = g_rand_int_range (run->rand, 0, 10);
	faults->delay_max_ms = faults->delay_min_ms + g_rand_int_range (run->rand, 0, 1000);
	faults->late_ms = g_rand_int_range (run->rand, 0, 2000);
	if (chance (run, 50))
		faults->lose_permille = g_rand_int_range (run->rand, 0, 500);
	if (chance (run, 50))
		faults->late_permille = g_rand_int_range (run->rand, 0, 500);
	if (chance (run, 50))
		faults->lost_permille = g_rand_int_range (run->rand, 0, 500);
	if (chance (run, 30))
		faults->unavailable_permille = g_rand_int_range (run->rand, 0, 700);
	if (chance (run, 15))
		faults->outage_until_ms = run->clock.now_ms + g_rand_int_range (run->rand, 0, 1500);
	if (chance (run, 15))
		faults->silent_until_ms = run->clock.now_ms + g_rand_int_range (run->rand, 0, 1500);
}

static void
handle_outcome (void *user, enum dff_record_outcome outcome, int64_t revision)
{
	struct writer *writer = user;
	writer->calls++;
	writer->outcome = outcome;
	writer->revision = revision;
}

static void
add_writer (struct run *run)
{
	int index = run->n_writers++;
	struct writer *writer = &run->writers[index];
	writer->kind = (enum write_kind)g_rand_int_range (run->rand, 0, DFF_WRITE_N_KINDS);
	g_snprintf (writer->value, sizeof (writer->value), "%d", index);
	if (writer->kind == DFF_WRITE_SHARED)
		g_snprintf (writer->key, sizeof (writer->key), "c/%d", index % N_SHARED_KEYS);
	else
		g_snprintf (writer->key, sizeof (writer->key), "k/%d", index);
	struct dff_table_write row = {dff_str_from (writer->key), dff_str_from (writer->value)};
	struct dff_table_condition conditions[] = {
		[DFF_WRITE_CREATE] = {dff_str_from (writer->key), 0},
		[DFF_WRITE_CONFLICTING] = {dff_str_from ("absent"), 77},
		[DFF_WRITE_FENCED] = {dff_str_from (EPOCH_KEY), run->epoch_revision},
		[DFF_WRITE_SHARED] = {{0}, 0},
	};
	struct dff_record_write write = {
		.conditions = &conditions[writer->kind],
		.n_conditions = writer->kind == DFF_WRITE_SHARED ? 0 : 1,
		.writes = &row,
		.n_writes = 1,
		.queue_timeout_ms = chance (run, 30) ? g_rand_int_range (run->rand, 1, 1000) : 0,
	};
	writer->ticket = dff_recorder_write (run->recorder, &write, handle_outcome, writer);
}

static void
maybe_abandon (struct run *run)
{
	if (run->n_writers == 0 || !chance (run, 2))
		return;
	struct writer *writer = &run->writers[g_rand_int_range (run->rand, 0, run->n_writers)];
	if (writer->calls > 0 || writer->abandoned)
		return;
	writer->abandoned = true;
	writer->abandon = dff_recorder_abandon (run->recorder, writer->ticket);
}

static void
tick (struct run *run)
{
	run->clock.now_ms += TICK_MS;
	dff_memory_tick (run->memory);
	dff_recorder_tick (run->recorder);
	struct dff_memory_counts counts = dff_memory_counts (run->memory);
	run->sent[run->n_ticks++] = counts.commits + counts.lookups;
}

static void
run_schedule (struct run *run)
{
	int rival_tick = g_rand_int_range (run->rand, 0, FAULTY_MS / TICK_MS);
	for (int i = 0; i < FAULTY_MS / TICK_MS; i++) {
		if (i % 50 == 0)
			draw_faults (run);
		if (i == rival_tick)
			set_epoch (run, "second", &run->rival_revision);
		while (run->n_writers < N_WRITES && chance (run, 15))
			add_writer (run);
		maybe_abandon (run);
		tick (run);
	}
	memset (&run->caller->faults, 0, sizeof (run->caller->faults));
	for (int i = 0; i < SETTLING_MS / TICK_MS; i++)
		tick (run);
}

static void
check_writer (const struct run *run, const struct writer *writer)
{
	struct dff_table_row row;
	bool exists = dff_memory_peek (run->memory, dff_str_from (writer->key), &row);
	if (writer->abandoned) {
		assert_int_equal (writer->calls, 0);
		if (writer->abandon == DFF_ABANDON_NOT_COMMITTED &&
		    writer->kind != DFF_WRITE_SHARED)
			assert_false (exists);
		return;
	}
	assert_int_equal (writer->calls, 1);
	if (writer->kind == DFF_WRITE_SHARED)
		return;
	assert_int_equal (exists, writer->outcome == DFF_RECORD_COMMITTED);
	if (exists)
		assert_int_equal (writer->revision, row.revision);
	if (writer->kind == DFF_WRITE_CONFLICTING)
		assert_false (exists);
	if (writer->kind == DFF_WRITE_FENCED && exists)
		assert_true (row.revision < run->rival_revision);
	if (writer->kind == DFF_WRITE_CREATE)
		assert_int_not_equal (writer->outcome, DFF_RECORD_CONFLICT);
}

/* A shared row holds the last committed write, or a later one that was abandoned with unknown
 * effect. Returns: whether the row may hold the value of @writer. */
static bool
may_be_in_row (const struct writer *writer)
{
	return writer->abandoned ? writer->abandon == DFF_ABANDON_UNKNOWN
				 : writer->outcome == DFF_RECORD_COMMITTED;
}

static void
check_shared_key (const struct run *run, int key_index)
{
	char key[16];
	g_snprintf (key, sizeof (key), "c/%d", key_index);
	struct dff_table_row row;
	bool exists = dff_memory_peek (run->memory, dff_str_from (key), &row);
	for (int i = run->n_writers - 1; i >= 0; i--) {
		const struct writer *writer = &run->writers[i];
		if (strcmp (writer->key, key) != 0)
			continue;
		bool is_row = exists && dff_str_equal (row.value, dff_str_from (writer->value));
		if (is_row)
			assert_true (may_be_in_row (writer));
		if (is_row)
			return;
		/* After a committed write, the row can hold only that write or a later one. */
		assert_false (!writer->abandoned && writer->outcome == DFF_RECORD_COMMITTED);
	}
	assert_false (exists);
}

static void
check_budget (const struct run *run)
{
	int window = 1000 / TICK_MS;
	for (int i = window; i < run->n_ticks; i++)
		assert_true (run->sent[i] - run->sent[i - window] <= MAX_COMMITS_PER_S);
}

static void
test_random_schedules (void **state)
{
	(void)state;
	int counts[DFF_RECORD_NOT_COMMITTED + 1] = {0};
	for (guint32 seed = 0; seed < N_SEEDS; seed++) {
		struct run *run = run_new (seed);
		run_schedule (run);
		for (int i = 0; i < run->n_writers; i++) {
			check_writer (run, &run->writers[i]);
			if (!run->writers[i].abandoned)
				counts[run->writers[i].outcome]++;
		}
		for (int i = 0; i < N_SHARED_KEYS; i++)
			check_shared_key (run, i);
		check_budget (run);
		run_free (run);
	}
	/* All outcomes must occur often, or the schedules would not test them. */
	for (size_t i = 0; i < G_N_ELEMENTS (counts); i++)
		assert_true (counts[i] > N_SEEDS);
	print_message ("done %d, conflict %d, not done %d\n", counts[DFF_RECORD_COMMITTED],
		       counts[DFF_RECORD_CONFLICT], counts[DFF_RECORD_NOT_COMMITTED]);
}

int
main (void)
{
	const struct CMUnitTest tests[] = {cmocka_unit_test (test_random_schedules)};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
