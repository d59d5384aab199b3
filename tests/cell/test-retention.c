#define HARNESS_STEP_MS 100

#include "tests/cell/cell_promises.h"

/* Rows of ended jobs: when they are deleted, and what is kept. The rows are written as an entry and
 * a former holder would have left them; no task runs here. */

#define DAY_MS (INT64_C (24) * 3600 * 1000)
#define RETENTION_MS (7 * DAY_MS)
#define YEAR_MS (365 * DAY_MS)
/** Time for which a holder must have known an end, and the interval of sweeps, ms. */
#define SEEN_MS INT64_C (600000)
#define SWEEP_MS INT64_C (600000)
#define BATCH_HASH "00000000000000000000000000000bad"
#define BATCH HARNESS_REGION "." BATCH_HASH

/** Difference of the wall clock from the virtual clock, ms. */
static int64_t wall_ahead_ms;

static int64_t
wall_ms (void *ctx)
{
	return ((const struct dff_clock_virtual *)ctx)->now_ms + wall_ahead_ms;
}

/* Starts the harness with @n_processes only, as each process takes test time. */
static void
begin (struct harness *harness, int n_processes)
{
	wall_ahead_ms = YEAR_MS;
	harness_init (harness, 1);
	harness->clock.clock.wall_ms = wall_ms;
	for (int i = n_processes; i < HARNESS_PROCESSES; i++)
		harness_kill (harness, i);
}

static void
commit (struct harness *harness, const struct dff_table_write *writes, size_t n_writes)
{
	const struct dff_table *table = &harness->entry->table;
	const struct dff_table_txn txn = {
		.write_id = dff_name_printf ("test.%d", ++harness->n_writes),
		.writes = writes,
		.n_writes = n_writes,
	};
	enum dff_table_outcome outcome = DFF_TABLE_UNCERTAIN;
	table->commit (table->ctx, &txn, harness_written, &outcome);
	assert_int_equal (outcome, DFF_TABLE_OK);
}

/* Writes a row that ended @age_ms ago by the wall clock; negative @age_ms: has not ended. */
static void
put_job (struct harness *harness, const struct dff_name *id, const char *batch, int64_t age_ms)
{
	DFF_AUTO (dff_job_row) row = dff_job_row_new ();
	/* All workers are needed, so that the job waits unless it has ended. */
	row->spec = fixture_spec (id->data, HARNESS_WORKERS, 8);
	row->spec.region = dff_name_from (HARNESS_REGION);
	if (*batch != '\0')
		row->batch = dff_name_from (batch);
	if (age_ms >= 0) {
		row->state = DFF_JOB_ROW_ENDED;
		row->outcome = DFF_OUTCOME_COMPLETED;
		row->ended_wall_ms = dff_clock_wall_ms (&harness->clock.clock) - age_ms;
	}
	g_autoptr (GString) key = dff_job_row_key (id);
	g_autoptr (GString) value = dff_job_row_encode (row);
	g_autofree char *idem = g_strconcat ("idem/", strrchr (id->data, '.') + 1, NULL);
	const struct dff_table_write writes[] = {
		{{key->str, key->len}, {value->str, value->len}},
		{dff_str_from (idem), {id->data, id->len}},
	};
	commit (harness, writes, *batch == '\0' ? 2 : 1);
}

static struct dff_name
single_id (int index)
{
	return dff_name_printf (HARNESS_REGION ".%032x", (unsigned int)index);
}

static struct dff_name
member_id (int index)
{
	return dff_name_printf (BATCH ".%d", index);
}

static void
put_batch (struct harness *harness)
{
	static const char value[] =
		"{\"team\":\"a\",\"manifest\":3,\"digest\":\"d\",\"accepted\":3}";
	const struct dff_table_write writes[] = {
		{dff_str_from ("batch/" HARNESS_REGION "/" BATCH_HASH), dff_str_from (value)},
		{dff_str_from ("idem/" BATCH_HASH), dff_str_from (BATCH)},
	};
	commit (harness, writes, G_N_ELEMENTS (writes));
}

