#ifndef DFF_COMMON_TIMER_H
#define DFF_COMMON_TIMER_H

#include <event2/event.h>
#include <stdint.h>

#include "common/cleanup.h"
#include "common/clock.h"

/* Timers as an interface, so that what waits runs under a virtual clock in tests. */

struct dff_timer;

typedef void (*dff_timer_func) (void *user);

/** Where timers come from, and the clock they go by. */
struct dff_timers {
	const struct dff_clock *clock;
	struct dff_timer *(*create) (void *ctx, dff_timer_func func, void *user);
	void *ctx;
};

/** What a source of timers puts first into its own. */
struct dff_timer {
	void (*start) (struct dff_timer *timer, int32_t delay_ms);
	void (*stop) (struct dff_timer *timer);
	void (*free) (struct dff_timer *timer);
};

/** Returns: (transfer full): a timer that is not running; @func is called each time it is due. */
struct dff_timer *dff_timer_new (const struct dff_timers *timers, dff_timer_func func, void *user);

/** Calls back once in @delay_ms, 0: in the next turn of the loop; replaces an earlier start. */
void dff_timer_start (struct dff_timer *timer, int32_t delay_ms);

void dff_timer_stop (struct dff_timer *timer);

void dff_timer_free (struct dff_timer *timer);

DFF_DEFINE_CLEANUP (dff_timer, dff_timer_free);

/** Returns: timers of a libevent loop, by the machine's clock. */
struct dff_timers dff_timers_from_base (struct event_base *base);

#endif
