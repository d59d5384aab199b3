#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <event2/buffer.h>

#include "backing/memory.h"
#include "common/http_listen.h"
#include "standin/worker_server.h"
#include "upstream/http_worker.h"

#define COMMAND_TIMEOUT_MS 150
#define LEASE_MS 60000
#define ANSWER "{\"leaving\":false,\"sequence\":1,\"incarnation\":1,\"now_ms\":1}"

/** The client and the result of the last call. */
struct fixture {
	struct event_base *base;
	struct dff_metrics *metrics;
	struct dff_http_client *http;
	struct dff_http_worker *worker;
	const struct dff_worker_client *client;
	struct dff_name address;
	enum dff_worker_outcome outcome;
	enum dff_task_state state;
	int status;
	bool leaving;
	/** The stand-in worker; set by add_standin() only. */
	struct dff_memory *memory;
	struct dff_memory_handle *caller;
	struct dff_standin_worker *standin;
	struct dff_worker_server *server;
};

static void
fixture_init (struct fixture *fixture)
{
	*fixture = (struct fixture){.base = event_base_new (), .metrics = dff_metrics_new ()};
	struct dff_http_client_options http;
	dff_http_client_options_init (&http);
	http.base = fixture->base;
	http.metrics = fixture->metrics;
	fixture->http = dff_http_client_new (&http);
	struct dff_http_worker_options options;
	dff_http_worker_options_init (&options);
	options.http = fixture->http;
	options.metrics = fixture->metrics;
	options.command_timeout_ms = COMMAND_TIMEOUT_MS;
	options.renew_timeout_ms = COMMAND_TIMEOUT_MS;
	fixture->worker = dff_http_worker_new (&options);
	fixture->client = dff_http_worker_interface (fixture->worker);
}

static void
add_standin (struct fixture *fixture)
{
	struct dff_memory_options memory = {.clock = dff_clock_system (), .seed = 1};
	fixture->memory = dff_memory_new (&memory);
	fixture->caller = dff_memory_open (fixture->memory);
	struct dff_standin_worker_options worker = {
		.clock = dff_clock_system (),
		.store = &fixture->caller->objects,
		.capacity = {.slots = 1, .cores = 32, .memory_gb = 64, .accelerators = 8},
		.incarnation = 1,
	};
	fixture->standin = dff_standin_worker_new (&worker);
	struct dff_worker_server_options server = {
		.base = fixture->base,
		.clock = dff_clock_system (),
		.worker = fixture->standin,
		.listen = dff_name_from ("127.0.0.1:0"),
	};
	fixture->server = dff_worker_server_new (&server, NULL);
	fixture->address = *dff_worker_server_address (fixture->server);
}

static void
fixture_clear (struct fixture *fixture)
{
	dff_http_client_free (fixture->http);
	dff_http_worker_free (fixture->worker);
	if (fixture->server != NULL) {
		dff_worker_server_free (fixture->server);
		dff_memory_close (fixture->caller);
		dff_standin_worker_free (fixture->standin);
		dff_memory_free (fixture->memory);
	}
	dff_metrics_free (fixture->metrics);
	event_base_free (fixture->base);
}

static void
handle_result (void *user, const struct dff_worker_result *result)
{
	struct fixture *fixture = user;
	fixture->outcome = result->outcome;
	fixture->state = result->n_reports == 0 ? DFF_TASK_UNKNOWN : result->reports[0].state;
	event_base_loopbreak (fixture->base);
}

static void
handle_request_result (void *user, const struct dff_request_result *result)
{
	struct fixture *fixture = user;
	fixture->outcome = result->outcome;
	fixture->status = result->status;
	fixture->leaving = result->leaving;
	event_base_loopbreak (fixture->base);
}

static void
query (struct fixture *fixture)
{
	fixture->client->query (fixture->client->ctx, &fixture->address, handle_result, fixture);
	event_base_dispatch (fixture->base);
}

static void
start (struct fixture *fixture, int32_t member)
{
	struct dff_task_start start = {
		.task = {dff_name_from ("sk.a"), 1, member},
		.epoch = 1,
		.accelerators = 0xff,
		.held = true,
		.lease_ms = LEASE_MS,
		.payload = dff_str_from ("{\"run_ms\":600000}"),
	};
	fixture->client->start (fixture->client->ctx, &fixture->address, &start, handle_result,
				fixture);
	event_base_dispatch (fixture->base);
}

