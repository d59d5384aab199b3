#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

#include "client/batch.h"
#include "client/call.h"
#include "client/command.h"
#include "client/result.h"

#define MAX_STEPS 8
#define TIMEOUT_MS 20000

/* One answer of the scripted server. */
struct step {
	int status;
	/* Whether to close the connection after the request was read, without an answer. */
	bool disconnect;
	const char *body;
	const char *header;
	const char *value;
};

/* A server in the client's event loop that gives scripted answers and records the requests. */
struct server {
	struct evhttp *http;
	struct dff_name address;
	const struct step *steps;
	size_t n_steps;
	size_t n_requests;
	GString *requests;
	/* Whether the last request had the header "Attempt", which marks its key as new. */
	bool marked_first;
};

static void
on_request (struct evhttp_request *request, void *user)
{
	struct server *server = user;
	const char *key =
		evhttp_find_header (evhttp_request_get_input_headers (request), "Idempotency-Key");
	g_string_append_printf (server->requests, "%s%s%s\n", evhttp_request_get_uri (request),
				key != NULL ? " " : "", key != NULL ? key : "");
	server->marked_first =
		evhttp_find_header (evhttp_request_get_input_headers (request), "Attempt") != NULL;
	assert_true (server->n_requests < server->n_steps);
	const struct step *step = &server->steps[server->n_requests++];
	if (step->disconnect) {
		evhttp_connection_free (evhttp_request_get_connection (request));
		return;
	}
	if (step->header != NULL)
		evhttp_add_header (evhttp_request_get_output_headers (request), step->header,
				   step->value);
	struct evbuffer *body = evbuffer_new ();
	evbuffer_add (body, step->body, strlen (step->body));
	evhttp_send_reply (request, step->status, "Scripted", body);
	evbuffer_free (body);
}

static void
server_start (struct server *server, struct event_base *base, const struct step *steps)
{
	memset (server, 0, sizeof (*server));
	server->http = evhttp_new (base);
	server->requests = g_string_new (NULL);
	server->steps = steps;
	while (server->n_steps < MAX_STEPS &&
	       (steps[server->n_steps].status != 0 || steps[server->n_steps].disconnect))
		server->n_steps++;
	evhttp_set_allowed_methods (server->http, EVHTTP_REQ_GET | EVHTTP_REQ_POST |
							  EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE);
	evhttp_set_gencb (server->http, on_request, server);
	struct evhttp_bound_socket *bound =
		evhttp_bind_socket_with_handle (server->http, "127.0.0.1", 0);
	assert_non_null (bound);
	struct sockaddr_in address = {0};
	socklen_t len = sizeof (address);
	getsockname (evhttp_bound_socket_get_fd (bound), (struct sockaddr *)&address, &len);
	server->address = dff_name_printf ("127.0.0.1:%d", ntohs (address.sin_port));
}

static void
server_stop (struct server *server)
{
	evhttp_free (server->http);
	g_string_free (server->requests, TRUE);
}

static struct dff_api_client *
new_client (struct event_base *base, const struct server *servers, size_t n_servers)
{
	DFF_AUTO (dff_connection) connection = dff_connection_new ();
	connection->timeout_ms = TIMEOUT_MS;
	for (size_t i = 0; i < n_servers; i++)
		g_array_append_val (connection->servers, servers[i].address);
	return dff_api_client_new_on (connection, base);
}

struct call_case {
	const char *name;
	struct step first[MAX_STEPS];
	struct step second[MAX_STEPS];
	size_t first_requests;
	size_t second_requests;
	int status;
	bool idempotent;
	bool uncertain;
};

static const struct call_case call_cases[] = {
	{"a 404 is final",
	 {{.status = 404, .body = "{}"}},
	 {{0}},
	 .idempotent = true,
	 .status = 404,
	 .first_requests = 1},
	{"after a 503, another server is asked",
	 {{.status = 503, .body = "{}", .header = "Retry-After", .value = "1"}},
	 {{.status = 200, .body = "{}"}},
	 .idempotent = true,
	 .status = 200,
	 .first_requests = 1,
	 .second_requests = 1},
	{"after a 504, whose effect is unknown, an idempotent call is sent to another server",
	 {{.status = 504, .body = "{}", .header = "Retry-After", .value = "1"}},
	 {{.status = 200, .body = "{}"}},
	 .idempotent = true,
	 .status = 200,
	 .first_requests = 1,
	 .second_requests = 1},
	{"after a disconnection, an idempotent call is repeated",
	 {{.disconnect = true}},
	 {{.status = 200, .body = "{}"}},
	 .idempotent = true,
	 .status = 200,
	 .first_requests = 1,
	 .second_requests = 1},
	{"after a disconnection, a call that is not idempotent is not repeated",
	 {{.disconnect = true}},
	 {{0}},
	 .uncertain = true,
	 .first_requests = 1},
	{"a 503 is final for a call that is not idempotent",
	 {{.status = 503, .body = "{}"}},
	 {{0}},
	 .status = 503,
	 .first_requests = 1},
};

