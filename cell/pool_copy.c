#include "cell/cell_private.h"

/* The pool is lent to the cell for one call, but every take-over starts a new core that needs it.
 * Bearer tokens are left out: the cell has no use for them. */

static GArray *
copy_array (const GArray *array)
{
	return g_array_copy ((GArray *)array);
}

static void
clear_team (gpointer data)
{
	struct dff_team *team = data;
	g_array_unref (team->token_digests);
	g_array_unref (team->guarantees);
}

static void
clear_service (gpointer data)
{
	struct dff_service *service = data;
	g_array_unref (service->teams);
}

static void
clear_rack (gpointer data)
{
	struct dff_rack *rack = data;
	g_array_unref (rack->workers);
}

static GArray *
copy_teams (const GArray *teams)
{
	GArray *copies = g_array_new (FALSE, TRUE, sizeof (struct dff_team));
	g_array_set_clear_func (copies, clear_team);
	for (guint i = 0; i < teams->len; i++) {
		struct dff_team copy = g_array_index (teams, struct dff_team, i);
		copy.token_digests = g_array_new (FALSE, TRUE, 1);
		copy.guarantees = copy_array (copy.guarantees);
		g_array_append_val (copies, copy);
	}
	return copies;
}

static GArray *
copy_services (const GArray *services)
{
	GArray *copies = g_array_new (FALSE, TRUE, sizeof (struct dff_service));
	g_array_set_clear_func (copies, clear_service);
	for (guint i = 0; i < services->len; i++) {
		struct dff_service copy = g_array_index (services, struct dff_service, i);
		copy.teams = copy_array (copy.teams);
		g_array_append_val (copies, copy);
	}
	return copies;
}

static GArray *
copy_racks (const GArray *racks)
{
	GArray *copies = g_array_new (FALSE, TRUE, sizeof (struct dff_rack));
	g_array_set_clear_func (copies, clear_rack);
	for (guint i = 0; i < racks->len; i++) {
		struct dff_rack copy = g_array_index (racks, struct dff_rack, i);
		copy.workers = copy_array (copy.workers);
		g_array_append_val (copies, copy);
	}
	return copies;
}

struct dff_pool *
dff_cell_pool_copy (const struct dff_pool *pool)
{
	struct dff_pool *copy = g_new0 (struct dff_pool, 1);
	copy->generation = pool->generation;
	copy->weights = pool->weights;
	copy->teams = copy_teams (pool->teams);
	copy->services = copy_services (pool->services);
	copy->racks = copy_racks (pool->racks);
	copy->operators = g_array_new (FALSE, TRUE, sizeof (struct dff_operator));
	return copy;
}

void
dff_cell_pool_free (struct dff_pool *pool)
{
	if (pool == NULL)
		return;
	g_array_unref (pool->teams);
	g_array_unref (pool->services);
	g_array_unref (pool->racks);
	g_array_unref (pool->operators);
	g_free (pool);
}
