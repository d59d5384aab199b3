#ifndef DFF_STANDIN_WORKER_PAYLOAD_H
#define DFF_STANDIN_WORKER_PAYLOAD_H

#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"

/* What the stand-in worker does with a payload. Keys that are absent are 0 or false. */

/** A task: {"run_ms": N, "result_bytes": N, "fail": bool, "tag": NAME}. */
struct dff_task_payload {
	int64_t run_ms;
	int64_t result_bytes;
	/** Fails once it has run for @run_ms. */
	bool fail;
	/** What the run log calls it; may be empty. */
	struct dff_name tag;
};

/** A short request: {"work_ms": N, "answer_bytes": N, "tag": NAME}. */
struct dff_request_payload {
	int64_t work_ms;
	int64_t answer_bytes;
	/** What the run log calls it; may be empty. */
	struct dff_name tag;
};

/** Reads a task's payload; one that cannot be read fails at once. */
void dff_task_payload_parse (struct dff_str text, struct dff_task_payload *payload);

/** Reads a request's payload. Returns: false when it cannot be read. */
bool dff_request_payload_parse (struct dff_str text, struct dff_request_payload *payload);

#endif
