#ifndef DFF_BACKING_INSTANCE_WATCH_H
#define DFF_BACKING_INSTANCE_WATCH_H

#include <stdbool.h>
#include <stdint.h>

#include "backing/instance_list.h"
#include "common/cleanup.h"
#include "common/clock.h"
#include "common/metrics.h"

/*
 * Follows the platform's instance list: polls it with jitter, keeps the last good list while it
 * cannot be read, and announces this process where the platform does not know it by itself.
 */

struct dff_instance_watch;

/** The list differs from the last one told. @instances are ordered by id, valid in the call only.
 */
typedef void (*dff_instances_changed_func) (void *ctx,
					    const struct dff_instance *instances,
					    size_t n_instances);

struct dff_instance_watch_options {
	const struct dff_instance_list *list;
	const struct dff_clock *clock;
	struct dff_metrics *metrics;
	/** This process, announced three times within @ttl_ms. */
	struct dff_instance self;
	uint64_t seed;
	/** Mean interval of polls, ms; each varies by a quarter, so that processes spread out. */
	int32_t poll_ms;
	/** How long an announcement lasts, ms. */
	int32_t ttl_ms;
	dff_instances_changed_func changed;
	void *ctx;
};

struct dff_instance_watch *
dff_instance_watch_new (const struct dff_instance_watch_options *options);

/** To be freed after the list's client, or with no poll in progress. */
void dff_instance_watch_free (struct dff_instance_watch *watch);

DFF_DEFINE_CLEANUP (dff_instance_watch, dff_instance_watch_free);

/** Polls and announces when it is time to. */
void dff_instance_watch_tick (struct dff_instance_watch *watch);

/** From now on this process is announced as leaving, at once and from then on. */
void dff_instance_watch_set_leaving (struct dff_instance_watch *watch);

/** Returns: when the list was last read, monotonic ms; 0: never. */
int64_t dff_instance_watch_answered_ms (const struct dff_instance_watch *watch);

#endif
