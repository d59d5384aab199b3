#include "pool/pool.h"

#include <sodium.h>

#include "common/digest.h"

/* Unit in which fragmentation is counted, in accelerators, if no shape fits in a rack. */
#define DFF_RACK_SHAPE_DEFAULT 8

G_DEFINE_QUARK (dff_pool_error, dff_pool_error)

static void
team_clear (gpointer data)
{
	struct dff_team *team = data;
	g_array_unref (team->token_digests);
	g_array_unref (team->guarantees);
}

static void
service_clear (gpointer data)
{
	g_array_unref (((struct dff_service *)data)->teams);
}

static void
rack_clear (gpointer data)
{
	struct dff_rack *rack = data;
	g_array_unref (rack->workers);
	if (rack->traits != NULL)
		g_array_unref (rack->traits);
}

static void
operator_clear (gpointer data)
{
	g_array_unref (((struct dff_operator *)data)->token_digests);
}

static GArray *
table_new (guint size, GDestroyNotify clear)
{
	GArray *table = g_array_new (FALSE, TRUE, size);
	g_array_set_clear_func (table, clear);
	return table;
}

struct dff_pool *
dff_pool_new (void)
{
	struct dff_pool *pool = g_new0 (struct dff_pool, 1);
	pool->teams = table_new (sizeof (struct dff_team), team_clear);
	pool->services = table_new (sizeof (struct dff_service), service_clear);
	pool->racks = table_new (sizeof (struct dff_rack), rack_clear);
	pool->operators = table_new (sizeof (struct dff_operator), operator_clear);
	return pool;
}

void
dff_pool_free (struct dff_pool *pool)
{
	if (pool == NULL)
		return;
	g_array_unref (pool->teams);
	g_array_unref (pool->services);
	g_array_unref (pool->racks);
	g_array_unref (pool->operators);
	g_free (pool);
}

static GArray *
copy_array (const GArray *array)
{
	return g_array_copy ((GArray *)array);
}

struct dff_pool *
dff_pool_copy (const struct dff_pool *pool)
{
	struct dff_pool *copy = dff_pool_new ();
	copy->generation = pool->generation;
	copy->weights = pool->weights;
	for (guint i = 0; i < pool->teams->len; i++) {
		struct dff_team team = g_array_index (pool->teams, struct dff_team, i);
		team.token_digests = copy_array (team.token_digests);
		team.guarantees = copy_array (team.guarantees);
		g_array_append_val (copy->teams, team);
	}
	for (guint i = 0; i < pool->services->len; i++) {
		struct dff_service service = g_array_index (pool->services, struct dff_service, i);
		service.teams = copy_array (service.teams);
		g_array_append_val (copy->services, service);
	}
	for (guint i = 0; i < pool->racks->len; i++) {
		struct dff_rack rack = g_array_index (pool->racks, struct dff_rack, i);
		rack.workers = copy_array (rack.workers);
		if (rack.traits != NULL)
			rack.traits = copy_array (rack.traits);
		g_array_append_val (copy->racks, rack);
	}
	for (guint i = 0; i < pool->operators->len; i++) {
		struct dff_operator entry = g_array_index (pool->operators, struct dff_operator, i);
		entry.token_digests = copy_array (entry.token_digests);
		g_array_append_val (copy->operators, entry);
	}
	return copy;
}

const struct dff_team *
dff_pool_find_team (const struct dff_pool *pool, const struct dff_name *name)
{
	for (guint i = 0; i < pool->teams->len; i++) {
		const struct dff_team *team = &g_array_index (pool->teams, struct dff_team, i);
		if (dff_name_equal (&team->name, name))
			return team;
	}
	return NULL;
}

const struct dff_service *
dff_pool_find_service (const struct dff_pool *pool, const struct dff_name *name)
{
	for (guint i = 0; i < pool->services->len; i++) {
		const struct dff_service *service =
			&g_array_index (pool->services, struct dff_service, i);
		if (dff_name_equal (&service->name, name))
			return service;
	}
	return NULL;
}

/* Compares with every digest of the list, even after a match: otherwise the time taken would show a
 * caller how much of a guessed token matched. */
static bool
digests_contain (const GArray *digests, const uint8_t *digest)
{
	bool found = false;
	for (guint i = 0; i < digests->len; i++) {
		const char *stored = digests->data + (size_t)i * DFF_DIGEST_BYTES;
		found |= sodium_memcmp (stored, digest, DFF_DIGEST_BYTES) == 0;
	}
	return found;
}

struct dff_principal
dff_pool_authenticate (const struct dff_pool *pool, struct dff_str token)
{
	struct dff_principal principal = {0};
	uint8_t digest[DFF_DIGEST_BYTES];
	dff_digest (token, digest);
	for (guint i = 0; i < pool->teams->len; i++) {
		const struct dff_team *team = &g_array_index (pool->teams, struct dff_team, i);
		if (digests_contain (team->token_digests, digest))
			principal = (struct dff_principal){true, false, team->name};
	}
	for (guint i = 0; i < pool->operators->len; i++) {
		const struct dff_operator *entry =
			&g_array_index (pool->operators, struct dff_operator, i);
		if (digests_contain (entry->token_digests, digest))
			principal = (struct dff_principal){true, true, entry->name};
	}
	return principal;
}

static int32_t
sum_slots (const struct dff_pool *pool, const struct dff_rack *rack, bool only_dedicated)
{
	int64_t slots = 0;
	for (guint i = 0; i < pool->services->len; i++) {
		const struct dff_service *service =
			&g_array_index (pool->services, struct dff_service, i);
		if (service->dedicated_request_slots || !only_dedicated)
			slots += service->request_slots;
	}
	return (int32_t)MIN (slots, rack->per_worker.slots / 2);
}

int32_t
dff_pool_request_slots (const struct dff_pool *pool, const struct dff_rack *rack)
{
	return sum_slots (pool, rack, false);
}

int32_t
dff_pool_dedicated_slots (const struct dff_pool *pool, const struct dff_rack *rack)
{
	return sum_slots (pool, rack, true);
}

const struct dff_rack *
dff_pool_find_rack (const struct dff_pool *pool, const struct dff_name *name)
{
	for (guint i = 0; i < pool->racks->len; i++) {
		const struct dff_rack *rack = &g_array_index (pool->racks, struct dff_rack, i);
		if (dff_name_equal (&rack->name, name))
			return rack;
	}
	return NULL;
}

static int32_t
pool_largest_rack (const struct dff_pool *pool)
{
	int32_t largest = 0;
	for (guint i = 0; i < pool->racks->len; i++) {
		const struct dff_rack *rack = &g_array_index (pool->racks, struct dff_rack, i);
		int32_t size = (int32_t)rack->workers->len * rack->per_worker.accelerators;
		largest = MAX (largest, size);
	}
	return largest;
}

int32_t
dff_pool_largest_rack_shape (const struct dff_pool *pool)
{
	int32_t largest_rack = pool_largest_rack (pool);
	int32_t shape = 0;
	for (guint i = 0; i < pool->teams->len; i++) {
		const struct dff_team *team = &g_array_index (pool->teams, struct dff_team, i);
		for (guint j = 0; j < team->guarantees->len; j++) {
			int32_t size = g_array_index (team->guarantees, struct dff_guarantee, j)
					       .accelerators;
			if (size <= largest_rack)
				shape = MAX (shape, size);
		}
	}
	return shape > 0 ? shape : DFF_RACK_SHAPE_DEFAULT;
}
