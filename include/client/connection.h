#ifndef DFF_CLIENT_CONNECTION_H
#define DFF_CLIENT_CONNECTION_H

#include <getopt.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/cleanup.h"

/* Options of all commands that connect to a server. */

/** Values of the long options; a command's own start at DFF_OPTION_COMMAND_FIRST. */
enum dff_option {
	DFF_OPTION_HELP = 'h',
	DFF_OPTION_SERVER = 's',
	DFF_OPTION_TOKEN = 256,
	DFF_OPTION_TOKEN_FILE,
	DFF_OPTION_TIMEOUT,
	DFF_OPTION_TLS_CA,
	DFF_OPTION_COMMAND_FIRST,
};

/* clang-format off */
#define DFF_CONNECTION_OPTIONS                                                                     \
	{"help", no_argument, NULL, DFF_OPTION_HELP},                                              \
	{"server", required_argument, NULL, DFF_OPTION_SERVER},                                    \
	{"token", required_argument, NULL, DFF_OPTION_TOKEN},                                      \
	{"token-file", required_argument, NULL, DFF_OPTION_TOKEN_FILE},                            \
	{"timeout", required_argument, NULL, DFF_OPTION_TIMEOUT},                                  \
	{"tls-ca", required_argument, NULL, DFF_OPTION_TLS_CA}
/* clang-format on */

#define DFF_CONNECTION_SHORT_OPTIONS "hs:"

/** Lines for --help. */
#define DFF_CONNECTION_USAGE                                                                       \
	"  -s, --server IP:PORT   ask this process; may be given again for others to try\n"        \
	"                         (default: DRAGONFLYFOLD_SERVER, separated by commas)\n"          \
	"      --token TOKEN      bearer token (default: DRAGONFLYFOLD_TOKEN)\n"                   \
	"      --token-file FILE  file that holds the bearer token\n"                              \
	"      --timeout SECONDS  give up after this time (default 30)\n"                          \
	"      --tls-ca FILE      speak TLS and trust the certificates in FILE, PEM\n"             \
	"                         (default: DRAGONFLYFOLD_TLS_CA; none: plain HTTP)\n"             \
	"  -h, --help             print this text\n"

struct ssl_ctx_st;

struct dff_connection {
	/** Elements: struct dff_name. */
	GArray *servers;
	GString *token;
	int64_t timeout_ms;
	/** (nullable): OpenSSL's SSL_CTX; NULL: plain HTTP. */
	struct ssl_ctx_st *tls;
};

/** Returns: (transfer full): the options set by the environment, else the defaults. */
struct dff_connection *dff_connection_new (void);

void dff_connection_free (struct dff_connection *connection);

DFF_DEFINE_CLEANUP (dff_connection, dff_connection_free);

/**
 * dff_connection_handle_option:
 * @option: what getopt_long() returned
 * @usage: text for --help
 * @exit_code: (out): set when the command must exit
 *
 * Handles an option of DFF_CONNECTION_OPTIONS, or an unknown option.
 *
 * Returns: false when the command must exit with @exit_code.
 */
bool dff_connection_handle_option (struct dff_connection *connection,
				   int option,
				   const char *usage,
				   int *exit_code);

/** Adds from the environment what the command line did not set. Returns: false, after an error
 * message, when there is no server. */
bool dff_connection_complete (struct dff_connection *connection);

/** Enables TLS that trusts the certificates in a PEM file. Returns: false, after an error message,
 * when the file cannot be used. */
bool dff_connection_set_tls (struct dff_connection *connection, const char *path);

/** Parses a number of seconds, which may have a fraction. Returns: false when it is invalid. */
bool dff_parse_seconds (const char *text, int64_t *ms);

#endif
