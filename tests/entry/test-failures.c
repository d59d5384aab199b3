#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib/gstdio.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#include "harness.h"

/* Failures that a session script cannot express: at an exact moment, or over TLS. */

#define BATCH_JOBS 4

static void
send_text (struct harness_client *client, const char *text)
{
	harness_client_send (client, text, strlen (text));
}

static struct harness_client *
send_batch (struct harness *harness, int process)
{
	g_autoptr (GString) body = g_string_new (NULL);
	for (int i = 0; i < BATCH_JOBS; i++)
		g_string_append_printf (body,
					"{\"service\":\"archive\",\"payload\":{\"case\":%d}}\n", i);
	g_autofree char *head =
		g_strdup_printf ("POST /v1/jobs HTTP/1.1\r\nAuthorization: Bearer fleet-token\r\n"
				 "Content-Type: application/jsonl\r\nIdempotency-Key: night\r\n"
				 "Batch-Count: %d\r\nContent-Length: %zu\r\n\r\n",
				 BATCH_JOBS, body->len);
	struct harness_client *client = harness_connect (harness, process);
	send_text (client, head);
	send_text (client, body->str);
	return client;
}

/* Runs until the platform has committed @n writes since the harness was created. */
static void
run_until_commits (struct harness *harness, int64_t n)
{
	for (int i = 0; i < 1000 && dff_memory_counts (harness->memory).commits < n; i++)
		harness_step (harness);
	assert_int_equal (dff_memory_counts (harness->memory).commits, n);
}

/* Guards against a batch that silently lacks jobs. The batch's row is written, the store goes down
 * before the jobs are written, and the caller submits the batch again to another process. The
 * existing row does not prove that the batch is complete; a missing job of a batch that runs
 * overnight would be noticed only when a citizen calls. */
static void
test_partly_recorded_batch_is_completed (void **state)
{
	(void)state;
	struct harness *harness = harness_new ();
	struct dff_memory_faults *faults = &harness->processes[0].platform->faults;
	harness_set_pool (harness);
	int64_t before = dff_memory_counts (harness->memory).commits;
	faults->delay_min_ms = 20;
	faults->delay_max_ms = 20;
	struct harness_client *first = send_batch (harness, 0);
	run_until_commits (harness, before + 1);
	faults->outage_until_ms = DFF_MEMORY_FOREVER;
	assert_true (harness_client_wait (first));
	assert_int_equal (harness_client_status (first), 503);
	assert_non_null (strstr (first->received->str, "\"code\":\"batch_incomplete\""));
	assert_non_null (strstr (first->received->str, "\"recorded\":0"));
	assert_non_null (strstr (first->received->str, "\"outcome\":\"unknown\""));
	struct harness_client *second = send_batch (harness, 1);
	assert_true (harness_client_wait (second));
	assert_int_equal (harness_client_status (second), 200);
	assert_non_null (strstr (second->received->str, "\"accepted\":4"));
	harness_client_free (first);
	harness_client_free (second);
	harness_free (harness);
}

struct race_case {
	/** Path of the cancellation; %s: the job. */
	const char *path;
	const char *expected;
};

static struct dff_name
submit_job (struct harness *harness)
{
	struct harness_client *client = harness_connect (harness, 0);
	send_text (client, "POST /v1/jobs HTTP/1.1\r\nAuthorization: Bearer casework-token\r\n"
			   "Content-Length: 21\r\n\r\n{\"service\":\"archive\"}");
	assert_true (harness_client_wait (client));
	const char *location = strstr (client->received->str, "/v1/jobs/");
	assert_non_null (location);
	location += strlen ("/v1/jobs/");
	g_autofree char *id = g_strndup (location, strcspn (location, "\r"));
	harness_client_free (client);
	return dff_name_from (id);
}

/* Ends a job between the read and the write of its cancellation. */
static void
race_cancellation (struct harness *harness, const struct race_case *race)
{
	struct dff_memory_faults *faults = &harness->processes[0].platform->faults;
	struct dff_name job = submit_job (harness);
	g_autofree char *path = g_strdup_printf (race->path, job.data);
	g_autofree char *text = g_strdup_printf (
		"DELETE %s HTTP/1.1\r\nAuthorization: Bearer casework-token\r\n\r\n", path);
	struct harness_client *client = harness_connect (harness, 0);
	faults->delay_min_ms = 40;
	faults->delay_max_ms = 40;
	send_text (client, text);
	/* The row is read at 20 ms and the answer arrives at 40 ms; the write reaches the table 20
	 * ms after that. */
	harness_run (harness, 40);
	harness_end_job (harness, &job, DFF_OUTCOME_COMPLETED, NULL);
	assert_true (harness_client_wait (client));
	if (strstr (client->received->str, race->expected) == NULL)
		fail_msg ("%s", client->received->str);
	assert_true (dff_memory_counts (harness->memory).conflicts > 0);
	harness_client_free (client);
}

