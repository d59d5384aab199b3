#ifndef DFF_CLIENT_RESULT_H
#define DFF_CLIENT_RESULT_H

#include "client/call.h"

/**
 * dff_result_fetch:
 * @wait: poll until the job has ended or the connection's timeout has passed
 *
 * Returns: (transfer full): the response. 200: the whole result, which matches its digest; 202: not
 * ended; 410: ended without a result; other: failed. On a wrong digest, status is 0 and
 * digest_mismatch is set.
 */
struct dff_call_response *
dff_result_fetch (struct dff_api_client *client, const struct dff_name *job, bool wait);

/** Prints how the job ended when it has no result. Returns: the exit code for @response. */
int dff_result_report (const struct dff_call_response *response, const struct dff_name *job);

#endif
