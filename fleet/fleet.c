#include "fleet/fleet.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <inttypes.h>
#include <sodium.h>

#include "common/http_client.h"
#include "common/http_connection.h"
#include "common/log.h"
#include "common/machine.h"
#include "fleet/intake_link.h"
#include "fleet/operator_state.h"
#include "fleet/probe_link.h"
#include "fleet/relays.h"
#include "fleet/servers.h"
#include "fleet/state_link.h"
#include "front/front.h"
#include "front/intake.h"
#include "holder/holder.h"
#include "holder/tables.h"
#include "platform/decode.h"
#include "platform/http_rows.h"
#include "platform/http_runner.h"
#include "platform/ingress.h"
#include "rows/health.h"

/** Maximum number of connections to the store. */
#define STORE_CONNECTIONS 24
/** Maximum number of connections to each worker: one carries a long poll, the others carry orders
 * of a few milliseconds each. Workers close connections that are idle for some seconds, and each
 * new connection costs a handshake. */
#define WORKER_CONNECTIONS 3
/** Idle time after which this process closes a connection to a worker, ms. Long, as each new
 * connection costs a handshake. */
#define WORKER_IDLE_MS 60000
/** Time before SIGKILL at which a stopping process ends by itself, ms. */
#define STOP_MARGIN_MS 1200
/** Time for which a stopping process keeps serving its open connections, ms. The balancer stops
 * using a process after two readiness checks, one second apart. */
#define STOP_LINGER_MS 3000
#define STOP_CHECK_MS 100
/** Waits for free capacity near a task's data, and for a whole rack, per additional run time that
 * running elsewhere would cost, ms. Sized for tasks that run for some seconds. A gang on two racks
 * also occupies them for longer, so that wait is longer. */
#define LOCALITY_WAIT_MS 2000
#define RACK_WAIT_MS 7500
/** Cost of a takeover with a thousand workers and five thousand units: processor time of a whole
 * core, ms, and data to be read, kbit. A takeover of this size completes within 0.2 to 0.3 s with
 * half a core and 200 Mbit/s, and within 0.4 to 1.6 s with 0.12 of a core and 20 Mbit/s. */
#define TAKEOVER_PROCESSOR_MS 120.0
#define TAKEOVER_KBITS 8000.0
/** Lower bound for the processor share and the link bandwidth in the estimate, so that a process
 * without either ranks last instead of dividing by zero. */
#define RESOURCE_MIN 0.001
/** Margin below the longest lease that a worker grants, ms. */
#define LEASE_MARGIN_MS 500

/** Share of the machine's memory above which new jobs are refused. */
#define OPEN_JOBS_SHARE 0.4

G_DEFINE_QUARK (dff_fleet_error, dff_fleet_error)

struct dff_fleet {
	struct event_base *base;
	struct dff_timers timers;
	const struct dff_clock *clock;
	struct dff_fleet_settings settings;
	struct dff_metrics *metrics;
	struct dff_http_client *store_client;
	struct dff_http_client *worker_client;
	struct dff_probe_link *probe_link;
	struct dff_fleet_relays *relays;
	/** Name of this incarnation of the process. */
	struct dff_name incarnation;
	struct dff_http_rows *rows;
	struct dff_rows_health *store_health;
	struct dff_http_runner *runner;
	struct dff_front *front;
	struct dff_intake *intake;
	struct dff_intake_link *intake_link;
	struct dff_state_link *state_link;
	struct dff_ingress *ingress;
	struct dff_holder *holder;
	struct dff_operator_state *operator_state;
	struct dff_fleet_servers *servers;
	bool was_ready;
	int64_t stopping_since_ms;
	struct event *stop_check;
	int64_t *ready_gauge;
};

static bool
is_stopping (const struct dff_fleet *fleet)
{
	return fleet->stopping_since_ms > 0;
}

static void
set_teams (const struct dff_fleet *fleet, const struct dff_fleet_config *config)
{
	g_autoptr (GArray) teams = g_array_new (FALSE, TRUE, sizeof (struct dff_holder_team));
	for (guint i = 0; i < config->teams->len; i++) {
		const struct dff_fleet_team *from =
			&g_array_index (config->teams, struct dff_fleet_team, i);
		struct dff_holder_team team = {.name = from->name,
					       .assured_accelerators = from->assured_accelerators};
		g_array_append_val (teams, team);
	}
	dff_holder_set_teams (fleet->holder, (const struct dff_holder_team *)(void *)teams->data,
			      teams->len);
}

