#ifndef DFF_CLIENT_RESULT_H
#define DFF_CLIENT_RESULT_H

#include "client/call.h"

/**
 * dff_result_fetch:
 * @wait: ask again while the job has not ended, until the connection's time is over
 *
 * Returns: 200 and the whole result, checked against its digest; 202 not ended; 410 ended without
 * a result; else what went wrong. A result that does not have its digest is marked
 * damaged.
 */
struct dff_call_response *
dff_result_fetch (struct dff_api_client *client, const struct dff_name *job, bool wait);

/** Says how the job ended when it has no result. Returns: the exit code for @response. */
int dff_result_report (const struct dff_call_response *response, const struct dff_name *job);

#endif
