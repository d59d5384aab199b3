#include "core_fixture.h"

/* Scripts of one job on one rack of two workers. Each step is an event, or the commands that the
 * next tick must give, one letter each. */

enum step_kind {
	DFF_STEP_END,
	DFF_STEP_EVENT,
	DFF_STEP_EXPECT,
	DFF_STEP_OUTCOME,
	DFF_STEP_WAIT,
	DFF_STEP_WORKER_DOWN,
};

struct step {
	enum step_kind kind;
	enum dff_event_type event;
	int member;
	bool ran;
	/** One letter for each command: R(ecord start) S(tart) G(o) C(heckpoint) T(stop) E(nd)
	 * Y(retry). */
	const char *commands;
	enum dff_outcome outcome;
	int wait_ms;
};

struct script {
	const char *name;
	int gang;
	bool idempotent;
	struct step steps[16];
};

#define EVENT(type, index)                                                                         \
	{                                                                                          \
		.kind = DFF_STEP_EVENT, .event = DFF_EVENT_##type, .member = (index)               \
	}
#define EXPECT(letters)                                                                            \
	{                                                                                          \
		.kind = DFF_STEP_EXPECT, .commands = (letters)                                     \
	}
#define OUTCOME(name)                                                                              \
	{                                                                                          \
		.kind = DFF_STEP_OUTCOME, .outcome = DFF_OUTCOME_##name                            \
	}
#define STOPPED(index, did_run)                                                                    \
	{                                                                                          \
		.kind = DFF_STEP_EVENT, .event = DFF_EVENT_TASK_STOPPED, .member = (index),        \
		.ran = (did_run)                                                                   \
	}

