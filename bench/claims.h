#ifndef DFF_BENCH_CLAIMS_H
#define DFF_BENCH_CLAIMS_H

#include <glib.h>

#include "bench/job_run.h"
#include "pool/pool.h"

/*
 * Judges guarantees from outside the policy. Each guaranteed job that has not ended claims room in
 * one of its team's shapes, the tightest that holds it; from then on its start may take no longer
 * than the limit. Jobs beyond the guarantee claim when room comes free, oldest first.
 */

struct dff_claims;

struct dff_claims *dff_claims_new (const struct dff_pool *pool);

void dff_claims_free (struct dff_claims *claims);

DFF_DEFINE_CLEANUP (dff_claims, dff_claims_free);

/** A guaranteed job was accepted. @job is the index by which it is known from now on. */
void dff_claims_submitted (struct dff_claims *claims,
			   uint32_t job,
			   const struct dff_job_spec *spec,
			   int64_t now_ms);

/** All tasks of the job run. */
void dff_claims_started (struct dff_claims *claims, uint32_t job, int64_t now_ms);

/** The job ended, started or not. */
void dff_claims_ended (struct dff_claims *claims, uint32_t job, int64_t now_ms);

struct dff_claims_verdict {
	int64_t wait_max_ms;
	/** Claims within the guarantee that did not start within the limit. */
	int64_t violations;
};

struct dff_claims_verdict dff_claims_verdict (const struct dff_claims *claims, int64_t now_ms);

#endif
