#ifndef DFF_BACKING_TABLE_WIRE_H
#define DFF_BACKING_TABLE_WIRE_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

#include "backing/table.h"

/* JSON encoding of the table's calls and results (docs/BACKING.md), used by the client and the
 * stand-in platform. Keys and values are UTF-8 text. */

/** Borrows the bytes of a JSON string; data is NULL when @value is not a string. */
struct dff_str dff_wire_str (const json_t *value);

/** Parses an identifier. Returns: false when @value is not a valid one. */
bool dff_wire_name (const json_t *value, struct dff_name *name);

/** Returns: (nullable): NULL when a key or value is not UTF-8. */
json_t *dff_table_wire_txn_to_json (const struct dff_table_txn *txn);

/** A transaction that borrows its strings from the JSON it was read from. */
struct dff_table_wire_txn {
	struct dff_table_txn txn;
	/** Elements: struct dff_table_condition. */
	GArray *conditions;
	/** Elements: struct dff_table_write. */
	GArray *writes;
};

/** Returns: false when @root is not a transaction. @out is to be cleared in both cases. */
bool dff_table_wire_txn_from_json (const json_t *root, struct dff_table_wire_txn *out);

void dff_table_wire_txn_clear (struct dff_table_wire_txn *out);

json_t *dff_table_wire_result_to_json (const struct dff_table_result *result);

/**
 * dff_table_wire_result_from_json:
 * @result: (out): revision and rows; the rows borrow from @root and @rows
 * @rows: appended to; elements: struct dff_table_row
 *
 * Returns: false when @root is not a result.
 */
bool
dff_table_wire_result_from_json (const json_t *root, GArray *rows, struct dff_table_result *result);

#endif
