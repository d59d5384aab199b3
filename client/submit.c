#include <stdio.h>
#include <string.h>

#include "client/batch.h"
#include "client/call.h"
#include "client/command.h"
#include "client/file.h"
#include "client/job_options.h"
#include "client/result.h"

/* Maximum number of the options below, including the end marker. */
#define SUBMIT_OPTIONS_MAX 16

static const char usage[] =
	"Usage: dragonflyfold submit [JOB OPTION...] [--file FILE] [--wait] [--output FILE]\n"
	"       dragonflyfold submit --batch FILE [--wait] [--output DIRECTORY]\n"
	"Submits one job, or a batch in JSON lines (- is standard input), and prints its id.\n"
	"  -f, --file FILE    the job as a JSON object; job options add to it\n"
	"  -B, --batch FILE   one job a line\n"
	"  -k, --key KEY      Idempotency-Key (default: a new one); repeating a key repeats the\n"
	"                     same submission\n"
	"  -w, --wait         wait for the end and fetch the whole results\n"
	"  -o, --output PATH  where results go (default: standard output)\n" DFF_CONNECTION_USAGE
	"Job options:\n" DFF_JOB_OPTIONS_USAGE;

static const struct option submit_options[] = {
	{"file", required_argument, NULL, 'f'},   {"batch", required_argument, NULL, 'B'},
	{"key", required_argument, NULL, 'k'},    {"wait", no_argument, NULL, 'w'},
	{"output", required_argument, NULL, 'o'}, DFF_CONNECTION_OPTIONS,
};

G_STATIC_ASSERT (G_N_ELEMENTS (submit_options) < SUBMIT_OPTIONS_MAX);

/* Parsed command line. */
struct submission {
	/* JSON object with the values of the job options. */
	json_t *job;
	bool has_job_options;
	const char *file;
	const char *batch;
	const char *output;
	const char *key;
	bool wait;
};

/* Every submission has a key, so that it can be repeated when its answer is lost. */
static char *
choose_key (const struct submission *submission)
{
	return submission->key != NULL ? g_strdup (submission->key) : g_uuid_string_random ();
}

static bool
read_id (const json_t *answer, const char *key, struct dff_name *name)
{
	const json_t *value = json_object_get (answer, key);
	struct dff_str text = {json_string_value (value), json_string_length (value)};
	if (dff_name_parse (text, name))
		return true;
	fputs ("dragonflyfold: the answer has no valid id\n", stderr);
	return false;
}

static int
finish_job (struct dff_api_client *client,
	    const struct submission *submission,
	    const json_t *answer)
{
	struct dff_name job;
	if (!read_id (answer, "id", &job))
		return DFF_EXIT_FAILED;
	if (!submission->wait) {
		puts (job.data);
		return DFF_EXIT_OK;
	}
	fprintf (stderr, "job %s\n", job.data);
	DFF_AUTO (dff_call_response) response = dff_result_fetch (client, &job, true);
	if (response->status != 200)
		return dff_result_report (response, &job);
	struct dff_str bytes = {response->body->str, response->body->len};
	const char *output = submission->output != NULL ? submission->output : "-";
	return dff_file_write (output, bytes) ? DFF_EXIT_OK : DFF_EXIT_FAILED;
}

static int
finish_batch (struct dff_api_client *client,
	      const struct submission *submission,
	      const json_t *answer)
{
	struct dff_name batch;
	if (!read_id (answer, "batch", &batch))
		return DFF_EXIT_FAILED;
	if (!submission->wait) {
		puts (batch.data);
		return DFF_EXIT_OK;
	}
	fprintf (stderr, "batch %s\n", batch.data);
	int exit_code = dff_batch_wait (client, &batch);
	if (exit_code != DFF_EXIT_OK && exit_code != DFF_EXIT_NOT_COMPLETED)
		return exit_code;
	int collected =
		dff_batch_collect (client, json_object_get (answer, "jobs"), submission->output);
	return collected != DFF_EXIT_OK ? collected : exit_code;
}

