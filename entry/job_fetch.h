#ifndef DFF_ENTRY_JOB_FETCH_H
#define DFF_ENTRY_JOB_FETCH_H

#include "cell/job_row.h"
#include "entry/call.h"

/* Reads one job's row on behalf of a call. */

enum dff_fetch_outcome {
	DFF_FETCH_FOUND,
	DFF_FETCH_MISSING,
	/** The store does not answer, or the row cannot be read. */
	DFF_FETCH_UNAVAILABLE,
};

/** @row: when found; valid in the callback only. */
typedef void (*dff_job_fetch_func) (struct dff_call *call,
				    enum dff_fetch_outcome outcome,
				    struct dff_job_row *row,
				    void *user);

/** Reads the row of @id; the call is kept alive until @done returns. */
void dff_job_fetch (struct dff_call *call,
		    const struct dff_name *id,
		    dff_job_fetch_func done,
		    void *user);

/** @value: when found; valid in the callback only. */
typedef void (*dff_value_fetch_func) (struct dff_call *call,
				      enum dff_fetch_outcome outcome,
				      struct dff_str value,
				      int64_t revision,
				      void *user);

/** Reads any row under @key; the call is kept alive until @done returns. */
void
dff_value_fetch (struct dff_call *call, struct dff_str key, dff_value_fetch_func done, void *user);

/** Answers a call whose job was not found or not read. */
void dff_reply_fetch_failed (struct dff_call *call, enum dff_fetch_outcome outcome);

#endif
