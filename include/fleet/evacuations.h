#ifndef DFF_FLEET_EVACUATIONS_H
#define DFF_FLEET_EVACUATIONS_H

#include <stddef.h>
#include <stdint.h>

#include "common/cleanup.h"
#include "common/metrics.h"
#include "common/str.h"

/*
 * Set of the data centres to be evacuated, built from the rows of the operators' requests. An
 * existing row is a request; its removal withdraws the request. When the store has dropped the
 * history of the table, removals may be missing from its feed: the table is then read whole, and
 * requests that are not in this snapshot are withdrawn.
 */

struct dff_evacuations;

struct dff_evacuations_options {
	struct dff_metrics *metrics;
	/** Called when the set has changed, and after each snapshot. @data_centres is valid during
	 * the call only. */
	void (*changed) (void *ctx, const struct dff_name *data_centres, size_t n_data_centres);
	void *ctx;
};

/** Returns: (transfer full): an empty set; @options is copied. */
struct dff_evacuations *dff_evacuations_new (const struct dff_evacuations_options *options);

void dff_evacuations_free (struct dff_evacuations *evacuations);

DFF_DEFINE_CLEANUP (dff_evacuations, dff_evacuations_free);

/**
 * dff_evacuations_note:
 * @requested: true: the row of the request exists; false: the row was removed
 * @revision: revision of the row
 * @age_ms: age of what was known of the table before this row, ms
 */
void dff_evacuations_note (struct dff_evacuations *evacuations,
			   const struct dff_name *data_centre,
			   bool requested,
			   int64_t revision,
			   int64_t age_ms);

/** Logs and counts a request that cannot be decoded. The set does not change. */
void dff_evacuations_note_unreadable (struct dff_evacuations *evacuations,
				      struct dff_str key,
				      int64_t revision);

/** A snapshot of the whole table begins. */
void dff_evacuations_begin_snapshot (struct dff_evacuations *evacuations);

/** The snapshot is complete: withdraws the requests that were not noted since it began. */
void dff_evacuations_end_snapshot (struct dff_evacuations *evacuations);

#endif
