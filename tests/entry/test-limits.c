#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <signal.h>
#include <string.h>

#include "harness.h"

/* Clients that are slow, silent, too many, or send invalid requests. */

/** Limit of connections in the settings of the harness. */
#define CONNECTIONS_MAX 8

#define OK_REQUEST "GET /healthz HTTP/1.1\r\nHost: entry\r\n\r\n"
#define LONG_POLL                                                                                  \
	"GET /v1/jobs/%s/result?wait_ms=60000 HTTP/1.1\r\nHost: entry\r\n"                         \
	"Authorization: Bearer casework-token\r\n\r\n"

static void
send_text (struct harness_client *client, const char *text)
{
	harness_client_send (client, text, strlen (text));
}

static int32_t
n_connections (struct harness *harness)
{
	int64_t *open = dff_metrics_gauge (harness->processes[0].metrics,
					   "dff_entry_connections_open", "Callers' connections.");
	return (int32_t)*open;
}

struct raw_case {
	const char *what;
	const char *bytes;
	/** 0: the connection is closed without a response. */
	int status;
};

static void
test_malformed_requests (void **state)
{
	(void)state;
	static const struct raw_case cases[] = {
		{"valid request", OK_REQUEST, 200},
		{"not HTTP", "hello\r\n\r\n", 400},
		{"unknown method", "BREW /healthz HTTP/1.1\r\n\r\n", 501},
		{"disallowed method", "PATCH /v1/jobs HTTP/1.1\r\n\r\n", 501},
		{"header without colon", "GET /healthz HTTP/1.1\r\nno colon\r\n\r\n", 400},
		{"negative length", "POST /v1/jobs HTTP/1.1\r\nContent-Length: -5\r\n\r\n", 400},
		{"huge length", "POST /v1/jobs HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n", 413},
		{"no path", "GET  HTTP/1.1\r\n\r\n", 400},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct harness *harness = harness_new ();
		struct harness_client *client = harness_connect (harness, 0);
		send_text (client, cases[i].bytes);
		harness_client_wait (client);
		if (harness_client_status (client) != cases[i].status)
			fail_msg ("%s: %s", cases[i].what, client->received->str);
		harness_client_free (client);
		harness_free (harness);
	}
}

/* Guards against memory that grows with what a client sends: a body without a Content-Length that
 * goes on past the limit, or a header without an end. Bytes are buffered until a request is
 * complete, so the limit has to apply while it is received. */
static void
test_oversized_requests_are_refused (void **state)
{
	(void)state;
	static const char *const heads[] = {
		"POST /v1/jobs HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n10000\r\n",
		"GET /healthz HTTP/1.1\r\nX-Long: ",
	};
	g_autofree char *filler = g_strnfill (65536, 'x');
	for (size_t i = 0; i < G_N_ELEMENTS (heads); i++) {
		struct harness *harness = harness_new ();
		struct harness_client *client = harness_connect (harness, 0);
		send_text (client, heads[i]);
		send_text (client, filler);
		harness_client_wait (client);
		int status = harness_client_status (client);
		assert_true (status == 0 || status == 400 || status == 413);
		harness_client_free (client);
		harness_free (harness);
	}
}

/* Guards against clients that use up all connections by sending a byte now and then but never a
 * complete request. No single pause is long enough for a read timeout, so the time has to count
 * from the first byte, not from the last. */
static void
test_slow_client_is_closed (void **state)
{
	(void)state;
	struct harness *harness = harness_new ();
	struct harness_client *client = harness_connect (harness, 0);
	int64_t limit_ms = harness->processes[0].settings->request_timeout_ms;
	for (int64_t passed_ms = 0; passed_ms < limit_ms - 200; passed_ms += 100) {
		harness_client_send (client, "G", 1);
		harness_run (harness, 100);
	}
	assert_false (client->closed);
	harness_client_send (client, "E", 1);
	harness_run (harness, 400);
	assert_true (client->closed);
	assert_int_equal (n_connections (harness), 0);
	harness_client_free (client);
	harness_free (harness);
}

/* Guards against idle connections that keep new callers out: at the limit, the one that has been
 * idle for longest is closed for each new caller. */
static void
test_idle_connections_close_at_limit (void **state)
{
	(void)state;
	struct harness *harness = harness_new ();
	struct harness_client *idle[CONNECTIONS_MAX];
	for (int i = 0; i < CONNECTIONS_MAX; i++) {
		idle[i] = harness_connect (harness, 0);
		harness_run (harness, 5);
	}
	harness_run (harness, 60);
	assert_false (idle[0]->closed);
	struct harness_client *served = harness_connect (harness, 0);
	send_text (served, OK_REQUEST);
	assert_true (harness_client_wait (served));
	assert_int_equal (harness_client_status (served), 200);
	harness_run (harness, 60);
	assert_true (idle[0]->closed);
	for (int i = 1; i < CONNECTIONS_MAX; i++)
		assert_false (idle[i]->closed);
	assert_true (n_connections (harness) <= CONNECTIONS_MAX);
	for (int i = 0; i < CONNECTIONS_MAX; i++)
		harness_client_free (idle[i]);
	harness_client_free (served);
	harness_free (harness);
}

