#ifndef DFF_BENCH_SLOPES_SITE_H
#define DFF_BENCH_SLOPES_SITE_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>

#include "backing/memory.h"
#include "bench/slopes/relay.h"
#include "common/cleanup.h"
#include "common/http_client.h"

/*
 * A whole site in one process and event loop, on loopback: the stand-in platform behind a counting
 * relay, stand-in workers, and daemons set up as by `dragonflyfold serve`.
 */

#define SITE_DAEMONS_MAX 16

struct site_options {
	int daemons;
	/** Stand-in workers of the daemons' region. */
	int workers;
	/** Workers of another region: in the instance list and the pool, but not running. */
	int remote_workers;
	int teams;
};

struct site;

/** Returns: the site, once a daemon holds the cell and every daemon has a pool. */
struct site *site_new (const struct site_options *options);

void site_free (struct site *site);

DFF_DEFINE_CLEANUP (site, site_free);

/** Runs the loop for @ms. */
void site_run (struct site *site, int ms);

/** Returns: calls that have reached the platform. */
struct dff_memory_counts site_store_counts (const struct site *site);

/** Returns: traffic between the daemons and the platform. */
struct relay_counts site_platform_traffic (const struct site *site);

/** Returns: the address of daemon @index. */
const struct dff_name *site_address (const struct site *site, int index);

struct event_base *site_base (const struct site *site);

/** Calls of the driver answered with a status below 300, and all answered calls. */
struct site_answers {
	int good;
	int all;
};

struct site_call {
	enum evhttp_cmd_type method;
	const char *path;
	/** (nullable) */
	const char *body;
	/** Bearer token: "team-1", "operator". */
	const char *token;
	/** (nullable) */
	const char *idempotency_key;
	/** (nullable): value of If-Match. */
	const char *generation;
	bool idempotent;
};

/** Sends a call to the next daemon in turn. */
void site_send (struct site *site, const struct site_call *call);

/** Runs the loop until all calls are answered. */
struct site_answers site_wait (struct site *site);

/** Returns: (transfer full): the pool file. */
GString *site_pool_text (const struct site *site);

#endif
