#include <stdio.h>
#include <string.h>

#include "client/call.h"
#include "client/columns.h"
#include "client/command.h"

static const char usage[] =
	"Usage: dragonflyfold status [jobs [ID] | batches ID | teams | racks | capacity |\n"
	"                            instances]\n"
	"Shows the state of the system. Jobs, teams, racks and capacity come from the process "
	"that\n"
	"holds the region's cell: give every --server, and the holder is found among them.\n"
	"  -j, --json  print the answer as JSON\n" DFF_CONNECTION_USAGE;

static const char expected[] =
	"expected jobs [ID], batches ID, teams, racks, capacity or instances";

static const struct option options[] = {
	{"json", no_argument, NULL, 'j'},
	DFF_CONNECTION_OPTIONS,
	{NULL, 0, NULL, 0},
};

/* A topic: a member of the status, a member of its cell, or a resource with an ID. */
struct topic {
	const char *name;
	/* (nullable): path that the ID is appended to; NULL: the topic takes no ID. */
	const char *path_with_id;
	bool in_cell;
};

static const struct topic topics[] = {
	{"jobs", "/v1/jobs/", true}, {"batches", "/v1/batches/", false}, {"teams", NULL, true},
	{"racks", NULL, true},       {"instances", NULL, false},         {"capacity", NULL, true},
};

static const struct topic *
find_topic (const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS (topics); i++) {
		if (strcmp (topics[i].name, name) == 0)
			return &topics[i];
	}
	return NULL;
}

static void
print (const json_t *value, bool as_json)
{
	g_autoptr (GString) out = g_string_new (NULL);
	if (as_json) {
		g_autofree char *text = json_dumps (value, JSON_INDENT (2) | JSON_ENCODE_ANY);
		g_string_append_printf (out, "%s\n", text);
	} else if (json_is_array (value)) {
		dff_columns_print (value, out);
	} else {
		dff_fields_print (value, out);
	}
	fputs (out->str, stdout);
}

static bool
is_holder (const json_t *status)
{
	return json_is_true (json_object_get (json_object_get (status, "cell"), "holder"));
}

/* Queries the servers for their status until one is the holder. Returns: the last answer. */
static struct dff_call_response *
call_status (struct dff_api_client *client, bool of_holder, json_t **status)
{
	struct dff_call_request request = {
		.method = EVHTTP_REQ_GET, .path = "/v1/status", .idempotent = true};
	struct dff_call_response *response = NULL;
	for (guint i = 0; i < dff_api_client_n_servers (client); i++) {
		json_decref (*status);
		dff_call_response_free (response);
		request.only_server = of_holder ? i + 1 : 0;
		response = dff_call (client, &request);
		*status = dff_call_response_json (response);
		if (!of_holder || is_holder (*status))
			break;
	}
	return response;
}

static int
show_status (struct dff_api_client *client, const struct topic *topic, bool as_json)
{
	json_t *status = NULL;
	bool in_cell = topic != NULL && topic->in_cell;
	DFF_AUTO (dff_call_response) response = call_status (client, in_cell, &status);
	int exit_code = DFF_EXIT_OK;
	const json_t *shown = in_cell ? json_object_get (status, "cell") : status;
	if (topic != NULL)
		shown = json_object_get (shown, topic->name);
	if (!dff_call_response_is_success (response)) {
		exit_code = dff_call_response_fail (response);
	} else if (in_cell && !is_holder (status)) {
		fputs ("dragonflyfold: none of the servers holds the cell\n", stderr);
		exit_code = DFF_EXIT_UNAVAILABLE;
	} else {
		print (shown, as_json);
	}
	json_decref (status);
	return exit_code;
}

static int
show_one (struct dff_api_client *client, const struct topic *topic, const char *id, bool as_json)
{
	struct dff_name name;
	if (!dff_name_parse (dff_str_from (id), &name)) {
		fprintf (stderr, "dragonflyfold: '%s' is not a valid id\n", id);
		return DFF_EXIT_USAGE;
	}
	g_autofree char *path = g_strconcat (topic->path_with_id, name.data, NULL);
	struct dff_call_request request = {
		.method = EVHTTP_REQ_GET, .path = path, .idempotent = true};
	DFF_AUTO (dff_call_response) response = dff_call (client, &request);
	if (!dff_call_response_is_success (response))
		return dff_call_response_fail (response);
	json_t *answer = dff_call_response_json (response);
	print (answer, as_json);
	json_decref (answer);
	return DFF_EXIT_OK;
}

static int
show (const struct dff_connection *connection, const char *name, const char *id, bool as_json)
{
	const struct topic *topic = name != NULL ? find_topic (name) : NULL;
	bool takes_id = topic != NULL && topic->path_with_id != NULL;
	bool needs_id = takes_id && !topic->in_cell;
	bool is_known = name == NULL || topic != NULL;
	if (!is_known || (id != NULL && !takes_id) || (id == NULL && needs_id))
		return dff_usage_fail ("status", expected);
	DFF_AUTO (dff_api_client) client = dff_api_client_new (connection);
	return id != NULL ? show_one (client, topic, id, as_json)
			  : show_status (client, topic, as_json);
}

int
dff_command_status (int argc, char **argv)
{
	DFF_AUTO (dff_connection) connection = dff_connection_new ();
	bool as_json = false;
	int option;
	int exit_code = DFF_EXIT_OK;
	while ((option = getopt_long (argc, argv, DFF_CONNECTION_SHORT_OPTIONS "j", options,
				      NULL)) != -1) {
		if (option == 'j')
			as_json = true;
		else if (!dff_connection_handle_option (connection, option, usage, &exit_code))
			return exit_code;
	}
	if (argc - optind > 2)
		return dff_usage_fail ("status", "expected at most a topic and an ID");
	if (!dff_connection_complete (connection))
		return DFF_EXIT_USAGE;
	const char *name = optind < argc ? argv[optind] : NULL;
	const char *id = optind + 1 < argc ? argv[optind + 1] : NULL;
	return show (connection, name, id, as_json);
}
