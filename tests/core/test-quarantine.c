#include "core_fixture.h"

/* Workers in quarantine: which jobs probe them, and when they get work again. One rack of two
 * workers with 8 accelerators each; jobs fail on w0 and not on w1. */

#define QUARANTINE_MS INT64_C (60000)
#define PROBE_WAIT_MS INT64_C (30000)

struct fixture {
	struct dff_core *core;
	struct dff_pool pool;
	GArray *commands;
	int64_t now_ms;
};

static int
setup (void **state)
{
	struct fixture *fixture = g_new0 (struct fixture, 1);
	struct dff_core_options options;
	dff_core_options_init (&options);
	fixture->core = dff_core_new (&options);
	fixture_pool_init (&fixture->pool, 1, 2, 8);
	fixture_pool_add_team (&fixture->pool, "a", 0, 0);
	dff_core_set_pool (fixture->core, &fixture->pool, 0);
	fixture_worker_state (fixture->core, "w0", DFF_WORKER_UP);
	fixture->commands = g_array_new (FALSE, TRUE, sizeof (struct dff_command));
	*state = fixture;
	return 0;
}

static int
teardown (void **state)
{
	struct fixture *fixture = *state;
	dff_core_free (fixture->core);
	fixture_pool_clear (&fixture->pool);
	g_array_unref (fixture->commands);
	g_free (fixture);
	return 0;
}

static void
submit (struct fixture *fixture, const char *id, int gang, bool idempotent)
{
	struct dff_job_spec spec = fixture_spec (id, gang, gang > 1 ? 8 : 4);
	spec.idempotent = idempotent;
	spec.max_attempts = idempotent ? 3 : 1;
	const struct dff_event event = {.type = DFF_EVENT_JOB_SUBMITTED, .spec = &spec};
	dff_core_handle_event (fixture->core, &event, fixture->now_ms);
}

static void
report (struct fixture *fixture, enum dff_event_type type, const char *id, int attempt, int member)
{
	const struct dff_event event = {
		.type = type, .job = dff_name_from (id), .attempt = attempt, .member = member};
	dff_core_handle_event (fixture->core, &event, fixture->now_ms);
}

/* Ticks at @at_ms. Returns: the number of starts to be recorded. */
static int
starts_at (struct fixture *fixture, int64_t at_ms)
{
	int starts = 0;
	fixture->now_ms = at_ms;
	dff_core_tick (fixture->core, at_ms, fixture->commands);
	for (guint i = 0; i < fixture->commands->len; i++) {
		const struct dff_command *command =
			&g_array_index (fixture->commands, struct dff_command, i);
		starts += command->type == DFF_COMMAND_RECORD_START;
	}
	g_autofree char *broken = dff_core_check (fixture->core);
	if (broken != NULL)
		fail_msg ("%s", broken);
	return starts;
}

/* Records an attempt and starts every member. */
static void
start (struct fixture *fixture, const char *id, int attempt, int gang)
{
	report (fixture, DFF_EVENT_ATTEMPT_RECORDED, id, attempt, 0);
	starts_at (fixture, fixture->now_ms);
	for (int member = 0; member < gang; member++)
		report (fixture, DFF_EVENT_TASK_STARTED, id, attempt, member);
	starts_at (fixture, fixture->now_ms);
}

/* Lets two jobs fail on w0, then brings w1 up. */
static void
quarantine_w0 (struct fixture *fixture)
{
	static const char *const ids[] = {"f1", "f2"};
	struct dff_core_stats stats;
	for (size_t i = 0; i < G_N_ELEMENTS (ids); i++) {
		submit (fixture, ids[i], 1, false);
		assert_int_equal (starts_at (fixture, 0), 1);
		start (fixture, ids[i], 1, 1);
		report (fixture, DFF_EVENT_TASK_FAILED, ids[i], 1, 0);
		starts_at (fixture, 0);
		report (fixture, DFF_EVENT_OUTCOME_RECORDED, ids[i], 1, 0);
	}
	dff_core_get_stats (fixture->core, &stats);
	assert_int_equal (stats.workers_quarantined, 1);
	fixture_worker_state (fixture->core, "w1", DFF_WORKER_UP);
	starts_at (fixture, 0);
}

/* Returns: the member on w0 of the last start to be recorded. */
static int
member_on_w0 (const struct fixture *fixture)
{
	const struct dff_name w0 = dff_name_from ("w0");
	for (guint i = 0; i < fixture->commands->len; i++) {
		const struct dff_command *command =
			&g_array_index (fixture->commands, struct dff_command, i);
		if (command->type != DFF_COMMAND_RECORD_START)
			continue;
		for (guint j = 0; j < command->placements->len; j++) {
			const struct dff_placement *placement =
				&g_array_index (command->placements, struct dff_placement, j);
			if (dff_name_equal (&placement->worker, &w0))
				return (int)j;
		}
	}
	fail_msg ("nothing starts on w0");
	return -1;
}

