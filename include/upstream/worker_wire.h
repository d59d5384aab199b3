#ifndef DFF_UPSTREAM_WORKER_WIRE_H
#define DFF_UPSTREAM_WORKER_WIRE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/cleanup.h"
#include "upstream/worker_client.h"

/* JSON bodies of the calls to workers and of their answers, as docs/BACKING.md specifies them. */

#define DFF_WORKER_PATH_START "/v1/tasks/start"
#define DFF_WORKER_PATH_RELEASE "/v1/tasks/release"
#define DFF_WORKER_PATH_CHECKPOINT "/v1/tasks/checkpoint"
#define DFF_WORKER_PATH_THROTTLE "/v1/tasks/throttle"
#define DFF_WORKER_PATH_STOP "/v1/tasks/stop"
#define DFF_WORKER_PATH_QUERY "/v1/tasks"
#define DFF_WORKER_PATH_RENEW "/v1/renew"
#define DFF_WORKER_PATH_SERVICES "/v1/services/"

/** Header of an answer to a short request: the worker is leaving. */
#define DFF_WORKER_HEADER_LEAVING "Worker-Leaving"

/** A command for one task, which the worker may not have. */
struct dff_worker_command {
	struct dff_task_id task;
	int64_t epoch;
	/** Throttle only. */
	int32_t percent;
};

struct dff_worker_renewal {
	int32_t lease_ms;
	int64_t after_sequence;
	/** Worker's clock in its last answer, ms; leases count from it; 0: not known. */
	int64_t from_ms;
	/** How long the worker may delay its answer while it has no change to report, ms. */
	int32_t wait_ms;
};

/** Returns: a state's name on the wire. */
const char *dff_task_state_name (enum dff_task_state state);

/** Appends a start. A payload that is not valid JSON gives an empty body, which every worker
 * refuses. */
void dff_worker_wire_append_start (GString *out, const struct dff_task_start *start);

/**
 * dff_worker_wire_parse_start:
 * @payload: receives the payload, which @start borrows
 *
 * The traceparent travels in a header and is left empty. Returns: false when malformed.
 */
bool
dff_worker_wire_parse_start (struct dff_str body, struct dff_task_start *start, GString *payload);

/** Appends the body of a command to a task. */
void dff_worker_wire_append_command (GString *out, const struct dff_worker_command *command);

/** Returns: false when malformed. */
bool dff_worker_wire_parse_command (struct dff_str body, struct dff_worker_command *command);

/** Appends the body of a renewal. */
void dff_worker_wire_append_renewal (GString *out, const struct dff_worker_renewal *renewal);

/** Returns: false when malformed. */
bool dff_worker_wire_parse_renewal (struct dff_str body, struct dff_worker_renewal *renewal);

/** Appends an answer; its outcome travels as the HTTP status. */
void dff_worker_wire_append_answer (GString *out, const struct dff_worker_result *result);

/**
 * dff_worker_wire_parse_answer:
 * @reports: elements: struct dff_task_report; emptied, then filled; @result borrows them
 *
 * Does not set the outcome. Returns: false when malformed; @result then has no reports.
 */
bool dff_worker_wire_parse_answer (struct dff_str body,
				   struct dff_worker_result *result,
				   GArray *reports);

#endif
