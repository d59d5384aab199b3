#ifndef DFF_UPSTREAM_WORKER_CLIENT_H
#define DFF_UPSTREAM_WORKER_CLIENT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/core.h"

/*
 * The conversation with workers, behind callbacks so that tests and other platforms can take its
 * place. Asynchronous: each call ends in exactly one callback. docs/BACKING.md states what is
 * expected of a worker: a repeated start of the same (job, attempt, member) is the same start; a
 * stop of a task that was never seen leaves a tombstone that refuses its start from then on; a task
 * whose lease is not renewed in time is stopped by the worker itself; a held task does not run.
 */

enum dff_worker_outcome {
	DFF_WORKER_OK,
	/** The worker answered no: nothing was done, and the same call may be refused for good. */
	DFF_WORKER_REFUSED,
	/** Proven unsent: nothing was done. */
	DFF_WORKER_UNSENT,
	/** No whole answer: done or not. */
	DFF_WORKER_UNCERTAIN,
};

enum dff_task_state {
	DFF_TASK_UNKNOWN, /**< The worker does not know it. */
	DFF_TASK_HELD,
	DFF_TASK_RUNNING,
	DFF_TASK_COMPLETED,
	DFF_TASK_FAILED,
	DFF_TASK_STOPPED, /**< Stopped after it ran. */
	DFF_TASK_REFUSED, /**< Tombstone: it never ran here and never will. */
};

struct dff_task_id {
	struct dff_name job;
	int32_t attempt;
	int32_t member;
};

/** What a worker says about one task. */
struct dff_task_report {
	/** Completed tasks: length of the result, bytes; else 0. */
	int64_t result_length;
	enum dff_task_state state;
	/** Checkpoints taken so far. */
	int32_t checkpoints;
	struct dff_task_id task;
	/** Whether it was ever released. */
	bool ran;
	/** Completed tasks: object key of the result's manifest, and SHA-256 (hex) of the result;
	 * else empty. */
	struct dff_name result_key;
	char result_digest[65];
};

struct dff_task_start {
	struct dff_task_id task;
	int64_t epoch;
	uint64_t accelerators;
	struct dff_resources resources;
	bool held;
	/** The task is resumed from the job's last checkpoint when it has one. */
	bool resume;
	int32_t lease_ms;
	/** Opaque work description from the caller, JSON. */
	struct dff_str payload;
	/** W3C traceparent; may be empty. */
	struct dff_str traceparent;
};

struct dff_worker_result {
	enum dff_worker_outcome outcome;
	/** Worker says that it is leaving. */
	bool leaving;
	/** Reports, valid in the callback only. */
	const struct dff_task_report *reports;
	size_t n_reports;
	/** Sequence of the last report, to be passed to the next renewal. */
	int64_t sequence;
	/** Changes when the worker starts anew: its tasks, tombstones and sequence are gone. */
	int64_t incarnation;
	/** The worker's monotonic clock when it answered, ms; 0: unknown. */
	int64_t clock_ms;
};

typedef void (*dff_worker_func) (void *user, const struct dff_worker_result *result);

/** Answer to a short request. */
struct dff_request_result {
	enum dff_worker_outcome outcome;
	int status;
	struct dff_str body;
	bool leaving;
};

typedef void (*dff_request_func) (void *user, const struct dff_request_result *result);

/**
 * struct dff_worker_client:
 * @start: starts or, when @held, prepares one member
 * @release: lets a held member run
 * @checkpoint: takes a checkpoint; the result's report tells
 * @throttle: sets the share of its resources a task may use, 0 to 100 percent
 * @stop: stops a task, or leaves a tombstone when it was never seen
 * @query: reports every task of the worker
 * @renew: renews the leases of all tasks of the worker and reports what changed after
 *   @after_sequence; with nothing changed the answer is a few bytes. The leases end @lease_ms after
 *   the worker's last answer to this process before the call, however late the call arrives: silent
 *   for @lease_ms, the worker runs nothing that it was known to run. The first renewal after a
 *   hand-over only learns the worker's time, so @lease_ms spans several renewals.
 * @request: one short request; @deadline_ms is the time it may take from now
 * @ctx: passed to each
 *
 * @address is the worker's "IP:PORT" from the instance list.
 */
struct dff_worker_client {
	void (*start) (void *ctx,
		       const struct dff_name *address,
		       const struct dff_task_start *start,
		       dff_worker_func done,
		       void *user);
	void (*release) (void *ctx,
			 const struct dff_name *address,
			 const struct dff_task_id *task,
			 int64_t epoch,
			 dff_worker_func done,
			 void *user);
	void (*checkpoint) (void *ctx,
			    const struct dff_name *address,
			    const struct dff_task_id *task,
			    int64_t epoch,
			    dff_worker_func done,
			    void *user);
	void (*throttle) (void *ctx,
			  const struct dff_name *address,
			  const struct dff_task_id *task,
			  int64_t epoch,
			  int32_t percent,
			  dff_worker_func done,
			  void *user);
	void (*stop) (void *ctx,
		      const struct dff_name *address,
		      const struct dff_task_id *task,
		      int64_t epoch,
		      dff_worker_func done,
		      void *user);
	void (*query) (void *ctx, const struct dff_name *address, dff_worker_func done, void *user);
	void (*renew) (void *ctx,
		       const struct dff_name *address,
		       int32_t lease_ms,
		       int64_t after_sequence,
		       dff_worker_func done,
		       void *user);
	void (*request) (void *ctx,
			 const struct dff_name *address,
			 const struct dff_name *service,
			 const struct dff_name *request_id,
			 struct dff_str body,
			 struct dff_str traceparent,
			 int32_t deadline_ms,
			 dff_request_func done,
			 void *user);
	void *ctx;
};

#endif
