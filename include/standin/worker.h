#ifndef DFF_STANDIN_WORKER_H
#define DFF_STANDIN_WORKER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "backing/object_store.h"
#include "common/cleanup.h"
#include "common/clock.h"
#include "standin/run_log.h"
#include "standin/worker_tasks.h"
#include "upstream/worker_wire.h"

/* A stand-in worker without the HTTP server: tasks, their objects and short requests. */

struct dff_standin_worker;

struct dff_standin_worker_options {
	const struct dff_clock *clock;
	const struct dff_object_store *store;
	struct dff_resources capacity;
	bool check_epochs;
	int64_t incarnation;
	/** (nullable): logs the start of every task and short request. */
	struct dff_run_log *run_log;
};

struct dff_standin_worker *
dff_standin_worker_new (const struct dff_standin_worker_options *options);

/** Drops the calls in progress. The store must not call back any more. */
void dff_standin_worker_free (struct dff_standin_worker *worker);

DFF_DEFINE_CLEANUP (dff_standin_worker, dff_standin_worker_free);

/** Returns: (transfer none): the worker's tasks, valid as long as @worker. */
struct dff_worker_tasks *dff_standin_worker_tasks (struct dff_standin_worker *worker);

/** Calls @changed when the next tick can answer a waiting renewal; NULL: no call. */
void dff_standin_worker_on_change (struct dff_standin_worker *worker,
				   void (*changed) (void *ctx),
				   void *ctx);

/** Starts to drain: answers waiting renewals and refuses new work; what runs goes on. */
void dff_standin_worker_leave (struct dff_standin_worker *worker);

/** Handles everything that is due by the worker's clock. */
void dff_standin_worker_tick (struct dff_standin_worker *worker);

/** Returns: monotonic time at which the next tick is due, ms; INT64_MAX: none. */
int64_t dff_standin_worker_next_due_ms (const struct dff_standin_worker *worker);

enum dff_worker_call_type {
	DFF_WORKER_CALL_START,
	DFF_WORKER_CALL_RELEASE,
	DFF_WORKER_CALL_CHECKPOINT,
	DFF_WORKER_CALL_THROTTLE,
	DFF_WORKER_CALL_STOP,
	DFF_WORKER_CALL_QUERY,
	DFF_WORKER_CALL_RENEW,
};

/** A call about tasks. @type selects the member that holds its arguments. */
struct dff_worker_call {
	enum dff_worker_call_type type;
	struct dff_task_start start;
	struct dff_worker_command command;
	struct dff_worker_renewal renewal;
};

/** Executes a call. @done may be called before this returns. */
void dff_standin_worker_call (struct dff_standin_worker *worker,
			      const struct dff_worker_call *call,
			      dff_worker_func done,
			      void *user);

/** Runs a short request; payload: worker_payload.h. @done may be called before it returns. */
void dff_standin_worker_request (struct dff_standin_worker *worker,
				 const struct dff_name *request_id,
				 struct dff_str payload,
				 dff_request_func done,
				 void *user);

/** Returns: whether a task or request is in progress. */
bool dff_standin_worker_is_busy (const struct dff_standin_worker *worker);

#endif
