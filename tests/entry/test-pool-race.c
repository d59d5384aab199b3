#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <signal.h>
#include <string.h>

#include "harness.h"

/* Operators that update the pool file at the same time, through two processes. */

#define ROUNDS 3
/** Offsets between the two updates, ms, around the time of one read and one write of the table. */
#define OFFSETS 12

static char *
pool_text (int workers)
{
	g_autofree char *digest =
		g_compute_checksum_for_string (G_CHECKSUM_SHA256, "operator-token", -1);
	return g_strdup_printf (
		"{\"preset\": \"completion\", \"racks\": [{\"name\": \"r1\", \"data_centre\": "
		"\"dc1\", \"region\": \"demo\", \"workers\": %d, \"slots\": 8, \"cores\": 32, "
		"\"memory_gb\": 64, \"accelerators\": 8}], \"teams\": [], \"services\": [], "
		"\"operators\": [{\"name\": \"operator\", \"token_digests\": [\"sha256:%s\"]}]}",
		workers, digest);
}

static struct harness_client *
send_apply (struct harness *harness, int process, int base, int workers)
{
	g_autofree char *body = pool_text (workers);
	g_autofree char *text =
		g_strdup_printf ("PUT /v1/pool HTTP/1.1\r\nAuthorization: Bearer operator-token\r\n"
				 "If-Match: \"%d\"\r\nContent-Length: %zu\r\n\r\n%s",
				 base, strlen (body), body);
	struct harness_client *client = harness_connect (harness, process);
	harness_client_send (client, text, strlen (text));
	return client;
}

/** Checks that the row holds the file of the update that succeeded. */
static void
check_record (struct harness *harness, int generation, int workers)
{
	struct dff_table_row row;
	assert_true (dff_memory_peek (harness->memory, dff_str_from ("pool"), &row));
	g_autofree char *value = g_strndup (row.value.data, row.value.len);
	g_autofree char *expected = g_strdup_printf ("\"generation\":%d,", generation);
	g_autofree char *count = g_strdup_printf ("\\\"workers\\\": %d,", workers);
	if (strstr (value, expected) == NULL || strstr (value, count) == NULL)
		fail_msg ("recorded: %s", value);
}

/* Sends two updates of generation @base. One gets its new generation, the other one that of the
 * first (412). */
static void
race (struct harness *harness, int base, int offset_ms)
{
	int workers[] = {9 + 2 * base, 10 + 2 * base};
	struct harness_client *clients[2];
	clients[0] = send_apply (harness, 0, base, workers[0]);
	harness_run (harness, offset_ms);
	clients[1] = send_apply (harness, 1, base, workers[1]);
	int n_applied = 0;
	for (int i = 0; i < 2; i++) {
		assert_true (harness_client_wait (clients[i]));
		int status = harness_client_status (clients[i]);
		if (status != 200)
			assert_int_equal (status, 412);
		n_applied += status == 200;
		if (status == 200)
			check_record (harness, base + 1, workers[i]);
	}
	if (n_applied != 1)
		fail_msg ("base %d, %d ms apart: %d of 2 files were applied", base, offset_ms,
			  n_applied);
	for (int i = 0; i < 2; i++)
		harness_client_free (clients[i]);
}

/* Guards against a lost update: two operators both read the recorded generation, then both write,
 * and both are answered that their file is applied. The write has to depend on the generation that
 * was read. */
static void
test_one_of_two_concurrent_updates_wins (void **state)
{
	(void)state;
	for (int offset_ms = 0; offset_ms < OFFSETS; offset_ms++) {
		struct harness *harness = harness_new ();
		harness_set_pool (harness);
		for (int i = 0; i < HARNESS_PROCESSES; i++)
			harness->processes[i].platform->faults.delay_max_ms = 5;
		for (int base = 0; base < ROUNDS; base++)
			race (harness, base, offset_ms);
		harness_free (harness);
	}
}

int
main (void)
{
	signal (SIGPIPE, SIG_IGN);
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_one_of_two_concurrent_updates_wins)};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
