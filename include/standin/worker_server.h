#ifndef DFF_STANDIN_WORKER_SERVER_H
#define DFF_STANDIN_WORKER_SERVER_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>

#include "common/cleanup.h"
#include "standin/worker.h"

/*
 * HTTP server of a stand-in worker: the paths of docs/BACKING.md, and POST /admin/faults
 * {"silent": bool, "silence_open": bool, "slow_ms": N, "fail_everything": bool, "lose_answers": N,
 * "die": bool}, which replaces all faults; an absent key is false or 0.
 */

struct dff_worker_server;

struct dff_worker_server_options {
	struct event_base *base;
	const struct dff_clock *clock;
	/** Owned by the caller; outlives the server. */
	struct dff_standin_worker *worker;
	/** "IP:PORT"; port 0: any free port. */
	struct dff_name listen;
};

/** Listens on the address. Returns: (nullable): NULL with @error set when this fails. */
struct dff_worker_server *dff_worker_server_new (const struct dff_worker_server_options *options,
						 GError **error);

void dff_worker_server_free (struct dff_worker_server *server);

DFF_DEFINE_CLEANUP (dff_worker_server, dff_worker_server_free);

/** Returns: the address that the server listens on, "IP:PORT". */
const struct dff_name *dff_worker_server_address (const struct dff_worker_server *server);

/** Returns: whether a request has not been answered yet. */
bool dff_worker_server_is_busy (const struct dff_worker_server *server);

#endif
