#include "record/key_locks.h"

struct key_use {
	int writers;
	int readers;
	/** Revision that the readers' conditions expect. */
	int64_t revision;
};

void
dff_key_locks_init (struct dff_key_locks *locks)
{
	locks->uses = g_hash_table_new_full (g_bytes_hash, g_bytes_equal,
					     (GDestroyNotify)g_bytes_unref, g_free);
}

void
dff_key_locks_clear (struct dff_key_locks *locks)
{
	g_hash_table_unref (locks->uses);
}

void
dff_key_locks_reset (struct dff_key_locks *locks)
{
	g_hash_table_remove_all (locks->uses);
}

static struct key_use *
find_use (const struct dff_key_locks *locks, struct dff_str key)
{
	g_autoptr (GBytes) bytes = g_bytes_new_static (key.data, key.len);
	return g_hash_table_lookup (locks->uses, bytes);
}

bool
dff_key_locks_conflict (const struct dff_key_locks *locks, const struct dff_table_txn *txn)
{
	for (size_t i = 0; i < txn->n_writes; i++) {
		if (find_use (locks, txn->writes[i].key) != NULL)
			return true;
	}
	for (size_t i = 0; i < txn->n_conditions; i++) {
		const struct key_use *use = find_use (locks, txn->conditions[i].key);
		if (use == NULL)
			continue;
		if (use->writers > 0 || use->revision != txn->conditions[i].revision)
			return true;
	}
	return false;
}

static struct key_use *
find_or_add_use (struct dff_key_locks *locks, struct dff_str key)
{
	struct key_use *use = find_use (locks, key);
	if (use != NULL)
		return use;
	use = g_new0 (struct key_use, 1);
	g_hash_table_insert (locks->uses, g_bytes_new (key.data, key.len), use);
	return use;
}

void
dff_key_locks_add (struct dff_key_locks *locks, const struct dff_table_txn *txn)
{
	for (size_t i = 0; i < txn->n_writes; i++)
		find_or_add_use (locks, txn->writes[i].key)->writers++;
	for (size_t i = 0; i < txn->n_conditions; i++) {
		struct key_use *use = find_or_add_use (locks, txn->conditions[i].key);
		use->readers++;
		use->revision = txn->conditions[i].revision;
	}
}

static void
drop_if_unused (struct dff_key_locks *locks, struct dff_str key)
{
	const struct key_use *use = find_use (locks, key);
	if (use == NULL || use->writers > 0 || use->readers > 0)
		return;
	g_autoptr (GBytes) bytes = g_bytes_new_static (key.data, key.len);
	g_hash_table_remove (locks->uses, bytes);
}

void
dff_key_locks_remove (struct dff_key_locks *locks, const struct dff_table_txn *txn)
{
	for (size_t i = 0; i < txn->n_writes; i++)
		find_use (locks, txn->writes[i].key)->writers--;
	for (size_t i = 0; i < txn->n_conditions; i++)
		find_use (locks, txn->conditions[i].key)->readers--;
	for (size_t i = 0; i < txn->n_writes; i++)
		drop_if_unused (locks, txn->writes[i].key);
	for (size_t i = 0; i < txn->n_conditions; i++)
		drop_if_unused (locks, txn->conditions[i].key);
}
