#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <string.h>

#include "common/http_client.h"

#define ANSWER "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
#define LAST_ANSWER "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello"

/** Reaction of the server to a request. */
struct action {
	/** (nullable) */
	const char *answer;
	bool close;
};

/* A server that executes one action for each request; the last one is repeated. */
struct fixture {
	struct event_base *base;
	struct evconnlistener *listener;
	struct dff_name address;
	const struct action *actions;
	size_t n_actions;
	int accepted;
	int requests;
	/** Number of bytes received. */
	size_t received;
	GPtrArray *open;
	struct dff_metrics *metrics;
	struct dff_http_client *client;
};

struct answer {
	struct event_base *base;
	int calls;
	enum dff_http_outcome outcome;
	int status;
	char body[16];
};

static void
close_connection (struct fixture *fixture, struct bufferevent *bev)
{
	g_ptr_array_remove (fixture->open, bev);
	bufferevent_free (bev);
}

static void
handle_flush (struct bufferevent *bev, void *ctx)
{
	close_connection (ctx, bev);
}

static void
handle_close (struct bufferevent *bev, short what, void *ctx)
{
	(void)what;
	close_connection (ctx, bev);
}

static void
handle_readable (struct bufferevent *bev, void *ctx)
{
	struct fixture *fixture = ctx;
	struct evbuffer *input = bufferevent_get_input (bev);
	struct evbuffer_ptr end = evbuffer_search (input, "\r\n\r\n", 4, NULL);
	if (end.pos < 0)
		return;
	fixture->received += evbuffer_get_length (input);
	evbuffer_drain (input, evbuffer_get_length (input));
	size_t index = MIN ((size_t)fixture->requests, fixture->n_actions - 1);
	const struct action *action = &fixture->actions[index];
	fixture->requests++;
	if (action->answer != NULL)
		bufferevent_write (bev, action->answer, strlen (action->answer));
	if (!action->close)
		return;
	if (action->answer == NULL)
		close_connection (fixture, bev);
	else
		bufferevent_setcb (bev, NULL, handle_flush, handle_close, fixture);
}