static int
post (struct dff_api_client *client,
      const struct submission *submission,
      struct dff_str body,
      const char *batch_count)
{
	g_autofree char *key = choose_key (submission);
	struct dff_call_request request = {
		.method = EVHTTP_REQ_POST,
		.path = "/v1/jobs",
		.body = body,
		.content_type = batch_count != NULL ? "application/jsonl" : "application/json",
		.batch_count = batch_count,
		.idempotency_key = key,
		.key_is_new = submission->key == NULL,
		.idempotent = true,
	};
	DFF_AUTO (dff_call_response) response = dff_call (client, &request);
	if (!dff_call_response_is_success (response)) {
		/* Submitting with the same key again shows whether the request took effect. */
		if (response->uncertain)
			fprintf (stderr, "dragonflyfold: submit again with --key %s\n", key);
		return dff_call_response_fail (response);
	}
	json_t *answer = dff_call_response_json (response);
	int exit_code = batch_count != NULL ? finish_batch (client, submission, answer)
					    : finish_job (client, submission, answer);
	json_decref (answer);
	return exit_code;
}

static int
submit_batch (const struct dff_connection *connection, const struct submission *submission)
{
	g_autoptr (GString) file = dff_file_read (submission->batch);
	if (file == NULL)
		return DFF_EXIT_FAILED;
	struct dff_str body = {file->str, file->len};
	g_autofree char *count = g_strdup_printf ("%zu", dff_batch_count_lines (body));
	DFF_AUTO (dff_api_client) client = dff_api_client_new (connection);
	return post (client, submission, body, count);
}

/* Returns: (nullable): the job of the file, whose members the command line overrides. */
static json_t *
merge_job (const struct submission *submission)
{
	if (submission->file == NULL)
		return json_incref (submission->job);
	g_autoptr (GString) file = dff_file_read (submission->file);
	if (file == NULL)
		return NULL;
	json_error_t fault;
	json_t *job = json_loadb (file->str, file->len, JSON_REJECT_DUPLICATES, &fault);
	if (json_is_object (job)) {
		json_object_update (job, submission->job);
		return job;
	}
	fprintf (stderr, "dragonflyfold: %s:%d: %s\n", submission->file, MAX (fault.line, 1),
		 job == NULL ? fault.text : "expected an object");
	json_decref (job);
	return NULL;
}

static int
submit_job (const struct dff_connection *connection, const struct submission *submission)
{
	json_t *job = merge_job (submission);
	if (job == NULL)
		return DFF_EXIT_REFUSED;
	g_autofree char *text = json_dumps (job, JSON_COMPACT);
	json_decref (job);
	DFF_AUTO (dff_api_client) client = dff_api_client_new (connection);
	return post (client, submission, dff_str_from (text), NULL);
}

static bool
handle_option (struct submission *submission,
	       struct dff_connection *connection,
	       int option,
	       int *exit_code)
{
	*exit_code = DFF_EXIT_USAGE;
	if (dff_job_option_is (option)) {
		submission->has_job_options = true;
		return dff_job_option_set (submission->job, option, optarg);
	}
	switch (option) {
	case 'f':
		submission->file = optarg;
		return true;
	case 'B':
		submission->batch = optarg;
		return true;
	case 'k':
		submission->key = optarg;
		return true;
	case 'o':
		submission->output = optarg;
		return true;
	case 'w':
		submission->wait = true;
		return true;
	default:
		return dff_connection_handle_option (connection, option, usage, exit_code);
	}
}

static int
run (struct submission *submission, int argc, char **argv)
{
	struct option options[SUBMIT_OPTIONS_MAX + DFF_JOB_OPTIONS_MAX + 1] = {0};
	memcpy (options, submit_options, sizeof (submit_options));
	dff_job_options_append (options + G_N_ELEMENTS (submit_options));
	DFF_AUTO (dff_connection) connection = dff_connection_new ();
	int option;
	int exit_code = DFF_EXIT_OK;
	while ((option = getopt_long (argc, argv, DFF_CONNECTION_SHORT_OPTIONS "f:B:k:o:w", options,
				      NULL)) != -1) {
		if (!handle_option (submission, connection, option, &exit_code))
			return exit_code;
	}
	bool is_single_job = submission->file != NULL || submission->has_job_options;
	if (optind != argc || is_single_job == (submission->batch != NULL))
		return dff_usage_fail ("submit", "expected a job, or --batch FILE");
	if (!dff_connection_complete (connection))
		return DFF_EXIT_USAGE;
	return is_single_job ? submit_job (connection, submission)
			     : submit_batch (connection, submission);
}

int
dff_command_submit (int argc, char **argv)
{
	struct submission submission = {.job = json_object ()};
	int exit_code = run (&submission, argc, argv);
	json_decref (submission.job);
	return exit_code;
}
