#include <stdio.h>

#include "client/call.h"
#include "client/command.h"

static const char usage[] = "Usage: dragonflyfold drain --server IP:PORT\n"
			    "Asks one process to stop gracefully: it becomes unready, takes no new "
			    "work and finishes\nwhat is in flight.\n" DFF_CONNECTION_USAGE;

static const struct option options[] = {
	DFF_CONNECTION_OPTIONS,
	{NULL, 0, NULL, 0},
};

int
dff_command_drain (int argc, char **argv)
{
	DFF_AUTO (dff_connection) connection = dff_connection_new ();
	int option;
	int exit_code = DFF_EXIT_OK;
	while ((option = getopt_long (argc, argv, DFF_CONNECTION_SHORT_OPTIONS, options, NULL)) !=
	       -1) {
		if (!dff_connection_handle_option (connection, option, usage, &exit_code))
			return exit_code;
	}
	if (optind != argc)
		return dff_usage_fail ("drain", "expected no argument");
	if (!dff_connection_complete (connection))
		return DFF_EXIT_USAGE;
	/* With several servers, the retry of a lost answer would drain a second process. */
	if (connection->servers->len != 1)
		return dff_usage_fail ("drain", "expected exactly one --server");
	DFF_AUTO (dff_api_client) client = dff_api_client_new (connection);
	struct dff_call_request request = {
		.method = EVHTTP_REQ_POST, .path = "/v1/drain", .idempotent = true};
	DFF_AUTO (dff_call_response) response = dff_call (client, &request);
	if (!dff_call_response_is_success (response))
		return dff_call_response_fail (response);
	puts ("draining");
	return DFF_EXIT_OK;
}
