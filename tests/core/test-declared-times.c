#include "core_fixture.h"

#include <string.h>

/* Declared run times that are far off, on one worker with one accelerator. Which job is placed next
 * shows the run times that the core expects. */

#define MINUTE_MS INT64_C (60000)
#define HOUR_MS (60 * MINUTE_MS)
/** Number of jobs after which the run times of a service are learned. */
#define LEARNING_JOBS 10

struct run {
	struct dff_core *core;
	struct dff_pool pool;
	GArray *commands;
	int64_t now_ms;
};

static void
begin (struct run *run)
{
	struct dff_core_options options;
	dff_core_options_init (&options);
	*run = (struct run){.core = dff_core_new (&options),
			    .commands = g_array_new (FALSE, TRUE, sizeof (struct dff_command))};
	fixture_pool_init (&run->pool, 1, 1, 1);
	fixture_pool_add_team (&run->pool, "a", 0, 0);
	dff_core_set_pool (run->core, &run->pool, 0);
	fixture_worker_state (run->core, "w0", DFF_WORKER_UP);
}

static void
end (struct run *run)
{
	dff_core_free (run->core);
	fixture_pool_clear (&run->pool);
	g_array_unref (run->commands);
}

static void
submit (struct run *run, const char *id, const char *service, int64_t declared_ms)
{
	struct dff_job_spec spec = fixture_spec (id, 1, 1);
	spec.service = dff_name_from (service);
	spec.declared_ms = declared_ms;
	struct dff_event event = {.type = DFF_EVENT_JOB_SUBMITTED, .spec = &spec};
	dff_core_handle_event (run->core, &event, run->now_ms);
}

static void
send_event (struct run *run, enum dff_event_type type, const char *id)
{
	struct dff_event event = {.type = type, .job = dff_name_from (id), .attempt = 1};
	dff_core_handle_event (run->core, &event, run->now_ms);
	dff_core_tick (run->core, run->now_ms, run->commands);
}

/** Returns: whether the last tick gave a command of @type for the job. */
static bool
was_commanded (const struct run *run, enum dff_command_type type, const char *id)
{
	for (guint i = 0; i < run->commands->len; i++) {
		const struct dff_command *command =
			&g_array_index (run->commands, struct dff_command, i);
		if (command->type == type && strcmp (command->job.data, id) == 0)
			return true;
	}
	return false;
}

/** Records and starts an attempt. */
static void
start (struct run *run, const char *id)
{
	send_event (run, DFF_EVENT_ATTEMPT_RECORDED, id);
	assert_true (was_commanded (run, DFF_COMMAND_START_TASK, id));
	send_event (run, DFF_EVENT_TASK_STARTED, id);
}

static void
run_to_end (struct run *run, const char *id, int64_t run_ms)
{
	start (run, id);
	run->now_ms += run_ms;
	send_event (run, DFF_EVENT_TASK_COMPLETED, id);
}

/** Queues two jobs behind a third; each declares what its service always declares. Returns: whether
 * the job of service "archive" is placed first. */
static bool
archive_goes_first (struct run *run)
{
	submit (run, "blocker", "other", MINUTE_MS);
	dff_core_tick (run->core, run->now_ms, run->commands);
	start (run, "blocker");
	submit (run, "archived", "archive", MINUTE_MS);
	submit (run, "drafted", "drafting", 10 * MINUTE_MS);
	run->now_ms += MINUTE_MS / 4;
	send_event (run, DFF_EVENT_TASK_COMPLETED, "blocker");
	bool first = was_commanded (run, DFF_COMMAND_RECORD_START, "archived");
	assert_int_not_equal (first, was_commanded (run, DFF_COMMAND_RECORD_START, "drafted"));
	return first;
}

static void
let_service_run (struct run *run, const char *service, int64_t declared_ms, int64_t actual_ms)
{
	for (int i = 0; i < LEARNING_JOBS; i++) {
		g_autofree char *id = g_strdup_printf ("%s-%d", service, i);
		submit (run, id, service, declared_ms);
		dff_core_tick (run->core, run->now_ms, run->commands);
		run_to_end (run, id, actual_ms);
		send_event (run, DFF_EVENT_OUTCOME_RECORDED, id);
	}
}

/* Guards against using declared times for ever: a service that declares a minute for jobs of two
 * hours would be placed before one whose ten minutes are true. */
static void
test_wrong_declared_times_are_corrected (void **state)
{
	(void)state;
	struct run run;
	begin (&run);
	assert_true (archive_goes_first (&run));
	end (&run);
	begin (&run);
	let_service_run (&run, "archive", MINUTE_MS, 2 * HOUR_MS);
	let_service_run (&run, "drafting", 10 * MINUTE_MS, 10 * MINUTE_MS);
	assert_false (archive_goes_first (&run));
	end (&run);
}

/* Guards against estimating the remaining time as the estimate less the time run, which is nothing
 * for a job that has outlived its estimate: a short job would wait behind a job with checkpoints
 * that declared a minute and has run for two hours. */
static void
test_overdue_job_is_preempted (void **state)
{
	(void)state;
	struct run run;
	begin (&run);
	submit (&run, "endless", "archive", MINUTE_MS);
	dff_core_tick (run.core, run.now_ms, run.commands);
	start (&run, "endless");
	run.now_ms += 2 * HOUR_MS;
	submit (&run, "short", "drafting", MINUTE_MS);
	bool checkpointed = false;
	for (int i = 0; i < 60 && !checkpointed; i++) {
		run.now_ms += 1000;
		dff_core_tick (run.core, run.now_ms, run.commands);
		checkpointed = was_commanded (&run, DFF_COMMAND_CHECKPOINT_TASK, "endless");
	}
	assert_true (checkpointed);
	end (&run);
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_wrong_declared_times_are_corrected),
		cmocka_unit_test (test_overdue_job_is_preempted),
	};
	return cmocka_run_group_tests_name ("core-declared-times", tests, NULL, NULL);
}
