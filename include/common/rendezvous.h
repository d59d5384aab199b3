#ifndef DFF_COMMON_RENDEZVOUS_H
#define DFF_COMMON_RENDEZVOUS_H

#include "common/str.h"

/* Rendezvous (highest random weight) hashing over XXH3. Every process computes the same owner from
 * the same members without a message, and a join or leave moves only that member's share. */

/** Returns: the weight of @member for @key; the member with the highest weight is the owner. */
uint64_t dff_rendezvous_weight (struct dff_str key, const struct dff_name *member);

/**
 * dff_rendezvous_owner:
 * @key: identifies the object to assign
 * @members: candidates, in any order
 * @n_members: may be 0
 *
 * Returns: index of the owner in @members; -1 without members.
 */
int dff_rendezvous_owner (struct dff_str key, const struct dff_name *members, size_t n_members);

#endif
