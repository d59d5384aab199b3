#include "cell/cell_private.h"

#include <jansson.h>
#include <string.h>

/*
 * Deletes the records of requests that are not idempotent. They belong to no region, and any
 * process may have written them, so the holder of the first region sweeps them for all. Two
 * holders may briefly both assume to be that of the first region, so each deletion is conditional
 * on the revision of the row.
 */

#define PREFIX "attempt/"
/** Delay between two sweeps, and between two steps of one sweep, ms. */
#define SWEEP_INTERVAL_MS 600000
#define STEP_INTERVAL_MS 2000
/** Rows deleted at once. */
#define DELETE_UNITS 30
#define DELETE_TIMEOUT_MS 5000
/** Number of successive rows that are too recent after which a sweep stops. */
#define RECENT_MAX 64
/** Rows read at once: a sweep that finds nothing reads one page, and stays within the bytes that a
 * process may spend on control traffic. */
#define PAGE_ROWS RECENT_MAX

struct expired {
	struct dff_name hash;
	int64_t revision;
};

void
dff_cell_attempt_retention_init (struct dff_cell *cell)
{
	cell->attempt_retention.expired = g_array_new (FALSE, TRUE, sizeof (struct expired));
	dff_cell_attempt_retention_clear (cell);
}

void
dff_cell_attempt_retention_clear (struct dff_cell *cell)
{
	struct dff_cell_attempt_retention *attempts = &cell->attempt_retention;
	g_array_set_size (attempts->expired, 0);
	attempts->next = 0;
	attempts->cursor = 0;
	attempts->more = true;
	attempts->n_recent = 0;
	attempts->n_outstanding = 0;
	attempts->due_ms = 0;
}

void
dff_cell_attempt_retention_free (struct dff_cell *cell)
{
	g_array_unref (cell->attempt_retention.expired);
}

static bool
is_first_region (const struct dff_cell *cell)
{
	for (guint i = 0; i < cell->pool->racks->len; i++) {
		const struct dff_rack *rack =
			&g_array_index (cell->pool->racks, struct dff_rack, i);
		if (dff_name_compare (&rack->region, &cell->options.region) < 0)
			return false;
	}
	return true;
}

/* A record that is open is never deleted: its request may be running, or may have run. */
static bool
is_expired (const struct dff_cell *cell, const struct dff_table_row *row)
{
	const char *state = "";
	json_int_t wall_ms = 0;
	json_t *json = json_loadb (row->value.data, row->value.len, 0, NULL);
	bool expired = json != NULL &&
		       json_unpack (json, "{s:s, s:I}", "state", &state, "wall_ms", &wall_ms) == 0;
	expired = expired && strcmp (state, "ended") == 0 &&
		  dff_cell_retention_is_over (cell, wall_ms, row->revision);
	json_decref (json);
	return expired;
}

static void
handle_row (struct dff_cell *cell, const struct dff_table_row *row)
{
	struct dff_cell_attempt_retention *attempts = &cell->attempt_retention;
	const size_t skipped = strlen (PREFIX);
	struct expired expired = {.revision = row->revision};
	attempts->cursor = row->revision;
	if (!is_expired (cell, row)) {
		attempts->n_recent += 1;
		return;
	}
	attempts->n_recent = 0;
	const struct dff_str hash = {row->key.data + skipped, row->key.len - skipped};
	if (dff_name_parse (hash, &expired.hash))
		g_array_append_val (attempts->expired, expired);
}

static void
on_page (void *user, const struct dff_table_result *result)
{
	struct dff_cell_call call;
	if (!dff_cell_call_end (user, &call))
		return;
	struct dff_cell_attempt_retention *attempts = &call.cell->attempt_retention;
	attempts->n_outstanding -= 1;
	if (result->outcome != DFF_TABLE_OK)
		return;
	for (size_t i = 0; i < result->n_rows; i++)
		handle_row (call.cell, &result->rows[i]);
	attempts->more = result->more && attempts->n_recent < RECENT_MAX;
}

static void
read_page (struct dff_cell *cell)
{
	struct dff_cell_attempt_retention *attempts = &cell->attempt_retention;
	const struct dff_table *table = cell->options.table;
	g_array_set_size (attempts->expired, 0);
	attempts->next = 0;
	attempts->n_outstanding += 1;
	table->scan (table->ctx, dff_str_from (PREFIX), attempts->cursor, PAGE_ROWS, on_page,
		     dff_cell_call_begin (cell, DFF_CELL_CALL_SCAN));
}

static void
on_deleted (void *user, enum dff_record_outcome outcome, int64_t revision)
{
	(void)revision;
	struct dff_cell_call call;
	if (!dff_cell_call_end (user, &call))
		return;
	call.cell->attempt_retention.n_outstanding -= 1;
	if (outcome == DFF_RECORD_COMMITTED)
		*call.cell->metrics.attempts_expired += 1;
}

static void
delete_one (struct dff_cell *cell, const struct expired *expired)
{
	g_autofree char *key = g_strconcat (PREFIX, expired->hash.data, NULL);
	const struct dff_table_condition conditions[] = {
		{dff_lease_epoch_key (cell->lease), dff_lease_epoch_revision (cell->lease)},
		{dff_str_from (key), expired->revision},
	};
	const struct dff_table_write deletion = {.key = dff_str_from (key)};
	const struct dff_record_write record = {
		.conditions = conditions,
		.n_conditions = G_N_ELEMENTS (conditions),
		.writes = &deletion,
		.n_writes = 1,
		.queue_timeout_ms = DELETE_TIMEOUT_MS,
	};
	struct dff_cell_call *call = dff_cell_call_begin (cell, DFF_CELL_CALL_WRITE);
	cell->attempt_retention.n_outstanding += 1;
	call->ticket = dff_recorder_write (cell->options.recorder, &record, on_deleted, call);
}

static void
delete_some (struct dff_cell *cell)
{
	struct dff_cell_attempt_retention *attempts = &cell->attempt_retention;
	guint end = MIN (attempts->next + DELETE_UNITS, attempts->expired->len);
	while (attempts->next < end)
		delete_one (cell,
			    &g_array_index (attempts->expired, struct expired, attempts->next++));
}

void
dff_cell_attempt_retention_tick (struct dff_cell *cell)
{
	struct dff_cell_attempt_retention *attempts = &cell->attempt_retention;
	int64_t now_ms = dff_cell_now_ms (cell);
	if (attempts->n_outstanding > 0 || now_ms < attempts->due_ms ||
	    dff_recorder_is_breaker_open (cell->options.recorder))
		return;
	attempts->due_ms = now_ms + STEP_INTERVAL_MS;
	if (attempts->next < attempts->expired->len) {
		delete_some (cell);
		return;
	}
	if (attempts->more && is_first_region (cell)) {
		read_page (cell);
		return;
	}
	attempts->cursor = 0;
	attempts->more = true;
	attempts->n_recent = 0;
	attempts->due_ms = now_ms + SWEEP_INTERVAL_MS;
}
