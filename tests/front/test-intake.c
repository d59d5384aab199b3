#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <string.h>

#include "front/intake.h"
#include "holder/tables.h"
#include "standin/memory_rows.h"

/* Tests the forwarding of job rows to the holder while the store is slow or refuses some processes:
 * three processes on one in-memory store, the first of which is the holder, under a virtual clock.
 */

#define PROCESSES 3
#define START_MS 1000000
#define TIMEOUT_MS 1000
#define ROWS_MAX 200

struct process {
	struct fixture *fixture;
	struct dff_memory_rows_client *client;
	struct dff_intake *intake;
};

struct fixture {
	struct dff_virtual_loop *loop;
	struct dff_memory_rows *rows;
	struct dff_metrics *metrics;
	struct process processes[PROCESSES];
	int64_t latency_ms;
	/** Whether connections to the holder fail. */
	bool holder_unreachable;
	/** Whether p0 is not the holder any more, and the holder address that it answers with. */
	bool holder_replaced;
	struct dff_name next_holder;
	/** Number of calls of holder_lost. */
	int n_lost;
	/** Whether the first process writes rows in the holder's own transactions; otherwise
	 * record() returns false. */
	bool records;
	int32_t n_recorded;
};

struct outcome {
	bool ended;
	enum dff_rows_outcome outcome;
};

struct hop {
	struct fixture *fixture;
	char *key;
	char *value;
	int32_t timeout_ms;
	bool misdirected;
	dff_intake_forward_func done;
	void *user;
};

static int64_t
store_latency (void *ctx)
{
	return ((struct process *)ctx)->fixture->latency_ms;
}

static void
finish_hop (struct hop *hop, enum dff_rows_outcome outcome, enum dff_intake_delivery receiver)
{
	struct dff_intake_forward_result forwarded = {.delivery = receiver, .outcome = outcome};
	if (receiver == DFF_INTAKE_MISDIRECTED)
		forwarded.holder = hop->fixture->next_holder;
	hop->done (hop->user, &forwarded);
	g_free (hop->key);
	g_free (hop->value);
	g_free (hop);
}

static void
handle_written (void *user, const struct dff_rows_result *result)
{
	finish_hop (user, result->outcome, DFF_INTAKE_DELIVERED);
}

static void
deliver (void *user)
{
	struct hop *hop = user;
	struct dff_intake_row row = {.key = dff_str_from (hop->key),
				     .value = dff_str_from (hop->value),
				     .timeout_ms = hop->timeout_ms};
	if (hop->fixture->holder_unreachable)
		finish_hop (hop, DFF_ROWS_NOT_DONE, DFF_INTAKE_UNREACHABLE);
	else if (hop->misdirected)
		finish_hop (hop, DFF_ROWS_NOT_DONE, DFF_INTAKE_MISDIRECTED);
	else
		dff_intake_write (hop->fixture->processes[0].intake, &row, handle_written, hop);
}

static void
forward (void *ctx,
	 const struct dff_name *address,
	 const struct dff_intake_row *row,
	 dff_intake_forward_func done,
	 void *user)
{
	struct process *process = ctx;
	bool misdirected = process->fixture->holder_replaced && strcmp (address->data, "p0") == 0;
	assert_true (misdirected ||
		     strcmp (address->data, process->fixture->holder_replaced ? "p9" : "p0") == 0);
	struct hop *hop = g_new0 (struct hop, 1);
	*hop = (struct hop){.fixture = process->fixture,
			    .key = g_strndup (row->key.data, row->key.len),
			    .value = g_strndup (row->value.data, row->value.len),
			    .timeout_ms = row->timeout_ms,
			    .misdirected = misdirected,
			    .done = done,
			    .user = user};
	dff_virtual_loop_schedule (process->fixture->loop, 1, deliver, hop);
}

static void
count_holder_lost (void *ctx)
{
	struct fixture *fixture = ctx;
	fixture->n_lost++;
}

struct record {
	dff_rows_func done;
	void *user;
};

