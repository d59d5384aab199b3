#ifndef DFF_PLATFORM_DECODE_H
#define DFF_PLATFORM_DECODE_H

#include "fleet/config.h"
#include "graph/plan.h"
#include "rows/rows.h"
#include "upstream/runner.h"

/* Decoders of the platform's message bodies and rows into the product's types. The field names are
 * the platform's; comments in decode.c say where a name is misleading. */

/** Returns: (transfer full) (nullable): the operators' configuration; NULL: @text is not a JSON
 * object. */
struct dff_fleet_config *dff_platform_read_config (struct dff_str text);

/** Decodes a worker's entry in the list of workers. Returns: false when the entry names no usable
 * worker. */
bool dff_platform_read_upstream (const struct dff_row *row, struct dff_upstream *upstream);

/** What a row of the operators' table requests, apart from the configuration. */
enum dff_platform_request {
	/** No request of the kinds below. */
	DFF_PLATFORM_REQUEST_OTHER,
	/** A data centre is to be evacuated: its workers get no new tasks while the row exists. */
	DFF_PLATFORM_REQUEST_EVACUATION,
	/** A request for an evacuation whose data centre cannot be decoded. */
	DFF_PLATFORM_REQUEST_UNREADABLE,
};

/** Decodes a row of the operators' table, which may also be a removed one. @data_centre: (out): the
 * data centre to be evacuated. */
enum dff_platform_request dff_platform_read_evacuation (const struct dff_row *row,
							struct dff_name *data_centre);

/**
 * dff_platform_read_job:
 * @text: body of a submission
 * @fault: (out): message that says why @text is not valid; static
 *
 * Returns: (transfer full) (nullable): the plan, without id, team and class.
 */
struct dff_plan *dff_platform_read_job (struct dff_str text, const char **fault);

#endif
