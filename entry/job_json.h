#ifndef DFF_ENTRY_JOB_JSON_H
#define DFF_ENTRY_JOB_JSON_H

#include <jansson.h>

#include "cell/job_row.h"
#include "common/str.h"
#include "pool/pool.h"

/* JSON form of a job for callers (docs/API.md). */

/** Why a submission was refused. */
struct dff_job_rejection {
	/** HTTP status; 0: not rejected. */
	int status;
	/** Stable code for programs. Static string. */
	const char *code;
	/** Text for people; owned by the rejection, see dff_job_rejection_clear(). */
	char *detail;
};

void dff_job_rejection_clear (struct dff_job_rejection *rejection);

/**
 * dff_job_parse:
 * @text: one JSON object
 * @team: the team that submits
 * @default_region: region for objects without one
 * @rejection: (out): why the text is rejected
 *
 * Checks syntax, unknown members, types and ranges. The job's id is left empty.
 *
 * Returns: (transfer full) (nullable): the row to be recorded.
 */
struct dff_job_row *dff_job_parse (struct dff_str text,
				   const struct dff_name *team,
				   const struct dff_name *default_region,
				   struct dff_job_rejection *rejection);

/** Returns: the job in the form that callers read. */
json_t *dff_job_to_json (const struct dff_job_row *row);

/** Returns: whether both rows were submitted with the same content. */
bool dff_job_same_submission (const struct dff_job_row *a, const struct dff_job_row *b);

/** Returns: the name of the state in JSON. */
const char *dff_job_row_state_name (enum dff_job_row_state state);

#endif
