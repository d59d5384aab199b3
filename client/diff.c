#include <stdio.h>

#include "client/call.h"
#include "client/command.h"
#include "client/file.h"
#include "client/pool_diff.h"
#include "pool/pool.h"

static const char usage[] =
	"Usage: dragonflyfold diff FILE\n"
	"Shows what applying a pool file would change: + added, - removed, ~ changed.\n"
	"Exits with 0 when nothing would change, with 7 when something "
	"would.\n" DFF_CONNECTION_USAGE;

static const struct option options[] = {
	DFF_CONNECTION_OPTIONS,
	{NULL, 0, NULL, 0},
};

static bool
is_valid (struct dff_str text, const char *path)
{
	g_autoptr (GPtrArray) errors = g_ptr_array_new_with_free_func (g_free);
	DFF_AUTO (dff_pool) pool = dff_pool_parse (text, path, errors, NULL);
	for (guint i = 0; i < errors->len; i++)
		fprintf (stderr, "%s\n", (char *)g_ptr_array_index (errors, i));
	return pool != NULL;
}

static int
compare (const struct dff_connection *connection, const GString *file)
{
	DFF_AUTO (dff_api_client) client = dff_api_client_new (connection);
	struct dff_call_request request = {
		.method = EVHTTP_REQ_GET, .path = "/v1/pool", .idempotent = true};
	DFF_AUTO (dff_call_response) response = dff_call (client, &request);
	/* Before the first apply there is no pool: the file is compared with nothing. */
	if (response->status != 404 && !dff_call_response_is_success (response))
		return dff_call_response_fail (response);
	json_t *before = response->status == 404 ? NULL : dff_call_response_json (response);
	json_t *after = json_loadb (file->str, file->len, 0, NULL);
	g_autoptr (GString) out = g_string_new (NULL);
	bool differs = dff_pool_diff (before, after, out);
	json_decref (before);
	json_decref (after);
	fputs (out->str, stdout);
	return differs ? DFF_EXIT_DIFFERENT : DFF_EXIT_OK;
}

int
dff_command_diff (int argc, char **argv)
{
	DFF_AUTO (dff_connection) connection = dff_connection_new ();
	int option;
	int exit_code = DFF_EXIT_OK;
	while ((option = getopt_long (argc, argv, DFF_CONNECTION_SHORT_OPTIONS, options, NULL)) !=
	       -1) {
		if (!dff_connection_handle_option (connection, option, usage, &exit_code))
			return exit_code;
	}
	if (optind + 1 != argc)
		return dff_usage_fail ("diff", "expected one FILE");
	if (!dff_connection_complete (connection))
		return DFF_EXIT_USAGE;
	g_autoptr (GString) file = dff_file_read (argv[optind]);
	if (file == NULL)
		return DFF_EXIT_FAILED;
	if (!is_valid ((struct dff_str){file->str, file->len}, argv[optind]))
		return DFF_EXIT_REFUSED;
	return compare (connection, file);
}
