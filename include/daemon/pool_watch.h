#ifndef DFF_DAEMON_POOL_WATCH_H
#define DFF_DAEMON_POOL_WATCH_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "backing/table.h"
#include "common/cleanup.h"
#include "common/clock.h"
#include "common/metrics.h"
#include "pool/pool.h"

/*
 * Keeps the newest accepted pool file in force in this process. Pool files are received from the
 * table (polled), from peers (pushed) and from an operator's request committed here, in any order.
 * An older generation never replaces a newer one.
 */

struct dff_pool_watch;

/** Called when a newer pool is in force. @pool and @text stay valid until the next call. */
typedef void (*dff_pool_in_force_func) (void *ctx,
					const struct dff_pool *pool,
					struct dff_str text);

struct dff_pool_watch_options {
	const struct dff_table *table;
	const struct dff_clock *clock;
	struct dff_metrics *metrics;
	int32_t poll_ms;
	dff_pool_in_force_func in_force;
	void *ctx;
};

/** Returns: (transfer full): a watch without a pool; @options is copied. */
struct dff_pool_watch *dff_pool_watch_new (const struct dff_pool_watch_options *options);

void dff_pool_watch_free (struct dff_pool_watch *watch);

DFF_DEFINE_CLEANUP (dff_pool_watch, dff_pool_watch_free);

/** Polls the table when a poll is due. */
void dff_pool_watch_tick (struct dff_pool_watch *watch);

/**
 * dff_pool_watch_offer:
 * @revision: revision of the row that holds the file, which is then not read again; 0: not known
 *
 * Handles a pool file from a peer or an operator.
 *
 * Returns: whether the file is now in force.
 */
bool dff_pool_watch_offer (struct dff_pool_watch *watch,
			   int64_t generation,
			   int64_t revision,
			   struct dff_str text);

/** Returns: the generation of the pool in force; 0: none. */
int64_t dff_pool_watch_generation (const struct dff_pool_watch *watch);

/** Returns: the time of the table's last answer to a poll, monotonic ms; 0: none yet. */
int64_t dff_pool_watch_last_answer_ms (const struct dff_pool_watch *watch);

#endif
