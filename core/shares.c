#include "core/shares.h"

#include <math.h>

#define SLICE_MS (DFF_SHARES_WINDOW_MS / DFF_SHARES_SLICES)
/** Higher weights count as this one, so that sums stay finite. */
#define WEIGHT_MAX 1e9
/** Excess that is tolerated: less is noise of which task ended when. */
#define TOLERANCE 0.1
/** Excess per level when levels are compared. */
#define LEVEL_STEP 0.25

/* Empties the slices that have left the window when it moves on to @slice. */
static void
move_on (struct dff_shares_window *window, int64_t slice)
{
	if (slice - window->slice >= DFF_SHARES_SLICES)
		window->slice = slice - DFF_SHARES_SLICES;
	while (window->slice < slice) {
		window->slice++;
		window->slices[window->slice % DFF_SHARES_SLICES] = 0.0;
	}
}

void
dff_shares_window_add (struct dff_shares_window *window,
		       int64_t from_ms,
		       int64_t to_ms,
		       double units)
{
	from_ms = MAX (from_ms, to_ms - DFF_SHARES_WINDOW_MS);
	while (from_ms < to_ms) {
		int64_t slice = from_ms / SLICE_MS;
		int64_t end_ms = MIN ((slice + 1) * SLICE_MS, to_ms);
		move_on (window, slice);
		window->slices[slice % DFF_SHARES_SLICES] += units * (double)(end_ms - from_ms);
		from_ms = end_ms;
	}
}

double
dff_shares_window_sum (const struct dff_shares_window *window, int64_t now_ms)
{
	int64_t first = MAX (now_ms / SLICE_MS - DFF_SHARES_SLICES + 1, 0);
	double sum = 0.0;
	for (int64_t slice = MAX (first, window->slice - DFF_SHARES_SLICES + 1);
	     slice <= window->slice; slice++) {
		if (slice >= first)
			sum += window->slices[slice % DFF_SHARES_SLICES];
	}
	return sum;
}

static double
use_of (enum dff_shares_way way, const struct dff_shares_claimant *claimant)
{
	return way == DFF_SHARES_DOMINANT ? claimant->dominant : claimant->accelerator_ms;
}

static double
weight_of (const struct dff_shares_claimant *claimant)
{
	return claimant->weight > 0.0 ? MIN (claimant->weight, WEIGHT_MAX) : 1.0;
}

static struct dff_shares_claimant *
claimant_at (const GArray *claimants, guint index)
{
	return &g_array_index (claimants, struct dff_shares_claimant, index);
}

struct totals {
	double use;
	double weight;
};

static struct totals
add_up (enum dff_shares_way way, const GArray *claimants)
{
	struct totals totals = {0};
	for (guint i = 0; i < claimants->len; i++) {
		const struct dff_shares_claimant *claimant = claimant_at (claimants, i);
		double use = use_of (way, claimant);
		totals.use += use;
		if (claimant->waits || use > 0.0)
			totals.weight += weight_of (claimant);
	}
	return totals;
}

/* Returns: the share of a claimant that borrowed or waits. */
static double
share_of (const struct totals *totals, const struct dff_shares_claimant *claimant)
{
	return totals->use * (weight_of (claimant) / totals->weight);
}

static bool
some_waiting_lacks (enum dff_shares_way way, const GArray *claimants, const struct totals *totals)
{
	for (guint i = 0; i < claimants->len; i++) {
		const struct dff_shares_claimant *claimant = claimant_at (claimants, i);
		if (claimant->waits && use_of (way, claimant) < share_of (totals, claimant))
			return true;
	}
	return false;
}

void
dff_shares_set_excess (enum dff_shares_way way, GArray *claimants)
{
	struct totals totals = add_up (way, claimants);
	bool considered =
		way != DFF_SHARES_STANDING && some_waiting_lacks (way, claimants, &totals);
	for (guint i = 0; i < claimants->len; i++) {
		struct dff_shares_claimant *claimant = claimant_at (claimants, i);
		double use = use_of (way, claimant);
		claimant->excess = 0.0;
		if (considered && use > 0.0)
			claimant->excess = MAX (use / share_of (&totals, claimant) - 1.0, 0.0);
	}
}

int32_t
dff_shares_level (enum dff_shares_way way, double excess)
{
	if (way == DFF_SHARES_STANDING || excess <= TOLERANCE)
		return 0;
	if (way == DFF_SHARES_DEFICIT)
		return 1;
	return (int32_t)MIN (ceil (excess / LEVEL_STEP), DFF_SHARES_LEVEL_MAX);
}
