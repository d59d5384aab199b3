#include "core_fixture.h"

#include <string.h>

/* Jobs that get blame points for crashes of their workers. */

#define N_RACKS 2
#define PER_RACK 3
#define ACCELERATORS 8
#define BLAME_LIMIT 5
#define ISOLATION_BLAME 2
/** Time after a job's start at which it is no longer on trial, ms. */
#define TRIAL_PASSED_MS 2000

struct fixture {
	struct dff_core *core;
	struct dff_pool pool;
	GArray *commands;
	int64_t now_ms;
};

static void
begin (struct fixture *fixture, int32_t blame_limit)
{
	struct dff_core_options options;
	dff_core_options_init (&options);
	options.retry_without_limit = true;
	options.blame_limit = blame_limit;
	options.isolation_blame = ISOLATION_BLAME;
	*fixture = (struct fixture){
		.core = dff_core_new (&options),
		.commands = g_array_new (FALSE, TRUE, sizeof (struct dff_command)),
	};
	fixture_pool_init (&fixture->pool, N_RACKS, PER_RACK, ACCELERATORS);
	fixture_pool_add_team (&fixture->pool, "a", 0, 0);
	dff_core_set_pool (fixture->core, &fixture->pool, 0);
	for (int i = 0; i < N_RACKS * PER_RACK; i++) {
		g_autofree char *worker = g_strdup_printf ("w%d", i);
		fixture_worker_state (fixture->core, worker, DFF_WORKER_UP);
	}
}

static void
end (struct fixture *fixture)
{
	g_array_unref (fixture->commands);
	dff_core_free (fixture->core);
	fixture_pool_clear (&fixture->pool);
}

static void
submit (struct fixture *fixture, const char *id, int32_t gang, int32_t accelerators, int32_t blame)
{
	struct dff_job_spec spec = fixture_spec (id, gang, accelerators);
	spec.blame = blame;
	struct dff_event event = {.type = DFF_EVENT_JOB_SUBMITTED, .spec = &spec};
	dff_core_handle_event (fixture->core, &event, fixture->now_ms);
}

static void
send_event (struct fixture *fixture,
	    const char *id,
	    int32_t attempt,
	    int32_t member,
	    enum dff_event_type type)
{
	struct dff_event event = {
		.type = type, .job = dff_name_from (id), .attempt = attempt, .member = member};
	dff_core_handle_event (fixture->core, &event, fixture->now_ms);
}

static void
send_blame (struct fixture *fixture, const char *id, int32_t points)
{
	struct dff_event event = {
		.type = DFF_EVENT_JOB_BLAMED, .job = dff_name_from (id), .blame = points};
	dff_core_handle_event (fixture->core, &event, fixture->now_ms);
}

/* Ticks. Returns: (nullable): the first command of @type about the job. */
static const struct dff_command *
next_command (struct fixture *fixture, const char *id, enum dff_command_type type)
{
	dff_core_tick (fixture->core, fixture->now_ms, fixture->commands);
	for (guint i = 0; i < fixture->commands->len; i++) {
		const struct dff_command *command =
			&g_array_index (fixture->commands, struct dff_command, i);
		if (command->type == type && strcmp (command->job.data, id) == 0)
			return command;
	}
	return NULL;
}

/* Records the next attempt of a job and starts @n_started of its members. */
static void
start_attempt (struct fixture *fixture, const char *id, int32_t attempt, int32_t n_started)
{
	assert_non_null (next_command (fixture, id, DFF_COMMAND_RECORD_START));
	send_event (fixture, id, attempt, 0, DFF_EVENT_ATTEMPT_RECORDED);
	for (int32_t i = 0; i < n_started; i++)
		send_event (fixture, id, attempt, i, DFF_EVENT_TASK_STARTED);
}

/* A job is ended at the blame limit when its attempt ends, regardless of how many members of the
 * gang had started. */
static void
test_ended_at_blame_limit (void **state)
{
	(void)state;
	static const struct {
		int32_t limit;
		int32_t gang;
		int32_t n_started;
		int32_t blame;
		bool ends;
	} cases[] = {
		{BLAME_LIMIT, 1, 1, BLAME_LIMIT - 1, false}, {BLAME_LIMIT, 1, 1, BLAME_LIMIT, true},
		{BLAME_LIMIT, 1, 0, BLAME_LIMIT, true},      {BLAME_LIMIT, 2, 1, BLAME_LIMIT, true},
		{BLAME_LIMIT, 2, 2, BLAME_LIMIT + 1, true},  {0, 1, 1, BLAME_LIMIT, false},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct fixture fixture;
		begin (&fixture, cases[i].limit);
		submit (&fixture, "j", cases[i].gang, ACCELERATORS, 0);
		start_attempt (&fixture, "j", 1, cases[i].n_started);
		send_blame (&fixture, "j", cases[i].blame);
		for (int32_t j = 0; j < cases[i].gang; j++)
			send_event (&fixture, "j", 1, j, DFF_EVENT_TASK_LOST);
		const struct dff_command *outcome =
			next_command (&fixture, "j", DFF_COMMAND_RECORD_OUTCOME);
		assert_int_equal (outcome != NULL, cases[i].ends);
		if (outcome != NULL) {
			assert_int_equal (outcome->outcome, DFF_OUTCOME_FAILED);
			assert_string_equal (outcome->reason, "workers_crashed");
		}
		end (&fixture);
	}
}