static bool
exists (const struct harness *harness, const char *key)
{
	struct dff_table_row row;
	return dff_memory_peek (harness->memory, dff_str_from (key), &row);
}

static bool
job_exists (const struct harness *harness, const struct dff_name *id)
{
	g_autoptr (GString) key = dff_job_row_key (id);
	return exists (harness, key->str);
}

static bool
idem_exists (const struct harness *harness, const struct dff_name *id)
{
	g_autofree char *key = g_strconcat ("idem/", strrchr (id->data, '.') + 1, NULL);
	return exists (harness, key);
}

static int
count_singles (const struct harness *harness, int n_jobs)
{
	int found = 0;
	for (int i = 0; i < n_jobs; i++) {
		struct dff_name id = single_id (i);
		assert_int_equal (job_exists (harness, &id), idem_exists (harness, &id));
		found += job_exists (harness, &id);
	}
	return found;
}

/* Makes all workers unreachable, so that the jobs written here are not started. */
static void
take_workers_down (struct harness *harness)
{
	for (int i = 0; i < HARNESS_WORKERS; i++)
		harness->fleet.workers[i].down = true;
}

static void
test_rows_are_deleted_only_after_retention (void **state)
{
	(void)state;
	struct harness harness;
	begin (&harness, 1);
	struct dff_name old = single_id (0);
	struct dff_name young = single_id (1);
	struct dff_name waiting = single_id (2);
	take_workers_down (&harness);
	put_job (&harness, &old, "", RETENTION_MS);
	put_job (&harness, &young, "", RETENTION_MS - SEEN_MS - 2 * SWEEP_MS - DAY_MS);
	put_job (&harness, &waiting, "", -1);
	harness_run (&harness, SEEN_MS + SWEEP_MS);
	assert_false (job_exists (&harness, &old));
	assert_false (idem_exists (&harness, &old));
	assert_true (job_exists (&harness, &young));
	assert_true (idem_exists (&harness, &young));
	assert_true (job_exists (&harness, &waiting));
	const struct dff_cell *cell = harness.processes[harness_holder (&harness)].cell;
	assert_int_equal (cell->ended[DFF_OUTCOME_COMPLETED], 1);
	wall_ahead_ms += 2 * DAY_MS;
	harness_run (&harness, 2 * SWEEP_MS);
	assert_false (job_exists (&harness, &young));
	assert_true (job_exists (&harness, &waiting));
	assert_int_equal (cell->ended[DFF_OUTCOME_COMPLETED], 0);
	harness_clear (&harness);
}

/* Guards against deletion by the age on the wall clock alone. A holder takes over whose wall clock
 * is a year ahead: it would delete every ended job, and a key that is still in use would run again.
 */
static void
test_wall_clock_a_year_ahead (void **state)
{
	(void)state;
	struct harness harness;
	begin (&harness, 1);
	struct dff_name ended = single_id (0);
	struct dff_name waiting = single_id (1);
	take_workers_down (&harness);
	put_job (&harness, &ended, "", 0);
	put_job (&harness, &waiting, "", -1);
	wall_ahead_ms += YEAR_MS;
	assert_true (harness_run_holder (&harness, 30000) < 30000);
	harness_run (&harness, SEEN_MS - 1000);
	assert_true (job_exists (&harness, &ended));
	assert_true (idem_exists (&harness, &ended));
	harness_run (&harness, 2 * SWEEP_MS);
	assert_false (job_exists (&harness, &ended));
	assert_true (job_exists (&harness, &waiting));
	assert_true (idem_exists (&harness, &waiting));
	harness_clear (&harness);
}

