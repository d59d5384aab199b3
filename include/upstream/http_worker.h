#ifndef DFF_UPSTREAM_HTTP_WORKER_H
#define DFF_UPSTREAM_HTTP_WORKER_H

#include <glib.h>

#include "common/cleanup.h"
#include "common/http_client.h"
#include "common/metrics.h"
#include "upstream/worker_client.h"

/* Worker client over HTTP and JSON (docs/BACKING.md, "Worker"). */

struct dff_http_worker;

struct dff_http_worker_options {
	/** Borrowed; has to outlive the worker client. */
	struct dff_http_client *http;
	struct dff_metrics *metrics;
	/** Time a worker may take to answer a command, ms. */
	int32_t command_timeout_ms;
	/** Time a worker may take to answer a renewal or query, ms. */
	int32_t renew_timeout_ms;
	/** Additional time a worker may delay a renewal's answer until it has a change, ms. */
	int32_t renew_wait_ms;
};

/** Sets the timeouts: 500 ms for commands, 1000 ms for renewals and queries. */
void dff_http_worker_options_init (struct dff_http_worker_options *options);

/** Returns: (transfer full): a worker client; @options is copied, its HTTP client is borrowed. */
struct dff_http_worker *dff_http_worker_new (const struct dff_http_worker_options *options);

/** The HTTP client has to be freed before, or to have no call of @worker in progress. */
void dff_http_worker_free (struct dff_http_worker *worker);

DFF_DEFINE_CLEANUP (dff_http_worker, dff_http_worker_free);

/** Changes the option @renew_wait_ms. */
void dff_http_worker_set_renew_wait (struct dff_http_worker *worker, int32_t renew_wait_ms);

/** Returns: the interface; valid as long as @worker. No callback runs before its call returns. */
const struct dff_worker_client *dff_http_worker_interface (struct dff_http_worker *worker);

#endif
