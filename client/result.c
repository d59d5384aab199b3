#include "client/result.h"

#include <stdio.h>

#include "client/command.h"
#include "client/file.h"

#define LONG_POLL_MS 15000
#define LONG_POLL_MARGIN_MS 5000
#define POLL_MS 200

static const char usage[] = "Usage: dragonflyfold result ID [--wait] [--output FILE]\n"
			    "Fetches the whole result of a job, checked against its digest.\n"
			    "  -w, --wait         wait for the job to end, until --timeout\n"
			    "  -o, --output FILE  write the result there instead of to standard "
			    "output\n" DFF_CONNECTION_USAGE;

static const struct option options[] = {
	{"output", required_argument, NULL, 'o'},
	{"wait", no_argument, NULL, 'w'},
	DFF_CONNECTION_OPTIONS,
	{NULL, 0, NULL, 0},
};

static struct dff_call_response *
fetch_once (struct dff_api_client *client, const struct dff_name *job, int64_t wait_ms)
{
	g_autofree char *path = g_strdup_printf ("/v1/jobs/%s/result?wait_ms=%" G_GINT64_FORMAT,
						 job->data, wait_ms);
	struct dff_call_request request = {
		.method = EVHTTP_REQ_GET,
		.path = path,
		.idempotent = true,
		.answer_timeout_ms = (int32_t)wait_ms + LONG_POLL_MARGIN_MS,
	};
	return dff_call (client, &request);
}

struct dff_call_response *
dff_result_fetch (struct dff_api_client *client, const struct dff_name *job, bool wait)
{
	for (;;) {
		int64_t remaining_ms = dff_api_client_remaining_ms (client);
		int64_t wait_ms = wait ? MIN (LONG_POLL_MS, remaining_ms / 2) : 0;
		struct dff_call_response *response = fetch_once (client, job, wait_ms);
		if (response->status == 200 && !dff_call_response_matches_digest (response)) {
			response->status = 0;
			response->digest_mismatch = true;
		}
		if (response->status != 202 || !wait || remaining_ms <= POLL_MS)
			return response;
		dff_call_response_free (response);
		dff_api_client_sleep (client, POLL_MS);
	}
}

int
dff_result_report (const struct dff_call_response *response, const struct dff_name *job)
{
	if (response->status == 200)
		return DFF_EXIT_OK;
	if (response->digest_mismatch) {
		fprintf (stderr, "dragonflyfold: %s: the result does not have its digest\n",
			 job->data);
		return DFF_EXIT_FAILED;
	}
	if (response->status != 202)
		return dff_call_response_fail (response);
	fprintf (stderr, "dragonflyfold: %s has not ended\n", job->data);
	return DFF_EXIT_PENDING;
}

int
dff_command_result (int argc, char **argv)
{
	DFF_AUTO (dff_connection) connection = dff_connection_new ();
	const char *output = "-";
	bool wait = false;
	int option;
	int exit_code = DFF_EXIT_OK;
	while ((option = getopt_long (argc, argv, DFF_CONNECTION_SHORT_OPTIONS "o:w", options,
				      NULL)) != -1) {
		if (option == 'w')
			wait = true;
		else if (option == 'o')
			output = optarg;
		else if (!dff_connection_handle_option (connection, option, usage, &exit_code))
			return exit_code;
	}
	struct dff_name job;
	if (optind + 1 != argc || !dff_name_parse (dff_str_from (argv[optind]), &job))
		return dff_usage_fail ("result", "expected one ID");
	if (!dff_connection_complete (connection))
		return DFF_EXIT_USAGE;
	DFF_AUTO (dff_api_client) client = dff_api_client_new (connection);
	DFF_AUTO (dff_call_response) response = dff_result_fetch (client, &job, wait);
	if (response->status != 200)
		return dff_result_report (response, &job);
	struct dff_str bytes = {response->body->str, response->body->len};
	return dff_file_write (output, bytes) ? DFF_EXIT_OK : DFF_EXIT_FAILED;
}
