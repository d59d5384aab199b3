#ifndef DFF_ENTRY_RECORD_H
#define DFF_ENTRY_RECORD_H

#include <stdint.h>

#include "cell/job_row.h"
#include "common/trace.h"
#include "entry/call.h"
#include "record/recorder.h"

/* Durable writes on behalf of a caller, who waits for them for a limited time only. */

/** How long a caller waits for a write, ms. */
#define DFF_ENTRY_RECORD_TIMEOUT_MS 5000

enum dff_entry_record_outcome {
	DFF_ENTRY_RECORD_DONE,
	/** A condition did not hold. Proven not written. */
	DFF_ENTRY_RECORD_CONFLICT,
	/** Proven not written, and never will be. */
	DFF_ENTRY_RECORD_NOT_DONE,
	/** It was sent, and the store keeps silent: written or not. */
	DFF_ENTRY_RECORD_UNKNOWN,
};

typedef void (*dff_entry_record_func) (void *user,
				       enum dff_entry_record_outcome outcome,
				       int64_t revision);

/**
 * dff_entry_record:
 * @parent: span that the write is part of
 * @timeout_ms: after it the outcome is NOT_DONE or UNKNOWN
 *
 * @done is called once, after this call has returned; at once when the entry is closed.
 */
void dff_entry_record (struct dff_entry *entry,
		       const struct dff_trace_context *parent,
		       const struct dff_record_write *write,
		       int32_t timeout_ms,
		       dff_entry_record_func done,
		       void *user);

/** Writes @value to the row @key on behalf of @call while the row has @revision (0: no such row).
 * @done as in dff_entry_record(). */
void dff_call_record_row (struct dff_call *call,
			  struct dff_str key,
			  struct dff_str value,
			  int64_t revision,
			  dff_entry_record_func done,
			  void *user);

/** Writes a job's row while it has the revision that @job has. */
void dff_call_record_job (struct dff_call *call,
			  const struct dff_job_row *job,
			  dff_entry_record_func done,
			  void *user);

/**
 * dff_call_record_submission:
 * @key: row of the new job or batch @id
 * @hash: hash of its Idempotency-Key; empty: none was given
 *
 * Writes a row that must be new and, in the same transaction, that the key stands for it; CONFLICT:
 * one of the two is there.
 */
void dff_call_record_submission (struct dff_call *call,
				 struct dff_str key,
				 struct dff_str value,
				 const struct dff_name *hash,
				 const struct dff_name *id,
				 dff_entry_record_func done,
				 void *user);

/** Returns: (transfer full): key of the row that says what an Idempotency-Key stands for. */
GString *dff_idempotency_row_key (const struct dff_name *hash);

/** Answers that an Idempotency-Key was used for other content before. */
void dff_reply_key_reused (struct dff_call *call);

/** Answers that the write of a job or request was not done (503, not_run) or may have been (504,
 * unknown). */
void dff_reply_record_failed (struct dff_call *call, enum dff_entry_record_outcome outcome);

/** Refuses new work at once while this process stops. Returns: whether it was refused. */
bool dff_refuse_draining (struct dff_call *call);

/** Refuses new work that needs a record, at once, while the store is down or this process stops.
 * Returns: whether it was refused. */
bool dff_refuse_new_work (struct dff_call *call);

#endif