static struct dff_name
submit (struct harness *harness)
{
	struct dff_name job = {.len = 0};
	struct harness_client *client = harness_connect (harness, 0);
	send_text (client, "POST /v1/jobs HTTP/1.1\r\nAuthorization: Bearer casework-token\r\n"
			   "Content-Length: 21\r\n\r\n{\"service\":\"archive\"}");
	assert_true (harness_client_wait (client));
	const char *location = strstr (client->received->str, "/v1/jobs/");
	assert_non_null (location);
	location += strlen ("/v1/jobs/");
	struct dff_str text = {location, strcspn (location, "\r")};
	assert_true (dff_name_parse (text, &job));
	harness_client_free (client);
	return job;
}

/* Guards against callers that lose their answer to new ones: while all connections have a request
 * that is being handled, a new connection is refused. */
static void
test_waiting_callers_are_kept_at_limit (void **state)
{
	(void)state;
	struct harness *harness = harness_new ();
	harness_set_pool (harness);
	struct dff_name job = submit (harness);
	g_autofree char *poll = g_strdup_printf (LONG_POLL, job.data);
	harness_run (harness, 60);
	struct harness_client *waiting[CONNECTIONS_MAX];
	for (int i = 0; i < CONNECTIONS_MAX; i++) {
		waiting[i] = harness_connect (harness, 0);
		send_text (waiting[i], poll);
		harness_run (harness, 20);
	}
	struct harness_client *refused = harness_connect (harness, 0);
	send_text (refused, OK_REQUEST);
	harness_run (harness, 100);
	assert_true (refused->closed);
	assert_int_equal (harness_client_status (refused), 503);
	assert_non_null (strstr (refused->received->str, "Retry-After: 1"));
	harness_end_job (harness, &job, DFF_OUTCOME_COMPLETED, "summary");
	for (int i = 0; i < CONNECTIONS_MAX; i++) {
		assert_true (harness_client_wait (waiting[i]));
		assert_int_equal (harness_client_status (waiting[i]), 200);
		harness_client_free (waiting[i]);
	}
	harness_client_free (refused);
	harness_free (harness);
}

/* Guards against a crash when a client sends a second request while the first one is being handled:
 * evhttp treats bytes in that state as a broken invariant and ends the process. */
static void
test_pipelined_requests (void **state)
{
	(void)state;
	struct harness *harness = harness_new ();
	harness_set_pool (harness);
	struct dff_name job = submit (harness);
	g_autofree char *poll = g_strdup_printf (LONG_POLL, job.data);
	struct harness_client *client = harness_connect (harness, 0);
	send_text (client, poll);
	harness_run (harness, 20);
	send_text (client, OK_REQUEST);
	harness_run (harness, 20);
	assert_int_equal (client->received->len, 0);
	harness_end_job (harness, &job, DFF_OUTCOME_COMPLETED, "summary");
	assert_true (harness_client_wait (client));
	harness_run (harness, 50);
	assert_non_null (strstr (client->received->str, "summary"));
	assert_non_null (strstr (client->received->str, "healthy"));
	harness_client_free (client);
	harness_free (harness);
}

/* Guards against connections that stay in use until the long poll times out although the caller has
 * disconnected. Unless the connection is watched while the call waits, its end is not detected. */
static void
test_disconnected_caller_is_released (void **state)
{
	(void)state;
	struct harness *harness = harness_new ();
	harness_set_pool (harness);
	struct dff_name job = submit (harness);
	g_autofree char *poll = g_strdup_printf (LONG_POLL, job.data);
	/* Until then the submitter's connection is closed. */
	harness_run (harness, 60);
	struct harness_client *client = harness_connect (harness, 0);
	send_text (client, poll);
	harness_run (harness, 20);
	assert_int_equal (n_connections (harness), 1);
	harness_client_free (client);
	harness_run (harness, 20);
	assert_int_equal (n_connections (harness), 0);
	harness_free (harness);
}

