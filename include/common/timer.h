#ifndef DFF_COMMON_TIMER_H
#define DFF_COMMON_TIMER_H

#include <event2/event.h>
#include <stdint.h>

#include "common/cleanup.h"
#include "common/clock.h"

/* Timer interface, so that code that waits runs under a virtual clock in tests. */

struct dff_timer;

typedef void (*dff_timer_func) (void *user);

/** A source of timers, and the clock that they follow. */
struct dff_timers {
	const struct dff_clock *clock;
	struct dff_timer *(*create) (void *ctx, dff_timer_func func, void *user);
	void *ctx;
};

/** Base of a timer: the first member of each source's own timer struct. */
struct dff_timer {
	void (*start) (struct dff_timer *timer, int32_t delay_ms);
	void (*stop) (struct dff_timer *timer);
	void (*free) (struct dff_timer *timer);
};

/** Returns: (transfer full): a stopped timer; @func is called each time it expires. */
struct dff_timer *dff_timer_new (const struct dff_timers *timers, dff_timer_func func, void *user);

/** Calls back once after @delay_ms; 0: in the next loop iteration. Replaces an earlier start. */
void dff_timer_start (struct dff_timer *timer, int32_t delay_ms);

void dff_timer_stop (struct dff_timer *timer);

void dff_timer_free (struct dff_timer *timer);

DFF_DEFINE_CLEANUP (dff_timer, dff_timer_free);

/** Returns: a source of timers on a libevent loop, with the system clock. */
struct dff_timers dff_timers_from_base (struct event_base *base);

#endif
