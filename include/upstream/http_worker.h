#ifndef DFF_UPSTREAM_HTTP_WORKER_H
#define DFF_UPSTREAM_HTTP_WORKER_H

#include <glib.h>

#include "common/cleanup.h"
#include "common/http_client.h"
#include "common/metrics.h"
#include "upstream/worker_client.h"

/* Workers met over HTTP and JSON (docs/BACKING.md, "Worker"). */

struct dff_http_worker;

struct dff_http_worker_options {
	/** Owned by the caller; outlives the worker client. */
	struct dff_http_client *http;
	struct dff_metrics *metrics;
	/** Time a worker may take to answer a command, ms. */
	int32_t command_timeout_ms;
	/** Time it may take to answer a renewal or query, ms. */
	int32_t renew_timeout_ms;
	/** How much longer it may wait with the answer to a renewal for something to report, ms. */
	int32_t renew_wait_ms;
};

/** Sets the timeouts: 500 ms for commands, 1000 ms for renewals and queries. */
void dff_http_worker_options_init (struct dff_http_worker_options *options);

/** Returns: (transfer full): @options is copied, its client is borrowed. */
struct dff_http_worker *dff_http_worker_new (const struct dff_http_worker_options *options);

/** The HTTP client must have been freed, or must have no call of this in progress. */
void dff_http_worker_free (struct dff_http_worker *worker);

DFF_DEFINE_CLEANUP (dff_http_worker, dff_http_worker_free);

/** Changes how long a worker may wait for something to report, ms. */
void dff_http_worker_set_renew_wait (struct dff_http_worker *worker, int32_t renew_wait_ms);

/** Returns: the interface; valid as long as @worker. Its callbacks never run before a call returns.
 */
const struct dff_worker_client *dff_http_worker_interface (struct dff_http_worker *worker);

#endif
