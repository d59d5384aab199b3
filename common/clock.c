#include "common/clock.h"

#include <time.h>

static int64_t
timespec_to_ms (const struct timespec *time)
{
	return (int64_t)time->tv_sec * 1000 + time->tv_nsec / 1000000;
}

/* CLOCK_MONOTONIC does not advance while a virtual machine is suspended: on resume, a holder
 * suspended past its lease would assume it is still valid. CLOCK_BOOTTIME counts the suspended
 * time. */
static int64_t
system_monotonic_ms (void *ctx)
{
	(void)ctx;
	struct timespec time;
	clock_gettime (CLOCK_BOOTTIME, &time);
	return timespec_to_ms (&time);
}

static int64_t
system_wall_ms (void *ctx)
{
	(void)ctx;
	struct timespec time;
	clock_gettime (CLOCK_REALTIME, &time);
	return timespec_to_ms (&time);
}

const struct dff_clock *
dff_clock_system (void)
{
	static const struct dff_clock clock = {
		.monotonic_ms = system_monotonic_ms,
		.wall_ms = system_wall_ms,
	};
	return &clock;
}

int64_t
dff_clock_now_ms (const struct dff_clock *clock)
{
	return clock->monotonic_ms (clock->ctx);
}

int64_t
dff_clock_wall_ms (const struct dff_clock *clock)
{
	return clock->wall_ms (clock->ctx);
}

static int64_t
virtual_ms (void *ctx)
{
	const struct dff_clock_virtual *virtual_clock = ctx;
	return virtual_clock->now_ms;
}

void
dff_clock_virtual_init (struct dff_clock_virtual *virtual_clock, int64_t now_ms)
{
	virtual_clock->now_ms = now_ms;
	virtual_clock->clock.monotonic_ms = virtual_ms;
	virtual_clock->clock.wall_ms = virtual_ms;
	virtual_clock->clock.ctx = virtual_clock;
}