static void
handle_config (void *ctx, const struct dff_fleet_config *config)
{
	const struct dff_fleet *fleet = ctx;
	set_teams (fleet, config);
	dff_fleet_servers_set_caller_limits (fleet->servers, &config->caller_limits);
	dff_holder_set_unenforced (fleet->holder,
				   (const struct dff_name *)(void *)config->unenforced->data,
				   config->unenforced->len);
}

static void
handle_evacuated (void *ctx, const struct dff_name *data_centres, size_t n_data_centres)
{
	const struct dff_fleet *fleet = ctx;
	dff_holder_set_evacuated (fleet->holder, data_centres, n_data_centres);
}

static int64_t
evacuations_age_ms (void *ctx)
{
	const struct dff_fleet *fleet = ctx;
	return dff_operator_state_evacuations_age_ms (fleet->operator_state);
}

static const struct dff_fleet_config *
current_config (void *ctx)
{
	const struct dff_fleet *fleet = ctx;
	return dff_operator_state_config (fleet->operator_state);
}

static void
handle_ready (struct evhttp_request *request, void *ctx)
{
	struct dff_fleet *fleet = ctx;
	bool ready = !is_stopping (fleet) && dff_operator_state_is_fresh (fleet->operator_state);
	if (ready != fleet->was_ready) {
		dff_log (DFF_LOG_SERVE, DFF_LOG_INFO, "%s config_age_ms=%" PRId64 " stopping=%d",
			 ready ? "Ready." : "Not ready.",
			 dff_operator_state_age_ms (fleet->operator_state), is_stopping (fleet));
	}
	fleet->was_ready = ready;
	*fleet->ready_gauge = ready;
	evhttp_send_reply (request, ready ? 200 : 503, NULL, NULL);
}

static void
handle_metrics (struct evhttp_request *request, void *ctx)
{
	struct dff_fleet *fleet = ctx;
	g_autoptr (GString) text = g_string_new (NULL);
	dff_metrics_print (fleet->metrics, text);
	evhttp_add_header (evhttp_request_get_output_headers (request), "Content-Type",
			   "text/plain; version=0.0.4");
	evbuffer_add (evhttp_request_get_output_buffer (request), text->str, text->len);
	evhttp_send_reply (request, 200, NULL, NULL);
}

static struct dff_http_client *
client_new (struct dff_fleet *fleet, int32_t max_connections, int32_t max_idle_ms)
{
	struct dff_http_client_options options;
	dff_http_client_options_init (&options);
	options.base = fleet->base;
	options.metrics = fleet->metrics;
	options.max_connections = max_connections;
	options.max_idle_ms = max_idle_ms;
	return dff_http_client_new (&options);
}

/* Polls the operator state as soon as the store answers again. A poll that was sent just before the
 * store's return is not answered and would be waited for until its timeout: for up to a second
 * more, callers would be refused because no current configuration is known. */
static void
handle_store_recovered (void *ctx)
{
	const struct dff_fleet *fleet = ctx;
	if (fleet->operator_state != NULL)
		dff_operator_state_wake (fleet->operator_state);
	if (fleet->holder != NULL)
		dff_holder_handle_store_recovered (fleet->holder);
}

static void
open_clients (struct dff_fleet *fleet)
{
	struct dff_http_client_options defaults;
	dff_http_client_options_init (&defaults);
	fleet->store_client = client_new (fleet, STORE_CONNECTIONS, defaults.max_idle_ms);
	fleet->worker_client = client_new (fleet, WORKER_CONNECTIONS, WORKER_IDLE_MS);
	fleet->rows = dff_http_rows_new (fleet->store_client, &fleet->settings.store_address);
	struct dff_rows_health_options health = {
		.timers = &fleet->timers,
		.metrics = fleet->metrics,
		.rows = dff_http_rows_interface (fleet->rows),
		.probe_table = DFF_TABLE_CELL,
		.probe_key = DFF_KEY_HOLDER,
		.recovered = handle_store_recovered,
		.recovered_ctx = fleet,
	};
	fleet->store_health = dff_rows_health_new (&health);
	fleet->runner = dff_http_runner_new (fleet->worker_client);
}

static void
open_probe_link (struct dff_fleet *fleet)
{
	struct dff_probe_link_options options = {.base = fleet->base,
						 .clock = fleet->clock,
						 .metrics = fleet->metrics,
						 .incarnation = fleet->incarnation};
	fleet->probe_link = dff_probe_link_new (&options);
}

