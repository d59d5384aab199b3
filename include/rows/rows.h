#ifndef DFF_ROWS_ROWS_H
#define DFF_ROWS_ROWS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/str.h"

/*
 * The store of versioned rows that everything which must last is kept in: a row is found by table
 * and key, and carries the store's revision of its last write. One transaction is all or nothing,
 * under the condition that named rows have the revisions that the writer saw. Readers may follow
 * what changes in a table.
 *
 * Every call ends in exactly one callback, never before the call returns. A call without an answer
 * may have taken effect, and may still do so seconds later as long as its conditions hold.
 */

/** Largest value of a row, bytes: what the store takes. */
#define DFF_ROW_VALUE_MAX 65536
/** Writes and conditions in one transaction at the most: the store's limit. */
#define DFF_ROWS_COMMIT_MAX 100
/** Rows in one answer at the most; more follow from its revision on. */
#define DFF_ROWS_ANSWER_MAX 500

enum dff_rows_outcome {
	DFF_ROWS_DONE,
	/** A condition does not hold: nothing was done. @rows shows the rows it names. */
	DFF_ROWS_CONFLICT,
	/** Proven not done, now or later. */
	DFF_ROWS_NOT_DONE,
	/** Done, not done, or still to be done. */
	DFF_ROWS_UNKNOWN,
	/** The changes asked for are no longer kept: read the table anew. */
	DFF_ROWS_HISTORY_GONE,
};

struct dff_row {
	struct dff_str table;
	struct dff_str key;
	/** Bytes of the value; empty where the row was removed. */
	struct dff_str value;
	/** Of its last write; 0: the row does not exist. */
	int64_t revision;
	bool removed;
};

struct dff_rows_condition {
	const char *table;
	struct dff_str key;
	/** 0: the row must not exist. */
	int64_t revision;
};

struct dff_rows_write {
	const char *table;
	struct dff_str key;
	struct dff_str value;
	/** Removes the row; @value is ignored. */
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
	/** First key, and the first one beyond the range; empty: without bound. */
	struct dff_str from;
	struct dff_str to;
	int32_t limit;
	int32_t timeout_ms;
};

struct dff_rows_feed {
	const char *table;
	/** Changes above this revision. */
	int64_t after;
	/** How long the store waits for one, ms. */
	int32_t wait_ms;
	int32_t timeout_ms;
};

/** Valid in the callback only. */
struct dff_rows_result {
	enum dff_rows_outcome outcome;
	/** The store's newest revision; after a commit, that of the rows written. */
	int64_t revision;
	/** The store's steady clock when it answered, ms; 0: it did not tell. */
	int64_t store_ms;
	const struct dff_row *rows;
	size_t n_rows;
	/** Whether the range holds more rows than were returned. */
	bool more;
};

typedef void (*dff_rows_func) (void *user, const struct dff_rows_result *result);

/** Makes @key the least key above a row's: where the next page of a reading begins. */
void dff_rows_key_after (const struct dff_row *row, GString *key);

/** A store of rows; one client for all parts of a process. */
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
