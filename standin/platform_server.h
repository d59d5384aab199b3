#ifndef DFF_STANDIN_PLATFORM_SERVER_H
#define DFF_STANDIN_PLATFORM_SERVER_H

#include <event2/event.h>
#include <glib.h>
#include <stdint.h>

#include "common/cleanup.h"
#include "common/clock.h"
#include "common/str.h"

/* The stand-in platform: serves the in-memory table, object store and instance list over HTTP and
 * JSON (docs/BACKING.md). POST /admin/faults injects faults. */

struct dff_platform_server;

struct dff_platform_server_options {
	struct event_base *base;
	const struct dff_clock *clock;
	/** "IP:PORT"; port 0: any free port. */
	struct dff_name listen;
	uint64_t seed;
	/** Delay until a change shows in the instance list, ms. */
	int32_t instance_lag_ms;
};

/** Returns: (transfer full) (nullable): NULL when the address cannot be bound. */
struct dff_platform_server *
dff_platform_server_new (const struct dff_platform_server_options *options);

void dff_platform_server_free (struct dff_platform_server *server);

DFF_DEFINE_CLEANUP (dff_platform_server, dff_platform_server_free);

/** Returns: the address that the server listens on, "IP:PORT". */
struct dff_name dff_platform_server_address (const struct dff_platform_server *server);

#endif
