#include <event2/event.h>
#include <string.h>

#include "backing/memory.h"
#include "bench/slopes/relay.h"
#include "bench/slopes/slopes.h"
#include "common/event_loop.h"
#include "peer/message.h"
#include "peer/watch_assignment.h"
#include "standin/worker_server.h"
#include "upstream/http_worker.h"
#include "upstream/watcher.h"
#include "upstream/worker_wire.h"

/* Watching workers: messages, bytes and processor time against the number of workers, over HTTP and
 * a counting relay; sizes of the messages that carry changes. One stand-in worker answers for all.
 * Its processor time and the relay's are included, so that the figures are upper bounds. */

#define SETTLE_MS 1500
#define MEASURE_MS 3750
#define INTERVAL_MS 1000
#define LEASE_MS 15000
#define CONNECTIONS 200
#define TICK_US 10000

struct watch {
	struct event_base *base;
	struct dff_metrics *metrics;
	struct dff_memory *memory;
	struct dff_memory_handle *store;
	struct dff_standin_worker *worker;
	struct dff_worker_server *server;
	struct relay *relay;
	struct dff_http_client *http;
	struct dff_http_worker *workers;
	struct dff_watcher *watcher;
	struct event *ticker;
};

static void
ignore_worker_report (void *ctx, const struct dff_worker_report *sighting)
{
	(void)ctx;
	(void)sighting;
}

static void
tick (evutil_socket_t fd, short events, void *user)
{
	(void)fd;
	(void)events;
	struct watch *watch = user;
	dff_watcher_tick (watch->watcher);
}

static void
start_worker (struct watch *watch)
{
	struct dff_memory_options memory = {.clock = dff_clock_system (), .seed = 1};
	watch->memory = dff_memory_new (&memory);
	watch->store = dff_memory_open (watch->memory);
	struct dff_standin_worker_options worker = {
		.clock = dff_clock_system (),
		.store = &watch->store->objects,
		.capacity = {.slots = 8, .cores = 32, .memory_gb = 64, .accelerators = 1},
		.incarnation = 1,
	};
	watch->worker = dff_standin_worker_new (&worker);
	struct dff_worker_server_options server = {
		.base = watch->base,
		.clock = dff_clock_system (),
		.worker = watch->worker,
		.listen = dff_name_from ("127.0.0.1:0"),
	};
	watch->server = dff_worker_server_new (&server, NULL);
	g_assert (watch->server != NULL);
	watch->relay = relay_new (watch->base, dff_worker_server_address (watch->server));
}

static void
start_watcher (struct watch *watch)
{
	struct dff_http_client_options http;
	dff_http_client_options_init (&http);
	http.base = watch->base;
	http.metrics = watch->metrics;
	http.max_connections = CONNECTIONS;
	watch->http = dff_http_client_new (&http);
	struct dff_http_worker_options workers;
	dff_http_worker_options_init (&workers);
	workers.http = watch->http;
	workers.metrics = watch->metrics;
	watch->workers = dff_http_worker_new (&workers);
	struct dff_watcher_options options;
	dff_watcher_options_init (&options);
	options.workers = dff_http_worker_interface (watch->workers);
	options.clock = dff_clock_system ();
	options.metrics = watch->metrics;
	options.seed = 1;
	options.report = ignore_worker_report;
	watch->watcher = dff_watcher_new (&options);
}

static struct watch *
watch_new (void)
{
	struct watch *watch = g_new0 (struct watch, 1);
	struct timeval interval = {.tv_usec = TICK_US};
	watch->base = dff_event_base_new ();
	watch->metrics = dff_metrics_new ();
	start_worker (watch);
	start_watcher (watch);
	watch->ticker = event_new (watch->base, -1, EV_PERSIST, tick, watch);
	event_add (watch->ticker, &interval);
	return watch;
}

static void
watch_free (struct watch *watch)
{
	event_free (watch->ticker);
	dff_http_client_free (watch->http);
	dff_watcher_free (watch->watcher);
	dff_http_worker_free (watch->workers);
	relay_free (watch->relay);
	dff_worker_server_free (watch->server);
	dff_standin_worker_free (watch->worker);
	dff_memory_close (watch->store);
	dff_memory_free (watch->memory);
	dff_metrics_free (watch->metrics);
	event_base_free (watch->base);
	g_free (watch);
}

DFF_DEFINE_CLEANUP (watch, watch_free);

static void
set_workers (const struct watch *watch, int n)
{
	g_autoptr (GArray) list = g_array_new (FALSE, TRUE, sizeof (struct dff_watched_worker));
	for (int i = 0; i < n; i++) {
		struct dff_watched_worker worker = {
			.name = dff_name_printf ("r%d-w%d", i / 8 + 1, i % 8 + 1),
			.address = *relay_address (watch->relay),
		};
		g_array_append_val (list, worker);
	}
	dff_watcher_set_workers (watch->watcher,
				 (const struct dff_watched_worker *)(void *)list->data, list->len);
}

struct watch_axes {
	struct slope_axes messages;
	struct slope_axes bytes;
	struct slope_axes payload;
	struct slope_axes cpu;
};

#define AXES(kind)                                                                                 \
	{                                                                                          \
		{"watching_messages_per_s" kind, "workers watched", "messages/s in and out"},      \
			{"watching_wire_bytes_per_s" kind, "workers watched",                      \
			 "wire bytes/s in and out"},                                               \
			{"watching_payload_bytes_per_s" kind, "workers watched",                   \
			 "bytes/s without TCP"},                                                   \
			{"watching_cpu_percent" kind, "workers watched", "% of a core"},           \
	}

