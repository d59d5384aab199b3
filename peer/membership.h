#ifndef DFF_PEER_MEMBERSHIP_H
#define DFF_PEER_MEMBERSHIP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/cleanup.h"
#include "common/clock.h"
#include "common/metrics.h"
#include "peer/message.h"

/*
 * Who is alive: heartbeats, suspicion before removal, refutation by incarnation, and states passed
 * on with heartbeats. Up to @fanout other members everybody sends to everybody. Beyond it a
 * third as many successors on a hash ring judge this member's silence, and as many members further
 * along the ring spread states. docs/decisions/membership.md.
 */

struct dff_membership;

struct dff_membership_options {
	struct dff_instance self;
	const struct dff_clock *clock;
	struct dff_metrics *metrics;
	uint64_t seed;
	int32_t heartbeat_ms;
	int32_t suspect_ms;
	int32_t dead_ms;
	int32_t fanout;
	/** Sends a heartbeat to a member. */
	void (*send) (void *ctx,
		      const struct dff_instance *member,
		      const struct dff_heartbeat *heartbeat);
	/** The members of this process's region changed. */
	void (*changed) (void *ctx);
	void *ctx;
};

struct dff_membership *dff_membership_new (const struct dff_membership_options *options);

void dff_membership_free (struct dff_membership *membership);

DFF_DEFINE_CLEANUP (dff_membership, dff_membership_free);

/** Judges silence and sends the heartbeats that are due. */
void dff_membership_tick (struct dff_membership *membership);

/** Returns: false when the sender is not a member. */
bool dff_membership_receive (struct dff_membership *membership,
			     const struct dff_heartbeat *heartbeat);

/** Takes the instance list in. */
void dff_membership_set_instances (struct dff_membership *membership,
				   const struct dff_instance *instances,
				   size_t n_instances);

/** Sets what this process says about itself; a change is announced with the next tick. */
void dff_membership_set_state (struct dff_membership *membership,
			       bool ready,
			       bool leaving,
			       int64_t holder_epoch);

/** Sets the generation that this process has in force; announced with the next tick. */
void dff_membership_set_generation (struct dff_membership *membership, int64_t generation);

/** Returns: what this process drew when it started. */
uint32_t dff_membership_start_id (const struct dff_membership *membership);

/** Appends every member, self included, in order of name. @out: elements: struct dff_member. */
void dff_membership_list (const struct dff_membership *membership, GArray *out);

/** Returns: (nullable): the instance of a member, valid until the next change. */
const struct dff_instance *dff_membership_find (const struct dff_membership *membership,
						const struct dff_name *id);

/** Returns: (nullable): the member of this region, self included, that says it is holder with the
 * highest epoch and is not known to be dead; valid until the next change. */
const struct dff_instance *dff_membership_holder (const struct dff_membership *membership,
						  int64_t *epoch);

/** What a grant needs to be dated by its receiver's clock. */
struct dff_last_heartbeat {
	int64_t sent_ms;   /**< The member's own clock in its last heartbeat; 0: never heard. */
	int64_t age_ms;    /**< Time since that heartbeat arrived. */
	uint32_t start_id; /**< What the member drew when it started. */
};

struct dff_last_heartbeat dff_membership_last_heartbeat (const struct dff_membership *membership,
							 const struct dff_name *id);

/** Returns: the newest generation that a member not known to be dead says it has. */
int64_t dff_membership_newest_generation (const struct dff_membership *membership);

/**
 * dff_membership_pick_with_generation:
 * @generation: the least generation that the member must have
 *
 * Returns: (nullable): one of the members that say they have it, at random.
 */
const struct dff_instance *dff_membership_pick_with_generation (struct dff_membership *membership,
								int64_t generation);

#endif