static void
send_request (struct fixture *fixture, const char *payload)
{
	struct dff_name service = dff_name_from ("casework");
	struct dff_name id = dff_name_from ("r1");
	fixture->client->request (fixture->client->ctx, &fixture->address, &service, &id,
				  dff_str_from (payload), (struct dff_str){"", 0}, 1000,
				  handle_request_result, fixture);
	event_base_dispatch (fixture->base);
}

static void
admin_done (void *user, const struct dff_http_response *response)
{
	struct fixture *fixture = user;
	assert_int_equal (response->status, 200);
	event_base_loopbreak (fixture->base);
}

static void
set_faults (struct fixture *fixture, const char *faults)
{
	struct dff_http_request request = {
		.address = fixture->address,
		.method = EVHTTP_REQ_POST,
		.path = "/admin/faults",
		.body = dff_str_from (faults),
		.timeout_ms = 1000,
	};
	dff_http_client_send (fixture->http, &request, admin_done, fixture);
	event_base_dispatch (fixture->base);
}

struct answer_case {
	const char *body;
	int status;
	enum dff_worker_outcome outcome;
};

static void
serve_case (struct evhttp_request *request, void *user)
{
	const struct answer_case *answer = user;
	struct evbuffer *body = evhttp_request_get_output_buffer (request);
	evbuffer_add (body, answer->body, strlen (answer->body));
	evhttp_send_reply (request, answer->status, NULL, NULL);
}

/* Guards against reporting a running job as not run: a worker that fails half-way through a start
 * and answers 500, or sends half an answer, must not count as having refused. */
static void
test_only_4xx_is_a_refusal (void **state)
{
	(void)state;
	static struct answer_case cases[] = {
		{ANSWER, 200, DFF_WORKER_OK},
		{ANSWER, 409, DFF_WORKER_REFUSED},
		{"", 400, DFF_WORKER_REFUSED},
		{"", 404, DFF_WORKER_REFUSED},
		{"", 500, DFF_WORKER_UNCERTAIN},
		{ANSWER, 503, DFF_WORKER_UNCERTAIN},
		{ANSWER, 302, DFF_WORKER_UNCERTAIN},
		{"", 200, DFF_WORKER_UNCERTAIN},
		{"{\"leaving\":false", 200, DFF_WORKER_UNCERTAIN},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct fixture fixture;
		fixture_init (&fixture);
		struct evhttp *http = evhttp_new (fixture.base);
		struct dff_name any = dff_name_from ("127.0.0.1:0");
		assert_non_null (dff_http_listen (http, &any, &fixture.address));
		evhttp_set_gencb (http, serve_case, &cases[i]);
		query (&fixture);
		assert_int_equal (fixture.outcome, cases[i].outcome);
		evhttp_free (http);
		fixture_clear (&fixture);
	}
}

static void
test_commands_reach_the_worker (void **state)
{
	(void)state;
	struct fixture fixture;
	fixture_init (&fixture);
	add_standin (&fixture);
	start (&fixture, 0);
	assert_int_equal (fixture.outcome, DFF_WORKER_OK);
	assert_int_equal (fixture.state, DFF_TASK_HELD);
	start (&fixture, 1);
	assert_int_equal (fixture.outcome, DFF_WORKER_REFUSED);
	assert_int_equal (fixture.state, DFF_TASK_UNKNOWN);
	struct dff_task_id task = {dff_name_from ("sk.a"), 1, 0};
	fixture.client->release (fixture.client->ctx, &fixture.address, &task, 1, handle_result,
				 &fixture);
	event_base_dispatch (fixture.base);
	assert_int_equal (fixture.state, DFF_TASK_RUNNING);
	fixture.client->throttle (fixture.client->ctx, &fixture.address, &task, 1, 50,
				  handle_result, &fixture);
	event_base_dispatch (fixture.base);
	assert_int_equal (fixture.outcome, DFF_WORKER_OK);
	fixture.client->checkpoint (fixture.client->ctx, &fixture.address, &task, 1, handle_result,
				    &fixture);
	event_base_dispatch (fixture.base);
	assert_int_equal (fixture.outcome, DFF_WORKER_OK);
	fixture.client->stop (fixture.client->ctx, &fixture.address, &task, 1, handle_result,
			      &fixture);
	event_base_dispatch (fixture.base);
	assert_int_equal (fixture.state, DFF_TASK_STOPPED);
	fixture.client->renew (fixture.client->ctx, &fixture.address, LEASE_MS, 0, handle_result,
			       &fixture);
	event_base_dispatch (fixture.base);
	assert_int_equal (fixture.state, DFF_TASK_STOPPED);
	fixture_clear (&fixture);
}

