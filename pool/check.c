#include "pool/check.h"

#include "common/digest.h"
#include "pool/packing.h"

static const struct dff_rack *
pool_rack (const struct dff_pool *pool, guint index)
{
	return &g_array_index (pool->racks, struct dff_rack, index);
}

static const struct dff_team *
pool_team (const struct dff_pool *pool, guint index)
{
	return &g_array_index (pool->teams, struct dff_team, index);
}

/* Reports an error at the path that @format gives, such as "teams[%u].name". */
G_GNUC_PRINTF (3, 4)
static void
report_at (struct dff_pool_reader *reader, const char *expected, const char *format, ...)
{
	va_list args;
	va_start (args, format);
	g_string_vprintf (reader->path, format, args);
	va_end (args);
	dff_pool_reader_report (reader, DFF_POOL_ERROR_FIELD, "%s", expected);
	g_string_truncate (reader->path, 0);
}

/* Returns: false if @name is a duplicate. A name that failed to parse is empty and passes. */
static bool
set_add (GHashTable *set, const struct dff_name *name)
{
	return dff_name_is_empty (name) || g_hash_table_add (set, (gpointer)name);
}

/* The entries of every table begin with their name. */
static void
check_unique_names (struct dff_pool_reader *reader, const GArray *table, const char *key)
{
	g_autoptr (GHashTable) seen = g_hash_table_new (dff_name_hash, dff_name_equal_func);
	guint size = g_array_get_element_size ((GArray *)table);
	for (guint i = 0; i < table->len; i++) {
		const void *entry = table->data + (size_t)i * size;
		if (!set_add (seen, entry))
			report_at (reader, "expected a name used once", "%s[%u].name", key, i);
	}
}

static void
check_workers (struct dff_pool_reader *reader, const struct dff_pool *pool)
{
	g_autoptr (GHashTable) seen = g_hash_table_new (dff_name_hash, dff_name_equal_func);
	for (guint i = 0; i < pool->racks->len; i++) {
		const struct dff_rack *rack = pool_rack (pool, i);
		for (guint j = 0; j < rack->workers->len; j++) {
			if (set_add (seen, &g_array_index (rack->workers, struct dff_name, j)))
				continue;
			report_at (reader, "expected a worker name used once",
				   "racks[%u].workers[%u]", i, j);
		}
	}
}

static void
check_data_centres (struct dff_pool_reader *reader, const struct dff_pool *pool)
{
	g_autoptr (GHashTable) regions = g_hash_table_new (dff_name_hash, dff_name_equal_func);
	for (guint i = 0; i < pool->racks->len; i++) {
		const struct dff_rack *rack = pool_rack (pool, i);
		const struct dff_name *region = g_hash_table_lookup (regions, &rack->data_centre);
		if (region == NULL) {
			g_hash_table_insert (regions, (gpointer)&rack->data_centre,
					     (gpointer)&rack->region);
		} else if (!dff_name_equal (region, &rack->region)) {
			report_at (reader, "expected the region of the data centre's other racks",
				   "racks[%u].region", i);
		}
	}
}

static void
check_services (struct dff_pool_reader *reader, const struct dff_pool *pool)
{
	for (guint i = 0; i < pool->services->len; i++) {
		const struct dff_service *service =
			&g_array_index (pool->services, struct dff_service, i);
		for (guint j = 0; j < service->teams->len; j++) {
			const struct dff_name *team =
				&g_array_index (service->teams, struct dff_name, j);
			if (dff_pool_find_team (pool, team) == NULL)
				report_at (reader, "expected the name of a team of this file",
					   "services[%u].teams[%u]", i, j);
		}
	}
}

/* A token of two owners would give its bearer the rights of the owner that is compared last. */
static void
check_digests (struct dff_pool_reader *reader,
	       GHashTable *seen,
	       const GArray *digests,
	       const char *key,
	       guint index)
{
	for (guint i = 0; i < digests->len; i++) {
		const char *digest = digests->data + (size_t)i * DFF_DIGEST_BYTES;
		GBytes *bytes = g_bytes_new_static (digest, DFF_DIGEST_BYTES);
		if (!g_hash_table_add (seen, bytes))
			report_at (reader, "expected a token digest used once",
				   "%s[%u].token_digests", key, index);
	}
}

static void
check_tokens (struct dff_pool_reader *reader, const struct dff_pool *pool)
{
	g_autoptr (GHashTable) seen = g_hash_table_new_full (g_bytes_hash, g_bytes_equal,
							     (GDestroyNotify)g_bytes_unref, NULL);
	for (guint i = 0; i < pool->teams->len; i++)
		check_digests (reader, seen, pool_team (pool, i)->token_digests, "teams", i);
	for (guint i = 0; i < pool->operators->len; i++) {
		const struct dff_operator *entry =
			&g_array_index (pool->operators, struct dff_operator, i);
		check_digests (reader, seen, entry->token_digests, "operators", i);
	}
}

static bool
pool_has_region (const struct dff_pool *pool, const struct dff_name *region)
{
	for (guint i = 0; i < pool->racks->len; i++) {
		if (dff_name_equal (&pool_rack (pool, i)->region, region))
			return true;
	}
	return false;
}

static void
check_team_guarantees (struct dff_pool_reader *reader, const struct dff_pool *pool, guint index)
{
	const struct dff_team *team = pool_team (pool, index);
	int64_t sum = 0;
	for (guint i = 0; i < team->guarantees->len; i++) {
		const struct dff_guarantee *guarantee =
			&g_array_index (team->guarantees, struct dff_guarantee, i);
		sum += (int64_t)guarantee->gangs * guarantee->accelerators;
		if (!dff_name_is_empty (&guarantee->region) &&
		    !pool_has_region (pool, &guarantee->region))
			report_at (reader, "expected the region of a rack of this file",
				   "teams[%u].guarantees[%u].region", index, i);
	}
	if (team->quota_accelerators > 0 && sum > team->quota_accelerators) {
		report_at (reader,
			   "expected 0 or at least the accelerators of the team's guarantees",
			   "teams[%u].quota_accelerators", index);
	}
}

static void
check_packing (struct dff_pool_reader *reader, const struct dff_pool *pool)
{
	struct dff_pool_pack_failure failure = dff_pool_pack (pool);
	if (!failure.found)
		return;
	const struct dff_team *team = pool_team (pool, failure.team);
	const struct dff_guarantee *guarantee =
		&g_array_index (team->guarantees, struct dff_guarantee, failure.guarantee);
	g_string_printf (reader->path, "teams[%u].guarantees[%u]", failure.team, failure.guarantee);
	dff_pool_reader_report (reader, DFF_POOL_ERROR_DOES_NOT_FIT,
				"expected all guaranteed shapes to fit the racks at once; team %s: "
				"%d gangs of %d adjacent accelerators do not",
				team->name.data, guarantee->gangs, guarantee->accelerators);
	g_string_truncate (reader->path, 0);
}

void
dff_pool_check (struct dff_pool_reader *reader, const struct dff_pool *pool)
{
	check_unique_names (reader, pool->racks, "racks");
	check_unique_names (reader, pool->teams, "teams");
	check_unique_names (reader, pool->services, "services");
	check_unique_names (reader, pool->operators, "operators");
	check_workers (reader, pool);
	check_data_centres (reader, pool);
	check_services (reader, pool);
	check_tokens (reader, pool);
	for (guint i = 0; i < pool->teams->len; i++)
		check_team_guarantees (reader, pool, i);
	/* The result of packing entries that are invalid would be meaningless. */
	if (reader->n_errors == 0)
		check_packing (reader, pool);
}
