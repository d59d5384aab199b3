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

/** What a row of the operator's table asks for, besides the configuration. */
enum dff_platform_request {
	/** It is none of these. */
	DFF_PLATFORM_REQUEST_OTHER,
	/** A data centre is to be emptied: its workers get nothing new while the row is there. */
	DFF_PLATFORM_REQUEST_EVACUATION,
	/** One of these, but it cannot be read. */
	DFF_PLATFORM_REQUEST_UNREADABLE,
};

/** Reads a row of the operator's table, also one that was removed. @data_centre: (out): which is to
 * be emptied. */
enum dff_platform_request dff_platform_read_evacuation (const struct dff_row *row,
							struct dff_name *data_centre);

/**
 * dff_platform_read_job:
 * @text: body of a submission
 * @fault: (out): what is wrong with it, in words; static
 *
 * Returns: (transfer full) (nullable): the plan, without id, team and class.
 */
struct dff_plan *dff_platform_read_job (struct dff_str text, const char **fault);

#endif
