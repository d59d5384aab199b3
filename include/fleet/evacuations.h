#ifndef DFF_FLEET_EVACUATIONS_H
#define DFF_FLEET_EVACUATIONS_H

#include <stddef.h>
#include <stdint.h>

#include "common/cleanup.h"
#include "common/metrics.h"
#include "common/str.h"

/*
 * The data centres that operators want emptied, put together from the rows of their requests. A
 * row that is there is a request; one that is removed takes it back. When the store has dropped the
 * history of its table, a row may be gone without anyone being told: the table is read whole, and
 * what that reading does not show is taken back.
 */

struct dff_evacuations;

struct dff_evacuations_options {
	struct dff_metrics *metrics;
	/** The set has changed, or was read whole for the first time. @data_centres is valid for
	 * the length of the call. */
	void (*changed) (void *ctx, const struct dff_name *data_centres, size_t n_data_centres);
	void *ctx;
};

/** Returns: (transfer full): an empty set; @options is copied. */
struct dff_evacuations *dff_evacuations_new (const struct dff_evacuations_options *options);

void dff_evacuations_free (struct dff_evacuations *evacuations);

DFF_DEFINE_CLEANUP (dff_evacuations, dff_evacuations_free);

/**
 * dff_evacuations_note:
 * @requested: whether the request is there; false: it was removed
 * @revision: of its row
 * @age_ms: how old what is known of the table was before
 */
void dff_evacuations_note (struct dff_evacuations *evacuations,
			   const struct dff_name *data_centre,
			   bool requested,
			   int64_t revision,
			   int64_t age_ms);

/** A request that cannot be read: told, counted, and nothing else changes. */
void dff_evacuations_note_unreadable (struct dff_evacuations *evacuations,
				      struct dff_str key,
				      int64_t revision);

/** The table is going to be read whole. */
void dff_evacuations_begin_snapshot (struct dff_evacuations *evacuations);

/** It was: requests not noted since are gone. */
void dff_evacuations_end_snapshot (struct dff_evacuations *evacuations);

#endif