/* Guards against cancelling a job whose result was delivered. A cancellation reads the row, the
 * holder records the outcome, and then the cancellation is written. The write has to depend on the
 * revision that was read. */
static void
test_cancellation_does_not_overwrite_outcome (void **state)
{
	(void)state;
	static const struct race_case cases[] = {
		{"/v1/jobs/%s", "\"outcome\":\"completed\""},
		{"/v1/jobs?team=casework&job=%s", "{\"cancelling\":0}"},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct harness *harness = harness_new ();
		harness_set_pool (harness);
		race_cancellation (harness, &cases[i]);
		harness_free (harness);
	}
}

/* Guards against a crash or a hang when a process is shut down at once. At that moment a job waits
 * for the store, a request for its record, another one for a worker, and a caller for a result.
 * Their answers arrive after the entry is freed. */
static void
test_shutdown_with_work_in_flight (void **state)
{
	(void)state;
	static const char *const requests[] = {
		"POST /v1/jobs HTTP/1.1\r\nAuthorization: Bearer casework-token\r\n"
		"Content-Length: 21\r\n\r\n{\"service\":\"archive\"}",
		"POST /v1/services/drafting/requests HTTP/1.1\r\nIdempotent: false\r\n"
		"Idempotency-Key: k\r\nAuthorization: Bearer casework-token\r\n"
		"Content-Length: 2\r\n\r\n{}",
		"POST /v1/services/drafting/requests HTTP/1.1\r\n"
		"Authorization: Bearer casework-token\r\nContent-Length: 2\r\n\r\n{}",
		"GET /v1/jobs/demo.00000000000000000000000000000000/result?wait_ms=9999 "
		"HTTP/1.1\r\nAuthorization: Bearer casework-token\r\n\r\n",
	};
	struct harness *harness = harness_new ();
	struct harness_client *clients[G_N_ELEMENTS (requests)];
	struct harness_answer held = {.outcome = DFF_WORKER_OK, .held = true};
	harness_set_pool (harness);
	harness_grant (harness, 1, 600000);
	harness_next_answer (harness, &held);
	harness->processes[0].platform->faults.silent_until_ms = DFF_MEMORY_FOREVER;
	for (size_t i = 0; i < G_N_ELEMENTS (requests); i++) {
		clients[i] = harness_connect (harness, 0);
		send_text (clients[i], requests[i]);
		harness_run (harness, 50);
		assert_int_equal (clients[i]->received->len, 0);
	}
	harness_kill (harness, 0);
	harness_run (harness, 20000);
	for (size_t i = 0; i < G_N_ELEMENTS (requests); i++) {
		assert_true (clients[i]->closed);
		harness_client_free (clients[i]);
	}
	harness_free (harness);
}

static char *
write_pem (EVP_PKEY *key, X509 *certificate)
{
	char *path = NULL;
	int fd = g_file_open_tmp ("dff-test-XXXXXX.pem", &path, NULL);
	FILE *file = fdopen (fd, "w");
	if (certificate != NULL)
		PEM_write_X509 (file, certificate);
	else
		PEM_write_PrivateKey (file, key, NULL, NULL, 0, NULL, NULL);
	(void)fclose (file);
	return path;
}

static X509 *
certificate_of (EVP_PKEY *key)
{
	X509 *certificate = X509_new ();
	X509_gmtime_adj (X509_getm_notBefore (certificate), -3600);
	X509_gmtime_adj (X509_getm_notAfter (certificate), 3600);
	X509_set_pubkey (certificate, key);
	X509_sign (certificate, key, EVP_sha256 ());
	return certificate;
}

