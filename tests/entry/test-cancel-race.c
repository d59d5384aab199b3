#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <signal.h>
#include <string.h>

#include "cell/job_row.h"
#include "harness.h"

/* Bulk cancellation of a team's jobs while the holder changes their rows. */

#define JOBS 5
/** Delay of every call to the table, ms. */
#define DELAY_MS 40

static void
send_text (struct harness_client *client, const char *text)
{
	harness_client_send (client, text, strlen (text));
}

static void
submit (struct harness *harness, char *id, size_t size)
{
	struct harness_client *client = harness_connect (harness, 0);
	send_text (client, "POST /v1/jobs HTTP/1.1\r\nAuthorization: Bearer casework-token\r\n"
			   "Content-Length: 21\r\n\r\n{\"service\":\"archive\"}");
	assert_true (harness_client_wait (client));
	const char *location = strstr (client->received->str, "/v1/jobs/");
	assert_non_null (location);
	location += strlen ("/v1/jobs/");
	g_strlcpy (id, location, MIN (size, strcspn (location, "\r") + 1));
	harness_client_free (client);
}

static void
check_written (void *user, const struct dff_table_result *result)
{
	(void)user;
	assert_int_equal (result->outcome, DFF_TABLE_OK);
}

/* Records a start intent as the holder would. */
static void
write_start (struct harness *harness, const struct dff_name *job)
{
	g_autoptr (GString) key = dff_job_row_key (job);
	struct dff_str key_text = {key->str, key->len};
	struct dff_table_row row;
	assert_true (dff_memory_peek (harness->memory, key_text, &row));
	struct dff_table_write write = {key_text, row.value};
	struct dff_table_txn txn = {
		.write_id = dff_name_printf ("start.%s", job->data),
		.writes = &write,
		.n_writes = 1,
	};
	const struct dff_table *table = &harness->holder->table;
	table->commit (table->ctx, &txn, check_written, NULL);
	harness_step (harness);
}

static bool
is_cancelled (struct harness *harness, const struct dff_name *job)
{
	g_autoptr (GString) key = dff_job_row_key (job);
	struct dff_str key_text = {key->str, key->len};
	struct dff_table_row row;
	assert_true (dff_memory_peek (harness->memory, key_text, &row));
	DFF_AUTO (dff_job_row) decoded = dff_job_row_decode (row.value, row.revision, NULL);
	return decoded->cancel_requested;
}

/* Guards against a job that keeps running after its team cancelled all jobs. The holder starts the
 * job between the read and the write of the cancellation, so the write fails on its row. A failed
 * condition does not mean that the job has ended. */
static void
test_job_that_starts_during_bulk_cancel (void **state)
{
	(void)state;
	struct harness *harness = harness_new ();
	char jobs[JOBS][DFF_NAME_MAX];
	harness_set_pool (harness);
	for (int i = 0; i < JOBS; i++)
		submit (harness, jobs[i], sizeof (jobs[i]));
	struct dff_memory_faults *faults = &harness->processes[0].platform->faults;
	faults->delay_min_ms = DELAY_MS;
	faults->delay_max_ms = DELAY_MS;
	struct harness_client *client = harness_connect (harness, 0);
	send_text (client, "DELETE /v1/jobs?team=casework HTTP/1.1\r\n"
			   "Authorization: Bearer casework-token\r\n\r\n");
	harness_run (harness, DELAY_MS + DELAY_MS / 2);
	const struct dff_name started = dff_name_from (jobs[2]);
	write_start (harness, &started);
	assert_true (harness_client_wait (client));
	if (strstr (client->received->str, "{\"cancelling\":5}") == NULL)
		fail_msg ("%s", client->received->str);
	for (int i = 0; i < JOBS; i++) {
		const struct dff_name job = dff_name_from (jobs[i]);
		assert_true (is_cancelled (harness, &job));
	}
	assert_true (dff_memory_counts (harness->memory).conflicts > 0);
	harness_client_free (client);
	harness_free (harness);
}

int
main (void)
{
	signal (SIGPIPE, SIG_IGN);
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_job_that_starts_during_bulk_cancel),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
