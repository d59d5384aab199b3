#ifndef DFF_BACKING_MEMORY_INSTANCES_H
#define DFF_BACKING_MEMORY_INSTANCES_H

#include <glib.h>

#include "backing/instance_list.h"

/* The in-memory instance list: changes become visible after a lag, instances expire. */

struct dff_memory_instances {
	int32_t lag_ms;
	/** struct change, by time at which they become visible. */
	GQueue changes;
	/** struct entry, by id. */
	GPtrArray *visible;
};

void dff_memory_instances_init (struct dff_memory_instances *instances, int32_t lag_ms);

void dff_memory_instances_clear (struct dff_memory_instances *instances);

/** @ttl_ms: 0: no expiry. */
void dff_memory_instances_announce (struct dff_memory_instances *instances,
				    const struct dff_instance *instance,
				    int32_t ttl_ms,
				    int64_t now_ms);

void dff_memory_instances_remove (struct dff_memory_instances *instances,
				  const struct dff_name *id,
				  int64_t now_ms);

/** Returns: array of struct dff_instance as listed at @now_ms, by id. */
GArray *dff_memory_instances_list (struct dff_memory_instances *instances, int64_t now_ms);

#endif
