#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>
#include <glib.h>

#include "client/command.h"

#define GOLDEN_DIR "tests/client/golden/"
#define DATA "tests/client/data/"
#define MAX_ARGS 16

/* When set, the golden files are rewritten; their changes are then reviewed. */
#define WRITE_VARIABLE "DFF_WRITE_GOLDEN"

struct line_case {
	/* Name of the golden file, which holds exit code, standard output and standard error. */
	const char *golden;
	const char *line;
};

static const struct line_case line_cases[] = {
	{"apply-without-base", "apply pool.json"},
	{"apply-bad-base", "apply pool.json --base -1"},
	{"apply-no-server", "apply pool.json --base 0"},
	{"cancel-two-subjects", "cancel j1 --team a"},
	{"cancel-unknown-option", "cancel --all"},
	{"check-help", "check --help"},
	{"check-settings-ok", "check --settings " DATA "settings-ok.json"},
	{"check-settings-faults", "check --settings " DATA "settings-faults.json"},
	{"check-missing-file", "check --settings " DATA "none.json"},
	{"check-pool-faults", "check --pool " DATA "pool-faults.json"},
	{"check-nothing", "check"},
	{"drain-two-servers", "drain -s 127.0.0.1:1 -s 127.0.0.1:2"},
	{"drain-unreachable", "drain -s 127.0.0.1:1 --timeout 0"},
	{"keygen-unknown", "keygen certificate"},
	{"result-malformed-id", "result a/b -s 127.0.0.1:1"},
	{"status-unknown-topic", "status weather -s 127.0.0.1:1"},
	{"status-batch-without-id", "status batches -s 127.0.0.1:1"},
	{"submit-nothing", "submit -s 127.0.0.1:1"},
	{"submit-bad-number", "submit --gang two"},
	{"submit-bad-adjacent", "submit --adjacent=near"},
	{"submit-bad-payload", "submit --payload {"},
	{"submit-bad-timeout", "submit --gang 1 --timeout soon"},
	{"trace-tree", "trace j1 --file " DATA "spans-1.jsonl --file " DATA "spans-2.jsonl"},
	{"trace-unknown", "trace j9 --file " DATA "spans-1.jsonl"},
};

/* Redirects a stream of this process to a file while a command runs. */
struct capture {
	FILE *stream;
	FILE *file;
	int saved;
};

static void
capture_begin (struct capture *capture, FILE *stream)
{
	fflush (stream);
	capture->stream = stream;
	capture->file = tmpfile ();
	capture->saved = dup (fileno (stream));
	dup2 (fileno (capture->file), fileno (stream));
}

static void
capture_end (struct capture *capture, const char *name, GString *out)
{
	fflush (capture->stream);
	dup2 (capture->saved, fileno (capture->stream));
	close (capture->saved);
	rewind (capture->file);
	g_string_append_printf (out, "--- %s\n", name);
	int byte;
	while ((byte = fgetc (capture->file)) != EOF)
		g_string_append_c (out, (char)byte);
	fclose (capture->file);
}

static GString *
run_line (const char *line)
{
	g_auto (GStrv) args = g_strsplit (line, " ", MAX_ARGS);
	const struct dff_cli_command *command = dff_cli_command_find (args[0]);
	assert_non_null (command);
	struct capture out;
	struct capture err;
	capture_begin (&out, stdout);
	capture_begin (&err, stderr);
	extern int optind;
	optind = 0;
	int exit_code = command->run ((int)g_strv_length (args), args);
	GString *text = g_string_new (NULL);
	g_string_printf (text, "exit %d\n", exit_code);
	capture_end (&out, "standard output", text);
	capture_end (&err, "standard error", text);
	return text;
}

static void
test_golden_lines (void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS (line_cases); i++) {
		g_autoptr (GString) text = run_line (line_cases[i].line);
		g_autofree char *path =
			g_strconcat (GOLDEN_DIR, line_cases[i].golden, ".txt", NULL);
		if (g_getenv (WRITE_VARIABLE) != NULL)
			g_file_set_contents (path, text->str, (gssize)text->len, NULL);
		g_autofree char *golden = NULL;
		assert_true (g_file_get_contents (path, &golden, NULL, NULL));
		assert_string_equal (text->str, golden);
	}
}

static void
test_every_command_has_help (void **state)
{
	(void)state;
	size_t n_commands;
	const struct dff_cli_command *commands = dff_cli_commands (&n_commands);
	for (size_t i = 0; i < n_commands; i++) {
		if (i > 0)
			assert_true (strcmp (commands[i - 1].name, commands[i].name) < 0);
		g_autofree char *line = g_strconcat (commands[i].name, " --help", NULL);
		g_autofree char *start =
			g_strconcat ("exit 0\n--- standard output\nUsage: dragonflyfold ",
				     commands[i].name, NULL);
		g_autoptr (GString) text = run_line (line);
		assert_true (g_str_has_prefix (text->str, start));
	}
	assert_null (dff_cli_command_find ("none"));
}

/* Guards against an option of a command that is missing from the completion file. */
static void
test_completion_lists_every_option (void **state)
{
	(void)state;
	g_autofree char *completion = NULL;
	assert_true (
		g_file_get_contents ("completions/dragonflyfold.bash", &completion, NULL, NULL));
	g_autoptr (GRegex) regex = g_regex_new ("--[a-z][a-z-]*", 0, 0, NULL);
	size_t n_commands;
	const struct dff_cli_command *commands = dff_cli_commands (&n_commands);
	for (size_t i = 0; i < n_commands; i++) {
		g_autofree char *line = g_strconcat (commands[i].name, " --help", NULL);
		g_autoptr (GString) help = run_line (line);
		g_autoptr (GMatchInfo) match = NULL;
		assert_non_null (strstr (completion, commands[i].name));
		g_regex_match (regex, help->str, 0, &match);
		for (; g_match_info_matches (match); g_match_info_next (match, NULL)) {
			g_autofree char *option = g_match_info_fetch (match, 0);
			if (strstr (completion, option) == NULL)
				fail_msg ("%s: %s", commands[i].name, option);
		}
	}
}

int
main (void)
{
	g_unsetenv ("DRAGONFLYFOLD_SERVER");
	g_unsetenv ("DRAGONFLYFOLD_TOKEN");
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_golden_lines),
		cmocka_unit_test (test_every_command_has_help),
		cmocka_unit_test (test_completion_lists_every_option),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
