#include <stdio.h>
#include <string.h>

#include "client/call.h"
#include "client/command.h"
#include "client/file.h"

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

static const char bootstrap_ended[] =
	"dragonflyfold: the bootstrap token ends with the first pool; to wait, apply again with an "
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
put_pool (struct dff_caller *caller, struct dff_str file, int64_t base, int64_t *generation)
{
	g_autofree char *if_match = g_strdup_printf ("\"%" G_GINT64_FORMAT "\"", base);
	/* The same file on the same base is the same application, so that it may be sent again when
	 * its answer was lost. */
	struct dff_call_request request = {
		.method = EVHTTP_REQ_PUT,
		.path = "/v1/pool",
		.body = file,
		.content_type = "application/json",
		.if_match = if_match,
		.idempotent = true,
	};
	DFF_AUTO (dff_call_response) response = dff_call (caller, &request);
	if (!dff_call_response_is_success (response))
		return dff_call_response_fail (response);
	json_t *answer = dff_call_response_json (response);
	*generation = json_integer_value (json_object_get (answer, "generation"));
	json_decref (answer);
	return DFF_EXIT_OK;
}

static bool
instance_counts (const json_t *instance)
{
	const char *state = json_string_value (json_object_get (instance, "state"));
	return state != NULL && strcmp (state, "dead") != 0 && strcmp (state, "leaving") != 0;
}

/* Returns: how many live instances of @status are behind @generation; -1: unreadable. */
static int
count_behind (const json_t *status, int64_t generation, size_t *n_live)
{
	const json_t *instances = json_object_get (status, "instances");
	if (!json_is_array (instances))
		return -1;
	int behind = 0;
	size_t index;
	json_t *instance;
	*n_live = 0;
	json_array_foreach (instances, index, instance)
	{
		if (!instance_counts (instance))
			continue;
		json_t *value = json_object_get (instance, "generation");
		behind += json_integer_value (value) < generation;
		(*n_live)++;
	}
	return behind;
}

static int
wait_in_force (struct dff_caller *caller, int64_t generation)
{
	struct dff_call_request request = {
		.method = EVHTTP_REQ_GET, .path = "/v1/status", .idempotent = true};
	do {
		DFF_AUTO (dff_call_response) response = dff_call (caller, &request);
		if (response->status == 401)
			fputs (bootstrap_ended, stderr);
		if (!dff_call_response_is_success (response))
			return dff_call_response_fail (response);
		json_t *status = dff_call_response_json (response);
		size_t n_live = 0;
		int behind = count_behind (status, generation, &n_live);
		json_decref (status);
		if (behind == 0 && n_live > 0) {
			printf ("in force on %zu processes\n", n_live);
			return DFF_EXIT_OK;
		}
		dff_caller_pause (caller, POLL_MS);
	} while (dff_caller_remaining_ms (caller) > 0);
	fputs ("dragonflyfold: not in force on every live process in time\n", stderr);
	return DFF_EXIT_PENDING;
}

static int
apply (const struct dff_connection *connection, const char *path, int64_t base, bool wait)
{
	g_autoptr (GString) file = dff_file_read (path);
	if (file == NULL)
		return DFF_EXIT_FAILED;
	DFF_AUTO (dff_caller) caller = dff_caller_new (connection);
	int64_t generation = 0;
	int exit_code =
		put_pool (caller, (struct dff_str){file->str, file->len}, base, &generation);
	if (exit_code != DFF_EXIT_OK)
		return exit_code;
	printf ("generation %" G_GINT64_FORMAT "\n", generation);
	return wait ? wait_in_force (caller, generation) : DFF_EXIT_OK;
}

int
dff_command_apply (int argc, char **argv)
{
	DFF_AUTO (dff_connection) connection = dff_connection_new ();
	int64_t base = -1;
	bool wait = false;
	int option;
	int exit_code = DFF_EXIT_OK;
	while ((option = getopt_long (argc, argv, DFF_CONNECTION_SHORT "b:w", options, NULL)) !=
	       -1) {
		if (option == 'w')
			wait = true;
		else if (option == 'b' && !parse_generation (optarg, &base))
			return DFF_EXIT_USAGE;
		else if (option != 'b' &&
			 !dff_connection_option (connection, option, usage, &exit_code))
			return exit_code;
	}
	if (optind + 1 != argc || base < 0)
		return dff_usage_fail ("apply", "expected one FILE and --base GENERATION");
	if (!dff_connection_complete (connection))
		return DFF_EXIT_USAGE;
	return apply (connection, argv[optind], base, wait);
}
