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
 * Failure detection: heartbeats, suspicion before removal, refutation by incarnation, and states of
 * peers relayed with heartbeats. With up to @fanout peers, all members send to each other. With
 * more, a member sends to its observers, the next @fanout / 3 successors on a hash ring, and to as
 * many members further along the ring, which relay states. docs/decisions/membership.md.
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
	/** The members of this process's region, or their states, changed. */
	void (*changed) (void *ctx);
	void *ctx;
};

struct dff_membership *dff_membership_new (const struct dff_membership_options *options);

void dff_membership_free (struct dff_membership *membership);

DFF_DEFINE_CLEANUP (dff_membership, dff_membership_free);

/** Evaluates missing heartbeats and sends the heartbeats that are due. */
void dff_membership_tick (struct dff_membership *membership);

/** Handles a heartbeat. Returns: false when the sender is not a member. */
bool dff_membership_receive (struct dff_membership *membership,
			     const struct dff_heartbeat *heartbeat);

/** Sets the instance list. */
void dff_membership_set_instances (struct dff_membership *membership,
				   const struct dff_instance *instances,
				   size_t n_instances);

/** Sets the state of this process; a change is announced with the next tick. */
void dff_membership_set_state (struct dff_membership *membership,
			       bool ready,
			       bool leaving,
			       int64_t holder_epoch);

/** Sets the pool generation in force in this process; announced with the next tick. */
void dff_membership_set_generation (struct dff_membership *membership, int64_t generation);

/** Returns: start_id of this process. */
uint32_t dff_membership_start_id (const struct dff_membership *membership);

/** Appends all members, self included, ordered by name. @out: elements: struct dff_member. */
void dff_membership_list (const struct dff_membership *membership, GArray *out);

/** Returns: (nullable): the instance of member @id, valid until the next change. */
const struct dff_instance *dff_membership_find (const struct dff_membership *membership,
						const struct dff_name *id);

/** Returns: (nullable): of the members of this region that are not dead, this process included, the
 * one that reports the highest holder epoch; valid until the next change. */
const struct dff_instance *dff_membership_holder (const struct dff_membership *membership,
						  int64_t *epoch);

/** Last direct heartbeat of a member, by which a grant is dated on the clock of its receiver. */
struct dff_last_heartbeat {
	int64_t sent_ms;   /**< The member's clock in the heartbeat; 0: none received. */
	int64_t age_ms;    /**< Time since the heartbeat arrived. */
	uint32_t start_id; /**< dff_member.start_id. */
};

struct dff_last_heartbeat dff_membership_last_heartbeat (const struct dff_membership *membership,
							 const struct dff_name *id);

/** Returns: the newest pool generation that a member reports that is not dead. */
int64_t dff_membership_newest_generation (const struct dff_membership *membership);

/**
 * dff_membership_pick_with_generation:
 * @generation: oldest acceptable generation
 *
 * Returns: (nullable): a random peer that is not dead and reports @generation or a newer one.
 */
const struct dff_instance *dff_membership_pick_with_generation (struct dff_membership *membership,
								int64_t generation);

#endif