static void
finish_record (void *user)
{
	struct record *record = user;
	struct dff_rows_result result = {.outcome = DFF_ROWS_DONE};
	record->done (record->user, &result);
	g_free (record);
}

static bool
record_row (void *ctx, const struct dff_intake_row *row, dff_rows_func done, void *user)
{
	struct process *process = ctx;
	if (!process->fixture->records || process != &process->fixture->processes[0])
		return false;
	assert_true (row->timeout_ms > 0);
	process->fixture->n_recorded++;
	struct record *record = g_new0 (struct record, 1);
	*record = (struct record){.done = done, .user = user};
	dff_virtual_loop_schedule (process->fixture->loop, 1, finish_record, record);
	return true;
}

static void
open_fixture_with (struct fixture *fixture, bool with_records)
{
	memset (fixture, 0, sizeof (*fixture));
	fixture->loop = dff_virtual_loop_new (START_MS);
	fixture->rows = dff_memory_rows_new (fixture->loop);
	fixture->metrics = dff_metrics_new ();
	for (int i = 0; i < PROCESSES; i++) {
		struct process *process = &fixture->processes[i];
		process->fixture = fixture;
		process->client = dff_memory_rows_client_new (fixture->rows);
		struct dff_intake_options options = {
			.timers = dff_virtual_loop_timers (fixture->loop),
			.rows = dff_memory_rows_client_interface (process->client),
			.metrics = fixture->metrics,
			.forward_min_latency_ms = 100,
			.store_latency_ms = store_latency,
			.store_ctx = process,
			.forward = forward,
			.forward_ctx = process,
			.holder_lost = count_holder_lost,
			.holder_ctx = fixture,
			.record = with_records ? record_row : NULL,
			.record_ctx = process};
		process->intake = dff_intake_new (&options);
		struct dff_name holder = dff_name_from ("p0");
		dff_intake_set_holder_address (process->intake, &holder, i == 0);
	}
}

static void
open_fixture (struct fixture *fixture)
{
	open_fixture_with (fixture, false);
}

static void
close_fixture (struct fixture *fixture)
{
	dff_virtual_loop_run (fixture->loop, 30000);
	for (int i = 0; i < PROCESSES; i++)
		dff_intake_free (fixture->processes[i].intake);
	dff_memory_rows_free (fixture->rows);
	dff_metrics_free (fixture->metrics);
	dff_virtual_loop_free (fixture->loop);
}

static struct dff_memory_rows_faults *
faults_of (struct fixture *fixture, int process)
{
	return dff_memory_rows_client_faults (fixture->processes[process].client);
}

static void
handle_result (void *user, const struct dff_rows_result *result)
{
	struct outcome *outcome = user;
	assert_false (outcome->ended);
	outcome->ended = true;
	outcome->outcome = result->outcome;
}

static void
write_row (struct fixture *fixture, int process, const char *key, struct outcome *outcome)
{
	const struct dff_rows *rows = dff_intake_interface (fixture->processes[process].intake);
	struct dff_rows_condition condition = {.table = DFF_TABLE_JOBS, .key = dff_str_from (key)};
	struct dff_rows_write writes[] = {
		{.table = DFF_TABLE_JOBS, .key = condition.key, .value = dff_str_from ("job")},
		{.table = DFF_TABLE_INBOX, .key = condition.key, .value = dff_str_from ("{}")}};
	struct dff_rows_commit commit = {.conditions = &condition,
					 .n_conditions = 1,
					 .writes = writes,
					 .n_writes = G_N_ELEMENTS (writes),
					 .timeout_ms = TIMEOUT_MS};
	*outcome = (struct outcome){0};
	rows->commit (rows->ctx, &commit, handle_result, outcome);
}

static bool
is_written (struct fixture *fixture, const char *key)
{
	return dff_memory_rows_peek (fixture->rows, DFF_TABLE_JOBS, key) != NULL &&
	       dff_memory_rows_peek (fixture->rows, DFF_TABLE_INBOX, key) != NULL;
}

