#ifndef DFF_BENCH_FRAGMENTATION_H
#define DFF_BENCH_FRAGMENTATION_H

#include <glib.h>
#include <stdint.h>

/* Tracks the free accelerators of each rack, and averages over time the share of them that the
 * largest adjacent shape cannot use. */

struct dff_fragmentation {
	/** Accelerators of the shape. */
	int32_t unit;
	GArray *free; /**< Elements: int32_t, one per rack. */
	int64_t total;
	/** Sum over racks of whole units, in accelerators. */
	int64_t usable;
	int64_t last_ms;
	/** End of the measured time, ms. */
	int64_t until_ms;
	double weighted_ms;
	double counted_ms;
};

void dff_fragmentation_init (struct dff_fragmentation *fragmentation,
			     int32_t unit,
			     guint n_racks,
			     int64_t until_ms);

void dff_fragmentation_clear (struct dff_fragmentation *fragmentation);

/** Counts the time since the last call. */
void dff_fragmentation_advance (struct dff_fragmentation *fragmentation, int64_t now_ms);

/** Changes the free accelerators of a rack, as of the last advance. */
void dff_fragmentation_add (struct dff_fragmentation *fragmentation, guint rack, int32_t delta);

/** Returns: the mean over the time in which at least one unit was free; 0: never. */
double dff_fragmentation_mean (const struct dff_fragmentation *fragmentation);

#endif
