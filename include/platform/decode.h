#ifndef DFF_PLATFORM_DECODE_H
#define DFF_PLATFORM_DECODE_H

#include "fleet/config.h"
#include "graph/plan.h"
#include "rows/rows.h"
#include "upstream/runner.h"

/* The platform's bodies, decoded into the product's types. The names of their fields are the
 * platform's; comments in decode.c say where one misleads. */

/** Returns: (transfer full) (nullable): the operator's configuration. */
struct dff_fleet_config *dff_platform_read_config (struct dff_str text);

/** Reads a worker's entry in the list. Returns: false when it is none. */
bool dff_platform_read_upstream (const struct dff_row *row, struct dff_upstream *upstream);

/**
 * dff_platform_read_job:
 * @text: body of a submission
 * @fault: (out): what is wrong with it, in words; static
 *
 * Returns: (transfer full) (nullable): the plan, without id, team and class.
 */
struct dff_plan *dff_platform_read_job (struct dff_str text, const char **fault);

#endif
