#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "harness.h"

/*
 * Runs the sessions in tests/entry/golden/ and compares the output with the files. Lines that begin
 * with '<' (a response) and '=' (a fact) are output; all others are the script:
 *
 *   > METHOD PATH WORDS     a request; WORDS: whose token, "b": to the second process,
 *                           "bg:NAME": the response is printed later
 *   > HEADER: VALUE         another header of the request
 *   > | TEXT                a line of its body
 *   ! COMMAND ARGUMENTS     see run_command()
 *
 * "! save NAME" saves the id (of a job, batch or request) in the last response; $NAME is replaced
 * by it.
 *
 * With UPDATE_GOLDEN=1 the files are rewritten.
 */

#define GOLDEN_DIR "tests/entry/golden"

struct session {
	struct harness *harness;
	GString *out;
	/** The request that is being read from the script; NULL: none. */
	GString *head;
	GString *body;
	int process;
	char *background;
	/** Name -> struct harness_client *. */
	GHashTable *clients;
	int32_t n_run_seen;
	/** Id in the last response. */
	char *last_id;
	/** Name -> value. */
	GHashTable *variables;
};

static void
keep_id (struct session *session, const char *response)
{
	g_autoptr (GRegex) id = g_regex_new (
		"(?:\\{\"id\":\"|\"batch\":\"|Request-Id: )([A-Za-z0-9._-]+)", 0, 0, NULL);
	g_autoptr (GMatchInfo) match = NULL;
	if (!g_regex_match (id, response, 0, &match))
		return;
	g_free (session->last_id);
	session->last_id = g_match_info_fetch (match, 1);
}

static char *
substitute (const struct session *session, const char *line)
{
	GHashTableIter iter;
	gpointer name, value;
	g_autoptr (GString) text = g_string_new (line);
	g_hash_table_iter_init (&iter, session->variables);
	while (g_hash_table_iter_next (&iter, &name, &value))
		g_string_replace (text, name, value, 0);
	return g_strdup (text->str);
}

static void
save_id (struct session *session, const char *name)
{
	assert_non_null (session->last_id);
	g_hash_table_insert (session->variables, g_strconcat ("$", name, NULL),
			     g_strdup (session->last_id));
}

static void
save_operator_digest (struct session *session)
{
	char *digest = g_compute_checksum_for_string (G_CHECKSUM_SHA256, "operator-token", -1);
	g_hash_table_insert (session->variables, g_strdup ("$operator-digest"), digest);
}

static void
print_body (struct session *session, const char *body)
{
	g_autoptr (GRegex) times = g_regex_new ("(\"[a-z_]+_ms\"):[0-9]+", 0, 0, NULL);
	g_autofree char *text = g_regex_replace (times, body, -1, 0, "\\1:N", 0, NULL);
	g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
	for (char **line = lines; *line != NULL; line++) {
		if (**line != '\0')
			g_string_append_printf (session->out, "< | %s\n", *line);
	}
}

static bool
is_printed_header (const char *line)
{
	static const char *const names[] = {
		"Content-Type:", "Retry-After:", "ETag:",    "Location:",
		"Request-Id:",   "Digest:",      "Outcome:", "WWW-Authenticate:"};
	for (size_t i = 0; i < G_N_ELEMENTS (names); i++) {
		if (g_str_has_prefix (line, names[i]))
			return true;
	}
	return false;
}

static void
print_response (struct session *session, struct harness_client *client)
{
	if (!harness_client_wait (client)) {
		g_string_append (session->out, "< closed\n");
		return;
	}
	keep_id (session, client->received->str);
	g_auto (GStrv) parts = g_strsplit (client->received->str, "\r\n\r\n", 2);
	g_auto (GStrv) lines = g_strsplit (parts[0], "\r\n", -1);
	g_string_append_printf (session->out, "< %d\n", harness_client_status (client));
	for (char **line = lines + 1; *line != NULL; line++) {
		if (is_printed_header (*line))
			g_string_append_printf (session->out, "< %s\n", *line);
	}
	print_body (session, parts[1]);
}

static void
finish_request (struct session *session)
{
	if (session->head == NULL)
		return;
	struct harness_client *client = harness_connect (session->harness, session->process);
	if (session->body->len > 0)
		g_string_append_printf (session->head, "Content-Length: %zu\r\n",
					session->body->len);
	g_string_append (session->head, "\r\n");
	harness_client_send (client, session->head->str, session->head->len);
	harness_client_send (client, session->body->str, session->body->len);
	g_string_free (session->head, TRUE);
	g_string_free (session->body, TRUE);
	session->head = NULL;
	if (session->background != NULL) {
		g_hash_table_insert (session->clients, session->background, client);
		session->background = NULL;
		harness_run (session->harness, 30);
		return;
	}
	print_response (session, client);
	harness_client_free (client);
}

