#ifndef DFF_BACKING_MEMORY_STORE_H
#define DFF_BACKING_MEMORY_STORE_H

#include <glib.h>

#include "backing/memory.h"
#include "backing/object_store.h"
#include "backing/table.h"

/* The data of the in-memory platform: rows, write ids and objects. Every call takes effect
 * immediately; memory.c adds delays and faults. */

/** A stored row; reads return copies. */
struct dff_memory_row {
	GBytes *key;
	GBytes *value;
	int64_t revision;
};

struct dff_memory_store {
	/** GBytes key to struct dff_memory_row, owned. */
	GHashTable *rows;
	/** The same rows in order of revision, then key. */
	GTree *rows_by_revision;
	/** struct dff_name to int64_t revision; 0: the id is refused. */
	GHashTable *write_ids;
	/** The keys of write_ids, oldest first. */
	GQueue write_id_order;
	/** GBytes key to GBytes. */
	GHashTable *objects;
	size_t object_bytes;
	int64_t revision;
	struct dff_memory_limits limits;
};

void dff_memory_store_init (struct dff_memory_store *store, const struct dff_memory_limits *limits);

void dff_memory_store_clear (struct dff_memory_store *store);

/** Appends copies of the rows under @keys that exist to @rows. */
void
dff_memory_store_get (const struct dff_memory_store *store, const GPtrArray *keys, GPtrArray *rows);

/** Appends copies of rows to @rows, see dff_table's scan. Returns: whether more rows follow. */
bool dff_memory_store_scan (const struct dff_memory_store *store,
			    struct dff_str prefix,
			    int64_t after,
			    size_t limit,
			    GPtrArray *rows);

/** Applies @txn. @revision: (out): of the commit. Returns: OK, CONFLICT, or UNAVAILABLE when a
 * limit is reached. */
enum dff_table_outcome dff_memory_store_commit (struct dff_memory_store *store,
						const struct dff_table_txn *txn,
						int64_t *revision);

/** Returns: OK with the commit's @revision, or CONFLICT, after which @write_id is refused. */
enum dff_table_outcome dff_memory_store_lookup (struct dff_memory_store *store,
						const struct dff_name *write_id,
						int64_t *revision);

/** Returns: OK, or UNAVAILABLE when a limit is reached. */
enum dff_object_outcome
dff_memory_store_put (struct dff_memory_store *store, GBytes *key, GBytes *data);

/** Returns: (nullable): a new reference to the object. */
GBytes *dff_memory_store_object (const struct dff_memory_store *store, GBytes *key);

/** Returns: a copy of @row, to be freed with dff_memory_row_free(). */
struct dff_memory_row *dff_memory_row_copy (const struct dff_memory_row *row);

void dff_memory_row_free (struct dff_memory_row *row);

/** Borrows the bytes of @bytes. */
struct dff_str dff_memory_str (GBytes *bytes);

#endif
