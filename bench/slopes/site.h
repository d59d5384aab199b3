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
 * A whole site in one process and on one loop: the stand-in platform behind a counting relay,
 * stand-in workers, and daemons wired as `dragonflyfold serve` wires them, on loopback.
 */

#define SITE_DAEMONS_MAX 16

struct site_options {
	int daemons;
	/** Stand-in workers of the daemons' region. */
	int workers;
	/** Workers of another region: listed and in the pool, and that is all. */
	int remote_workers;
	int teams;
};

struct site;

/** Returns: once a holder holds the cell and every daemon has a pool. */
struct site *site_new (const struct site_options *options);

void site_free (struct site *site);

DFF_DEFINE_CLEANUP (site, site_free);

/** Lets the loop run for @ms. */
void site_run (struct site *site, int ms);

/** Calls and accesses that reached the platform so far. */
struct dff_memory_counts site_store_counts (const struct site *site);

/** What went between the daemons and the platform. */
struct relay_counts site_platform_traffic (const struct site *site);

/** Returns: the address of daemon @index. */
const struct dff_name *site_address (const struct site *site, int index);

struct event_base *site_base (const struct site *site);

/** Calls of the driver that were answered with a status below 300, and all that were answered. */
struct site_answers {
	int good;
	int all;
};

struct site_call {
	enum evhttp_cmd_type method;
	const char *path;
	/** (nullable) */
	const char *body;
	/** Also the bearer: "team-1", "operator". */
	const char *token;
	/** (nullable) */
	const char *idempotency_key;
	/** (nullable): of If-Match. */
	const char *generation;
	bool idempotent;
};

/** Sends a call to the next daemon in turn. */
void site_send (struct site *site, const struct site_call *call);

/** Lets the loop run until all calls are answered. */
struct site_answers site_wait (struct site *site);

/** Returns: (transfer full): the pool file. */
GString *site_pool_text (const struct site *site);

#endif
