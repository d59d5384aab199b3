#include <openssl/rand.h>
#include <string.h>

#include "common/log.h"
#include "daemon/daemon_private.h"

/* Creates and frees the parts of a process. */

#define POOL_POLL_MS 1000
#define INSTANCE_POLL_MS 1000
#define INSTANCE_TTL_MS 5000
#define PLATFORM_CONNECTIONS 8
#define SPANS_BUFFER_BYTES ((size_t)64 * 1024)

static uint64_t
random_seed (void)
{
	uint64_t seed = 0;
	int filled = RAND_bytes ((unsigned char *)&seed, sizeof (seed));
	g_assert (filled == 1);
	return seed;
}

static struct dff_instance
self_instance (const struct dff_daemon *daemon)
{
	const struct dff_settings *settings = daemon->settings;
	struct dff_instance self = {
		.id = settings->instance,
		.role = DFF_INSTANCE_ENTRY,
		.address = settings->listen,
		.data_centre = settings->data_centre,
		.region = settings->region,
		.peer_address = dff_zmq_transport_endpoint (daemon->transport),
		.peer_key = settings->peer_public_key,
	};
	return self;
}

static void
start_platform (struct dff_daemon *daemon)
{
	const struct dff_settings *settings = daemon->settings;
	struct dff_http_client_options http;
	dff_http_client_options_init (&http);
	http.base = daemon->base;
	http.metrics = daemon->metrics;
	http.max_connections = PLATFORM_CONNECTIONS;
	daemon->platform_http = dff_http_client_new (&http);
	struct dff_http_service_options service;
	dff_http_service_options_init (&service);
	service.client = daemon->platform_http;
	service.instance = settings->instance;
	service.address = settings->table_address;
	daemon->table = dff_http_table_new (&service);
	service.address = settings->object_store_address;
	daemon->objects = dff_http_object_store_new (&service);
	service.address = settings->instance_list_address;
	daemon->list = dff_http_instance_list_new (&service);
	struct dff_recorder_options recorder;
	dff_recorder_options_init (&recorder);
	recorder.table = dff_http_table_interface (daemon->table);
	recorder.clock = daemon->clock;
	recorder.metrics = daemon->metrics;
	/* A write id must never be reused, not even by the next process of the same name. */
	recorder.writer = dff_name_printf ("%.30s-%016" G_GINT64_MODIFIER "x",
					   settings->instance.data, random_seed ());
	recorder.seed = random_seed ();
	recorder.max_commits_per_s = settings->table_writes_per_s;
	daemon->recorder = dff_recorder_new (&recorder);
}

static void
start_workers (struct dff_daemon *daemon)
{
	const struct dff_settings *settings = daemon->settings;
	struct dff_http_client_options http;
	dff_http_client_options_init (&http);
	http.base = daemon->base;
	http.metrics = daemon->metrics;
	http.max_connections = settings->upstream_connections;
	daemon->worker_http = dff_http_client_new (&http);
	struct dff_http_worker_options workers;
	dff_http_worker_options_init (&workers);
	workers.http = daemon->worker_http;
	workers.metrics = daemon->metrics;
	workers.renew_wait_ms = settings->watch_interval_ms;
	daemon->workers = dff_http_worker_new (&workers);
	struct dff_watcher_options watcher;
	dff_watcher_options_init (&watcher);
	watcher.workers = dff_http_worker_interface (daemon->workers);
	watcher.clock = daemon->clock;
	watcher.metrics = daemon->metrics;
	watcher.seed = random_seed ();
	watcher.interval_ms = settings->watch_interval_ms;
	watcher.lease_ms = settings->task_lease_ms;
	watcher.report = dff_daemon_handle_own_worker_report;
	watcher.ctx = daemon;
	daemon->watcher = dff_watcher_new (&watcher);
}

static bool
start_peer (struct dff_daemon *daemon, GError **error)
{
	const struct dff_settings *settings = daemon->settings;
	struct dff_zmq_transport_options transport = {
		.base = daemon->base,
		.metrics = daemon->metrics,
		.listen = settings->peer_listen,
		.public_key = settings->peer_public_key,
		.secret_key = settings->peer_secret_key,
		.receive = dff_daemon_handle_message,
		.receive_ctx = daemon,
	};
	daemon->transport = dff_zmq_transport_new (&transport, error);
	if (daemon->transport == NULL)
		return false;
	struct dff_peer_options peer;
	dff_peer_options_init (&peer);
	peer.self = self_instance (daemon);
	peer.clock = daemon->clock;
	peer.metrics = daemon->metrics;
	peer.transport = dff_zmq_transport_interface (daemon->transport);
	peer.seed = random_seed ();
	peer.heartbeat_ms = settings->heartbeat_ms;
	peer.suspect_ms = settings->suspect_ms;
	peer.dead_ms = settings->dead_ms;
	peer.callbacks = dff_daemon_peer_callbacks (daemon);
	daemon->peer = dff_peer_new (&peer);
	return true;
}

static void
start_cell (struct dff_daemon *daemon)
{
	const struct dff_settings *settings = daemon->settings;
	struct dff_cell_options cell;
	dff_cell_options_init (&cell);
	cell.instance = settings->instance;
	cell.region = settings->region;
	cell.table = dff_http_table_interface (daemon->table);
	cell.workers = dff_http_worker_interface (daemon->workers);
	cell.clock = daemon->clock;
	cell.metrics = daemon->metrics;
	cell.tracer = daemon->tracer;
	cell.recorder = daemon->recorder;
	cell.seed = random_seed ();
	cell.lease_ms = settings->cell_lease_ms;
	cell.renew_ms = settings->cell_renew_ms;
	cell.lease_margin_ms = settings->cell_margin_ms;
	cell.task_lease_ms = settings->task_lease_ms;
	cell.retention_s = settings->retention_s;
	cell.callbacks = dff_daemon_cell_callbacks (daemon);
	daemon->cell = dff_cell_new (&cell);
}

