#ifndef DFF_TESTS_HOLDER_SITE_WORKERS_H
#define DFF_TESTS_HOLDER_SITE_WORKERS_H

#include "tests/holder/site.h"

/* Between a site (site.c) and its workers (site_workers.c). */

/** Begins a life of a worker, and puts it on the list. */
void site_workers_add (struct site *site, int index);

/** Reads a worker's row of the list. Returns: false when it is none. */
bool site_workers_read_upstream (const struct dff_row *row, struct dff_upstream *upstream);

/** Has each worker that is there write its entry anew, from now on again and again. @user: the
 * site.
 */
void site_workers_write_entries (void *user);

/** A task has crashed its worker, which comes back in another life later. @ctx: the site. */
void site_workers_handle_crash (void *ctx, const char *id);

#endif