/* Guards against a request that takes effect twice, or is given up although another server would
 * answer. The client must distinguish requests that were not sent, may have taken effect, or were
 * refused when a server dies or is overloaded. */
static void
test_which_calls_are_retried (void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS (call_cases); i++) {
		const struct call_case *test = &call_cases[i];
		struct event_base *base = event_base_new ();
		struct server servers[2];
		server_start (&servers[0], base, test->first);
		server_start (&servers[1], base, test->second);
		struct dff_api_client *client = new_client (base, servers, 2);
		struct dff_call_request request = {
			.method = EVHTTP_REQ_POST,
			.path = "/v1/jobs",
			.body = dff_str_from ("{}"),
			.idempotency_key = "key-1",
			.idempotent = test->idempotent,
		};
		DFF_AUTO (dff_call_response) response = dff_call (client, &request);
		assert_int_equal (response->status, test->status);
		assert_int_equal (response->uncertain, test->uncertain);
		assert_int_equal (servers[0].n_requests, test->first_requests);
		assert_int_equal (servers[1].n_requests, test->second_requests);
		if (test->second_requests > 0)
			assert_string_equal (servers[1].requests->str, "/v1/jobs key-1\n");
		server_stop (&servers[0]);
		server_stop (&servers[1]);
		dff_api_client_free (client);
	}
}

struct first_case {
	struct step first;
	bool key_is_new;
	/** Whether the request to the second server has the header "Attempt". */
	bool marked_first;
};

/* Guards against reporting a job as not run although it runs. The first server accepts the
 * submission and its answer is lost; the second refuses. The second request must not be marked as
 * the first attempt. */
static void
test_attempt_header_only_before_any_effect (void **state)
{
	(void)state;
	static const struct first_case cases[] = {
		{{.status = 503, .body = "{}"}, true, true},
		{{.status = 429, .body = "{}"}, true, true},
		{{.status = 504, .body = "{}"}, true, false},
		{{.disconnect = true}, true, false},
		{{.status = 503, .body = "{}"}, false, false},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct step first[MAX_STEPS] = {cases[i].first};
		struct step second[MAX_STEPS] = {{.status = 200, .body = "{}"}};
		struct event_base *base = event_base_new ();
		struct server servers[2];
		server_start (&servers[0], base, first);
		server_start (&servers[1], base, second);
		struct dff_api_client *client = new_client (base, servers, 2);
		struct dff_call_request request = {
			.method = EVHTTP_REQ_POST,
			.path = "/v1/jobs",
			.body = dff_str_from ("{}"),
			.idempotency_key = "key-1",
			.key_is_new = cases[i].key_is_new,
			.idempotent = true,
		};
		DFF_AUTO (dff_call_response) response = dff_call (client, &request);
		assert_int_equal (response->status, 200);
		assert_int_equal (servers[0].marked_first, cases[i].key_is_new);
		assert_int_equal (servers[1].marked_first, cases[i].marked_first);
		server_stop (&servers[0]);
		server_stop (&servers[1]);
		dff_api_client_free (client);
	}
}

/* Guards against failing while one of two servers is up: the first address is that of a process
 * that was replaced, and its refused connection must not count as an answer. */
static void
test_unreachable_server_is_skipped (void **state)
{
	(void)state;
	static const struct step steps[MAX_STEPS] = {{.status = 200, .body = "{}"}};
	struct event_base *base = event_base_new ();
	struct server servers[2];
	server_start (&servers[0], base, steps);
	server_start (&servers[1], base, steps);
	struct dff_api_client *client = new_client (base, servers, 2);
	server_stop (&servers[0]);
	struct dff_call_request request = {.method = EVHTTP_REQ_PUT, .path = "/v1/pool"};
	DFF_AUTO (dff_call_response) response = dff_call (client, &request);
	assert_int_equal (response->status, 200);
	assert_int_equal (servers[1].n_requests, 1);
	server_stop (&servers[1]);
	dff_api_client_free (client);
}

