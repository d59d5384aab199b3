#ifndef DFF_CLIENT_BATCH_H
#define DFF_CLIENT_BATCH_H

#include "client/call.h"

/** Returns: number of lines in JSON Lines text that are not blank. */
size_t dff_batch_count_lines (struct dff_str lines);

/** Number of jobs of a batch in each state. */
struct dff_batch_counts {
	int64_t manifest;
	int64_t accepted;
	int64_t completed;
	int64_t failed;
	int64_t cancelled;
	int64_t not_run;
	int64_t unknown;
	int64_t running;
	int64_t queued;
};

/** Parses the answer of GET /v1/batches/ID. Returns: false when it is invalid. */
bool dff_batch_counts_parse (const json_t *answer, struct dff_batch_counts *counts);

/** Returns: whether every job of the manifest has ended. */
bool dff_batch_counts_ended (const struct dff_batch_counts *counts);

/**
 * dff_batch_wait:
 *
 * Waits until every job has ended, with progress on a terminal.
 *
 * Returns: DFF_EXIT_OK when all completed, DFF_EXIT_NOT_COMPLETED when some ended otherwise,
 * DFF_EXIT_PENDING on a timeout, or the exit code of a failed query.
 */
int dff_batch_wait (struct dff_api_client *client, const struct dff_name *batch);

/**
 * dff_batch_collect:
 * @jobs: array of job ids
 * @directory: (nullable): receives each whole result as ID.result and the outcomes as
 *   outcomes.jsonl; NULL: JSON Lines on standard output, results in base64
 *
 * Returns: the exit code.
 */
int dff_batch_collect (struct dff_api_client *client, const json_t *jobs, const char *directory);

#endif
