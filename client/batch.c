#include "client/batch.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "client/command.h"
#include "client/file.h"
#include "client/result.h"

#define POLL_MS 250

size_t
dff_batch_count_lines (struct dff_str lines)
{
	size_t count = 0;
	bool blank = true;
	for (size_t i = 0; i < lines.len; i++) {
		if (lines.data[i] == '\n')
			blank = true;
		else if (blank && !g_ascii_isspace (lines.data[i])) {
			blank = false;
			count++;
		}
	}
	return count;
}

struct count_member {
	const char *key;
	size_t offset;
};

#define COUNT(name)                                                                                \
	{                                                                                          \
#name, offsetof(struct dff_batch_counts, name)                                     \
	}

static const struct count_member count_members[] = {
	COUNT (manifest), COUNT (accepted), COUNT (completed), COUNT (failed), COUNT (cancelled),
	COUNT (not_run),  COUNT (unknown),  COUNT (running),   COUNT (queued),
};

bool
dff_batch_counts_parse (const json_t *answer, struct dff_batch_counts *counts)
{
	for (size_t i = 0; i < G_N_ELEMENTS (count_members); i++) {
		const json_t *value = json_object_get (answer, count_members[i].key);
		if (!json_is_integer (value))
			return false;
		*(int64_t *)((char *)counts + count_members[i].offset) = json_integer_value (value);
	}
	return true;
}

static int64_t
count_not_completed (const struct dff_batch_counts *counts)
{
	return counts->failed + counts->cancelled + counts->not_run + counts->unknown;
}

bool
dff_batch_counts_ended (const struct dff_batch_counts *counts)
{
	return counts->completed + count_not_completed (counts) >= counts->manifest;
}

static void
show_progress (const struct dff_batch_counts *counts)
{
	if (!isatty (STDERR_FILENO))
		return;
	fprintf (stderr,
		 "\r%" G_GINT64_FORMAT " of %" G_GINT64_FORMAT " completed, %" G_GINT64_FORMAT
		 " ended otherwise, %" G_GINT64_FORMAT " running, %" G_GINT64_FORMAT " queued  ",
		 counts->completed, counts->manifest, count_not_completed (counts), counts->running,
		 counts->queued);
	if (dff_batch_counts_ended (counts))
		fputc ('\n', stderr);
}

/* Returns: -1 while jobs have not ended, else the exit code. */
static int
poll_batch (struct dff_api_client *client, const char *path)
{
	struct dff_call_request request = {
		.method = EVHTTP_REQ_GET, .path = path, .idempotent = true};
	DFF_AUTO (dff_call_response) response = dff_call (client, &request);
	if (!dff_call_response_is_success (response))
		return dff_call_response_fail (response);
	struct dff_batch_counts counts;
	json_t *answer = dff_call_response_json (response);
	bool valid = dff_batch_counts_parse (answer, &counts);
	json_decref (answer);
	if (!valid) {
		fputs ("dragonflyfold: the answer is not a valid batch\n", stderr);
		return DFF_EXIT_FAILED;
	}
	show_progress (&counts);
	if (!dff_batch_counts_ended (&counts))
		return -1;
	return count_not_completed (&counts) > 0 ? DFF_EXIT_NOT_COMPLETED : DFF_EXIT_OK;
}

int
dff_batch_wait (struct dff_api_client *client, const struct dff_name *batch)
{
	g_autofree char *path = g_strconcat ("/v1/batches/", batch->data, NULL);
	do {
		int exit_code = poll_batch (client, path);
		if (exit_code >= 0)
			return exit_code;
		dff_api_client_sleep (client, POLL_MS);
	} while (dff_api_client_remaining_ms (client) > 0);
	fprintf (stderr, "dragonflyfold: batch %s has not ended before the timeout\n", batch->data);
	return DFF_EXIT_PENDING;
}

static bool
store_result (const struct dff_call_response *response,
	      const struct dff_name *job,
	      const char *directory,
	      json_t *line)
{
	struct dff_str bytes = {response->body->str, response->body->len};
	json_object_set_new (line, "length", json_integer ((json_int_t)bytes.len));
	if (directory != NULL) {
		g_autofree char *name = g_strconcat (job->data, ".result", NULL);
		g_autofree char *path = g_build_filename (directory, name, NULL);
		return dff_file_write (path, bytes);
	}
	g_autofree char *text = g_base64_encode ((const guchar *)bytes.data, bytes.len);
	json_object_set_new (line, "result_base64", json_string (text));
	return true;
}

static void
add_outcome (const struct dff_call_response *response, json_t *line)
{
	json_t *problem = dff_call_response_json (response);
	json_t *outcome = json_object_get (problem, "outcome");
	json_t *code = json_object_get (problem, "code");
	if (outcome != NULL)
		json_object_set (line, "outcome", outcome);
	if (code != NULL)
		json_object_set (line, "code", code);
	json_decref (problem);
}

static int
collect_result (struct dff_api_client *client,
		const struct dff_name *job,
		const char *directory,
		GString *lines)
{
	DFF_AUTO (dff_call_response) response = dff_result_fetch (client, job, true);
	int exit_code = response->digest_mismatch ? DFF_EXIT_FAILED
						  : dff_exit_code_for_status (response->status);
	json_t *line = json_pack ("{s:s}", "id", job->data);
	if (response->status == 200) {
		json_object_set_new (line, "outcome", json_string ("completed"));
		if (!store_result (response, job, directory, line))
			exit_code = DFF_EXIT_FAILED;
	} else {
		add_outcome (response, line);
	}
	if (response->status == 202)
		exit_code = DFF_EXIT_PENDING;
	if (response->digest_mismatch)
		json_object_set_new (line, "code", json_string ("damaged"));
	g_autofree char *text = json_dumps (line, JSON_COMPACT);
	g_string_append_printf (lines, "%s\n", text);
	json_decref (line);
	return exit_code;
}

int
dff_batch_collect (struct dff_api_client *client, const json_t *jobs, const char *directory)
{
	if (directory != NULL && g_mkdir_with_parents (directory, 0777) != 0) {
		fprintf (stderr, "dragonflyfold: %s: %s\n", directory, g_strerror (errno));
		return DFF_EXIT_FAILED;
	}
	g_autoptr (GString) lines = g_string_new (NULL);
	int exit_code = DFF_EXIT_OK;
	size_t index;
	json_t *id;
	json_array_foreach (jobs, index, id)
	{
		struct dff_name job;
		struct dff_str text = {json_string_value (id), json_string_length (id)};
		if (!dff_name_parse (text, &job)) {
			fputs ("dragonflyfold: the answer holds a malformed id\n", stderr);
			return DFF_EXIT_FAILED;
		}
		int result = collect_result (client, &job, directory, lines);
		if (exit_code == DFF_EXIT_OK || result == DFF_EXIT_FAILED)
			exit_code = result;
	}
	g_autofree char *path = directory != NULL
					? g_build_filename (directory, "outcomes.jsonl", NULL)
					: g_strdup ("-");
	bool written = dff_file_write (path, (struct dff_str){lines->str, lines->len});
	return written ? exit_code : DFF_EXIT_FAILED;
}
