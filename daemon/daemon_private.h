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

/* The parts of one process, in the order in which they are made. */
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

	/** Instances as last read. Elements: struct dff_instance. */
	GArray *instances;
	const struct dff_pool *pool; /**< (nullable): in force, owned by the follower. */
	/** Workers that said themselves that they are leaving. Key: struct dff_name *. */
	GHashTable *leaving_workers;
	/** Jobs and the peers that wait for their ends. Key: struct dff_name *, value: GArray of
	 * struct dff_name. */
	GHashTable *job_watchers;
	/** The same, told before those in @job_watchers; dropped first. */
	GHashTable *older_job_watchers;
	int64_t started_ms;
	int64_t last_peer_heartbeat_ms;
	int64_t next_assignment_ms;
	int64_t next_grants_ms;
	/** Until when a holder's grants are waited for. */
	int64_t grants_until_ms;
	/** Of the last grants received. */
	int64_t grant_epoch;
	/** Of the last holder that the watcher told everything to. */
	int64_t reported_epoch;
	bool draining;
	int64_t drain_started_ms;
	bool aborted;
};

/** Makes every part and binds the listeners. */
bool dff_daemon_start_parts (struct dff_daemon *daemon, GError **error);

/** Frees what dff_daemon_start_parts() made, as far as it came. */
void dff_daemon_free_parts (struct dff_daemon *daemon);

/** What peers and the cell tell this process, to be passed on to the parts concerned. */
struct dff_peer_callbacks dff_daemon_peer_callbacks (struct dff_daemon *daemon);

struct dff_cell_callbacks dff_daemon_cell_callbacks (struct dff_daemon *daemon);

/** A newer pool is in force: dff_pool_in_force_func. */
void dff_daemon_handle_pool_in_force (void *ctx, const struct dff_pool *pool, struct dff_str text);

/** A pool file that is committed, told by an operator's request here or by a peer. */
void dff_daemon_handle_pool_committed (void *ctx,
				       int64_t generation,
				       int64_t revision,
				       struct dff_str text);

/** The instance list changed: dff_instances_changed_func. */
void
dff_daemon_handle_instances (void *ctx, const struct dff_instance *instances, size_t n_instances);

/** A message of a peer: dff_peer_receive_func. */
void dff_daemon_handle_message (void *ctx, const uint8_t *data, size_t len);

/** This process's watcher saw something. */
void dff_daemon_handle_own_worker_report (void *ctx, const struct dff_worker_report *report);

/** Splits the request slots of the region's workers over the live processes, when holder. */
void dff_daemon_assign_grants (struct dff_daemon *daemon);

/** Works out this process's own grants when no holder's have been taken for a while. */
void dff_daemon_assign_own_grants (struct dff_daemon *daemon, int64_t now_ms);

/** Chooses the workers that this process watches. */
void dff_daemon_assign_workers (struct dff_daemon *daemon);

/** Tells the cell how many candidates go before this process. */
void dff_daemon_update_rank (struct dff_daemon *daemon);

/** Jobs in each of the two tables of watchers at the most. A watch is a hint: a process that is not
 * told reads the row itself after a while, so that dropping one costs time, not answers. */
#define DFF_DAEMON_WATCHED_JOBS_MAX 32768

/** Returns: (transfer full): an empty table of jobs and their watchers. */
GHashTable *dff_daemon_job_watchers_new (void);

/** Notes that @watcher wants to know when @job ends. */
void dff_daemon_add_job_watcher (struct dff_daemon *daemon,
				 const struct dff_name *watcher,
				 const struct dff_name *job);

/** Tells everybody who waits for @job. */
void dff_daemon_notify_job_ended (struct dff_daemon *daemon,
				  const struct dff_name *job,
				  enum dff_outcome outcome);

/** Watches whether neither store nor peers answer, and tells the entry. */
void dff_daemon_update_isolation (struct dff_daemon *daemon, int64_t now_ms);

/** Goes one step on in a graceful stop. */
void dff_daemon_continue_drain (struct dff_daemon *daemon, int64_t now_ms);

#endif