static void
begin_request (struct session *session, const char *line)
{
	g_auto (GStrv) words = g_strsplit (line, " ", -1);
	session->head = g_string_new (NULL);
	session->body = g_string_new (NULL);
	session->process = 0;
	g_string_printf (session->head, "%s %s HTTP/1.1\r\nHost: entry\r\n", words[0], words[1]);
	for (char **word = words + 2; *word != NULL; word++) {
		if (g_str_equal (*word, "b"))
			session->process = 1;
		else if (g_str_has_prefix (*word, "bg:"))
			session->background = g_strdup (*word + 3);
		else
			g_string_append_printf (session->head, "Authorization: Bearer %s-token\r\n",
						*word);
	}
}

static void
read_request_line (struct session *session, const char *line)
{
	if (session->head == NULL)
		begin_request (session, line);
	else if (g_str_has_prefix (line, "| "))
		g_string_append_printf (session->body, "%s\n", line + 2);
	else
		g_string_append_printf (session->head, "%s\r\n", line);
}

static void
set_store (struct session *session, char **words)
{
	for (int i = 0; i < HARNESS_PROCESSES; i++) {
		struct dff_memory_handle *platform = session->harness->processes[i].platform;
		struct dff_memory_faults *faults = &platform->faults;
		if (session->harness->processes[i].entry == NULL)
			continue;
		if (g_str_equal (words[1], "up"))
			memset (faults, 0, sizeof (*faults));
		else if (g_str_equal (words[1], "down"))
			faults->outage_until_ms = DFF_MEMORY_FOREVER;
		else if (g_str_equal (words[1], "silent"))
			faults->silent_until_ms = DFF_MEMORY_FOREVER;
		else if (g_str_equal (words[1], "loses-answers"))
			faults->lose_answers = atoi (words[2]);
		else
			fail_msg ("store %s", words[1]);
	}
}

static void
set_worker (struct session *session, char **words)
{
	struct harness_answer answer = {.outcome = DFF_WORKER_OK, .status = 200};
	if (g_str_equal (words[1], "unsent"))
		answer.outcome = DFF_WORKER_UNSENT;
	else if (g_str_equal (words[1], "refuses"))
		answer.outcome = DFF_WORKER_REFUSED;
	else if (g_str_equal (words[1], "dies"))
		answer.outcome = DFF_WORKER_UNCERTAIN;
	else if (g_str_equal (words[1], "holds"))
		answer.held = true;
	else if (g_str_equal (words[1], "says-leaving"))
		answer.leaving = true;
	else
		answer.status = atoi (words[1]);
	answer.body = words[2] == NULL ? "{}" : words[2];
	harness_next_answer (session->harness, &answer);
}

static void
end_job (struct session *session, char **words)
{
	enum dff_outcome outcome;
	struct dff_name job = dff_name_from (words[1]);
	assert_true (dff_outcome_parse (dff_str_from (words[2]), &outcome));
	harness_end_job (session->harness, &job, outcome, words[3]);
}

static void
print_row (struct session *session, const char *key)
{
	struct dff_table_row row;
	if (!dff_memory_peek (session->harness->memory, dff_str_from (key), &row)) {
		g_string_append (session->out, "= no row\n");
		return;
	}
	g_autoptr (GString) value = g_string_new ("= ");
	g_string_append_len (value, row.value.data, (gssize)row.value.len);
	g_autoptr (GRegex) times = g_regex_new ("(\"[a-z_]+_ms\"):[0-9]+", 0, 0, NULL);
	g_autofree char *text = g_regex_replace (times, value->str, -1, 0, "\\1:N", 0, NULL);
	g_string_append_printf (session->out, "%s\n", text);
}

static void
print_background_response (struct session *session, const char *name)
{
	struct harness_client *client = g_hash_table_lookup (session->clients, name);
	assert_non_null (client);
	print_response (session, client);
	g_hash_table_remove (session->clients, name);
}

static void
print_run (struct session *session)
{
	int32_t n_run = session->harness->n_run - session->n_run_seen;
	session->n_run_seen = session->harness->n_run;
	g_string_append_printf (session->out, "= ran %d\n", n_run);
}

static void
print_drained (struct session *session, int process)
{
	const struct dff_entry *entry = session->harness->processes[process].entry;
	g_string_append_printf (session->out, "= %s\n",
				dff_entry_is_drained (entry) ? "drained" : "not drained");
}

