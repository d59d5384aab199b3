#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib/gstdio.h>

#include "backing/memory.h"
#include "standin/worker.h"

/* Benchmarks count executions by the run log: it has one line for each task or request that begins
 * to run, and none for a task that is only held or is refused. */

static void
ignore_result (void *user, const struct dff_worker_result *result)
{
	(void)user;
	(void)result;
}

static void
ignore_request (void *user, const struct dff_request_result *result)
{
	(void)user;
	(void)result;
}

static void
start (struct dff_standin_worker *worker, int32_t member, bool held)
{
	struct dff_worker_call call = {
		.type = DFF_WORKER_CALL_START,
		.start = {.task = {dff_name_from ("job-1"), 2, member},
			  .resources = {.slots = 1},
			  .held = held,
			  .lease_ms = 1000,
			  .payload = dff_str_from ("{\"run_ms\":10,\"tag\":\"a\"}")},
	};
	dff_standin_worker_call (worker, &call, ignore_result, NULL);
}

static void
request (struct dff_standin_worker *worker, const char *id, const char *payload)
{
	struct dff_name name = dff_name_from (id);
	dff_standin_worker_request (worker, &name, dff_str_from (payload), ignore_request, NULL);
}

static void
test_lines (void **state)
{
	(void)state;
	struct dff_clock_virtual clock;
	dff_clock_virtual_init (&clock, 1000);
	struct dff_memory_options memory_options = {.clock = &clock.clock, .seed = 1};
	DFF_AUTO (dff_memory) memory = dff_memory_new (&memory_options);
	struct dff_memory_handle *handle = dff_memory_open (memory);
	g_autofree char *directory = g_dir_make_tmp ("run-log-XXXXXX", NULL);
	g_autofree char *path = g_build_filename (directory, "runs", NULL);
	struct dff_run_log *log = dff_run_log_open (path, NULL);
	assert_non_null (log);
	struct dff_standin_worker_options options = {
		.clock = &clock.clock,
		.store = &handle->objects,
		.capacity = {.slots = 4, .cores = 4, .memory_gb = 4},
		.run_log = log,
	};
	struct dff_standin_worker *worker = dff_standin_worker_new (&options);
	start (worker, 0, false);
	start (worker, 0, false);
	start (worker, 1, true);
	request (worker, "r.1", "{\"work_ms\":5,\"tag\":\"b\"}");
	request (worker, "r.2", "{\"tag\":\"not a name\"}");
	request (worker, "r.3", "{\"work_ms\":5}");
	g_autofree char *lines = NULL;
	assert_true (g_file_get_contents (path, &lines, NULL, NULL));
	assert_string_equal (lines, "task job-1 2 0 a\nrequest r.1 b\nrequest r.3 -\n");
	dff_standin_worker_free (worker);
	dff_run_log_close (log);
	dff_memory_close (handle);
	assert_int_equal (g_unlink (path) + g_rmdir (directory), 0);
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_lines),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
