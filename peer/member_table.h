#ifndef DFF_PEER_MEMBER_TABLE_H
#define DFF_PEER_MEMBER_TABLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/cleanup.h"
#include "peer/message.h"

/* The table of members, this process included, and the hash ring of those that are not dead. */

struct dff_member_entry {
	struct dff_instance instance;
	/** Newest report on the member. */
	struct dff_member_report known;
	/** The instance list contains the member. */
	bool listed;
	/** This process evaluates the member's heartbeats. */
	bool observed;
	/** Arrival of the last heartbeat, direct or relayed by a peer. */
	int64_t heartbeat_received_ms;
	/** Arrival of the last direct heartbeat; DFF_TIME_NEVER: none. */
	int64_t direct_received_ms;
	/** The member's clock in that heartbeat. */
	int64_t heartbeat_sent_ms;
	/** When known.liveness changed. */
	int64_t liveness_since_ms;
	/** When the last correction was sent to the member. */
	int64_t corrected_ms;
	/** Number of further heartbeats that carry the member's changed state. */
	int32_t relays_left;
	/** Place on the hash ring. */
	uint64_t position;
};

/** Earlier than any time; differences with it do not overflow. */
#define DFF_TIME_NEVER (INT64_MIN / 2)

struct dff_member_table {
	/** Ordered by name; elements: struct dff_member_entry *. */
	GPtrArray *entries;
	/** Entries that are not dead, ordered by position. Borrowed. */
	GPtrArray *ring;
	struct dff_member_entry *self;
};

struct dff_member_table *dff_member_table_new (const struct dff_instance *self);

void dff_member_table_free (struct dff_member_table *table);

DFF_DEFINE_CLEANUP (dff_member_table, dff_member_table_free);

/** Returns: (nullable): the entry of @id. */
struct dff_member_entry *dff_member_table_find (const struct dff_member_table *table,
						const struct dff_name *id);

/** Adds an entry that is not in the table yet, without a heartbeat: suspect since @now_ms. */
struct dff_member_entry *dff_member_table_add (struct dff_member_table *table,
					       const struct dff_instance *instance,
					       int64_t now_ms);

/** Removes the entry at @index of entries. */
void dff_member_table_remove (struct dff_member_table *table, guint index);

/**
 * dff_member_table_arrange:
 * @n_observers: number of successors that observe a member; with at least the number of peers, all
 * members observe each other
 *
 * Rebuilds the ring and sets which entries this process observes: the nearest predecessors and the
 * suspects between them. Heartbeats of an entry that it starts to observe time out from @now_ms on.
 */
void dff_member_table_arrange (struct dff_member_table *table, int32_t n_observers, int64_t now_ms);

/**
 * dff_member_table_targets:
 * @out: elements: struct dff_member_entry *
 *
 * Appends the targets of this process's heartbeats if members do not all send to each other: the
 * successors on the ring that observe it, and as many at half, a quarter, an eighth ... of the
 * ring's length. So a state reaches any member in few steps, and a member receives as many
 * heartbeats as it sends. Suspects are left out.
 */
void dff_member_table_targets (const struct dff_member_table *table,
			       int32_t n_observers,
			       GPtrArray *out);

#endif
