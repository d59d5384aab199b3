#ifndef DFF_DAEMON_DAEMON_PRIVATE_H
#define DFF_DAEMON_DAEMON_PRIVATE_H

#include <event2/event.h>
#include <stdio.h>

#include "backing/http.h"
#include "backing/instance_watch.h"
#include "cell/cell.h"
#include "common/clock.h"
#include "common/http_client.h"
#include "common/metrics.h"
#include "common/trace.h"
#include "daemon/daemon.h"
#include "daemon/pool_watch.h"
#include "entry/entry.h"
#include "peer/peer.h"
#include "peer/zmq_transport.h"
#include "record/recorder.h"
#include "upstream/http_worker.h"
#include "upstream/watcher.h"

/* The parts of one process, in the order in which they are created. */
struct dff_daemon {
	struct event_base *base;
	struct dff_settings *settings;
	const struct dff_clock *clock;
	struct dff_metrics *metrics;
	struct dff_tracer *tracer;
	FILE *spans; /**< (nullable) */
	struct event *ticker;
	struct event *grant_timer;

	struct dff_http_client *platform_http;
	struct dff_http_client *worker_http;
	struct dff_http_table *table;
	struct dff_http_object_store *objects;
	struct dff_http_instance_list *list;
	struct dff_http_worker *workers;

	struct dff_recorder *recorder;
	struct dff_zmq_transport *transport;
	struct dff_peer *peer;
	struct dff_cell *cell;
	struct dff_watcher *watcher;
	struct dff_entry *entry;
	struct dff_pool_watch *pool_watch;
	struct dff_instance_watch *instance_watch;

	/** Instance list as last read. Elements: struct dff_instance. */
	GArray *instances;
	const struct dff_pool *pool; /**< (nullable): in force, owned by @pool_watch. */
	/** Workers that reported that they are leaving. Key: struct dff_name *. */
	GHashTable *leaving_workers;
	/** Jobs and the peers that wait for their completion. Key: struct dff_name *, value: GArray
	 * of struct dff_name. */
	GHashTable *job_watchers;
	/** Like @job_watchers, with older watches; evicted first. */
	GHashTable *older_job_watchers;
	int64_t started_ms;
	int64_t last_peer_heartbeat_ms;
	int64_t next_assignment_ms;
	int64_t next_grants_ms;
	/** Time until which this process waits for grants of a holder, ms. */
	int64_t grants_until_ms;
	/** Epoch of the last grants received. */
	int64_t grant_epoch;
	/** Epoch of the last new holder to which this process reported all its workers again. */
	int64_t reported_epoch;
	bool draining;
	int64_t drain_started_ms;
	bool aborted;
};

/** Creates all parts and binds the listeners. */
bool dff_daemon_start_parts (struct dff_daemon *daemon, GError **error);

/** Frees the parts that dff_daemon_start_parts() created. */
void dff_daemon_free_parts (struct dff_daemon *daemon);

/** Returns: callbacks that forward messages of peers and events of the cell to the other parts. */
struct dff_peer_callbacks dff_daemon_peer_callbacks (struct dff_daemon *daemon);

struct dff_cell_callbacks dff_daemon_cell_callbacks (struct dff_daemon *daemon);

/** Handles a newer pool in force: dff_pool_in_force_func. */
void dff_daemon_handle_pool_in_force (void *ctx, const struct dff_pool *pool, struct dff_str text);

/** Handles a committed pool file, from an operator's request to this process or from a peer. */
void dff_daemon_handle_pool_committed (void *ctx,
				       int64_t generation,
				       int64_t revision,
				       struct dff_str text);

/** Handles a changed instance list: dff_instances_changed_func. */
void
dff_daemon_handle_instances (void *ctx, const struct dff_instance *instances, size_t n_instances);

/** Handles a message of a peer: dff_peer_receive_func. */
void dff_daemon_handle_message (void *ctx, const uint8_t *data, size_t len);

/** Handles a worker report of this process's watcher. */
void dff_daemon_handle_own_worker_report (void *ctx, const struct dff_worker_report *report);

/** If this process is the holder, distributes the request slots of the region's workers over the
 * live processes. */
void dff_daemon_assign_grants (struct dff_daemon *daemon);

/** Computes this process's own grants if no grants of a holder have arrived for a while. */
void dff_daemon_assign_own_grants (struct dff_daemon *daemon, int64_t now_ms);

/** Selects the workers that this process watches. */
void dff_daemon_assign_workers (struct dff_daemon *daemon);

/** Passes the number of candidates with a higher rank than this process to the cell. */
void dff_daemon_update_rank (struct dff_daemon *daemon);

/** Maximum number of jobs in each of the two tables of watchers. A watch is only a hint: a process
 * that is not notified reads the row itself after a while, so an evicted watch costs time, not
 * answers. */
#define DFF_DAEMON_WATCHED_JOBS_MAX 32768

GHashTable *dff_daemon_job_watchers_new (void);

/** Registers @watcher for a notification when @job ends. */
void dff_daemon_add_job_watcher (struct dff_daemon *daemon,
				 const struct dff_name *watcher,
				 const struct dff_name *job);

/** Notifies all watchers of @job. */
void dff_daemon_notify_job_ended (struct dff_daemon *daemon,
				  const struct dff_name *job,
				  enum dff_outcome outcome);

/** Checks whether store and peers have stopped answering and passes the result to the entry. */
void dff_daemon_update_isolation (struct dff_daemon *daemon, int64_t now_ms);

/** Executes the next step of a graceful stop. */
void dff_daemon_continue_drain (struct dff_daemon *daemon, int64_t now_ms);

#endif
