#ifndef DFF_STANDIN_WORKER_PAYLOAD_H
#define DFF_STANDIN_WORKER_PAYLOAD_H

#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"

/* Payloads of the stand-in worker. An absent key is 0, false or empty. */

/** A task: {"run_ms": N, "result_bytes": N, "fail": bool, "tag": NAME}. */
struct dff_task_payload {
	int64_t run_ms;
	int64_t result_bytes;
	/** The task fails after it has run for @run_ms. */
	bool fail;
	/** TAG in the run log; may be empty. */
	struct dff_name tag;
};

/** A short request: {"work_ms": N, "answer_bytes": N, "tag": NAME}. */
struct dff_request_payload {
	int64_t work_ms;
	int64_t answer_bytes;
	/** TAG in the run log; may be empty. */
	struct dff_name tag;
};

/** Parses a task's payload. An invalid payload gives a task that fails immediately. */
void dff_task_payload_parse (struct dff_str text, struct dff_task_payload *payload);

/** Parses a request's payload. Returns: false when it is invalid. */
bool dff_request_payload_parse (struct dff_str text, struct dff_request_payload *payload);

#endif