struct result_case {
	struct step steps[MAX_STEPS];
	bool wait;
	int status;
	int exit_code;
};

/* SHA-256 of "hello". */
#define HELLO_DIGEST "sha-256=LPJNul+wow4m6DsqxbninhsWHlwfp0JecwQzYpOLmCQ="

static const struct result_case result_cases[] = {
	{{{.status = 200, .body = "hello", .header = "Digest", .value = HELLO_DIGEST}},
	 .status = 200,
	 .exit_code = DFF_EXIT_OK},
	{{{.status = 200, .body = "hell", .header = "Digest", .value = HELLO_DIGEST}},
	 .status = 0,
	 .exit_code = DFF_EXIT_FAILED},
	{{{.status = 202, .body = "{}"}}, .status = 202, .exit_code = DFF_EXIT_PENDING},
	{{{.status = 202, .body = "{}"},
	  {.status = 200, .body = "hello", .header = "Digest", .value = HELLO_DIGEST}},
	 .wait = true,
	 .status = 200,
	 .exit_code = DFF_EXIT_OK},
	{{{.status = 410, .body = "{\"outcome\":\"not_run\"}"}},
	 .status = 410,
	 .exit_code = DFF_EXIT_NOT_COMPLETED},
};

static void
test_result (void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS (result_cases); i++) {
		const struct result_case *test = &result_cases[i];
		struct event_base *base = event_base_new ();
		struct server server;
		server_start (&server, base, test->steps);
		struct dff_api_client *client = new_client (base, &server, 1);
		struct dff_name job = dff_name_from ("demo.1");
		DFF_AUTO (dff_call_response)
		response = dff_result_fetch (client, &job, test->wait);
		assert_int_equal (response->status, test->status);
		assert_int_equal (dff_result_report (response, &job), test->exit_code);
		assert_int_equal (server.n_requests, server.n_steps);
		server_stop (&server);
		dff_api_client_free (client);
	}
}

#define COUNTS(completed, failed, running)                                                         \
	"{\"batch\":\"b\",\"manifest\":3,\"accepted\":3,\"completed\":" completed                  \
	",\"failed\":" failed ",\"cancelled\":0,\"not_run\":0,\"unknown\":0,\"running\":" running  \
	",\"queued\":0}"

struct batch_case {
	struct step steps[MAX_STEPS];
	int exit_code;
};

static const struct batch_case batch_cases[] = {
	{{{.status = 200, .body = COUNTS ("1", "0", "2")},
	  {.status = 200, .body = COUNTS ("3", "0", "0")}},
	 DFF_EXIT_OK},
	{{{.status = 200, .body = COUNTS ("2", "1", "0")}}, DFF_EXIT_NOT_COMPLETED},
	{{{.status = 404, .body = "{}"}}, DFF_EXIT_REFUSED},
	{{{.status = 200, .body = "{\"batch\":\"b\"}"}}, DFF_EXIT_FAILED},
};

static void
test_batch_wait (void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS (batch_cases); i++) {
		struct event_base *base = event_base_new ();
		struct server server;
		server_start (&server, base, batch_cases[i].steps);
		struct dff_api_client *client = new_client (base, &server, 1);
		struct dff_name batch = dff_name_from ("demo.b");
		assert_int_equal (dff_batch_wait (client, &batch), batch_cases[i].exit_code);
		assert_int_equal (server.n_requests, server.n_steps);
		server_stop (&server);
		dff_api_client_free (client);
	}
}

static void
test_count_lines (void **state)
{
	(void)state;
	assert_int_equal (dff_batch_count_lines (dff_str_from ("")), 0);
	assert_int_equal (dff_batch_count_lines (dff_str_from ("{}\n\n  \n{}\r\n{}")), 3);
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_which_calls_are_retried),
		cmocka_unit_test (test_attempt_header_only_before_any_effect),
		cmocka_unit_test (test_unreachable_server_is_skipped),
		cmocka_unit_test (test_result),
		cmocka_unit_test (test_batch_wait),
		cmocka_unit_test (test_count_lines),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
