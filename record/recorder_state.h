#ifndef DFF_RECORD_RECORDER_STATE_H
#define DFF_RECORD_RECORDER_STATE_H

#include <glib.h>

#include "record/breaker.h"
#include "record/budget.h"
#include "record/group.h"
#include "record/key_locks.h"
#include "record/recorder.h"

/* State of a recorder, shared by the parts that queue (recorder.c), call the table (call.c) and
 * resolve answers (resolve.c). */

struct dff_recorder_counters {
	int64_t *writes;
	int64_t *done;
	int64_t *conflict;
	int64_t *not_done;
	int64_t *refused;
	int64_t *abandoned;
	int64_t *commits;
	int64_t *rows;
	int64_t *lookups;
	int64_t *conflict_reads;
	int64_t *uncertain;
	int64_t *resolved_written;
	int64_t *resolved_absent;
	int64_t *breaker_opened;
	int64_t *breaker_open;
	int64_t *waiting;
};

struct dff_recorder {
	struct dff_recorder_options options;
	struct dff_recorder_counters counters;
	GRand *rand;
	struct dff_budget budget;
	struct dff_breaker breaker;
	/** Definite answers of the table. */
	uint64_t n_successes;
	struct dff_name write_id_prefix;
	uint64_t next_write_id;
	uint64_t next_ticket;
	/** Ticket to struct dff_record_unit; until its callback has run. */
	GHashTable *units;
	/** struct dff_record_unit, in order of ticket. */
	GQueue waiting;
	size_t waiting_rows;
	/** struct dff_record_unit whose callback is due. */
	GQueue finished;
	/** struct dff_record_group. */
	GPtrArray *groups;
	/** Keys of the groups. */
	struct dff_key_locks locks;
	/** Calls without answer or with an answer not dealt with: struct dff_record_call, a set. */
	GHashTable *calls;
	/** struct dff_record_call, answered. */
	GQueue answers;
	/** When the probe of a half-open breaker has taken too long. */
	int64_t probe_due_ms;
};

enum dff_record_call_kind {
	DFF_RECORD_CALL_COMMIT,
	DFF_RECORD_CALL_LOOKUP,
	DFF_RECORD_CALL_READ,
	DFF_RECORD_CALL_PROBE,
};

/** One call of the table. Answers are kept and dealt with by the next tick, so that a table that
 * answers at once cannot change the queues while they are being walked. */
struct dff_record_call {
	struct dff_recorder *recorder;
	enum dff_record_call_kind kind;
	/** NULL: a probe, or the group has ended. */
	struct dff_record_group *group;
	enum dff_table_outcome outcome;
	int64_t revision;
};

int64_t dff_recorder_now_ms (const struct dff_recorder *recorder);

/* call.c */

/** Returns: a write id that was never used. */
struct dff_name dff_recorder_next_write_id (struct dff_recorder *recorder);

void dff_recorder_call_commit (struct dff_recorder *recorder, struct dff_record_group *group);

void dff_recorder_call_lookup (struct dff_recorder *recorder, struct dff_record_group *group);

/** Reads the rows of the group's conditions; sets each unit's conflicts. */
void dff_recorder_call_read (struct dff_recorder *recorder, struct dff_record_group *group);

/** Looks up a write id that was never used: answered whenever the table works. */
void dff_recorder_call_probe (struct dff_recorder *recorder);

/** Answers of calls for @group are dropped from now on. */
void dff_recorder_detach_calls (struct dff_recorder *recorder,
				const struct dff_record_group *group);

/* resolve.c */

/** Deals with answers that have come. */
void dff_recorder_handle_answers (struct dff_recorder *recorder);

/** Gives up waiting for answers that are overdue. */
void dff_recorder_check_timeouts (struct dff_recorder *recorder);

/** Sends lookups that are due. */
void dff_recorder_send_lookups (struct dff_recorder *recorder);

/** Tries the table when the breaker's back-off has ended. */
void dff_recorder_probe (struct dff_recorder *recorder);

/* recorder.c */

/** The outcome of @unit is known. Frees it when nobody waits for it. */
void dff_recorder_finish (struct dff_recorder *recorder,
			  struct dff_record_unit *unit,
			  enum dff_record_outcome outcome,
			  int64_t revision);

/** Puts @unit, proven not written, back to its place among the waiting, or ends it when its time
 * is over. */
void dff_recorder_requeue (struct dff_recorder *recorder, struct dff_record_unit *unit);

/** Ends the waiting units that somebody waits for. */
void dff_recorder_refuse_waiting (struct dff_recorder *recorder);

#endif
