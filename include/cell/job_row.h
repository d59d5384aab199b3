#ifndef DFF_CELL_JOB_ROW_H
#define DFF_CELL_JOB_ROW_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/cleanup.h"
#include "core/core.h"
#include "core/job.h"
#include "record/recorder.h"
#include "upstream/worker_client.h"

/*
 * The one durable row of a job, JSON under "job/REGION/ID". Written three times: accepted (by an
 * entry), start intent and end (by the holder of the cell); a cancellation and each retry add one.
 *
 * Ids: "REGION.HASH" for single jobs, "REGION.BATCH.INDEX" for members of a batch, so that any
 * process finds the row, and one scan finds a batch. HASH and BATCH are 32 hex digits of the
 * SHA-256 of team and idempotency key, or random where there is no key.
 *
 * A submission with an Idempotency-Key also writes "idem/HASH" (value: the job or batch id) under
 * the condition that it does not exist, in the same transaction, so that the same submission
 * through two processes, even in two regions, is one job.
 */

/** Region names are short, so that ids stay within DFF_NAME_MAX. */
#define DFF_REGION_NAME_MAX 16

enum dff_job_row_state {
	DFF_JOB_ROW_QUEUED, /**< No attempt open. */
	DFF_JOB_ROW_OPEN,   /**< An attempt's start intent is durable. */
	DFF_JOB_ROW_ENDED,
};

/** Where a result lies in the object store; its chunks are listed in the manifest object. */
struct dff_result_ref {
	struct dff_name manifest_key;
	int64_t length;
	/** SHA-256 of the whole result, hex; empty: no result. */
	char digest[65];
};

struct dff_job_row {
	struct dff_job_spec spec;
	enum dff_job_row_state state;
	/** Last attempt whose intent was made durable; 0: none. */
	int32_t attempt;
	/** Elements: struct dff_placement; of the open attempt. */
	GArray *placements;
	/** Elements: int64_t, parallel to @placements: the worker's incarnation as known when the
	 * intent was recorded, 0: not known. Only the same incarnation can vouch that it has never
	 * seen the attempt. */
	GArray *incarnations;
	bool cancel_requested;
	enum dff_outcome outcome;
	struct dff_name reason;
	struct dff_result_ref result;
	struct dff_name batch; /**< Empty: none. */
	int64_t submitted_wall_ms;
	int64_t ended_wall_ms;
	/** Epoch of the holder that wrote last; 0: an entry. */
	int64_t epoch;
	/** Caller's work description, JSON text. */
	GString *payload;
	/** W3C traceparent of the submission; may be empty. */
	GString *traceparent;
	/** Revision of the table row it was read from; 0: never read. Not part of the value. */
	int64_t revision;
};

struct dff_job_row *dff_job_row_new (void);

void dff_job_row_free (struct dff_job_row *row);

DFF_DEFINE_CLEANUP (dff_job_row, dff_job_row_free);

/** Writes "job/REGION/ID" of @id. */
GString *dff_job_row_key (const struct dff_name *id);

/** Returns: the region of @id; the empty name when @id is malformed. */
struct dff_name dff_job_id_region (const struct dff_name *id);

/** Encodes the row's value as compact JSON. */
GString *dff_job_row_encode (const struct dff_job_row *row);

/** What the placements of the largest gang, a result and the row's key may add to a row later,
 * bytes.
 */
#define DFF_JOB_ROW_GROWTH_BYTES (20 << 10)
/** A job whose row is longer as it is submitted is not taken, bytes. */
#define DFF_JOB_ROW_MAX_BYTES (DFF_RECORD_MAX_UNIT_BYTES - DFF_JOB_ROW_GROWTH_BYTES)

/** Returns: whether the row of a job that was not started yet can be recorded, now and later. */
bool dff_job_row_fits (const struct dff_job_row *row);

/** Decodes a row's value. Returns: (transfer full) (nullable): the row. */
struct dff_job_row *dff_job_row_decode (struct dff_str value, int64_t revision, GError **error);

#endif
