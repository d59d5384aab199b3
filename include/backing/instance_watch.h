#ifndef DFF_BACKING_INSTANCE_WATCH_H
#define DFF_BACKING_INSTANCE_WATCH_H

#include <stdbool.h>
#include <stdint.h>

#include "backing/instance_list.h"
#include "common/cleanup.h"
#include "common/clock.h"
#include "common/metrics.h"

/*
 * Polls the platform's instance list with jitter, keeps the last list while polls fail, and
 * announces this process on platforms that do not discover their instances.
 */

struct dff_instance_watch;

/** Called when the list has changed. @instances are ordered by id and valid in the call only. */
typedef void (*dff_instances_changed_func) (void *ctx,
					    const struct dff_instance *instances,
					    size_t n_instances);

struct dff_instance_watch_options {
	const struct dff_instance_list *list;
	const struct dff_clock *clock;
	struct dff_metrics *metrics;
	/** This process; announced three times per @ttl_ms. */
	struct dff_instance self;
	uint64_t seed;
	/** Mean poll interval, ms; varies by up to a quarter, to spread polls of processes. */
	int32_t poll_ms;
	/** Time after which an announcement expires, ms. */
	int32_t ttl_ms;
	dff_instances_changed_func changed;
	void *ctx;
};

struct dff_instance_watch *
dff_instance_watch_new (const struct dff_instance_watch_options *options);

/** To be called after the list's client is freed, or while no poll is pending. */
void dff_instance_watch_free (struct dff_instance_watch *watch);

DFF_DEFINE_CLEANUP (dff_instance_watch, dff_instance_watch_free);

/** Polls and announces when due. */
void dff_instance_watch_tick (struct dff_instance_watch *watch);

/** Announces this process as leaving, at once and in every later announcement. */
void dff_instance_watch_set_leaving (struct dff_instance_watch *watch);

/** Returns: time of the last successful poll, monotonic ms; 0: none. */
int64_t dff_instance_watch_answered_ms (const struct dff_instance_watch *watch);

#endif
