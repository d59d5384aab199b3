#ifndef DFF_RECORD_GROUP_H
#define DFF_RECORD_GROUP_H

#include <glib.h>

#include "record/recorder.h"

/* Units of writing, and groups of units that are sent to the table as one transaction. */

struct dff_record_group;

/** One dff_recorder_write(). */
struct dff_record_unit {
	uint64_t ticket;
	/** Conditions and writes. The write id is the group's. */
	struct dff_table_txn *txn;
	int64_t queued_ms;
	/** Size of the keys and values, bytes. */
	size_t n_bytes;
	/** Number of counted refusals by the table: the first one, each one with another call
	 * accepted since the last, and every one of a suspect unit. */
	int32_t refusals;
	/** The recorder's n_successes at the last counted refusal. */
	uint64_t successes_at_refusal;
	/** Earliest time of the next attempt, monotonic ms. */
	int64_t not_before_ms;
	/** Time from which on the unit is not sent any more, monotonic ms; INT64_MAX: no limit. */
	int64_t expires_ms;
	/** A caller waits: the unit is refused at once while the breaker is open. */
	bool has_timeout;
	/** The unit is sent in a transaction of its own. */
	bool ungrouped;
	/** The writer abandoned the unit after it was sent. */
	bool abandoned;
	/** According to the last read, a condition of the unit does not hold. */
	bool conflicts;
	/** The outcome is known and the callback is due. */
	bool finished;
	enum dff_record_outcome outcome;
	int64_t revision;
	dff_record_func done;
	void *user;
	/** (nullable): NULL while the unit is queued. */
	struct dff_record_group *group;
};

struct dff_record_unit *dff_record_unit_new (const struct dff_record_write *write,
					     uint64_t ticket,
					     int64_t now_ms,
					     dff_record_func done,
					     void *user);

void dff_record_unit_free (struct dff_record_unit *unit);

enum dff_record_group_state {
	/** The commit was sent; no answer yet. */
	DFF_GROUP_SENT,
	/** The answer was lost; the next lookup of the write id is due at due_ms. */
	DFF_GROUP_UNCERTAIN,
	/** A lookup was sent; no answer yet. */
	DFF_GROUP_LOOKUP,
	/** The commit conflicted; the rows of the group's conditions are being read. */
	DFF_GROUP_READING,
};

/** Number of refusals from which on a unit is sent in a transaction of its own, with backoff. */
#define DFF_RECORD_SUSPECT_REFUSALS 2

struct dff_record_group {
	enum dff_record_group_state state;
	struct dff_name write_id;
	/** Elements: struct dff_record_unit *. */
	GPtrArray *units;
	/** When the state times out, or the next lookup is due, monotonic ms. */
	int64_t due_ms;
	int32_t lookups;
};

struct dff_record_group *dff_record_group_new (const struct dff_name *write_id);

/** Frees the group, not its units. */
void dff_record_group_free (struct dff_record_group *group);

void dff_record_group_add (struct dff_record_group *group, struct dff_record_unit *unit);

/** Returns: whether @unit may join the group: no unit of either is ungrouped, and together they
 * stay within the limits. Any unit may join an empty group. */
bool dff_record_group_fits (const struct dff_record_group *group,
			    const struct dff_record_unit *unit,
			    size_t max_rows,
			    size_t max_bytes);

/** Returns: whether the group is a single unit that the table refused repeatedly while it accepted
 * other calls. Its refusals do not count for the breaker. */
bool dff_record_group_is_suspect (const struct dff_record_group *group);

/** A group's transaction. Keys and values are borrowed from the units. */
struct dff_record_group_txn {
	struct dff_table_txn txn;
	GArray *conditions;
	GArray *writes;
};

/** Merges the units' writes and conditions; a key has one condition. */
void dff_record_group_build (const struct dff_record_group *group,
			     struct dff_record_group_txn *out);

void dff_record_group_txn_clear (struct dff_record_group_txn *out);

/** Returns: whether a condition of @unit does not hold. @rows: all existing rows that the
 * conditions name. */
bool dff_record_unit_conflicts (const struct dff_record_unit *unit,
				const struct dff_table_row *rows,
				size_t n_rows);

#endif
