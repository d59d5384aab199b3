#ifndef DFF_BACKING_TABLE_TXN_H
#define DFF_BACKING_TABLE_TXN_H

#include "backing/table.h"
#include "common/cleanup.h"

/* Copies of transactions, for code that keeps a transaction after the call returns. */

/** Returns: a deep copy in one allocation, to be freed with dff_table_txn_free(). */
struct dff_table_txn *dff_table_txn_copy (const struct dff_table_txn *txn);

void dff_table_txn_free (struct dff_table_txn *txn);

DFF_DEFINE_CLEANUP (dff_table_txn, dff_table_txn_free);

#endif
