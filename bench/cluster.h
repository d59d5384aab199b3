#ifndef DFF_BENCH_CLUSTER_H
#define DFF_BENCH_CLUSTER_H

#include <glib.h>

#include "core/core.h"

/* Workers and racks of the baseline policies, and first-fit placement. */

struct dff_cluster_worker {
	struct dff_name name;
	bool up;
	struct dff_resources capacity;
	/** Bit i: accelerator i is leased. */
	uint64_t leased;
};

struct dff_cluster_rack {
	/** Range in the workers table. */
	int32_t first, count;
	/** Rank of the region; racks are sorted by it. */
	int32_t region;
	struct dff_name region_name;
};

struct dff_cluster {
	GArray *workers; /**< Elements: struct dff_cluster_worker. */
	GArray *racks;   /**< Elements: struct dff_cluster_rack. */
	GHashTable *index;
	/** Free capacity per worker. Elements: struct dff_resources. */
	GArray *available;
};

/** Capacity of each worker that a placement may use. Elements of both: struct dff_resources. */
struct dff_cluster_view {
	const GArray *available;
	/** (nullable): a second limit: capacity not reserved. */
	const GArray *limit;
	/** Whether workers that are down may be used too. */
	bool ignore_state;
};

void dff_cluster_init (struct dff_cluster *cluster, const struct dff_pool *pool);

void dff_cluster_clear (struct dff_cluster *cluster);

/** Returns: index of the worker; -1: unknown name. */
int32_t dff_cluster_find (const struct dff_cluster *cluster, const struct dff_name *name);

/**
 * dff_cluster_place:
 * @workers: (out): array of spec->gang indices
 *
 * Places a job by first fit in the order of the pool file. An adjacent job is placed in one rack if
 * an empty rack could hold it, else in the shortest run of neighbouring racks of a region; other
 * jobs anywhere in one region.
 */
bool dff_cluster_place (const struct dff_cluster *cluster,
			const struct dff_cluster_view *view,
			const struct dff_job_spec *spec,
			int32_t *workers);

/** Whether the job would fit if every worker were up and empty. */
bool dff_cluster_place_ever (const struct dff_cluster *cluster, const struct dff_job_spec *spec);

/** Adds @times times @amount to the capacity of one worker. */
void dff_capacity_add (GArray *available,
		       int32_t worker,
		       const struct dff_resources *amount,
		       int32_t times);

/** Leases resources on a worker. Returns: the accelerators picked, lowest first. */
uint64_t
dff_cluster_lease (struct dff_cluster *cluster, int32_t worker, const struct dff_resources *amount);

void dff_cluster_release (struct dff_cluster *cluster,
			  int32_t worker,
			  const struct dff_resources *amount,
			  uint64_t accelerators);

#endif
