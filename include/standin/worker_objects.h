#ifndef DFF_STANDIN_WORKER_OBJECTS_H
#define DFF_STANDIN_WORKER_OBJECTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "backing/object_store.h"
#include "common/cleanup.h"
#include "common/clock.h"
#include "standin/worker_tasks.h"

/*
 * Results and checkpoints of a stand-in worker in the object store (docs/BACKING.md). An object is
 * never written twice with different bytes. While the store is unavailable, the writing of results
 * and the search for a checkpoint are retried.
 *
 * A result consists of the chunks "JOB:ATTEMPT:MEMBER/N" and the manifest "JOB:ATTEMPT:MEMBER",
 * which is written last. Checkpoint N of an attempt, counted from 1, is
 * "checkpoint/JOB:ATTEMPT:MEMBER/N".
 */

/** Size of a result's chunks, bytes; the last one may be smaller. */
#define DFF_RESULT_CHUNK_BYTES (INT64_C (256) * 1024)

struct dff_worker_objects;

/** Results written and checkpoints loaded are reported to @tasks. */
struct dff_worker_objects *dff_worker_objects_new (const struct dff_object_store *store,
						   const struct dff_clock *clock,
						   struct dff_worker_tasks *tasks);

/** The store must not call back any more. */
void dff_worker_objects_free (struct dff_worker_objects *objects);

DFF_DEFINE_CLEANUP (dff_worker_objects, dff_worker_objects_free);

/** Writes the result of a task, @length bytes long. */
void dff_worker_objects_write_result (struct dff_worker_objects *objects,
				      const struct dff_task_id *task,
				      int64_t length);

/** Loads the last checkpoint of the latest earlier attempt that has one. */
void dff_worker_objects_load (struct dff_worker_objects *objects, const struct dff_task_id *task);

typedef void (*dff_worker_saved_func) (void *user, bool saved);

/** Writes checkpoint @number, counted from 1, without retries. */
void dff_worker_objects_save (struct dff_worker_objects *objects,
			      const struct dff_task_id *task,
			      int32_t number,
			      int64_t done_ms,
			      dff_worker_saved_func done,
			      void *user);

/** Retries the calls that the store has refused. */
void dff_worker_objects_tick (struct dff_worker_objects *objects);

/** Returns: whether a result is being written or a checkpoint loaded. */
bool dff_worker_objects_busy (const struct dff_worker_objects *objects);

#endif
