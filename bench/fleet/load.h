#ifndef DFF_BENCH_FLEET_LOAD_H
#define DFF_BENCH_FLEET_LOAD_H

#include "bench/fleet/fleet.h"

/*
 * Callers that arrive at a constant rate. Each sends one request or job to a process that the
 * balancer routes to. It retries at another process when the call was not sent, when the call was
 * lost and may be repeated (idempotent, or with an Idempotency-Key), or after a Retry-After.
 */

enum fleet_kind {
	FLEET_IDEMPOTENT,
	/** A short request that must run at most once. */
	FLEET_ONCE,
	FLEET_JOB,
	/** A job that must run at most once. */
	FLEET_JOB_ONCE,
};

/** The result that a caller ends with. */
enum fleet_verdict {
	FLEET_OPEN,
	/** The complete answer arrived. */
	FLEET_ANSWERED,
	/** The job was accepted. */
	FLEET_ACCEPTED,
	FLEET_NOT_RUN,
	FLEET_UNKNOWN,
	/** No answer within the request timeout, or a wrong answer. */
	FLEET_FAILED,
};

struct fleet_caller {
	struct fleet_load *load;
	enum fleet_kind kind;
	/** "PHASE-SEED-NUMBER": the idempotency key, and the tag in the run log. */
	struct dff_name tag;
	/** Index of the process that the last call was sent to. */
	int process;
	int32_t n_tries;
	int64_t begun_ms;
	int64_t ended_ms;
	/** Time of the next retry; 0: an answer is pending. */
	int64_t next_ms;
	enum fleet_verdict verdict;
	/** Id of the job, once accepted. */
	struct dff_name job;
	/** Outcome of the job, once ended. */
	struct dff_name job_outcome;
};

/** Callers per second of each kind. */
struct fleet_rates {
	double idempotent;
	double once;
	double jobs;
	double jobs_once;
};

struct fleet_load {
	struct fleet *fleet;
	const char *phase;
	struct fleet_rates rates;
	int64_t request_timeout_ms;
	int64_t begun_ms;
	bool stopped;
	/** Callers no longer retry. */
	bool retries_stopped;
	int64_t sent[4];
	int64_t in_progress;
	int64_t n_retries;
	/** Elements: struct fleet_caller *. */
	GPtrArray *callers;
};

/** Starts a load, driven by the fleet's loop. */
void fleet_load_begin (struct fleet *fleet,
		       const char *phase,
		       const struct fleet_rates *rates,
		       int64_t request_timeout_ms);

/** Starts no more callers and waits until each has a verdict. */
void fleet_load_end (struct fleet *fleet);

/** Frees the load. */
void fleet_load_free (struct fleet *fleet);

/** Called by the loop. */
void fleet_load_tick (struct fleet_load *load);

/** Returns: the number of callers of @kind with @verdict. */
int64_t
fleet_load_count (const struct fleet_load *load, enum fleet_kind kind, enum fleet_verdict verdict);

/** Returns: the longest time until an answer, ms. */
double fleet_load_slowest (const struct fleet_load *load);

/** Waits until every accepted job has ended. Returns: the number that have not ended. */
int64_t fleet_load_follow_jobs (struct fleet *fleet, int64_t timeout_ms);

#endif