static void
test_calls_over_tls (void **state)
{
	(void)state;
	EVP_PKEY *key = EVP_EC_gen ("P-256");
	X509 *certificate = certificate_of (key);
	g_autofree char *certificate_path = write_pem (key, certificate);
	g_autofree char *key_path = write_pem (key, NULL);
	SSL_CTX *tls = SSL_CTX_new (TLS_client_method ());
	struct harness *harness = harness_new_tls (certificate_path, key_path);
	struct harness_client *client = harness_connect_tls (harness, 0, tls);
	for (int i = 0; i < 2; i++) {
		g_string_truncate (client->received, 0);
		send_text (client, "GET /healthz HTTP/1.1\r\nHost: entry\r\n\r\n");
		assert_true (harness_client_wait (client));
		assert_int_equal (harness_client_status (client), 200);
	}
	struct harness_client *plain = harness_connect (harness, 0);
	send_text (plain, "GET /healthz HTTP/1.1\r\nHost: entry\r\n\r\n");
	assert_false (harness_client_wait (plain));
	harness_client_free (plain);
	harness_client_free (client);
	harness_free (harness);
	SSL_CTX_free (tls);
	EVP_PKEY_free (key);
	X509_free (certificate);
	g_unlink (certificate_path);
	g_unlink (key_path);
}

static struct harness_client *
send_once (struct harness *harness, int process)
{
	struct harness_client *client = harness_connect (harness, process);
	send_text (client, "POST /v1/services/drafting/requests HTTP/1.1\r\n"
			   "Authorization: Bearer casework-token\r\nIdempotent: false\r\n"
			   "Idempotency-Key: bill\r\nContent-Length: 2\r\n\r\n{}");
	return client;
}

/* Guards against waiting for an attempt that no process can end any more. The process dies while a
 * worker has its request, and the caller repeats the request through another process. If that
 * process waited until the deadline, the caller would time out, repeat the request and finally stop
 * without an outcome. */
static void
test_attempt_of_dead_process (void **state)
{
	(void)state;
	struct harness *harness = harness_new ();
	struct harness_answer held = {.outcome = DFF_WORKER_OK, .held = true};
	harness_set_pool (harness);
	harness_grant (harness, 1, 600000);
	harness_next_answer (harness, &held);
	struct harness_client *first = send_once (harness, 0);
	harness_run (harness, 100);
	assert_int_equal (harness->n_run, 1);
	harness_kill (harness, 0);
	struct harness_client *early = send_once (harness, 1);
	harness_run (harness, 1000);
	assert_false (harness_client_is_whole (early));
	harness_run (harness, 9000);
	struct harness_client *late = send_once (harness, 1);
	harness_run (harness, 100);
	assert_true (harness_client_is_whole (early));
	assert_true (harness_client_is_whole (late));
	assert_int_equal (harness_client_status (late), 504);
	assert_non_null (strstr (late->received->str, "\"code\":\"attempt_lost\""));
	assert_non_null (strstr (late->received->str, "\"outcome\":\"unknown\""));
	assert_null (strstr (late->received->str, "Retry-After"));
	assert_int_equal (harness->n_run, 1);
	harness_client_free (first);
	harness_client_free (early);
	harness_client_free (late);
	harness_free (harness);
}

/* The same failure, which would last for as long as the key is remembered: another process with the
 * same name starts before the dead one is detected. The name alone does not identify the process
 * that created the request. */
static void
test_attempt_of_replaced_process (void **state)
{
	(void)state;
	struct harness *harness = harness_new ();
	struct harness_answer held = {.outcome = DFF_WORKER_OK, .held = true};
	harness_set_pool (harness);
	harness_grant (harness, 1, 600000);
	harness_next_answer (harness, &held);
	struct harness_client *first = send_once (harness, 0);
	harness_run (harness, 100);
	assert_int_equal (harness->n_run, 1);
	harness_replace (harness, 0);
	harness_run (harness, 2000);
	struct harness_client *again = send_once (harness, 1);
	harness_run (harness, 100);
	assert_true (harness_client_is_whole (again));
	assert_int_equal (harness_client_status (again), 504);
	assert_non_null (strstr (again->received->str, "\"code\":\"attempt_lost\""));
	assert_int_equal (harness->n_run, 1);
	harness_client_free (first);
	harness_client_free (again);
	harness_free (harness);
}

int
main (void)
{
	signal (SIGPIPE, SIG_IGN);
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_partly_recorded_batch_is_completed),
		cmocka_unit_test (test_cancellation_does_not_overwrite_outcome),
		cmocka_unit_test (test_shutdown_with_work_in_flight),
		cmocka_unit_test (test_calls_over_tls),
		cmocka_unit_test (test_attempt_of_dead_process),
		cmocka_unit_test (test_attempt_of_replaced_process),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
