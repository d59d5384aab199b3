#ifndef DFF_RECORD_KEY_LOCKS_H
#define DFF_RECORD_KEY_LOCKS_H

#include <glib.h>
#include <stdbool.h>

#include "backing/table.h"

/*
 * Keys that transactions in flight read (by a condition) or write. Two writes to one key must not
 * be in flight together: if the answer to the first is lost, it may take effect after the second.
 * The table would then hold the older of two values although both writes were confirmed.
 */

struct dff_key_locks {
	/** GBytes (key) to struct key_use. */
	GHashTable *uses;
};

void dff_key_locks_init (struct dff_key_locks *locks);

void dff_key_locks_clear (struct dff_key_locks *locks);

/** Removes all keys. */
void dff_key_locks_reset (struct dff_key_locks *locks);

/** Returns: whether @txn writes a key that is in use, or has a condition on a key that is being
 * written or for which a transaction in flight expects another revision. */
bool dff_key_locks_conflict (const struct dff_key_locks *locks, const struct dff_table_txn *txn);

void dff_key_locks_add (struct dff_key_locks *locks, const struct dff_table_txn *txn);

/** Reverts one dff_key_locks_add() with the same keys. */
void dff_key_locks_remove (struct dff_key_locks *locks, const struct dff_table_txn *txn);

#endif