static const struct script scripts[] = {
	{.name = "one task completes",
	 .gang = 1,
	 .steps = {EXPECT ("R"), EVENT (ATTEMPT_RECORDED, 0), EXPECT ("S"), EVENT (TASK_STARTED, 0),
		   EXPECT (""), EVENT (TASK_COMPLETED, 0), OUTCOME (COMPLETED)}},
	{.name = "a gang is released only when every member is held",
	 .gang = 2,
	 .steps = {EXPECT ("R"), EVENT (ATTEMPT_RECORDED, 0), EXPECT ("SS"),
		   EVENT (TASK_STARTED, 1), EXPECT (""), EVENT (TASK_STARTED, 0), EXPECT ("GG"),
		   EVENT (TASK_COMPLETED, 0), EXPECT (""), EVENT (TASK_COMPLETED, 1),
		   OUTCOME (COMPLETED)}},
	/* Guards against part of a gang running alone: one member starts and the other is refused,
	 * so the held member has to be stopped. */
	{.name = "a gang with a refused member is stopped and placed again",
	 .gang = 2,
	 .steps = {EXPECT ("R"),
		   EVENT (ATTEMPT_RECORDED, 0),
		   EXPECT ("SS"),
		   EVENT (TASK_STARTED, 1),
		   EVENT (TASK_START_FAILED, 0),
		   EXPECT ("T"),
		   STOPPED (1, false),
		   EXPECT ("Y"),
		   {.kind = DFF_STEP_WAIT, .wait_ms = 1000},
		   EXPECT ("R")}},
	/* Guards against running non-idempotent work twice, such as drafting a letter: a task lost
	 * with its worker may have run. */
	{.name = "a lost non-idempotent task is unknown",
	 .gang = 1,
	 .steps = {EXPECT ("R"), EVENT (ATTEMPT_RECORDED, 0), EXPECT ("S"), EVENT (TASK_STARTED, 0),
		   EVENT (TASK_LOST, 0), OUTCOME (UNKNOWN)}},
	/* As above: the answer to the start is lost, then the worker is. */
	{.name = "a non-idempotent task lost before its answer is unknown",
	 .gang = 1,
	 .steps = {EXPECT ("R"), EVENT (ATTEMPT_RECORDED, 0), EXPECT ("S"), EVENT (TASK_LOST, 0),
		   OUTCOME (UNKNOWN)}},
	{.name = "a held non-idempotent gang that is lost has not run",
	 .gang = 2,
	 .steps = {EXPECT ("R"), EVENT (ATTEMPT_RECORDED, 0), EXPECT ("SS"),
		   EVENT (TASK_STARTED, 0), EVENT (TASK_LOST, 0), EXPECT ("T"), STOPPED (1, false),
		   EXPECT ("Y")}},
	{.name = "a lost idempotent task is retried at once",
	 .gang = 1,
	 .idempotent = true,
	 .steps = {EXPECT ("R"), EVENT (ATTEMPT_RECORDED, 0), EXPECT ("S"), EVENT (TASK_STARTED, 0),
		   EVENT (TASK_LOST, 0), EXPECT ("YR")}},
	{.name = "a start without answer is stopped and retried",
	 .gang = 1,
	 .steps = {EXPECT ("R"),
		   EVENT (ATTEMPT_RECORDED, 0),
		   EXPECT ("S"),
		   {.kind = DFF_STEP_WAIT, .wait_ms = 15000},
		   EXPECT ("T"),
		   STOPPED (0, false),
		   EXPECT ("Y")}},
	{.name = "a refused record backs off",
	 .gang = 1,
	 .steps = {EXPECT ("R"),
		   EVENT (ATTEMPT_REFUSED, 0),
		   EXPECT (""),
		   {.kind = DFF_STEP_WAIT, .wait_ms = 250},
		   EXPECT ("R")}},
	{.name = "cancelled while queued for its record",
	 .gang = 1,
	 .steps = {EXPECT ("R"), EVENT (JOB_CANCELLED, 0), EXPECT (""), EVENT (ATTEMPT_RECORDED, 0),
		   OUTCOME (CANCELLED)}},
	{.name = "cancelled while it runs",
	 .gang = 2,
	 .steps = {EXPECT ("R"), EVENT (ATTEMPT_RECORDED, 0), EXPECT ("SS"),
		   EVENT (TASK_STARTED, 0), EVENT (TASK_STARTED, 1), EXPECT ("GG"),
		   EVENT (JOB_CANCELLED, 0), EXPECT ("TT"), STOPPED (0, true), STOPPED (1, true),
		   OUTCOME (CANCELLED)}},
	{.name = "a cancellation that comes too late",
	 .gang = 1,
	 .steps = {EXPECT ("R"), EVENT (ATTEMPT_RECORDED, 0), EXPECT ("S"), EVENT (TASK_STARTED, 0),
		   EVENT (JOB_CANCELLED, 0), EXPECT ("T"), EVENT (TASK_COMPLETED, 0),
		   OUTCOME (COMPLETED)}},
	{.name = "a stop that is not answered is sent again",
	 .gang = 1,
	 .steps = {EXPECT ("R"),
		   EVENT (ATTEMPT_RECORDED, 0),
		   EXPECT ("S"),
		   EVENT (JOB_CANCELLED, 0),
		   EXPECT ("T"),
		   {.kind = DFF_STEP_WAIT, .wait_ms = 5000},
		   EXPECT ("T")}},
	/* Guards against a start sent to a worker that went down between the decision and its
	 * record: the placement has to be checked again. */
	{.name = "a worker that went away before the start",
	 .gang = 2,
	 .steps = {EXPECT ("R"),
		   {.kind = DFF_STEP_WORKER_DOWN},
		   EVENT (ATTEMPT_RECORDED, 0),
		   EXPECT ("Y")}},
	/* Guards against starting a gang once more than its attempts allow: one member fails while
	 * the start of another has no answer, and the gang looks as if it were still held. */
	{.name = "a failed member that reports that it ran has run, held or not",
	 .gang = 2,
	 .steps = {EXPECT ("R"),
		   EVENT (ATTEMPT_RECORDED, 0),
		   EXPECT ("SS"),
		   EVENT (TASK_STARTED, 1),
		   {.kind = DFF_STEP_EVENT,
		    .event = DFF_EVENT_TASK_FAILED,
		    .member = 1,
		    .ran = true},
		   EXPECT ("T"),
		   STOPPED (0, false),
		   OUTCOME (FAILED)}},
	{.name = "a failed non-idempotent task is not tried again",
	 .gang = 1,
	 .steps = {EXPECT ("R"), EVENT (ATTEMPT_RECORDED, 0), EXPECT ("S"), EVENT (TASK_STARTED, 0),
		   EVENT (TASK_FAILED, 0), OUTCOME (FAILED)}},
};

static char
command_letter (enum dff_command_type type)
{
	static const char letters[] = {
		[DFF_COMMAND_RECORD_START] = 'R', [DFF_COMMAND_START_TASK] = 'S',
		[DFF_COMMAND_RELEASE_TASK] = 'G', [DFF_COMMAND_CHECKPOINT_TASK] = 'C',
		[DFF_COMMAND_STOP_TASK] = 'T',    [DFF_COMMAND_RECORD_OUTCOME] = 'E',
		[DFF_COMMAND_RECORD_RETRY] = 'Y',
	};
	return letters[type];
}

