#include "core_fixture.h"

/* Tasks on a worker that leaves: a task that ends in time continues, any other is stopped at
 * once. */

struct run {
	struct dff_core *core;
	GArray *commands;
	int64_t now_ms;
};

static void
send_event (struct run *run, const struct dff_event *event)
{
	dff_core_handle_event (run->core, event, run->now_ms);
}

static void
answer (struct run *run, const struct dff_command *command)
{
	struct dff_event event = {
		.job = command->job, .attempt = command->attempt, .member = command->member};
	switch (command->type) {
	case DFF_COMMAND_RECORD_START:
		event.type = DFF_EVENT_ATTEMPT_RECORDED;
		break;
	case DFF_COMMAND_START_TASK:
		event.type = DFF_EVENT_TASK_STARTED;
		break;
	case DFF_COMMAND_CHECKPOINT_TASK:
		event.type = DFF_EVENT_TASK_CHECKPOINTED;
		break;
	default:
		return;
	}
	send_event (run, &event);
}

/* Returns: number of tasks that the core stops because a worker leaves. */
static int
tick_and_answer (struct run *run)
{
	int n_stops = 0;
	for (int i = 0; i < 6; i++) {
		dff_core_tick (run->core, run->now_ms, run->commands);
		g_autoptr (GArray) commands = g_array_copy (run->commands);
		for (guint j = 0; j < commands->len; j++) {
			const struct dff_command *command =
				&g_array_index (commands, struct dff_command, j);
			answer (run, command);
			if (command->type != DFF_COMMAND_STOP_TASK)
				continue;
			assert_string_equal (command->reason, "worker_leaving");
			n_stops++;
		}
	}
	return n_stops;
}

static void
run_open (struct run *run, const struct dff_job_spec *spec)
{
	*run = (struct run){.now_ms = 1000};
	struct dff_core_options options;
	dff_core_options_init (&options);
	run->core = dff_core_new (&options);
	run->commands = g_array_new (FALSE, TRUE, sizeof (struct dff_command));
	struct dff_pool pool;
	fixture_pool_init (&pool, 1, 2, 8);
	fixture_pool_add_team (&pool, "a", 0, 0);
	dff_core_set_pool (run->core, &pool, run->now_ms);
	fixture_pool_clear (&pool);
	fixture_worker_state (run->core, "w0", DFF_WORKER_UP);
	fixture_worker_state (run->core, "w1", DFF_WORKER_UP);
	struct dff_event event = {.type = DFF_EVENT_JOB_SUBMITTED, .spec = spec};
	send_event (run, &event);
	assert_int_equal (tick_and_answer (run), 0);
}

static void
run_close (struct run *run)
{
	g_array_unref (run->commands);
	dff_core_free (run->core);
}

/* Both workers leave, so that it does not matter which one runs the job. */
static void
leave (struct run *run, int64_t leaves_in_ms)
{
	static const char *const workers[] = {"w0", "w1"};
	for (size_t i = 0; i < G_N_ELEMENTS (workers); i++) {
		struct dff_event event = {.type = DFF_EVENT_WORKER_STATE,
					  .worker = dff_name_from (workers[i]),
					  .worker_state = DFF_WORKER_LEAVING,
					  .leaves_in_ms = leaves_in_ms};
		send_event (run, &event);
	}
}

static void
test_preemption_at_notice (void **state)
{
	(void)state;
	static const struct {
		int64_t declared_ms;
		int64_t leaves_in_ms;
		int32_t gang;
		/** Progress reported 500 ms after the start, when the worker reports that it
		 * leaves; 0: none. */
		int32_t percent;
		int stops;
		bool checkpoint;
	} cases[] = {
		{60000, 1800, 1, 0, 1, false},
		{60000, 1800, 1, 0, 1, true},
		/* All members of a gang, once each. */
		{60000, 1800, 2, 0, 2, false},
		/* 500 ms remain. */
		{60000, 1800, 1, 50, 0, false},
		{60000, 1800, 1, 50, 0, true},
		{60000, 1800, 2, 50, 0, false},
		/* 4.5 s remain. */
		{1000, 1800, 1, 10, 1, false},
		{60000, 7000, 1, 10, 0, false},
		/* The time until the worker leaves is not known. */
		{60000, 0, 1, 0, 0, false},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct run run;
		struct dff_job_spec spec = fixture_spec ("job", cases[i].gang, 1);
		spec.checkpoint = cases[i].checkpoint;
		spec.declared_ms = cases[i].declared_ms;
		run_open (&run, &spec);
		run.now_ms += 500;
		struct dff_event progress = {.type = DFF_EVENT_TASK_PROGRESS,
					     .job = spec.id,
					     .attempt = 1,
					     .percent = cases[i].percent};
		if (cases[i].percent > 0)
			send_event (&run, &progress);
		leave (&run, cases[i].leaves_in_ms);
		assert_int_equal (tick_and_answer (&run), cases[i].stops);
		run_close (&run);
	}
}

/* Guards against losing a task with a worker that reported in time that it leaves: the task
 * declares less than it takes, so it has to be evaluated again when progress is reported, not only
 * at the notice. */
static void
test_preemption_by_progress (void **state)
{
	(void)state;
	struct run run;
	struct dff_job_spec spec = fixture_spec ("job", 1, 1);
	spec.declared_ms = 1000;
	run_open (&run, &spec);
	leave (&run, 7000);
	assert_int_equal (tick_and_answer (&run), 0);
	run.now_ms += 3000;
	struct dff_event progress = {
		.type = DFF_EVENT_TASK_PROGRESS, .job = spec.id, .attempt = 1, .percent = 10};
	send_event (&run, &progress);
	assert_int_equal (tick_and_answer (&run), 1);
	run_close (&run);
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_preemption_at_notice),
		cmocka_unit_test (test_preemption_by_progress),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
