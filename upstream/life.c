#include "upstream/life.h"

bool
dff_born_is_told (int64_t born_ms)
{
	return born_ms > DFF_BORN_UNTOLD;
}

enum dff_life_order
dff_life_compare (int64_t born_ms, const struct dff_life *known)
{
	if (!dff_born_is_told (born_ms) || !dff_born_is_told (known->started_ms) ||
	    born_ms == known->started_ms)
		return DFF_LIFE_SAME;
	return born_ms < known->started_ms ? DFF_LIFE_EARLIER : DFF_LIFE_LATER;
}
