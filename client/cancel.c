#include <stdio.h>

#include "client/call.h"
#include "client/command.h"

static const char usage[] = "Usage: dragonflyfold cancel ID | --batch ID | --team TEAM\n"
			    "Requests the cancellation of a job, a batch, or every job of a team.\n"
			    "  -B, --batch ID   every job of the batch\n"
			    "  -T, --team TEAM  every job of the team\n" DFF_CONNECTION_USAGE;

static const struct option options[] = {
	{"batch", required_argument, NULL, 'B'},
	{"team", required_argument, NULL, 'T'},
	DFF_CONNECTION_OPTIONS,
	{NULL, 0, NULL, 0},
};

static int
cancel (const struct dff_connection *connection, const char *path)
{
	DFF_AUTO (dff_api_client) client = dff_api_client_new (connection);
	struct dff_call_request request = {
		.method = EVHTTP_REQ_DELETE, .path = path, .idempotent = true};
	DFF_AUTO (dff_call_response) response = dff_call (client, &request);
	if (!dff_call_response_is_success (response))
		return dff_call_response_fail (response);
	json_t *answer = dff_call_response_json (response);
	json_t *count = json_object_get (answer, "cancelling");
	const char *outcome = json_string_value (json_object_get (answer, "outcome"));
	if (json_is_integer (count))
		printf ("cancelling %" JSON_INTEGER_FORMAT "\n", json_integer_value (count));
	else if (response->status == 200)
		printf ("had ended: %s\n", outcome != NULL ? outcome : "outcome not reported");
	else
		puts ("cancelling");
	json_decref (answer);
	return DFF_EXIT_OK;
}

int
dff_command_cancel (int argc, char **argv)
{
	DFF_AUTO (dff_connection) connection = dff_connection_new ();
	const char *prefix = "/v1/jobs/";
	const char *subject = NULL;
	int n_subjects = 0;
	int option;
	int exit_code = DFF_EXIT_OK;
	while ((option = getopt_long (argc, argv, DFF_CONNECTION_SHORT_OPTIONS "B:T:", options,
				      NULL)) != -1) {
		if (option == 'B' || option == 'T') {
			prefix = option == 'B' ? "/v1/batches/" : "/v1/jobs?team=";
			subject = optarg;
			n_subjects++;
		} else if (!dff_connection_handle_option (connection, option, usage, &exit_code)) {
			return exit_code;
		}
	}
	if (optind < argc)
		subject = argv[optind];
	n_subjects += argc - optind;
	struct dff_name name;
	if (n_subjects != 1 || !dff_name_parse (dff_str_from (subject), &name))
		return dff_usage_fail ("cancel", "expected one of ID, --batch ID and --team TEAM");
	if (!dff_connection_complete (connection))
		return DFF_EXIT_USAGE;
	g_autofree char *path = g_strconcat (prefix, name.data, NULL);
	return cancel (connection, path);
}
