#ifndef DFF_PEER_MEMBER_TABLE_H
#define DFF_PEER_MEMBER_TABLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/cleanup.h"
#include "peer/message.h"

/* The table of members, self included, and the hash ring over those not known to be dead. */

struct dff_member_entry {
	struct dff_instance instance;
	/** The newest that is known of it. */
	struct dff_member_report known;
	/** Whether the instance list has it. */
	bool listed;
	/** Whether this process judges its silence. */
	bool observed;
	/** Last sign of life, direct or passed on. */
	int64_t heartbeat_received_ms;
	/** Last heartbeat from itself; INT64_MIN / 2: none. */
	int64_t direct_received_ms;
	/** Its clock in that heartbeat. */
	int64_t heartbeat_sent_ms;
	/** When known.life changed. */
	int64_t liveness_since_ms;
	/** Last correction sent to it. */
	int64_t corrected_ms;
	/** Heartbeats that are still to carry its state. */
	int32_t relays_left;
	/** Place on the hash ring. */
	uint64_t position;
};

/** A time before every time, far enough from the limits to be subtracted from. */
#define DFF_TIME_NEVER (INT64_MIN / 2)

struct dff_member_table {
	/** Ordered by name; elements: struct dff_member_entry *. */
	GPtrArray *entries;
	/** Entries not known to be dead, ordered by position. Borrowed. */
	GPtrArray *ring;
	struct dff_member_entry *self;
};

struct dff_member_table *dff_member_table_new (const struct dff_instance *self);

void dff_member_table_free (struct dff_member_table *table);

DFF_DEFINE_CLEANUP (dff_member_table, dff_member_table_free);

/** Returns: (nullable): the entry of @id. */
struct dff_member_entry *dff_member_table_find (const struct dff_member_table *table,
						const struct dff_name *id);

/** Adds an entry that is not there yet. It has never been heard of: suspect since @now_ms. */
struct dff_member_entry *dff_member_table_add (struct dff_member_table *table,
					       const struct dff_instance *instance,
					       int64_t now_ms);

/** Removes the entry at @index of entries. */
void dff_member_table_remove (struct dff_member_table *table, guint index);

/**
 * dff_member_table_arrange:
 * @n_observers: how many successors judge a member; at least the number of others: everybody does
 *
 * Orders the ring anew and sets which entries self observes: the nearest predecessors, and the
 * suspects between them. One that it begins to observe counts
 * as heard @now_ms, so that it has its full time to be heard.
 */
void dff_member_table_arrange (struct dff_member_table *table, int32_t n_observers, int64_t now_ms);

/**
 * dff_member_table_targets:
 * @out: elements: struct dff_member_entry *
 *
 * Appends whom self sends to where not everybody sends to everybody: the successors on the ring
 * that observe it, and as many at half, a quarter, an eighth ... of the ring's length. From one to
 * any other it takes few steps, and as many send to a member as it sends to. Suspects are left out.
 */
void dff_member_table_targets (const struct dff_member_table *table,
			       int32_t n_observers,
			       GPtrArray *out);

#endif
