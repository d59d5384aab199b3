#ifndef DFF_STANDIN_VIRTUAL_LOOP_H
#define DFF_STANDIN_VIRTUAL_LOOP_H

#include <glib.h>

#include "common/cleanup.h"
#include "common/timer.h"

/* An event loop under a virtual clock. Callbacks run by due time, then in order of scheduling. */

struct dff_virtual_loop;

struct dff_virtual_loop *dff_virtual_loop_new (int64_t now_ms);

void dff_virtual_loop_free (struct dff_virtual_loop *loop);

DFF_DEFINE_CLEANUP (dff_virtual_loop, dff_virtual_loop_free);

const struct dff_clock *dff_virtual_loop_clock (const struct dff_virtual_loop *loop);

const struct dff_timers *dff_virtual_loop_timers (const struct dff_virtual_loop *loop);

int64_t dff_virtual_loop_now_ms (const struct dff_virtual_loop *loop);

/** Calls @func once after @delay_ms. */
void dff_virtual_loop_schedule (struct dff_virtual_loop *loop,
				int64_t delay_ms,
				dff_timer_func func,
				void *user);

/** Advances the clock by @ms and runs the callbacks that become due. */
void dff_virtual_loop_run (struct dff_virtual_loop *loop, int64_t ms);

#endif
