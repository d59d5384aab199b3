#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "daemon/pool_watch.h"
#include "pool/pool_row.h"
#include "tests/backing/memory_fixture.h"

#define POLL_MS INT64_C (1000)

#define POOL                                                                                       \
	"{\"racks\":[{\"name\":\"r1\",\"data_centre\":\"dc1\",\"region\":\"demo\",\"workers\":1,"  \
	"\"slots\":8,\"cores\":32,\"memory_gb\":64,\"accelerators\":8}],"                          \
	"\"teams\":[],\"services\":[],\"operators\":[]}"

struct fixture {
	struct memory_fixture site;
	struct dff_pool_watch *watch;
	/** Table of the watch: the caller's table, with the rows read counted. */
	struct dff_table table;
	int64_t rows_read;
	int64_t in_force;
	bool regressed;
};

static void
handle_in_force (void *ctx, const struct dff_pool *pool, struct dff_str text)
{
	struct fixture *fixture = ctx;
	assert_true (text.len > 0);
	if (pool->generation <= fixture->in_force)
		fixture->regressed = true;
	fixture->in_force = pool->generation;
}

/** A read in progress through the counting table. */
struct counted {
	struct fixture *fixture;
	dff_table_func done;
	void *user;
};

static void
count_rows (void *user, const struct dff_table_result *result)
{
	struct counted counted = *(struct counted *)user;
	g_free (user);
	counted.fixture->rows_read += (int64_t)result->n_rows;
	counted.done (counted.user, result);
}

static struct counted *
counted_new (struct fixture *fixture, dff_table_func done, void *user)
{
	struct counted *counted = g_new (struct counted, 1);
	*counted = (struct counted){fixture, done, user};
	return counted;
}

static void
counted_get (void *ctx, const struct dff_str *keys, size_t n_keys, dff_table_func done, void *user)
{
	struct fixture *fixture = ctx;
	const struct dff_table *table = &fixture->site.caller->table;
	table->get (table->ctx, keys, n_keys, count_rows, counted_new (fixture, done, user));
}

static void
counted_scan (void *ctx,
	      struct dff_str prefix,
	      int64_t after,
	      size_t limit,
	      dff_table_func done,
	      void *user)
{
	struct fixture *fixture = ctx;
	const struct dff_table *table = &fixture->site.caller->table;
	table->scan (table->ctx, prefix, after, limit, count_rows,
		     counted_new (fixture, done, user));
}

static int
set_up (void **state)
{
	struct fixture *fixture = g_new0 (struct fixture, 1);
	memory_fixture_init (&fixture->site);
	fixture->table =
		(struct dff_table){.get = counted_get, .scan = counted_scan, .ctx = fixture};
	struct dff_pool_watch_options options = {
		.table = &fixture->table,
		.clock = &fixture->site.time.clock,
		.metrics = fixture->site.metrics,
		.poll_ms = POLL_MS,
		.in_force = handle_in_force,
		.ctx = fixture,
	};
	fixture->watch = dff_pool_watch_new (&options);
	*state = fixture;
	return 0;
}

static int
tear_down (void **state)
{
	struct fixture *fixture = *state;
	memory_fixture_close (&fixture->site);
	dff_pool_watch_free (fixture->watch);
	memory_fixture_clear (&fixture->site);
	g_free (fixture);
	return 0;
}

static void
tick (void *user)
{
	struct fixture *fixture = user;
	dff_pool_watch_tick (fixture->watch);
}

static void
run_for (struct fixture *fixture, int64_t length_ms)
{
	memory_fixture_run (&fixture->site, length_ms, tick, fixture);
}

static void
ignore_result (void *user, const struct dff_table_result *result)
{
	(void)user;
	assert_int_equal (result->outcome, DFF_TABLE_OK);
}

static void
commit_pool (struct fixture *fixture, int64_t generation)
{
	struct dff_memory_handle *operator= dff_memory_open (fixture->site.memory);
	g_autoptr (GString) value = dff_pool_row_encode (generation, dff_str_from (POOL));
	struct dff_table_write write = {.key = dff_str_from (DFF_POOL_ROW_KEY),
					.value = {value->str, value->len}};
	struct dff_table_txn txn = {.write_id = dff_name_printf ("w-%d", (int)generation),
				    .writes = &write,
				    .n_writes = 1};
	operator->table.commit (operator->table.ctx, &txn, ignore_result, NULL);
	dff_memory_close (operator);
}

static void
store_revision (void *user, const struct dff_table_result *result)
{
	assert_int_equal (result->n_rows, 1);
	*(int64_t *)user = result->rows[0].revision;
}

struct offer_case {
	int64_t generation;
	const char *text;
	bool accepted;
	int64_t in_force;
};

/* Guards against accepting a revoked token again: files arrive late and out of order, and the last
 * one to arrive must not be taken for the newest. */
