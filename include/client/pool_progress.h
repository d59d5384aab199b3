#ifndef DFF_CLIENT_POOL_PROGRESS_H
#define DFF_CLIENT_POOL_PROGRESS_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/cleanup.h"

/* Tracks which live processes have a pool generation in force. It merges the answers of several
 * processes, as a process that has just started may not have discovered all others yet. */

struct dff_pool_progress;

struct dff_pool_progress *dff_pool_progress_new (int64_t generation);

void dff_pool_progress_free (struct dff_pool_progress *progress);

DFF_DEFINE_CLEANUP (dff_pool_progress, dff_pool_progress_free);

/** Adds the answer of a process to GET /v1/status. */
void dff_pool_progress_add_status (struct dff_pool_progress *progress, const json_t *status);

/** Adds a live process that refused to answer, as it does not have the pool with the token yet. */
void dff_pool_progress_add_refusal (struct dff_pool_progress *progress);

/** Returns: number of known live processes; 0: none has answered. */
guint dff_pool_progress_n_live (const struct dff_pool_progress *progress);

/** Returns: number of live processes that do not have the generation yet. */
guint dff_pool_progress_n_behind (const struct dff_pool_progress *progress);

#endif