/* Guards against starting a job once more after a takeover: the holder fails after the job's blame
 * is recorded and before its outcome is. */
static void
test_ended_after_takeover (void **state)
{
	(void)state;
	struct fixture fixture;
	begin (&fixture, BLAME_LIMIT);
	submit (&fixture, "j", 1, 1, BLAME_LIMIT);
	const struct dff_command *outcome =
		next_command (&fixture, "j", DFF_COMMAND_RECORD_OUTCOME);
	assert_non_null (outcome);
	assert_int_equal (outcome->outcome, DFF_OUTCOME_FAILED);
	end (&fixture);
}

static const char *
placed_on (struct fixture *fixture, const char *id)
{
	const struct dff_command *command = next_command (fixture, id, DFF_COMMAND_RECORD_START);
	return command != NULL
		       ? g_array_index (command->placements, struct dff_placement, 0).worker.data
		       : NULL;
}

/* Runs a job with @accelerators on each of the first @n_workers workers. */
static void
fill_workers (struct fixture *fixture, int32_t n_workers, int32_t accelerators)
{
	for (int32_t i = 0; i < n_workers; i++) {
		g_autofree char *id = g_strdup_printf ("full%d", i);
		submit (fixture, id, 1, accelerators, 0);
		start_attempt (fixture, id, 1, 1);
	}
}

/* A job in isolation is placed where least else runs, other jobs where most does. */
static void
test_isolated_placement (void **state)
{
	(void)state;
	static const struct {
		int32_t blame;
		bool alone;
	} cases[] = {{0, false}, {ISOLATION_BLAME - 1, false}, {ISOLATION_BLAME, true}};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct fixture fixture;
		begin (&fixture, BLAME_LIMIT);
		fill_workers (&fixture, 2, ACCELERATORS - 1);
		submit (&fixture, "j", 1, 1, cases[i].blame);
		const char *worker = placed_on (&fixture, "j");
		assert_non_null (worker);
		bool alone = strcmp (worker, "w0") != 0 && strcmp (worker, "w1") != 0;
		assert_int_equal (alone, cases[i].alone);
		end (&fixture);
	}
}

/* Two isolated jobs are not tried on one worker at the same time. */
static void
test_one_trial_per_worker (void **state)
{
	(void)state;
	struct fixture fixture;
	begin (&fixture, BLAME_LIMIT);
	g_autoptr (GHashTable) workers =
		g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
	for (int i = 0; i < N_RACKS * PER_RACK; i++) {
		g_autofree char *id = g_strdup_printf ("j%d", i);
		submit (&fixture, id, 1, 1, ISOLATION_BLAME);
		assert_true (g_hash_table_add (workers, g_strdup (placed_on (&fixture, id))));
	}
	submit (&fixture, "more", 1, 1, ISOLATION_BLAME);
	assert_null (placed_on (&fixture, "more"));
	/* The worker has survived the start of its first isolated job. */
	send_event (&fixture, "j0", 1, 0, DFF_EVENT_ATTEMPT_RECORDED);
	send_event (&fixture, "j0", 1, 0, DFF_EVENT_TASK_STARTED);
	fixture.now_ms = TRIAL_PASSED_MS;
	assert_non_null (placed_on (&fixture, "more"));
	end (&fixture);
}

static void
test_other_jobs_avoid_trial (void **state)
{
	(void)state;
	struct fixture fixture;
	begin (&fixture, BLAME_LIMIT);
	submit (&fixture, "tried", 1, 1, ISOLATION_BLAME);
	g_autofree char *tried_on = g_strdup (placed_on (&fixture, "tried"));
	for (int i = 0; i < N_RACKS * PER_RACK - 1; i++) {
		g_autofree char *id = g_strdup_printf ("j%d", i);
		submit (&fixture, id, 1, ACCELERATORS, 0);
		assert_string_not_equal (placed_on (&fixture, id), tried_on);
	}
	/* Where there is no other place, a worker with a trial is better than none. */
	submit (&fixture, "last", 1, 1, 0);
	assert_string_equal (placed_on (&fixture, "last"), tried_on);
	end (&fixture);
}

/* Blame points that are withdrawn do not count. */
static void
test_withdrawn_blame (void **state)
{
	(void)state;
	struct fixture fixture;
	begin (&fixture, BLAME_LIMIT);
	submit (&fixture, "j", 1, 1, 0);
	start_attempt (&fixture, "j", 1, 1);
	send_blame (&fixture, "j", BLAME_LIMIT);
	send_blame (&fixture, "j", BLAME_LIMIT - 1);
	send_event (&fixture, "j", 1, 0, DFF_EVENT_TASK_LOST);
	assert_non_null (next_command (&fixture, "j", DFF_COMMAND_RECORD_START));
	end (&fixture);
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_ended_at_blame_limit),
		cmocka_unit_test (test_ended_after_takeover),
		cmocka_unit_test (test_withdrawn_blame),
		cmocka_unit_test (test_isolated_placement),
		cmocka_unit_test (test_one_trial_per_worker),
		cmocka_unit_test (test_other_jobs_avoid_trial),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
