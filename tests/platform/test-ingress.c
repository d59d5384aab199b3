#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <event2/buffer.h>
#include <string.h>

#include "common/event_loop.h"
#include "common/http_client.h"
#include "holder/tables.h"
#include "platform/decode.h"
#include "platform/ingress.h"
#include "standin/memory_rows.h"

/* Tests the answers to callers: each case is one call over loopback, served from an in-memory
 * store. */

#define CONFIG                                                                                     \
	"{\"version\":7,\"routes\":[{\"name\":\"r-a\",\"host\":\"127.0.0.1\",\"path_prefix\":\"/"  \
	"q/\","                                                                                    \
	"\"service\":\"s\",\"priority\":1,\"max_attempts\":2},{\"name\":\"r-open\",\"host\":"      \
	"\"127.0.0.1\",\"path_prefix\":\"/open/\",\"service\":\"s\",\"public\":true},{\"name\":"   \
	"\"r-adv\",\"host\":\"127.0.0.1\",\"path_prefix\":\"/adv/"                                 \
	"\",\"service\":\"s\",\"public\":true,"                                                    \
	"\"recommendation\":{\"decide_ms\":1}}],\"tenants\":[{\"name\":\"t\",\"api_keys\":["       \
	"\"key\"]}]}"
#define JOB "{\"spec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":500}]}"
#define ID "5c0e7a21d94b36f8"

/** Time by the virtual clock after which a call counts as not answered, ms. */
#define PATIENCE_MS 300000

struct fixture {
	struct event_base *base;
	struct dff_virtual_loop *loop;
	struct dff_memory_rows *rows;
	struct dff_memory_rows_client *store;
	struct dff_metrics *metrics;
	struct dff_front *front;
	struct dff_ingress *ingress;
	struct dff_connections *connections;
	struct dff_http_server *server;
	struct dff_name address;
	struct dff_http_client *client;
	struct dff_fleet_config *config;
	/** Number of queries per call after which the configuration is out of date. */
	int32_t max_queries;
	int32_t n_queries;
	bool silent;
	/** Time that callers say they wait, ms. */
	const char *deadline;
	bool answered;
	int status;
	GString *body;
	char *retry_after;
};

static const struct dff_fleet_config *
current_config (void *ctx)
{
	struct fixture *fixture = ctx;
	fixture->n_queries++;
	return fixture->n_queries <= fixture->max_queries ? fixture->config : NULL;
}

static bool
store_is_silent (void *ctx)
{
	return ((struct fixture *)ctx)->silent;
}

static void
fixture_open (struct fixture *fixture)
{
	*fixture = (struct fixture){.base = dff_event_base_new (),
				    .loop = dff_virtual_loop_new (1000),
				    .metrics = dff_metrics_new (),
				    .max_queries = INT32_MAX,
				    .deadline = "3000",
				    .body = g_string_new (NULL)};
	fixture->rows = dff_memory_rows_new (fixture->loop);
	fixture->store = dff_memory_rows_client_new (fixture->rows);
	struct dff_front_options front = {
		.timers = dff_virtual_loop_timers (fixture->loop),
		.rows = dff_memory_rows_client_interface (fixture->store),
		.metrics = fixture->metrics,
		.store_is_silent = store_is_silent,
		.ctx = fixture,
	};
	fixture->front = dff_front_new (&front);
	struct dff_ingress_options ingress = {
		.base = fixture->base,
		.clock = dff_virtual_loop_clock (fixture->loop),
		.front = fixture->front,
		.metrics = fixture->metrics,
		.config = current_config,
		.ctx = fixture,
	};
	fixture->ingress = dff_ingress_new (&ingress);
	static const struct dff_connection_limits limits = {
		.max_connections = 100,
		.header_timeout_ms = 10000,
		.request_timeout_ms = 10000,
		.idle_timeout_ms = 10000,
		.max_header_bytes = 16384,
		.max_body_bytes = 262144,
	};
	fixture->connections =
		dff_connections_new (dff_clock_system (), DFF_CONNECTIONS_BYTES_DEFAULT);
	fixture->server =
		dff_http_server_new (fixture->base, fixture->connections, "callers", &limits);
	dff_ingress_serve (fixture->ingress, fixture->server);
	struct dff_name any = dff_name_from ("127.0.0.1:0");
	assert_true (dff_http_server_listen (fixture->server, &any, &fixture->address));
	struct dff_http_client_options client;
	dff_http_client_options_init (&client);
	client.base = fixture->base;
	client.metrics = fixture->metrics;
	fixture->client = dff_http_client_new (&client);
	fixture->config = dff_platform_read_config (dff_str_from (CONFIG));
}