/* Guards against the same fault when the holder has held the lease for a long time. */
static void
test_newly_seen_end_is_kept (void **state)
{
	(void)state;
	struct harness harness;
	begin (&harness, 1);
	assert_true (harness_run_holder (&harness, 30000) < 30000);
	harness_run (&harness, SEEN_MS + 10000);
	const struct dff_cell *cell = harness.processes[harness_holder (&harness)].cell;
	while (cell->retention.due_ms > harness.clock.now_ms + 5000)
		harness_step (&harness);
	struct dff_name ended = single_id (0);
	put_job (&harness, &ended, "", YEAR_MS);
	int64_t put_ms = harness.clock.now_ms;
	while (harness.clock.now_ms < put_ms + SEEN_MS) {
		harness_step (&harness);
		assert_true (job_exists (&harness, &ended));
	}
	harness_run (&harness, 2 * SWEEP_MS);
	assert_false (job_exists (&harness, &ended));
	harness_clear (&harness);
}

/* Guards against a row that is deleted without its idempotency key, or never. The holder dies
 * between two deletions and another takes over: both rows have to go in one transaction, and the
 * next holder's sweep has to start from the beginning. */
static void
test_takeover_during_sweep (void **state)
{
	(void)state;
	struct harness harness;
	begin (&harness, 2);
	for (int i = 0; i < 200; i++) {
		struct dff_name id = single_id (i);
		put_job (&harness, &id, "", i % 2 == 0 ? RETENTION_MS : 0);
	}
	harness_run_holder (&harness, 30000);
	int left = 200;
	while (left == 200) {
		harness_step (&harness);
		left = count_singles (&harness, 200);
	}
	assert_true (left > 100);
	harness_kill (&harness, harness_holder (&harness));
	harness_run (&harness, SEEN_MS - 10000);
	assert_int_equal (count_singles (&harness, 200), left);
	harness_run (&harness, SWEEP_MS);
	assert_int_equal (count_singles (&harness, 200), 100);
	const struct dff_cell *cell = harness.processes[harness_holder (&harness)].cell;
	assert_int_equal (cell->ended[DFF_OUTCOME_COMPLETED], 100);
	harness_clear (&harness);
}

/* Guards against a deletion that is not conditional on what the sweep read: a row that is written
 * between the sweep's read and its deletion would be lost after its write was answered. */
static void
test_row_changed_after_read_is_kept (void **state)
{
	(void)state;
	struct harness harness;
	begin (&harness, 1);
	struct dff_name id = single_id (0);
	put_job (&harness, &id, "", RETENTION_MS);
	harness_run_holder (&harness, 30000);
	struct dff_cell *cell = harness.processes[harness_holder (&harness)].cell;
	while (cell->retention.expired->len == 0)
		harness_step (&harness);
	assert_true (job_exists (&harness, &id));
	put_job (&harness, &id, "", RETENTION_MS);
	harness_run (&harness, SEEN_MS - 10000);
	assert_true (job_exists (&harness, &id));
	harness_run (&harness, 2 * SWEEP_MS);
	assert_false (job_exists (&harness, &id));
	harness_clear (&harness);
}

/* Guards against deletions without a limit: thousands of rows are due at once, and other writes
 * would wait. */
static void
test_deletions_are_rate_limited (void **state)
{
	(void)state;
	struct harness harness;
	begin (&harness, 1);
	for (int i = 0; i < 600; i++) {
		struct dff_name id = single_id (i);
		put_job (&harness, &id, "", RETENTION_MS);
	}
	harness_run_holder (&harness, 30000);
	harness_run (&harness, SEEN_MS - 10000);
	assert_int_equal (count_singles (&harness, 600), 600);
	int before = 600;
	int64_t idle_commits = 0;
	for (int second = 0; second < 60; second++) {
		int64_t commits = dff_memory_counts (harness.memory).commits;
		harness_run (&harness, 1000);
		int after = count_singles (&harness, 600);
		commits = dff_memory_counts (harness.memory).commits - commits;
		if (before == after)
			idle_commits = MAX (idle_commits, commits);
		assert_true (before - after <= 30);
		assert_true (commits <= idle_commits + 1);
		before = after;
	}
	assert_int_equal (before, 0);
	harness_clear (&harness);
}

/* Guards against deletions that continue with the breaker open. The table fails during a sweep: a
 * commit would be tried every second in vain, and a backlog of them would follow. */
