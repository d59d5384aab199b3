#ifndef DFF_BENCH_CLAIMS_H
#define DFF_BENCH_CLAIMS_H

#include <glib.h>

#include "bench/job_run.h"
#include "pool/pool.h"

/*
 * Checks guarantees independently of the policy. Each guaranteed job that has not ended claims
 * capacity in one of its team's shapes, the smallest that can hold the job, and must then start
 * within the limit. Jobs beyond the guarantee claim when capacity is released, oldest first.
 */

struct dff_claims;

struct dff_claims *dff_claims_new (const struct dff_pool *pool);

void dff_claims_free (struct dff_claims *claims);

DFF_DEFINE_CLEANUP (dff_claims, dff_claims_free);

/** Adds an accepted guaranteed job. @job is its index in later calls. */
void dff_claims_submitted (struct dff_claims *claims,
			   uint32_t job,
			   const struct dff_job_spec *spec,
			   int64_t now_ms);

/** Reports that all tasks of the job run. */
void dff_claims_started (struct dff_claims *claims, uint32_t job, int64_t now_ms);

/** Reports the end of the job, whether it had started or not. */
void dff_claims_ended (struct dff_claims *claims, uint32_t job, int64_t now_ms);

struct dff_claims_verdict {
	int64_t wait_max_ms;
	/** Claims within the guarantee that did not start within the limit. */
	int64_t violations;
};

struct dff_claims_verdict dff_claims_verdict (const struct dff_claims *claims, int64_t now_ms);

#endif
