#ifndef DFF_PEER_GRANT_DIGEST_H
#define DFF_PEER_GRANT_DIGEST_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/str.h"
#include "peer/peer.h"

/*
 * Unchanged grant sets are renewed by their digest. The holder keeps what it sent to each member,
 * and a member keeps its current set. docs/decisions/grants.md.
 */

/** Length of the digest of a set: the first bytes of a SHA-256. */
#define DFF_GRANT_DIGEST_BYTES 16

struct dff_grant_digest {
	uint8_t bytes[DFF_GRANT_DIGEST_BYTES];
};

/** Returns: digest of a set. It depends on the order of @grants. */
struct dff_grant_digest dff_grant_digest (const struct dff_grant *grants, size_t n_grants);

bool dff_grant_digest_equal (const struct dff_grant_digest *a, const struct dff_grant_digest *b);

/** What was sent to each member: struct dff_name to struct sent_set of grant_digest.c. */
struct dff_grants_sent {
	GHashTable *members;
};

void dff_grants_sent_init (struct dff_grants_sent *sent);

void dff_grants_sent_clear (struct dff_grants_sent *sent);

/** Removes the entries for which @is_member returns false. */
void dff_grants_sent_retain (struct dff_grants_sent *sent,
			     bool (*is_member) (const void *ctx, const struct dff_name *id),
			     const void *ctx);

/**
 * dff_grants_sent_count:
 * @start_id: dff_member.start_id of @member
 *
 * Counts a message to @member with the set that has @digest.
 *
 * Returns: whether the message must have the full set: the set, the epoch or the process has
 * changed, the first full set may have been lost, or the periodic full set is due.
 */
bool dff_grants_sent_count (struct dff_grants_sent *sent,
			    const struct dff_name *member,
			    int64_t epoch,
			    uint32_t start_id,
			    const struct dff_grant_digest *digest);

/** The last set that was applied. */
struct dff_grants_current {
	GArray *grants; /**< (nullable): elements: struct dff_grant; NULL: no set yet. */
	struct dff_grant_digest digest;
};

/** Replaces the current set by a copy of @grants. */
void dff_grants_current_set (struct dff_grants_current *current,
			     const struct dff_grant *grants,
			     size_t n_grants);

/** Returns: whether there is a current set and it has @digest. */
bool dff_grants_current_match (const struct dff_grants_current *current,
			       const struct dff_grant_digest *digest);

void dff_grants_current_clear (struct dff_grants_current *current);

#endif
