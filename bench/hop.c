/*
 * Measures the cost of one hop: a bare evhttp server that answers 200 bytes, against the product's
 * path of a short request (caller, entry, stand-in worker, back), in one run on one machine.
 * bench/hop.sh starts the processes and passes addresses and process ids.
 *
 *   hop bare                       serves 200 bytes, prints "listening IP:PORT"
 *   hop load [options]             measures both in alternating rounds
 */

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <getopt.h>
#include <glib.h>
#include <inttypes.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "common/http_listen.h"
#include "common/str.h"

#define ANSWER_BYTES 200
#define NS_PER_US 1000.0
#define NS_PER_S 1e9
#define MAX_CONNECTIONS 256
#define MAX_ROUNDS 100
#define WARM_UP_MS 100
#define BAR 4.0
#define EXIT_USAGE 2

/** One of the two servers that are compared. */
struct target {
	const char *name;
	struct dff_name address;
	/** Process whose processor time is measured. */
	pid_t pid;
	bool is_product;
};

struct load_options {
	struct target bare;
	struct target product;
	const char *path;
	const char *token;
	int connections;
	int rounds;
	int round_ms;
};

/** Results of one round. */
struct measure {
	int64_t requests;
	int64_t failures;
	int64_t wall_ns;
	int64_t cpu_ns;
};

struct load {
	const struct load_options *options;
	const struct target *target;
	struct event_base *base;
	struct evhttp_connection *connections[MAX_CONNECTIONS];
	struct measure measure;
	bool stopping;
	int in_progress;
};

/** A connection of the load, by index. */
struct lane {
	struct load *load;
	int index;
};

static int64_t
clock_ns (clockid_t clock)
{
	struct timespec time;
	if (clock_gettime (clock, &time) != 0)
		return 0;
	return (int64_t)time.tv_sec * (int64_t)NS_PER_S + time.tv_nsec;
}

static int64_t
cpu_ns (pid_t pid)
{
	clockid_t clock;
	if (clock_getcpuclockid (pid, &clock) != 0)
		return 0;
	return clock_ns (clock);
}

static void
answer_bare (struct evhttp_request *request, void *user)
{
	struct evbuffer *body = evhttp_request_get_output_buffer (request);
	evbuffer_add (body, user, ANSWER_BYTES);
	evhttp_send_reply (request, HTTP_OK, NULL, NULL);
}

static void
stop_loop (evutil_socket_t fd, short events, void *user)
{
	(void)fd;
	(void)events;
	event_base_loopbreak (user);
}

static int
run_bare (void)
{
	static char answer[ANSWER_BYTES];
	memset (answer, '.', sizeof (answer));
	struct event_base *base = event_base_new ();
	struct evhttp *http = evhttp_new (base);
	struct event *terminate = evsignal_new (base, SIGTERM, stop_loop, base);
	struct dff_name any = dff_name_from ("127.0.0.1:0");
	struct dff_name address;
	evhttp_set_gencb (http, answer_bare, answer);
	event_add (terminate, NULL);
	bool bound = dff_http_listen (http, &any, &address) != NULL;
	if (bound) {
		printf ("listening %s\n", address.data);
		fflush (stdout);
		event_base_dispatch (base);
	}
	event_free (terminate);
	evhttp_free (http);
	event_base_free (base);
	return bound ? EXIT_SUCCESS : EXIT_FAILURE;
}

static void send_next (struct lane *lane);

static void
answered (struct evhttp_request *request, void *user)
{
	struct lane *lane = user;
	struct load *load = lane->load;
	load->in_progress--;
	if (request != NULL && evhttp_request_get_response_code (request) == HTTP_OK)
		load->measure.requests++;
	else
		load->measure.failures++;
	if (!load->stopping) {
		send_next (lane);
		return;
	}
	if (load->in_progress == 0)
		event_base_loopbreak (load->base);
}

static void
add_product_headers (const struct load_options *options, struct evkeyvalq *headers)
{
	g_autofree char *authorization = g_strdup_printf ("Bearer %s", options->token);
	evhttp_add_header (headers, "Authorization", authorization);
	evhttp_add_header (headers, "Content-Type", "application/json");
}

