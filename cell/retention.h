#ifndef DFF_CELL_RETENTION_H
#define DFF_CELL_RETENTION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"

/* The holder's sweeps that delete old rows: docs/decisions/retention.md. */

struct dff_cell;

/** The sweep that deletes rows of jobs that ended long ago. */
struct dff_cell_retention {
	/** Samples of the table's revision, in order of time. The first is the newest that is old
	 * enough for the rows up to its revision to be deleted, if there is one. */
	GArray *samples;
	/** Rows of the last page that may be deleted, and the index of the next one. */
	GArray *expired;
	guint next;
	/** Revision of the last row that the sweep has read, and whether there may be more. */
	int64_t cursor;
	bool more;
	/** Number of successive ended rows that are too recent. */
	int32_t n_recent;
	/** Calls that are not answered yet. */
	int32_t n_outstanding;
	int64_t due_ms;
	/** struct dff_name of a batch to the result of its check. */
	GHashTable *batch_checks;
	/** The batch whose jobs are being checked. */
	struct dff_name batch;
	bool checking;
	int64_t batch_revision;
	int64_t batch_cursor;
};

/** The sweep that deletes records of requests. */
struct dff_cell_attempt_retention {
	/** Rows of the last page that may be deleted, and the index of the next one. */
	GArray *expired;
	guint next;
	int64_t cursor;
	bool more;
	int32_t n_recent;
	/** Calls that are not answered yet. */
	int32_t n_outstanding;
	int64_t due_ms;
};

/* retention.c */

void dff_cell_retention_init (struct dff_cell *cell);

void dff_cell_retention_clear (struct dff_cell *cell);

void dff_cell_retention_free (struct dff_cell *cell);

/** Deletes rows whose retention has passed, a few at a time. */
void dff_cell_retention_tick (struct dff_cell *cell);

/** Whether the retention of a row that ended at @ended_wall_ms has passed by both clocks. */
bool
dff_cell_retention_is_over (const struct dff_cell *cell, int64_t ended_wall_ms, int64_t revision);

/* retention_attempts.c */

void dff_cell_attempt_retention_init (struct dff_cell *cell);

void dff_cell_attempt_retention_clear (struct dff_cell *cell);

void dff_cell_attempt_retention_free (struct dff_cell *cell);

/** Deletes records of requests whose retention has passed, in the first region's holder only. */
void dff_cell_attempt_retention_tick (struct dff_cell *cell);

#endif
