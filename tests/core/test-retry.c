#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <glib.h>

#include "core/retry.h"

/* The backoff after a failed attempt. Guards against jobs that wait although a worker was at fault
 * or although their objective does not allow it, and against jobs that are at fault themselves and
 * are retried in a tight loop. */

/** Number of failures up to which the bounds are checked, and of workers. */
#define FAILURES_MAX 20
#define WORKERS_MAX 6

static void
test_backoff (void **state)
{
	(void)state;
	static const struct {
		const char *name;
		struct dff_retry_input input;
		int64_t backoff_ms;
	} cases[] = {
		/* cause, failures, n_workers, {prospect, slack_ms} */
		{"preempted", {DFF_RETRY_NONE, 0, 0, {DFF_PROSPECT_NONE, 0}}, 0},
		{"lost", {DFF_RETRY_LOST, 3, 3, {DFF_PROSPECT_IN_TIME, 100}}, 0},
		{"worker's first", {DFF_RETRY_WORKER, 1, 1, {DFF_PROSPECT_NONE, 0}}, 0},
		{"worker's first, missed", {DFF_RETRY_WORKER, 1, 1, {DFF_PROSPECT_MISSED, -9}}, 0},
		{"first", {DFF_RETRY_JOB, 1, 1, {DFF_PROSPECT_NONE, 0}}, 500},
		{"first, much slack", {DFF_RETRY_JOB, 1, 1, {DFF_PROSPECT_IN_TIME, 9000}}, 500},
		{"first, little slack", {DFF_RETRY_JOB, 1, 1, {DFF_PROSPECT_IN_TIME, 800}}, 200},
		{"first, no slack", {DFF_RETRY_JOB, 1, 1, {DFF_PROSPECT_IN_TIME, 0}}, 0},
		{"first, late", {DFF_RETRY_JOB, 1, 1, {DFF_PROSPECT_LATE, 1600}}, 400},
		{"first, missed", {DFF_RETRY_JOB, 1, 1, {DFF_PROSPECT_MISSED, -500}}, 500},
		{"first, on many workers",
		 {DFF_RETRY_WORKER, 1, 3, {DFF_PROSPECT_IN_TIME, 800}},
		 200},
		{"worker's second", {DFF_RETRY_WORKER, 2, 2, {DFF_PROSPECT_IN_TIME, 0}}, 250},
		{"worker's third", {DFF_RETRY_WORKER, 3, 2, {DFF_PROSPECT_IN_TIME, 0}}, 2000},
		{"second", {DFF_RETRY_JOB, 2, 2, {DFF_PROSPECT_IN_TIME, 0}}, 1000},
		{"second, third worker", {DFF_RETRY_WORKER, 2, 3, {DFF_PROSPECT_NONE, 0}}, 1000},
		{"many", {DFF_RETRY_JOB, 30, 4, {DFF_PROSPECT_IN_TIME, 0}}, 16000},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		int64_t got = dff_retry_backoff_ms (&cases[i].input);
		if (got != cases[i].backoff_ms)
			fail_msg ("%s: %" G_GINT64_FORMAT, cases[i].name, got);
	}
}

static void
check_bounds (const struct dff_retry_input *input)
{
	int64_t got = dff_retry_backoff_ms (input);
	int64_t most = dff_retry_doubling_ms (input->failures);
	assert_true (got >= 0 && got <= most);
	if (input->cause == DFF_RETRY_NONE || input->cause == DFF_RETRY_LOST) {
		assert_int_equal (got, 0);
		return;
	}
	assert_true (input->failures < 2 || got >= DFF_RETRY_MIN_MS);
	assert_true (input->n_workers <= 2 || input->failures < 2 || got == most);
}

static void
check_all_causes (const struct dff_retry_input *input)
{
	for (int cause = DFF_RETRY_NONE; cause <= DFF_RETRY_LOST; cause++) {
		struct dff_retry_input with_cause = *input;
		with_cause.cause = (enum dff_retry_cause)cause;
		check_bounds (&with_cause);
	}
}

/* Whatever a failure is attributed to, and however urgent the job is: from the second failure on
 * there is a wait, never longer than without the rules, and the whole one on many workers. */
static void
test_bounds (void **state)
{
	(void)state;
	static const int64_t slacks[] = {-5000, 0, 1, 400, 5000, INT64_MAX};
	for (int32_t failures = 1; failures <= FAILURES_MAX; failures++) {
		for (int32_t n_workers = 0; n_workers <= WORKERS_MAX; n_workers++) {
			for (size_t i = 0; i < G_N_ELEMENTS (slacks); i++) {
				struct dff_retry_input input = {
					.failures = failures,
					.n_workers = n_workers,
					.objective = {DFF_PROSPECT_IN_TIME, slacks[i]}};
				check_all_causes (&input);
			}
		}
	}
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_backoff),
		cmocka_unit_test (test_bounds),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
