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
 * The one durable row of a job, JSON under "job/REGION/ID". It is written three times: at
 * acceptance (by an entry), at the start intent and at the end (by the holder of the cell). A
 * cancellation and each retry add one write.
 *
 * Ids: "REGION.HASH" for single jobs, "REGION.BATCH.INDEX" for members of a batch, so that any
 * process finds the row, and one scan finds a batch. HASH and BATCH are 32 hex digits of the
 * SHA-256 of team and idempotency key, or random if there is no key.
 *
 * A submission with an Idempotency-Key also writes "idem/HASH" (value: the job or batch id) in the
 * same transaction, on condition that this row does not exist. The same submission through two
 * processes, even in two regions, is therefore one job.
 */

/** Longest region name: job ids have to stay within DFF_NAME_MAX. */
#define DFF_REGION_NAME_MAX 16

enum dff_job_row_state {
	DFF_JOB_ROW_QUEUED, /**< No attempt is open. */
	DFF_JOB_ROW_OPEN,   /**< The start intent of an attempt is durable. */
	DFF_JOB_ROW_ENDED,
};

/** Location of a result in the object store; the manifest object lists its chunks. */
struct dff_result_ref {
	struct dff_name manifest_key;
	int64_t length;
	/** SHA-256 of the whole result, hex; empty: no result. */
	char digest[65];
};

struct dff_job_row {
	struct dff_job_spec spec;
	enum dff_job_row_state state;
	/** Last attempt whose start intent is durable; 0: none. */
	int32_t attempt;
	/** Placements of the open attempt. Elements: struct dff_placement. */
	GArray *placements;
	/** Elements: int64_t, parallel to @placements: the worker's incarnation as known when the
	 * intent was recorded; 0: not known. Only the same incarnation can prove that it has never
	 * received the attempt. */
	GArray *incarnations;
	bool cancel_requested;
	enum dff_outcome outcome;
	struct dff_name reason;
	struct dff_result_ref result;
	struct dff_name batch; /**< Empty: not of a batch. */
	int64_t submitted_wall_ms;
	int64_t ended_wall_ms;
	/** Epoch of the holder that wrote the row last; 0: an entry wrote it. */
	int64_t epoch;
	/** The caller's description of the work, JSON text. */
	GString *payload;
	/** W3C traceparent of the submission; may be empty. */
	GString *traceparent;
	/** Revision of the table row as read; 0: never read. Not part of the value. */
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

/** Maximum number of bytes that the placements of the largest gang, a result and the row's key add
 * to a row after submission. */
#define DFF_JOB_ROW_GROWTH_BYTES (20 << 10)
/** Maximum length of a row at submission, bytes; a job with a longer row is rejected. */
#define DFF_JOB_ROW_MAX_BYTES (DFF_RECORD_MAX_UNIT_BYTES - DFF_JOB_ROW_GROWTH_BYTES)

/** Returns: whether the row of a job that was not started yet can be recorded, now and later. */
bool dff_job_row_fits (const struct dff_job_row *row);

/** Decodes a row's value. Returns: (transfer full) (nullable): the row. */
struct dff_job_row *dff_job_row_decode (struct dff_str value, int64_t revision, GError **error);

#endif
