#include "fleet/servers.h"

#include <glib.h>

#include "rows/rows.h"

/** Maximum size of a request's line and headers, bytes. */
#define HEADER_BYTES_MAX 16384
/** Interval at which connections are checked, ms. */
#define CHECK_INTERVAL_MS 200

struct dff_fleet_servers {
	struct dff_connections *connections;
	/** NULL once they are closed. */
	struct dff_http_server *servers[DFF_FLEET_N_SERVERS];
	struct dff_timer *check;
	int64_t *n_open;
	int64_t *n_closed;
	int64_t *held_bytes;
};

static const struct dff_connection_limits initial_limits[DFF_FLEET_N_SERVERS] = {
	[DFF_FLEET_SERVER_CALLERS] =
		{
			.max_connections = INT32_MAX,
			.header_timeout_ms = INT32_MAX,
			.request_timeout_ms = INT32_MAX,
			.idle_timeout_ms = INT32_MAX,
			.max_header_bytes = 32768,
			.max_body_bytes = 1 << 20,
		},
	[DFF_FLEET_SERVER_PEERS] =
		{
			.max_connections = INT32_MAX,
			.header_timeout_ms = INT32_MAX,
			.request_timeout_ms = INT32_MAX,
			.idle_timeout_ms = INT32_MAX,
			.max_header_bytes = HEADER_BYTES_MAX,
			.max_body_bytes = DFF_ROW_VALUE_MAX,
		},
	[DFF_FLEET_SERVER_METRICS] =
		{
			.max_connections = INT32_MAX,
			.header_timeout_ms = INT32_MAX,
			.request_timeout_ms = INT32_MAX,
			.idle_timeout_ms = INT32_MAX,
			.max_header_bytes = HEADER_BYTES_MAX,
			.max_body_bytes = 0,
		},
};

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

struct dff_http_server *
dff_fleet_servers_get (struct dff_fleet_servers *servers, enum dff_fleet_server which)
{
	return servers->servers[which];
}

struct dff_fleet_servers *
dff_fleet_servers_new (const struct dff_fleet_servers_options *options)
{
	struct dff_fleet_servers *servers = g_new0 (struct dff_fleet_servers, 1);
	servers->connections = dff_connections_new (options->timers->clock, SIZE_MAX);
	for (int i = 0; i < DFF_FLEET_N_SERVERS; i++)
		servers->servers[i] = dff_http_server_new (options->base, servers->connections,
							   &initial_limits[i]);
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
dff_fleet_servers_close (struct dff_fleet_servers *servers)
{
	dff_timer_stop (servers->check);
	for (int i = 0; i < DFF_FLEET_N_SERVERS; i++)
		g_clear_pointer (&servers->servers[i], dff_http_server_free);
}

void
dff_fleet_servers_free (struct dff_fleet_servers *servers)
{
	dff_fleet_servers_close (servers);
	dff_timer_free (servers->check);
	dff_connections_free (servers->connections);
	g_free (servers);
}
