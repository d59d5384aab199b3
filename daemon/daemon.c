#include "daemon/daemon.h"

#include <openssl/rand.h>
#include <string.h>

#include "common/log.h"
#include "daemon/daemon_private.h"

#define POOL_POLL_MS 1000
#define INSTANCE_POLL_MS 1000
#define INSTANCE_TTL_MS 5000
#define PLATFORM_CONNECTIONS 8
#define SHARE_INTERVAL_MS 1000
#define GRANT_INTERVAL_MS 2000
/* Time for the members to hear of each other and for a holder to send grants, before a new process
 * works out its own. */
#define FIRST_GRANTS_MS 3000
#define SPANS_BUFFER_BYTES ((size_t)64 * 1024)

static void
handle_span (void *ctx, struct dff_str line)
{
	struct dff_daemon *daemon = ctx;
	fwrite (line.data, 1, line.len, daemon->spans);
	fputc ('\n', daemon->spans);
}

static void
handle_pool_in_force (void *ctx, const struct dff_pool *pool, struct dff_str text)
{
	struct dff_daemon *daemon = ctx;
	daemon->pool = pool;
	dff_entry_set_pool (daemon->entry, pool, text);
	dff_cell_set_pool (daemon->cell, pool);
	dff_peer_set_pool (daemon->peer, pool->generation, text);
	daemon->next_grants_ms = 0;
}

static void
handle_pool_committed (void *ctx, int64_t generation, struct dff_str text)
{
	struct dff_daemon *daemon = ctx;
	dff_pool_follower_offer (daemon->follower, generation, text);
}

static void
handle_pool_received (void *ctx, int64_t generation, struct dff_str text)
{
	struct dff_daemon *daemon = ctx;
	dff_pool_follower_offer (daemon->follower, generation, text);
}

static void
handle_job_hint (void *ctx, const struct dff_name *job)
{
	struct dff_daemon *daemon = ctx;
	dff_cell_hint (daemon->cell, job);
}

static void
handle_job_ended (void *ctx, const struct dff_name *job, enum dff_outcome outcome)
{
	struct dff_daemon *daemon = ctx;
	dff_entry_job_ended (daemon->entry, job, outcome);
}

static void
handle_job_watch (void *ctx, const struct dff_name *watcher, const struct dff_name *job)
{
	struct dff_daemon *daemon = ctx;
	dff_daemon_add_job_watcher (daemon, watcher, job);
}

static void
handle_grants (
	void *ctx, int64_t epoch, const struct dff_grant *grants, size_t n_grants, int32_t valid_ms)
{
	struct dff_daemon *daemon = ctx;
	daemon->grant_epoch = MAX (daemon->grant_epoch, epoch);
	daemon->grants_until_ms = dff_clock_now_ms (daemon->clock) + valid_ms / 2;
	dff_entry_set_grants (daemon->entry, epoch, grants, n_grants, valid_ms);
}

/* A new holder elsewhere has not heard what this process's watcher told the one before it. */
static void
tell_new_holder (struct dff_daemon *daemon)
{
	if (daemon->peer == NULL || daemon->watcher == NULL)
		return;
	const struct dff_member *holder = dff_peer_holder (daemon->peer);
	if (holder == NULL || holder->holder_epoch <= daemon->told_epoch)
		return;
	daemon->told_epoch = holder->holder_epoch;
	dff_watcher_tell_all (daemon->watcher);
}

static void
handle_members_changed (void *ctx)
{
	struct dff_daemon *daemon = ctx;
	daemon->next_share_ms = 0;
	daemon->next_grants_ms = 0;
	tell_new_holder (daemon);
}

static void
note_leaving (struct dff_daemon *daemon, const struct dff_name *worker)
{
	dff_entry_worker_leaving (daemon->entry, worker);
	if (g_hash_table_contains (daemon->leaving_workers, worker))
		return;
	g_hash_table_add (daemon->leaving_workers, dff_name_dup (worker));
	daemon->next_grants_ms = 0;
}

/* A watcher's sighting, this process's own or a peer's. */
static void
handle_sighting (void *ctx, const struct dff_worker_sighting *sighting)
{
	struct dff_daemon *daemon = ctx;
	if (sighting->leaving)
		note_leaving (daemon, &sighting->worker);
	else if (g_hash_table_remove (daemon->leaving_workers, &sighting->worker))
		daemon->next_grants_ms = 0;
	dff_cell_sighting (daemon->cell, sighting);
}

static void
handle_own_sighting (void *ctx, const struct dff_worker_sighting *sighting)
{
	struct dff_daemon *daemon = ctx;
	if (sighting->leaving)
		note_leaving (daemon, &sighting->worker);
	dff_peer_send_sighting (daemon->peer, sighting);
}

