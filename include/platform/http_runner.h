#ifndef DFF_PLATFORM_HTTP_RUNNER_H
#define DFF_PLATFORM_HTTP_RUNNER_H

#include "common/cleanup.h"
#include "common/http_client.h"
#include "upstream/runner.h"

/* Implements struct dff_runner by the platform's workers, over HTTP/1.1 and JSON. */

struct dff_http_runner;

/** Returns: (transfer full): a runner that uses @client, which is borrowed. */
struct dff_http_runner *dff_http_runner_new (struct dff_http_client *client);

void dff_http_runner_free (struct dff_http_runner *runner);

DFF_DEFINE_CLEANUP (dff_http_runner, dff_http_runner_free);

/** Returns: (transfer none): the interface, valid as long as @runner. */
const struct dff_runner *dff_http_runner_interface (struct dff_http_runner *runner);

#endif