static void
handle_holder_lost (void *ctx)
{
	const struct dff_fleet *fleet = ctx;
	if (fleet->holder != NULL)
		dff_holder_handle_holder_lost (fleet->holder);
}

static bool
open_relays (struct dff_fleet *fleet, GError **error)
{
	struct dff_fleet_relays_options options = {
		.base = fleet->base,
		.timers = &fleet->timers,
		.metrics = fleet->metrics,
		.direct = dff_http_runner_interface (fleet->runner),
		.incarnation = fleet->incarnation,
		.address = fleet->settings.relay_address,
		.holder_lost = handle_holder_lost,
		.ctx = fleet,
	};
	fleet->relays = dff_fleet_relays_new (&options);
	if (fleet->relays != NULL)
		return true;
	g_set_error (error, DFF_FLEET_ERROR, DFF_FLEET_ERROR_LISTEN, "cannot listen on %s",
		     options.address.data);
	return false;
}

static bool
store_is_silent (void *ctx)
{
	struct dff_fleet *fleet = ctx;
	return dff_rows_health_is_silent (fleet->store_health);
}

static bool
writes_forwarded (void *ctx)
{
	const struct dff_fleet *fleet = ctx;
	return dff_intake_writes_forwarded (fleet->intake);
}

static int64_t
store_latency_ms (void *ctx)
{
	const struct dff_fleet *fleet = ctx;
	return dff_holder_store_latency_ms (fleet->holder);
}

static void
handle_holder_changed (void *ctx, const struct dff_name *address, bool self)
{
	const struct dff_fleet *fleet = ctx;
	dff_intake_set_holder_address (fleet->intake, address, self);
	dff_state_link_set_holder_address (fleet->state_link, address, self);
	if (fleet->operator_state != NULL)
		dff_operator_state_set_holding (fleet->operator_state, self);
}

static void
handle_intake_holder_moved (void *ctx, const struct dff_name *address)
{
	const struct dff_fleet *fleet = ctx;
	dff_state_link_set_holder_address (fleet->state_link, address, false);
}

static void
handle_state_holder_moved (void *ctx, const struct dff_name *address)
{
	const struct dff_fleet *fleet = ctx;
	dff_intake_set_holder_address (fleet->intake, address, false);
}

static bool
record_row (void *ctx, const struct dff_intake_row *row, dff_rows_func done, void *user)
{
	const struct dff_fleet *fleet = ctx;
	struct dff_holder_submission submission = {
		.key = row->key, .value = row->value, .timeout_ms = row->timeout_ms};
	return dff_holder_submit (fleet->holder, &submission, done, user);
}

static void
open_intake (struct dff_fleet *fleet)
{
	fleet->intake_link = dff_intake_link_new (fleet->base, fleet->metrics);
	struct dff_intake_options options = {
		.timers = &fleet->timers,
		.rows = dff_rows_health_interface (fleet->store_health),
		.metrics = fleet->metrics,
		.forward_min_latency_ms = 0,
		.store_is_silent = store_is_silent,
		.store_latency_ms = store_latency_ms,
		.store_ctx = fleet,
		.forward = dff_intake_link_forward,
		.forward_ctx = fleet->intake_link,
		.record = record_row,
		.record_ctx = fleet,
		.holder_lost = handle_holder_lost,
		.holder_moved = handle_intake_holder_moved,
		.holder_ctx = fleet,
	};
	fleet->intake = dff_intake_new (&options);
}

static void
open_state_link (struct dff_fleet *fleet)
{
	struct dff_state_link_options options = {.base = fleet->base,
						 .clock = fleet->clock,
						 .metrics = fleet->metrics,
						 .holder_lost = handle_holder_lost,
						 .holder_moved = handle_state_holder_moved,
						 .ctx = fleet};
	fleet->state_link = dff_state_link_new (&options);
}

static int64_t
store_served_ms (void *ctx)
{
	const struct dff_fleet *fleet = ctx;
	return dff_rows_health_served_ms (fleet->store_health);
}

static int64_t
takeover_ms (const struct dff_fleet_settings *settings)
{
	double processor = settings->processor_share * settings->processor_speed;
	return (int64_t)(TAKEOVER_PROCESSOR_MS / MAX (processor, RESOURCE_MIN) +
			 TAKEOVER_KBITS / MAX (settings->link_mbps, RESOURCE_MIN));
}

