/* dragonflyfold-standin-worker: a worker for demos and tests (docs/BACKING.md). */

#include <event2/event.h>
#include <getopt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "backing/http.h"
#include "common/event_loop.h"
#include "common/http_client.h"
#include "common/log.h"
#include "standin/worker_server.h"

#define ANNOUNCE_INTERVAL_MS 1000
#define ANNOUNCE_TTL_MS 5000
/** Interval at which a leaving worker checks whether it is idle, ms. */
#define LEAVE_CHECK_MS 20
#define MAX_AMOUNT 1000000
#define USEC_PER_MS 1000
#define EXIT_USAGE 2

struct worker_options {
	struct dff_name platform;
	struct dff_name listen;
	struct dff_instance instance;
	struct dff_resources capacity;
	bool check_epochs;
	int64_t leave_after_ms;
	/** (nullable): path of the run log; NULL: none. */
	const char *run_log;
};

struct worker_process {
	struct worker_options options;
	struct event_base *base;
	struct dff_metrics *metrics;
	struct dff_http_client *http;
	struct dff_http_object_store *store;
	struct dff_http_instance_list *instances;
	struct dff_run_log *run_log;
	struct dff_standin_worker *worker;
	struct dff_worker_server *server;
	struct event *announce;
	struct event *leave;
	struct event *check_idle;
	struct event *terminate;
};

static struct timeval
timeval_of (int64_t ms)
{
	return (struct timeval){.tv_sec = ms / 1000, .tv_usec = ms % 1000 * USEC_PER_MS};
}

static void
announce (evutil_socket_t fd, short events, void *user)
{
	(void)fd;
	(void)events;
	struct worker_process *process = user;
	const struct dff_instance_list *list =
		dff_http_instance_list_interface (process->instances);
	list->announce (list->ctx, &process->options.instance, ANNOUNCE_TTL_MS);
}

static void
check_idle (evutil_socket_t fd, short events, void *user)
{
	(void)fd;
	(void)events;
	struct worker_process *process = user;
	if (dff_standin_worker_is_busy (process->worker) ||
	    dff_worker_server_is_busy (process->server))
		return;
	dff_log (DFF_LOG_STANDIN, DFF_LOG_INFO, "Worker has left. id=%s",
		 process->options.instance.id.data);
	event_base_loopbreak (process->base);
}

/** Announces that the worker leaves, then refuses new work; the process exits once idle. */
static void
leave (evutil_socket_t fd, short events, void *user)
{
	(void)fd;
	(void)events;
	struct worker_process *process = user;
	struct timeval interval = timeval_of (LEAVE_CHECK_MS);
	process->options.instance.leaving = true;
	announce (-1, 0, process);
	dff_standin_worker_leave (process->worker);
	event_add (process->check_idle, &interval);
	dff_log (DFF_LOG_STANDIN, DFF_LOG_INFO, "Worker is leaving. id=%s",
		 process->options.instance.id.data);
}

enum option_id {
	DFF_OPTION_PLATFORM = 1,
	DFF_OPTION_ID,
	DFF_OPTION_RACK,
	DFF_OPTION_DATA_CENTRE,
	DFF_OPTION_REGION,
	DFF_OPTION_LISTEN,
	DFF_OPTION_SLOTS,
	DFF_OPTION_CORES,
	DFF_OPTION_MEMORY,
	DFF_OPTION_ACCELERATORS,
	DFF_OPTION_CHECK_EPOCHS,
	DFF_OPTION_LEAVE_AFTER,
	DFF_OPTION_RUN_LOG,
};

