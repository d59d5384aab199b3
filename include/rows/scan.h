#ifndef DFF_ROWS_SCAN_H
#define DFF_ROWS_SCAN_H

#include "common/cleanup.h"
#include "common/timer.h"
#include "rows/rows.h"

/*
 * Reads a table whole, page by page. A page without an answer is asked for again, smaller and for
 * longer, at the key where it began: what was read stays read. Pages are of different moments, so
 * that a row which moves may be missed or seen twice; changes since the first page's revision tell.
 */

struct dff_scan;

/** What a reading came to. */
struct dff_scan_result {
	/** The store's newest revision at the first page. */
	int64_t revision;
	int32_t n_rows;
	int32_t n_pages;
	/** Pages without an answer. */
	int32_t n_failed;
	int64_t took_ms;
};

/** What a reading reports to. Each is called from the loop; none may free the reading but
 * @done. */
struct dff_scan_sink {
	void (*row) (void *ctx, const struct dff_row *row);
	/** (nullable): a page was answered, or was not; the call began at @begun_ms. Before its
	 * rows. */
	void (*page) (void *ctx, const struct dff_rows_result *result, int64_t begun_ms);
	void (*done) (void *ctx, const struct dff_scan_result *result);
	void *ctx;
};

struct dff_scan_options {
	const struct dff_timers *timers;
	const struct dff_rows *rows;
	const char *table;
	/** Timeout of the first page, ms. */
	int32_t timeout_ms;
	struct dff_scan_sink sink;
};

/** @options is copied. Nothing is read yet. */
struct dff_scan *dff_scan_new (const struct dff_scan_options *options);

/** Ends it; no callback comes afterwards. */
void dff_scan_free (struct dff_scan *scan);

DFF_DEFINE_CLEANUP (dff_scan, dff_scan_free);

/** Reads the table from its first row on. Not while it is being read. */
void dff_scan_start (struct dff_scan *scan);

/** Returns: whether the table is being read. */
bool dff_scan_is_running (const struct dff_scan *scan);

#endif