struct run {
	struct dff_core *core;
	int64_t now_ms;
	int32_t attempt;
	GArray *commands;
};

static void
expect_commands (struct run *run, const struct script *script, const char *letters)
{
	dff_core_tick (run->core, run->now_ms, run->commands);
	g_autoptr (GString) seen = g_string_new (NULL);
	for (guint i = 0; i < run->commands->len; i++) {
		const struct dff_command *command =
			&g_array_index (run->commands, struct dff_command, i);
		g_string_append_c (seen, command_letter (command->type));
		run->attempt = command->attempt;
	}
	if (g_strcmp0 (seen->str, letters) != 0)
		fail_msg ("%s: expected \"%s\", got \"%s\"", script->name, letters, seen->str);
}

static void
expect_outcome (struct run *run, const struct script *script, enum dff_outcome outcome)
{
	expect_commands (run, script, "E");
	const struct dff_command *command = &g_array_index (run->commands, struct dff_command, 0);
	if (command->outcome != outcome)
		fail_msg ("%s: ended as %s", script->name, dff_outcome_name (command->outcome));
	struct dff_event recorded = {.type = DFF_EVENT_OUTCOME_RECORDED,
				     .job = command->job,
				     .attempt = command->attempt};
	dff_core_handle_event (run->core, &recorded, run->now_ms);
	assert_int_equal (dff_core_job_phase (run->core, &recorded.job), DFF_JOB_PHASE_UNKNOWN);
}

static void
run_step (struct run *run, const struct script *script, const struct step *step)
{
	struct dff_event event = {.type = step->event,
				  .job = dff_name_from ("j"),
				  .attempt = run->attempt,
				  .member = step->member,
				  .ran = step->ran};
	switch (step->kind) {
	case DFF_STEP_EVENT:
		dff_core_handle_event (run->core, &event, run->now_ms);
		break;
	case DFF_STEP_EXPECT:
		expect_commands (run, script, step->commands);
		break;
	case DFF_STEP_OUTCOME:
		expect_outcome (run, script, step->outcome);
		break;
	case DFF_STEP_WAIT:
		run->now_ms += step->wait_ms;
		break;
	case DFF_STEP_WORKER_DOWN:
		fixture_worker_state (run->core, "w0", DFF_WORKER_DOWN);
		fixture_worker_state (run->core, "w1", DFF_WORKER_DOWN);
		break;
	default:
		break;
	}
	g_autofree char *broken = dff_core_check (run->core);
	if (broken != NULL)
		fail_msg ("%s: %s", script->name, broken);
}

static void
run_script (const struct script *script)
{
	struct dff_core_options options;
	dff_core_options_init (&options);
	DFF_AUTO (dff_core) core = dff_core_new (&options);
	struct dff_pool pool;
	fixture_pool_init (&pool, 1, 2, 8);
	fixture_pool_add_team (&pool, "a", 0, 0);
	dff_core_set_pool (core, &pool, 0);
	fixture_worker_state (core, "w0", DFF_WORKER_UP);
	fixture_worker_state (core, "w1", DFF_WORKER_UP);
	struct dff_job_spec spec = fixture_spec ("j", script->gang, 8);
	spec.idempotent = script->idempotent;
	struct dff_event submitted = {.type = DFF_EVENT_JOB_SUBMITTED, .spec = &spec};
	dff_core_handle_event (core, &submitted, 0);
	g_autoptr (GArray) commands = g_array_new (FALSE, TRUE, sizeof (struct dff_command));
	struct run run = {.core = core, .commands = commands};
	for (const struct step *step = script->steps; step->kind != DFF_STEP_END; step++)
		run_step (&run, script, step);
	fixture_pool_clear (&pool);
}

static void
test_scripts (void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS (scripts); i++)
		run_script (&scripts[i]);
}

static void
test_outcome_names (void **state)
{
	(void)state;
	for (int i = DFF_OUTCOME_NONE; i <= DFF_OUTCOME_UNKNOWN; i++) {
		enum dff_outcome parsed;
		const char *name = dff_outcome_name ((enum dff_outcome)i);
		assert_true (dff_outcome_parse (dff_str_from (name), &parsed));
		assert_int_equal (parsed, i);
	}
	enum dff_outcome none;
	assert_false (dff_outcome_parse (dff_str_from ("finished"), &none));
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_scripts),
		cmocka_unit_test (test_outcome_names),
	};
	return cmocka_run_group_tests_name ("core-lifecycle", tests, NULL, NULL);
}
