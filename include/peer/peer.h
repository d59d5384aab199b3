#ifndef DFF_PEER_PEER_H
#define DFF_PEER_PEER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "backing/instance_list.h"
#include "cell/cell.h"
#include "common/cleanup.h"
#include "common/clock.h"
#include "common/metrics.h"

/*
 * Messages between the processes of the system: heartbeats and membership with suspicion before
 * removal, distribution of the pool file, hints and notices about jobs, worker reports to the
 * holder and slot grants from the holder. Messages are protobuf (peer/peer.proto). The transport is
 * a callback: ZeroMQ with CURVE in the daemon, memory in tests. This module makes no decisions:
 * agreement between processes goes through the platform's table.
 */

/** Sends one message to a member. Messages may be lost. */
struct dff_peer_transport {
	/** @member: instance list entry of the receiver. All arguments are borrowed. */
	void (*send) (void *ctx,
		      const struct dff_instance *member,
		      const uint8_t *data,
		      size_t len);
	void *ctx;
};

enum dff_member_state {
	DFF_MEMBER_ALIVE,
	DFF_MEMBER_SUSPECT, /**< No heartbeat; counts as a member until confirmed or refuted. */
	DFF_MEMBER_LEAVING,
	DFF_MEMBER_DEAD,
};

/** Largest start id: it takes two bytes in a heartbeat. One in 16,383 restarts draws the id of its
 * predecessor and is not recognized as a restart. */
#define DFF_MEMBER_START_ID_MAX 16383

struct dff_member {
	struct dff_instance instance;
	enum dff_member_state state;
	int64_t pool_generation;
	/** Epoch with which the member holds the cell of its region, as it reports; 0: not the
	 * holder. */
	int64_t holder_epoch;
	/** Random id drawn at the start of the process, 1 to DFF_MEMBER_START_ID_MAX; differs
	 * after a restart under the same name; 0: not known. */
	uint32_t start_id;
	bool ready;
	int64_t heartbeat_received_ms;
};

/** Request slots of one worker that a member may use until the grant expires. */
struct dff_grant {
	struct dff_name worker;
	int32_t slots;
};

struct dff_peer;

struct dff_peer_callbacks {
	/** A pool file newer than this process's was received. @text: the whole file; @revision:
	 * that of its row in the table, 0: not known. */
	void (*pool_received) (void *ctx,
			       int64_t generation,
			       int64_t revision,
			       struct dff_str text);
	/** At the holder: an entry changed rows of @job. */
	void (*job_hint) (void *ctx, const struct dff_name *job);
	/** A job that this process watches has ended. */
	void (*job_ended) (void *ctx, const struct dff_name *job, enum dff_outcome outcome);
	/** At the holder: @watcher asks to be notified when @job ends. */
	void (*job_watch) (void *ctx, const struct dff_name *watcher, const struct dff_name *job);
	/** A watcher's report on a worker was received. */
	void (*worker_report) (void *ctx, const struct dff_worker_report *report);
	/** All grants of this process were replaced or renewed. */
	void (*grants_received) (void *ctx,
				 int64_t epoch,
				 const struct dff_grant *grants,
				 size_t n_grants,
				 int32_t valid_ms);
	/** The members of this process's region, or their states, changed. */
	void (*members_changed) (void *ctx);
	void *ctx;
};

struct dff_peer_options {
	/** This process. */
	struct dff_instance self;
	const struct dff_clock *clock;
	struct dff_metrics *metrics;
	struct dff_peer_transport transport;
	struct dff_peer_callbacks callbacks;
	uint64_t seed;
	int32_t heartbeat_ms; /**< Interval of heartbeats to each target. */
	int32_t suspect_ms;   /**< Time without a heartbeat until suspect. */
	int32_t dead_ms;      /**< Time as a suspect until dead. */
	int32_t fanout;       /**< With up to this many peers, all get heartbeats; else a sample. */
};

void dff_peer_options_init (struct dff_peer_options *options);

struct dff_peer *dff_peer_new (const struct dff_peer_options *options);

void dff_peer_free (struct dff_peer *peer);

DFF_DEFINE_CLEANUP (dff_peer, dff_peer_free);

void dff_peer_tick (struct dff_peer *peer);

/** Handles one message from the transport. Malformed messages are counted and dropped. */
void dff_peer_receive (struct dff_peer *peer, const uint8_t *data, size_t len);

/** Sets the instance list. Entries with role DFF_INSTANCE_ENTRY are the possible members. */
void dff_peer_set_instances (struct dff_peer *peer,
			     const struct dff_instance *instances,
			     size_t n_instances);

/** Sets the state of this process that heartbeats carry. */
void dff_peer_set_state (struct dff_peer *peer, bool ready, bool leaving, int64_t holder_epoch);

/** Sets the pool file in force in this process, which peers with an older one can request.
 * @revision: that of its row in the table, 0: not known. @text is copied. */
void dff_peer_set_pool (struct dff_peer *peer,
			int64_t generation,
			int64_t revision,
			struct dff_str text);

/** Returns: all members, this process included, ordered by name; elements: struct dff_member. Valid
 * until the next call. */
const GArray *dff_peer_members (const struct dff_peer *peer);

/** Returns: start_id of this process. */
uint32_t dff_peer_start_id (const struct dff_peer *peer);

/** Returns: (nullable): the member of this region that reports the highest holder epoch. */
const struct dff_member *dff_peer_holder (const struct dff_peer *peer);

/** Sends a hint to the holder, or delivers it locally if this process is the holder. */
void dff_peer_send_job_hint (struct dff_peer *peer, const struct dff_name *job);

/** Asks the holder to notify this process when @job ends. */
void dff_peer_send_job_watch (struct dff_peer *peer, const struct dff_name *job);

/** Notifies @watcher that @job has ended. */
void dff_peer_send_job_ended (struct dff_peer *peer,
			      const struct dff_name *watcher,
			      const struct dff_name *job,
			      enum dff_outcome outcome);

/** Sends a worker report to the holder. If the worker is leaving, also sends it, without the task
 * reports, to all members of the region. */
void dff_peer_send_worker_report (struct dff_peer *peer, const struct dff_worker_report *report);

/** At the holder: replaces the grants of @member, or renews them if they are unchanged. */
void dff_peer_send_grants (struct dff_peer *peer,
			   const struct dff_name *member,
			   int64_t epoch,
			   const struct dff_grant *grants,
			   size_t n_grants,
			   int32_t valid_ms);

#endif
