#ifndef DFF_UPSTREAM_WORKER_CLIENT_H
#define DFF_UPSTREAM_WORKER_CLIENT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/core.h"

/*
 * Calls to workers, as an interface that tests and other platforms can replace. Asynchronous: each
 * call ends in exactly one callback. docs/BACKING.md specifies the worker's side: starts are
 * idempotent by (job, attempt, member); a stop of a task that the worker has not seen leaves a
 * tombstone that refuses a later start; the worker itself stops a task whose lease is not renewed
 * in time; a held task does not run.
 */

enum dff_worker_outcome {
	DFF_WORKER_OK,
	/** The worker refused the call: it had no effect, and the same call may be refused
	   permanently. */
	DFF_WORKER_REFUSED,
	/** Provably not sent: no effect. */
	DFF_WORKER_UNSENT,
	/** No complete answer: the call may have taken effect. */
	DFF_WORKER_UNCERTAIN,
};

enum dff_task_state {
	DFF_TASK_UNKNOWN, /**< The worker has no such task. */
	DFF_TASK_HELD,
	DFF_TASK_RUNNING,
	DFF_TASK_COMPLETED,
	DFF_TASK_FAILED,
	DFF_TASK_STOPPED, /**< Stopped after it had run. */
	DFF_TASK_REFUSED, /**< Tombstone: never ran on this worker and never will. */
};

struct dff_task_id {
	struct dff_name job;
	int32_t attempt;
	int32_t member;
};

/** A worker's report on one task. */
struct dff_task_report {
	/** Length of the result of a completed task, bytes; else 0. */
	int64_t result_length;
	enum dff_task_state state;
	/** Checkpoints taken so far. */
	int32_t checkpoints;
	struct dff_task_id task;
	/** Whether the task was ever released. */
	bool ran;
	/** Object key of the manifest and SHA-256 (hex) of the result of a completed task; else
	 * empty. */
	struct dff_name result_key;
	char result_digest[65];
};

struct dff_task_start {
	struct dff_task_id task;
	int64_t epoch;
	uint64_t accelerators;
	struct dff_resources resources;
	bool held;
	/** Resume from the job's last checkpoint, if there is one. */
	bool resume;
	int32_t lease_ms;
	/** Opaque work description from the caller, JSON. */
	struct dff_str payload;
	/** W3C traceparent; may be empty. */
	struct dff_str traceparent;
};

struct dff_worker_result {
	enum dff_worker_outcome outcome;
	/** The worker reports that it is leaving. */
	bool leaving;
	/** Reports, valid in the callback only. */
	const struct dff_task_report *reports;
	size_t n_reports;
	/** Sequence number of the last change; to be passed to the next renewal. */
	int64_t sequence;
	/** Changes when the worker restarts and loses its tasks, tombstones and sequence. */
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
 * @checkpoint: takes a checkpoint; the result holds a report on the task
 * @throttle: sets the share of its resources a task may use, 0 to 100 percent
 * @stop: stops a task, or leaves a tombstone when the worker has not seen it
 * @query: reports every task of the worker
 * @renew: renews the leases of all tasks of the worker and reports the changes after
 *   @after_sequence; without changes the answer is a few bytes. The leases expire @lease_ms after
 *   the worker's last answer to this process before the call, however late the call arrives: when a
 *   worker has not answered for @lease_ms, its tasks have stopped. The first renewal after a
 *   handover only obtains the worker's clock, so @lease_ms has to span several renewals.
 * @request: sends one short request; @deadline_ms is its time limit, counted from the call
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
