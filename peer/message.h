#ifndef DFF_PEER_MESSAGE_H
#define DFF_PEER_MESSAGE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/cleanup.h"
#include "core/job.h"
#include "peer/grant_digest.h"
#include "peer/peer.h"

/* Messages between processes as typed structs; the wire format is peer/peer.proto. */

/** Longest accepted message, bytes: a pool file of 1 MiB and its envelope. */
#define DFF_MESSAGE_MAX_BYTES ((1 << 20) + 1024)

/** Most states of other members in one heartbeat. */
#define DFF_HEARTBEAT_PEERS_MAX 16

/** Most grants or task reports in one message. */
#define DFF_MESSAGE_ELEMENTS_MAX 8192

/** Whether a member is assumed to run. The values are those on the wire. */
enum dff_liveness {
	DFF_LIVENESS_ALIVE,
	DFF_LIVENESS_SUSPECT,
	DFF_LIVENESS_DEAD,
};

/** A process's report on a member or on itself. (incarnation, sequence) orders the reports. */
struct dff_member_report {
	struct dff_name id;
	/** Raised by the member alone, to refute that it is dead; 0: no heartbeat yet. */
	uint64_t incarnation;
	/** Raised by the member with each round of heartbeats and each answer to a report on
	 * itself; a new incarnation does not reset it. */
	uint64_t sequence;
	enum dff_liveness liveness;
	bool leaving;
	bool ready;
	int64_t pool_generation;
	int64_t holder_epoch;
	/** As dff_member.start_id; 0: not known. */
	uint32_t start_id;
};

struct dff_heartbeat {
	struct dff_member_report self;
	/** Time on the sender's monotonic clock. */
	int64_t sent_ms;
	const struct dff_member_report *peers;
	size_t n_peers;
};

struct dff_pool_file {
	int64_t generation;
	/** Revision of the row in the table; 0: not known. */
	int64_t revision;
	struct dff_str text;
};

struct dff_job_end {
	struct dff_name job;
	enum dff_outcome outcome;
};

struct dff_grant_set {
	int64_t epoch;
	/** Orders the sets of one holder. */
	uint64_t sequence;
	int32_t valid_ms;
	/** Time on the receiver's clock in the last heartbeat that the holder received from it. */
	int64_t heartbeat_sent_ms;
	/** Age of that heartbeat at the holder when this set was sent. */
	int64_t heartbeat_age_ms;
	const struct dff_grant *grants;
	size_t n_grants;
	/** The message has no grants: the receiver's current set is renewed if it has @digest. */
	bool is_renewal;
	struct dff_grant_digest digest;
};

enum dff_message_kind {
	DFF_MESSAGE_HEARTBEAT,
	DFF_MESSAGE_POOL_REQUEST,
	DFF_MESSAGE_POOL_FILE,
	DFF_MESSAGE_JOB_HINT,
	DFF_MESSAGE_JOB_WATCH,
	DFF_MESSAGE_JOB_ENDED,
	DFF_MESSAGE_WORKER_REPORT,
	DFF_MESSAGE_GRANTS,
};

struct dff_message {
	struct dff_name sender;
	enum dff_message_kind kind;
	union {
		struct dff_heartbeat heartbeat;
		/** Oldest acceptable generation. */
		int64_t pool_request;
		struct dff_pool_file pool_file;
		/** Job of a hint or watch. */
		struct dff_name job;
		struct dff_job_end job_ended;
		struct dff_worker_report worker_report;
		struct dff_grant_set grants;
	};
	/** In decoded messages: memory that the members above point to. */
	gpointer elements;
	gpointer envelope;
};

/** Returns: (transfer full): the encoded message. */
GByteArray *dff_message_encode (const struct dff_message *message);

/**
 * dff_message_decode:
 *
 * Decodes a message from another process. All names, numbers and counts are checked.
 *
 * Returns: (transfer full) (nullable): NULL when it is malformed.
 */
struct dff_message *dff_message_decode (const uint8_t *data, size_t len);

/** Frees a decoded message. */
void dff_message_free (struct dff_message *message);

DFF_DEFINE_CLEANUP (dff_message, dff_message_free);

#endif
