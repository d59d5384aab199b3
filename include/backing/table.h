#ifndef DFF_BACKING_TABLE_H
#define DFF_BACKING_TABLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"

/*
 * The platform's transactional table: rows of bytes under keys, each with the revision of its last
 * write. Every call is asynchronous and ends in exactly one callback, which may run before the call
 * returns. docs/BACKING.md states what is expected of it.
 */

enum dff_table_outcome {
	DFF_TABLE_OK,
	/** A condition did not hold; nothing was written. */
	DFF_TABLE_CONFLICT,
	/** Proven not written (refused, or not sent). */
	DFF_TABLE_UNAVAILABLE,
	/** The answer was lost: written or not, and a late write may still take effect. Resolve it
	 * by reading back the write id. */
	DFF_TABLE_UNCERTAIN,
};

/** A row as read. */
struct dff_table_row {
	struct dff_str key;
	struct dff_str value;
	/** Table-wide revision of the last write; grows with every commit. */
	int64_t revision;
};

/** A row's revision must be @revision; 0: the row must not exist. */
struct dff_table_condition {
	struct dff_str key;
	int64_t revision;
};

struct dff_table_write {
	struct dff_str key;
	/** data NULL: delete the row. */
	struct dff_str value;
};

/** All of it, or nothing. Borrowed for the length of the call only. */
struct dff_table_txn {
	/** Kept by the table with the commit: committing the same id twice has the first one's
	 * effect and answer. Unique for each distinct transaction. */
	struct dff_name write_id;
	const struct dff_table_condition *conditions;
	size_t n_conditions;
	const struct dff_table_write *writes;
	size_t n_writes;
};

struct dff_table_result {
	enum dff_table_outcome outcome;
	/** Revision of the commit, or of the table when it was read. */
	int64_t revision;
	/** Rows read, valid in the callback only; for a commit that conflicted: none. */
	const struct dff_table_row *rows;
	size_t n_rows;
	/** A scan ended before the last row; go on after the revision of rows[n_rows - 1]. */
	bool more;
};

typedef void (*dff_table_func) (void *user, const struct dff_table_result *result);

/**
 * struct dff_table:
 * @get: reads the rows under @keys that exist
 * @scan: reads rows whose key starts with @prefix and whose revision is above @after, in order of
 *   revision; ends after @limit rows or earlier, with more set, but never within a commit, as its
 *   rows share one revision: the last commit comes whole
 * @commit: applies a transaction
 * @lookup: tells whether the transaction with @write_id took effect: OK with its revision, or
 *   CONFLICT when it has not and, from now on, will not (the table refuses that id afterwards);
 *   UNAVAILABLE and UNCERTAIN tell nothing: ask again
 * @ctx: passed to each
 */
struct dff_table {
	void (*get) (void *ctx,
		     const struct dff_str *keys,
		     size_t n_keys,
		     dff_table_func done,
		     void *user);
	void (*scan) (void *ctx,
		      struct dff_str prefix,
		      int64_t after,
		      size_t limit,
		      dff_table_func done,
		      void *user);
	void (*commit) (void *ctx,
			const struct dff_table_txn *txn,
			dff_table_func done,
			void *user);
	void (*lookup) (void *ctx,
			const struct dff_name *write_id,
			dff_table_func done,
			void *user);
	void *ctx;
};

#endif
