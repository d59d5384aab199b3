#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <signal.h>
#include <string.h>

#include "cell/job_row.h"
#include "harness.h"

/*
 * Random schedules of job submissions, with and without a key, through two processes. Meanwhile the
 * store is down, does not answer, is slow, writes late or loses answers, and one process may die.
 * At the end every accepted job is recorded exactly once, no job that was reported as not run is
 * recorded, and no key has two jobs.
 */

#define SEEDS 100
#define TURNS 50
#define KEYS 3
#define JOBS_MAX 64

struct job {
	struct harness_client *client; /**< NULL: answered and checked. */
	bool accepted;
	bool not_run;
};

struct schedule {
	struct harness *harness;
	GRand *rng;
	uint32_t seed;
	/** The first KEYS elements are the jobs with a key, which are submitted several times;
	 * every other job is submitted once. */
	struct job jobs[JOBS_MAX];
	int n_jobs;
	int n_accepted;
	int n_not_run;
};

static void
evaluate (struct schedule *schedule, struct job *job)
{
	const char *text = job->client->received->str;
	int status = harness_client_status (job->client);
	if (status == 200 || status == 201)
		job->accepted = true;
	else if (strstr (text, "\"outcome\":\"not_run\"") != NULL)
		job->not_run = true;
	schedule->n_accepted += job->accepted;
	schedule->n_not_run += job->not_run;
	harness_client_free (job->client);
	job->client = NULL;
}

static void
run (struct schedule *schedule, int64_t ms)
{
	for (int64_t i = 0; i < ms; i++) {
		harness_step (schedule->harness);
		for (int j = 0; j < schedule->n_jobs; j++) {
			struct job *job = &schedule->jobs[j];
			if (job->client == NULL)
				continue;
			if (harness_client_is_whole (job->client) || job->client->closed)
				evaluate (schedule, job);
		}
	}
}

static void
submit (struct schedule *schedule)
{
	bool keyed = g_rand_boolean (schedule->rng);
	int index = keyed ? g_rand_int_range (schedule->rng, 0, KEYS) : schedule->n_jobs;
	int process = g_rand_int_range (schedule->rng, 0, 2);
	if (index == JOBS_MAX || schedule->jobs[index].client != NULL)
		return;
	if (schedule->harness->processes[process].entry == NULL)
		process = 1 - process;
	g_autofree char *key = g_strdup_printf ("Idempotency-Key: key-%d\r\n", index);
	g_autofree char *body =
		g_strdup_printf ("{\"service\":\"archive\",\"payload\":{\"n\":%d}}", index);
	g_autofree char *text =
		g_strdup_printf ("POST /v1/jobs HTTP/1.1\r\nAuthorization: Bearer fleet-token\r\n%s"
				 "Content-Length: %zu\r\n\r\n%s",
				 keyed ? key : "", strlen (body), body);
	schedule->jobs[index].client = harness_connect (schedule->harness, process);
	harness_client_send (schedule->jobs[index].client, text, strlen (text));
	schedule->n_jobs = MAX (schedule->n_jobs, index + 1);
}

static void
inject_store_fault (struct schedule *schedule)
{
	struct harness *harness = schedule->harness;
	int64_t until_ms = harness->clock.now_ms + g_rand_int_range (schedule->rng, 100, 8000);
	int process = g_rand_int_range (schedule->rng, 0, 2);
	int kind = g_rand_int_range (schedule->rng, 0, 6);
	if (harness->processes[process].entry == NULL)
		return;
	struct dff_memory_faults *faults = &harness->processes[process].platform->faults;
	if (kind == 0)
		faults->outage_until_ms = until_ms;
	if (kind == 1)
		faults->silent_until_ms = until_ms;
	if (kind == 2)
		faults->lose_answers = 2;
	if (kind == 3)
		faults->lost_writes = 2;
	if (kind == 4) {
		faults->late_writes = 2;
		faults->late_ms = g_rand_int_range (schedule->rng, 10, 9000);
	}
	if (kind == 5)
		faults->delay_max_ms = g_rand_int_range (schedule->rng, 1, 2500);
}

static void
count_row (void *user, const struct dff_table_result *result)
{
	int *counts = user;
	assert_int_equal (result->outcome, DFF_TABLE_OK);
	assert_false (result->more);
	for (size_t i = 0; i < result->n_rows; i++) {
		const struct dff_table_row *read = &result->rows[i];
		DFF_AUTO (dff_job_row)
		row = dff_job_row_decode (read->value, read->revision, NULL);
		gint64 n = -1;
		const char *digits = row->payload->str + strlen ("{\"n\":");
		g_autofree char *text = g_strndup (digits, strlen (digits) - 1);
		assert_true (g_ascii_string_to_signed (text, 10, 0, JOBS_MAX - 1, &n, NULL));
		counts[n]++;
	}
}

static void
check_record (struct schedule *schedule)
{
	int counts[JOBS_MAX] = {0};
	const struct dff_table *table = &schedule->harness->holder->table;
	table->scan (table->ctx, dff_str_from ("job/"), 0, 10000, count_row, counts);
	for (int i = 0; i < schedule->n_jobs; i++) {
		const struct job *job = &schedule->jobs[i];
		if (counts[i] > 1)
			fail_msg ("seed %u: job %d is recorded twice", schedule->seed, i);
		if (job->accepted && counts[i] != 1)
			fail_msg ("seed %u: accepted job %d is not recorded", schedule->seed, i);
		if (i >= KEYS && job->not_run && counts[i] != 0)
			fail_msg ("seed %u: job %d was reported as not run, but is recorded",
				  schedule->seed, i);
		if (i < KEYS && job->not_run)
			fail_msg ("seed %u: a job with a key was reported as not run",
				  schedule->seed);
	}
}

static void
run_schedule (struct schedule *schedule)
{
	struct harness *harness = harness_new ();
	schedule->harness = harness;
	schedule->n_jobs = KEYS;
	harness_set_pool (harness);
	for (int i = 0; i < HARNESS_PROCESSES; i++)
		harness->processes[i].settings->max_connections = JOBS_MAX;
	for (int i = 0; i < TURNS; i++) {
		int turn = g_rand_int_range (schedule->rng, 0, 100);
		if (turn < 60)
			submit (schedule);
		else if (turn < 99)
			inject_store_fault (schedule);
		else
			harness_kill (harness, 1);
		run (schedule, g_rand_int_range (schedule->rng, 1, 500));
	}
	run (schedule, 30000);
	check_record (schedule);
	harness_free (harness);
}

static void
test_random_submissions (void **state)
{
	(void)state;
	int n_accepted = 0;
	int n_not_run = 0;
	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		struct schedule schedule = {.seed = seed, .rng = g_rand_new_with_seed (seed)};
		run_schedule (&schedule);
		n_accepted += schedule.n_accepted;
		n_not_run += schedule.n_not_run;
		g_rand_free (schedule.rng);
	}
	print_message ("accepted %d, not run %d\n", n_accepted, n_not_run);
	assert_true (n_accepted > SEEDS);
	assert_true (n_not_run > SEEDS);
}

int
main (void)
{
	signal (SIGPIPE, SIG_IGN);
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_random_submissions),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
