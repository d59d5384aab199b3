#ifndef DFF_UPSTREAM_INCARNATION_H
#define DFF_UPSTREAM_INCARNATION_H

#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"

/* An incarnation of a worker: the time from its start to its end. On platforms that report start
 * times, a worker may restart under the same id. The new incarnation runs no tasks, has seen no
 * epoch, and its clock and the sequence numbers of its completions start again. On other platforms
 * each incarnation has an id of its own. */

/** The start time was not reported. */
#define DFF_START_UNREPORTED INT64_C (0)
/** The reported start time cannot be parsed. */
#define DFF_START_UNREADABLE INT64_C (-1)

struct dff_incarnation {
	struct dff_name id;
	/** Start time by the worker's wall clock, ms since the Unix epoch; or one of the above. */
	int64_t started_ms;
};

enum dff_incarnation_order {
	/** The same incarnation, or a start time is not known. */
	DFF_INCARNATION_SAME,
	/** The compared incarnation started before the known one. */
	DFF_INCARNATION_EARLIER,
	/** The compared incarnation started after the known one. */
	DFF_INCARNATION_LATER,
};

/** Returns: the order of the incarnation that started at @started_ms relative to @known, which has
 * the same id. */
enum dff_incarnation_order dff_incarnation_compare (int64_t started_ms,
						    const struct dff_incarnation *known);

/** Returns: whether @started_ms is a start time, neither unreported nor unreadable. */
bool dff_start_is_known (int64_t started_ms);

#endif
