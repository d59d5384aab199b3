#include <event2/event.h>
#include <inttypes.h>

#include "common/log.h"
#include "daemon/daemon_private.h"
#include "daemon/drain_step.h"

void
dff_daemon_drain (struct dff_daemon *daemon)
{
	if (daemon->draining)
		return;
	daemon->draining = true;
	daemon->drain_started_ms = dff_clock_now_ms (daemon->clock);
	dff_entry_set_leaving (daemon->entry);
	dff_cell_drain (daemon->cell);
	dff_peer_set_state (daemon->peer, false, true, 0);
	dff_instance_watch_set_leaving (daemon->instance_watch);
}

bool
dff_daemon_is_draining (const struct dff_daemon *daemon)
{
	return daemon->draining;
}

void
dff_daemon_abort (struct dff_daemon *daemon)
{
	daemon->aborted = true;
	event_base_loopexit (daemon->base, NULL);
}

bool
dff_daemon_was_aborted (const struct dff_daemon *daemon)
{
	return daemon->aborted;
}

static bool
is_idle (const struct dff_daemon *daemon)
{
	return dff_entry_is_drained (daemon->entry) && dff_cell_is_drained (daemon->cell);
}

/* The load balancer detects with a delay, by /readyz, that this process is stopping. Requests that
 * it sends during this delay are served: refusing them would cost callers a retry at each planned
 * stop. After the grace period new work is refused. The loop exits when the last request in flight
 * has its complete answer and the cell's lease is released. */
void
dff_daemon_continue_drain (struct dff_daemon *daemon, int64_t now_ms)
{
	if (!daemon->draining)
		return;
	const struct dff_drain_times times = {
		.elapsed_ms = now_ms - daemon->drain_started_ms,
		.grace_ms = daemon->settings->drain_grace_ms,
		.timeout_ms = daemon->settings->drain_timeout_ms,
	};
	if (dff_drain_refuses (&times))
		dff_entry_drain (daemon->entry);
	switch (dff_drain_next (&times, is_idle (daemon))) {
	case DFF_DRAIN_WAIT:
		break;
	case DFF_DRAIN_END:
		dff_log (DFF_LOG_SERVE, DFF_LOG_INFO, "Drained. after_ms=%" PRId64,
			 times.elapsed_ms);
		event_base_loopexit (daemon->base, NULL);
		break;
	case DFF_DRAIN_ABORT:
		dff_log (DFF_LOG_SERVE, DFF_LOG_WARNING,
			 "Drain given up, work is cut off. after_ms=%" PRId64, times.elapsed_ms);
		dff_daemon_abort (daemon);
		break;
	}
}
