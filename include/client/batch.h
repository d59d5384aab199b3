#ifndef DFF_CLIENT_BATCH_H
#define DFF_CLIENT_BATCH_H

#include "client/call.h"

/** Counts the lines of JSON lines that are not empty. */
size_t dff_batch_count_lines (struct dff_str lines);

/** How many of a batch's jobs stand where. */
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

/** Reads the answer of GET /v1/batches/ID. Returns: false when it is none. */
bool dff_batch_counts_parse (const json_t *answer, struct dff_batch_counts *counts);

/** Whether every job of the manifest has ended. */
bool dff_batch_counts_ended (const struct dff_batch_counts *counts);

/**
 * dff_batch_wait:
 *
 * Waits until every job has ended, with progress on a terminal.
 *
 * Returns: DFF_EXIT_OK, DFF_EXIT_NOT_COMPLETED when one ended otherwise than completed,
 * DFF_EXIT_PENDING when time was over, or why it could not be asked.
 */
int dff_batch_wait (struct dff_api_client *client, const struct dff_name *batch);

/**
 * dff_batch_collect:
 * @jobs: array of job ids
 * @directory: (nullable): where each whole result goes to ID.result and the outcomes to
 *   outcomes.jsonl; NULL: JSON lines on standard output, results in base64
 *
 * Returns: the exit code.
 */
int dff_batch_collect (struct dff_api_client *client, const json_t *jobs, const char *directory);

#endif