static void
open_holder (struct dff_fleet *fleet)
{
	struct dff_holder_options options;
	dff_holder_options_init (&options);
	options.timers = &fleet->timers;
	options.rows = dff_rows_health_interface (fleet->store_health);
	options.runner = dff_fleet_relays_runner (fleet->relays);
	options.relay_address = fleet->settings.relay_address;
	options.relay_connect = dff_fleet_relays_connect;
	options.relay_set_limit = dff_fleet_relays_set_limit;
	options.relay_ctx = fleet->relays;
	options.holder_changed = handle_holder_changed;
	options.holder_ctx = fleet;
	options.metrics = fleet->metrics;
	options.instance = fleet->incarnation;
	options.probe_address = fleet->settings.ready_address;
	options.send_probe = dff_probe_link_send;
	options.probe_ctx = fleet->probe_link;
	options.store_served_ms = store_served_ms;
	options.store_ctx = fleet;
	options.takeover_ms = takeover_ms (&fleet->settings);
	options.read_upstream = dff_platform_read_upstream;
	options.evacuations_age_ms = evacuations_age_ms;
	options.evacuations_ctx = fleet;
	options.lease_ms =
		MIN (options.lease_ms, fleet->settings.worker_lease_max_ms - LEASE_MARGIN_MS);
	options.lease_max_ms = fleet->settings.worker_lease_max_ms;
	options.gang_wait_ms = fleet->settings.gang_wait_ms;
	options.locality_wait_ms = (int64_t)(LOCALITY_WAIT_MS * (fleet->settings.far_factor - 1.0));
	options.rack_wait_ms = (int64_t)(RACK_WAIT_MS * (fleet->settings.far_factor - 1.0));
	options.retention_ms =
		fleet->settings.retention_s * INT64_C (1000) + options.retention_ms / 10;
	options.open_jobs_max_bytes =
		(size_t)((double)dff_machine_memory_bytes () * OPEN_JOBS_SHARE);
	fleet->holder = dff_holder_new (&options);
	dff_probe_link_set_local_holder (fleet->probe_link, fleet->holder);
	dff_state_link_set_local_holder (fleet->state_link, fleet->holder);
}

static void
open_front (struct dff_fleet *fleet)
{
	struct dff_front_options front = {
		.timers = &fleet->timers,
		.rows = dff_intake_interface (fleet->intake),
		.metrics = fleet->metrics,
		.store_is_silent = store_is_silent,
		.writes_forwarded = writes_forwarded,
		.ctx = fleet,
		.query_state = dff_state_link_query,
		.query_ctx = fleet->state_link,
	};
	fleet->front = dff_front_new (&front);
	struct dff_ingress_options ingress = {
		.base = fleet->base,
		.clock = fleet->clock,
		.front = fleet->front,
		.metrics = fleet->metrics,
		.config = current_config,
		.ctx = fleet,
	};
	fleet->ingress = dff_ingress_new (&ingress);
	struct dff_operator_state_options operator_state = {
		.timers = &fleet->timers,
		.rows = dff_rows_health_interface (fleet->store_health),
		.metrics = fleet->metrics,
		.bound_ms = fleet->settings.config_bound_ms,
		.config_changed = handle_config,
		.evacuations_changed = handle_evacuated,
		.ctx = fleet,
	};
	fleet->operator_state = dff_operator_state_new (&operator_state);
}

static bool
listen_at (struct dff_http_server *server, const struct dff_name *address, GError **error)
{
	struct dff_name bound;
	if (dff_http_server_listen (server, address, &bound))
		return true;
	g_set_error (error, DFF_FLEET_ERROR, DFF_FLEET_ERROR_LISTEN, "cannot listen on %s",
		     address->data);
	return false;
}

static bool
open_listeners (struct dff_fleet *fleet, GError **error)
{
	struct dff_fleet_servers_options options = {.base = fleet->base,
						    .timers = &fleet->timers,
						    .metrics = fleet->metrics,
						    .max_descriptors =
							    dff_machine_max_descriptors (),
						    .memory_bytes = dff_machine_memory_bytes ()};
	fleet->servers = dff_fleet_servers_new (&options);
	struct dff_http_server *callers =
		dff_fleet_servers_get (fleet->servers, DFF_FLEET_SERVER_CALLERS);
	struct dff_http_server *peers =
		dff_fleet_servers_get (fleet->servers, DFF_FLEET_SERVER_PEERS);
	struct dff_http_server *metrics =
		dff_fleet_servers_get (fleet->servers, DFF_FLEET_SERVER_METRICS);
	dff_ingress_serve (fleet->ingress, callers);
	dff_http_server_set_default (peers, handle_ready, fleet);
	dff_probe_link_serve (fleet->probe_link, peers);
	dff_intake_link_serve (fleet->intake, peers);
	dff_state_link_serve (fleet->state_link, peers);
	dff_http_server_add_path (metrics, "/metrics", handle_metrics, fleet);
	return listen_at (callers, &fleet->settings.front_address, error) &&
	       listen_at (peers, &fleet->settings.ready_address, error) &&
	       listen_at (metrics, &fleet->settings.metrics_address, error);
}

