#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "bench/peer_traffic.h"
#include "core/core_private.h"
#include "peer/message.h"
#include "peer/watch_assignment.h"
#include "tests/cell/cell_promises.h"
#include "upstream/worker_wire.h"

/* The bytes of state per entity, and the messages and store operations per event, must not exceed
 * the figures of docs/CAPACITY.md, on which the fleet's totals are based. Sizes and counts under a
 * virtual clock: the result is the same in every run. */

#define PAGE "docs/CAPACITY.md"
#define MEMBERS 9
#define MINUTE_S 60
#define JOB_GANG 4
#define JOB_MS 20000
#define LEASE_MS 15000

struct measure {
	/** Name in the page's table. */
	const char *name;
	int64_t (*value) (void);
};

static int64_t
core_worker (void)
{
	return sizeof (struct dff_core_worker);
}

static int64_t
core_job (void)
{
	return sizeof (struct dff_core_job);
}

static int64_t
core_task (void)
{
	return sizeof (struct dff_core_member) + sizeof (struct dff_placement);
}

static int64_t
core_team (void)
{
	return sizeof (struct dff_core_team);
}

static int64_t
core_shape (void)
{
	return sizeof (struct dff_core_shape);
}

static int64_t
cell_job (void)
{
	return sizeof (struct dff_cell_job) + sizeof (struct dff_job_row);
}

static int64_t
cell_task (void)
{
	return sizeof (struct dff_cell_member);
}

static int64_t
cell_worker (void)
{
	return sizeof (struct dff_cell_worker);
}

static struct dff_task_report
completed_report (void)
{
	struct dff_task_report report = {
		.task = {dff_name_from ("region-1.0123456789abcdef0123456789abcdef.12"), 1, 1},
		.state = DFF_TASK_COMPLETED,
		.ran = true,
		.result_key = dff_name_from ("region-1.0123456789abcdef01234567:1:12"),
		.result_length = 123456,
	};
	memset (report.result_digest, 'a', sizeof (report.result_digest) - 1);
	return report;
}

static int64_t
encoded_bytes (const struct dff_message *message)
{
	g_autoptr (GByteArray) bytes = dff_message_encode (message);
	return bytes->len;
}

static int64_t
worker_report_of_one_task (void)
{
	struct dff_task_report report = completed_report ();
	struct dff_message message = {
		.sender = dff_name_from ("entry-1"),
		.kind = DFF_MESSAGE_WORKER_REPORT,
		.worker_report = {.worker = dff_name_from ("r100-w1"),
				  .reachable = true,
				  .reports = &report,
				  .n_reports = 1},
	};
	return encoded_bytes (&message);
}

static int64_t
grant_of_one_worker (void)
{
	struct dff_grant grant = {dff_name_from ("r100-w1"), 1};
	struct dff_message message = {
		.sender = dff_name_from ("entry-1"),
		.kind = DFF_MESSAGE_GRANTS,
		.grants = {.epoch = 12, .sequence = 12345, .valid_ms = 10000},
	};
	int64_t without = encoded_bytes (&message);
	message.grants.grants = &grant;
	message.grants.n_grants = 1;
	return encoded_bytes (&message) - without;
}

static int64_t
grants_renewal (void)
{
	struct dff_message message = {
		.sender = dff_name_from ("entry-1"),
		.kind = DFF_MESSAGE_GRANTS,
		.grants = {.epoch = 12,
			   .sequence = 12345,
			   .valid_ms = 10000,
			   .heartbeat_sent_ms = 123456789,
			   .heartbeat_age_ms = 1000,
			   .is_renewal = true},
	};
	return encoded_bytes (&message);
}

static int64_t
renewal_body (void)
{
	struct dff_worker_renewal renewal = {15000, 12345, 123456789, 3750};
	g_autoptr (GString) body = g_string_new (NULL);
	dff_worker_wire_append_renewal (body, &renewal);
	return (int64_t)body->len;
}

static int64_t
renewal_answer_body (void)
{
	struct dff_worker_result result = {
		.sequence = 12345, .incarnation = 1234567890123, .clock_ms = 123456789};
	g_autoptr (GString) body = g_string_new (NULL);
	dff_worker_wire_append_answer (body, &result);
	return (int64_t)body->len;
}

static double
peer_messages (int32_t n_changes)
{
	DFF_AUTO (fake_network) network = peer_traffic_network (MEMBERS);
	return peer_traffic_measure (network, n_changes, MINUTE_S).messages * MINUTE_S;
}

static int64_t
member_messages_a_minute (void)
{
	return (int64_t)peer_messages (0);
}

