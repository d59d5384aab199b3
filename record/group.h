#ifndef DFF_RECORD_GROUP_H
#define DFF_RECORD_GROUP_H

#include <glib.h>

#include "record/recorder.h"

/* Units of writing, and the groups that carry them to the table as one transaction. */

struct dff_record_group;

/** One dff_recorder_write(). */
struct dff_record_unit {
	uint64_t ticket;
	/** Conditions and writes; without write id. */
	struct dff_table_txn *txn;
	int64_t queued_ms;
	/** Of its keys and values. */
	size_t n_bytes;
	/** Times that the table refused it although it had taken something else meanwhile, and the
	 * recorder's count of successes at the last refusal. */
	int32_t refusals;
	uint64_t successes_at_refusal;
	/** Not to be sent before this, monotonic ms. */
	int64_t not_before_ms;
	/** Monotonic ms after which it is not sent any more; INT64_MAX: never. */
	int64_t expires_ms;
	/** A caller waits for it, who is to be refused at once while the table is down. */
	bool has_timeout;
	/** To be sent in a transaction of its own. */
	bool ungrouped;
	/** The writer has given it up after it was sent. */
	bool abandoned;
	/** By the last read, a condition of it does not hold. */
	bool conflicts;
	/** Its outcome is known and its callback is due. */
	bool finished;
	enum dff_record_outcome outcome;
	int64_t revision;
	dff_record_func done;
	void *user;
	/** (nullable): NULL while it waits. */
	struct dff_record_group *group;
};

struct dff_record_unit *dff_record_unit_new (const struct dff_record_write *write,
					     uint64_t ticket,
					     int64_t now_ms,
					     dff_record_func done,
					     void *user);

void dff_record_unit_free (struct dff_record_unit *unit);

enum dff_record_group_state {
	/** Its commit has been sent; no answer yet. */
	DFF_GROUP_SENT,
	/** The answer was lost; the next lookup of its write id is due at due_ms. */
	DFF_GROUP_UNCERTAIN,
	/** A lookup has been sent; no answer yet. */
	DFF_GROUP_LOOKUP,
	/** It conflicted; the rows of its conditions are being read. */
	DFF_GROUP_READING,
};

/** Refusals from which on a unit is sent by itself and at growing intervals. */
#define DFF_RECORD_SUSPECT_REFUSALS 2

struct dff_record_group {
	enum dff_record_group_state state;
	struct dff_name write_id;
	/** struct dff_record_unit. */
	GPtrArray *units;
	/** When the state has lasted too long, or the next lookup is due, monotonic ms. */
	int64_t due_ms;
	int32_t lookups;
};

struct dff_record_group *dff_record_group_new (const struct dff_name *write_id);

/** Frees the group, not its units. */
void dff_record_group_free (struct dff_record_group *group);

void dff_record_group_add (struct dff_record_group *group, struct dff_record_unit *unit);

/** Returns: whether @unit may join the group: neither is to go alone, and both stay within the
 * limits together. Any unit may join an empty group. */
bool dff_record_group_fits (const struct dff_record_group *group,
			    const struct dff_record_unit *unit,
			    size_t max_rows,
			    size_t max_bytes);

/** Returns: whether the group is one unit that the table has refused before while it took others:
 * its failures say nothing about the table. */
bool dff_record_group_is_suspect (const struct dff_record_group *group);

/** A group's transaction; it borrows from the units. */
struct dff_record_group_txn {
	struct dff_table_txn txn;
	GArray *conditions;
	GArray *writes;
};

/** Joins the units' conditions, each key once, and writes. */
void dff_record_group_build (const struct dff_record_group *group,
			     struct dff_record_group_txn *out);

void dff_record_group_txn_clear (struct dff_record_group_txn *out);

/** Returns: whether a condition of @unit fails by @rows, which hold every row of its conditions
 * that exists. */
bool dff_record_unit_conflicts (const struct dff_record_unit *unit,
				const struct dff_table_row *rows,
				size_t n_rows);

#endif
