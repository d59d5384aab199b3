#ifndef DFF_PEER_GRANT_DIGEST_H
#define DFF_PEER_GRANT_DIGEST_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/str.h"
#include "peer/peer.h"

/*
 * Grant sets that have not changed are renewed by their digest: what the holder remembers of each
 * member's set, and what a member keeps of its own. docs/decisions/grants.md.
 */

/** Bytes of the digest of a set, the first of a SHA-256. */
#define DFF_GRANT_DIGEST_BYTES 16

struct dff_grant_digest {
	uint8_t bytes[DFF_GRANT_DIGEST_BYTES];
};

/** Digest of a set; the order of @grants counts. */
struct dff_grant_digest dff_grant_digest (const struct dff_grant *grants, size_t n_grants);

bool dff_grant_digest_equal (const struct dff_grant_digest *a, const struct dff_grant_digest *b);

/** What was sent to each member: struct dff_name to a struct of grant_digest.c. */
struct dff_grants_sent {
	GHashTable *members;
};

void dff_grants_sent_init (struct dff_grants_sent *sent);

void dff_grants_sent_clear (struct dff_grants_sent *sent);

/** Drops what is remembered of members for which @is_member says no. */
void dff_grants_sent_retain (struct dff_grants_sent *sent,
			     bool (*is_member) (const void *ctx, const struct dff_name *id),
			     const void *ctx);

/**
 * dff_grants_sent_count:
 * @start: what the member drew when it started
 *
 * Counts one more sending of the set with @digest to @member.
 *
 * Returns: whether the set has to be sent whole: it, the epoch or the process has changed, a first
 * whole set may have been lost, or its turn has come.
 */
bool dff_grants_sent_count (struct dff_grants_sent *sent,
			    const struct dff_name *member,
			    int64_t epoch,
			    uint32_t start,
			    const struct dff_grant_digest *digest);

/** The set that was last taken in. */
struct dff_grants_current {
	GArray *grants; /**< (nullable): elements: struct dff_grant; NULL: none yet. */
	struct dff_grant_digest digest;
};

/** Replaces what is kept by a copy of @grants. */
void dff_grants_current_set (struct dff_grants_current *current,
			     const struct dff_grant *grants,
			     size_t n_grants);

/** Returns: whether a set is kept and has @digest. */
bool dff_grants_current_match (const struct dff_grants_current *current,
			       const struct dff_grant_digest *digest);

void dff_grants_current_clear (struct dff_grants_current *current);

#endif