static int64_t
counter (struct fixture *fixture, const char *name)
{
	return *dff_metrics_counter (fixture->metrics, name, "");
}

static const char *
key_of (int index, char key[16])
{
	g_snprintf (key, 16, "job%d", index);
	return key;
}

/* Guards against refusing nearly all jobs while the store is slow: with one row per transaction, a
 * store that executes three transactions a second accepts three jobs a second. */
static void
test_slow_store (void **state)
{
	(void)state;
	static const struct {
		int64_t latency_ms;
		int32_t delay_ms;
		/** Maximum number of transactions for sixty rows. */
		int64_t batches;
	} cases[] = {{10, 0, 0}, {300, 300, 3}};
	for (size_t c = 0; c < G_N_ELEMENTS (cases); c++) {
		struct fixture fixture;
		struct outcome outcomes[60];
		char key[16];
		open_fixture (&fixture);
		fixture.latency_ms = cases[c].latency_ms;
		for (int i = 0; i < PROCESSES; i++)
			faults_of (&fixture, i)->commit_delay_ms = cases[c].delay_ms;
		for (int i = 0; i < 60; i++)
			write_row (&fixture, i % PROCESSES, key_of (i, key), &outcomes[i]);
		dff_virtual_loop_run (fixture.loop, TIMEOUT_MS);
		for (int i = 0; i < 60; i++) {
			assert_true (outcomes[i].ended);
			assert_int_equal (outcomes[i].outcome, DFF_ROWS_DONE);
			assert_true (is_written (&fixture, key_of (i, key)));
		}
		int64_t batched = cases[c].batches > 0 ? 60 : 0;
		assert_int_equal (counter (&fixture, "dff_intake_batch_rows_total"), batched);
		assert_in_range (counter (&fixture, "dff_intake_batches_total"), 0,
				 cases[c].batches);
		close_fixture (&fixture);
	}
}

/* A row that exists already must not keep the other rows of its transaction from being written. A
 * row that is sent twice is written once, and both callers are answered. */
static void
test_existing_rows (void **state)
{
	(void)state;
	struct fixture fixture;
	struct outcome outcomes[10], again;
	char key[16];
	open_fixture (&fixture);
	fixture.latency_ms = 300;
	faults_of (&fixture, 0)->commit_delay_ms = 300;
	dff_memory_rows_put (fixture.rows, DFF_TABLE_JOBS, "job4", dff_str_from ("before"));
	for (int i = 0; i < 10; i++)
		write_row (&fixture, i % PROCESSES, key_of (i, key), &outcomes[i]);
	dff_virtual_loop_run (fixture.loop, 400);
	/* Sent while the transaction with the same row is in progress. */
	write_row (&fixture, 1, "job7", &again);
	dff_virtual_loop_run (fixture.loop, TIMEOUT_MS);
	/* The holder's own rows, then those of the other processes, which conflict on job4, then
	 * the latter again without job4. */
	assert_int_equal (counter (&fixture, "dff_intake_batches_total"), 3);
	for (int i = 0; i < 10; i++) {
		assert_true (outcomes[i].ended);
		assert_int_equal (outcomes[i].outcome, i == 4 ? DFF_ROWS_CONFLICT : DFF_ROWS_DONE);
	}
	assert_true (again.ended);
	assert_true (again.outcome == DFF_ROWS_DONE || again.outcome == DFF_ROWS_CONFLICT);
	assert_string_equal (dff_memory_rows_peek (fixture.rows, DFF_TABLE_JOBS, "job4")->str,
			     "before");
	close_fixture (&fixture);
}

/* If the store refuses one process, the holder writes that process's rows. A holder that is
 * unreachable is not asked again at once. If the store refuses the holder too, callers are answered
 * without waiting for it. */