static void
handle_job_changed (void *ctx, const struct dff_name *job, enum dff_outcome outcome)
{
	struct dff_daemon *daemon = ctx;
	if (outcome != DFF_OUTCOME_NONE)
		dff_daemon_tell_job_ended (daemon, job, outcome);
}

static void
handle_holder_changed (void *ctx, bool is_holder, int64_t epoch)
{
	struct dff_daemon *daemon = ctx;
	bool ready = daemon->entry != NULL && dff_entry_is_ready (daemon->entry);
	dff_peer_set_state (daemon->peer, ready, daemon->draining, is_holder ? epoch : 0);
	daemon->next_grants_ms = 0;
	if (daemon->watcher != NULL)
		dff_watcher_tell_all (daemon->watcher);
}

static void
handle_instances (void *ctx, const struct dff_instance *instances, size_t n_instances)
{
	struct dff_daemon *daemon = ctx;
	g_array_set_size (daemon->instances, 0);
	if (n_instances > 0)
		g_array_append_vals (daemon->instances, instances, (guint)n_instances);
	dff_zmq_transport_set_instances (daemon->transport, instances, n_instances);
	dff_peer_set_instances (daemon->peer, instances, n_instances);
	dff_cell_set_instances (daemon->cell, instances, n_instances);
	dff_entry_set_instances (daemon->entry, instances, n_instances);
	daemon->next_share_ms = 0;
	daemon->next_grants_ms = 0;
}

static void
handle_message (void *ctx, const uint8_t *data, size_t len)
{
	struct dff_daemon *daemon = ctx;
	if (daemon->peer != NULL)
		dff_peer_receive (daemon->peer, data, len);
}

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
	/* A write id must never be used twice, also not by the next process under the same name. */
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
	watcher.workers = dff_http_worker_client (daemon->workers);
	watcher.clock = daemon->clock;
	watcher.metrics = daemon->metrics;
	watcher.seed = random_seed ();
	watcher.interval_ms = settings->watch_interval_ms;
	watcher.lease_ms = settings->task_lease_ms;
	watcher.sighted = handle_own_sighting;
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
		.receive = handle_message,
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
	peer.callbacks = (struct dff_peer_callbacks){
		.pool_received = handle_pool_received,
		.job_hint = handle_job_hint,
		.job_ended = handle_job_ended,
		.job_watch = handle_job_watch,
		.sighting = handle_sighting,
		.grants_received = handle_grants,
		.members_changed = handle_members_changed,
		.ctx = daemon,
	};
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
	cell.workers = dff_http_worker_client (daemon->workers);
	cell.clock = daemon->clock;
	cell.metrics = daemon->metrics;
	cell.tracer = daemon->tracer;
	cell.recorder = daemon->recorder;
	cell.seed = random_seed ();
	cell.lease_ms = settings->cell_lease_ms;
	cell.renew_ms = settings->cell_renew_ms;
	cell.lease_margin_ms = settings->cell_margin_ms;
	cell.task_lease_ms = settings->task_lease_ms;
	cell.callbacks = (struct dff_cell_callbacks){
		.job_changed = handle_job_changed,
		.holder_changed = handle_holder_changed,
		.ctx = daemon,
	};
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
		.workers = dff_http_worker_client (daemon->workers),
		.peer = daemon->peer,
		.cell = daemon->cell,
		.seed = random_seed (),
		.pool_committed = handle_pool_committed,
		.ctx = daemon,
	};
	daemon->entry = dff_entry_new (&entry, error);
	return daemon->entry != NULL;
}

static void
start_following (struct dff_daemon *daemon)
{
	struct dff_pool_follower_options follower = {
		.table = dff_http_table_interface (daemon->table),
		.clock = daemon->clock,
		.metrics = daemon->metrics,
		.poll_ms = POOL_POLL_MS,
		.in_force = handle_pool_in_force,
		.ctx = daemon,
	};
	daemon->follower = dff_pool_follower_new (&follower);
	struct dff_instance_watch_options watch = {
		.list = dff_http_instance_list_interface (daemon->list),
		.clock = daemon->clock,
		.metrics = daemon->metrics,
		.self = self_instance (daemon),
		.seed = random_seed (),
		.poll_ms = INSTANCE_POLL_MS,
		.ttl_ms = INSTANCE_TTL_MS,
		.changed = handle_instances,
		.ctx = daemon,
	};
	daemon->instance_watch = dff_instance_watch_new (&watch);
}

