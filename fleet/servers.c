#include "fleet/servers.h"

#include <glib.h>

#include "common/log.h"
#include "rows/rows.h"

/** Maximum size of a request's line and headers, bytes. */
#define HEADER_BYTES_MAX 16384
/** Limits of other processes and at the metrics, ms; above the time for which other processes keep
 * idle connections. */
#define PEER_REQUEST_TIMEOUT_MS 10000
#define PEER_IDLE_TIMEOUT_MS 75000
/** Limits of callers, if the configuration gives none, and the most that it may give: bytes and
 * ms. */
#define CALLER_HEADER_BYTES_DEFAULT 32768
#define CALLER_HEADER_BYTES_MAX 65536
#define CALLER_BODY_BYTES_DEFAULT (1 << 20)
#define CALLER_BODY_BYTES_MAX (4 << 20)
#define CALLER_HEADER_TIMEOUT_DEFAULT_MS 10000
#define CALLER_IDLE_TIMEOUT_DEFAULT_MS 75000
#define CALLER_TIMEOUT_MAX_MS 600000
/** Added to both times, ms: what a caller sends just within its time is still on its way then. */
#define CALLER_TIMEOUT_MARGIN_MS 1000
/** Shares of the process's descriptors that connections to each server may take. The rest is for
 * the store, the workers, the relays and other processes. Of other processes, each has up to nine
 * connections to the one that decides. */
#define CALLERS_SHARE (5.0 / 16.0)
#define PEERS_SHARE (5.0 / 16.0)
#define METRICS_SHARE (1.0 / 64.0)
/** Divisor of the machine's memory that gives what all clients together may hold. */
#define MEMORY_DIVISOR 4
/** Interval at which connections are checked, ms. */
#define CHECK_INTERVAL_MS 500

struct dff_fleet_servers {
	struct dff_connections *connections;
	int32_t max_descriptors;
	struct dff_http_server *servers[DFF_FLEET_N_SERVERS];
	struct dff_timer *check;
	int64_t *n_open;
	int64_t *n_closed;
	int64_t *held_bytes;
};

/* Limits at the start, but for the numbers of connections. */
static const struct dff_connection_limits initial_limits[DFF_FLEET_N_SERVERS] = {
	[DFF_FLEET_SERVER_CALLERS] =
		{
			.header_timeout_ms = CALLER_HEADER_TIMEOUT_DEFAULT_MS,
			.request_timeout_ms =
				CALLER_HEADER_TIMEOUT_DEFAULT_MS + CALLER_IDLE_TIMEOUT_DEFAULT_MS,
			.idle_timeout_ms = CALLER_IDLE_TIMEOUT_DEFAULT_MS,
			.max_header_bytes = CALLER_HEADER_BYTES_DEFAULT,
			.max_body_bytes = CALLER_BODY_BYTES_DEFAULT,
		},
	[DFF_FLEET_SERVER_PEERS] =
		{
			.header_timeout_ms = PEER_REQUEST_TIMEOUT_MS,
			.request_timeout_ms = PEER_REQUEST_TIMEOUT_MS,
			.idle_timeout_ms = PEER_IDLE_TIMEOUT_MS,
			.max_header_bytes = HEADER_BYTES_MAX,
			.max_body_bytes = DFF_ROW_VALUE_MAX,
		},
	[DFF_FLEET_SERVER_METRICS] =
		{
			.header_timeout_ms = PEER_REQUEST_TIMEOUT_MS,
			.request_timeout_ms = PEER_REQUEST_TIMEOUT_MS,
			.idle_timeout_ms = PEER_IDLE_TIMEOUT_MS,
			.max_header_bytes = HEADER_BYTES_MAX,
			.max_body_bytes = 0,
		},
};

static const char *const client_names[DFF_FLEET_N_SERVERS] = {
	[DFF_FLEET_SERVER_CALLERS] = "callers",
	[DFF_FLEET_SERVER_PEERS] = "peers",
	[DFF_FLEET_SERVER_METRICS] = "metrics",
};

static const double descriptor_shares[DFF_FLEET_N_SERVERS] = {
	[DFF_FLEET_SERVER_CALLERS] = CALLERS_SHARE,
	[DFF_FLEET_SERVER_PEERS] = PEERS_SHARE,
	[DFF_FLEET_SERVER_METRICS] = METRICS_SHARE,
};

static struct dff_connection_limits
initial_limits_of (const struct dff_fleet_servers *servers, enum dff_fleet_server which)
{
	struct dff_connection_limits limits = initial_limits[which];
	limits.max_connections =
		MAX (1, (int32_t)(servers->max_descriptors * descriptor_shares[which]));
	return limits;
}