static bool
start_entry (struct dff_daemon *daemon, GError **error)
{
	struct dff_entry_options entry = {
		.base = daemon->base,
		.settings = daemon->settings,
		.clock = daemon->clock,
		.metrics = daemon->metrics,
		.tracer = daemon->tracer,
		.table = dff_http_table_interface (daemon->table),
		.objects = dff_http_object_store_interface (daemon->objects),
		.recorder = daemon->recorder,
		.workers = dff_http_worker_interface (daemon->workers),
		.peer = daemon->peer,
		.cell = daemon->cell,
		.seed = random_seed (),
		.pool_committed = dff_daemon_handle_pool_committed,
		.ctx = daemon,
	};
	daemon->entry = dff_entry_new (&entry, error);
	return daemon->entry != NULL;
}

static void
start_watches (struct dff_daemon *daemon)
{
	struct dff_pool_watch_options pool_watch = {
		.table = dff_http_table_interface (daemon->table),
		.clock = daemon->clock,
		.metrics = daemon->metrics,
		.poll_ms = POOL_POLL_MS,
		.in_force = dff_daemon_handle_pool_in_force,
		.ctx = daemon,
	};
	daemon->pool_watch = dff_pool_watch_new (&pool_watch);
	struct dff_instance_watch_options watch = {
		.list = dff_http_instance_list_interface (daemon->list),
		.clock = daemon->clock,
		.metrics = daemon->metrics,
		.self = self_instance (daemon),
		.seed = random_seed (),
		.poll_ms = INSTANCE_POLL_MS,
		.ttl_ms = INSTANCE_TTL_MS,
		.changed = dff_daemon_handle_instances,
		.ctx = daemon,
	};
	daemon->instance_watch = dff_instance_watch_new (&watch);
}

static void
handle_span (void *ctx, struct dff_str line)
{
	struct dff_daemon *daemon = ctx;
	fwrite (line.data, 1, line.len, daemon->spans);
	fputc ('\n', daemon->spans);
}

static bool
open_spans (struct dff_daemon *daemon, GError **error)
{
	const char *path = daemon->settings->trace_path->str;
	if (*path == '\0')
		return true;
	daemon->spans = strcmp (path, "-") == 0 ? stdout : fopen (path, "ae");
	if (daemon->spans != NULL) {
		/* The tick flushes the buffer. A large one saves one write for every few
		 * requests. */
		setvbuf (daemon->spans, NULL, _IOFBF, SPANS_BUFFER_BYTES);
		return true;
	}
	g_set_error (error, DFF_SETTINGS_ERROR, DFF_SETTINGS_ERROR_READ,
		     "%s: cannot be opened for spans", path);
	return false;
}

static void
start_tracing (struct dff_daemon *daemon)
{
	dff_trace_sink_func sink = daemon->spans != NULL ? handle_span : NULL;
	daemon->tracer = dff_tracer_new (daemon->clock, &daemon->settings->instance, random_seed (),
					 sink, daemon);
}

bool
dff_daemon_start_parts (struct dff_daemon *daemon, GError **error)
{
	if (!open_spans (daemon, error))
		return false;
	start_tracing (daemon);
	start_platform (daemon);
	start_workers (daemon);
	if (!start_peer (daemon, error))
		return false;
	start_cell (daemon);
	if (!start_entry (daemon, error))
		return false;
	start_watches (daemon);
	return true;
}

/* The clients are freed first, so that no answer arrives at a part that is already freed. */
static void
free_clients (struct dff_daemon *daemon)
{
	if (daemon->ticker != NULL)
		event_free (daemon->ticker);
	if (daemon->worker_http != NULL)
		dff_http_client_free (daemon->worker_http);
	if (daemon->platform_http != NULL)
		dff_http_client_free (daemon->platform_http);
}

static void
free_parts (struct dff_daemon *daemon)
{
	if (daemon->entry != NULL)
		dff_entry_free (daemon->entry);
	if (daemon->pool_watch != NULL)
		dff_pool_watch_free (daemon->pool_watch);
	if (daemon->instance_watch != NULL)
		dff_instance_watch_free (daemon->instance_watch);
	if (daemon->cell != NULL)
		dff_cell_free (daemon->cell);
	if (daemon->peer != NULL)
		dff_peer_free (daemon->peer);
	if (daemon->transport != NULL)
		dff_zmq_transport_free (daemon->transport);
	if (daemon->watcher != NULL)
		dff_watcher_free (daemon->watcher);
	if (daemon->recorder != NULL)
		dff_recorder_free (daemon->recorder);
}

static void
free_services (struct dff_daemon *daemon)
{
	if (daemon->workers != NULL)
		dff_http_worker_free (daemon->workers);
	if (daemon->list != NULL)
		dff_http_instance_list_free (daemon->list);
	if (daemon->objects != NULL)
		dff_http_object_store_free (daemon->objects);
	if (daemon->table != NULL)
		dff_http_table_free (daemon->table);
}

void
dff_daemon_free_parts (struct dff_daemon *daemon)
{
	free_clients (daemon);
	free_parts (daemon);
	free_services (daemon);
	if (daemon->tracer != NULL)
		dff_tracer_free (daemon->tracer);
	if (daemon->spans != NULL && daemon->spans != stdout)
		fclose (daemon->spans);
}
