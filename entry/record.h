#ifndef DFF_ENTRY_RECORD_H
#define DFF_ENTRY_RECORD_H

#include <stdint.h>

#include "cell/job_row.h"
#include "common/trace.h"
#include "entry/call.h"
#include "record/recorder.h"

/* Durable writes for a call, with a limit on the time that the caller waits. */

/** Maximum time that a caller waits for a write, ms. */
#define DFF_ENTRY_RECORD_TIMEOUT_MS 5000

enum dff_entry_record_outcome {
	DFF_ENTRY_RECORD_DONE,
	/** A condition did not hold; proven not written. */
	DFF_ENTRY_RECORD_CONFLICT,
	/** Proven not written, and it will not be written later. */
	DFF_ENTRY_RECORD_NOT_DONE,
	/** The write was sent and the store has not answered; it may be written or not. */
	DFF_ENTRY_RECORD_UNKNOWN,
};

typedef void (*dff_entry_record_func) (void *user,
				       enum dff_entry_record_outcome outcome,
				       int64_t revision);

/**
 * dff_entry_record:
 * @parent: parent span of the write's span
 * @timeout_ms: time after which the outcome is NOT_DONE or UNKNOWN
 *
 * Calls @done once, after this function has returned. If the entry is closed, @done is called
 * before this function returns.
 */
void dff_entry_record (struct dff_entry *entry,
		       const struct dff_trace_context *parent,
		       const struct dff_record_write *write,
		       int32_t timeout_ms,
		       dff_entry_record_func done,
		       void *user);

/** Writes @value to the row @key for @call, on condition that the row has @revision (0: the row
 * does not exist). @done as in dff_entry_record(). */
void dff_call_record_row (struct dff_call *call,
			  struct dff_str key,
			  struct dff_str value,
			  int64_t revision,
			  dff_entry_record_func done,
			  void *user);

/** Writes a job's row on condition that it has the revision of @job. */
void dff_call_record_job (struct dff_call *call,
			  const struct dff_job_row *job,
			  dff_entry_record_func done,
			  void *user);

/**
 * dff_call_record_submission:
 * @key: row of the new job or batch @id
 * @hash: hash of its Idempotency-Key; empty: none was given
 *
 * Creates the row @key and, in the same transaction, the row that maps the Idempotency-Key to @id.
 * The outcome is CONFLICT when one of the two rows exists.
 */
void dff_call_record_submission (struct dff_call *call,
				 struct dff_str key,
				 struct dff_str value,
				 const struct dff_name *hash,
				 const struct dff_name *id,
				 dff_entry_record_func done,
				 void *user);

/** Returns: (transfer full): key of the row that maps an Idempotency-Key to the id of its job or
 * batch. */
GString *dff_idempotency_row_key (const struct dff_name *hash);

/** Answers that the Idempotency-Key was used before for other content. */
void dff_reply_key_reused (struct dff_call *call);

/** Answers that the write of a job or request was not done (503, not_run) or that its effect is
 * unknown (504, unknown). */
void dff_reply_record_failed (struct dff_call *call, enum dff_entry_record_outcome outcome);

/** Refuses new work while this process is draining. Returns: whether the call was refused. */
bool dff_refuse_draining (struct dff_call *call);

/** Refuses new work that has to be recorded while the store is down or this process is draining,
 * without waiting for a timeout. Returns: whether the call was refused. */
bool dff_refuse_new_work (struct dff_call *call);

#endif
