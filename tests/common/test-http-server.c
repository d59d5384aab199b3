#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/address.h"
#include "common/event_loop.h"
#include "common/header_scan.h"
#include "common/http_server.h"

/* Decides which connections are closed, under a virtual clock; only the bytes take their way
 * through real sockets. Requests to /held are answered by release(), all others at once. */

#define HEADER_TIMEOUT_MS 1000
#define REQUEST_TIMEOUT_MS 3000
#define IDLE_TIMEOUT_MS 5000
/** Far above all of them. */
#define LONG_MS INT64_C (500000)
#define MAX_CONNECTIONS 8
#define MAX_BYTES 20000
#define MAX_BODY_BYTES 16000
/** Interval of the checks, ms. */
#define TICK_MS INT64_C (100)
/** Iterations of the event loop after which all that was sent has been read. */
#define ITERATIONS 100

#define POST(path, length) "POST " path " HTTP/1.1\r\nContent-Length: " #length "\r\n\r\n"
#define GET(path) "GET " path " HTTP/1.1\r\n\r\n"

struct fixture {
	struct event_base *base;
	struct dff_clock_virtual clock;
	struct dff_connections *connections;
	struct dff_http_server *server;
	struct dff_name address;
	/** Elements: struct evhttp_request *. */
	GPtrArray *held;
};

static void
handle_request (struct evhttp_request *request, void *ctx)
{
	struct fixture *fixture = ctx;
	if (g_str_equal (evhttp_request_get_uri (request), "/held"))
		g_ptr_array_add (fixture->held, request);
	else
		evhttp_send_reply (request, HTTP_OK, NULL, NULL);
}

static void
fixture_open (struct fixture *fixture)
{
	static const struct dff_connection_limits limits = {
		.max_connections = MAX_CONNECTIONS,
		.header_timeout_ms = HEADER_TIMEOUT_MS,
		.request_timeout_ms = REQUEST_TIMEOUT_MS,
		.idle_timeout_ms = IDLE_TIMEOUT_MS,
		.max_header_bytes = 1000,
		.max_body_bytes = MAX_BODY_BYTES,
	};
	struct dff_name any = dff_name_from ("127.0.0.1:0");
	*fixture = (struct fixture){.base = dff_event_base_new (), .held = g_ptr_array_new ()};
	dff_clock_virtual_init (&fixture->clock, 1000);
	fixture->connections = dff_connections_new (&fixture->clock.clock, MAX_BYTES);
	fixture->server =
		dff_http_server_new (fixture->base, fixture->connections, "clients", &limits);
	dff_http_server_set_default (fixture->server, handle_request, fixture);
	assert_true (dff_http_server_listen (fixture->server, &any, &fixture->address));
}

static void
settle (struct fixture *fixture)
{
	for (int i = 0; i < ITERATIONS; i++)
		event_base_loop (fixture->base, EVLOOP_NONBLOCK);
}

static void
release (struct fixture *fixture)
{
	for (guint i = 0; i < fixture->held->len; i++)
		evhttp_send_reply (g_ptr_array_index (fixture->held, i), HTTP_OK, NULL, NULL);
	g_ptr_array_set_size (fixture->held, 0);
	settle (fixture);
}

static void
fixture_close (struct fixture *fixture)
{
	release (fixture);
	dff_http_server_free (fixture->server);
	dff_connections_free (fixture->connections);
	g_ptr_array_unref (fixture->held);
	event_base_free (fixture->base);
}

static void
pass_time (struct fixture *fixture, int64_t ms)
{
	for (int64_t left_ms = ms; left_ms > 0; left_ms -= TICK_MS) {
		fixture->clock.now_ms += MIN (left_ms, TICK_MS);
		dff_connections_tick (fixture->connections);
	}
	settle (fixture);
}

static int
connect_client (struct fixture *fixture)
{
	struct sockaddr_in address;
	assert_true (dff_address_to_sockaddr (&fixture->address, &address));
	int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	assert_int_equal (connect (fd, (struct sockaddr *)&address, sizeof (address)), 0);
	settle (fixture);
	return fd;
}

static void
send_bytes (struct fixture *fixture, int fd, const char *text, size_t padding)
{
	g_autofree char *filler = g_strnfill (padding, 'x');
	send (fd, text, strlen (text), MSG_NOSIGNAL);
	send (fd, filler, padding, MSG_NOSIGNAL);
	settle (fixture);
}