static void
test_open_breaker_stops_the_sweep (void **state)
{
	(void)state;
	struct harness harness;
	begin (&harness, 1);
	for (int i = 0; i < 200; i++) {
		struct dff_name id = single_id (i);
		put_job (&harness, &id, "", RETENTION_MS);
	}
	harness_run_holder (&harness, 30000);
	while (count_singles (&harness, 200) == 200)
		harness_step (&harness);
	int holder = harness_holder (&harness);
	const struct dff_cell *cell = harness.processes[holder].cell;
	while (!dff_recorder_is_breaker_open (harness.processes[holder].recorder)) {
		harness.processes[holder].caller->faults.unavailable_permille = 1000;
		harness_step (&harness);
		assert_true (cell->retention.n_outstanding <= 30);
	}
	guint next = cell->retention.next;
	for (int step = 0; step < 100 && harness_holder (&harness) == holder; step++) {
		harness_step (&harness);
		if (harness_holder (&harness) == holder)
			assert_int_equal (cell->retention.next, next);
	}
	harness.processes[holder].caller->faults.unavailable_permille = 0;
	harness_run (&harness, SEEN_MS + 2 * SWEEP_MS);
	assert_int_equal (count_singles (&harness, 200), 0);
	harness_clear (&harness);
}

/* Guards against deleting the rows of a batch one by one: some of its jobs ended long ago and one
 * did not, and the batch's counts would no longer add up to what was accepted. */
static void
test_batch_is_deleted_as_a_whole (void **state)
{
	(void)state;
	struct harness harness;
	begin (&harness, 1);
	take_workers_down (&harness);
	put_batch (&harness);
	for (int i = 0; i < 3; i++) {
		struct dff_name id = member_id (i);
		put_job (&harness, &id, BATCH, i == 2 ? 0 : RETENTION_MS);
	}
	harness_run (&harness, SEEN_MS + 2 * SWEEP_MS);
	for (int i = 0; i < 3; i++) {
		struct dff_name id = member_id (i);
		assert_true (job_exists (&harness, &id));
	}
	assert_true (exists (&harness, "idem/" BATCH_HASH));
	wall_ahead_ms += RETENTION_MS;
	for (int64_t run_ms = 0; run_ms < 2 * SWEEP_MS; run_ms += 1000) {
		harness_run (&harness, 1000);
		bool batch = exists (&harness, "batch/" HARNESS_REGION "/" BATCH_HASH);
		assert_int_equal (exists (&harness, "idem/" BATCH_HASH), batch);
		for (int i = 0; batch && i < 3; i++) {
			struct dff_name id = member_id (i);
			assert_true (job_exists (&harness, &id));
		}
	}
	assert_false (exists (&harness, "batch/" HARNESS_REGION "/" BATCH_HASH));
	for (int i = 0; i < 3; i++) {
		struct dff_name id = member_id (i);
		assert_false (job_exists (&harness, &id));
	}
	harness_clear (&harness);
}

/* Guards against unconditional deletion of a batch's jobs. The batch's row was deleted, and its key
 * is used again before the jobs' rows are deleted: jobs that were just accepted would be lost. */
static void
test_resubmitted_batch_keeps_its_rows (void **state)
{
	(void)state;
	struct harness harness;
	begin (&harness, 1);
	take_workers_down (&harness);
	for (int i = 0; i < 3; i++) {
		struct dff_name id = member_id (i);
		put_job (&harness, &id, BATCH, RETENTION_MS);
	}
	harness_run_holder (&harness, 30000);
	struct dff_cell *cell = harness.processes[harness_holder (&harness)].cell;
	while (g_hash_table_size (cell->retention.batch_checks) == 0)
		harness_step (&harness);
	put_batch (&harness);
	struct dff_name waiting = member_id (3);
	put_job (&harness, &waiting, BATCH, -1);
	harness_run (&harness, SEEN_MS + 2 * SWEEP_MS);
	for (int i = 0; i < 4; i++) {
		struct dff_name id = member_id (i);
		assert_true (job_exists (&harness, &id));
	}
	harness_clear (&harness);
}

#define ATTEMPT_HASH "0000000000000000000000000000000"

