#ifndef DFF_UPSTREAM_INCARNATION_H
#define DFF_UPSTREAM_INCARNATION_H

#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"

/* One life of a worker, from its start to its end. Where workers tell when they started, one may
 * start again under the id that it had: it then runs nothing, has seen no epoch, and its clock and
 * the numbers of its ends begin anew. Elsewhere each life has an id of its own. */

/** In place of a start that was not told. */
#define DFF_START_UNREPORTED INT64_C (0)
/** In place of one that cannot be read. */
#define DFF_START_UNREADABLE INT64_C (-1)

struct dff_incarnation {
	struct dff_name id;
	/** When it started, ms since 1970, by the worker's time of day. */
	int64_t started_ms;
};

enum dff_incarnation_order {
	/** The same life, or nothing tells them apart. */
	DFF_INCARNATION_SAME,
	/** It started earlier. */
	DFF_INCARNATION_EARLIER,
	/** It started later. */
	DFF_INCARNATION_LATER,
};

/** Returns: how the life that was born at @born_ms is to @known, which is of the same id. */
enum dff_incarnation_order dff_incarnation_compare (int64_t started_ms,
						    const struct dff_incarnation *known);

/** Returns: whether @born_ms tells when a life started. */
bool dff_start_is_known (int64_t started_ms);

#endif
