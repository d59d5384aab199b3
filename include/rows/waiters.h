#ifndef DFF_ROWS_WAITERS_H
#define DFF_ROWS_WAITERS_H

#include <glib.h>

#include "rows/rows.h"

/* Callers that wait for the outcome of one write: a row that several callers submit is written
 * once. */

/** Returns: (transfer full): an empty list; to be freed with g_array_unref(). */
GArray *dff_rows_waiters_new (void);

void dff_rows_waiters_add (GArray *waiters, dff_rows_func done, void *user);

/** Calls back every waiter with the outcome and empties the list. */
void dff_rows_waiters_answer (GArray *waiters, enum dff_rows_outcome outcome, int64_t revision);

#endif
