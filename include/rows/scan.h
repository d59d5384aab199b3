#ifndef DFF_ROWS_SCAN_H
#define DFF_ROWS_SCAN_H

#include "common/cleanup.h"
#include "common/timer.h"
#include "rows/rows.h"

/*
 * Scans a whole table page by page. A page that fails is requested again from the same key, with
 * fewer rows and a longer timeout; pages that have been read are not read again. Pages are read at
 * different times, so a row that moves between keys may be missed or reported twice. The changes
 * since the revision of the first page correct this.
 */

struct dff_scan;

/** Outcome of a completed scan. */
struct dff_scan_result {
	/** Newest revision of the store when the first page was read. */
	int64_t revision;
	int32_t n_rows;
	int32_t n_pages;
	/** Number of page requests that failed. */
	int32_t n_failed;
	/** Duration of the scan, ms. */
	int64_t took_ms;
};

/** Callbacks of a scan, called from the event loop. Only @done may free the scan. */
struct dff_scan_sink {
	void (*row) (void *ctx, const struct dff_row *row);
	/** (nullable): a page request has ended, served or not; it was sent at @begun_ms. Called
	 * before @row for the rows of the page. */
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

/** Creates a scan that is not started. @options is copied. */
struct dff_scan *dff_scan_new (const struct dff_scan_options *options);

/** Stops and frees the scan; no callback is called afterwards. */
void dff_scan_free (struct dff_scan *scan);

DFF_DEFINE_CLEANUP (dff_scan, dff_scan_free);

/** Starts a scan from the first row of the table. The scan must not be running. */
void dff_scan_start (struct dff_scan *scan);

/** Returns: whether the scan has been started and is not done. */
bool dff_scan_is_running (const struct dff_scan *scan);

#endif
