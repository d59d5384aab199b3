#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "rows/scan.h"
#include "standin/memory_rows.h"

/* Scans of a table in a store with faults. */

#define TABLE "table"
#define START_MS 1000000

struct fixture {
	struct dff_virtual_loop *loop;
	struct dff_memory_rows *rows;
	struct dff_memory_rows_client *client;
	struct dff_scan *scan;
	/** Key of a row to the number of times that the row was reported. */
	GHashTable *seen;
	int n_pages;
	int n_done;
	struct dff_scan_result result;
};

static void
handle_row (void *ctx, const struct dff_row *row)
{
	struct fixture *fixture = ctx;
	char *key = g_strndup (row->key.data, row->key.len);
	gpointer count = g_hash_table_lookup (fixture->seen, key);
	g_hash_table_replace (fixture->seen, key, GINT_TO_POINTER (GPOINTER_TO_INT (count) + 1));
}

static void
handle_page (void *ctx, const struct dff_rows_result *result, int64_t begun_ms)
{
	struct fixture *fixture = ctx;
	(void)result;
	assert_in_range (begun_ms, 0, dff_virtual_loop_now_ms (fixture->loop));
	fixture->n_pages++;
}

static void
handle_done (void *ctx, const struct dff_scan_result *result)
{
	struct fixture *fixture = ctx;
	fixture->n_done++;
	fixture->result = *result;
}

static void
fixture_open (struct fixture *fixture, int n_rows)
{
	*fixture = (struct fixture){0};
	fixture->loop = dff_virtual_loop_new (START_MS);
	fixture->rows = dff_memory_rows_new (fixture->loop);
	fixture->client = dff_memory_rows_client_new (fixture->rows);
	fixture->seen = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
	for (int i = 0; i < n_rows; i++) {
		g_autofree char *key = g_strdup_printf ("k%05d", i);
		dff_memory_rows_put (fixture->rows, TABLE, key, dff_str_from ("value"));
	}
	struct dff_scan_options options = {
		.timers = dff_virtual_loop_timers (fixture->loop),
		.rows = dff_memory_rows_client_interface (fixture->client),
		.table = TABLE,
		.timeout_ms = 400,
		.sink = {.row = handle_row,
			 .page = handle_page,
			 .done = handle_done,
			 .ctx = fixture},
	};
	fixture->scan = dff_scan_new (&options);
}

static void
fixture_close (struct fixture *fixture)
{
	dff_scan_free (fixture->scan);
	dff_virtual_loop_run (fixture->loop, 10000);
	dff_memory_rows_free (fixture->rows);
	dff_virtual_loop_free (fixture->loop);
	g_hash_table_unref (fixture->seen);
}

static void
assert_each_row_once (const struct fixture *fixture, guint n_rows)
{
	assert_int_equal (g_hash_table_size (fixture->seen), n_rows);
	GHashTableIter iter;
	gpointer count;
	g_hash_table_iter_init (&iter, fixture->seen);
	while (g_hash_table_iter_next (&iter, NULL, &count))
		assert_int_equal (GPOINTER_TO_INT (count), 1);
}

static void
test_scan_by_pages (void **state)
{
	(void)state;
	static const struct {
		int n_rows;
		int n_pages;
	} cases[] = {{0, 1}, {1, 1}, {500, 1}, {501, 2}, {1200, 3}};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct fixture fixture;
		fixture_open (&fixture, cases[i].n_rows);
		dff_scan_start (fixture.scan);
		assert_true (dff_scan_is_running (fixture.scan));
		dff_virtual_loop_run (fixture.loop, 1000);
		assert_false (dff_scan_is_running (fixture.scan));
		assert_int_equal (fixture.n_done, 1);
		assert_int_equal (fixture.result.n_rows, cases[i].n_rows);
		assert_int_equal (fixture.result.n_pages, cases[i].n_pages);
		assert_int_equal (fixture.result.n_failed, 0);
		assert_int_equal (fixture.result.revision, cases[i].n_rows);
		assert_each_row_once (&fixture, (guint)cases[i].n_rows);
		fixture_close (&fixture);
	}
}

/* Guards against a scan of a large table that never completes: a full page takes longer than the
 * timeout, and each further attempt requests as many rows again, from the first row on. */
static void
test_slow_pages_become_smaller (void **state)
{
	(void)state;
	struct fixture fixture;
	fixture_open (&fixture, 1200);
	dff_memory_rows_client_faults (fixture.client)->row_us = 4000;
	dff_scan_start (fixture.scan);
	dff_virtual_loop_run (fixture.loop, 15000);
	assert_int_equal (fixture.n_done, 1);
	assert_in_range (fixture.result.n_failed, 1, 3);
	assert_each_row_once (&fixture, 1200);
	fixture_close (&fixture);
}

/* Guards against reading pages twice: the store becomes silent during a scan, and the scan starts
 * again from the first row after the failed page. */
static void
test_scan_resumes_after_silence (void **state)
{
	(void)state;
	struct fixture fixture;
	fixture_open (&fixture, 1200);
	dff_scan_start (fixture.scan);
	while (fixture.n_pages < 1)
		dff_virtual_loop_run (fixture.loop, 1);
	dff_memory_rows_client_faults (fixture.client)->silent = true;
	dff_virtual_loop_run (fixture.loop, 8000);
	assert_int_equal (fixture.n_done, 0);
	dff_memory_rows_client_faults (fixture.client)->silent = false;
	dff_virtual_loop_run (fixture.loop, 8000);
	assert_int_equal (fixture.n_done, 1);
	assert_each_row_once (&fixture, 1200);
	fixture_close (&fixture);
}

/* Guards against hundreds of calls a second to a store that refuses them: a new holder scans the
 * recorded state, and a refused page is requested again without a backoff. */
static void
test_refused_pages_are_spaced (void **state)
{
	(void)state;
	struct fixture fixture;
	fixture_open (&fixture, 10);
	dff_memory_rows_client_faults (fixture.client)->refuses = true;
	dff_scan_start (fixture.scan);
	dff_virtual_loop_run (fixture.loop, 4000);
	assert_in_range (fixture.n_pages, 8, 14);
	dff_memory_rows_client_faults (fixture.client)->refuses = false;
	dff_virtual_loop_run (fixture.loop, 500);
	assert_int_equal (fixture.n_done, 1);
	fixture_close (&fixture);
}

static void
test_no_callback_after_free (void **state)
{
	(void)state;
	struct fixture fixture;
	fixture_open (&fixture, 1200);
	dff_scan_start (fixture.scan);
	dff_virtual_loop_run (fixture.loop, 1);
	g_clear_pointer (&fixture.scan, dff_scan_free);
	dff_virtual_loop_run (fixture.loop, 5000);
	assert_int_equal (fixture.n_pages, 0);
	struct dff_scan_options options = {
		.timers = dff_virtual_loop_timers (fixture.loop),
		.rows = dff_memory_rows_client_interface (fixture.client),
		.table = TABLE,
		.timeout_ms = 400,
		.sink = {.row = handle_row, .done = handle_done, .ctx = &fixture},
	};
	fixture.scan = dff_scan_new (&options);
	fixture_close (&fixture);
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_scan_by_pages),
		cmocka_unit_test (test_slow_pages_become_smaller),
		cmocka_unit_test (test_scan_resumes_after_silence),
		cmocka_unit_test (test_refused_pages_are_spaced),
		cmocka_unit_test (test_no_callback_after_free),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
