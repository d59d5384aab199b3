#ifndef DFF_TESTS_CORE_FIXTURE_H
#define DFF_TESTS_CORE_FIXTURE_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "core/core.h"

/* Pools, specs and events for the tests of the decision core. */

static inline void
fixture_pool_clear_team (gpointer data)
{
	struct dff_team *team = data;
	g_array_unref (team->token_digests);
	g_array_unref (team->guarantees);
}

static inline void
fixture_pool_clear_rack (gpointer data)
{
	struct dff_rack *rack = data;
	g_array_unref (rack->workers);
}

/** Initialises a pool of @n_racks racks "r0".. with @per_rack workers each, "w0".. with 8 slots and
 * @accelerators each. */
static inline void
fixture_pool_init (struct dff_pool *pool, int n_racks, int per_rack, int accelerators)
{
	*pool = (struct dff_pool){.weights = {.completion = 0.5, .fragmentation = 0.5}};
	pool->teams = g_array_new (FALSE, TRUE, sizeof (struct dff_team));
	pool->racks = g_array_new (FALSE, TRUE, sizeof (struct dff_rack));
	pool->services = g_array_new (FALSE, TRUE, sizeof (struct dff_service));
	pool->operators = g_array_new (FALSE, TRUE, sizeof (struct dff_operator));
	g_array_set_clear_func (pool->teams, fixture_pool_clear_team);
	g_array_set_clear_func (pool->racks, fixture_pool_clear_rack);
	for (int i = 0; i < n_racks; i++) {
		struct dff_rack rack = {
			.name = dff_name_printf ("r%d", i),
			.data_centre = dff_name_from ("dc0"),
			.region = dff_name_from ("region0"),
			.workers = g_array_new (FALSE, TRUE, sizeof (struct dff_name)),
			.per_worker = {.slots = 8,
				       .cores = 32,
				       .memory_gb = 64,
				       .accelerators = accelerators},
		};
		for (int j = 0; j < per_rack; j++) {
			struct dff_name worker = dff_name_printf ("w%d", i * per_rack + j);
			g_array_append_val (rack.workers, worker);
		}
		g_array_append_val (pool->racks, rack);
	}
}

/** Adds a team; with @gangs 0 it has no guarantee. */
static inline void
fixture_pool_add_team (struct dff_pool *pool, const char *name, int gangs, int accelerators)
{
	struct dff_team team = {
		.name = dff_name_from (name),
		.token_digests = g_array_new (FALSE, TRUE, 1),
		.guarantees = g_array_new (FALSE, TRUE, sizeof (struct dff_guarantee)),
		.weight = 1,
	};
	struct dff_guarantee guarantee = {.gangs = gangs, .accelerators = accelerators};
	if (gangs > 0)
		g_array_append_val (team.guarantees, guarantee);
	g_array_append_val (pool->teams, team);
}

static inline void
fixture_pool_clear (struct dff_pool *pool)
{
	g_array_unref (pool->teams);
	g_array_unref (pool->racks);
	g_array_unref (pool->services);
	g_array_unref (pool->operators);
}

/** Returns: the spec of an idempotent job of team "a"; tests change the fields they need. */
static inline struct dff_job_spec
fixture_spec (const char *id, int gang, int accelerators)
{
	return (struct dff_job_spec){
		.id = dff_name_from (id),
		.team = dff_name_from ("a"),
		.service = dff_name_from ("casework"),
		.gang = gang,
		.per_task = {.slots = 1, .cores = 1, .memory_gb = 1, .accelerators = accelerators},
		.adjacency = gang > 1 ? DFF_ADJACENCY_NEIGHBOURS : DFF_ADJACENCY_NONE,
		.checkpoint = true,
		.idempotent = true,
		.declared_ms = 60000,
		.max_attempts = 3,
	};
}

static inline void
fixture_worker_state (struct dff_core *core, const char *worker, enum dff_worker_state state)
{
	struct dff_event event = {.type = DFF_EVENT_WORKER_STATE,
				  .worker = dff_name_from (worker),
				  .worker_state = state};
	dff_core_handle_event (core, &event, 0);
}

#endif
