#ifndef DFF_ENTRY_REPLY_H
#define DFF_ENTRY_REPLY_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

#include "core/job.h"
#include "entry/call.h"

/* Answers: JSON, problem+json (RFC 9457), and bodies with a digest. Each function ends the call. On
 * a call whose connection is lost, the functions do nothing. */

/** An error answer. Members that are zero are omitted. */
struct dff_problem {
	int status;
	/** Stable code for programs. Static string. */
	const char *code;
	/** Outcome of the job or request; DFF_OUTCOME_NONE: the error concerns neither. */
	enum dff_outcome outcome;
	/** Retry-After, s. */
	int32_t retry_after_s;
	/** Text for people. */
	const char *detail;
	/** (nullable): additional members; borrowed. */
	json_t *extra;
};

/** Sends @body unchanged. */
void
dff_reply_body (struct dff_call *call, int status, const char *content_type, struct dff_str body);

/** Sends a body without copying it; takes a reference. */
void dff_reply_bytes (struct dff_call *call, int status, const char *content_type, GBytes *bytes);

/** Sends @json and takes its reference. */
void dff_reply_json (struct dff_call *call, int status, json_t *json);

/** Builds the body of an error answer. */
GString *dff_problem_body (const struct dff_problem *problem);

/** Sends an error answer. */
void dff_reply_problem (struct dff_call *call, const struct dff_problem *problem);

/** Sends an error answer with a fixed text that concerns no job or request. */
void dff_reply_error (struct dff_call *call, int status, const char *code, const char *detail);

/**
 * dff_refusal_outcome:
 *
 * Outcome to report for work that is refused without reading its record.
 *
 * Returns: DFF_OUTCOME_NOT_RUN, or DFF_OUTCOME_UNKNOWN where an earlier call with the same
 * Idempotency-Key may have submitted the work, unless the caller states that this is the first call
 * ("Attempt: 1").
 */
enum dff_outcome dff_refusal_outcome (const struct dff_call *call);

/** Refuses a job or request because of its content, before anything was recorded or sent. The same
 * content can never have been accepted, so its outcome is not_run. */
void dff_reply_refused (struct dff_call *call, int status, const char *code, const char *detail);

/** Answers that the store cannot be read, with a Retry-After. */
void dff_reply_store_unavailable (struct dff_call *call);

/** Returns: "sha-256=BASE64" of @body, for the Digest header. */
char *dff_digest_header (struct dff_str body);

#endif