static const struct option long_options[] = {
	{"platform", required_argument, NULL, DFF_OPTION_PLATFORM},
	{"id", required_argument, NULL, DFF_OPTION_ID},
	{"rack", required_argument, NULL, DFF_OPTION_RACK},
	{"data-centre", required_argument, NULL, DFF_OPTION_DATA_CENTRE},
	{"region", required_argument, NULL, DFF_OPTION_REGION},
	{"listen", required_argument, NULL, DFF_OPTION_LISTEN},
	{"slots", required_argument, NULL, DFF_OPTION_SLOTS},
	{"cores", required_argument, NULL, DFF_OPTION_CORES},
	{"memory-gb", required_argument, NULL, DFF_OPTION_MEMORY},
	{"accelerators", required_argument, NULL, DFF_OPTION_ACCELERATORS},
	{"check-epochs", no_argument, NULL, DFF_OPTION_CHECK_EPOCHS},
	{"leave-after-ms", required_argument, NULL, DFF_OPTION_LEAVE_AFTER},
	{"run-log", required_argument, NULL, DFF_OPTION_RUN_LOG},
	{NULL, 0, NULL, 0},
};

static const char usage[] =
	"Usage: dragonflyfold-standin-worker --platform IP:PORT --id ID --rack R\n"
	"         --data-centre D --region G [--slots N] [--cores N] [--memory-gb N]\n"
	"         [--accelerators N] [--listen IP:PORT] [--check-epochs]\n"
	"         [--leave-after-ms N] [--run-log FILE]\n"
	"Prints \"listening IP:PORT\" once it listens.\n";

static bool
parse_amount (const char *text, int32_t *out)
{
	guint64 value;
	if (!g_ascii_string_to_unsigned (text, 10, 0, MAX_AMOUNT, &value, NULL))
		return false;
	*out = (int32_t)value;
	return true;
}

static bool
parse_ms (const char *text, int64_t *out)
{
	guint64 value;
	if (!g_ascii_string_to_unsigned (text, 10, 1, G_MAXINT32, &value, NULL))
		return false;
	*out = (int64_t)value;
	return true;
}

static bool
parse_name (const char *text, struct dff_name *out)
{
	return dff_name_parse (dff_str_from (text), out);
}

static bool
parse_option (struct worker_options *options, int option)
{
	switch (option) {
	case DFF_OPTION_PLATFORM:
		return parse_name (optarg, &options->platform);
	case DFF_OPTION_ID:
		return parse_name (optarg, &options->instance.id);
	case DFF_OPTION_RACK:
		return parse_name (optarg, &options->instance.rack);
	case DFF_OPTION_DATA_CENTRE:
		return parse_name (optarg, &options->instance.data_centre);
	case DFF_OPTION_REGION:
		return parse_name (optarg, &options->instance.region);
	case DFF_OPTION_LISTEN:
		return parse_name (optarg, &options->listen);
	case DFF_OPTION_SLOTS:
		return parse_amount (optarg, &options->capacity.slots);
	case DFF_OPTION_CORES:
		return parse_amount (optarg, &options->capacity.cores);
	case DFF_OPTION_MEMORY:
		return parse_amount (optarg, &options->capacity.memory_gb);
	case DFF_OPTION_ACCELERATORS:
		return parse_amount (optarg, &options->capacity.accelerators);
	case DFF_OPTION_LEAVE_AFTER:
		return parse_ms (optarg, &options->leave_after_ms);
	case DFF_OPTION_RUN_LOG:
		options->run_log = optarg;
		return true;
	case DFF_OPTION_CHECK_EPOCHS:
		options->check_epochs = true;
		return true;
	default:
		return false;
	}
}

static bool
options_complete (const struct worker_options *options)
{
	return !dff_name_is_empty (&options->platform) &&
	       !dff_name_is_empty (&options->instance.id) &&
	       !dff_name_is_empty (&options->instance.rack) &&
	       !dff_name_is_empty (&options->instance.data_centre) &&
	       !dff_name_is_empty (&options->instance.region);
}

static bool
parse_options (int argc, char **argv, struct worker_options *options)
{
	*options = (struct worker_options){
		.listen = dff_name_from ("127.0.0.1:0"),
		.instance = {.role = DFF_INSTANCE_WORKER},
		.capacity = {.slots = 8, .cores = 32, .memory_gb = 64, .accelerators = 8},
	};
	int option;
	while ((option = getopt_long (argc, argv, "", long_options, NULL)) != -1) {
		if (!parse_option (options, option))
			return false;
	}
	return optind == argc && options_complete (options);
}

