#ifndef DFF_ROWS_WAITERS_H
#define DFF_ROWS_WAITERS_H

#include <glib.h>

#include "rows/rows.h"

/* Those who wait for the fate of one write: a row that several callers hand in is written once. */

/** Returns: (transfer full): nobody; to be freed with g_array_unref(). */
GArray *dff_rows_waiters_new (void);

void dff_rows_waiters_add (GArray *waiters, dff_rows_func done, void *user);

/** Tells each, and nobody waits any more. */
void dff_rows_waiters_answer (GArray *waiters, enum dff_rows_outcome outcome, int64_t revision);

#endif
