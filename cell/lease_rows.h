#ifndef DFF_CELL_LEASE_ROWS_H
#define DFF_CELL_LEASE_ROWS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "backing/table.h"
#include "common/str.h"

/** The rows of a cell's lease, as read last or as written since. */
struct dff_lease_rows {
	bool known;
	/** The epoch row cannot be read. */
	bool malformed;
	/** No process holds the lease: it has no row yet, or was released. */
	bool is_free;
	int64_t lease_revision;
	int64_t counter;
	int64_t epoch_revision;
	int64_t epoch;
	/** When this process first read this revision of the lease row. */
	int64_t first_seen_ms;
};

/** Returns: (nullable): the row under @key. */
const struct dff_table_row *dff_table_find_row (const struct dff_table_result *result,
						struct dff_str key);

/** Applies both rows as read; NULL: the row does not exist. */
void dff_lease_rows_apply (struct dff_lease_rows *rows,
			   const struct dff_table_row *lease,
			   const struct dff_table_row *epoch,
			   int64_t now_ms);

/** Value of the next lease row; an empty @instance releases the lease. */
GString *dff_lease_rows_next_lease (const struct dff_lease_rows *rows, const char *instance);

/** Value of the next epoch row. */
GString *dff_lease_rows_next_epoch (const struct dff_lease_rows *rows, const char *instance);

#endif