static void
open_platform (struct worker_process *process)
{
	struct dff_http_client_options http;
	dff_http_client_options_init (&http);
	http.base = process->base;
	http.metrics = process->metrics;
	process->http = dff_http_client_new (&http);
	struct dff_http_service_options service;
	dff_http_service_options_init (&service);
	service.client = process->http;
	service.address = process->options.platform;
	service.instance = process->options.instance.id;
	process->store = dff_http_object_store_new (&service);
	process->instances = dff_http_instance_list_new (&service);
}

static bool
open_worker (struct worker_process *process, GError **error)
{
	const struct dff_clock *clock = dff_clock_system ();
	if (process->options.run_log != NULL)
		process->run_log = dff_run_log_open (process->options.run_log, error);
	if (process->options.run_log != NULL && process->run_log == NULL)
		return false;
	struct dff_standin_worker_options worker = {
		.clock = clock,
		.store = dff_http_object_store_interface (process->store),
		.capacity = process->options.capacity,
		.check_epochs = process->options.check_epochs,
		.incarnation = dff_clock_wall_ms (clock),
		.run_log = process->run_log,
	};
	process->worker = dff_standin_worker_new (&worker);
	struct dff_worker_server_options server = {
		.base = process->base,
		.clock = clock,
		.worker = process->worker,
		.listen = process->options.listen,
	};
	process->server = dff_worker_server_new (&server, error);
	if (process->server == NULL)
		return false;
	process->options.instance.address = *dff_worker_server_address (process->server);
	return true;
}

static void
open_events (struct worker_process *process)
{
	struct event_base *base = process->base;
	struct timeval announce_interval = timeval_of (ANNOUNCE_INTERVAL_MS);
	process->announce = event_new (base, -1, EV_PERSIST, announce, process);
	process->check_idle = event_new (base, -1, EV_PERSIST, check_idle, process);
	process->leave = evtimer_new (base, leave, process);
	process->terminate = evsignal_new (base, SIGTERM, leave, process);
	event_add (process->announce, &announce_interval);
	event_add (process->terminate, NULL);
	if (process->options.leave_after_ms > 0) {
		struct timeval leave_after = timeval_of (process->options.leave_after_ms);
		event_add (process->leave, &leave_after);
	}
	announce (-1, 0, process);
}

static void
close_process (struct worker_process *process)
{
	g_clear_pointer (&process->announce, event_free);
	g_clear_pointer (&process->check_idle, event_free);
	g_clear_pointer (&process->leave, event_free);
	g_clear_pointer (&process->terminate, event_free);
	g_clear_pointer (&process->server, dff_worker_server_free);
	g_clear_pointer (&process->http, dff_http_client_free);
	g_clear_pointer (&process->instances, dff_http_instance_list_free);
	g_clear_pointer (&process->store, dff_http_object_store_free);
	g_clear_pointer (&process->worker, dff_standin_worker_free);
	g_clear_pointer (&process->run_log, dff_run_log_close);
	g_clear_pointer (&process->metrics, dff_metrics_free);
	g_clear_pointer (&process->base, event_base_free);
}

int
main (int argc, char **argv)
{
	struct worker_process process = {0};
	if (!parse_options (argc, argv, &process.options)) {
		fputs (usage, stderr);
		return EXIT_USAGE;
	}
	signal (SIGPIPE, SIG_IGN);
	dff_log_init (DFF_LOG_INFO);
	g_autoptr (GError) error = NULL;
	process.base = dff_event_base_new ();
	process.metrics = dff_metrics_new ();
	open_platform (&process);
	bool opened = open_worker (&process, &error);
	if (opened) {
		open_events (&process);
		printf ("listening %s\n", process.options.instance.address.data);
		fflush (stdout);
		event_base_dispatch (process.base);
	} else {
		fprintf (stderr, "%s\n", error->message);
	}
	close_process (&process);
	return opened ? EXIT_SUCCESS : EXIT_FAILURE;
}
