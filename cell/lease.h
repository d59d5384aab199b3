#ifndef DFF_CELL_LEASE_H
#define DFF_CELL_LEASE_H

#include <stdbool.h>
#include <stdint.h>

#include "backing/table.h"
#include "common/cleanup.h"
#include "common/clock.h"
#include "common/metrics.h"
#include "common/str.h"

/*
 * The lease of a cell: two rows, "cell/REGION/lease" {instance, counter} and "cell/REGION/epoch"
 * {epoch, instance}. The lease calls the table directly, not through the recorder: a renewal must
 * not queue behind the writes of jobs. One call is outstanding at a time.
 */

struct dff_lease;

struct dff_lease_options {
	struct dff_name instance;
	struct dff_name region;
	const struct dff_table *table;
	const struct dff_clock *clock;
	struct dff_metrics *metrics;
	uint64_t seed;
	int32_t lease_ms;
	int32_t renew_ms;
	int32_t margin_ms;
};

struct dff_lease *dff_lease_new (const struct dff_lease_options *options);

void dff_lease_free (struct dff_lease *lease);

DFF_DEFINE_CLEANUP (dff_lease, dff_lease_free);

/** Reads, renews or takes the rows, whichever is due. */
void dff_lease_tick (struct dff_lease *lease);

/** Sets whether this process may take the lease when it is free or has expired. */
void dff_lease_set_candidate (struct dff_lease *lease, bool candidate);

void dff_lease_set_rank (struct dff_lease *lease, int32_t rank);

/** Returns: whether the lease is held and valid for longer than the margin at the current time. */
bool dff_lease_is_held (const struct dff_lease *lease);

/** Returns: epoch of the lease that is or was last held; 0: none yet. */
int64_t dff_lease_epoch (const struct dff_lease *lease);

/** Returns: revision of the epoch row that the holder's writes are conditional on. */
int64_t dff_lease_epoch_revision (const struct dff_lease *lease);

/** Returns: key of the epoch row, valid as long as the lease object. */
struct dff_str dff_lease_epoch_key (const struct dff_lease *lease);

/** Treats a held lease as lost, because a condition on the epoch row failed (another process is the
 * holder) or because the lease has expired. */
void dff_lease_mark_fenced (struct dff_lease *lease);

/** Requests an early renewal, to find out soon whether the lease is still held. */
void dff_lease_request_renewal (struct dff_lease *lease);

/** Writes the lease row empty, so that the next candidate need not wait. The lease counts as not
 * held from now on, and is not taken again. */
void dff_lease_release (struct dff_lease *lease);

/** Returns: whether the lease was released: the release was written or conflicted, or the lease was
 * not held any more. */
bool dff_lease_is_released (const struct dff_lease *lease);

#endif
