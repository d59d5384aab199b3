#include "core_fixture.h"

#include <jansson.h>
#include <string.h>

/* Golden sessions: lines of events in, the core's commands out, compared as whole files. Workers
 * and store answer every command after a constant time, so that a session file contains external
 * events only. With DFF_GOLDEN_WRITE set the expected files are rewritten, for review. */

#define ANSWER_MS 100
#define GOLDEN_DIR "tests/core/golden"

struct session {
	struct dff_core *core;
	struct dff_pool pool;
	int64_t now_ms;
	/** Pending answers, in order of time. Elements: struct answer. */
	GArray *answers;
	GString *out;
};

struct answer {
	int64_t at_ms;
	struct dff_event event;
};

static const char *const command_names[] = {
	[DFF_COMMAND_RECORD_START] = "record_start",
	[DFF_COMMAND_START_TASK] = "start",
	[DFF_COMMAND_RELEASE_TASK] = "release",
	[DFF_COMMAND_CHECKPOINT_TASK] = "checkpoint",
	[DFF_COMMAND_STOP_TASK] = "stop",
	[DFF_COMMAND_RECORD_OUTCOME] = "record_end",
	[DFF_COMMAND_RECORD_RETRY] = "record_retry",
};

static const enum dff_event_type answer_types[] = {
	[DFF_COMMAND_RECORD_START] = DFF_EVENT_ATTEMPT_RECORDED,
	[DFF_COMMAND_START_TASK] = DFF_EVENT_TASK_STARTED,
	[DFF_COMMAND_CHECKPOINT_TASK] = DFF_EVENT_TASK_CHECKPOINTED,
	[DFF_COMMAND_STOP_TASK] = DFF_EVENT_TASK_STOPPED,
	[DFF_COMMAND_RECORD_OUTCOME] = DFF_EVENT_OUTCOME_RECORDED,
};

static void
print_command (struct session *session, const struct dff_command *command)
{
	g_string_append_printf (
		session->out,
		"{\"t\":%" G_GINT64_FORMAT ",\"command\":\"%s\",\"job\":\"%s\",\"attempt\":%d",
		session->now_ms, command_names[command->type], command->job.data, command->attempt);
	for (guint i = 0; command->placements != NULL && i < command->placements->len; i++) {
		const struct dff_placement *placement =
			&g_array_index (command->placements, struct dff_placement, i);
		g_string_append_printf (session->out, "%s\"%s:%" G_GINT64_MODIFIER "x\"",
					i == 0 ? ",\"placements\":[" : ",", placement->worker.data,
					placement->accelerators);
	}
	if (command->placements != NULL)
		g_string_append (session->out, "]");
	else if (command->type != DFF_COMMAND_RECORD_RETRY &&
		 command->type != DFF_COMMAND_RECORD_OUTCOME)
		g_string_append_printf (session->out, ",\"member\":%d", command->member);
	if (command->type == DFF_COMMAND_RECORD_OUTCOME)
		g_string_append_printf (session->out, ",\"outcome\":\"%s\",\"reason\":\"%s\"",
					dff_outcome_name (command->outcome), command->reason);
	g_string_append (session->out, "}\n");
}

static void
answer (struct session *session, const struct dff_command *command)
{
	if (command->type == DFF_COMMAND_RELEASE_TASK || command->type == DFF_COMMAND_RECORD_RETRY)
		return;
	struct answer answer = {.at_ms = session->now_ms + ANSWER_MS,
				.event = {.type = answer_types[command->type],
					  .job = command->job,
					  .attempt = command->attempt,
					  .member = command->member,
					  .ran = true}};
	g_array_append_val (session->answers, answer);
}

static void
tick (struct session *session, GArray *commands)
{
	dff_core_tick (session->core, session->now_ms, commands);
	for (guint i = 0; i < commands->len; i++) {
		const struct dff_command *command =
			&g_array_index (commands, struct dff_command, i);
		print_command (session, command);
		answer (session, command);
	}
	g_autofree char *broken = dff_core_check (session->core);
	if (broken != NULL)
		fail_msg ("%s", broken);
}

static void
run_until (struct session *session, int64_t until_ms, GArray *commands)
{
	for (;;) {
		int64_t next_ms = dff_core_next_wake_ms (session->core);
		if (session->answers->len > 0)
			next_ms = MIN (next_ms,
				       g_array_index (session->answers, struct answer, 0).at_ms);
		if (next_ms >= until_ms)
			return;
		session->now_ms = MAX (session->now_ms, next_ms);
		while (session->answers->len > 0) {
			struct answer first = g_array_index (session->answers, struct answer, 0);
			if (first.at_ms > session->now_ms)
				break;
			g_array_remove_index (session->answers, 0);
			dff_core_handle_event (session->core, &first.event, session->now_ms);
		}
		tick (session, commands);
	}
}

static int
integer (const json_t *line, const char *key, int absent)
{
	const json_t *value = json_object_get (line, key);
	return value != NULL ? (int)json_integer_value (value) : absent;
}

static bool
flag (const json_t *line, const char *key, bool absent)
{
	const json_t *value = json_object_get (line, key);
	return value != NULL ? json_is_true (value) : absent;
}

static struct dff_name
name (const json_t *line, const char *key)
{
	const char *text = json_string_value (json_object_get (line, key));
	return text != NULL ? dff_name_from (text) : (struct dff_name){0};
}

