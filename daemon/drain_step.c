#include "daemon/drain_step.h"

bool
dff_drain_refuses (const struct dff_drain_times *times)
{
	return times->elapsed_ms >= times->grace_ms;
}

enum dff_drain_step
dff_drain_next (const struct dff_drain_times *times, bool idle)
{
	if (!dff_drain_refuses (times))
		return DFF_DRAIN_WAIT;
	if (idle)
		return DFF_DRAIN_END;
	if (times->timeout_ms > 0 && times->elapsed_ms > times->timeout_ms)
		return DFF_DRAIN_ABORT;
	return DFF_DRAIN_WAIT;
}