static void
send_next (struct lane *lane)
{
	struct load *load = lane->load;
	const struct target *target = load->target;
	struct evhttp_request *request = evhttp_request_new (answered, lane);
	struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
	evhttp_add_header (headers, "Host", target->address.data);
	if (target->is_product)
		add_product_headers (load->options, headers);
	evbuffer_add_printf (evhttp_request_get_output_buffer (request),
			     "{\"work_ms\":0,\"answer_bytes\":%d}", ANSWER_BYTES);
	load->in_progress++;
	evhttp_make_request (load->connections[lane->index], request, EVHTTP_REQ_POST,
			     target->is_product ? load->options->path : "/");
}

static bool
open_connections (struct load *load)
{
	const char *colon = strrchr (load->target->address.data, ':');
	if (colon == NULL)
		return false;
	g_autofree char *ip =
		g_strndup (load->target->address.data, (gsize)(colon - load->target->address.data));
	guint64 port;
	if (!g_ascii_string_to_unsigned (colon + 1, 10, 1, UINT16_MAX, &port, NULL))
		return false;
	for (int i = 0; i < load->options->connections; i++)
		load->connections[i] =
			evhttp_connection_base_new (load->base, NULL, ip, (unsigned short)port);
	return true;
}

static void
begin_measure (evutil_socket_t fd, short events, void *user)
{
	(void)fd;
	(void)events;
	struct load *load = user;
	load->measure = (struct measure){
		.wall_ns = -clock_ns (CLOCK_MONOTONIC),
		.cpu_ns = -cpu_ns (load->target->pid),
	};
}

static void
end_measure (evutil_socket_t fd, short events, void *user)
{
	(void)fd;
	(void)events;
	struct load *load = user;
	load->measure.wall_ns += clock_ns (CLOCK_MONOTONIC);
	load->measure.cpu_ns += cpu_ns (load->target->pid);
	load->stopping = true;
}

static struct timeval
timeval_of (int ms)
{
	return (struct timeval){.tv_sec = ms / 1000, .tv_usec = (suseconds_t)(ms % 1000) * 1000};
}

static bool
run_round (const struct load_options *options, const struct target *target, struct measure *measure)
{
	struct load load = {.options = options, .target = target, .base = event_base_new ()};
	struct lane lanes[MAX_CONNECTIONS];
	struct timeval begin = timeval_of (WARM_UP_MS);
	struct timeval end = timeval_of (WARM_UP_MS + options->round_ms);
	event_base_once (load.base, -1, EV_TIMEOUT, begin_measure, &load, &begin);
	event_base_once (load.base, -1, EV_TIMEOUT, end_measure, &load, &end);
	bool opened = open_connections (&load);
	for (int i = 0; opened && i < options->connections; i++) {
		lanes[i] = (struct lane){&load, i};
		send_next (&lanes[i]);
	}
	if (opened)
		event_base_dispatch (load.base);
	for (int i = 0; opened && i < options->connections; i++)
		evhttp_connection_free (load.connections[i]);
	event_base_free (load.base);
	*measure = load.measure;
	return opened && load.measure.requests > 0;
}

static double
cpu_us_per_request (const struct measure *measure)
{
	return (double)measure->cpu_ns / NS_PER_US / (double)measure->requests;
}

static void
print_round (const struct target *target, int round, const struct measure *measure)
{
	printf ("round %d %s: %.0f requests/s, %.1f us CPU per request, %" PRId64 " failed\n",
		round + 1, target->name,
		(double)measure->requests * NS_PER_S / (double)measure->wall_ns,
		cpu_us_per_request (measure), measure->failures);
}

static int
compare_double (const void *a, const void *b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;
	return (left > right) - (left < right);
}

static double
median (double *values, int n_values)
{
	qsort (values, (size_t)n_values, sizeof (double), compare_double);
	return values[n_values / 2];
}

/* Alternates the rounds, so that other activity of the machine affects both servers equally. */
static int
run_load (const struct load_options *options)
{
	double bare_us[MAX_ROUNDS];
	double product_us[MAX_ROUNDS];
	double ratios[MAX_ROUNDS];
	int64_t failures = 0;
	for (int round = 0; round < options->rounds; round++) {
		struct measure bare;
		struct measure product;
		if (!run_round (options, &options->bare, &bare) ||
		    !run_round (options, &options->product, &product)) {
			fprintf (stderr, "No request was answered with 200.\n");
			return EXIT_FAILURE;
		}
		print_round (&options->bare, round, &bare);
		print_round (&options->product, round, &product);
		bare_us[round] = cpu_us_per_request (&bare);
		product_us[round] = cpu_us_per_request (&product);
		ratios[round] = product_us[round] / bare_us[round];
		failures += bare.failures + product.failures;
	}
	double ratio = median (ratios, options->rounds);
	printf ("median of %d rounds: bare %.1f us, product %.1f us, ratio %.2f (bar %.1f)\n",
		options->rounds, median (bare_us, options->rounds),
		median (product_us, options->rounds), ratio, BAR);
	return failures == 0 && ratio <= BAR ? EXIT_SUCCESS : EXIT_FAILURE;
}

