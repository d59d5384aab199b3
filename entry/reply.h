#ifndef DFF_ENTRY_REPLY_H
#define DFF_ENTRY_REPLY_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

#include "core/job.h"
#include "entry/call.h"

/* Answers: JSON, problem+json (RFC 9457), and bodies with a digest. Each one ends the call; on a
 * call whose connection is gone they do nothing. */

/** An error answer. Zero members are left out. */
struct dff_problem {
	int status;
	/** Stable code for programs. Static. */
	const char *code;
	/** What became of the job or request; DFF_OUTCOME_NONE: it does not concern one. */
	enum dff_outcome outcome;
	/** When to come back, s. */
	int32_t retry_after_s;
	/** For people. */
	const char *detail;
	/** (nullable): further members; borrowed. */
	json_t *extra;
};

/** Sends a body as it is. */
void
dff_reply_body (struct dff_call *call, int status, const char *content_type, struct dff_str body);

/** Sends a body without copying it; takes its own reference. */
void dff_reply_bytes (struct dff_call *call, int status, const char *content_type, GBytes *bytes);

/** Sends @json, whose reference is taken over. */
void dff_reply_json (struct dff_call *call, int status, json_t *json);

/** Builds the body of an error answer. */
GString *dff_problem_body (const struct dff_problem *problem);

/** Sends an error answer. */
void dff_reply_problem (struct dff_call *call, const struct dff_problem *problem);

/** Sends an error answer of a fixed text that concerns no job or request. */
void dff_reply_error (struct dff_call *call, int status, const char *code, const char *detail);

/**
 * dff_refusal_outcome:
 *
 * What may be said of work that is refused without a look at the record.
 *
 * Returns: DFF_OUTCOME_NOT_RUN, or DFF_OUTCOME_UNKNOWN where an earlier call with the same
 * Idempotency-Key may have submitted it, unless the caller says that there was none ("Attempt: 1").
 */
enum dff_outcome dff_refusal_outcome (const struct dff_call *call);

/** Refuses a job or request for what it says, before anything of it was recorded or sent: the same
 * content can never have been accepted, so its outcome is not_run. */
void dff_reply_refused (struct dff_call *call, int status, const char *code, const char *detail);

/** Says that the store cannot be reached for a read, and when to come back. */
void dff_reply_store_unavailable (struct dff_call *call);

/** Returns: "sha-256=BASE64" of @body, for the Digest header. */
char *dff_digest_header (struct dff_str body);

#endif
