#ifndef DFF_RECORD_RECORDER_STATE_H
#define DFF_RECORD_RECORDER_STATE_H

#include <glib.h>

#include "record/breaker.h"
#include "record/budget.h"
#include "record/group.h"
#include "record/key_locks.h"
#include "record/recorder.h"

/* State of a recorder, shared by recorder.c (queue), call.c (calls of the table) and resolve.c
 * (handling of answers). */

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
	/** Number of definite answers from the table. */
	uint64_t n_successes;
	struct dff_name write_id_prefix;
	uint64_t next_write_id;
	uint64_t next_ticket;
	/** Ticket to struct dff_record_unit; a unit stays until its callback has run. */
	GHashTable *units;
	/** Elements: struct dff_record_unit *, in order of ticket. */
	GQueue waiting;
	size_t waiting_rows;
	/** Elements: struct dff_record_unit * whose callback is due. */
	GQueue finished;
	/** Groups in flight. Elements: struct dff_record_group *. */
	GPtrArray *groups;
	/** Keys of the groups in flight. */
	struct dff_key_locks locks;
	/** Set of struct dff_record_call *: calls whose answer has not been handled yet. */
	GHashTable *calls;
	/** Elements: struct dff_record_call *, answered but not handled yet. */
	GQueue answers;
	/** When the probe of the half-open breaker times out. */
	int64_t probe_due_ms;
};

enum dff_record_call_kind {
	DFF_RECORD_CALL_COMMIT,
	DFF_RECORD_CALL_LOOKUP,
	DFF_RECORD_CALL_READ,
	DFF_RECORD_CALL_PROBE,
};

/** One call of the table. Answers are queued and handled by the next tick: a table that answers
 * within the call must not change the queues while they are iterated. */
struct dff_record_call {
	struct dff_recorder *recorder;
	enum dff_record_call_kind kind;
	/** (nullable): NULL for a probe, or when the group has been freed. */
	struct dff_record_group *group;
	enum dff_table_outcome outcome;
	int64_t revision;
};

int64_t dff_recorder_now_ms (const struct dff_recorder *recorder);

/* call.c */

/** Returns: a write id that was never used before. */
struct dff_name dff_recorder_next_write_id (struct dff_recorder *recorder);

void dff_recorder_call_commit (struct dff_recorder *recorder, struct dff_record_group *group);

void dff_recorder_call_lookup (struct dff_recorder *recorder, struct dff_record_group *group);

/** Reads the rows of the group's conditions. The answer sets conflicts of each unit. */
void dff_recorder_call_read (struct dff_recorder *recorder, struct dff_record_group *group);

/** Looks up a write id that was never used, to find out whether the table answers. */
void dff_recorder_call_probe (struct dff_recorder *recorder);

/** Detaches the pending calls of @group, so that their answers do not affect any group. */
void dff_recorder_detach_calls (struct dff_recorder *recorder,
				const struct dff_record_group *group);

/* resolve.c */

/** Handles the queued answers. */
void dff_recorder_handle_answers (struct dff_recorder *recorder);

/** Times out overdue answers. */
void dff_recorder_check_timeouts (struct dff_recorder *recorder);

/** Sends lookups that are due. */
void dff_recorder_send_lookups (struct dff_recorder *recorder);

/** Sends a probe once the breaker's backoff has ended. */
void dff_recorder_probe (struct dff_recorder *recorder);

/* recorder.c */

/** Queues the callback of @unit with @outcome, or frees the unit if it was abandoned. */
void dff_recorder_finish (struct dff_recorder *recorder,
			  struct dff_record_unit *unit,
			  enum dff_record_outcome outcome,
			  int64_t revision);

/** Puts @unit back into the queue in order of ticket. @unit is proven not written. If it was
 * abandoned, has expired or must be refused, it ends instead. */
void dff_recorder_requeue (struct dff_recorder *recorder, struct dff_record_unit *unit);

/** Refuses the queued units with a timeout: their callers wait for an answer. */
void dff_recorder_refuse_waiting (struct dff_recorder *recorder);

#endif