/* Guards against a gang that needs every worker waiting for ever: a worker fails two jobs and is
 * repaired, only the gang is queued, and no small job arrives to probe the worker. */
static void
test_worker_returns_without_probe (void **state)
{
	static const bool idempotent[] = {true, false};
	struct fixture *fixture = *state;
	int64_t end_ms = QUARANTINE_MS + PROBE_WAIT_MS;
	quarantine_w0 (fixture);
	submit (fixture, "g", 2, idempotent[0]);
	submit (fixture, "h", 2, idempotent[1]);
	assert_int_equal (starts_at (fixture, QUARANTINE_MS - 1), 0);
	assert_int_equal (starts_at (fixture, QUARANTINE_MS), 0);
	assert_int_equal (starts_at (fixture, end_ms - 1), 0);
	assert_true (dff_core_next_wake_ms (fixture->core) <= end_ms);
	assert_int_equal (starts_at (fixture, end_ms), 1);
}

/* Guards against a worker that fails everything getting one gang after the other: on trial one
 * failure is enough, and the time in quarantine doubles. */
static void
test_failure_on_trial_doubles_quarantine (void **state)
{
	struct fixture *fixture = *state;
	int64_t end_ms = QUARANTINE_MS + PROBE_WAIT_MS;
	quarantine_w0 (fixture);
	submit (fixture, "g", 2, true);
	starts_at (fixture, QUARANTINE_MS);
	assert_int_equal (starts_at (fixture, end_ms), 1);
	int failing = member_on_w0 (fixture);
	start (fixture, "g", 1, 2);
	report (fixture, DFF_EVENT_TASK_FAILED, "g", 1, failing);
	starts_at (fixture, end_ms);
	report (fixture, DFF_EVENT_TASK_STOPPED, "g", 1, 1 - failing);
	assert_int_equal (starts_at (fixture, end_ms + 2 * QUARANTINE_MS - 1), 0);
	int64_t probing_ms = end_ms + 2 * QUARANTINE_MS;
	assert_int_equal (starts_at (fixture, probing_ms), 0);
	assert_int_equal (starts_at (fixture, probing_ms + PROBE_WAIT_MS - 1), 0);
	assert_int_equal (starts_at (fixture, probing_ms + PROBE_WAIT_MS), 1);
}

/* Guards against a worker that fails everything getting as many non-idempotent jobs as fit when it
 * returns without a probe: on trial it gets one attempt at a time. */
static void
test_one_attempt_on_trial (void **state)
{
	struct fixture *fixture = *state;
	int64_t end_ms = QUARANTINE_MS + PROBE_WAIT_MS;
	quarantine_w0 (fixture);
	submit (fixture, "b1", 1, false);
	submit (fixture, "b2", 1, false);
	assert_int_equal (starts_at (fixture, 0), 2);
	starts_at (fixture, QUARANTINE_MS);
	submit (fixture, "s1", 1, false);
	submit (fixture, "s2", 1, false);
	assert_int_equal (starts_at (fixture, end_ms), 1);
	const struct dff_command *command =
		&g_array_index (fixture->commands, struct dff_command, 0);
	const struct dff_name first = command->job;
	start (fixture, first.data, 1, 1);
	assert_int_equal (starts_at (fixture, end_ms + 1000), 0);
	report (fixture, DFF_EVENT_TASK_COMPLETED, first.data, 1, 0);
	submit (fixture, "s3", 1, false);
	assert_int_equal (starts_at (fixture, end_ms + 2000), 2);
}

/* Guards against returning a worker to all work while its probe takes longer than the wait for a
 * probe. */
static void
test_long_probe (void **state)
{
	struct fixture *fixture = *state;
	int64_t end_ms = QUARANTINE_MS + PROBE_WAIT_MS;
	quarantine_w0 (fixture);
	starts_at (fixture, QUARANTINE_MS);
	submit (fixture, "p", 1, true);
	assert_int_equal (starts_at (fixture, QUARANTINE_MS), 1);
	assert_int_equal (member_on_w0 (fixture), 0);
	start (fixture, "p", 1, 1);
	struct dff_core_stats stats;
	starts_at (fixture, end_ms);
	dff_core_get_stats (fixture->core, &stats);
	assert_int_equal (stats.workers_quarantined, 1);
	assert_true (dff_core_next_wake_ms (fixture->core) > end_ms);
	report (fixture, DFF_EVENT_TASK_COMPLETED, "p", 1, 0);
	dff_core_get_stats (fixture->core, &stats);
	assert_int_equal (stats.workers_quarantined, 0);
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown (test_worker_returns_without_probe, setup,
						 teardown),
		cmocka_unit_test_setup_teardown (test_failure_on_trial_doubles_quarantine, setup,
						 teardown),
		cmocka_unit_test_setup_teardown (test_one_attempt_on_trial, setup, teardown),
		cmocka_unit_test_setup_teardown (test_long_probe, setup, teardown),
	};
	return cmocka_run_group_tests_name ("quarantine", tests, NULL, NULL);
}
