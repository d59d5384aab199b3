#ifndef DFF_POOL_POOL_H
#define DFF_POOL_POOL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/cleanup.h"
#include "common/str.h"

/*
 * The pool file: teams, guaranteed shapes, services, racks and weights. It is applied as a whole
 * and is immutable once parsed. Format: docs/SESSIONS.md and dragonflyfold-pool(5).
 */

/** A capacity vector. All members count whole units; memory is in GiB. */
struct dff_resources {
	int32_t slots;
	int32_t cores;
	int32_t memory_gb;
	int32_t accelerators;
};

/** @gangs gangs of @accelerators adjacent accelerators each that a team may claim at any time. */
struct dff_guarantee {
	int32_t gangs;
	int32_t accelerators;
	/** Region of the gangs; empty: any one region. */
	struct dff_name region;
};

struct dff_team {
	struct dff_name name;
	/** SHA-256 digests of the bearer tokens, 32 bytes each. */
	GArray *token_digests;
	/** Elements: struct dff_guarantee. */
	GArray *guarantees;
	/** Upper bound on accelerators in use at once, guarantees included; 0: none. */
	int32_t quota_accelerators;
	/** Accelerators, anywhere, that are assured to the team's urgent jobs: while these jobs
	 * need no more in total, they precede other teams' urgent jobs and may preempt them; 0:
	 * none. */
	int32_t assured_accelerators;
	/** Maximum number of jobs that are admitted and have not ended. */
	int32_t max_queued;
	/** Share of borrowed capacity, relative to other teams; at least 1. */
	int32_t weight;
};

struct dff_service {
	struct dff_name name;
	/** Teams that may use the service; empty: every team. Elements: struct dff_name. */
	GArray *teams;
	/** Slots for short requests on every worker. */
	int32_t request_slots;
	/** Whether the request slots are dedicated, so that no job gets them; else requests get
	 * what jobs leave free. */
	bool dedicated_request_slots;
	/** Longest time that a short request may take, ms. */
	int32_t request_timeout_ms;
};

/** Maximum number of labels of a worker. */
#define DFF_WORKER_LABELS_MAX 4

/** Properties in which the workers of a rack may differ. */
struct dff_worker_traits {
	struct dff_resources capacity;
	/** Labels that a job may require; unused ones are empty. */
	struct dff_name labels[DFF_WORKER_LABELS_MAX];
};

struct dff_rack {
	struct dff_name name;
	struct dff_name data_centre;
	struct dff_name region;
	/** Names of the workers. Elements: struct dff_name. */
	GArray *workers;
	/** Capacity of each worker. */
	struct dff_resources per_worker;
	/** (nullable): properties of each worker, parallel to @workers; without them all are alike.
	 * Elements: struct dff_worker_traits. */
	GArray *traits;
};

struct dff_operator {
	struct dff_name name;
	GArray *token_digests;
};

struct dff_weights {
	/** Relative weights, each 0 to 1. */
	double completion;
	double fragmentation;
};

struct dff_pool {
	/** Number of pool files accepted so far; 0 for a file that was never applied. */
	int64_t generation;
	/** Revision of the table row that holds the pool; 0: not known. */
	int64_t revision;
	struct dff_weights weights;
	GArray *teams;     /**< Elements: struct dff_team. */
	GArray *services;  /**< Elements: struct dff_service. */
	GArray *racks;     /**< Elements: struct dff_rack, neighbours next to each other. */
	GArray *operators; /**< Elements: struct dff_operator. */
};

#define DFF_POOL_ERROR (dff_pool_error_quark ())

enum dff_pool_error {
	DFF_POOL_ERROR_SYNTAX,
	DFF_POOL_ERROR_FIELD,
	DFF_POOL_ERROR_DOES_NOT_FIT,
};

GQuark dff_pool_error_quark (void);

/**
 * dff_pool_parse:
 * @text: the JSON file
 * @source: name of the file, for messages
 * @errors: (nullable): every error found, one message each ("FILE:LINE: field: what was expected");
 *   elements: char *
 * @error: the first error
 *
 * Checks syntax, unknown keys, types, ranges, references between entries, and that all guaranteed
 * shapes can be packed into the racks at the same time.
 *
 * Returns: (transfer full) (nullable): the pool, to be freed with dff_pool_free().
 */
struct dff_pool *
dff_pool_parse (struct dff_str text, const char *source, GPtrArray *errors, GError **error);

/** Returns: (transfer full): an empty pool, to be filled in. */
struct dff_pool *dff_pool_new (void);

/** Returns: (transfer full): a deep copy, to be kept after a call that borrows @pool. */
struct dff_pool *dff_pool_copy (const struct dff_pool *pool);

void dff_pool_free (struct dff_pool *pool);

DFF_DEFINE_CLEANUP (dff_pool, dff_pool_free);

/** Returns: (nullable): the team called @name. */
const struct dff_team *dff_pool_find_team (const struct dff_pool *pool,
					   const struct dff_name *name);

/** Returns: (nullable): the service called @name. */
const struct dff_service *dff_pool_find_service (const struct dff_pool *pool,
						 const struct dff_name *name);

/** The owner of a bearer token. */
struct dff_principal {
	bool known;
	bool is_operator;
	/** Name of the team or operator. */
	struct dff_name name;
};

/**
 * dff_pool_authenticate:
 *
 * Compares the token's digest with every stored digest in constant time.
 */
struct dff_principal dff_pool_authenticate (const struct dff_pool *pool, struct dff_str token);

/**
 * dff_pool_request_slots:
 *
 * Returns: slots of each worker of @rack that may be granted to short requests: the sum over the
 * services, at most half of the worker's slots.
 */
int32_t dff_pool_request_slots (const struct dff_pool *pool, const struct dff_rack *rack);

/** Returns: dedicated slots of each worker of @rack, which no job gets: the sum over the services
 * that dedicate theirs, at most half of the worker's slots. */
int32_t dff_pool_dedicated_slots (const struct dff_pool *pool, const struct dff_rack *rack);

/** Returns: (nullable): the rack called @name. */
const struct dff_rack *dff_pool_find_rack (const struct dff_pool *pool,
					   const struct dff_name *name);

/** Returns: accelerators of the largest guaranteed shape that fits one rack; 8 if there is none. */
int32_t dff_pool_largest_rack_shape (const struct dff_pool *pool);

#endif
