#ifndef DFF_TESTS_HOLDER_SITE_WORKERS_H
#define DFF_TESTS_HOLDER_SITE_WORKERS_H

#include "tests/holder/site.h"

/* Interface between a site (site.c) and its workers (site_workers.c). */

/** Starts an incarnation of a worker and writes its entry. */
void site_workers_add (struct site *site, int index);

/** Parses a worker's entry. Returns: false if it is invalid. */
bool site_workers_read_upstream (const struct dff_row *row, struct dff_upstream *upstream);

/** Writes the entries of all listed workers, now and every SITE_ENTRY_EVERY_MS. @user: the site. */
void site_workers_write_entries (void *user);

/** Handles the crash of a worker by a task: its entry expires later, and it is restarted after
 * site->restart_delay_ms. @ctx: the site. */
void site_workers_handle_crash (void *ctx, const char *id);

#endif
