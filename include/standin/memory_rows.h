#ifndef DFF_STANDIN_MEMORY_ROWS_H
#define DFF_STANDIN_MEMORY_ROWS_H

#include "rows/rows.h"
#include "standin/virtual_loop.h"

/* An in-memory store of rows under a virtual clock, with faults, shared by several clients. */

struct dff_memory_rows;
struct dff_memory_rows_client;

struct dff_memory_rows *dff_memory_rows_new (struct dff_virtual_loop *loop);

/** Frees the store and its clients. No call may be in progress that has yet to call back. */
void dff_memory_rows_free (struct dff_memory_rows *rows);

DFF_DEFINE_CLEANUP (dff_memory_rows, dff_memory_rows_free);

/** Faults injected into one client's calls. */
struct dff_memory_rows_faults {
	/** Calls take no effect and are not answered: they end at their timeout. */
	bool silent;
	/** Every call fails without an effect. */
	bool refuses;
	/** (nullable): commits that write a row with this key are refused. Static. */
	const char *refused_key;
	/** (nullable): reads from this key on take no effect and are not answered. Static. */
	const char *silent_key;
	/** (nullable): reads from this key on fail without an effect. Static. */
	const char *refused_read_key;
	/** Feeds report no changes. */
	bool feeds_held;
	/** Commits per thousand that take effect and whose answer is lost. */
	int32_t lost_permille;
	/** Commits per thousand whose answer is lost and that take effect @late_ms later. */
	int32_t late_permille;
	int32_t late_ms;
	/** Time until a call takes effect and is answered, ms; 0: the default. A call with a
	 * shorter timeout is not answered. */
	int32_t delay_ms;
	/** Lower bound of that time for commits, ms. */
	int32_t commit_delay_ms;
	/** Added to the delay of a read for each row that the read may return, us. */
	int32_t row_us;
};

/** Returns: (transfer none): a new client. Its faults may be changed at any time. */
struct dff_memory_rows_client *dff_memory_rows_client_new (struct dff_memory_rows *rows);

struct dff_memory_rows_faults *
dff_memory_rows_client_faults (struct dff_memory_rows_client *client);

/** Returns: (transfer none): the store's interface for this client. */
const struct dff_rows *dff_memory_rows_client_interface (struct dff_memory_rows_client *client);

/** Simulates the end of the client's process: its calls do not call back any more. */
void dff_memory_rows_client_end (struct dff_memory_rows_client *client);

/** Compacts all changes so far: a feed that starts before them ends with HISTORY_GONE. */
void dff_memory_rows_drop_history (struct dff_memory_rows *rows);

/** Seeds the random choice of the commits that a fault affects. */
void dff_memory_rows_seed (struct dff_memory_rows *rows, guint32 seed);

/** Writes a row directly, without any fault. */
void dff_memory_rows_put (struct dff_memory_rows *rows,
			  const char *table,
			  const char *key,
			  struct dff_str value);

/** Removes a row directly, without any fault. */
void dff_memory_rows_remove (struct dff_memory_rows *rows, const char *table, const char *key);

/** Returns: (nullable): the value of a row, valid until the next write. */
const GString *
dff_memory_rows_peek (struct dff_memory_rows *rows, const char *table, const char *key);

/** Returns: number of rows in a table. */
guint dff_memory_rows_count (struct dff_memory_rows *rows, const char *table);

#endif
