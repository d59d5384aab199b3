#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <jansson.h>
#include <signal.h>
#include <string.h>

#include "harness.h"

/* What operators and their tools read: /v1/status, /metrics, and the spans of a job. */

#define TRACE_ID "0af7651916cd43dd8448eb211c80319c"
#define TRACEPARENT "00-" TRACE_ID "-b7ad6b7169203331-01"

static char *
get (struct harness *harness, const char *path)
{
	g_autofree char *text = g_strdup_printf (
		"GET %s HTTP/1.1\r\nAuthorization: Bearer operator-token\r\n\r\n", path);
	struct harness_client *client = harness_connect (harness, 0);
	harness_client_send (client, text, strlen (text));
	assert_true (harness_client_wait (client));
	assert_int_equal (harness_client_status (client), 200);
	const char *body = strstr (client->received->str, "\r\n\r\n") + 4;
	char *copy = g_strdup (body);
	harness_client_free (client);
	return copy;
}

static void
test_status (void **state)
{
	(void)state;
	struct harness *harness = harness_new ();
	harness_set_pool (harness);
	harness_grant (harness, 3, 60000);
	g_autofree char *body = get (harness, "/v1/status");
	json_t *json = json_loads (body, 0, NULL);
	const char *instance = NULL, *region = NULL, *store = NULL, *member = NULL, *alive = NULL;
	json_t *cell = NULL, *holder = NULL, *instances = NULL;
	int generation = 0, ready = 0, draining = 1, granted = 0, in_use = -1, connections = 0;
	int unpacked = json_unpack (json, "{s:s,s:s,s:i,s:b,s:b,s:s,s:o,s:o,s:{s:i,s:i},s:i,s:o}",
				    "instance", &instance, "region", &region, "generation",
				    &generation, "ready", &ready, "draining", &draining, "store",
				    &store, "holder", &holder, "cell", &cell, "requests",
				    "slots_granted", &granted, "slots_in_use", &in_use,
				    "connections", &connections, "instances", &instances);
	assert_int_equal (unpacked, 0);
	assert_string_equal (instance, "entry-a");
	assert_string_equal (region, "demo");
	assert_int_equal (generation, 1);
	assert_true (ready);
	assert_false (draining);
	assert_string_equal (store, "available");
	assert_true (json_is_null (holder));
	assert_true (json_is_object (cell));
	assert_int_equal (granted, 6);
	assert_int_equal (in_use, 0);
	assert_int_equal (connections, 1);
	assert_int_equal (json_array_size (instances), HARNESS_PROCESSES);
	unpacked = json_unpack (json_array_get (instances, 1), "{s:s,s:s}", "instance", &member,
				"state", &alive);
	assert_int_equal (unpacked, 0);
	assert_string_equal (member, "entry-b");
	assert_string_equal (alive, "alive");
	json_decref (json);
	harness_free (harness);
}

static void
test_metrics_count_refusals (void **state)
{
	(void)state;
	static const char *const lines[] = {
		"\ndff_entry_calls_total 2\n",
		"\ndff_entry_refused_total{reason=\"auth\"} 1\n",
		"\ndff_entry_connections_open ",
		"\ndff_requests_retries_total 0\n",
	};
	struct harness *harness = harness_new ();
	harness_set_pool (harness);
	struct harness_client *unknown = harness_connect (harness, 0);
	static const char call[] = "GET /v1/status HTTP/1.1\r\n\r\n";
	harness_client_send (unknown, call, strlen (call));
	assert_true (harness_client_wait (unknown));
	g_autofree char *body = get (harness, "/metrics");
	for (size_t i = 0; i < G_N_ELEMENTS (lines); i++) {
		if (strstr (body, lines[i]) == NULL)
			fail_msg ("%s is missing in %s", lines[i], body);
	}
	harness_client_free (unknown);
	harness_free (harness);
}

static struct harness_client *
call_traced (struct harness *harness, const char *head, const char *body)
{
	g_autofree char *text =
		g_strdup_printf ("%s HTTP/1.1\r\nAuthorization: Bearer casework-token\r\n"
				 "traceparent: " TRACEPARENT "\r\nContent-Length: %zu\r\n\r\n%s",
				 head, strlen (body), body);
	struct harness_client *client = harness_connect (harness, 0);
	harness_client_send (client, text, strlen (text));
	assert_true (harness_client_wait (client));
	assert_non_null (strstr (client->received->str, "traceparent: 00-" TRACE_ID "-"));
	return client;
}

/* Counts the spans of the trace that have @name. */
static int
count_spans (const struct harness *harness, const char *name)
{
	int n = 0;
	g_auto (GStrv) lines = g_strsplit (harness->spans->str, "\n", -1);
	g_autofree char *member = g_strdup_printf ("\"%s\"", name);
	for (char **line = lines; *line != NULL; line++) {
		if (strstr (*line, TRACE_ID) != NULL && strstr (*line, member) != NULL)
			n++;
	}
	return n;
}

static void
test_spans_of_a_job_and_a_request (void **state)
{
	(void)state;
	struct harness *harness = harness_new ();
	harness_set_pool (harness);
	harness_grant (harness, 1, 60000);
	struct harness_client *client =
		call_traced (harness, "POST /v1/jobs", "{\"service\":\"archive\"}");
	const char *location = strstr (client->received->str, "/v1/jobs/");
	assert_non_null (location);
	g_autofree char *path = g_strndup (location, strcspn (location, "\r"));
	struct dff_name job = dff_name_from (path + strlen ("/v1/jobs/"));
	assert_int_equal (count_spans (harness, "entry"), 1);
	assert_int_equal (count_spans (harness, "record"), 1);
	harness_client_free (client);

	/* The caller that fetches the result sends no traceparent; the span still belongs to the
	 * job's trace. */
	harness_end_job (harness, &job, DFF_OUTCOME_COMPLETED, "summary");
	g_autofree char *get_result = g_strdup_printf (
		"GET %s/result HTTP/1.1\r\nAuthorization: Bearer casework-token\r\n\r\n", path);
	client = harness_connect (harness, 0);
	harness_client_send (client, get_result, strlen (get_result));
	assert_true (harness_client_wait (client));
	assert_int_equal (count_spans (harness, "result"), 1);
	harness_client_free (client);

	client = call_traced (harness, "POST /v1/services/drafting/requests", "{}");
	assert_int_equal (count_spans (harness, "request"), 1);
	assert_non_null (strstr (harness->traceparent, TRACE_ID));
	harness_client_free (client);
	harness_free (harness);
}

int
main (void)
{
	signal (SIGPIPE, SIG_IGN);
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_status),
		cmocka_unit_test (test_metrics_count_refusals),
		cmocka_unit_test (test_spans_of_a_job_and_a_request),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