static int
client_with (struct fixture *fixture, const char *text, size_t padding)
{
	int fd = connect_client (fixture);
	send_bytes (fixture, fd, text, padding);
	return fd;
}

static bool
is_closed (int fd)
{
	char byte;
	ssize_t n = recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	return n == 0 || (n < 0 && errno != EAGAIN);
}

static bool
was_answered (int fd, const char *status)
{
	char answer[1024] = {0};
	return recv (fd, answer, sizeof (answer) - 1, MSG_DONTWAIT) > 0 &&
	       strstr (answer, status) != NULL;
}

/* Guards against clients that stay connected without ever completing a request, and against a limit
 * that breaks off requests that are being handled. */
static void
test_time_limits (void **state)
{
	(void)state;
	static const struct {
		const char *what;
		const char *first;
		const char *second;
		/** 0: never. */
		int64_t closed_after_ms;
	} cases[] = {
		{"idle", "", "", IDLE_TIMEOUT_MS},
		{"idle after an answer", GET ("/"), "", IDLE_TIMEOUT_MS},
		{"half a line", "GET / HT", "", HEADER_TIMEOUT_MS},
		{"half the headers", "GET / HTTP/1.1\r\nHost: a\r\n", "", HEADER_TIMEOUT_MS},
		{"half a body", POST ("/", 9) "abc", "", REQUEST_TIMEOUT_MS},
		{"half a body, the empty line alone", "POST / HTTP/1.1\r\nContent-Length: 9\r\n",
		 "\r\n", REQUEST_TIMEOUT_MS},
		{"half the second request", GET ("/") "GET", "", HEADER_TIMEOUT_MS},
		{"half the second body", GET ("/") POST ("/", 9) "a", "", REQUEST_TIMEOUT_MS},
		{"handled", GET ("/held"), "", 0},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct fixture fixture;
		fixture_open (&fixture);
		int fd = client_with (&fixture, cases[i].first, 0);
		send_bytes (&fixture, fd, cases[i].second, 0);
		was_answered (fd, "");
		int64_t limit_ms = cases[i].closed_after_ms;
		pass_time (&fixture, limit_ms > 0 ? limit_ms - TICK_MS : LONG_MS);
		if (is_closed (fd))
			fail_msg ("%s: closed too early", cases[i].what);
		pass_time (&fixture, limit_ms > 0 ? 2 * TICK_MS : 0);
		if (is_closed (fd) != (limit_ms > 0))
			fail_msg ("%s: not closed", cases[i].what);
		close (fd);
		fixture_close (&fixture);
	}
}

/* Guards against a process that closes its clients' connections after it was paused itself: their
 * bytes have arrived and wait to be read. */
static void
test_own_pause_is_no_delay_of_clients (void **state)
{
	(void)state;
	struct fixture fixture;
	fixture_open (&fixture);
	int fd = client_with (&fixture, POST ("/", 9) "abc", 0);
	fixture.clock.now_ms += LONG_MS;
	dff_connections_tick (fixture.connections);
	send_bytes (&fixture, fd, "defghi", 0);
	assert_true (was_answered (fd, "200 OK"));
	close (fd);
	fixture_close (&fixture);
}

/* Guards against idle clients that keep others out: the one that has been idle for longest gives
 * way, none whose request is being handled. */
static void
test_idle_connections_give_way (void **state)
{
	(void)state;
	struct fixture fixture;
	int fds[MAX_CONNECTIONS];
	fixture_open (&fixture);
	for (int i = 0; i < MAX_CONNECTIONS; i++) {
		fds[i] = client_with (&fixture, i == 0 ? GET ("/held") : i == 1 ? "GET" : "", 0);
		pass_time (&fixture, TICK_MS);
	}
	int late = client_with (&fixture, GET ("/"), 0);
	assert_true (was_answered (late, "200 OK"));
	for (int i = 0; i < MAX_CONNECTIONS; i++)
		assert_int_equal (is_closed (fds[i]), i == 1);
	assert_int_equal (dff_http_server_n_connections (fixture.server), MAX_CONNECTIONS);
	release (&fixture);
	assert_true (was_answered (fds[0], "200 OK"));
	close (late);
	for (int i = 0; i < MAX_CONNECTIONS; i++)
		close (fds[i]);
	fixture_close (&fixture);
}