static void
test_requests_in_progress_limit (void **state)
{
	(void)state;
	struct harness *harness = harness_new ();
	struct harness_client *clients[5];
	struct harness_answer held = {.outcome = DFF_WORKER_OK, .status = 200, .held = true};
	harness_set_pool (harness);
	harness_grant (harness, 4, 600000);
	for (int i = 0; i < 5; i++) {
		harness_next_answer (harness, &held);
		clients[i] = harness_connect (harness, 0);
		send_text (clients[i], "POST /v1/services/drafting/requests HTTP/1.1\r\n"
				       "Authorization: Bearer casework-token\r\n"
				       "Content-Length: 2\r\n\r\n{}");
		harness_run (harness, 10);
	}
	assert_true (harness_client_wait (clients[4]));
	assert_int_equal (harness_client_status (clients[4]), 429);
	assert_non_null (strstr (clients[4]->received->str, "Retry-After: "));
	for (int i = 0; i < 5; i++)
		harness_client_free (clients[i]);
	harness_free (harness);
}

static void
call_batch (struct harness *harness, const char *method, const char *path, const char *expected)
{
	g_autofree char *text = g_strdup_printf (
		"%s /v1/batches/%s HTTP/1.1\r\nAuthorization: Bearer fleet-token\r\n\r\n", method,
		path);
	struct harness_client *client = harness_connect (harness, 0);
	send_text (client, text);
	assert_true (harness_client_wait (client));
	if (strstr (client->received->str, expected) == NULL)
		fail_msg ("%s", client->received->str);
	harness_client_free (client);
}

/* The body is larger than the read-ahead limit. Jobs are recorded in windows, and counted and
 * cancelled in pages. */
static void
test_batch_of_thousands (void **state)
{
	(void)state;
	struct harness *harness = harness_new ();
	harness_set_pool (harness);
	harness->processes[0].settings->max_body_bytes = 1 << 20;
	harness_run (harness, 2);
	g_autoptr (GString) body = g_string_new (NULL);
	for (int i = 0; i < 3000; i++)
		g_string_append (body, "{\"service\":\"archive\"}\n");
	g_autofree char *head =
		g_strdup_printf ("POST /v1/jobs HTTP/1.1\r\nAuthorization: Bearer fleet-token\r\n"
				 "Content-Type: application/jsonl\r\nBatch-Count: 3000\r\n"
				 "Content-Length: %zu\r\n\r\n",
				 body->len);
	struct harness_client *client = harness_connect (harness, 0);
	send_text (client, head);
	send_text (client, body->str);
	assert_true (harness_client_wait (client));
	assert_int_equal (harness_client_status (client), 201);
	const char *id = strstr (client->received->str, "\"batch\":\"");
	assert_non_null (id);
	id += strlen ("\"batch\":\"");
	g_autofree char *batch = g_strndup (id, strcspn (id, "\""));
	harness_client_free (client);
	call_batch (harness, "GET", batch, "\"accepted\":3000,");
	call_batch (harness, "DELETE", batch, "\"cancelling\":3000}");
	call_batch (harness, "DELETE", batch, "\"cancelling\":0}");
	call_batch (harness, "GET", batch, "\"queued\":3000}");
	harness_free (harness);
}

/* Guards against a team that exceeds its limit of queued jobs by submitting jobs and batches at the
 * same time. If only recorded jobs were counted, none of these submissions would count for the
 * others. */
static void
test_quota_of_concurrent_submissions (void **state)
{
	(void)state;
	static const char *const together[] = {
		"Content-Length: 21\r\n\r\n{\"service\":\"archive\"}",
		"Content-Type: application/jsonl\r\nBatch-Count: 4\r\nContent-Length: 88\r\n\r\n"
		"{\"service\":\"archive\"}\n{\"service\":\"archive\"}\n"
		"{\"service\":\"archive\"}\n{\"service\":\"archive\"}\n",
	};
	struct harness *harness = harness_new ();
	struct harness_client *clients[6];
	int accepted = 0;
	harness_set_pool (harness);
	for (size_t i = 0; i < G_N_ELEMENTS (clients); i++)
		clients[i] = harness_connect (harness, 0);
	for (size_t i = 0; i < G_N_ELEMENTS (clients); i++) {
		send_text (clients[i], "POST /v1/jobs HTTP/1.1\r\n"
				       "Authorization: Bearer casework-token\r\n");
		send_text (clients[i], together[i % 2]);
	}
	for (size_t i = 0; i < G_N_ELEMENTS (clients); i++) {
		assert_true (harness_client_wait (clients[i]));
		int status = harness_client_status (clients[i]);
		assert_true (status == 201 || status == 429);
		accepted += status == 201 ? 1 + 3 * (int)(i % 2) : 0;
		harness_client_free (clients[i]);
	}
	assert_in_range (accepted, 3, 6);
	/* Refused jobs do not count. */
	for (int i = accepted; i < 6; i++)
		submit (harness);
	harness_free (harness);
}

