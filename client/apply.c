#include <stdio.h>

#include "client/call.h"
#include "client/command.h"
#include "client/file.h"
#include "client/pool_progress.h"

#define POLL_MS 100

static const char usage[] =
	"Usage: dragonflyfold apply FILE --base GENERATION [--wait]\n"
	"Puts a whole pool file in force, if GENERATION is the one in force now (0: none yet).\n"
	"  -b, --base GENERATION  generation that the file was written against\n"
	"  -w, --wait             wait until every live process has it in "
	"force\n" DFF_CONNECTION_USAGE;

static const struct option options[] = {
	{"base", required_argument, NULL, 'b'},
	{"wait", no_argument, NULL, 'w'},
	DFF_CONNECTION_OPTIONS,
	{NULL, 0, NULL, 0},
};

static const char bootstrap_ended[] = "dragonflyfold: the bootstrap token expires with the first "
				      "pool; to wait, apply again with an "
				      "operator's token\n";

static bool
parse_generation (const char *text, int64_t *generation)
{
	guint64 value;
	if (!g_ascii_string_to_unsigned (text, 10, 0, G_MAXINT64, &value, NULL)) {
		fprintf (stderr, "dragonflyfold: --base '%s': expected a generation\n", text);
		return false;
	}
	*generation = (int64_t)value;
	return true;
}

static int
put_pool (struct dff_api_client *client, struct dff_str file, int64_t base, int64_t *generation)
{
	g_autofree char *if_match = g_strdup_printf ("\"%" G_GINT64_FORMAT "\"", base);
	/* Applying the same file to the same base twice has one effect, so the request may be
	 * repeated when its answer is lost. */
	struct dff_call_request request = {
		.method = EVHTTP_REQ_PUT,
		.path = "/v1/pool",
		.body = file,
		.content_type = "application/json",
		.if_match = if_match,
		.idempotent = true,
	};
	DFF_AUTO (dff_call_response) response = dff_call (client, &request);
	if (!dff_call_response_is_success (response))
		return dff_call_response_fail (response);
	json_t *answer = dff_call_response_json (response);
	*generation = json_integer_value (json_object_get (answer, "generation"));
	json_decref (answer);
	return DFF_EXIT_OK;
}

/* Queries every server once. Returns: (nullable): the last answer without success. */
static struct dff_call_response *
query_all_servers (struct dff_api_client *client, struct dff_pool_progress *progress)
{
	struct dff_call_request request = {
		.method = EVHTTP_REQ_GET, .path = "/v1/status", .no_retry = true};
	struct dff_call_response *failure = NULL;
	for (guint i = 0; i < dff_api_client_n_servers (client); i++) {
		request.only_server = i + 1;
		struct dff_call_response *response = dff_call (client, &request);
		if (dff_call_response_is_success (response)) {
			json_t *status = dff_call_response_json (response);
			dff_pool_progress_add_status (progress, status);
			json_decref (status);
			dff_call_response_free (response);
			continue;
		}
		/* An unreachable server is not counted; if it is live, another server reports it.
		 */
		if (response->status != 0)
			dff_pool_progress_add_refusal (progress);
		dff_call_response_free (failure);
		failure = response;
	}
	return failure;
}

static int
wait_until_applied (struct dff_api_client *client, int64_t generation)
{
	do {
		DFF_AUTO (dff_pool_progress) progress = dff_pool_progress_new (generation);
		DFF_AUTO (dff_call_response) failure = query_all_servers (client, progress);
		guint n_live = dff_pool_progress_n_live (progress);
		if (n_live == 0 && failure != NULL && failure->status == 401) {
			fputs (bootstrap_ended, stderr);
			return dff_call_response_fail (failure);
		}
		if (n_live > 0 && dff_pool_progress_n_behind (progress) == 0) {
			printf ("in force on %u processes\n", n_live);
			return DFF_EXIT_OK;
		}
		dff_api_client_sleep (client, POLL_MS);
	} while (dff_api_client_remaining_ms (client) > 0);
	fputs ("dragonflyfold: not in force on every live process before the timeout\n", stderr);
	return DFF_EXIT_PENDING;
}

static int
apply (const struct dff_connection *connection, const char *path, int64_t base, bool wait)
{
	g_autoptr (GString) file = dff_file_read (path);
	if (file == NULL)
		return DFF_EXIT_FAILED;
	DFF_AUTO (dff_api_client) client = dff_api_client_new (connection);
	int64_t generation = 0;
	int exit_code =
		put_pool (client, (struct dff_str){file->str, file->len}, base, &generation);
	if (exit_code != DFF_EXIT_OK)
		return exit_code;
	printf ("generation %" G_GINT64_FORMAT "\n", generation);
	return wait ? wait_until_applied (client, generation) : DFF_EXIT_OK;
}

int
dff_command_apply (int argc, char **argv)
{
	DFF_AUTO (dff_connection) connection = dff_connection_new ();
	int64_t base = -1;
	bool wait = false;
	int option;
	int exit_code = DFF_EXIT_OK;
	while ((option = getopt_long (argc, argv, DFF_CONNECTION_SHORT_OPTIONS "b:w", options,
				      NULL)) != -1) {
		if (option == 'w')
			wait = true;
		else if (option == 'b' && !parse_generation (optarg, &base))
			return DFF_EXIT_USAGE;
		else if (option != 'b' &&
			 !dff_connection_handle_option (connection, option, usage, &exit_code))
			return exit_code;
	}
	if (optind + 1 != argc || base < 0)
		return dff_usage_fail ("apply", "expected one FILE and --base GENERATION");
	if (!dff_connection_complete (connection))
		return DFF_EXIT_USAGE;
	return apply (connection, argv[optind], base, wait);
}