/* Guards against repeating a start, or reporting it as unsent, when the start took effect and only
 * its answer was lost. */
static void
test_lost_answer_is_uncertain (void **state)
{
	(void)state;
	struct fixture fixture;
	fixture_init (&fixture);
	add_standin (&fixture);
	set_faults (&fixture, "{\"lose_answers\":1}");
	start (&fixture, 0);
	assert_int_equal (fixture.outcome, DFF_WORKER_UNCERTAIN);
	query (&fixture);
	assert_int_equal (fixture.outcome, DFF_WORKER_OK);
	assert_int_equal (fixture.state, DFF_TASK_HELD);
	fixture_clear (&fixture);
}

/* Guards against treating a working worker as lost: a middlebox drops its connection state, so that
 * open connections stay open without answers while new ones work. Later calls have to use a new
 * connection. */
static void
test_silent_connection_is_replaced (void **state)
{
	(void)state;
	struct fixture fixture;
	fixture_init (&fixture);
	add_standin (&fixture);
	query (&fixture);
	set_faults (&fixture, "{\"silence_open\":true}");
	query (&fixture);
	assert_int_equal (fixture.outcome, DFF_WORKER_UNCERTAIN);
	query (&fixture);
	assert_int_equal (fixture.outcome, DFF_WORKER_OK);
	fixture_clear (&fixture);
}

static void
test_refused_connection_is_unsent (void **state)
{
	(void)state;
	struct fixture fixture;
	fixture_init (&fixture);
	add_standin (&fixture);
	struct dff_worker_server_options server = {
		.base = fixture.base,
		.clock = dff_clock_system (),
		.worker = fixture.standin,
		.listen = dff_name_from ("127.0.0.1:0"),
	};
	/* Opened before the first server is closed, so that it cannot be given the same port. */
	struct dff_worker_server *other = dff_worker_server_new (&server, NULL);
	dff_worker_server_free (fixture.server);
	fixture.server = other;
	start (&fixture, 0);
	assert_int_equal (fixture.outcome, DFF_WORKER_UNSENT);
	fixture_clear (&fixture);
}

static void
test_request_outcomes (void **state)
{
	(void)state;
	struct fixture fixture;
	fixture_init (&fixture);
	add_standin (&fixture);
	send_request (&fixture, "{\"work_ms\":1,\"answer_bytes\":200}");
	assert_int_equal (fixture.outcome, DFF_WORKER_OK);
	assert_int_equal (fixture.status, 200);
	assert_false (fixture.leaving);
	struct dff_worker_tasks *tasks = dff_standin_worker_tasks (fixture.standin);
	assert_true (dff_worker_tasks_begin_request (tasks));
	send_request (&fixture, "{}");
	assert_int_equal (fixture.outcome, DFF_WORKER_REFUSED);
	assert_int_equal (fixture.status, 429);
	dff_worker_tasks_end_request (tasks);
	dff_worker_tasks_leave (tasks);
	send_request (&fixture, "{}");
	assert_int_equal (fixture.outcome, DFF_WORKER_REFUSED);
	assert_true (fixture.leaving);
	fixture_clear (&fixture);
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_only_4xx_is_a_refusal),
		cmocka_unit_test (test_commands_reach_the_worker),
		cmocka_unit_test (test_lost_answer_is_uncertain),
		cmocka_unit_test (test_silent_connection_is_replaced),
		cmocka_unit_test (test_refused_connection_is_unsent),
		cmocka_unit_test (test_request_outcomes),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