static void
test_refusals (void **state)
{
	(void)state;
	static const struct {
		bool holder_refused;
		bool holder_unreachable;
		enum dff_rows_outcome second;
	} cases[] = {
		{false, false, DFF_ROWS_DONE},
		{true, false, DFF_ROWS_NOT_DONE},
		{false, true, DFF_ROWS_NOT_DONE},
	};
	for (size_t c = 0; c < G_N_ELEMENTS (cases); c++) {
		struct fixture fixture;
		struct outcome first, second;
		open_fixture (&fixture);
		fixture.holder_unreachable = cases[c].holder_unreachable;
		faults_of (&fixture, 1)->refuses = true;
		faults_of (&fixture, 0)->refuses = cases[c].holder_refused;
		write_row (&fixture, 1, "job", &first);
		dff_virtual_loop_run (fixture.loop, 50);
		assert_int_equal (first.outcome, DFF_ROWS_NOT_DONE);
		write_row (&fixture, 1, "job", &second);
		dff_virtual_loop_run (fixture.loop, 400);
		assert_true (second.ended);
		assert_int_equal (second.outcome, cases[c].second);
		assert_int_equal (fixture.n_lost > 0, cases[c].holder_unreachable);
		assert_int_equal (is_written (&fixture, "job"), second.outcome == DFF_ROWS_DONE);
		close_fixture (&fixture);
	}
}

/* Guards against refusing callers, while the store refuses their process, because rows are
 * forwarded to a former holder: the former holder names the present one, which gets the row. If it
 * names no other process, rows are not forwarded for a while; no row is forwarded in a circle. */
static void
test_holder_replaced (void **state)
{
	(void)state;
	static const struct {
		const char *next;
		bool refuses;
		enum dff_rows_outcome outcome;
		int max_lost;
	} cases[] = {
		/* The intake of p0 plays the next holder as well. */
		{"p9", true, DFF_ROWS_DONE, 1},
		{"p9", false, DFF_ROWS_DONE, 1},
		/* The process writes its row itself. */
		{"", false, DFF_ROWS_DONE, 1},
		{"p0", false, DFF_ROWS_DONE, 1},
		{"", true, DFF_ROWS_NOT_DONE, 1},
	};
	for (size_t c = 0; c < G_N_ELEMENTS (cases); c++) {
		struct fixture fixture;
		struct outcome outcome;
		open_fixture (&fixture);
		fixture.holder_replaced = true;
		fixture.latency_ms = 500;
		dff_name_parse (dff_str_from (cases[c].next), &fixture.next_holder);
		faults_of (&fixture, 1)->refuses = cases[c].refuses;
		write_row (&fixture, 1, "job", &outcome);
		dff_virtual_loop_run (fixture.loop, 900);
		assert_true (outcome.ended);
		assert_int_equal (outcome.outcome, cases[c].outcome);
		assert_int_equal (is_written (&fixture, "job"), cases[c].outcome == DFF_ROWS_DONE);
		assert_in_range (fixture.n_lost, 1, cases[c].max_lost);
		close_fixture (&fixture);
	}
}

/* Guards against answering NOT_DONE for a row that is written later: a batch takes effect late or
 * without an answer, and later batches with the same row are refused. Seeded. */
static void
test_not_done_row_is_never_written (void **state)
{
	(void)state;
	for (guint32 seed = 1; seed <= 60; seed++) {
		g_autoptr (GRand) rand = g_rand_new_with_seed (seed);
		struct fixture fixture;
		struct outcome outcomes[ROWS_MAX];
		char key[16];
		open_fixture (&fixture);
		fixture.latency_ms = 300;
		dff_memory_rows_seed (fixture.rows, seed);
		for (int i = 0; i < ROWS_MAX; i++) {
			struct dff_memory_rows_faults *faults = faults_of (&fixture, 0);
			faults->refuses = g_rand_int_range (rand, 0, 4) == 0;
			faults->lost_permille = g_rand_int_range (rand, 0, 600);
			faults->late_permille = g_rand_int_range (rand, 0, 400);
			faults->late_ms = g_rand_int_range (rand, 0, 4000);
			faults->commit_delay_ms = g_rand_int_range (rand, 0, 500);
			write_row (&fixture, g_rand_int_range (rand, 0, PROCESSES), key_of (i, key),
				   &outcomes[i]);
			dff_virtual_loop_run (fixture.loop, g_rand_int_range (rand, 0, 60));
		}
		dff_virtual_loop_run (fixture.loop, 20000);
		for (int i = 0; i < ROWS_MAX; i++) {
			assert_true (outcomes[i].ended);
			bool written = is_written (&fixture, key_of (i, key));
			if (outcomes[i].outcome == DFF_ROWS_DONE ||
			    outcomes[i].outcome == DFF_ROWS_CONFLICT)
				assert_true (written);
			if (outcomes[i].outcome == DFF_ROWS_NOT_DONE && written)
				fail_msg ("seed %u: row %d was answered NOT_DONE and written", seed,
					  i);
		}
		close_fixture (&fixture);
	}
}

