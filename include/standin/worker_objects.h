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
 * Results and checkpoints of a stand-in worker in the object store, docs/BACKING.md. An object is
 * never written twice with different bytes. While the store is down, writes are tried again.
 *
 * Result: chunks "JOB:ATTEMPT:MEMBER/N", then the manifest "JOB:ATTEMPT:MEMBER". Checkpoint N of an
 * attempt: "checkpoint/JOB:ATTEMPT:MEMBER/N", from 1.
 */

/** Bytes of a result in one chunk. */
#define DFF_RESULT_CHUNK_BYTES (INT64_C (256) * 1024)

struct dff_worker_objects;

/** @tasks is told of results written and checkpoints loaded. */
struct dff_worker_objects *dff_worker_objects_new (const struct dff_object_store *store,
						   const struct dff_clock *clock,
						   struct dff_worker_tasks *tasks);

/** No callback of the store may come any more. */
void dff_worker_objects_free (struct dff_worker_objects *objects);

DFF_DEFINE_CLEANUP (dff_worker_objects, dff_worker_objects_free);

/** Writes the result of a task, @length bytes long. */
void dff_worker_objects_write_result (struct dff_worker_objects *objects,
				      const struct dff_task_id *task,
				      int64_t length);

/** Finds the last checkpoint of an earlier attempt. */
void dff_worker_objects_load (struct dff_worker_objects *objects, const struct dff_task_id *task);

typedef void (*dff_worker_saved_func) (void *user, bool saved);

/** Writes checkpoint @number, from 1; tried once. */
void dff_worker_objects_save (struct dff_worker_objects *objects,
			      const struct dff_task_id *task,
			      int32_t number,
			      int64_t done_ms,
			      dff_worker_saved_func done,
			      void *user);

/** Tries again what the store refused. */
void dff_worker_objects_tick (struct dff_worker_objects *objects);

/** Returns: whether a write or a load is in progress. */
bool dff_worker_objects_busy (const struct dff_worker_objects *objects);

#endif
