#include "backing/memory_store.h"

#include <string.h>

struct dff_str
dff_memory_str (GBytes *bytes)
{
	struct dff_str str = {0};
	str.data = g_bytes_get_data (bytes, &str.len);
	/* data NULL stands for a deletion, but GBytes returns NULL for an empty value. */
	if (str.data == NULL)
		str.data = "";
	return str;
}

static GBytes *
bytes_from (struct dff_str str)
{
	return g_bytes_new (str.data, str.len);
}

struct dff_memory_row *
dff_memory_row_copy (const struct dff_memory_row *row)
{
	struct dff_memory_row *copy = g_new (struct dff_memory_row, 1);
	copy->key = g_bytes_ref (row->key);
	copy->value = g_bytes_ref (row->value);
	copy->revision = row->revision;
	return copy;
}

void
dff_memory_row_free (struct dff_memory_row *row)
{
	g_bytes_unref (row->key);
	g_bytes_unref (row->value);
	g_free (row);
}

static void
row_destroy (gpointer row)
{
	dff_memory_row_free (row);
}

static gint
row_compare (gconstpointer a, gconstpointer b, gpointer data)
{
	(void)data;
	const struct dff_memory_row *left = a;
	const struct dff_memory_row *right = b;
	if (left->revision != right->revision)
		return left->revision < right->revision ? -1 : 1;
	/* The start of a scan has no key: it sorts after every row of its revision. */
	if (left->key == NULL || right->key == NULL)
		return (left->key == NULL) - (right->key == NULL);
	return g_bytes_compare (left->key, right->key);
}

void
dff_memory_store_init (struct dff_memory_store *store, const struct dff_memory_limits *limits)
{
	memset (store, 0, sizeof (*store));
	store->rows = g_hash_table_new_full (g_bytes_hash, g_bytes_equal, NULL, row_destroy);
	store->rows_by_revision = g_tree_new_full (row_compare, NULL, NULL, NULL);
	store->write_ids =
		g_hash_table_new_full (dff_name_hash, dff_name_equal_func, g_free, g_free);
	g_queue_init (&store->write_id_order);
	store->objects =
		g_hash_table_new_full (g_bytes_hash, g_bytes_equal, (GDestroyNotify)g_bytes_unref,
				       (GDestroyNotify)g_bytes_unref);
	store->limits = *limits;
}

void
dff_memory_store_clear (struct dff_memory_store *store)
{
	g_tree_destroy (store->rows_by_revision);
	g_hash_table_destroy (store->rows);
	g_hash_table_destroy (store->write_ids);
	g_queue_clear (&store->write_id_order);
	g_hash_table_destroy (store->objects);
}

static struct dff_memory_row *
find_row (const struct dff_memory_store *store, struct dff_str key)
{
	g_autoptr (GBytes) bytes = g_bytes_new_static (key.data, key.len);
	return g_hash_table_lookup (store->rows, bytes);
}

void
dff_memory_store_get (const struct dff_memory_store *store, const GPtrArray *keys, GPtrArray *rows)
{
	for (guint i = 0; i < keys->len; i++) {
		const struct dff_memory_row *row =
			g_hash_table_lookup (store->rows, keys->pdata[i]);
		if (row != NULL)
			g_ptr_array_add (rows, dff_memory_row_copy (row));
	}
}

static bool
has_prefix (GBytes *key, struct dff_str prefix)
{
	struct dff_str str = dff_memory_str (key);
	return str.len >= prefix.len &&
	       (prefix.len == 0 || memcmp (str.data, prefix.data, prefix.len) == 0);
}

/* A page never ends within a commit. The next scan starts after the last revision returned and
 * would skip the other rows of that commit: no holder would load a job that is in the table. */
bool
dff_memory_store_scan (const struct dff_memory_store *store,
		       struct dff_str prefix,
		       int64_t after,
		       size_t limit,
		       GPtrArray *rows)
{
	struct dff_memory_row start = {.key = NULL, .revision = after};
	size_t max_bytes = store->limits.max_scan_bytes;
	size_t n_bytes = 0;
	int64_t last_revision = after;
	for (GTreeNode *node = g_tree_upper_bound (store->rows_by_revision, &start); node != NULL;
	     node = g_tree_node_next (node)) {
		const struct dff_memory_row *row = g_tree_node_value (node);
		if (!has_prefix (row->key, prefix))
			continue;
		bool full = rows->len >= limit || (max_bytes != 0 && n_bytes >= max_bytes);
		if (full && rows->len > 0 && row->revision != last_revision)
			return true;
		g_ptr_array_add (rows, dff_memory_row_copy (row));
		n_bytes += g_bytes_get_size (row->key) + g_bytes_get_size (row->value);
		last_revision = row->revision;
	}
	return false;
}

