#ifndef DFF_TESTS_ENTRY_HARNESS_PRIVATE_H
#define DFF_TESTS_ENTRY_HARNESS_PRIVATE_H

#include "harness.h"

/** Sends a short request to a worker; @ctx: the harness. See struct dff_worker_client. */
void harness_request_worker (void *ctx,
			     const struct dff_name *address,
			     const struct dff_name *service,
			     const struct dff_name *request_id,
			     struct dff_str body,
			     struct dff_str traceparent,
			     int32_t deadline_ms,
			     dff_request_func done,
			     void *user);

/** Answers the requests that are due. */
void harness_tick_workers (struct harness *harness);

/** Answers every request that is left, so that its memory is freed with the harness. */
void harness_drop_sent (struct harness *harness);

#endif