enum option_id {
	DFF_OPTION_BARE = 1,
	DFF_OPTION_BARE_PID,
	DFF_OPTION_PRODUCT,
	DFF_OPTION_PRODUCT_PID,
	DFF_OPTION_PATH,
	DFF_OPTION_TOKEN,
	DFF_OPTION_CONNECTIONS,
	DFF_OPTION_ROUNDS,
	DFF_OPTION_ROUND_MS,
};

static const struct option long_options[] = {
	{"bare", required_argument, NULL, DFF_OPTION_BARE},
	{"bare-pid", required_argument, NULL, DFF_OPTION_BARE_PID},
	{"product", required_argument, NULL, DFF_OPTION_PRODUCT},
	{"product-pid", required_argument, NULL, DFF_OPTION_PRODUCT_PID},
	{"path", required_argument, NULL, DFF_OPTION_PATH},
	{"token", required_argument, NULL, DFF_OPTION_TOKEN},
	{"connections", required_argument, NULL, DFF_OPTION_CONNECTIONS},
	{"rounds", required_argument, NULL, DFF_OPTION_ROUNDS},
	{"round-ms", required_argument, NULL, DFF_OPTION_ROUND_MS},
	{NULL, 0, NULL, 0},
};

static const char usage[] =
	"Usage: hop bare\n"
	"       hop load --bare IP:PORT --bare-pid N --product IP:PORT --product-pid N\n"
	"                --path PATH --token TOKEN [--connections N] [--rounds N] [--round-ms N]\n";

static bool
parse_int (const char *text, int max, int *out)
{
	guint64 value;
	if (!g_ascii_string_to_unsigned (text, 10, 1, (guint64)max, &value, NULL))
		return false;
	*out = (int)value;
	return true;
}

static bool
parse_option (struct load_options *options, int option)
{
	switch (option) {
	case DFF_OPTION_BARE:
		return dff_name_parse (dff_str_from (optarg), &options->bare.address);
	case DFF_OPTION_BARE_PID:
		return parse_int (optarg, G_MAXINT32, &options->bare.pid);
	case DFF_OPTION_PRODUCT:
		return dff_name_parse (dff_str_from (optarg), &options->product.address);
	case DFF_OPTION_PRODUCT_PID:
		return parse_int (optarg, G_MAXINT32, &options->product.pid);
	case DFF_OPTION_PATH:
		options->path = optarg;
		return true;
	case DFF_OPTION_TOKEN:
		options->token = optarg;
		return true;
	case DFF_OPTION_CONNECTIONS:
		return parse_int (optarg, MAX_CONNECTIONS, &options->connections);
	case DFF_OPTION_ROUNDS:
		return parse_int (optarg, MAX_ROUNDS, &options->rounds);
	case DFF_OPTION_ROUND_MS:
		return parse_int (optarg, G_MAXINT16, &options->round_ms);
	default:
		return false;
	}
}

static bool
parse_load (int argc, char **argv, struct load_options *options)
{
	int option;
	while ((option = getopt_long (argc, argv, "", long_options, NULL)) != -1) {
		if (!parse_option (options, option))
			return false;
	}
	return options->bare.pid > 0 && options->product.pid > 0 && options->path != NULL &&
	       options->token != NULL;
}

int
main (int argc, char **argv)
{
	struct load_options options = {
		.bare = {.name = "bare"},
		.product = {.name = "product", .is_product = true},
		.connections = 8,
		.rounds = 15,
		.round_ms = 200,
	};
	signal (SIGPIPE, SIG_IGN);
	if (argc == 2 && strcmp (argv[1], "bare") == 0)
		return run_bare ();
	if (argc > 2 && strcmp (argv[1], "load") == 0 && parse_load (argc - 1, argv + 1, &options))
		return run_load (&options);
	fputs (usage, stderr);
	return EXIT_USAGE;
}