/** Maximum number of rows in one answer of the table. */
#define FEW_ROWS 2

static void (*get_all) (void *, const struct dff_str *, size_t, dff_table_func, void *);

/* Simulates a table with rows so long that an answer with more than FEW_ROWS of them is dropped. */
static void
get_few (void *ctx, const struct dff_str *keys, size_t n_keys, dff_table_func done, void *user)
{
	const struct dff_table_result dropped = {.outcome = DFF_TABLE_UNAVAILABLE};
	if (n_keys > FEW_ROWS)
		done (user, &dropped);
	else
		get_all (ctx, keys, n_keys, done, user);
}

/* Guards against long polls that time out although the results exist. The notifications of the ends
 * are lost, and the rows of the waiting jobs are read again; they are large, and one answer with
 * all of them is longer than a client of the table accepts. Requesting the same number of rows
 * again would fail each time. */
static void
test_reread_size_is_halved_for_large_rows (void **state)
{
	(void)state;
	struct harness *harness = harness_new ();
	struct dff_name jobs[4];
	struct harness_client *clients[G_N_ELEMENTS (jobs)];
	harness_set_pool (harness);
	get_all = harness->processes[0].entry_platform->table.get;
	harness->processes[0].entry_platform->table.get = get_few;
	for (size_t i = 0; i < G_N_ELEMENTS (jobs); i++) {
		jobs[i] = submit (harness);
		g_autofree char *poll = g_strdup_printf (LONG_POLL, jobs[i].data);
		clients[i] = harness_connect (harness, 0);
		send_text (clients[i], poll);
	}
	harness_run (harness, 100);
	for (size_t i = 0; i < G_N_ELEMENTS (jobs); i++)
		harness_end_job (harness, &jobs[i], DFF_OUTCOME_COMPLETED, "whole");
	for (size_t i = 0; i < G_N_ELEMENTS (jobs); i++) {
		assert_true (harness_client_wait (clients[i]));
		assert_int_equal (harness_client_status (clients[i]), 200);
		harness_client_free (clients[i]);
	}
	harness_free (harness);
}

struct size_case {
	/** The payload is a string of @n_units times @unit. */
	const char *unit;
	int n_units;
	int status;
};

/* Guards against accepting a job that can neither start nor be cancelled. Its row is recorded just
 * under the recorder's limit; the start intent adds placements, and from then on the recorder
 * refuses the row, which would be reported as if the store were down. The limit for submissions has
 * to leave space for that. */
static void
test_jobs_too_large_for_a_row (void **state)
{
	(void)state;
	static const struct size_case cases[] = {
		{"x", 480000, 201},
		{"x", 520000, 413},
		{"x", 800000, 413},
		{"\\\"", 200000, 413},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct harness *harness = harness_new ();
		harness_set_pool (harness);
		harness->processes[0].settings->max_body_bytes = 1 << 20;
		harness_run (harness, 2);
		g_autoptr (GString) body =
			g_string_new ("{\"service\":\"archive\",\"payload\":{\"text\":\"");
		for (int j = 0; j < cases[i].n_units; j++)
			g_string_append (body, cases[i].unit);
		g_string_append (body, "\"}}");
		g_autofree char *head = g_strdup_printf (
			"POST /v1/jobs HTTP/1.1\r\nAuthorization: Bearer fleet-token\r\n"
			"Content-Length: %zu\r\n\r\n",
			body->len);
		struct harness_client *client = harness_connect (harness, 0);
		send_text (client, head);
		send_text (client, body->str);
		assert_true (harness_client_wait (client));
		if (harness_client_status (client) != cases[i].status)
			fail_msg ("case %zu: %.600s", i, client->received->str);
		bool has_code =
			strstr (client->received->str, "\"code\":\"job_too_large\"") != NULL;
		assert_int_equal (has_code, cases[i].status == 413);
		harness_client_free (client);
		harness_free (harness);
	}
}

int
main (void)
{
	signal (SIGPIPE, SIG_IGN);
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_malformed_requests),
		cmocka_unit_test (test_oversized_requests_are_refused),
		cmocka_unit_test (test_slow_client_is_closed),
		cmocka_unit_test (test_idle_connections_close_at_limit),
		cmocka_unit_test (test_waiting_callers_are_kept_at_limit),
		cmocka_unit_test (test_pipelined_requests),
		cmocka_unit_test (test_disconnected_caller_is_released),
		cmocka_unit_test (test_requests_in_progress_limit),
		cmocka_unit_test (test_batch_of_thousands),
		cmocka_unit_test (test_quota_of_concurrent_submissions),
		cmocka_unit_test (test_reread_size_is_halved_for_large_rows),
		cmocka_unit_test (test_jobs_too_large_for_a_row),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