static void
accepted (struct evconnlistener *listener,
	  evutil_socket_t fd,
	  struct sockaddr *address,
	  int len,
	  void *ctx)
{
	(void)listener;
	(void)address;
	(void)len;
	struct fixture *fixture = ctx;
	fixture->accepted++;
	struct bufferevent *bev = bufferevent_socket_new (fixture->base, fd, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb (bev, handle_readable, NULL, handle_close, fixture);
	bufferevent_enable (bev, EV_READ | EV_WRITE);
	g_ptr_array_add (fixture->open, bev);
}

static int
setup (void **state)
{
	struct fixture *fixture = g_new0 (struct fixture, 1);
	fixture->base = event_base_new ();
	fixture->open = g_ptr_array_new ();
	struct sockaddr_in any = {.sin_family = AF_INET,
				  .sin_addr.s_addr = htonl (INADDR_LOOPBACK)};
	fixture->listener =
		evconnlistener_new_bind (fixture->base, accepted, fixture, LEV_OPT_CLOSE_ON_FREE,
					 16, (struct sockaddr *)&any, sizeof (any));
	socklen_t len = sizeof (any);
	getsockname (evconnlistener_get_fd (fixture->listener), (struct sockaddr *)&any, &len);
	fixture->address = dff_name_printf ("127.0.0.1:%d", ntohs (any.sin_port));
	fixture->metrics = dff_metrics_new ();
	struct dff_http_client_options options;
	dff_http_client_options_init (&options);
	options.base = fixture->base;
	options.metrics = fixture->metrics;
	options.max_connections = 1;
	options.max_waiting = 2;
	options.max_body_bytes = 64;
	fixture->client = dff_http_client_new (&options);
	*state = fixture;
	return 0;
}

static void
stop_server (struct fixture *fixture)
{
	g_clear_pointer (&fixture->listener, evconnlistener_free);
	while (fixture->open->len > 0)
		close_connection (fixture, fixture->open->pdata[0]);
}

static int
teardown (void **state)
{
	struct fixture *fixture = *state;
	dff_http_client_free (fixture->client);
	dff_metrics_free (fixture->metrics);
	stop_server (fixture);
	g_ptr_array_unref (fixture->open);
	event_base_free (fixture->base);
	g_free (fixture);
	return 0;
}

static void
set_actions (struct fixture *fixture, const struct action *actions, size_t n_actions)
{
	fixture->actions = actions;
	fixture->n_actions = n_actions;
	fixture->requests = 0;
}

static void
store_answer (void *user, const struct dff_http_response *response)
{
	struct answer *answer = user;
	answer->calls++;
	answer->outcome = response->outcome;
	answer->status = response->status;
	if (response->outcome == DFF_HTTP_ANSWERED)
		g_strlcpy (answer->body, response->body.data,
			   MIN (sizeof (answer->body), response->body.len + 1));
	event_base_loopbreak (answer->base);
}

static void
send_request (struct fixture *fixture, int32_t timeout_ms, struct answer *answer)
{
	memset (answer, 0, sizeof (*answer));
	answer->base = fixture->base;
	struct dff_http_request request = {
		.address = fixture->address,
		.method = EVHTTP_REQ_POST,
		.path = "/x",
		.body = dff_str_from ("body"),
		.timeout_ms = timeout_ms,
	};
	dff_http_client_send (fixture->client, &request, store_answer, answer);
	assert_int_equal (answer->calls, 0);
}

static void
wait_for (const struct answer *answer)
{
	while (answer->calls == 0)
		event_base_loop (answer->base, EVLOOP_ONCE);
	assert_int_equal (answer->calls, 1);
}

/* Guards against reporting a sent request as unsent, so that it is sent again and runs twice: the
 * request is read, then the connection closes, stops answering or is cut within the answer. evhttp
 * reports all of these like a refused connection. */
static void
test_outcome_of_each_failure (void **state)
{
	struct fixture *fixture = *state;
	static const struct {
		struct action action;
		int32_t timeout_ms;
		enum dff_http_outcome outcome;
		int status;
	} cases[] = {
		{{ANSWER, false}, 5000, DFF_HTTP_ANSWERED, 200},
		{{LAST_ANSWER, true}, 5000, DFF_HTTP_ANSWERED, 200},
		{{"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", false},
		 5000,
		 DFF_HTTP_ANSWERED,
		 503},
		{{NULL, true}, 5000, DFF_HTTP_UNCERTAIN, 0},
		{{NULL, false}, 30, DFF_HTTP_UNCERTAIN, 0},
		{{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", true},
		 5000,
		 DFF_HTTP_UNCERTAIN,
		 0},
		{{"HTTP/1.1 200 OK\r\n\r\nhello", true}, 5000, DFF_HTTP_UNCERTAIN, 0},
		{{"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n", false},
		 5000,
		 DFF_HTTP_UNCERTAIN,
		 0},
		{{"no http\r\n\r\n", false}, 5000, DFF_HTTP_UNCERTAIN, 0},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct answer answer;
		set_actions (fixture, &cases[i].action, 1);
		send_request (fixture, cases[i].timeout_ms, &answer);
		wait_for (&answer);
		assert_int_equal (answer.outcome, cases[i].outcome);
		assert_int_equal (answer.status, cases[i].status);
		assert_int_equal (fixture->requests, 1);
		if (answer.status == 200)
			assert_string_equal (answer.body, "hello");
	}
}

static void
test_refused_connection_is_unsent (void **state)
{
	struct fixture *fixture = *state;
	stop_server (fixture);
	struct answer answer;
	send_request (fixture, 5000, &answer);
	wait_for (&answer);
	assert_int_equal (answer.outcome, DFF_HTTP_UNSENT);
}

static void
test_malformed_addresses_are_unsent (void **state)
{
	struct fixture *fixture = *state;
	static const char *const cases[] = {"host.example:80", "127.0.0.1", "127.0.0.1:0", "x"};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct answer answer;
		fixture->address = dff_name_from (cases[i]);
		send_request (fixture, 5000, &answer);
		wait_for (&answer);
		assert_int_equal (answer.outcome, DFF_HTTP_UNSENT);
	}
}

static void
test_connection_is_reused (void **state)
{
	struct fixture *fixture = *state;
	static const struct action action = {ANSWER, false};
	set_actions (fixture, &action, 1);
	for (int i = 0; i < 5; i++) {
		struct answer answer;
		send_request (fixture, 5000, &answer);
		wait_for (&answer);
		assert_int_equal (answer.outcome, DFF_HTTP_ANSWERED);
	}
	assert_int_equal (fixture->accepted, 1);
}

/* Guards against delivering a request twice: on a reused connection, the server reads the request
 * and closes without an answer. HTTP libraries assume that an idle connection was closed and retry
 * on a new one. */
static void
test_closed_connection_is_not_retried (void **state)
{
	struct fixture *fixture = *state;
	static const struct action actions[] = {{ANSWER, false}, {NULL, true}, {ANSWER, false}};
	set_actions (fixture, actions, G_N_ELEMENTS (actions));
	static const enum dff_http_outcome outcomes[] = {DFF_HTTP_ANSWERED, DFF_HTTP_UNCERTAIN,
							 DFF_HTTP_ANSWERED};
	for (int i = 0; i < 3; i++) {
		struct answer answer;
		send_request (fixture, 5000, &answer);
		wait_for (&answer);
		assert_int_equal (answer.outcome, outcomes[i]);
		assert_int_equal (fixture->requests, i + 1);
	}
	assert_int_equal (fixture->accepted, 2);
}

/* Guards against timeouts of all later requests after a middlebox has dropped one connection's
 * state: a connection that did not answer must not stay in the pool. */
static void
test_silent_connection_is_replaced (void **state)
{
	struct fixture *fixture = *state;
	static const struct action actions[] = {{ANSWER, false}, {NULL, false}, {ANSWER, false}};
	set_actions (fixture, actions, G_N_ELEMENTS (actions));
	struct answer answer;
	send_request (fixture, 5000, &answer);
	wait_for (&answer);
	send_request (fixture, 30, &answer);
	wait_for (&answer);
	assert_int_equal (answer.outcome, DFF_HTTP_UNCERTAIN);
	send_request (fixture, 5000, &answer);
	wait_for (&answer);
	assert_int_equal (answer.outcome, DFF_HTTP_ANSWERED);
	assert_int_equal (fixture->accepted, 2);
}

/* Guards against one timeout for each pooled connection after a middlebox restart: it drops the
 * state of all connections at once, while new ones work. The idle connections have to be replaced
 * together with the one that did not answer. */
static void
test_all_dropped_connections_are_replaced (void **state)
{
	struct fixture *fixture = *state;
	static const struct action action = {ANSWER, false};
	struct dff_http_client_options options;
	dff_http_client_options_init (&options);
	options.base = fixture->base;
	options.metrics = fixture->metrics;
	dff_http_client_free (fixture->client);
	fixture->client = dff_http_client_new (&options);
	set_actions (fixture, &action, 1);
	struct answer answers[3];
	for (int i = 0; i < 3; i++)
		send_request (fixture, 5000, &answers[i]);
	for (int i = 0; i < 3; i++)
		wait_for (&answers[i]);
	assert_int_equal (fixture->accepted, 3);
	for (guint i = 0; i < fixture->open->len; i++)
		bufferevent_disable (fixture->open->pdata[i], EV_READ);
	struct answer answer;
	send_request (fixture, 30, &answer);
	wait_for (&answer);
	assert_int_equal (answer.outcome, DFF_HTTP_UNCERTAIN);
	send_request (fixture, 300, &answer);
	wait_for (&answer);
	assert_int_equal (answer.outcome, DFF_HTTP_ANSWERED);
	assert_int_equal (fixture->accepted, 4);
}

/* With one connection that never answers, the first request is sent, two wait until their deadline
 * and end as unsent, and a fourth is refused at once. */
static void
test_waiting_is_bounded (void **state)
{
	struct fixture *fixture = *state;
	static const struct action action = {NULL, false};
	set_actions (fixture, &action, 1);
	struct answer answers[4];
	static const int32_t timeouts[] = {60, 30, 30, 5000};
	for (int i = 0; i < 4; i++)
		send_request (fixture, timeouts[i], &answers[i]);
	wait_for (&answers[3]);
	assert_int_equal (answers[3].outcome, DFF_HTTP_UNSENT);
	assert_int_equal (answers[0].calls, 0);
	for (int i = 2; i >= 0; i--)
		wait_for (&answers[i]);
	assert_int_equal (answers[1].outcome, DFF_HTTP_UNSENT);
	assert_int_equal (answers[2].outcome, DFF_HTTP_UNSENT);
	assert_int_equal (answers[0].outcome, DFF_HTTP_UNCERTAIN);
	assert_int_equal (fixture->requests, 1);
}

static void
test_free_drops_requests (void **state)
{
	struct fixture *fixture = *state;
	static const struct action action = {NULL, false};
	set_actions (fixture, &action, 1);
	struct answer answers[3];
	for (int i = 0; i < 3; i++)
		send_request (fixture, 5000, &answers[i]);
	while (fixture->requests == 0)
		event_base_loop (fixture->base, EVLOOP_ONCE);
	/* teardown() frees the client with one request sent and two waiting. */
	assert_int_equal (answers[0].calls, 0);
}

/* The control traffic limit relies on these counters: they must match the bytes received. */
static void
test_bytes_are_counted (void **state)
{
	struct fixture *fixture = *state;
	static const struct action action = {ANSWER, false};
	const int64_t *sent =
		dff_metrics_counter (fixture->metrics, "dff_http_client_sent_bytes_total", "");
	const int64_t *received =
		dff_metrics_counter (fixture->metrics, "dff_http_client_received_bytes_total", "");
	set_actions (fixture, &action, 1);
	for (int i = 1; i <= 3; i++) {
		struct answer answer;
		send_request (fixture, 5000, &answer);
		wait_for (&answer);
		assert_int_equal (*sent, fixture->received);
		assert_int_equal (*received, (size_t)i * strlen (ANSWER));
	}
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown (test_outcome_of_each_failure, setup, teardown),
		cmocka_unit_test_setup_teardown (test_refused_connection_is_unsent, setup,
						 teardown),
		cmocka_unit_test_setup_teardown (test_malformed_addresses_are_unsent, setup,
						 teardown),
		cmocka_unit_test_setup_teardown (test_connection_is_reused, setup, teardown),
		cmocka_unit_test_setup_teardown (test_closed_connection_is_not_retried, setup,
						 teardown),
		cmocka_unit_test_setup_teardown (test_silent_connection_is_replaced, setup,
						 teardown),
		cmocka_unit_test_setup_teardown (test_all_dropped_connections_are_replaced, setup,
						 teardown),
		cmocka_unit_test_setup_teardown (test_waiting_is_bounded, setup, teardown),
		cmocka_unit_test_setup_teardown (test_bytes_are_counted, setup, teardown),
		cmocka_unit_test_setup_teardown (test_free_drops_requests, setup, teardown),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
