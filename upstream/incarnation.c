#include "upstream/incarnation.h"

bool
dff_start_is_known (int64_t started_ms)
{
	return started_ms > DFF_START_UNREPORTED;
}

enum dff_incarnation_order
dff_incarnation_compare (int64_t started_ms, const struct dff_incarnation *known)
{
	if (!dff_start_is_known (started_ms) || !dff_start_is_known (known->started_ms) ||
	    started_ms == known->started_ms)
		return DFF_INCARNATION_SAME;
	return started_ms < known->started_ms ? DFF_INCARNATION_EARLIER : DFF_INCARNATION_LATER;
}
