#ifndef DFF_TESTS_HOLDER_SITE_RELAYS_H
#define DFF_TESTS_HOLDER_SITE_RELAYS_H

#include "tests/holder/site.h"

/* Relays between the processes of a site, over connections in memory. */

/** Opens both ends of a process. Returns: its way to the workers. */
const struct dff_runner *site_relays_start (struct site_process *process);

/** What a holder asks for: struct site_process as the context. */
void site_relays_follow (void *ctx, const struct dff_name *address, int32_t n_relays);
void site_relays_set_limit (void *ctx, int32_t n_relays);

/** Ends every connection of a process that is gone, its holder included. */
void site_relays_kill (struct site_process *process);

#endif
