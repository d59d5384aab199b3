#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "tests/upstream/worker_fixture.h"

#define LEASE_MS INT64_C (1000)

static void
store_outcome (void *user, const struct dff_worker_result *result)
{
	*(enum dff_worker_outcome *)user = result->outcome;
}

/** Makes a call for the only task; the worker answers at once. */
static void
call_task (struct fixture *fixture, enum dff_worker_call_type type, int32_t attempt)
{
	struct dff_task_id task = {dff_name_from ("sk.job"), attempt, 0};
	struct dff_worker_call call = {
		.type = type,
		.start = {.task = task,
			  .lease_ms = LEASE_MS,
			  .payload = dff_str_from ("{\"run_ms\":300}")},
		.command = {.task = task},
	};
	dff_standin_worker_call (fixture->worker, &call, store_outcome, &fixture->outcome);
	assert_int_equal (fixture->outcome, DFF_WORKER_OK);
}

static void
test_renew_reports_changes_only (void **state)
{
	(void)state;
	struct fixture fixture;
	fixture_init (&fixture, false);
	struct dff_worker_tasks *tasks = dff_standin_worker_tasks (fixture.worker);
	g_autoptr (GArray) reports = g_array_new (FALSE, TRUE, sizeof (struct dff_task_report));
	for (int32_t attempt = 1; attempt <= 3; attempt++)
		call_task (&fixture, DFF_WORKER_CALL_STOP, attempt);
	static const struct {
		int64_t after;
		guint n_reports;
	} cases[] = {{0, 3}, {1, 2}, {2, 1}, {3, 0}, {9, 0}};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		g_array_set_size (reports, 0);
		struct dff_worker_renewal renewal = {LEASE_MS, cases[i].after, 0};
		dff_worker_tasks_renew (tasks, &renewal, reports);
		assert_int_equal (reports->len, cases[i].n_reports);
	}
	assert_int_equal (dff_worker_tasks_sequence (tasks), 3);
	fixture_clear (&fixture);
}

static void
count_answer (void *user, const struct dff_worker_result *result)
{
	assert_int_equal (result->outcome, DFF_WORKER_OK);
	(*(int *)user)++;
}

/** Renews with a wait of 1000 ms. Returns: the number of answers received immediately. */
static int
renew_waiting (struct fixture *fixture, int64_t after, int *answers)
{
	struct dff_worker_call call = {
		.type = DFF_WORKER_CALL_RENEW,
		.renewal = {.lease_ms = LEASE_MS, .after_sequence = after, .wait_ms = 1000},
	};
	*answers = 0;
	dff_standin_worker_call (fixture->worker, &call, count_answer, answers);
	return *answers;
}

/* Guards against reporting a completion a second late, when a task ends just after a renewal was
 * answered: a renewal has to wait for a change. */
static void
test_renewal_waits_for_something_to_report (void **state)
{
	(void)state;
	struct fixture fixture;
	int answers;
	fixture_init (&fixture, false);
	call_task (&fixture, DFF_WORKER_CALL_START, 1);
	int64_t sequence = dff_worker_tasks_sequence (dff_standin_worker_tasks (fixture.worker));
	assert_int_equal (renew_waiting (&fixture, sequence - 1, &answers), 1);
	assert_int_equal (renew_waiting (&fixture, sequence, &answers), 0);
	assert_int_equal (dff_standin_worker_next_due_ms (fixture.worker), 300);
	fixture.clock.now_ms = 299;
	dff_standin_worker_tick (fixture.worker);
	assert_int_equal (answers, 0);
	fixture.clock.now_ms = 300;
	dff_standin_worker_tick (fixture.worker);
	assert_int_equal (answers, 1);
	assert_int_equal (renew_waiting (&fixture, sequence + 1, &answers), 0);
	fixture.clock.now_ms = 1299;
	dff_standin_worker_tick (fixture.worker);
	assert_int_equal (answers, 0);
	fixture.clock.now_ms = 1300;
	dff_standin_worker_tick (fixture.worker);
	assert_int_equal (answers, 1);
	assert_int_equal (renew_waiting (&fixture, sequence + 1, &answers), 0);
	dff_standin_worker_leave (fixture.worker);
	dff_standin_worker_tick (fixture.worker);
	assert_int_equal (answers, 1);
	assert_int_equal (renew_waiting (&fixture, sequence + 1, &answers), 1);
	fixture_clear (&fixture);
}

static void
count_status (void *user, const struct dff_request_result *result)
{
	int *counts = user;
	counts[result->status]++;
}

static void
test_requests_have_bounded_slots (void **state)
{
	(void)state;
	struct fixture fixture;
	fixture_init (&fixture, false);
	struct dff_name id = dff_name_from ("r1");
	struct dff_str payload = dff_str_from ("{\"work_ms\":10,\"answer_bytes\":200}");
	int counts[600] = {0};
	for (int i = 0; i < 10; i++)
		dff_standin_worker_request (fixture.worker, &id, payload, count_status, counts);
	assert_int_equal (counts[429], 2);
	assert_int_equal (dff_standin_worker_next_due_ms (fixture.worker), 10);
	fixture.clock.now_ms = 10;
	dff_standin_worker_tick (fixture.worker);
	assert_int_equal (counts[200], 8);
	assert_false (dff_standin_worker_is_busy (fixture.worker));
	dff_worker_tasks_leave (dff_standin_worker_tasks (fixture.worker));
	dff_standin_worker_request (fixture.worker, &id, payload, count_status, counts);
	assert_int_equal (counts[503], 1);
	fixture_clear (&fixture);
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_renew_reports_changes_only),
		cmocka_unit_test (test_renewal_waits_for_something_to_report),
		cmocka_unit_test (test_requests_have_bounded_slots),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
