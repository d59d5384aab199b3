#ifndef DFF_ROWS_ROWS_H
#define DFF_ROWS_ROWS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/str.h"

/*
 * The store of versioned rows that holds all durable state. A row is identified by table and key,
 * and carries the store's revision of its last write. A transaction is atomic and conditional: it
 * takes effect only if the rows named in its conditions have the revisions that the writer has
 * read. Readers may subscribe to the changes of a table.
 *
 * Every call ends in exactly one callback, which never runs before the call returns. A call without
 * an answer may have taken effect, and may still take effect seconds later as long as its
 * conditions hold.
 */

/** Maximum size of a row's value, bytes: the store's limit. */
#define DFF_ROW_VALUE_MAX 65536
/** Maximum number of writes and conditions in one transaction: the store's limit. */
#define DFF_ROWS_COMMIT_MAX 100
/** Maximum number of rows in one answer. Further rows of a range are read by key, further changes
 * of a feed from the revision of the answer on. */
#define DFF_ROWS_ANSWER_MAX 500

enum dff_rows_outcome {
	DFF_ROWS_DONE,
	/** A condition does not hold, and nothing was done. @rows holds the rows that the failed
	 * conditions name. */
	DFF_ROWS_CONFLICT,
	/** The call has not taken effect and will not do so later. */
	DFF_ROWS_NOT_DONE,
	/** The call may have taken effect, may take effect later, or may never do so. */
	DFF_ROWS_UNKNOWN,
	/** The store no longer keeps the requested changes: the table has to be scanned again. */
	DFF_ROWS_HISTORY_GONE,
};

struct dff_row {
	struct dff_str table;
	struct dff_str key;
	/** Value of the row; empty if the row was removed. */
	struct dff_str value;
	/** Revision of the last write; 0: the row does not exist. */
	int64_t revision;
	bool removed;
};

struct dff_rows_condition {
	const char *table;
	struct dff_str key;
	/** Revision that the row must have; 0: the row must not exist. */
	int64_t revision;
};

struct dff_rows_write {
	const char *table;
	struct dff_str key;
	struct dff_str value;
	/** Whether the row is removed; @value is ignored then. */
	bool remove;
};

struct dff_rows_commit {
	const struct dff_rows_condition *conditions;
	size_t n_conditions;
	const struct dff_rows_write *writes;
	size_t n_writes;
	int32_t timeout_ms;
};

struct dff_rows_range {
	const char *table;
	/** First key of the range, and the first key beyond it; empty: no bound. */
	struct dff_str from;
	struct dff_str to;
	int32_t limit;
	int32_t timeout_ms;
};

struct dff_rows_feed {
	const char *table;
	/** Changes with a higher revision are returned. */
	int64_t after;
	/** Time for which the store waits for a change before it answers, ms. */
	int32_t wait_ms;
	int32_t timeout_ms;
};

/** Valid in the callback only. */
struct dff_rows_result {
	enum dff_rows_outcome outcome;
	/** Newest revision of the store; after a commit, the revision of the written rows. */
	int64_t revision;
	/** The store's monotonic clock when it answered, ms; 0: not reported. */
	int64_t store_ms;
	const struct dff_row *rows;
	size_t n_rows;
	/** Whether the range has more rows than were returned. */
	bool more;
};

typedef void (*dff_rows_func) (void *user, const struct dff_rows_result *result);

/** Sets @key to the lowest key above that of @row, at which the next page of a scan begins. */
void dff_rows_key_after (const struct dff_row *row, GString *key);

/** Interface of a store of rows; the modules of a process share one client. */
struct dff_rows {
	void (*commit) (void *ctx,
			const struct dff_rows_commit *commit,
			dff_rows_func done,
			void *user);
	void (*get) (void *ctx, const struct dff_rows_range *range, dff_rows_func done, void *user);
	void (*feed) (void *ctx, const struct dff_rows_feed *feed, dff_rows_func done, void *user);
	void *ctx;
};

#endif