/* Guards against clients that together hold more than the process may: the one that holds most for
 * longest is closed, not the one that has just begun to send more. */
static void
test_memory_is_released (void **state)
{
	(void)state;
	struct fixture fixture;
	fixture_open (&fixture);
	int old = client_with (&fixture, POST ("/", 16000), 9000);
	int small = client_with (&fixture, POST ("/", 16000), 10);
	pass_time (&fixture, 5 * TICK_MS);
	int fresh = client_with (&fixture, POST ("/", 16000), 12000);
	assert_true (is_closed (old));
	assert_false (is_closed (small));
	assert_false (is_closed (fresh));
	assert_true (dff_connections_held_bytes (fixture.connections) <= MAX_BYTES);
	close (old);
	close (small);
	close (fresh);
	settle (&fixture);
	dff_connections_tick (fixture.connections);
	pass_time (&fixture, TICK_MS);
	assert_int_equal (dff_connections_held_bytes (fixture.connections), 0);
	fixture_close (&fixture);
}

/* Guards against requests that add up while they are handled: beyond the maximum a request is
 * refused at once, and those before it are answered. */
static void
test_requests_beyond_memory_are_refused (void **state)
{
	(void)state;
	struct fixture fixture;
	fixture_open (&fixture);
	int first = client_with (&fixture, POST ("/held", 12000), 12000);
	int second = client_with (&fixture, POST ("/held", 12000), 12000);
	assert_true (was_answered (second, "503 "));
	assert_true (is_closed (second));
	assert_false (is_closed (first));
	release (&fixture);
	assert_true (was_answered (first, "200 OK"));
	close (first);
	close (second);
	fixture_close (&fixture);
}

/* Guards against memory and descriptors that stay in use after a connection has ended. */
static void
test_ended_connections_are_released (void **state)
{
	(void)state;
	static const char *const sent[] = {
		"", "GET", POST ("/", 9) "a", GET ("/"), "no HTTP\r\n\r\n", POST ("/", 999999)};
	for (size_t i = 0; i < G_N_ELEMENTS (sent); i++) {
		struct fixture fixture;
		fixture_open (&fixture);
		close (client_with (&fixture, sent[i], 100));
		settle (&fixture);
		pass_time (&fixture, TICK_MS);
		assert_int_equal (dff_http_server_n_connections (fixture.server), 0);
		assert_int_equal (dff_connections_held_bytes (fixture.connections), 0);
		fixture_close (&fixture);
	}
}

/* The end of the headers is found however the bytes are divided; what follows is ignored. */
static void
test_header_scan (void **state)
{
	(void)state;
	static const struct {
		const char *text;
		size_t n_lines;
		bool complete;
	} cases[] = {
		{"", 0, false},
		{"GET / HTTP/1.1", 0, false},
		{"GET / HTTP/1.1\r\n", 1, false},
		{"GET / HTTP/1.1\r\na: b\r\n", 2, false},
		{"GET / HTTP/1.1\r\na: b\r\n\r\n", 3, true},
		{"GET / HTTP/1.1\na: b\n\n", 3, true},
		{"GET / HTTP/1.1\r\n\r\nbody\n\nbody\n", 2, true},
		{"\r\n\r\n", 2, true},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		for (size_t step = 1; step <= 8; step++) {
			struct evbuffer *input = evbuffer_new ();
			struct dff_header_scan scan;
			dff_header_scan_reset (&scan);
			for (size_t at = 0; at < strlen (cases[i].text); at += step) {
				size_t before = evbuffer_get_length (input);
				evbuffer_add (input, cases[i].text + at,
					      MIN (step, strlen (cases[i].text) - at));
				dff_header_scan_update (&scan, input, before);
			}
			assert_int_equal (scan.n_lines, cases[i].n_lines);
			assert_int_equal (scan.complete, cases[i].complete);
			evbuffer_free (input);
		}
	}
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_header_scan),
		cmocka_unit_test (test_time_limits),
		cmocka_unit_test (test_own_pause_is_no_delay_of_clients),
		cmocka_unit_test (test_idle_connections_give_way),
		cmocka_unit_test (test_memory_is_released),
		cmocka_unit_test (test_requests_beyond_memory_are_refused),
		cmocka_unit_test (test_ended_connections_are_released),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
