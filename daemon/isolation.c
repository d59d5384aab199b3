#include "daemon/isolation.h"

#include <glib.h>

static bool
is_silent (const struct dff_isolation *isolation, int64_t last_ms, int64_t now_ms)
{
	int64_t since_ms = MAX (last_ms, isolation->started_ms);
	return now_ms - since_ms > isolation->timeout_ms;
}

bool
dff_is_isolated (const struct dff_isolation *isolation, int64_t now_ms)
{
	if (!is_silent (isolation, isolation->store_ms, now_ms))
		return false;
	return !isolation->has_peers || is_silent (isolation, isolation->peer_ms, now_ms);
}
