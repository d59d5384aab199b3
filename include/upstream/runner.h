#ifndef DFF_UPSTREAM_RUNNER_H
#define DFF_UPSTREAM_RUNNER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/str.h"
#include "pool/pool.h"
#include "upstream/incarnation.h"

/*
 * Workers that run tasks under one lease each. The runs of a task are numbered. A worker refuses
 * calls with an epoch lower than the highest that it has seen, keeps completions until they are
 * acknowledged, and kills all its tasks when its lease expires. Deadlines are times on the worker's
 * own clock, so that an order that is processed seconds late does not extend the lease.
 *
 * Every call ends in exactly one callback, never before the call returns. A call without an answer
 * may have taken effect, or may still take effect later.
 */

/** Description of a worker, as it reports itself. */
struct dff_upstream {
	struct dff_incarnation incarnation;
	/** "IP:PORT". */
	struct dff_name address;
	struct dff_name service;
	/** Data centre of the worker; empty: not reported. */
	struct dff_name data_centre;
	struct dff_name rack;
	struct dff_name labels[DFF_WORKER_LABELS_MAX];
	struct dff_resources capacity;
	/** The worker is about to leave and must not receive new tasks. */
	bool leaving;
	/** Minimum time until a leaving worker shuts down, ms; -1: not reported. */
	int64_t remaining_ms;
};

enum dff_runner_outcome {
	DFF_RUNNER_DONE,
	/** The worker has seen a higher epoch: the sender is no longer the holder. */
	DFF_RUNNER_STALE_EPOCH,
	/** This run or a later one was stopped or has ended on the worker; it will not start. */
	DFF_RUNNER_OLD_RUN,
	/** The deadline has passed on the worker's clock. */
	DFF_RUNNER_DEADLINE_PASSED,
	/** The worker has not enough free capacity. */
	DFF_RUNNER_NO_CAPACITY,
	/** The worker is unhealthy; the call had no effect. */
	DFF_RUNNER_UNHEALTHY,
	/** The worker does not understand the call; the call had no effect. */
	DFF_RUNNER_INVALID,
	/** Another incarnation answered: the one addressed has ended, with all its tasks. */
	DFF_RUNNER_OTHER_INCARNATION,
	/** The call was not sent. */
	DFF_RUNNER_UNSENT,
	/** No answer: the call may have taken effect, may take effect later, or may be lost. */
	DFF_RUNNER_UNKNOWN,
};

/** How a run ended. */
enum dff_run_end {
	DFF_RUN_COMPLETED,
	DFF_RUN_FAILED,
	DFF_RUN_STOPPED,
	/** The worker's lease expired. */
	DFF_RUN_LEASE_EXPIRED,
	/** Another member of its gang ended. */
	DFF_RUN_GANG_BROKEN,
	/** The other members of its gang did not start in time. */
	DFF_RUN_GANG_TIMEOUT,
};

struct dff_run_order {
	struct dff_name worker;
	struct dff_name address;
	/** "JOB.OCCURRENCE.STEP.INDEX". */
	struct dff_name task;
	int32_t run;
	int64_t epoch;
	/** End of the worker's lease, ms on the worker's clock. */
	int64_t deadline_ms;
	/** Input of the task, opaque. */
	struct dff_str payload;
	/** Checkpoint to resume from; empty: start from the beginning. */
	struct dff_str checkpoint;
	int32_t timeout_ms;
};

struct dff_run_watch {
	struct dff_name worker;
	struct dff_name address;
	int64_t epoch;
	/** Completions up to this sequence number are durable; the worker may discard them. */
	int64_t acknowledged;
	/** End of the worker's lease, ms on the worker's clock; 0: the lease is not renewed. */
	int64_t deadline_ms;
	/** How long the worker may delay its answer until a run ends, ms. */
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
	/** Sequence number; starts at 1 in each incarnation of the worker. */
	int64_t number;
	struct dff_str task;
	int32_t run;
	enum dff_run_end end;
	struct dff_str checkpoint;
};

/** Valid in the callback only. */
struct dff_runner_result {
	enum dff_runner_outcome outcome;
	/** The worker's clock at its answer, ms; 0: not reported. */
	int64_t clock_ms;
	/** Start time of the incarnation that answered, as in struct dff_incarnation. */
	int64_t started_ms;
	/** Of a watch: all running tasks, and the unacknowledged completions in order. */
	const struct dff_run_active *running;
	size_t n_running;
	const struct dff_run_ended *ended;
	size_t n_ended;
	/** Of a watch: whether @ended holds all unacknowledged completions; otherwise it may hold
	 * only the oldest, and a run in neither list may have ended. */
	bool ended_complete;
};

typedef void (*dff_runner_func) (void *user, const struct dff_runner_result *result);

struct dff_runner {
	void (*start) (void *ctx,
		       const struct dff_run_order *order,
		       dff_runner_func done,
		       void *user);
	/** Stops a run. A run that the worker has not received yet is refused when it arrives. */
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