/* Writes the record @name of a request, dated @age_ms ago by the wall clock. */
static void
put_attempt (struct harness *harness, const char *name, const char *state, int64_t age_ms)
{
	g_autofree char *key = g_strconcat ("attempt/" ATTEMPT_HASH, name, NULL);
	g_autofree char *value =
		g_strdup_printf ("{\"state\":\"%s\",\"wall_ms\":%" G_GINT64_FORMAT "}", state,
				 dff_clock_wall_ms (&harness->clock.clock) - age_ms);
	const struct dff_table_write write = {dff_str_from (key), dff_str_from (value)};
	commit (harness, &write, 1);
}

/* Guards against deleting records by age alone. A request that is not idempotent would be sent
 * twice if its record were deleted while it is open, or within the retention. */
static void
test_request_records_are_deleted_only_when_ended (void **state)
{
	(void)state;
	struct harness harness;
	begin (&harness, 1);
	put_attempt (&harness, "1", "ended", RETENTION_MS);
	put_attempt (&harness, "2", "open", YEAR_MS / 2);
	put_attempt (&harness, "3", "ended", RETENTION_MS - DAY_MS);
	assert_true (harness_run_holder (&harness, 30000) < 30000);
	harness_run (&harness, SEEN_MS - 1000);
	assert_true (exists (&harness, "attempt/" ATTEMPT_HASH "1"));
	harness_run (&harness, 2 * SWEEP_MS);
	assert_false (exists (&harness, "attempt/" ATTEMPT_HASH "1"));
	assert_true (exists (&harness, "attempt/" ATTEMPT_HASH "2"));
	assert_true (exists (&harness, "attempt/" ATTEMPT_HASH "3"));
	harness_clear (&harness);
}

/* The same, with a record that changes between the sweep's read and its deletion. */
static void
test_record_changed_after_read_is_kept (void **state)
{
	(void)state;
	struct harness harness;
	begin (&harness, 1);
	put_attempt (&harness, "1", "ended", RETENTION_MS);
	harness_run_holder (&harness, 30000);
	struct dff_cell *cell = harness.processes[harness_holder (&harness)].cell;
	while (cell->attempt_retention.expired->len == 0)
		harness_step (&harness);
	put_attempt (&harness, "1", "open", 0);
	harness_run (&harness, SEEN_MS + 2 * SWEEP_MS);
	assert_true (exists (&harness, "attempt/" ATTEMPT_HASH "1"));
	harness_clear (&harness);
}

/* Guards against every region's holder reading every record: only one region is to sweep them. */
static void
test_records_are_swept_by_the_first_region (void **state)
{
	(void)state;
	struct harness harness;
	begin (&harness, 1);
	g_array_index (harness.pool.racks, struct dff_rack, 1).region = dff_name_from ("a");
	dff_cell_set_pool (harness.processes[0].cell, &harness.pool);
	put_attempt (&harness, "1", "ended", RETENTION_MS);
	harness_run_holder (&harness, 30000);
	harness_run (&harness, SEEN_MS + 2 * SWEEP_MS);
	assert_true (exists (&harness, "attempt/" ATTEMPT_HASH "1"));
	harness_clear (&harness);
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_rows_are_deleted_only_after_retention),
		cmocka_unit_test (test_wall_clock_a_year_ahead),
		cmocka_unit_test (test_newly_seen_end_is_kept),
		cmocka_unit_test (test_takeover_during_sweep),
		cmocka_unit_test (test_row_changed_after_read_is_kept),
		cmocka_unit_test (test_deletions_are_rate_limited),
		cmocka_unit_test (test_open_breaker_stops_the_sweep),
		cmocka_unit_test (test_batch_is_deleted_as_a_whole),
		cmocka_unit_test (test_resubmitted_batch_keeps_its_rows),
		cmocka_unit_test (test_request_records_are_deleted_only_when_ended),
		cmocka_unit_test (test_record_changed_after_read_is_kept),
		cmocka_unit_test (test_records_are_swept_by_the_first_region),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