static void
update_metrics (const struct dff_fleet_servers *servers)
{
	*servers->n_open = 0;
	for (int i = 0; i < DFF_FLEET_N_SERVERS; i++)
		*servers->n_open += dff_http_server_n_connections (servers->servers[i]);
	*servers->n_closed = dff_connections_n_closed (servers->connections);
	*servers->held_bytes = (int64_t)dff_connections_held_bytes (servers->connections);
}

static void
handle_check (void *ctx)
{
	struct dff_fleet_servers *servers = ctx;
	dff_connections_tick (servers->connections);
	update_metrics (servers);
	dff_timer_start (servers->check, CHECK_INTERVAL_MS);
}

static int32_t
limit_of (int64_t given, int32_t otherwise, int32_t most)
{
	return given > 0 ? (int32_t)MIN (given, most) : otherwise;
}

void
dff_fleet_servers_set_caller_limits (struct dff_fleet_servers *servers,
				     const struct dff_fleet_caller_limits *given)
{
	struct dff_connection_limits limits = initial_limits_of (servers, DFF_FLEET_SERVER_CALLERS);
	limits.max_header_bytes = (size_t)limit_of (
		given->max_header_bytes, CALLER_HEADER_BYTES_DEFAULT, CALLER_HEADER_BYTES_MAX);
	limits.max_body_bytes = (size_t)limit_of (given->max_body_bytes, CALLER_BODY_BYTES_DEFAULT,
						  CALLER_BODY_BYTES_MAX);
	limits.header_timeout_ms = limit_of (
		given->header_timeout_ms, CALLER_HEADER_TIMEOUT_DEFAULT_MS, CALLER_TIMEOUT_MAX_MS);
	limits.idle_timeout_ms = limit_of (given->idle_timeout_ms, CALLER_IDLE_TIMEOUT_DEFAULT_MS,
					   CALLER_TIMEOUT_MAX_MS);
	limits.header_timeout_ms += CALLER_TIMEOUT_MARGIN_MS;
	limits.idle_timeout_ms += CALLER_TIMEOUT_MARGIN_MS;
	limits.request_timeout_ms = limits.header_timeout_ms + limits.idle_timeout_ms;
	dff_http_server_set_limits (servers->servers[DFF_FLEET_SERVER_CALLERS], &limits);
	dff_log (DFF_LOG_SERVE, DFF_LOG_INFO,
		 "Limits of callers in force. header_bytes=%zu body_bytes=%zu header_timeout_ms=%d "
		 "idle_timeout_ms=%d connections=%d",
		 limits.max_header_bytes, limits.max_body_bytes, limits.header_timeout_ms,
		 limits.idle_timeout_ms, limits.max_connections);
}

struct dff_http_server *
dff_fleet_servers_get (struct dff_fleet_servers *servers, enum dff_fleet_server which)
{
	return servers->servers[which];
}

struct dff_fleet_servers *
dff_fleet_servers_new (const struct dff_fleet_servers_options *options)
{
	struct dff_fleet_servers *servers = g_new0 (struct dff_fleet_servers, 1);
	servers->connections = dff_connections_new (options->timers->clock,
						    options->memory_bytes / MEMORY_DIVISOR);
	servers->max_descriptors = options->max_descriptors;
	for (int i = 0; i < DFF_FLEET_N_SERVERS; i++) {
		struct dff_connection_limits limits = initial_limits_of (servers, i);
		servers->servers[i] = dff_http_server_new (options->base, servers->connections,
							   client_names[i], &limits);
	}
	servers->n_open = dff_metrics_gauge (options->metrics, "dff_connections_open",
					     "Connections that clients hold.");
	servers->n_closed = dff_metrics_counter (
		options->metrics, "dff_connections_closed_total",
		"Connections closed for being slow, idle, too many or too large.");
	servers->held_bytes =
		dff_metrics_gauge (options->metrics, "dff_connections_held_bytes",
				   "Memory for what clients have sent and not read yet.");
	servers->check = dff_timer_new (options->timers, handle_check, servers);
	dff_timer_start (servers->check, CHECK_INTERVAL_MS);
	return servers;
}

void
dff_fleet_servers_free (struct dff_fleet_servers *servers)
{
	dff_timer_free (servers->check);
	for (int i = 0; i < DFF_FLEET_N_SERVERS; i++)
		dff_http_server_free (servers->servers[i]);
	dff_connections_free (servers->connections);
	g_free (servers);
}
