#ifndef DFF_CORE_PRIORITY_ORDER_H
#define DFF_CORE_PRIORITY_ORDER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"
#include "core/objective.h"

/* The order in which the heads of the queue classes are tried, by what each can still achieve.
 * Pure: no clock and no state of its own. */

enum dff_order_way {
	/** By score, without regard to objectives. */
	DFF_ORDER_STANDING,
	/** By prospect, then by slack in bands, then by score. */
	DFF_ORDER_SLACK,
	/** By score divided by the value expected of a start now, and by how little slack is left.
	 */
	DFF_ORDER_VALUE_DENSITY,
};

/** A job whose objective is missed competes as if in time from this multiple of its objective on,
 * so that it is not starved. */
#define DFF_ORDER_MISSED_FACTOR 6

/** The head of a queue class. */
struct dff_order_head {
	bool urgent;
	/** Whether it is within what its team is assured of. */
	bool assured;
	int32_t priority;
	/** Prospect that it ranks with, see dff_order_prospect(). */
	enum dff_prospect prospect;
	/** With DFF_PROSPECT_IN_TIME: time left before it has to start, and expected duration,
	 * ms. */
	int64_t slack_ms;
	int64_t expected_ms;
	/** With an objective: probability that it completes within the objective, and within
	 * DFF_OBJECTIVE_LATE_FACTOR times that, when it starts now; 0 to 1. */
	double in_time_chance;
	double late_chance;
	/** Lower scores go first: the occupancy, reduced by the wait. */
	double score;
	/** With an objective: expected occupancy for its weight. */
	double occupancy;
	/** How far its team is above its share of what the priority borrows, see
	 * dff_shares_level(); 0: not above. */
	int32_t share_level;
	int64_t submitted_ms;
	const struct dff_name *id;
	/** Of the caller. */
	void *user;
};

/**
 * dff_order_prospect:
 * @age_ms: time since the job was first submitted
 * @limit_ms: its objective, after the submission
 *
 * Returns: the prospect that a job ranks with. DFF_PROSPECT_NONE ranks as in time; a job whose
 * objective was missed long ago gets it too.
 */
enum dff_prospect dff_order_prospect (enum dff_prospect prospect, int64_t age_ms, int64_t limit_ms);

/**
 * dff_order_sort:
 * @heads: elements: struct dff_order_head
 *
 * Sorts the heads into the order in which they are tried. Urgent work goes first, assured work
 * first among it. Where teams are above their share, the places that one priority has among heads
 * of equal prospect are dealt out again: first to teams at or below their share. The places of the
 * other priorities stay.
 */
void dff_order_sort (enum dff_order_way way, GArray *heads);

#endif
