#ifndef DFF_RECORD_KEY_LOCKS_H
#define DFF_RECORD_KEY_LOCKS_H

#include <glib.h>
#include <stdbool.h>

#include "backing/table.h"

/*
 * Which keys are read (by a condition) and written by transactions. Two writes to one key must not
 * be on their way together: the first one, if its answer is lost, may take effect after the second.
 * Symptom: the table holds the older of two states although both were confirmed.
 */

struct dff_key_locks {
	/** GBytes key to struct key_use. */
	GHashTable *uses;
};

void dff_key_locks_init (struct dff_key_locks *locks);

void dff_key_locks_clear (struct dff_key_locks *locks);

/** Forgets every key. */
void dff_key_locks_reset (struct dff_key_locks *locks);

/** Returns: whether @txn writes a key in use, or has a condition on a key that is written or whose
 * condition is another one. */
bool dff_key_locks_conflict (const struct dff_key_locks *locks, const struct dff_table_txn *txn);

void dff_key_locks_add (struct dff_key_locks *locks, const struct dff_table_txn *txn);

/** Undoes one dff_key_locks_add() with the same keys. */
void dff_key_locks_remove (struct dff_key_locks *locks, const struct dff_table_txn *txn);

#endif
