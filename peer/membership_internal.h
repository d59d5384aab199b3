#ifndef DFF_PEER_MEMBERSHIP_INTERNAL_H
#define DFF_PEER_MEMBERSHIP_INTERNAL_H

#include "peer/member_table.h"
#include "peer/membership.h"

/* Shared by membership.c (time and the list), membership_send.c (heartbeats), membership_merge.c
 * (what others say) and membership_query.c. */

struct dff_membership {
	struct dff_membership_options options;
	struct dff_member_table *table;
	GRand *random;
	/** Index of the entry whose state the next heartbeat carries though nothing changed. */
	guint refresh_cursor;
	/** Index of the dead entry that was last sent a heartbeat. */
	guint dead_cursor;
	/** Epoch of the holder that was last sent a heartbeat as such. */
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

/** Returns: whether there are more members than every one can send to. */
bool dff_membership_is_sampled (const struct dff_membership *membership);

/** Returns: how many members judge one member's silence. */
int32_t dff_membership_n_observers (const struct dff_membership *membership);

/** Sends the heartbeats that are due. */
void dff_membership_send_due (struct dff_membership *membership);

/** Changes what is known of whether @entry runs; passes the change on. */
void dff_membership_set_liveness (struct dff_membership *membership,
				  struct dff_member_entry *entry,
				  enum dff_liveness liveness);

/** Lets the next heartbeats carry the state of @entry. */
void dff_membership_relay (struct dff_membership *membership, struct dff_member_entry *entry);

/** Notes a change of @entry that the callers of this region may have to act on. */
void dff_membership_mark_changed (struct dff_membership *membership,
				  const struct dff_member_entry *entry);

/** Sends a heartbeat with what others should know. */
void dff_membership_send_heartbeat (struct dff_membership *membership,
				    struct dff_member_entry *target);

/** Sends @entry what is said about it, so that it can refute; at a bounded rate. */
void dff_membership_correct (struct dff_membership *membership,
			     struct dff_member_entry *entry,
			     const struct dff_member_report *report);

#endif