static void
test_generation_never_decreases (void **state)
{
	struct fixture *fixture = *state;
	static const struct offer_case cases[] = {
		{3, POOL, true, 3},  {2, POOL, false, 3},  {3, POOL, false, 3},
		{4, "{", false, 3},  {5, POOL, true, 5},   {4, POOL, false, 5},
		{0, POOL, false, 5}, {-1, POOL, false, 5}, {6, POOL, true, 6},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		bool accepted = dff_pool_watch_offer (fixture->watch, cases[i].generation, 0,
						      dff_str_from (cases[i].text));
		assert_int_equal (accepted, cases[i].accepted);
		assert_int_equal (dff_pool_watch_generation (fixture->watch), cases[i].in_force);
	}
	commit_pool (fixture, 4);
	run_for (fixture, 5 * POLL_MS);
	assert_int_equal (fixture->in_force, 6);
	assert_false (fixture->regressed);
}

/** Tick function without a poll. */
static void
do_nothing (void *user)
{
	(void)user;
}

static int64_t
row_revision (struct fixture *fixture)
{
	int64_t revision = 0;
	const struct dff_table *table = &fixture->site.caller->table;
	struct dff_str key = dff_str_from (DFF_POOL_ROW_KEY);
	table->get (table->ctx, &key, 1, store_revision, &revision);
	memory_fixture_run (&fixture->site, POLL_MS / 4, do_nothing, NULL);
	assert_true (revision > 0);
	return revision;
}

/* Guards against reading 58 KB of the table in each process for each change of a large pool: a peer
 * pushes the file, and without its row's revision the next poll would read the row again. A newer
 * row is still read, and so is the row of a file that could not be put in force. */
static void
test_pushed_row_is_not_read_again (void **state)
{
	struct fixture *fixture = *state;
	commit_pool (fixture, 4);
	int64_t revision = row_revision (fixture);
	assert_false (dff_pool_watch_offer (fixture->watch, 4, revision, dff_str_from ("{")));
	run_for (fixture, 2 * POLL_MS);
	assert_int_equal (fixture->rows_read, 1);
	commit_pool (fixture, 5);
	revision = row_revision (fixture);
	assert_true (dff_pool_watch_offer (fixture->watch, 5, revision, dff_str_from (POOL)));
	run_for (fixture, 5 * POLL_MS);
	assert_int_equal (fixture->rows_read, 1);
	commit_pool (fixture, 6);
	run_for (fixture, 2 * POLL_MS);
	assert_int_equal (fixture->rows_read, 2);
	assert_int_equal (fixture->in_force, 6);
}

/* Guards against keeping an old file for good when the push of the new one is lost. */
static void
test_polls_when_the_push_is_lost (void **state)
{
	struct fixture *fixture = *state;
	commit_pool (fixture, 1);
	run_for (fixture, POLL_MS);
	assert_int_equal (fixture->in_force, 1);
	commit_pool (fixture, 2);
	run_for (fixture, POLL_MS + 50);
	assert_int_equal (fixture->in_force, 2);
}

/* Guards against keeping an old file because a poll is never answered and the next one waits for
 * it. */
static void
test_polling_continues_after_lost_poll (void **state)
{
	struct fixture *fixture = *state;
	run_for (fixture, POLL_MS);
	fixture->site.caller->faults.silent_until_ms = fixture->site.time.now_ms + 40000;
	run_for (fixture, 5000);
	commit_pool (fixture, 7);
	run_for (fixture, 5000);
	assert_int_equal (fixture->in_force, 0);
	run_for (fixture, 45000);
	assert_int_equal (fixture->in_force, 7);
	assert_false (fixture->regressed);
}

/* Guards against reading the whole row at each poll, each second, although nothing changes. An idle
 * process received 1.2 KB a second of pool file; with the pool of a large region it would be 40 KB,
 * while the limit for all traffic is 6 KB. */
static void
test_unchanged_row_is_read_once (void **state)
{
	struct fixture *fixture = *state;
	commit_pool (fixture, 1);
	run_for (fixture, 20 * POLL_MS);
	assert_int_equal (fixture->in_force, 1);
	assert_int_equal (fixture->rows_read, 1);
	commit_pool (fixture, 2);
	run_for (fixture, 20 * POLL_MS);
	assert_int_equal (fixture->in_force, 2);
	assert_int_equal (fixture->rows_read, 2);
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown (test_pushed_row_is_not_read_again, set_up,
						 tear_down),
		cmocka_unit_test_setup_teardown (test_generation_never_decreases, set_up,
						 tear_down),
		cmocka_unit_test_setup_teardown (test_polls_when_the_push_is_lost, set_up,
						 tear_down),
		cmocka_unit_test_setup_teardown (test_unchanged_row_is_read_once, set_up,
						 tear_down),
		cmocka_unit_test_setup_teardown (test_polling_continues_after_lost_poll, set_up,
						 tear_down),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
