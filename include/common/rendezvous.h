#ifndef DFF_COMMON_RENDEZVOUS_H
#define DFF_COMMON_RENDEZVOUS_H

#include "common/str.h"

/* Rendezvous (highest random weight) hashing over XXH3: every process computes the same owner from
 * the same members, with no message, and a join or leave moves only the share of that member. */

/** Returns: the weight of @member for @key; the highest weight owns. */
uint64_t dff_rendezvous_weight (struct dff_str key, const struct dff_name *member);

/**
 * dff_rendezvous_owner:
 * @key: what is to be owned
 * @members: candidates, in any order
 * @n_members: how many, may be 0
 *
 * Returns: index of the owner in @members, or -1 when there is none.
 */
int dff_rendezvous_owner (struct dff_str key, const struct dff_name *members, size_t n_members);

#endif
