#ifndef DFF_ENTRY_JOB_FETCH_H
#define DFF_ENTRY_JOB_FETCH_H

#include "cell/job_row.h"
#include "entry/call.h"

/* Reads rows of the table for a call. */

enum dff_fetch_outcome {
	DFF_FETCH_FOUND,
	DFF_FETCH_MISSING,
	/** The store does not answer, or the row cannot be decoded. */
	DFF_FETCH_UNAVAILABLE,
};

/** @row: set when found; valid only during the callback. */
typedef void (*dff_job_fetch_func) (struct dff_call *call,
				    enum dff_fetch_outcome outcome,
				    struct dff_job_row *row,
				    void *user);

/** Reads the row of job @id. The call is kept alive until @done returns. */
void dff_job_fetch (struct dff_call *call,
		    const struct dff_name *id,
		    dff_job_fetch_func done,
		    void *user);

/** @value: set when found; valid only during the callback. */
typedef void (*dff_value_fetch_func) (struct dff_call *call,
				      enum dff_fetch_outcome outcome,
				      struct dff_str value,
				      int64_t revision,
				      void *user);

/** Reads the row @key. The call is kept alive until @done returns. */
void
dff_value_fetch (struct dff_call *call, struct dff_str key, dff_value_fetch_func done, void *user);

/** Answers a call whose row was missing (404) or could not be read (503). */
void dff_reply_fetch_failed (struct dff_call *call, enum dff_fetch_outcome outcome);

#endif
