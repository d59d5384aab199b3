#include "client/connection.h"

#include <math.h>
#include <openssl/ssl.h>
#include <stdio.h>
#include <stdlib.h>

#include "client/command.h"
#include "common/str.h"

#define DEFAULT_TIMEOUT_MS 30000
#define MAX_SECONDS 86400.0

static bool
add_server (struct dff_connection *connection, const char *text)
{
	struct dff_name server;
	if (!dff_name_parse (dff_str_from (text), &server)) {
		fprintf (stderr, "dragonflyfold: '%s': expected IP:PORT\n", text);
		return false;
	}
	g_array_append_val (connection->servers, server);
	return true;
}

static void
add_environment_servers (struct dff_connection *connection)
{
	const char *text = g_getenv ("DRAGONFLYFOLD_SERVER");
	if (text == NULL)
		return;
	g_auto (GStrv) parts = g_strsplit (text, ",", -1);
	for (char **part = parts; *part != NULL; part++) {
		g_strstrip (*part);
		if (**part != '\0')
			add_server (connection, *part);
	}
}

struct dff_connection *
dff_connection_new (void)
{
	struct dff_connection *connection = g_new0 (struct dff_connection, 1);
	connection->servers = g_array_new (FALSE, FALSE, sizeof (struct dff_name));
	connection->token = g_string_new (g_getenv ("DRAGONFLYFOLD_TOKEN"));
	connection->timeout_ms = DEFAULT_TIMEOUT_MS;
	return connection;
}

void
dff_connection_free (struct dff_connection *connection)
{
	if (connection == NULL)
		return;
	g_array_unref (connection->servers);
	g_string_free (connection->token, TRUE);
	SSL_CTX_free (connection->tls);
	g_free (connection);
}

bool
dff_parse_seconds (const char *text, int64_t *ms)
{
	char *end = NULL;
	double seconds = g_ascii_strtod (text, &end);
	if (end == text || *end != '\0' || !isfinite (seconds))
		return false;
	if (seconds < 0 || seconds > MAX_SECONDS)
		return false;
	*ms = (int64_t)(seconds * 1000);
	return true;
}

static bool
read_token (struct dff_connection *connection, const char *path)
{
	g_autoptr (GError) error = NULL;
	g_autofree char *text = NULL;
	if (!g_file_get_contents (path, &text, NULL, &error)) {
		fprintf (stderr, "dragonflyfold: %s\n", error->message);
		return false;
	}
	g_string_assign (connection->token, g_strstrip (text));
	return true;
}

static bool
set_timeout (struct dff_connection *connection, const char *text)
{
	if (dff_parse_seconds (text, &connection->timeout_ms))
		return true;
	fprintf (stderr, "dragonflyfold: --timeout '%s': expected seconds\n", text);
	return false;
}

bool
dff_connection_set_tls (struct dff_connection *connection, const char *path)
{
	SSL_CTX_free (connection->tls);
	connection->tls = SSL_CTX_new (TLS_client_method ());
	SSL_CTX_set_min_proto_version (connection->tls, TLS1_2_VERSION);
	SSL_CTX_set_verify (connection->tls, SSL_VERIFY_PEER, NULL);
	if (SSL_CTX_load_verify_locations (connection->tls, path, NULL) == 1)
		return true;
	fprintf (stderr, "dragonflyfold: %s: expected certificates, PEM\n", path);
	return false;
}

bool
dff_connection_handle_option (struct dff_connection *connection,
			      int option,
			      const char *usage,
			      int *exit_code)
{
	*exit_code = DFF_EXIT_USAGE;
	switch (option) {
	case DFF_OPTION_HELP:
		fputs (usage, stdout);
		*exit_code = DFF_EXIT_OK;
		return false;
	case DFF_OPTION_SERVER:
		return add_server (connection, optarg);
	case DFF_OPTION_TOKEN:
		g_string_assign (connection->token, optarg);
		return true;
	case DFF_OPTION_TOKEN_FILE:
		return read_token (connection, optarg);
	case DFF_OPTION_TIMEOUT:
		return set_timeout (connection, optarg);
	case DFF_OPTION_TLS_CA:
		return dff_connection_set_tls (connection, optarg);
	default:
		/* getopt_long() has printed the error. */
		return false;
	}
}

bool
dff_connection_complete (struct dff_connection *connection)
{
	const char *tls_ca = g_getenv ("DRAGONFLYFOLD_TLS_CA");
	if (connection->tls == NULL && tls_ca != NULL &&
	    !dff_connection_set_tls (connection, tls_ca))
		return false;
	if (connection->servers->len == 0)
		add_environment_servers (connection);
	if (connection->servers->len > 0)
		return true;
	fputs ("dragonflyfold: no server; give --server or set DRAGONFLYFOLD_SERVER\n", stderr);
	return false;
}
