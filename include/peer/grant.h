#ifndef DFF_PEER_GRANT_H
#define DFF_PEER_GRANT_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "common/str.h"
#include "peer/peer.h"

/*
 * The holder's share-out of request slots: which member may use which slots of which worker without
 * asking. Pure: the same members and workers give the same shares in every process, so a new holder
 * hands out what the old one did. docs/decisions/grants.md.
 */

/** How many times likelier a slot goes to a member of the worker's data centre than to another. */
#define DFF_GRANT_SAME_DATA_CENTRE_WEIGHT 4

struct dff_grant_member {
	struct dff_name id;
	struct dff_name data_centre;
};

struct dff_grant_worker {
	struct dff_name id;
	struct dff_name data_centre;
	/** Slots set aside for short requests. */
	int32_t slots;
};

/**
 * dff_grants_assign:
 * @workers: in any order, as are @members; may be none
 *
 * Gives each slot to one member by weighted rendezvous hashing. A member that joins or leaves moves
 * only the slots that become or were its own.
 *
 * Returns: (transfer full): for each member, in the order of @members, a GArray of struct
 * dff_grant in the order of @workers; without members, an empty array.
 */
GPtrArray *dff_grants_assign (const struct dff_grant_worker *workers,
			      size_t n_workers,
			      const struct dff_grant_member *members,
			      size_t n_members);

#endif
