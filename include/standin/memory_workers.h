#ifndef DFF_STANDIN_MEMORY_WORKERS_H
#define DFF_STANDIN_MEMORY_WORKERS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/cleanup.h"
#include "standin/worker.h"
#include "upstream/worker_client.h"

/* Stand-in workers in memory behind struct dff_worker_client, under a clock, with scripted faults.
 * As over HTTP, no callback runs before its call returns: answers come in the tick. */

struct dff_memory_workers;

/**
 * struct dff_memory_worker_faults:
 * What happens to the calls to one worker, from the next one on. All zero: each takes effect and is
 * answered in the next tick.
 * @delay_ms: calls take effect, and are answered, this much later
 * @unreachable: calls are answered UNSENT
 * @silent: calls take no effect and end UNCERTAIN when they time out, also those on their way
 * @lose_calls: the next so many calls take no effect and end UNCERTAIN
 * @lose_answers: the next so many calls take effect and end UNCERTAIN
 * @late_calls: the next so many calls end UNCERTAIN and take effect @late_ms after they were made
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

/** Returns: (transfer full): without workers. @timeout_ms: of a call that is no short request. */
struct dff_memory_workers *dff_memory_workers_new (const struct dff_clock *clock,
						   int32_t timeout_ms);

/** Drops calls in progress without calling back. */
void dff_memory_workers_free (struct dff_memory_workers *workers);

DFF_DEFINE_CLEANUP (dff_memory_workers, dff_memory_workers_free);

/** Adds a worker. @options: its clock and incarnation are set here. */
void dff_memory_workers_add (struct dff_memory_workers *workers,
			     const struct dff_name *address,
			     const struct dff_standin_worker_options *options);

/** The worker's process dies and starts anew: it has forgotten everything. */
void dff_memory_workers_restart (struct dff_memory_workers *workers,
				 const struct dff_name *address);

/** Returns: the faults of a worker that was added, to be changed at any time. */
struct dff_memory_worker_faults *dff_memory_workers_faults (struct dff_memory_workers *workers,
							    const struct dff_name *address);

/** Returns: the tasks of a worker that was added; valid until it is restarted. */
struct dff_worker_tasks *dff_memory_workers_tasks (struct dff_memory_workers *workers,
						   const struct dff_name *address);

/** Returns: the interface. An address that was not added is unreachable. */
const struct dff_worker_client *dff_memory_workers_interface (struct dff_memory_workers *workers);

/** Lets time pass at every worker and answers what is due. */
void dff_memory_workers_tick (struct dff_memory_workers *workers);

#endif
