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
 * The system's processes among themselves: heartbeats and membership with suspicion before removal,
 * the pool file pushed on, hints and notices about jobs, sightings of workers on their way to the
 * holder, slot grants on their way from it. Messages are protobuf (peer/peer.proto); the transport
 * is behind a callback, ZeroMQ with CURVE in the daemon, memory in tests. Nothing here decides
 * anything: what has to be agreed goes through the platform's table.
 */

/** Sends one message to a member; lost messages are normal. */
struct dff_peer_transport {
	/** @member: its instance entry. Borrowed data. */
	void (*send) (void *ctx,
		      const struct dff_instance *member,
		      const uint8_t *data,
		      size_t len);
	void *ctx;
};

enum dff_member_state {
	DFF_MEMBER_ALIVE,
	DFF_MEMBER_SUSPECT, /**< Silent; still counted until confirmed or refuted. */
	DFF_MEMBER_LEAVING,
	DFF_MEMBER_DEAD,
};

/** Two bytes in a heartbeat. Of 16,383 restarts one draws its predecessor's number and is taken for
 * it. */
#define DFF_MEMBER_START_ID_MAX 16383

struct dff_member {
	struct dff_instance instance;
	enum dff_member_state state;
	int64_t pool_generation;
	/** Epoch it says it holds its region's cell with; 0: none. */
	int64_t holder_epoch;
	/** Drawn when it started, 1 to DFF_MEMBER_START_ID_MAX: another process of the same name
	 * has another one; 0: not known. */
	uint32_t start_id;
	bool ready;
	int64_t heartbeat_received_ms;
};

/** A share of one worker's request slots, usable until it expires. */
struct dff_grant {
	struct dff_name worker;
	int32_t slots;
};

struct dff_peer;

struct dff_peer_callbacks {
	/** A pool file newer than this process's; @text is the whole file, @revision that of its
	 * row in the table, 0: not known. */
	void (*pool_received) (void *ctx,
			       int64_t generation,
			       int64_t revision,
			       struct dff_str text);
	/** Rows changed by an entry, for the holder. */
	void (*job_hint) (void *ctx, const struct dff_name *job);
	/** A job somebody asked to watch has ended. */
	void (*job_ended) (void *ctx, const struct dff_name *job, enum dff_outcome outcome);
	/** A peer wants to know when a job ends. */
	void (*job_watch) (void *ctx, const struct dff_name *watcher, const struct dff_name *job);
	/** A watcher's report, for the holder. */
	void (*worker_report) (void *ctx, const struct dff_worker_report *report);
	/** This process's grants were replaced as a whole. */
	void (*grants_received) (void *ctx,
				 int64_t epoch,
				 const struct dff_grant *grants,
				 size_t n_grants,
				 int32_t valid_ms);
	/** Membership of this process's region changed. */
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
	int32_t heartbeat_ms; /**< Interval of heartbeats to each direct peer. */
	int32_t suspect_ms;   /**< Silent this long: suspect. */
	int32_t dead_ms;      /**< Suspect this long: dead. */
	int32_t fanout; /**< Everybody hears everybody up to this many others; beyond, a sample. */
};

void dff_peer_options_init (struct dff_peer_options *options);

struct dff_peer *dff_peer_new (const struct dff_peer_options *options);

void dff_peer_free (struct dff_peer *peer);

DFF_DEFINE_CLEANUP (dff_peer, dff_peer_free);

void dff_peer_tick (struct dff_peer *peer);

/** Takes one message in from the transport. Malformed ones are counted and dropped. */
void dff_peer_receive (struct dff_peer *peer, const uint8_t *data, size_t len);

/** Takes the instance list in: entries with role DFF_INSTANCE_ENTRY are the possible members. */
void dff_peer_set_instances (struct dff_peer *peer,
			     const struct dff_instance *instances,
			     size_t n_instances);

/** Tells the state that heartbeats carry. */
void dff_peer_set_state (struct dff_peer *peer, bool ready, bool leaving, int64_t holder_epoch);

/** Sets the pool in force here; it is offered to peers that are behind, with the @revision of its
 * row in the table, 0: not known. @text is copied. */
void dff_peer_set_pool (struct dff_peer *peer,
			int64_t generation,
			int64_t revision,
			struct dff_str text);

/** Returns: elements: struct dff_member, self included, ordered by name; valid until the next call.
 */
const GArray *dff_peer_members (const struct dff_peer *peer);

/** Returns: what this process drew when it started, as its members entry has it. */
uint32_t dff_peer_start_id (const struct dff_peer *peer);

/** Returns: (nullable): the member of this region that says it is holder with the highest epoch. */
const struct dff_member *dff_peer_holder (const struct dff_peer *peer);

/** Sends a hint to the holder; delivered locally when this process is it. */
void dff_peer_send_job_hint (struct dff_peer *peer, const struct dff_name *job);

/** Asks the holder to tell this process when @job ends. */
void dff_peer_send_job_watch (struct dff_peer *peer, const struct dff_name *job);

/** Tells @watcher that @job has ended. */
void dff_peer_send_job_ended (struct dff_peer *peer,
			      const struct dff_name *watcher,
			      const struct dff_name *job,
			      enum dff_outcome outcome);

/** Sends a report to the holder; one that says leaving also, without reports, to every member of
 * the region. */
void dff_peer_send_worker_report (struct dff_peer *peer, const struct dff_worker_report *report);

/** Holder: replaces the grants of @member, or renews them where they are as sent before. */
void dff_peer_send_grants (struct dff_peer *peer,
			   const struct dff_name *member,
			   int64_t epoch,
			   const struct dff_grant *grants,
			   size_t n_grants,
			   int32_t valid_ms);

#endif