static void
fixture_close (struct fixture *fixture)
{
	dff_http_client_free (fixture->client);
	dff_http_server_free (fixture->server);
	dff_connections_free (fixture->connections);
	dff_ingress_free (fixture->ingress);
	dff_front_free (fixture->front);
	dff_memory_rows_free (fixture->rows);
	dff_virtual_loop_free (fixture->loop);
	if (fixture->config != NULL)
		dff_fleet_config_free (fixture->config);
	dff_metrics_free (fixture->metrics);
	event_base_free (fixture->base);
	g_string_free (fixture->body, TRUE);
	g_free (fixture->retry_after);
}

static void
handle_answer (void *user, const struct dff_http_response *response)
{
	struct fixture *fixture = user;
	fixture->answered = true;
	fixture->status = response->status;
	g_string_truncate (fixture->body, 0);
	g_string_append_len (fixture->body, response->body.data, (gssize)response->body.len);
	g_free (fixture->retry_after);
	fixture->retry_after =
		response->headers != NULL
			? g_strdup (evhttp_find_header (response->headers, "Retry-After"))
			: NULL;
}

static void
call (struct fixture *fixture,
      enum evhttp_cmd_type method,
      const char *path,
      const char *key,
      const char *body)
{
	struct dff_http_header headers[] = {
		{"Dragonflyfold-Deadline-Ms", dff_str_from (fixture->deadline)},
		{"Dragonflyfold-Credential", dff_str_from (key != NULL ? key : "")},
	};
	struct dff_http_request request = {.address = fixture->address,
					   .method = method,
					   .path = path,
					   .headers = headers,
					   .n_headers = key != NULL ? 2 : 1,
					   .body = dff_str_from (body),
					   .timeout_ms = 60000};
	fixture->answered = false;
	dff_http_client_send (fixture->client, &request, handle_answer, fixture);
	/* Sockets run in real time, all timers by the virtual clock. */
	int64_t until_ms = dff_virtual_loop_now_ms (fixture->loop) + PATIENCE_MS;
	fixture->status = 0;
	while (!fixture->answered && dff_virtual_loop_now_ms (fixture->loop) < until_ms) {
		event_base_loop (fixture->base, EVLOOP_NONBLOCK);
		dff_virtual_loop_run (fixture->loop, 1);
	}
}

static void
test_calls (void **state)
{
	(void)state;
	static const struct {
		enum evhttp_cmd_type method;
		int status;
		const char *path;
		const char *key;
		const char *body;
		const char *answer;
	} cases[] = {
		{EVHTTP_REQ_GET, 410, "/q/" ID, "key", "", "{}"},
		{EVHTTP_REQ_DELETE, 410, "/q/" ID, "key", "", "{}"},
		{EVHTTP_REQ_POST, 401, "/q/" ID, NULL, JOB, "{}"},
		{EVHTTP_REQ_POST, 401, "/q/" ID, "other", JOB, "{}"},
		{EVHTTP_REQ_POST, 404, "/none/" ID, "key", JOB, "{}"},
		{EVHTTP_REQ_POST, 400, "/q/" ID, "key", "{", "{}"},
		{EVHTTP_REQ_POST, 404, "/q/nothex", "key", JOB, "{}"},
		{EVHTTP_REQ_POST, 503, "/adv/" ID, NULL, JOB, "{}"},
		{EVHTTP_REQ_GET, 200, "/q/", "key", "", "{\"waiting\":0}"},
		{EVHTTP_REQ_POST, 200, "/q/" ID, "key", JOB, "{}"},
		{EVHTTP_REQ_POST, 200, "/q/" ID, "key", JOB, "{}"},
		{EVHTTP_REQ_GET, 200, "/q/" ID, "key", "", "{\"state\":\"queued\"}"},
		{EVHTTP_REQ_DELETE, 200, "/q/" ID, "key", "", "{}"},
		{EVHTTP_REQ_DELETE, 200, "/q/" ID, "key", "", "{}"},
		{EVHTTP_REQ_GET, 200, "/q/" ID, "key", "", "{\"state\":\"cancelled\"}"},
		{EVHTTP_REQ_POST, 200, "/open/" ID, NULL, JOB, "{}"},
	};
	struct fixture fixture;
	fixture_open (&fixture);
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		call (&fixture, cases[i].method, cases[i].path, cases[i].key, cases[i].body);
		assert_int_equal (fixture.status, cases[i].status);
		assert_string_equal (fixture.body->str, cases[i].answer);
		assert_int_equal (fixture.retry_after != NULL, cases[i].status == 503);
	}
	assert_int_equal (dff_ingress_n_open (fixture.ingress), 0);
	fixture_close (&fixture);
}

/* Guards against answering that a call had no effect although its job runs: a write without an
 * answer is followed by a refused one, and the refusal is taken for the result of both. */
