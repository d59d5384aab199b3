#ifndef DFF_PEER_PEER_INTERNAL_H
#define DFF_PEER_PEER_INTERNAL_H

#include "peer/grant_digest.h"
#include "peer/membership.h"
#include "peer/message.h"
#include "peer/notices.h"
#include "peer/peer.h"
#include "peer/pool_push.h"

/* Shared by the files of this directory that send and handle messages. */

struct dff_peer {
	struct dff_peer_options options;
	struct dff_membership *membership;
	struct dff_pool_push pool_push;
	struct dff_notices notices;
	/** Result of the last dff_peer_members(). */
	GArray *members;
	/** Sequence of the last grant set that this process sent. */
	uint64_t grants_sequence_sent;
	struct dff_grants_sent grants_sent;
	/** Epoch and sequence of the newest applied grant set. */
	int64_t grants_epoch;
	uint64_t grants_sequence;
	struct dff_grants_current grants_current;
	int64_t *n_malformed;
	int64_t *n_unknown_sender;
	int64_t *n_stale_grants;
	int64_t *n_unmatched_grants;
	int64_t *n_notices_dropped;
	int64_t *n_sent;
	int64_t *n_sent_bytes;
	int64_t *n_received;
	int64_t *n_received_bytes;
};

/** Returns: monotonic time of this process, ms. */
int64_t dff_peer_now_ms (const struct dff_peer *peer);

/** Sets the sender of @message and sends it to @member. */
void dff_peer_send (struct dff_peer *peer,
		    const struct dff_instance *member,
		    struct dff_message *message);

/** Handles a message in this process. */
void dff_peer_deliver (struct dff_peer *peer, const struct dff_message *message);

/** Returns: whether @id is this process. */
bool dff_peer_is_self (const struct dff_peer *peer, const struct dff_name *id);

#endif