static void
apply_submit (struct session *session, const json_t *line)
{
	struct dff_job_spec spec =
		fixture_spec (json_string_value (json_object_get (line, "id")),
			      integer (line, "gang", 1), integer (line, "accelerators", 1));
	spec.team = name (line, "team");
	spec.urgent = flag (line, "urgent", false);
	spec.guaranteed = flag (line, "guaranteed", false);
	spec.idempotent = flag (line, "idempotent", true);
	spec.checkpoint = flag (line, "checkpoint", true);
	spec.declared_ms = integer (line, "declared_ms", 60000);
	struct dff_event event = {.type = DFF_EVENT_JOB_SUBMITTED, .spec = &spec};
	dff_core_handle_event (session->core, &event, session->now_ms);
}

struct named_event {
	const char *name;
	enum dff_event_type type;
	enum dff_worker_state state;
};

static const struct named_event named_events[] = {
	{"cancel", DFF_EVENT_JOB_CANCELLED, DFF_WORKER_DOWN},
	{"completed", DFF_EVENT_TASK_COMPLETED, DFF_WORKER_DOWN},
	{"failed", DFF_EVENT_TASK_FAILED, DFF_WORKER_DOWN},
	{"lost", DFF_EVENT_TASK_LOST, DFF_WORKER_DOWN},
	{"worker_down", DFF_EVENT_WORKER_STATE, DFF_WORKER_DOWN},
	{"worker_up", DFF_EVENT_WORKER_STATE, DFF_WORKER_UP},
	{"worker_leaving", DFF_EVENT_WORKER_STATE, DFF_WORKER_LEAVING},
};

static void
apply_line (struct session *session, const json_t *line)
{
	const char *kind = json_string_value (json_object_get (line, "event"));
	if (g_strcmp0 (kind, "submit") == 0) {
		apply_submit (session, line);
		return;
	}
	for (size_t i = 0; i < G_N_ELEMENTS (named_events); i++) {
		if (g_strcmp0 (kind, named_events[i].name) != 0)
			continue;
		struct dff_event event = {.type = named_events[i].type,
					  .job = name (line, "id"),
					  .attempt = integer (line, "attempt", 1),
					  .member = integer (line, "member", 0),
					  .worker = name (line, "worker"),
					  .worker_state = named_events[i].state};
		dff_core_handle_event (session->core, &event, session->now_ms);
		return;
	}
	fail_msg ("unknown event: %s", kind);
}

/* Two racks of two workers with four accelerators each. Team a is guaranteed a whole rack, team b
 * nothing. */
static void
session_init (struct session *session)
{
	struct dff_core_options options;
	dff_core_options_init (&options);
	*session = (struct session){.core = dff_core_new (&options),
				    .answers = g_array_new (FALSE, TRUE, sizeof (struct answer)),
				    .out = g_string_new (NULL)};
	fixture_pool_init (&session->pool, 2, 2, 4);
	fixture_pool_add_team (&session->pool, "a", 1, 8);
	fixture_pool_add_team (&session->pool, "b", 0, 0);
	dff_core_set_pool (session->core, &session->pool, 0);
	for (int i = 0; i < 4; i++) {
		g_autofree char *worker = g_strdup_printf ("w%d", i);
		fixture_worker_state (session->core, worker, DFF_WORKER_UP);
	}
}

static void
run_lines (struct session *session, char *const *lines)
{
	g_autoptr (GArray) commands = g_array_new (FALSE, TRUE, sizeof (struct dff_command));
	for (; *lines != NULL && **lines != '\0'; lines++) {
		json_error_t error;
		json_t *line = json_loads (*lines, 0, &error);
		if (line == NULL)
			fail_msg ("%s", error.text);
		int64_t at_ms = integer (line, "t", 0);
		run_until (session, at_ms, commands);
		session->now_ms = at_ms;
		apply_line (session, line);
		json_decref (line);
		tick (session, commands);
	}
	run_until (session, session->now_ms + 60000, commands);
}

static void
run_file (const char *case_name)
{
	g_autofree char *input = g_strdup_printf (GOLDEN_DIR "/%s.events.jsonl", case_name);
	g_autofree char *golden = g_strdup_printf (GOLDEN_DIR "/%s.commands.jsonl", case_name);
	g_autofree char *text = NULL;
	g_autofree char *expected = NULL;
	assert_true (g_file_get_contents (input, &text, NULL, NULL));
	g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
	struct session session;
	session_init (&session);
	run_lines (&session, lines);
	if (g_getenv ("DFF_GOLDEN_WRITE") != NULL)
		g_file_set_contents (golden, session.out->str, -1, NULL);
	assert_true (g_file_get_contents (golden, &expected, NULL, NULL));
	assert_string_equal (session.out->str, expected);
	dff_core_free (session.core);
	fixture_pool_clear (&session.pool);
	g_array_unref (session.answers);
	g_string_free (session.out, TRUE);
}

static void
test_sessions (void **state)
{
	static const char *const cases[] = {"reclaim",    "urgent",         "gang-loses-member",
					    "quarantine", "guarantee-kept", "cancel-wave"};
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
		run_file (cases[i]);
}

int
main (void)
{
	const struct CMUnitTest tests[] = {cmocka_unit_test (test_sessions)};
	return cmocka_run_group_tests_name ("core-golden", tests, NULL, NULL);
}
