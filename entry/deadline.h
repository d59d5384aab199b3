#ifndef DFF_ENTRY_DEADLINE_H
#define DFF_ENTRY_DEADLINE_H

#include <glib.h>
#include <stdint.h>

#include "common/cleanup.h"

/* Timers that are checked on each tick, so that they also work with a virtual clock. */

struct dff_deadlines;

/** A timer that is set; NULL: none. */
struct dff_deadline;

typedef void (*dff_deadline_func) (void *user);

struct dff_deadlines *dff_deadlines_new (void);

/** Drops all timers without calling their functions. */
void dff_deadlines_free (struct dff_deadlines *deadlines);

DFF_DEFINE_CLEANUP (dff_deadlines, dff_deadlines_free);

/** Calls @func once, from the first dff_deadlines_run() at or after @due_ms. */
struct dff_deadline *dff_deadlines_add (struct dff_deadlines *deadlines,
					int64_t due_ms,
					dff_deadline_func func,
					void *user);

/** Cancels *@deadline if it is set, and sets it to NULL. */
void dff_deadlines_clear (struct dff_deadlines *deadlines, struct dff_deadline **deadline);

/** Calls the functions of all timers that are due at @now_ms. */
void dff_deadlines_run (struct dff_deadlines *deadlines, int64_t now_ms);

#endif