/* Load: a store that takes 400 ms per transaction, eighty times longer than usual, and one row
 * every 50 ms. */
#define VERY_SLOW_MS 400
#define ROW_EVERY_MS INT64_C (50)
#define N_DEFERRED 12

/* Guards against a slow store recording nothing for five seconds after the holder has released its
 * lease: rows that all processes send straight to the store until the next holder is known queue in
 * front of its takeover. Rows must be deferred until a holder is known, and answered NOT_DONE in
 * time if there is none. */
static void
test_no_holder (void **state)
{
	(void)state;
	static const struct {
		/** Time at which a holder becomes known, ms; 0: never. */
		int64_t holder_after_ms;
		/** Whether the address of the first process is known before it can record rows. */
		bool address_known;
		enum dff_rows_outcome outcome;
		int32_t n_recorded;
	} cases[] = {
		{700, false, DFF_ROWS_DONE, N_DEFERRED},
		{700, true, DFF_ROWS_DONE, N_DEFERRED},
		{0, false, DFF_ROWS_NOT_DONE, 0},
		{0, true, DFF_ROWS_NOT_DONE, 0},
	};
	for (size_t c = 0; c < G_N_ELEMENTS (cases); c++) {
		struct fixture fixture;
		struct outcome outcomes[N_DEFERRED];
		char key[16];
		open_fixture_with (&fixture, true);
		fixture.latency_ms = VERY_SLOW_MS;
		struct dff_name none = {0};
		for (int i = 0; i < PROCESSES; i++) {
			faults_of (&fixture, i)->commit_delay_ms = VERY_SLOW_MS;
			if (!cases[c].address_known)
				dff_intake_set_holder_address (fixture.processes[i].intake, &none,
							       false);
		}
		for (int i = 0; i < N_DEFERRED; i++) {
			write_row (&fixture, i % PROCESSES, key_of (i, key), &outcomes[i]);
			dff_virtual_loop_run (fixture.loop, ROW_EVERY_MS);
		}
		if (cases[c].holder_after_ms > 0) {
			dff_virtual_loop_run (fixture.loop,
					      cases[c].holder_after_ms - N_DEFERRED * ROW_EVERY_MS);
			struct dff_name first = dff_name_from ("p0");
			fixture.records = true;
			for (int i = 0; i < PROCESSES; i++)
				dff_intake_set_holder_address (fixture.processes[i].intake, &first,
							       i == 0);
		}
		dff_virtual_loop_run (fixture.loop, TIMEOUT_MS);
		for (int i = 0; i < N_DEFERRED; i++) {
			assert_true (outcomes[i].ended);
			assert_int_equal (outcomes[i].outcome, cases[c].outcome);
		}
		assert_int_equal (fixture.n_recorded, cases[c].n_recorded);
		/* No row went straight to the store. */
		assert_int_equal (dff_memory_rows_count (fixture.rows, DFF_TABLE_JOBS), 0);
		assert_int_equal (counter (&fixture, "dff_intake_batches_total"), 0);
		close_fixture (&fixture);
	}
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_holder_replaced),
		cmocka_unit_test (test_slow_store),
		cmocka_unit_test (test_existing_rows),
		cmocka_unit_test (test_refusals),
		cmocka_unit_test (test_not_done_row_is_never_written),
		cmocka_unit_test (test_no_holder),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
