#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <signal.h>

#include "backing/http.h"
#include "record/recorder.h"
#include "standin/platform_server.h"

/* Guards against a wrong outcome of a write, by which a refused job is submitted again and runs
 * twice. Answers to commits are lost and commits arrive late over real connections, so that
 * connection, client, table and recorder are tested together. */

#define N_WRITES 200
#define TICK_MS 5
#define LATE_MS 2000
#define FAULTS                                                                                     \
	"{\"lose_permille\":200,\"late_permille\":200,\"lost_permille\":200,"                      \
	"\"unavailable_permille\":100,\"late_ms\":2000}"

struct writer {
	int calls;
	enum dff_record_outcome outcome;
	int64_t revision;
};

struct fixture {
	struct event_base *base;
	struct dff_clock_virtual clock;
	struct dff_metrics *metrics;
	struct dff_http_client *client;
	struct dff_platform_server *server;
	struct dff_http_table *table;
	struct dff_recorder *recorder;
	struct writer writers[N_WRITES];
	int n_called;
};

static int
setup (void **state)
{
	signal (SIGPIPE, SIG_IGN);
	struct fixture *fixture = g_new0 (struct fixture, 1);
	fixture->base = event_base_new ();
	dff_clock_virtual_init (&fixture->clock, 1000);
	fixture->metrics = dff_metrics_new ();
	struct dff_http_client_options client_options;
	dff_http_client_options_init (&client_options);
	client_options.base = fixture->base;
	client_options.metrics = fixture->metrics;
	fixture->client = dff_http_client_new (&client_options);
	struct dff_platform_server_options server_options = {
		.base = fixture->base,
		.clock = &fixture->clock.clock,
		.listen = dff_name_from ("127.0.0.1:0"),
		.seed = 1,
	};
	fixture->server = dff_platform_server_new (&server_options);
	struct dff_http_service_options service;
	dff_http_service_options_init (&service);
	service.client = fixture->client;
	service.address = dff_platform_server_address (fixture->server);
	service.timeout_ms = 10000;
	fixture->table = dff_http_table_new (&service);
	struct dff_recorder_options options;
	dff_recorder_options_init (&options);
	options.table = dff_http_table_interface (fixture->table);
	options.clock = &fixture->clock.clock;
	options.metrics = fixture->metrics;
	options.writer = dff_name_from ("entry-1");
	options.max_commits_per_s = 1000;
	options.max_rows_per_commit = 4;
	fixture->recorder = dff_recorder_new (&options);
	*state = fixture;
	return 0;
}

static int
teardown (void **state)
{
	struct fixture *fixture = *state;
	dff_http_client_free (fixture->client);
	dff_http_table_free (fixture->table);
	dff_recorder_free (fixture->recorder);
	dff_platform_server_free (fixture->server);
	dff_metrics_free (fixture->metrics);
	event_base_free (fixture->base);
	g_free (fixture);
	return 0;
}

static void
handle_faults_set (void *user, const struct dff_http_response *response)
{
	assert_int_equal (response->status, 200);
	*(bool *)user = true;
}

static void
set_faults (struct fixture *fixture, const char *faults)
{
	bool done = false;
	struct dff_http_request request = {
		.address = dff_platform_server_address (fixture->server),
		.method = EVHTTP_REQ_POST,
		.path = "/admin/faults",
		.body = dff_str_from (faults),
		.timeout_ms = 10000,
	};
	dff_http_client_send (fixture->client, &request, handle_faults_set, &done);
	while (!done)
		event_base_loop (fixture->base, EVLOOP_ONCE);
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
add_writers (struct fixture *fixture)
{
	for (int i = 0; i < N_WRITES; i++) {
		struct dff_name key = dff_name_printf ("k:%d", i);
		struct dff_table_write row = {{key.data, key.len}, dff_str_from ("v")};
		struct dff_table_condition condition = {row.key, 0};
		struct dff_record_write write = {
			.conditions = &condition,
			.n_conditions = 1,
			.writes = &row,
			.n_writes = 1,
			.queue_timeout_ms = i % 2 == 0 ? 0 : 100,
		};
		dff_recorder_write (fixture->recorder, &write, handle_outcome,
				    &fixture->writers[i]);
	}
}

static int
count_calls (const struct fixture *fixture)
{
	int calls = 0;
	for (int i = 0; i < N_WRITES; i++)
		calls += fixture->writers[i].calls;
	return calls;
}

/* Checks that the rows and their revisions are those reported to the writers. */
static void
check_rows (void *user, const struct dff_table_result *result)
{
	struct fixture *fixture = user;
	int done = 0;
	for (int i = 0; i < N_WRITES; i++)
		done += fixture->writers[i].outcome == DFF_RECORD_COMMITTED;
	assert_int_equal (result->n_rows, done);
	for (size_t i = 0; i < result->n_rows; i++) {
		const struct dff_table_row *row = &result->rows[i];
		g_autofree char *index = g_strndup (row->key.data + 2, row->key.len - 2);
		const struct writer *writer = &fixture->writers[g_ascii_strtoull (index, NULL, 10)];
		assert_int_equal (writer->outcome, DFF_RECORD_COMMITTED);
		assert_int_equal (writer->revision, row->revision);
	}
	fixture->n_called++;
}

static void
test_lost_and_late_commits_over_http (void **state)
{
	struct fixture *fixture = *state;
	set_faults (fixture, FAULTS);
	add_writers (fixture);
	while (count_calls (fixture) < N_WRITES) {
		fixture->clock.now_ms += TICK_MS;
		dff_recorder_tick (fixture->recorder);
		event_base_loop (fixture->base, EVLOOP_NONBLOCK);
	}
	for (int i = 0; i < N_WRITES; i++)
		assert_int_equal (fixture->writers[i].calls, 1);
	/* After this time, the next request makes all late commits take effect that still can. */
	fixture->clock.now_ms += LATE_MS;
	set_faults (fixture, "{}");
	const struct dff_table *table = dff_http_table_interface (fixture->table);
	table->scan (table->ctx, dff_str_from ("k:"), 0, N_WRITES + 1, check_rows, fixture);
	while (fixture->n_called == 0)
		event_base_loop (fixture->base, EVLOOP_ONCE);
	assert_true (*dff_metrics_counter (fixture->metrics, "dff_record_resolved_absent_total",
					   "") > 0);
	assert_true (*dff_metrics_counter (fixture->metrics, "dff_record_resolved_written_total",
					   "") > 0);
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown (test_lost_and_late_commits_over_http, setup,
						 teardown),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