static bool
conditions_hold (const struct dff_memory_store *store, const struct dff_table_txn *txn)
{
	for (size_t i = 0; i < txn->n_conditions; i++) {
		const struct dff_memory_row *row = find_row (store, txn->conditions[i].key);
		int64_t revision = row == NULL ? 0 : row->revision;
		if (revision != txn->conditions[i].revision)
			return false;
	}
	return true;
}

static bool
within_limits (const struct dff_memory_store *store, const struct dff_table_txn *txn)
{
	const struct dff_memory_limits *limits = &store->limits;
	size_t n_rows = g_hash_table_size (store->rows);
	for (size_t i = 0; i < txn->n_writes; i++) {
		const struct dff_table_write *write = &txn->writes[i];
		if (write->value.data == NULL)
			continue;
		if (limits->max_row_bytes != 0 && write->value.len > limits->max_row_bytes)
			return false;
		if (find_row (store, write->key) == NULL)
			n_rows++;
	}
	return limits->max_rows == 0 || n_rows <= limits->max_rows;
}

static void
apply_write (struct dff_memory_store *store, const struct dff_table_write *write)
{
	struct dff_memory_row *old = find_row (store, write->key);
	if (old != NULL) {
		g_tree_remove (store->rows_by_revision, old);
		g_hash_table_remove (store->rows, old->key);
	}
	if (write->value.data == NULL)
		return;
	struct dff_memory_row *row = g_new (struct dff_memory_row, 1);
	row->key = bytes_from (write->key);
	row->value = bytes_from (write->value);
	row->revision = store->revision;
	g_hash_table_insert (store->rows, row->key, row);
	g_tree_insert (store->rows_by_revision, row, row);
}

static void
record_write_id (struct dff_memory_store *store, const struct dff_name *id, int64_t revision)
{
	struct dff_name *key = dff_name_dup (id);
	g_hash_table_insert (store->write_ids, key, g_memdup2 (&revision, sizeof (revision)));
	g_queue_push_tail (&store->write_id_order, key);
	if (store->limits.max_write_ids == 0)
		return;
	while (store->write_id_order.length > store->limits.max_write_ids)
		g_hash_table_remove (store->write_ids, g_queue_pop_head (&store->write_id_order));
}

enum dff_table_outcome
dff_memory_store_commit (struct dff_memory_store *store,
			 const struct dff_table_txn *txn,
			 int64_t *revision)
{
	const int64_t *earlier = g_hash_table_lookup (store->write_ids, &txn->write_id);
	if (earlier != NULL) {
		*revision = *earlier == 0 ? store->revision : *earlier;
		return *earlier == 0 ? DFF_TABLE_CONFLICT : DFF_TABLE_OK;
	}
	*revision = store->revision;
	if (!conditions_hold (store, txn)) {
		record_write_id (store, &txn->write_id, 0);
		return DFF_TABLE_CONFLICT;
	}
	if (!within_limits (store, txn))
		return DFF_TABLE_UNAVAILABLE;
	store->revision++;
	for (size_t i = 0; i < txn->n_writes; i++)
		apply_write (store, &txn->writes[i]);
	record_write_id (store, &txn->write_id, store->revision);
	*revision = store->revision;
	return DFF_TABLE_OK;
}

enum dff_table_outcome
dff_memory_store_lookup (struct dff_memory_store *store,
			 const struct dff_name *write_id,
			 int64_t *revision)
{
	const int64_t *earlier = g_hash_table_lookup (store->write_ids, write_id);
	*revision = store->revision;
	if (earlier != NULL && *earlier != 0) {
		*revision = *earlier;
		return DFF_TABLE_OK;
	}
	if (earlier == NULL)
		record_write_id (store, write_id, 0);
	return DFF_TABLE_CONFLICT;
}

enum dff_object_outcome
dff_memory_store_put (struct dff_memory_store *store, GBytes *key, GBytes *data)
{
	GBytes *old = g_hash_table_lookup (store->objects, key);
	size_t total = store->object_bytes + g_bytes_get_size (data);
	if (old != NULL)
		total -= g_bytes_get_size (old);
	if (store->limits.max_object_bytes != 0 && total > store->limits.max_object_bytes)
		return DFF_OBJECT_UNAVAILABLE;
	store->object_bytes = total;
	g_hash_table_replace (store->objects, g_bytes_ref (key), g_bytes_ref (data));
	return DFF_OBJECT_OK;
}

GBytes *
dff_memory_store_object (const struct dff_memory_store *store, GBytes *key)
{
	GBytes *data = g_hash_table_lookup (store->objects, key);
	return data == NULL ? NULL : g_bytes_ref (data);
}
