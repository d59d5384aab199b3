#ifndef DFF_BENCH_FLEET_LOAD_H
#define DFF_BENCH_FLEET_LOAD_H

#include "bench/fleet/fleet.h"

/*
 * Callers at a steady rate. Each has one piece of work, goes to a process that the balancer calls
 * ready, and comes back elsewhere when the work was not sent, or was lost and may be repeated (it
 * is idempotent, or carries its Idempotency-Key), or when it was told when to come back.
 */

enum fleet_kind {
	FLEET_IDEMPOTENT,
	/** A short request that must run at most once. */
	FLEET_ONCE,
	FLEET_JOB,
	/** A job that must run at most once. */
	FLEET_JOB_ONCE,
};

/** What a caller knows in the end. */
enum fleet_verdict {
	FLEET_OPEN,
	/** It has its whole answer. */
	FLEET_ANSWERED,
	/** Its job is accepted. */
	FLEET_ACCEPTED,
	FLEET_NOT_RUN,
	FLEET_UNKNOWN,
	/** No answer within its patience, or a wrong one. */
	FLEET_FAILED,
};

struct fleet_caller {
	struct fleet_load *load;
	enum fleet_kind kind;
	/** "PHASE-NUMBER", its key, and what the run log calls it. */
	struct dff_name tag;
	/** Process that it speaks to. */
	int process;
	int32_t n_tries;
	int64_t begun_ms;
	int64_t ended_ms;
	/** When it goes on; 0: it waits for an answer. */
	int64_t next_ms;
	enum fleet_verdict verdict;
	/** Once accepted. */
	struct dff_name job;
	/** Outcome of its job, once that has ended. */
	struct dff_name job_outcome;
};

/** Calls a second of each kind. */
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
	/** Callers do not come back any more. */
	bool retries_stopped;
	int64_t sent[4];
	int64_t in_progress;
	int64_t n_retries;
	/** Elements: struct fleet_caller *. */
	GPtrArray *callers;
};

/** Begins a load; the fleet's loop drives it. */
void fleet_load_begin (struct fleet *fleet,
		       const char *phase,
		       const struct fleet_rates *rates,
		       int64_t request_timeout_ms);

/** Starts no more callers and waits until all know what became of their work. */
void fleet_load_end (struct fleet *fleet);

/** Frees the load. */
void fleet_load_free (struct fleet *fleet);

/** Called by the loop. */
void fleet_load_tick (struct fleet_load *load);

/** Returns: callers of @kind with @verdict. */
int64_t
fleet_load_count (const struct fleet_load *load, enum fleet_kind kind, enum fleet_verdict verdict);

/** Returns: the longest time until an answer, ms. */
double fleet_load_slowest (const struct fleet_load *load);

/** Waits until every accepted job has ended. Returns: how many have not. */
int64_t fleet_load_follow_jobs (struct fleet *fleet, int64_t timeout_ms);

#endif
