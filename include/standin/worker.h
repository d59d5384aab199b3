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

/* A stand-in worker without its sockets: tasks, their objects and short requests. */

struct dff_standin_worker;

struct dff_standin_worker_options {
	const struct dff_clock *clock;
	const struct dff_object_store *store;
	struct dff_resources capacity;
	bool check_epochs;
	int64_t incarnation;
	/** (nullable): told of everything that begins to run. */
	struct dff_run_log *run_log;
};

struct dff_standin_worker *
dff_standin_worker_new (const struct dff_standin_worker_options *options);

/** Calls in progress are dropped. No callback of the store may come any more. */
void dff_standin_worker_free (struct dff_standin_worker *worker);

DFF_DEFINE_CLEANUP (dff_standin_worker, dff_standin_worker_free);

/** Returns: its tasks, valid as long as @worker. */
struct dff_worker_tasks *dff_standin_worker_tasks (struct dff_standin_worker *worker);

/** Has @changed called when the next tick has something to do that was not known before. */
void dff_standin_worker_on_change (struct dff_standin_worker *worker,
				   void (*changed) (void *ctx),
				   void *ctx);

/** Leaves: says so to whoever waits for a report, refuses what is new, ends what runs. */
void dff_standin_worker_leave (struct dff_standin_worker *worker);

/** Does what is due by its clock. */
void dff_standin_worker_tick (struct dff_standin_worker *worker);

/** Returns: monotonic ms of the next tick with something to do; INT64_MAX: none. */
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

/** A call about tasks; the member that its type names counts. */
struct dff_worker_call {
	enum dff_worker_call_type type;
	struct dff_task_start start;
	struct dff_worker_command command;
	struct dff_worker_renewal renewal;
};

/** Carries out a call. @done may come before it returns. */
void dff_standin_worker_call (struct dff_standin_worker *worker,
			      const struct dff_worker_call *call,
			      dff_worker_func done,
			      void *user);

/** Runs a short request under a payload (worker_payload.h). @done may come before it returns. */
void dff_standin_worker_request (struct dff_standin_worker *worker,
				 const struct dff_name *request_id,
				 struct dff_str payload,
				 dff_request_func done,
				 void *user);

/** Returns: whether a task or request is in progress. */
bool dff_standin_worker_is_busy (const struct dff_standin_worker *worker);

#endif
