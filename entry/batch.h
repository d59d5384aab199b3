#ifndef DFF_ENTRY_BATCH_H
#define DFF_ENTRY_BATCH_H

#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"
#include "entry/call.h"

/*
 * Batches: a row "batch/REGION/HASH" that says how many jobs belong to it, and one row for each
 * job. The batch row is written first, so that a batch that was recorded in part can be told.
 */

/** Submits the call's body as a batch. @hash: of its Idempotency-Key; empty: none. */
void dff_batch_submit (struct dff_call *call, const struct dff_name *hash);

/** A batch's own row. */
struct dff_batch_row {
	struct dff_name team;
	/** Jobs that belong to it. */
	int32_t manifest;
	/** Jobs on record, known once all are; -1 before. */
	int32_t accepted;
	/** SHA-256 of the submission, hex. */
	char digest[65];
};

GString *dff_batch_row_encode (const struct dff_batch_row *row);

/** Returns: false when @value is no batch row. */
bool dff_batch_row_decode (struct dff_str value, struct dff_batch_row *row);

/** Writes "batch/REGION/HASH" of the id "REGION.HASH". Returns: (nullable): NULL when it is none.
 */
GString *dff_batch_row_key (const struct dff_name *id);

/** Writes "job/REGION/REGION.HASH.", the prefix of the keys of the batch's jobs. */
GString *dff_batch_job_prefix (const struct dff_name *id);

#endif
