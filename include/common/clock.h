#ifndef DFF_COMMON_CLOCK_H
#define DFF_COMMON_CLOCK_H

#include <stdint.h>

/* Clock interface, so that state machines run under a virtual clock in tests. */

/**
 * struct dff_clock:
 * @monotonic_ms: monotonic milliseconds, which include the time that the machine is suspended
 * @wall_ms: milliseconds since the Unix epoch; for display, spans and retention only, because the
 *   wall clock may be wrong or jump; docs/decisions/retention.md explains why retention tolerates
 * this
 * @ctx: passed to both
 */
struct dff_clock {
	int64_t (*monotonic_ms) (void *ctx);
	int64_t (*wall_ms) (void *ctx);
	void *ctx;
};

/** The machine's clock: CLOCK_BOOTTIME and CLOCK_REALTIME. */
const struct dff_clock *dff_clock_system (void);

/** Returns: @clock's monotonic milliseconds. */
int64_t dff_clock_now_ms (const struct dff_clock *clock);

/** Returns: @clock's wall-clock milliseconds since the Unix epoch. */
int64_t dff_clock_wall_ms (const struct dff_clock *clock);

/**
 * struct dff_clock_virtual:
 * A clock that advances only when @now_ms is changed. Set up by dff_clock_virtual_init().
 */
struct dff_clock_virtual {
	struct dff_clock clock;
	int64_t now_ms;
};

/** Sets up @virtual_clock at @now_ms. */
void dff_clock_virtual_init (struct dff_clock_virtual *virtual_clock, int64_t now_ms);

#endif
