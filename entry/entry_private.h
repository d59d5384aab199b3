#ifndef DFF_ENTRY_ENTRY_PRIVATE_H
#define DFF_ENTRY_ENTRY_PRIVATE_H

#include <event2/http.h>
#include <glib.h>
#include <openssl/ssl.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/connections.h"
#include "core/core.h"
#include "entry/call.h"
#include "entry/deadline.h"
#include "entry/entry.h"
#include "entry/request.h"
#include "entry/result.h"
#include "entry/team_quota.h"

/* State of one entry, shared by the files of this folder. */

struct dff_entry_counters {
	int64_t *calls;
	int64_t *refused_auth;
	int64_t *refused_input;
	int64_t *refused_busy;
	int64_t *refused_store;
	int64_t *refused_draining;
	int64_t *jobs_accepted;
	int64_t *jobs_repeated;
	int64_t *record_unknown;
	int64_t *callers_lost;
	int64_t *connections_closed;
	int64_t *connections_open;
};

struct dff_entry {
	struct dff_entry_options options;
	/** One reference for the owner and one for each call in progress: table and store callbacks
	 * may come after the owner has freed the entry. */
	int32_t refs;
	bool closed;
	/** Calls in progress, including those whose connection is lost. */
	int32_t n_calls;
	struct evhttp *http;
	struct evhttp_bound_socket *socket;
	SSL_CTX *tls;
	struct dff_connections *connections;
	/** The connections of @http. */
	struct dff_connection_group *callers;
	struct dff_deadlines *deadlines;
	const struct dff_pool *pool; /**< Borrowed. */
	GString *pool_text;
	/** Has no jobs; only checks whether a job can ever run on the pool. */
	struct dff_core *admission;
	struct dff_team_quota *quota;
	struct dff_requests *requests;
	struct dff_results *results;
	GRand *rng;
	/** Bytes of all results that are being assembled or sent. */
	int64_t delivery_bytes;
	bool isolated;
	/** Grants were received at least once. Before, every short request would be refused, so the
	 * process is not ready. */
	bool has_grants;
	/** Not ready, but still accepting the calls that the load balancer sends. */
	bool leaving;
	bool draining;
	bool drain_requested;
	struct dff_entry_counters counters;
	/** Target of all pointers in @counters once the entry is closed. */
	int64_t discarded_counter;
};

struct dff_entry *dff_entry_ref (struct dff_entry *entry);

void dff_entry_unref (struct dff_entry *entry);

int64_t dff_entry_now_ms (const struct dff_entry *entry);

/** Returns: Retry-After for a refused caller, s, jittered, at least 1. */
int32_t dff_entry_retry_after_s (struct dff_entry *entry);

/** Returns: a name of 32 random hex digits. */
struct dff_name dff_entry_random_hash (struct dff_entry *entry);

#endif
