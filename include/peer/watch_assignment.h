#ifndef DFF_PEER_WATCH_ASSIGNMENT_H
#define DFF_PEER_WATCH_ASSIGNMENT_H

#include <glib.h>
#include <stddef.h>

#include "common/str.h"

/*
 * Which workers of its region a process watches: renews their tasks' leases, learns what changed
 * and passes it to the holder. Pure, with no message: every process computes the same shares from
 * the same members. While members are seen differently a worker may be watched twice or, for as
 * long as its watcher's death goes unnoticed, not at all. docs/decisions/watch-sharing.md.
 */

/**
 * dff_watch_collect_members:
 * @members: elements: struct dff_member, as dff_peer_members() returns them
 * @region: this process's region
 * @out: elements: struct dff_name
 *
 * Appends those who share the watching: members of @region that are alive or silent but not yet
 * taken for dead. One that is leaving hands its workers over at once.
 */
void dff_watch_collect_members (const GArray *members, const struct dff_name *region, GArray *out);

/**
 * dff_watch_assign:
 * @self: this process
 * @members: as dff_watch_collect_members() gives them
 * @workers: workers of the region, in any order
 * @out: elements: guint, indexes into @workers
 *
 * Appends the workers that @self watches. A member that joins or leaves moves only its own share.
 */
void dff_watch_assign (const struct dff_name *self,
		       const struct dff_name *members,
		       size_t n_members,
		       const struct dff_name *workers,
		       size_t n_workers,
		       GArray *out);

/**
 * dff_watch_interval_ms:
 * @n_workers: size of this process's share
 * @least_ms: the interval that is set
 * @lease_ms: of tasks
 *
 * Interval of renewals that keeps a large share's traffic bounded: five renewals a second, as far
 * as a quarter of the lease allows. As a renewal waits for something to report, changes travel as
 * fast; what takes longer is to notice that a worker has gone silent.
 */
int32_t dff_watch_interval_ms (size_t n_workers, int32_t least_ms, int32_t lease_ms);

#endif
