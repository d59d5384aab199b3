#ifndef DFF_TESTS_HOLDER_SITE_RELAYS_H
#define DFF_TESTS_HOLDER_SITE_RELAYS_H

#include "tests/holder/site.h"

/* Relays between the processes of a site, over connections in memory. */

/** Opens the holder end and the relay end of a process. Returns: the runner for its calls to the
 * workers. */
const struct dff_runner *site_relays_start (struct site_process *process);

/** Implement relay_connect and relay_set_limit of a holder's options; @ctx: struct site_process. */
void site_relays_follow (void *ctx, const struct dff_name *address, int32_t n_relays);
void site_relays_set_limit (void *ctx, int32_t n_relays);

/** Ends all relay connections of a process that is killed, those to its holder included. */
void site_relays_kill (struct site_process *process);

#endif
