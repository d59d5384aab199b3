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
 * Keeps the newest accepted pool file in force in this process. It hears of one from the table
 * (polled), from peers (pushed) and from an operator's request committed here, in any order, and
 * never goes back to an older generation.
 */

struct dff_pool_watch;

/** A newer pool is in force. @pool and @text stay valid until the next call. */
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

/** Returns: (transfer full): a follower without a pool. */
struct dff_pool_watch *dff_pool_watch_new (const struct dff_pool_watch_options *options);

void dff_pool_watch_free (struct dff_pool_watch *watch);

DFF_DEFINE_CLEANUP (dff_pool_watch, dff_pool_watch_free);

/** Polls the table when it is time to. */
void dff_pool_watch_tick (struct dff_pool_watch *watch);

/**
 * dff_pool_watch_offer:
 * @revision: of the table's row that holds the file, which is then not read again; 0: not known
 *
 * Takes a file in from a peer or an operator.
 *
 * Returns: whether it is now in force.
 */
bool dff_pool_watch_offer (struct dff_pool_watch *watch,
			   int64_t generation,
			   int64_t revision,
			   struct dff_str text);

/** Returns: the generation in force, 0: none. */
int64_t dff_pool_watch_generation (const struct dff_pool_watch *watch);

/** Returns: when the table last answered a poll, monotonic ms; 0: never. */
int64_t dff_pool_watch_last_answer_ms (const struct dff_pool_watch *watch);

#endif
