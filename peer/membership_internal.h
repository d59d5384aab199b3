#ifndef DFF_PEER_MEMBERSHIP_INTERNAL_H
#define DFF_PEER_MEMBERSHIP_INTERNAL_H

#include "peer/member_table.h"
#include "peer/membership.h"

/* Shared by membership.c (timeouts, instance list), membership_send.c (heartbeats),
 * membership_merge.c (reports of peers) and membership_query.c. */

struct dff_membership {
	struct dff_membership_options options;
	struct dff_member_table *table;
	GRand *random;
	/** Index of the last entry whose state a heartbeat carried without a change. */
	guint refresh_cursor;
	/** Index of the dead entry that was last sent a heartbeat. */
	guint dead_cursor;
	/** Epoch of the last holder that was sent a heartbeat because it is the holder. */
	int64_t notified_epoch;
	int64_t last_tick_ms;
	int64_t next_heartbeat_ms;
	int64_t last_heartbeat_ms;
	bool announce;
	bool ring_changed;
	bool region_changed;
	int64_t *n_suspected;
	int64_t *n_died;
	int64_t *n_refuted;
	int64_t *n_corrected;
};

/** Returns: whether there are more than fanout peers, so that heartbeats go to a sample of them. */
bool dff_membership_is_sampled (const struct dff_membership *membership);

/** Returns: number of observers of each member. */
int32_t dff_membership_n_observers (const struct dff_membership *membership);

/** Sends the heartbeats that are due. */
void dff_membership_send_due (struct dff_membership *membership);

/** Sets the liveness of @entry and relays a change. */
void dff_membership_set_liveness (struct dff_membership *membership,
				  struct dff_member_entry *entry,
				  enum dff_liveness liveness);

/** Makes the next heartbeats carry the state of @entry. */
void dff_membership_relay (struct dff_membership *membership, struct dff_member_entry *entry);

/** Marks the region as changed if @entry belongs to it; the next tick runs the changed callback. */
void dff_membership_mark_changed (struct dff_membership *membership,
				  const struct dff_member_entry *entry);

/** Sends a heartbeat with reports on other members. */
void dff_membership_send_heartbeat (struct dff_membership *membership,
				    struct dff_member_entry *target);

/** Sends @report about @entry to that member, so that it can refute; rate-limited. */
void dff_membership_correct (struct dff_membership *membership,
			     struct dff_member_entry *entry,
			     const struct dff_member_report *report);

#endif
