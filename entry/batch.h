#ifndef DFF_ENTRY_BATCH_H
#define DFF_ENTRY_BATCH_H

#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"
#include "entry/call.h"

/*
 * Batches. The row "batch/REGION/HASH" holds the number of jobs; each job has a row of its own. The
 * batch row is written first, so that a batch that was recorded only in part can be detected.
 */

/** Submits the call's body as a batch. @hash: hash of its Idempotency-Key; empty: none. */
void dff_batch_submit (struct dff_call *call, const struct dff_name *hash);

/** The row of a batch. */
struct dff_batch_row {
	struct dff_name team;
	/** Number of jobs in the batch. */
	int32_t manifest;
	/** Number of recorded jobs, set once all are recorded; -1 before. */
	int32_t accepted;
	/** SHA-256 of the submission, hex. */
	char digest[65];
};

GString *dff_batch_row_encode (const struct dff_batch_row *row);

/** Returns: false when @value is not a valid batch row. */
bool dff_batch_row_decode (struct dff_str value, struct dff_batch_row *row);

/** Returns: (nullable): "batch/REGION/HASH" for the id "REGION.HASH"; NULL when @id has another
 * form. */
GString *dff_batch_row_key (const struct dff_name *id);

/** Returns: "job/REGION/REGION.HASH.", the key prefix of the batch's jobs. */
GString *dff_batch_job_prefix (const struct dff_name *id);

#endif