static void
by_workers (struct slopes *slopes, const struct watch_axes *axes, int n, int32_t interval_ms)
{
	DFF_AUTO (watch) watch = watch_new ();
	dff_http_worker_set_renew_wait (watch->workers, interval_ms);
	dff_watcher_set_interval (watch->watcher, interval_ms);
	set_workers (watch, n);
	slopes_run_loop (watch->base, SETTLE_MS);
	struct relay_counts before = relay_counts (watch->relay);
	double start_us = slopes_cpu_us ();
	slopes_run_loop (watch->base, MEASURE_MS);
	double spent_us = slopes_cpu_us () - start_us;
	struct relay_counts after = relay_counts (watch->relay);
	slopes_add (slopes, &axes->messages, n,
		    (double)(after.messages - before.messages) * 1000 / MEASURE_MS);
	slopes_add (slopes, &axes->bytes, n,
		    (double)(after.wire_bytes - before.wire_bytes) * 1000 / MEASURE_MS);
	slopes_add (slopes, &axes->payload, n,
		    (double)(after.bytes - before.bytes) * 1000 / MEASURE_MS);
	slopes_add (slopes, &axes->cpu, n, spent_us / (MEASURE_MS * 1e3) * 100);
}

/** Returns: @n reports of completed tasks with every field set. */
static GArray *
reports_new (int n)
{
	GArray *reports = g_array_new (FALSE, TRUE, sizeof (struct dff_task_report));
	for (int i = 0; i < n; i++) {
		struct dff_task_report report = {
			.task = {dff_name_from ("region-1.0123456789abcdef0123456789abcdef.12"), 1,
				 i},
			.state = DFF_TASK_COMPLETED,
			.ran = true,
			.result_key = dff_name_from ("region-1.0123456789abcdef01234567:1:12"),
			.result_length = 123456,
		};
		memset (report.result_digest, 'a', sizeof (report.result_digest) - 1);
		g_array_append_val (reports, report);
	}
	return reports;
}

static void
by_reports (struct slopes *slopes, int n)
{
	static const struct slope_axes answer = {"watching_answer_bytes", "tasks reported",
						 "bytes of a worker's answer"};
	static const struct slope_axes sighting = {"watching_sighting_bytes", "tasks reported",
						   "bytes of a message to the holder"};
	g_autoptr (GArray) reports = reports_new (n);
	const struct dff_task_report *data = (const struct dff_task_report *)(void *)reports->data;
	struct dff_worker_result result = {
		.reports = data, .n_reports = reports->len, .sequence = 12345, .incarnation = 1};
	g_autoptr (GString) body = g_string_new (NULL);
	dff_worker_wire_append_answer (body, &result);
	slopes_add (slopes, &answer, n, (double)body->len);
	struct dff_message message = {
		.sender = dff_name_from ("entry-1"),
		.kind = DFF_MESSAGE_WORKER_REPORT,
		.worker_report = {.worker = dff_name_from ("r100-w1"),
				  .reachable = true,
				  .reports = data,
				  .n_reports = reports->len},
	};
	GByteArray *bytes = dff_message_encode (&message);
	slopes_add (slopes, &sighting, n, bytes->len);
	g_byte_array_unref (bytes);
}

static void
by_grants (struct slopes *slopes, int n)
{
	static const struct slope_axes axes = {"watching_grants_bytes", "workers granted",
					       "bytes of a set of grants"};
	g_autoptr (GArray) grants = g_array_new (FALSE, TRUE, sizeof (struct dff_grant));
	for (int i = 0; i < n; i++) {
		struct dff_grant grant = {dff_name_printf ("r%d-w%d", i / 8 + 1, i % 8 + 1), 1};
		g_array_append_val (grants, grant);
	}
	struct dff_message message = {
		.sender = dff_name_from ("entry-1"),
		.kind = DFF_MESSAGE_GRANTS,
		.grants = {.epoch = 12,
			   .sequence = 12345,
			   .valid_ms = 10000,
			   .grants = (const struct dff_grant *)(void *)grants->data,
			   .n_grants = grants->len},
	};
	GByteArray *bytes = dff_message_encode (&message);
	slopes_add (slopes, &axes, n, bytes->len);
	g_byte_array_unref (bytes);
}

void
slopes_watching (struct slopes *slopes)
{
	static const struct watch_axes fixed = AXES ("");
	static const struct watch_axes spread = AXES ("_as_wired");
	static const int workers[] = {10, 20, 40, 80, 160};
	static const int reports[] = {0, 1, 4, 16, 64, 128};
	static const int grants[] = {10, 40, 90, 200, 360};
	for (size_t i = 0; i < G_N_ELEMENTS (workers); i++) {
		size_t n = (size_t)workers[i];
		by_workers (slopes, &fixed, workers[i], INTERVAL_MS);
		by_workers (slopes, &spread, workers[i],
			    dff_watch_interval_ms (n, INTERVAL_MS, LEASE_MS));
	}
	for (size_t i = 0; i < G_N_ELEMENTS (reports); i++)
		by_reports (slopes, reports[i]);
	for (size_t i = 0; i < G_N_ELEMENTS (grants); i++)
		by_grants (slopes, grants[i]);
}
