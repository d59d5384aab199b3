#ifndef DFF_FLEET_SERVERS_H
#define DFF_FLEET_SERVERS_H

#include <event2/event.h>
#include <stdbool.h>

#include "common/cleanup.h"
#include "common/http_server.h"
#include "common/metrics.h"
#include "common/timer.h"
#include "fleet/config.h"

/* HTTP servers of a process of the fleet: for callers, for readiness checks and the other
 * processes, and for metrics. Their clients share the memory that is set aside for connections. */

struct dff_fleet_servers;

struct dff_fleet_servers_options {
	struct event_base *base;
	const struct dff_timers *timers;
	struct dff_metrics *metrics;
	/** Number of descriptors that the process may open. */
	int32_t max_descriptors;
	/** Memory of the machine, bytes. */
	size_t memory_bytes;
};

enum dff_fleet_server {
	DFF_FLEET_SERVER_CALLERS,
	DFF_FLEET_SERVER_PEERS,
	DFF_FLEET_SERVER_METRICS,
	DFF_FLEET_N_SERVERS,
};

struct dff_fleet_servers *dff_fleet_servers_new (const struct dff_fleet_servers_options *options);

/** Closes the servers and their connections; requests that are being handled are not answered. */
void dff_fleet_servers_free (struct dff_fleet_servers *servers);

DFF_DEFINE_CLEANUP (dff_fleet_servers, dff_fleet_servers_free);

/** Applies the limits of the configuration in force. Those that are not given are set to their
 * defaults, and those that a process cannot grant to its own maximum. */
void dff_fleet_servers_set_caller_limits (struct dff_fleet_servers *servers,
					  const struct dff_fleet_caller_limits *limits);

/** Returns: (transfer none): a server, to be given its handlers. */
struct dff_http_server *dff_fleet_servers_get (struct dff_fleet_servers *servers,
					       enum dff_fleet_server which);

#endif