static void
run_command (struct session *session, const char *line)
{
	struct harness *harness = session->harness;
	g_auto (GStrv) words = g_strsplit (line, " ", 4);
	const char *command = words[0];
	if (g_str_equal (command, "pool"))
		harness_set_pool (harness);
	else if (g_str_equal (command, "advance"))
		harness_run (harness, atoi (words[1]));
	else if (g_str_equal (command, "grants"))
		harness_grant (harness, atoi (words[1]), atoi (words[2]));
	else if (g_str_equal (command, "store"))
		set_store (session, words);
	else if (g_str_equal (command, "worker"))
		set_worker (session, words);
	else if (g_str_equal (command, "release"))
		harness_release (harness, atoi (words[1]), words[2]);
	else if (g_str_equal (command, "listed-leaving"))
		harness_set_listed_leaving (harness, words[1]);
	else if (g_str_equal (command, "end"))
		end_job (session, words);
	else if (g_str_equal (command, "skip-part"))
		harness->missing_chunk_offset = atoi (words[1]);
	else if (g_str_equal (command, "object"))
		harness_put_object (harness, words[1], words[2]);
	else if (g_str_equal (command, "save"))
		save_id (session, words[1]);
	else if (g_str_equal (command, "row"))
		print_row (session, words[1]);
	else if (g_str_equal (command, "answer"))
		print_background_response (session, words[1]);
	else if (g_str_equal (command, "hang-up"))
		g_hash_table_remove (session->clients, words[1]);
	else if (g_str_equal (command, "ran"))
		print_run (session);
	else if (g_str_equal (command, "kill"))
		harness_kill (harness, words[1][0] - 'a');
	else if (g_str_equal (command, "leave"))
		dff_entry_set_leaving (harness->processes[words[1][0] - 'a'].entry);
	else if (g_str_equal (command, "drain"))
		dff_entry_drain (harness->processes[words[1][0] - 'a'].entry);
	else if (g_str_equal (command, "drained"))
		print_drained (session, words[1][0] - 'a');
	else if (g_str_equal (command, "isolated"))
		dff_entry_set_isolated (harness->processes[words[1][0] - 'a'].entry, true);
	else
		fail_msg ("no such command: %s", line);
}

static void
run_line (struct session *session, const char *line)
{
	if (line[0] == '<' || line[0] == '=')
		return;
	if (line[0] != '>')
		finish_request (session);
	g_string_append_printf (session->out, "%s\n", line);
	g_autofree char *text = substitute (session, line);
	if (g_str_has_prefix (text, "> "))
		read_request_line (session, text + 2);
	else if (g_str_has_prefix (text, "! "))
		run_command (session, text + 2);
}

static void
free_client (gpointer client)
{
	harness_client_free (client);
}

static GString *
run_session (const char *script)
{
	struct session session = {.harness = harness_new (), .out = g_string_new (NULL)};
	session.clients = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_client);
	session.variables = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
	save_operator_digest (&session);
	g_auto (GStrv) lines = g_strsplit (script, "\n", -1);
	guint n_lines = g_strv_length (lines);
	for (guint i = 0; i + 1 < n_lines; i++)
		run_line (&session, lines[i]);
	finish_request (&session);
	g_hash_table_destroy (session.clients);
	g_hash_table_destroy (session.variables);
	g_free (session.last_id);
	harness_free (session.harness);
	return session.out;
}

static void
test_session (void **state)
{
	const char *name = *state;
	g_autofree char *path = g_build_filename (GOLDEN_DIR, name, NULL);
	g_autofree char *script = NULL;
	assert_true (g_file_get_contents (path, &script, NULL, NULL));
	g_autoptr (GString) out = run_session (script);
	if (getenv ("UPDATE_GOLDEN") != NULL)
		assert_true (g_file_set_contents (path, out->str, (gssize)out->len, NULL));
	else
		assert_string_equal (out->str, script);
}

static int
compare_names (gconstpointer a, gconstpointer b)
{
	return strcmp (*(const char *const *)a, *(const char *const *)b);
}

static GPtrArray *
session_names (void)
{
	GPtrArray *names = g_ptr_array_new_with_free_func (g_free);
	g_autoptr (GDir) dir = g_dir_open (GOLDEN_DIR, 0, NULL);
	const char *name;
	while (dir != NULL && (name = g_dir_read_name (dir)) != NULL) {
		if (g_str_has_suffix (name, ".txt"))
			g_ptr_array_add (names, g_strdup (name));
	}
	g_ptr_array_sort (names, compare_names);
	return names;
}

int
main (void)
{
	signal (SIGPIPE, SIG_IGN);
	g_autoptr (GPtrArray) names = session_names ();
	g_autofree struct CMUnitTest *tests = g_new0 (struct CMUnitTest, names->len);
	for (guint i = 0; i < names->len; i++) {
		tests[i].name = names->pdata[i];
		tests[i].test_func = test_session;
		tests[i].initial_state = names->pdata[i];
	}
	if (names->len == 0)
		return 1;
	return _cmocka_run_group_tests ("sessions", tests, names->len, NULL, NULL);
}
