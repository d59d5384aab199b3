#ifndef DFF_CORE_SHARES_H
#define DFF_CORE_SHARES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Shares of teams in the capacity that they borrow: their use in a sliding window, and how far it
 * is above what their weights give them. Pure: no clock and no state of its own. */

enum dff_shares_way {
	/** Shares are not considered beyond the teams' scores. */
	DFF_SHARES_STANDING,
	/** A team is above its share or not, by accelerator time. */
	DFF_SHARES_DEFICIT,
	/** Teams are compared by how far above their share they are, in the resource that they use
	 * most of. */
	DFF_SHARES_DOMINANT,
};

#define DFF_SHARES_WINDOW_MS INT64_C (20000)
#define DFF_SHARES_SLICES 20
/** Highest level of dff_shares_level(). */
#define DFF_SHARES_LEVEL_MAX 8

/** Use of one resource over the last DFF_SHARES_WINDOW_MS, to the accuracy of a slice. Zeroed
 * memory is an empty window. */
struct dff_shares_window {
	/** Unit-ms used in each slice, at the slice's number modulo DFF_SHARES_SLICES. */
	double slices[DFF_SHARES_SLICES];
	/** Number of the current slice. */
	int64_t slice;
};

/** Adds the use of @units from @from_ms to @to_ms. Times must not fall from call to call. */
void dff_shares_window_add (struct dff_shares_window *window,
			    int64_t from_ms,
			    int64_t to_ms,
			    double units);

/** Returns: unit-ms used in the window that ends at @now_ms. */
double dff_shares_window_sum (const struct dff_shares_window *window, int64_t now_ms);

/** One team in what a priority borrows. */
struct dff_shares_claimant {
	/** Accelerator-ms borrowed in the window. */
	double accelerator_ms;
	/** The largest part that it borrowed in the window of any one resource of the pool, 0 to 1.
	 */
	double dominant;
	/** Relative to other teams; values that are not positive count as 1. */
	double weight;
	/** Whether it has queued work of the priority. */
	bool waits;
	/** Set by dff_shares_set_excess(): by how much of its share it is above its share; 0 when
	 * it is not. */
	double excess;
};

/**
 * dff_shares_set_excess:
 * @claimants: elements: struct dff_shares_claimant
 *
 * Divides what was borrowed by weight among the claimants that borrowed or wait. Without one that
 * waits and has had less than its share nobody is above: nobody waits for nothing.
 */
void dff_shares_set_excess (enum dff_shares_way way, GArray *claimants);

/** Returns: the level by which heads of the queue are ordered, 0 to DFF_SHARES_LEVEL_MAX; 0: within
 * the share, with a tolerance. */
int32_t dff_shares_level (enum dff_shares_way way, double excess);

#endif
