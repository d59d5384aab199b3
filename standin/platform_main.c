#include <event2/event.h>
#include <getopt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "common/log.h"
#include "standin/platform_server.h"

#define SEED 1

static const char usage[] =
	"Usage: dragonflyfold-standin-platform --listen IP:PORT [--instance-lag-ms N]\n"
	"\n"
	"Table, object store and instance list in memory, for tests and the demo.\n"
	"\n"
	"  --listen IP:PORT       address to serve; port 0 takes any free one\n"
	"  --instance-lag-ms N    lag of the instance list, 0 to 60000 (default 0)\n"
	"  --help                 this text\n"
	"\n"
	"Prints the address that it serves and runs until SIGTERM.\n";

enum option_id {
	DFF_OPTION_LISTEN = 1,
	DFF_OPTION_LAG,
	DFF_OPTION_HELP,
};

static const struct option options[] = {
	{"listen", required_argument, NULL, DFF_OPTION_LISTEN},
	{"instance-lag-ms", required_argument, NULL, DFF_OPTION_LAG},
	{"help", no_argument, NULL, DFF_OPTION_HELP},
	{NULL, 0, NULL, 0},
};

static bool
parse_lag (const char *text, int32_t *lag_ms)
{
	guint64 value;
	if (!g_ascii_string_to_unsigned (text, 10, 0, 60000, &value, NULL))
		return false;
	*lag_ms = (int32_t)value;
	return true;
}

/* Returns: the exit status to end with, or -1 to go on. */
static int
parse_arguments (int argc, char **argv, struct dff_platform_server_options *out)
{
	int option;
	while ((option = getopt_long (argc, argv, "", options, NULL)) != -1) {
		bool valid = false;
		switch (option) {
		case DFF_OPTION_LISTEN:
			valid = dff_name_parse (dff_str_from (optarg), &out->listen);
			break;
		case DFF_OPTION_LAG:
			valid = parse_lag (optarg, &out->instance_lag_ms);
			break;
		case DFF_OPTION_HELP:
			fputs (usage, stdout);
			return EXIT_SUCCESS;
		default:
			break;
		}
		if (!valid) {
			fputs (usage, stderr);
			return 2;
		}
	}
	if (dff_name_is_empty (&out->listen) || optind < argc) {
		fputs (usage, stderr);
		return 2;
	}
	return -1;
}

static void
stop (evutil_socket_t signal_number, short what, void *base)
{
	(void)signal_number;
	(void)what;
	event_base_loopbreak (base);
}

static int
serve (struct dff_platform_server_options *server_options)
{
	DFF_AUTO (dff_platform_server) server = dff_platform_server_new (server_options);
	if (server == NULL) {
		fprintf (stderr, "Cannot listen on %s.\n", server_options->listen.data);
		return EXIT_FAILURE;
	}
	struct event *term =
		evsignal_new (server_options->base, SIGTERM, stop, server_options->base);
	struct event *interrupt =
		evsignal_new (server_options->base, SIGINT, stop, server_options->base);
	event_add (term, NULL);
	event_add (interrupt, NULL);
	struct dff_name address = dff_platform_server_address (server);
	printf ("%s\n", address.data);
	fflush (stdout);
	event_base_dispatch (server_options->base);
	event_free (term);
	event_free (interrupt);
	return EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
	struct dff_platform_server_options server_options = {
		.clock = dff_clock_system (),
		.seed = SEED,
	};
	int status = parse_arguments (argc, argv, &server_options);
	if (status >= 0)
		return status;
	/* A write to a connection that the caller has closed must not end the process. */
	signal (SIGPIPE, SIG_IGN);
	dff_log_init (DFF_LOG_INFO);
	server_options.base = event_base_new ();
	status = serve (&server_options);
	event_base_free (server_options.base);
	return status;
}