/** Sent and received by one member, on average, rounded up. */
static int64_t
pool_change_messages (void)
{
	double messages = peer_messages (1) - peer_messages (0);
	return (int64_t)messages + 1;
}

/** Returns: operations of the store in JOB_MS with @n_jobs jobs, which complete. */
static struct dff_memory_counts
store_counts (int n_jobs)
{
	g_autofree struct harness *harness = g_new0 (struct harness, 1);
	harness_init (harness, 1);
	harness_run (harness, JOB_MS);
	for (int i = 0; i < n_jobs; i++)
		harness_submit (harness, JOB_GANG, true);
	harness_run (harness, JOB_MS);
	for (int i = 0; i < n_jobs; i++)
		assert_int_equal (harness_outcome (harness, i), DFF_OUTCOME_COMPLETED);
	struct dff_memory_counts counts = dff_memory_counts (harness->memory);
	harness_clear (harness);
	return counts;
}

static int64_t
job_rows_written (void)
{
	return store_counts (1).rows_written - store_counts (0).rows_written;
}

static int64_t
job_commits (void)
{
	return store_counts (1).commits - store_counts (0).commits;
}

static int64_t
reads_of_job (const struct dff_memory_counts *counts)
{
	return counts->gets + counts->scans + counts->lookups;
}

static int64_t
job_reads (void)
{
	struct dff_memory_counts with = store_counts (1);
	struct dff_memory_counts without = store_counts (0);
	return reads_of_job (&with) - reads_of_job (&without);
}

/** Renewals per second of a process that watches 20 workers: about the most for which the interval,
 * at most a quarter of the lease, keeps to five per second. */
static int64_t
renewals_a_second (void)
{
	return 20 * 1000 / dff_watch_interval_ms (20, 1000, LEASE_MS);
}

static const struct measure measures[] = {
	{"core_worker", core_worker},
	{"core_job", core_job},
	{"core_task", core_task},
	{"core_team", core_team},
	{"core_shape", core_shape},
	{"cell_job", cell_job},
	{"cell_task", cell_task},
	{"cell_worker", cell_worker},
	{"sighting_of_one_task", worker_report_of_one_task},
	{"grant_of_one_worker", grant_of_one_worker},
	{"grants_renewal", grants_renewal},
	{"renewal_body", renewal_body},
	{"renewal_answer_body", renewal_answer_body},
	{"member_messages_a_minute", member_messages_a_minute},
	{"pool_change_messages", pool_change_messages},
	{"job_rows_written", job_rows_written},
	{"job_commits", job_commits},
	{"job_reads", job_reads},
	{"renewals_a_second", renewals_a_second},
};

/** Returns: the page's figure, from its row "| `NAME` | FIGURE | ..."; -1: not found. */
static int64_t
figure_on_page (const char *page, const char *name)
{
	g_autofree char *start = g_strdup_printf ("\n| `%s` | ", name);
	const char *row = strstr (page, start);
	if (row == NULL)
		return -1;
	return g_ascii_strtoll (row + strlen (start), NULL, 10);
}

static void
test_no_figure_has_grown (void **state)
{
	(void)state;
	g_autofree char *page = NULL;
	assert_true (g_file_get_contents (PAGE, &page, NULL, NULL));
	int n_grown = 0;
	for (size_t i = 0; i < G_N_ELEMENTS (measures); i++) {
		int64_t value = measures[i].value ();
		int64_t figure = figure_on_page (page, measures[i].name);
		bool grown = value > figure;
		n_grown += grown;
		print_message ("%-26s %6" G_GINT64_FORMAT ", on the page %6" G_GINT64_FORMAT "%s\n",
			       measures[i].name, value, figure, grown ? "  GROWN" : "");
	}
	assert_int_equal (n_grown, 0);
}

struct interval_case {
	size_t n_workers;
	int32_t least_ms;
	int32_t lease_ms;
	int32_t interval_ms;
};

static void
test_watch_interval (void **state)
{
	(void)state;
	static const struct interval_case cases[] = {
		{0, 1000, 15000, 1000},      {5, 1000, 15000, 1000},  {6, 1000, 15000, 1200},
		{18, 1000, 15000, 3600},     {19, 1000, 15000, 3750}, {40, 1000, 15000, 3750},
		{100000, 1000, 15000, 3750}, {40, 4000, 15000, 4000}, {40, 50, 1000, 250},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		int32_t interval_ms = dff_watch_interval_ms (cases[i].n_workers, cases[i].least_ms,
							     cases[i].lease_ms);
		assert_int_equal (interval_ms, cases[i].interval_ms);
	}
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_no_figure_has_grown),
		cmocka_unit_test (test_watch_interval),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
