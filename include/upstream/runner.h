#ifndef DFF_UPSTREAM_RUNNER_H
#define DFF_UPSTREAM_RUNNER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/str.h"
#include "pool/pool.h"
#include "upstream/incarnation.h"

/*
 * Workers that run tasks under one lease each. A task's runs are numbered; a worker does nothing
 * for an epoch lower than the highest that it has seen, keeps ends until they are acknowledged, and
 * kills all it runs when its lease lapses. Deadlines are times on the worker's own clock, so that
 * an order that is carried out seconds late gives no more time than it was meant to.
 *
 * Every call ends in exactly one callback, never before the call returns. A call without an answer
 * may have taken effect, or may do so later.
 */

/** What a worker says of itself. */
struct dff_upstream {
	struct dff_incarnation incarnation;
	/** "IP:PORT". */
	struct dff_name address;
	struct dff_name service;
	/** Data centre that it is in; empty: not said. */
	struct dff_name data_centre;
	struct dff_name rack;
	struct dff_name labels[DFF_WORKER_LABELS_MAX];
	struct dff_resources capacity;
	/** It is about to leave and is to get nothing new. */
	bool leaving;
	/** Least time until a leaving worker goes, ms; -1: not said. */
	int64_t remaining_ms;
};

enum dff_runner_outcome {
	DFF_RUNNER_DONE,
	/** The worker has seen a higher epoch: the sender no longer decides. */
	DFF_RUNNER_STALE_EPOCH,
	/** This run, or a higher one, was stopped or has ended there: it will not start. */
	DFF_RUNNER_OLD_RUN,
	/** The deadline has passed on the worker's clock. */
	DFF_RUNNER_DEADLINE_PASSED,
	/** It does not fit. */
	DFF_RUNNER_NO_CAPACITY,
	/** The worker is unhealthy and did nothing. */
	DFF_RUNNER_UNHEALTHY,
	/** The worker does not understand the call, and did nothing. */
	DFF_RUNNER_INVALID,
	/** Another life of the worker answers: the one meant is gone with all it ran. */
	DFF_RUNNER_OTHER_INCARNATION,
	/** Never left this process. */
	DFF_RUNNER_UNSENT,
	/** Done, not done, or still to be done. */
	DFF_RUNNER_UNKNOWN,
};

/** How a run ended. */
enum dff_run_end {
	DFF_RUN_COMPLETED,
	DFF_RUN_FAILED,
	DFF_RUN_STOPPED,
	/** The worker's lease lapsed. */
	DFF_RUN_LEASE_EXPIRED,
	/** Another member of its gang ended. */
	DFF_RUN_GANG_BROKEN,
	/** The other members of its gang did not come in time. */
	DFF_RUN_GANG_TIMEOUT,
};

struct dff_run_order {
	struct dff_name worker;
	struct dff_name address;
	/** "JOB.OCCURRENCE.STEP.INDEX". */
	struct dff_name task;
	int32_t run;
	int64_t epoch;
	/** Until when the worker's lease is to last, on its clock. */
	int64_t deadline_ms;
	/** What the task is given. */
	struct dff_str payload;
	/** Where to go on from; empty: from the beginning. */
	struct dff_str checkpoint;
	int32_t timeout_ms;
};

struct dff_run_watch {
	struct dff_name worker;
	struct dff_name address;
	int64_t epoch;
	/** Ends up to this number are on record and may be forgotten. */
	int64_t acknowledged;
	/** As in an order; 0: the lease is not renewed. */
	int64_t deadline_ms;
	/** How long the worker may hold its answer back until a run ends, ms. */
	int32_t wait_ms;
	int32_t timeout_ms;
};

struct dff_run_active {
	struct dff_str task;
	int32_t run;
	/** Last checkpoint; empty: none. */
	struct dff_str checkpoint;
	int32_t percent;
};

struct dff_run_ended {
	/** Rises from 1 in each life of the worker. */
	int64_t number;
	struct dff_str task;
	int32_t run;
	enum dff_run_end end;
	struct dff_str checkpoint;
};

/** Valid in the callback only. */
struct dff_runner_result {
	enum dff_runner_outcome outcome;
	/** The worker's clock when it answered; 0: not said. */
	int64_t clock_ms;
	/** When the life that answered started, as in struct dff_incarnation. */
	int64_t started_ms;
	/** Of a watch: everything that runs, and every end that is not acknowledged, in order. */
	const struct dff_run_active *running;
	size_t n_running;
	const struct dff_run_ended *ended;
	size_t n_ended;
};

typedef void (*dff_runner_func) (void *user, const struct dff_runner_result *result);

struct dff_runner {
	void (*start) (void *ctx,
		       const struct dff_run_order *order,
		       dff_runner_func done,
		       void *user);
	/** Stops a run; one that is not there yet is refused from then on. */
	void (*stop) (void *ctx,
		      const struct dff_run_order *order,
		      dff_runner_func done,
		      void *user);
	void (*watch) (void *ctx,
		       const struct dff_run_watch *watch,
		       dff_runner_func done,
		       void *user);
	void *ctx;
};

/** Returns: the end's name for logs. Static. */
const char *dff_run_end_name (enum dff_run_end end);

/** Returns: the outcome's name for logs. Static. */
const char *dff_runner_outcome_name (enum dff_runner_outcome outcome);

#endif
