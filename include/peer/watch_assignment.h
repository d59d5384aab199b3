#ifndef DFF_PEER_WATCH_ASSIGNMENT_H
#define DFF_PEER_WATCH_ASSIGNMENT_H

#include <glib.h>
#include <stddef.h>

#include "common/str.h"

/*
 * Which workers of its region a process watches. A watcher renews the leases of the workers' tasks
 * and reports changes to the holder. Every process computes the assignment from the members alone,
 * without messages. While processes disagree about the members, a worker may be watched twice or,
 * until the death of its watcher is detected, not at all. docs/decisions/watch-sharing.md.
 */

/**
 * dff_watch_collect_members:
 * @members: elements: struct dff_member, as dff_peer_members() returns them
 * @region: this process's region
 * @out: elements: struct dff_name
 *
 * Appends the members that watch workers: those of @region that are alive or suspect. The workers
 * of a member that is leaving are reassigned at once.
 */
void dff_watch_collect_members (const GArray *members, const struct dff_name *region, GArray *out);

/**
 * dff_watch_assign:
 * @self: this process
 * @members: as collected by dff_watch_collect_members()
 * @workers: workers of the region, in any order
 * @out: elements: guint, indexes into @workers
 *
 * Appends the workers that @self watches. When a member joins or leaves, only workers that it gains
 * or loses move.
 */
void dff_watch_assign (const struct dff_name *self,
		       const struct dff_name *members,
		       size_t n_members,
		       const struct dff_name *workers,
		       size_t n_workers,
		       GArray *out);

/**
 * dff_watch_interval_ms:
 * @n_workers: number of workers that this process watches
 * @least_ms: configured interval
 * @lease_ms: duration of the tasks' leases
 *
 * Returns: renewal interval that limits the traffic of a process with many workers to five renewals
 * per second, but at most a quarter of the lease. Changes are reported as fast as with a short
 * interval, because a renewal waits for something to report; only the detection of a silent worker
 * takes longer.
 */
int32_t dff_watch_interval_ms (size_t n_workers, int32_t least_ms, int32_t lease_ms);

#endif
