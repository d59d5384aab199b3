#ifndef DFF_PEER_GRANT_H
#define DFF_PEER_GRANT_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "common/str.h"
#include "peer/peer.h"

/*
 * Assignment of request slots by the holder: which member may use which slots of which worker
 * without asking the holder. The result depends on members and workers alone, so that a new holder
 * assigns the same slots as the old one. docs/decisions/grants.md.
 */

/** Weight of a member in the worker's data centre; a member elsewhere has weight 1. */
#define DFF_GRANT_SAME_DATA_CENTRE_WEIGHT 4

struct dff_grant_member {
	struct dff_name id;
	struct dff_name data_centre;
};

struct dff_grant_worker {
	struct dff_name id;
	struct dff_name data_centre;
	/** Slots dedicated to short requests. */
	int32_t slots;
};

/**
 * dff_grants_assign:
 * @workers: may be empty; the order of @workers and @members does not affect the assignment
 *
 * Assigns each slot to one member by weighted rendezvous hashing. When a member joins or leaves,
 * only slots that it gains or loses move.
 *
 * Returns: (transfer full): for each member, in the order of @members, a GArray of struct
 * dff_grant in the order of @workers; an empty array if there are no members.
 */
GPtrArray *dff_grants_assign (const struct dff_grant_worker *workers,
			      size_t n_workers,
			      const struct dff_grant_member *members,
			      size_t n_members);

#endif
