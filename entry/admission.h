#ifndef DFF_ENTRY_ADMISSION_H
#define DFF_ENTRY_ADMISSION_H

#include "cell/job_row.h"
#include "entry/call.h"
#include "entry/job_json.h"

/* Checks that a submission has to pass before anything is recorded. */

/** Returns: whether @team may use @service. */
bool dff_admission_may_use (const struct dff_service *service, const struct dff_name *team);

/** Checks @row against the current pool. @rejection: (out): why the job is refused. Returns:
 * whether the job is admitted. */
bool dff_admission_check (struct dff_entry *entry,
			  const struct dff_job_row *row,
			  struct dff_job_rejection *rejection);

/** Returns: whether the team may queue @n more jobs. If not, the call is answered with 429, or with
 * 422 when @n is above the limit by itself. */
bool dff_admission_check_queue (struct dff_call *call, int32_t n);

/** Answers a call whose submission was rejected, and clears @rejection. */
void dff_reply_job_rejection (struct dff_call *call, struct dff_job_rejection *rejection);

enum dff_key_state {
	DFF_KEY_NONE,
	DFF_KEY_VALID,
	DFF_KEY_INVALID,
};

/**
 * dff_idempotency_hash:
 * @scope: separates the keys of different kinds of work; "" for jobs and batches
 * @hash: (out): 32 hex digits of the SHA-256 of scope, team and key
 *
 * Reads the Idempotency-Key header.
 */
enum dff_key_state
dff_idempotency_hash (const struct dff_call *call, const char *scope, struct dff_name *hash);

#endif