static void
handle_stop_check (evutil_socket_t fd, short events, void *ctx)
{
	(void)fd;
	(void)events;
	struct dff_fleet *fleet = ctx;
	int64_t since_ms = dff_clock_now_ms (fleet->clock) - fleet->stopping_since_ms;
	bool idle = dff_ingress_n_open (fleet->ingress) == 0;
	if ((since_ms >= STOP_LINGER_MS && idle && dff_holder_has_stepped_down (fleet->holder)) ||
	    since_ms >= fleet->settings.stop_grace_s * INT64_C (1000) - STOP_MARGIN_MS) {
		dff_log (DFF_LOG_SERVE, DFF_LOG_INFO,
			 "Stopped. open_calls=%d resigned=%d after_ms=%" PRId64,
			 dff_ingress_n_open (fleet->ingress),
			 dff_holder_has_stepped_down (fleet->holder), since_ms);
		event_base_loopbreak (fleet->base);
	}
}

void
dff_fleet_stop (struct dff_fleet *fleet)
{
	if (is_stopping (fleet)) {
		event_base_loopbreak (fleet->base);
		return;
	}
	fleet->stopping_since_ms = dff_clock_now_ms (fleet->clock);
	dff_fleet_relays_leave (fleet->relays);
	dff_holder_step_down (fleet->holder);
	struct timeval interval = dff_timeval_from_ms (STOP_CHECK_MS);
	fleet->stop_check = event_new (fleet->base, -1, EV_PERSIST, handle_stop_check, fleet);
	event_add (fleet->stop_check, &interval);
}

struct dff_fleet *
dff_fleet_new (struct event_base *base, const struct dff_fleet_settings *settings, GError **error)
{
	DFF_AUTO (dff_fleet) fleet = g_new0 (struct dff_fleet, 1);
	fleet->base = base;
	fleet->timers = dff_timers_from_base (base);
	fleet->clock = fleet->timers.clock;
	fleet->settings = *settings;
	fleet->incarnation =
		dff_name_printf ("%.50s.%08x", settings->instance.data, randombytes_random ());
	fleet->metrics = dff_metrics_new ();
	fleet->ready_gauge = dff_metrics_gauge (fleet->metrics, "dff_fleet_ready",
						"1 while this process takes new connections.");
	open_clients (fleet);
	open_probe_link (fleet);
	if (!open_relays (fleet, error))
		return NULL;
	open_intake (fleet);
	open_state_link (fleet);
	open_holder (fleet);
	open_front (fleet);
	if (!open_listeners (fleet, error))
		return NULL;
	return g_steal_pointer (&fleet);
}

void
dff_fleet_free (struct dff_fleet *fleet)
{
	if (fleet->stop_check != NULL)
		event_free (fleet->stop_check);
	g_clear_pointer (&fleet->servers, dff_fleet_servers_free);
	g_clear_pointer (&fleet->operator_state, dff_operator_state_free);
	g_clear_pointer (&fleet->holder, dff_holder_free);
	/* Drops the calls in progress without calling back. */
	g_clear_pointer (&fleet->store_client, dff_http_client_free);
	g_clear_pointer (&fleet->worker_client, dff_http_client_free);
	g_clear_pointer (&fleet->relays, dff_fleet_relays_free);
	g_clear_pointer (&fleet->probe_link, dff_probe_link_free);
	g_clear_pointer (&fleet->intake_link, dff_intake_link_free);
	g_clear_pointer (&fleet->state_link, dff_state_link_free);
	g_clear_pointer (&fleet->intake, dff_intake_free);
	g_clear_pointer (&fleet->ingress, dff_ingress_free);
	g_clear_pointer (&fleet->front, dff_front_free);
	g_clear_pointer (&fleet->store_health, dff_rows_health_free);
	g_clear_pointer (&fleet->rows, dff_http_rows_free);
	g_clear_pointer (&fleet->runner, dff_http_runner_free);
	g_clear_pointer (&fleet->metrics, dff_metrics_free);
	g_free (fleet);
}
