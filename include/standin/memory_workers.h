#ifndef DFF_STANDIN_MEMORY_WORKERS_H
#define DFF_STANDIN_MEMORY_WORKERS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/cleanup.h"
#include "standin/worker.h"
#include "upstream/worker_client.h"

/* In-memory stand-in workers behind struct dff_worker_client, with scripted faults. As over HTTP,
 * no callback runs before its call returns: calls are answered in the tick. */

struct dff_memory_workers;

/**
 * struct dff_memory_worker_faults:
 * Faults injected into the calls to one worker, from the next call on. All zero: each call takes
 * effect and is answered in the next tick.
 * @delay_ms: delay after which calls take effect and are answered
 * @unreachable: calls end UNSENT
 * @silent: calls, also those in transit, take no effect and end UNCERTAIN when they time out
 * @lose_calls: number of next calls that take no effect and end UNCERTAIN
 * @lose_answers: number of next calls that take effect and end UNCERTAIN
 * @late_calls: number of next calls that end UNCERTAIN and take effect after @late_ms
 */
struct dff_memory_worker_faults {
	int32_t delay_ms;
	bool unreachable;
	bool silent;
	int32_t lose_calls;
	int32_t lose_answers;
	int32_t late_calls;
	int32_t late_ms;
};

/** Returns: (transfer full): a set without workers. @timeout_ms: of calls about tasks. */
struct dff_memory_workers *dff_memory_workers_new (const struct dff_clock *clock,
						   int32_t timeout_ms);

/** Drops the calls in progress without calling back. */
void dff_memory_workers_free (struct dff_memory_workers *workers);

DFF_DEFINE_CLEANUP (dff_memory_workers, dff_memory_workers_free);

/** Adds a worker. The clock and the incarnation in @options are ignored and set here. */
void dff_memory_workers_add (struct dff_memory_workers *workers,
			     const struct dff_name *address,
			     const struct dff_standin_worker_options *options);

/** Restarts a worker with a new incarnation and without tasks. */
void dff_memory_workers_restart (struct dff_memory_workers *workers,
				 const struct dff_name *address);

/** Returns: the faults of a worker that was added. They may be changed at any time. */
struct dff_memory_worker_faults *dff_memory_workers_faults (struct dff_memory_workers *workers,
							    const struct dff_name *address);

/** Returns: the tasks of a worker that was added; valid until it is restarted. */
struct dff_worker_tasks *dff_memory_workers_tasks (struct dff_memory_workers *workers,
						   const struct dff_name *address);

/** Returns: the interface. An address that was not added is unreachable. */
const struct dff_worker_client *dff_memory_workers_interface (struct dff_memory_workers *workers);

/** Ticks every worker and delivers the answers that are due. */
void dff_memory_workers_tick (struct dff_memory_workers *workers);

#endif