static void
tick_shares (struct dff_daemon *daemon, int64_t now_ms)
{
	if (now_ms >= daemon->next_share_ms) {
		daemon->next_share_ms = now_ms + SHARE_INTERVAL_MS;
		dff_daemon_share_watching (daemon);
		dff_daemon_rank (daemon);
		dff_daemon_check_isolation (daemon, now_ms);
	}
	if (now_ms >= daemon->next_grants_ms) {
		daemon->next_grants_ms = now_ms + GRANT_INTERVAL_MS;
		dff_daemon_share_grants (daemon);
		dff_daemon_share_without_holder (daemon, now_ms);
	}
}

static void
tell_state (struct dff_daemon *daemon)
{
	bool holder = dff_cell_is_holder (daemon->cell);
	dff_peer_set_state (daemon->peer, dff_entry_is_ready (daemon->entry), daemon->draining,
			    holder ? dff_cell_epoch (daemon->cell) : 0);
}

static void
handle_tick (evutil_socket_t fd, short events, void *ctx)
{
	(void)fd;
	(void)events;
	struct dff_daemon *daemon = ctx;
	int64_t now_ms = dff_clock_now_ms (daemon->clock);
	dff_instance_watch_tick (daemon->instance_watch);
	dff_pool_follower_tick (daemon->follower);
	dff_peer_tick (daemon->peer);
	tick_shares (daemon, now_ms);
	dff_watcher_tick (daemon->watcher);
	dff_cell_tick (daemon->cell);
	dff_entry_tick (daemon->entry);
	dff_recorder_tick (daemon->recorder);
	tell_state (daemon);
	if (daemon->spans != NULL)
		fflush (daemon->spans);
	if (dff_entry_drain_requested (daemon->entry))
		dff_daemon_drain (daemon);
	dff_daemon_continue_drain (daemon, now_ms);
}

static void
start_ticking (struct dff_daemon *daemon)
{
	int32_t tick_ms = daemon->settings->tick_ms;
	struct timeval interval = {tick_ms / 1000, (tick_ms % 1000) * 1000L};
	daemon->ticker = event_new (daemon->base, -1, EV_PERSIST, handle_tick, daemon);
	event_add (daemon->ticker, &interval);
}

static bool
open_spans (struct dff_daemon *daemon, GError **error)
{
	const char *path = daemon->settings->trace_path->str;
	if (*path == '\0')
		return true;
	daemon->spans = strcmp (path, "-") == 0 ? stdout : fopen (path, "ae");
	if (daemon->spans != NULL) {
		/* The tick flushes: a larger buffer saves a write for each handful of requests. */
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

static bool
start_parts (struct dff_daemon *daemon, GError **error)
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
	start_following (daemon);
	start_ticking (daemon);
	return true;
}

struct dff_daemon *
dff_daemon_new (struct event_base *base, struct dff_settings *settings, GError **error)
{
	struct dff_daemon *daemon = g_new0 (struct dff_daemon, 1);
	daemon->base = base;
	daemon->settings = settings;
	daemon->clock = dff_clock_system ();
	daemon->started_ms = dff_clock_now_ms (daemon->clock);
	daemon->grants_until_ms = daemon->started_ms + FIRST_GRANTS_MS;
	daemon->metrics = dff_metrics_new ();
	daemon->instances = g_array_new (FALSE, TRUE, sizeof (struct dff_instance));
	daemon->leaving_workers =
		g_hash_table_new_full (dff_name_hash, dff_name_equal_func, g_free, NULL);
	daemon->job_watchers = g_hash_table_new_full (dff_name_hash, dff_name_equal_func, g_free,
						      (GDestroyNotify)g_array_unref);
	if (!start_parts (daemon, error)) {
		dff_daemon_free (daemon);
		return NULL;
	}
	dff_log (DFF_LOG_SERVE, DFF_LOG_INFO, "Started. instance=%s listen=%s",
		 settings->instance.data, settings->listen.data);
	return daemon;
}

void
dff_daemon_settings_changed (struct dff_daemon *daemon)
{
	dff_log_set_level (daemon->settings->log_level);
}

/* The clients go first: no answer may come back to a part that is gone. */
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
	if (daemon->follower != NULL)
		dff_pool_follower_free (daemon->follower);
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
dff_daemon_free (struct dff_daemon *daemon)
{
	free_clients (daemon);
	free_parts (daemon);
	free_services (daemon);
	if (daemon->tracer != NULL)
		dff_tracer_free (daemon->tracer);
	if (daemon->spans != NULL && daemon->spans != stdout)
		fclose (daemon->spans);
	g_hash_table_unref (daemon->job_watchers);
	g_hash_table_unref (daemon->leaving_workers);
	g_array_unref (daemon->instances);
	dff_metrics_free (daemon->metrics);
	g_free (daemon);
}
