#ifndef DFF_ENTRY_DEADLINE_H
#define DFF_ENTRY_DEADLINE_H

#include <glib.h>
#include <stdint.h>

#include "common/cleanup.h"

/* Deadlines that are looked at on each tick, so that they run under a virtual clock. */

struct dff_deadlines;

/** A deadline that is set; NULL: none. */
struct dff_deadline;

typedef void (*dff_deadline_func) (void *user);

struct dff_deadlines *dff_deadlines_new (void);

/** Drops what is set without calling back. */
void dff_deadlines_free (struct dff_deadlines *deadlines);

DFF_DEFINE_CLEANUP (dff_deadlines, dff_deadlines_free);

/** Calls @func once from the first dff_deadlines_run() at or after @due_ms. */
struct dff_deadline *dff_deadlines_add (struct dff_deadlines *deadlines,
					int64_t due_ms,
					dff_deadline_func func,
					void *user);

/** Clears *@deadline, when it is set, so that it does not call back. */
void dff_deadlines_clear (struct dff_deadlines *deadlines, struct dff_deadline **deadline);

/** Calls what is due at @now_ms. */
void dff_deadlines_run (struct dff_deadlines *deadlines, int64_t now_ms);

#endif
