#ifndef DFF_BACKING_TABLE_H
#define DFF_BACKING_TABLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"

/*
 * The platform's transactional table: byte values by key, each with the revision of its last write.
 * Every call is asynchronous and ends in exactly one callback, which may run before the call
 * returns. docs/BACKING.md states the requirements on a table.
 */

enum dff_table_outcome {
	DFF_TABLE_OK,
	/** A condition did not hold; nothing was written. */
	DFF_TABLE_CONFLICT,
	/** Certainly not written: refused, or not sent. */
	DFF_TABLE_UNAVAILABLE,
	/** The answer was lost: the commit may have been written, or may still be written later.
	 * Look up the write id to find out. */
	DFF_TABLE_UNCERTAIN,
};

/** A row as read. */
struct dff_table_row {
	struct dff_str key;
	struct dff_str value;
	/** Table-wide revision of the last write; grows with every commit. */
	int64_t revision;
};

/** Requires that the row has this revision; 0: that the row does not exist. */
struct dff_table_condition {
	struct dff_str key;
	int64_t revision;
};

struct dff_table_write {
	struct dff_str key;
	/** data NULL: delete the row. */
	struct dff_str value;
};

/** Applied as a whole or not at all. Borrowed for the duration of the call. */
struct dff_table_txn {
	/** Unique id of the transaction, stored by the table with the commit: a second commit with
	 * the same id has no further effect and the same result. */
	struct dff_name write_id;
	const struct dff_table_condition *conditions;
	size_t n_conditions;
	const struct dff_table_write *writes;
	size_t n_writes;
};

struct dff_table_result {
	enum dff_table_outcome outcome;
	/** Revision of the commit, or of the table at the time of the read. */
	int64_t revision;
	/** Rows read, valid in the callback only; none for a commit with a conflict. */
	const struct dff_table_row *rows;
	size_t n_rows;
	/** A scan ended before the last row; the next one starts after the revision of
	 * rows[n_rows - 1]. */
	bool more;
};

typedef void (*dff_table_func) (void *user, const struct dff_table_result *result);

/**
 * struct dff_table:
 * @get: reads the rows under @keys that exist
 * @scan: reads rows whose key starts with @prefix and whose revision is above @after, in order of
 *   revision. Ends after @limit rows or earlier, with more set, but never within a commit: the rows
 *   of a commit share one revision, so that the last commit is returned whole
 * @commit: applies a transaction
 * @lookup: returns whether the transaction with @write_id took effect: OK with its revision, or
 *   CONFLICT when it has not and will not, as the table refuses that id from then on. UNAVAILABLE
 *   and UNCERTAIN say nothing about the transaction: repeat the lookup
 * @ctx: passed to every function
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