static void
test_refused_call_has_no_effect (void **state)
{
	(void)state;
	struct fixture fixture;
	fixture_open (&fixture);
	struct dff_memory_rows_faults *faults = dff_memory_rows_client_faults (fixture.store);
	faults->refuses = true;
	int64_t before_ms = dff_virtual_loop_now_ms (fixture.loop);
	call (&fixture, EVHTTP_REQ_POST, "/q/" ID, "key", JOB);
	assert_int_equal (fixture.status, 503);
	assert_non_null (fixture.retry_after);
	assert_in_range (dff_virtual_loop_now_ms (fixture.loop) - before_ms, 0, 300);
	assert_int_equal (dff_memory_rows_count (fixture.rows, DFF_TABLE_JOBS), 0);

	faults->refuses = false;
	faults->silent = true;
	call (&fixture, EVHTTP_REQ_POST, "/q/" ID, "key", JOB);
	assert_int_equal (fixture.status, 504);

	fixture.silent = true;
	before_ms = dff_virtual_loop_now_ms (fixture.loop);
	call (&fixture, EVHTTP_REQ_POST, "/q/" ID, "key", JOB);
	assert_int_equal (fixture.status, 503);
	assert_in_range (dff_virtual_loop_now_ms (fixture.loop) - before_ms, 0, 100);

	fixture.silent = false;
	*faults = (struct dff_memory_rows_faults){.lost_permille = 1000};
	call (&fixture, EVHTTP_REQ_POST, "/q/" ID, "key", JOB);
	/* The row is written but the answer is lost: the result must be neither accepted nor
	 * refused. */
	assert_int_equal (fixture.status, 504);
	assert_int_equal (dff_memory_rows_count (fixture.rows, DFF_TABLE_JOBS), 1);
	faults->lost_permille = 0;
	call (&fixture, EVHTTP_REQ_POST, "/q/" ID, "key", JOB);
	assert_int_equal (fixture.status, 200);
	assert_int_equal (dff_memory_rows_count (fixture.rows, DFF_TABLE_JOBS), 1);

	dff_fleet_config_free (fixture.config);
	fixture.config = NULL;
	call (&fixture, EVHTTP_REQ_POST, "/q/" ID, "key", JOB);
	assert_int_equal (fixture.status, 503);
	dff_virtual_loop_run (fixture.loop, 10000);
	fixture_close (&fixture);
}

/* Guards against a crash that drops all open calls: the store has not answered for as long as the
 * configuration may be used, and the configuration becomes stale between the admission of a call
 * and its log line. A second query of the configuration then returns NULL. Each call must query the
 * configuration exactly once. */
static void
test_configuration_expires_within_call (void **state)
{
	(void)state;
	static const struct {
		enum evhttp_cmd_type method;
		int status;
		const char *path;
		const char *key;
		const char *body;
	} cases[] = {
		{EVHTTP_REQ_POST, 200, "/q/" ID, "key", JOB},
		{EVHTTP_REQ_GET, 200, "/q/" ID, "key", ""},
		{EVHTTP_REQ_GET, 200, "/q/", "key", ""},
		{EVHTTP_REQ_DELETE, 200, "/q/" ID, "key", ""},
		{EVHTTP_REQ_POST, 400, "/q/" ID, "key", "{"},
		{EVHTTP_REQ_POST, 401, "/q/" ID, "other", JOB},
		{EVHTTP_REQ_POST, 404, "/none/" ID, "key", JOB},
		{EVHTTP_REQ_PUT, 405, "/q/" ID, "key", JOB},
	};
	struct fixture fixture;
	fixture_open (&fixture);
	fixture.max_queries = 1;
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		fixture.n_queries = 0;
		call (&fixture, cases[i].method, cases[i].path, cases[i].key, cases[i].body);
		assert_int_equal (fixture.status, cases[i].status);
		assert_int_equal (fixture.n_queries, 1);
	}
	fixture_close (&fixture);
}

/* Guards against callers that keep their connections in use for weeks: the store does not answer,
 * and a call is repeated for as long as its caller says that it waits. */
static void
test_far_deadlines_are_bounded (void **state)
{
	(void)state;
	static const struct {
		const char *deadline;
		int64_t least_ms;
		int64_t most_ms;
	} cases[] = {
		{"3000", 2000, 3000},         {"30000", 29000, 30000},
		{"2147483647", 29000, 30000}, {"99999999999999999999", 2000, 3000},
		{"-1", 2000, 3000},           {"soon", 2000, 3000},
	};
	struct fixture fixture;
	fixture_open (&fixture);
	dff_memory_rows_client_faults (fixture.store)->silent = true;
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		int64_t before_ms = dff_virtual_loop_now_ms (fixture.loop);
		fixture.deadline = cases[i].deadline;
		call (&fixture, EVHTTP_REQ_POST, "/q/" ID, "key", JOB);
		assert_int_equal (fixture.status, 504);
		assert_in_range (dff_virtual_loop_now_ms (fixture.loop) - before_ms,
				 cases[i].least_ms, cases[i].most_ms);
	}
	assert_int_equal (dff_ingress_n_open (fixture.ingress), 0);
	fixture_close (&fixture);
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_calls),
		cmocka_unit_test (test_refused_call_has_no_effect),
		cmocka_unit_test (test_configuration_expires_within_call),
		cmocka_unit_test (test_far_deadlines_are_bounded),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
