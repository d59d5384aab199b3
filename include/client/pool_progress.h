#ifndef DFF_CLIENT_POOL_PROGRESS_H
#define DFF_CLIENT_POOL_PROGRESS_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/cleanup.h"

/* Which live processes have a pool generation in force, put together from the answers of several:
 * a process that started a moment ago may not know the others yet. */

struct dff_pool_progress;

struct dff_pool_progress *dff_pool_progress_new (int64_t generation);

void dff_pool_progress_free (struct dff_pool_progress *progress);

DFF_DEFINE_CLEANUP (dff_pool_progress, dff_pool_progress_free);

/** Takes in what a process answered to GET /v1/status. */
void dff_pool_progress_add_status (struct dff_pool_progress *progress, const json_t *status);

/** A live process would not tell its status, for want of the pool that holds the token. */
void dff_pool_progress_add_refusal (struct dff_pool_progress *progress);

/** Returns: number of live processes; 0: none has answered. */
guint dff_pool_progress_n_live (const struct dff_pool_progress *progress);

/** Returns: number of live processes that do not have the generation. */
guint dff_pool_progress_n_behind (const struct dff_pool_progress *progress);

#endif
