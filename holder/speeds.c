#include "holder/holder_private.h"

#include <jansson.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "graph/json.h"

/* How fast the workers are, as found by the core, in one row, so that the next holder starts with
 * it. The row is called speeds; its values are relative durations, so a larger one is slower. The
 * row is written with the holder's transactions, only while the workers differ in speed. At a
 * takeover it is read beside the jobs. Each value is kept until the worker's first answer shows its
 * incarnation: what is known of a former incarnation does not apply to the next. */

/** Least interval between two writes of the row, ms. */
#define WRITE_INTERVAL_MS 2000
/** Interval at which changes are looked for, ms: the core's own interval of updates. */
#define CHECK_INTERVAL_MS 500
/** Age at which the row is written although it has not changed, ms: what it holds decays with its
 * age. */
#define REFRESH_MS 5000
/** Longest delay after a transaction that the row made fail, ms: the delay is doubled each time. */
#define RETRY_DELAY_MAX_MS 32000
/** Change of a worker's relative duration that is written, in standard deviations between workers.
 */
#define CHANGE_DEVIATIONS 0.1
/** Size of the row, bytes: in base64 it has to stay below DFF_ROW_VALUE_MAX. */
#define ROW_BYTES_MAX 44000
/** Bytes of the row without its workers, at most. */
#define FRAME_BYTES 200
/** Timeout of a read, ms: as for the other reads of a takeover. */
#define READ_TIMEOUT_MS 1500
/** Delay after a read that failed, ms, and time for which failed reads are repeated while the
 * holder schedules, ms: meanwhile it does not record what it learns itself. */
#define READ_RETRY_MS 100
#define READ_LIMIT_MS 4000

/** Units of the row's variances and weights in 1. */
#define VARIANCE_PARTS 1e6
#define WEIGHT_PARTS 100.0F

void
speeds_row_init (struct speeds_row *row)
{
	*row = (struct speeds_row){.entries =
					   g_array_new (FALSE, TRUE, sizeof (struct speeds_entry))};
}

void
speeds_row_clear (struct speeds_row *row)
{
	g_clear_pointer (&row->entries, g_array_unref);
}

static const struct speeds_entry *
entry_at (const struct speeds_row *row, guint index)
{
	return &g_array_index (row->entries, struct speeds_entry, index);
}

/* Returns: (transfer full): the entries by name. They belong to the array, which must not grow. */
static GHashTable *
index_entries (const GArray *entries)
{
	GHashTable *by_name = g_hash_table_new (dff_name_hash, dff_name_equal_func);
	for (guint i = 0; i < entries->len; i++) {
		struct speeds_entry *entry = &g_array_index (entries, struct speeds_entry, i);
		g_hash_table_replace (by_name, &entry->duration.worker, entry);
	}
	return by_name;
}

/* Sorts by difference from the mean, largest first. */
static int
compare_entries (gconstpointer a, gconstpointer b)
{
	const struct speeds_entry *one = a;
	const struct speeds_entry *other = b;
	int order = abs (other->duration.relative) - abs (one->duration.relative);
	return order != 0 ? order
			  : dff_name_compare (&one->duration.worker, &other->duration.worker);
}

static json_int_t
encode_weight (float weight)
{
	return (json_int_t)lroundf (weight * WEIGHT_PARTS);
}

static json_int_t
encode_variance (float variance)
{
	return (json_int_t)lround ((double)variance * VARIANCE_PARTS);
}

static json_t *
encode_entry (const struct speeds_entry *entry)
{
	return json_pack ("[s, I, i, I]", entry->duration.worker.data,
			  (json_int_t)entry->started_ms, entry->duration.relative,
			  encode_weight (entry->duration.weight));
}

/* Returns: the size of an encoded entry and its comma in the row, bytes. */
static size_t
encoded_size (const json_t *item)
{
	return json_dumpb (item, NULL, 0, JSON_COMPACT) + 1;
}

/* Returns: (transfer full): the entries as JSON. Drops those from the first one on that does not
 * fit into the row. */
static json_t *
encode_entries (struct speeds_row *row)
{
	json_t *workers = json_array ();
	size_t bytes = FRAME_BYTES;
	for (guint i = 0; i < row->entries->len; i++) {
		json_t *item = encode_entry (entry_at (row, i));
		bytes += encoded_size (item);
		if (bytes > ROW_BYTES_MAX) {
			json_decref (item);
			g_array_set_size (row->entries, i);
			break;
		}
		json_array_append_new (workers, item);
	}
	return workers;
}

GString *
speeds_encode (struct speeds_row *row)
{
	g_array_sort (row->entries, compare_entries);
	return dff_json_print (json_pack (
		"{s:I, s:I, s:I, s:o}", "written_ms", (json_int_t)row->written_ms,
		"worker_variance", encode_variance (row->variances.workers), "task_variance",
		encode_variance (row->variances.tasks), "workers", encode_entries (row)));
}

static bool
decode_entry (const json_t *array, struct speeds_entry *entry)
{
	const json_t *name = json_array_get (array, 0);
	struct dff_str text = {json_string_value (name), json_string_length (name)};
	*entry = (struct speeds_entry){0};
	if (!json_is_string (name) || !dff_name_parse (text, &entry->duration.worker))
		return false;
	entry->started_ms = json_integer_value (json_array_get (array, 1));
	entry->duration.relative = dff_json_int32_at (array, 2);
	entry->duration.weight = (float)dff_json_int32_at (array, 3) / WEIGHT_PARTS;
	return entry->duration.weight > 0.0F;
}

static float
decode_variance (const json_t *root, const char *key)
{
	return (float)((double)dff_json_int (root, key) / VARIANCE_PARTS);
}

static bool
decode_root (const json_t *root, struct speeds_row *row)
{
	const json_t *workers = json_object_get (root, "workers");
	row->written_ms = dff_json_int (root, "written_ms");
	row->variances.workers = decode_variance (root, "worker_variance");
	row->variances.tasks = decode_variance (root, "task_variance");
	if (row->written_ms <= 0 || row->variances.workers <= 0.0F ||
	    row->variances.tasks <= 0.0F || !json_is_array (workers))
		return false;
	for (size_t i = 0; i < json_array_size (workers); i++) {
		struct speeds_entry entry;
		if (decode_entry (json_array_get (workers, i), &entry))
			g_array_append_val (row->entries, entry);
	}
	return true;
}

bool
speeds_decode (struct dff_str text, struct speeds_row *row)
{
	json_t *root = json_loadb (text.data, text.len, 0, NULL);
	bool decoded = decode_root (root, row);
	json_decref (root);
	return decoded;
}

static GHashTable *
entry_table_new (void)
{
	return g_hash_table_new_full (dff_name_hash, dff_name_equal_func, NULL, g_free);
}

static void
entry_table_add (GHashTable *table, const struct speeds_entry *entry)
{
	struct speeds_entry *copy = g_memdup2 (entry, sizeof (*entry));
	g_hash_table_replace (table, &copy->duration.worker, copy);
}

/* Takeover. */

static int64_t
age_ms (const struct dff_holder *holder)
{
	return holder_now_ms (holder) - holder->speeds.valid_ms;
}

static void
log_taken_over (struct dff_holder *holder)
{
	dff_log (DFF_LOG_CELL, DFF_LOG_INFO,
		 "Speeds of workers taken over. epoch=%" PRId64
		 " workers=%u restarted=%u ignored=%u unknown=%u age_ms=%" PRId64,
		 holder->epoch, holder->speeds.n_imported, holder->speeds.n_restarted,
		 holder->speeds.n_ignored, g_hash_table_size (holder->speeds.pending),
		 age_ms (holder));
}

/* Returns: whether nothing is left to do about an entry. */
static bool
apply_entry (struct dff_holder *holder, const struct speeds_entry *entry)
{
	const struct holder_worker *worker = workers_find (holder, &entry->duration.worker);
	if (worker == NULL || worker->answered_ms == 0 || !incarnation_is_confirmed (worker))
		return false;
	if (worker->upstream.incarnation.started_ms != entry->started_ms) {
		holder->speeds.n_restarted++;
		return true;
	}
	switch (dff_core_import_duration (holder->core, &entry->duration, &holder->speeds.variances,
					  age_ms (holder), holder_now_ms (holder))) {
	case DFF_DURATION_IMPORT_UNKNOWN:
		return false;
	case DFF_DURATION_IMPORT_IGNORED:
		holder->speeds.n_ignored++;
		return true;
	case DFF_DURATION_IMPORT_DONE:
		holder->speeds.n_imported++;
		(*holder->metrics.speeds_taken_over)++;
		return true;
	}
	return true;
}

static void
apply_pending (struct dff_holder *holder)
{
	GHashTable *pending = holder->speeds.pending;
	if (g_hash_table_size (pending) == 0)
		return;
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, pending);
	while (g_hash_table_iter_next (&iter, NULL, &value)) {
		if (apply_entry (holder, value))
			g_hash_table_iter_remove (&iter);
	}
	bool expired = age_ms (holder) > DFF_DURATION_EXPIRY_MS;
	if (g_hash_table_size (pending) > 0 && !expired)
		return;
	log_taken_over (holder);
	g_hash_table_remove_all (pending);
}

static void
handle_undecodable (struct dff_holder *holder, const struct dff_row *row)
{
	(*holder->metrics.speeds_undecodable)++;
	dff_log (DFF_LOG_CELL, DFF_LOG_WARNING,
		 "Recorded speeds of workers cannot be read. epoch=%" PRId64 " revision=%" PRId64
		 " bytes=%zu",
		 holder->epoch, row->revision, row->value.len);
}

static void
take_over_row (struct dff_holder *holder, const struct dff_row *stored)
{
	struct speeds_row row;
	speeds_row_init (&row);
	if (!speeds_decode (stored->value, &row)) {
		handle_undecodable (holder, stored);
		speeds_row_clear (&row);
		return;
	}
	int64_t written_ms_ago = dff_clock_wall_ms (holder->options.timers->clock) - row.written_ms;
	holder->speeds.variances = row.variances;
	holder->speeds.valid_ms = holder_now_ms (holder) - MAX (written_ms_ago, 0);
	for (guint i = 0; i < row.entries->len; i++)
		entry_table_add (holder->speeds.pending, entry_at (&row, i));
	dff_log (DFF_LOG_CELL, DFF_LOG_INFO,
		 "Recorded speeds of workers read. epoch=%" PRId64 " workers=%u age_ms=%" PRId64
		 " spread=%.3f",
		 holder->epoch, row.entries->len, written_ms_ago, sqrt (row.variances.workers));
	speeds_row_clear (&row);
	holder_wake (holder);
}

static void
handle_row (void *user, const struct dff_rows_result *result)
{
	g_autofree struct holder_call *call = user;
	struct dff_holder *holder = holder_call_end (call);
	if (holder == NULL)
		return;
	holder->speeds.read_in_flight = false;
	if (result->outcome != DFF_ROWS_DONE) {
		holder->speeds.next_read_ms = holder_now_ms (holder) + READ_RETRY_MS;
		return;
	}
	holder->speeds.reading = false;
	if (result->n_rows > 0)
		take_over_row (holder, &result->rows[0]);
}

static void
read_recorded_speeds (struct dff_holder *holder)
{
	holder->speeds.read_in_flight = true;
	holder->speeds.n_reads++;
	struct dff_rows_range range = {.table = DFF_TABLE_CELL,
				       .from = dff_str_from (DFF_KEY_SPEEDS),
				       .to = dff_str_from (DFF_KEY_SPEEDS "!"),
				       .limit = 1,
				       .timeout_ms = READ_TIMEOUT_MS};
	holder->options.rows->get (holder->options.rows->ctx, &range, handle_row,
				   holder_call_begin (holder, sizeof (struct holder_call)));
}

/* Repeats a read that failed, until the limit. */
static void
step_read (struct dff_holder *holder)
{
	int64_t now_ms = holder_now_ms (holder);
	if (holder->speeds.read_limit_ms == 0)
		holder->speeds.read_limit_ms = now_ms + READ_LIMIT_MS;
	if (!holder->speeds.reading || holder->speeds.read_in_flight ||
	    now_ms < holder->speeds.next_read_ms)
		return;
	if (now_ms < holder->speeds.read_limit_ms) {
		read_recorded_speeds (holder);
		return;
	}
	holder->speeds.reading = false;
	dff_log (DFF_LOG_CELL, DFF_LOG_WARNING,
		 "Recorded speeds of workers not read. epoch=%" PRId64 " reads=%d", holder->epoch,
		 holder->speeds.n_reads);
}

void
speeds_step (struct dff_holder *holder)
{
	step_read (holder);
	apply_pending (holder);
}

void
speeds_begin (struct dff_holder *holder)
{
	holder->speeds.reading = true;
	holder->speeds.pending = entry_table_new ();
	holder->speeds.retry_delay_ms = WRITE_INTERVAL_MS;
	read_recorded_speeds (holder);
}

void
speeds_reset (struct dff_holder *holder)
{
	g_clear_pointer (&holder->speeds.pending, g_hash_table_unref);
	g_clear_pointer (&holder->speeds.recorded, speeds_record_free);
	g_clear_pointer (&holder->speeds.in_flight, speeds_record_free);
	memset (&holder->speeds, 0, sizeof (holder->speeds));
}

/* Writes. */

struct speeds_record *
speeds_record_new (struct speeds_row *row, bool truncated)
{
	struct speeds_record *record = g_new0 (struct speeds_record, 1);
	record->entries = g_steal_pointer (&row->entries);
	record->by_name = index_entries (record->entries);
	record->truncated = truncated;
	return record;
}

void
speeds_record_free (struct speeds_record *record)
{
	g_hash_table_unref (record->by_name);
	g_array_unref (record->entries);
	g_free (record);
}

/* Adds the values that wait for their workers, so that the next holder gets them too. What the core
 * has learned of a worker since takes precedence. */
static void
add_pending (const struct dff_holder *holder, GArray *entries)
{
	if (g_hash_table_size (holder->speeds.pending) == 0)
		return;
	g_autoptr (GHashTable) learned = index_entries (entries);
	g_autoptr (GArray) added = g_array_new (FALSE, FALSE, sizeof (struct speeds_entry));
	GHashTableIter iter;
	gpointer key, value;
	g_hash_table_iter_init (&iter, holder->speeds.pending);
	while (g_hash_table_iter_next (&iter, &key, &value)) {
		struct speeds_entry entry = *(const struct speeds_entry *)value;
		dff_core_age_duration (&entry.duration, &holder->speeds.variances, age_ms (holder));
		if (entry.duration.weight > 0.0F && !g_hash_table_contains (learned, key))
			g_array_append_val (added, entry);
	}
	g_array_append_vals (entries, added->data, added->len);
}

/* Fills in what is known now. Returns: false when the workers are alike or nothing is known. */
static bool
collect_entries (struct dff_holder *holder, struct speeds_row *row)
{
	g_autoptr (GArray) durations =
		g_array_new (FALSE, FALSE, sizeof (struct dff_worker_duration));
	if (!dff_core_export_durations (holder->core, durations, &row->variances))
		return false;
	for (guint i = 0; i < durations->len; i++) {
		struct speeds_entry entry = {
			.duration = g_array_index (durations, struct dff_worker_duration, i)};
		const struct holder_worker *worker = workers_find (holder, &entry.duration.worker);
		if (worker == NULL)
			continue;
		entry.started_ms = worker->upstream.incarnation.started_ms;
		g_array_append_val (row->entries, entry);
	}
	add_pending (holder, row->entries);
	return row->entries->len > 0;
}

/* Returns: the difference from the mean beyond which a worker that is not in the record belongs
 * into it: every worker does unless some were left out. */
static double
least_difference (const struct speeds_record *record, double limit)
{
	if (!record->truncated || record->entries->len == 0)
		return -1.0;
	const struct speeds_entry *last =
		&g_array_index (record->entries, struct speeds_entry, record->entries->len - 1);
	return abs (last->duration.relative) + limit;
}

bool
speeds_has_changed (const struct speeds_record *record, const struct speeds_row *row)
{
	double limit = CHANGE_DEVIATIONS * sqrt (row->variances.workers) * DFF_DURATION_LOG_PARTS;
	double least = least_difference (record, limit);
	guint n_found = 0;
	for (guint i = 0; i < row->entries->len; i++) {
		const struct speeds_entry *entry = entry_at (row, i);
		const struct speeds_entry *before =
			g_hash_table_lookup (record->by_name, &entry->duration.worker);
		if (before == NULL && abs (entry->duration.relative) > least)
			return true;
		if (before == NULL)
			continue;
		n_found++;
		if (before->started_ms != entry->started_ms ||
		    abs (entry->duration.relative - before->duration.relative) > limit)
			return true;
	}
	return n_found < record->entries->len;
}

static bool
is_due (const struct dff_holder *holder, const struct speeds_row *row)
{
	const struct speeds_record *recorded = holder->speeds.recorded;
	return recorded == NULL ||
	       holder_now_ms (holder) - holder->speeds.recorded_ms >= REFRESH_MS ||
	       speeds_has_changed (recorded, row);
}

/* Returns: whether the row was added to the transaction. */
static bool
draft_entries (const struct dff_holder *holder, struct speeds_row *row, struct draft *draft)
{
	row->written_ms = dff_clock_wall_ms (holder->options.timers->clock);
	return draft_row (draft, DFF_TABLE_CELL, DFF_KEY_SPEEDS, speeds_encode (row));
}

void
speeds_draft (struct dff_holder *holder, struct draft *draft)
{
	int64_t now_ms = holder_now_ms (holder);
	/* What the former holder has recorded is not overwritten before it is read. */
	if (holder->speeds.reading || now_ms < holder->speeds.due_ms)
		return;
	holder->speeds.due_ms = now_ms + CHECK_INTERVAL_MS;
	struct speeds_row row;
	speeds_row_init (&row);
	if (collect_entries (holder, &row) && is_due (holder, &row)) {
		guint n_known = row.entries->len;
		if (draft_entries (holder, &row, draft))
			holder->speeds.in_flight =
				speeds_record_new (&row, row.entries->len < n_known);
	}
	speeds_row_clear (&row);
}

bool
speeds_in_flight (const struct dff_holder *holder)
{
	return holder->speeds.in_flight != NULL;
}

/* The last transaction with the row failed and the next one without it did not. A single such case
 * may be the end of an outage; if it happens again, the row is the cause. */
static void
note_refused (struct dff_holder *holder)
{
	holder->speeds.suspect = false;
	if (++holder->speeds.n_refused == 1)
		return;
	(*holder->metrics.speeds_refused)++;
	holder->speeds.retry_delay_ms = MIN (holder->speeds.retry_delay_ms * 2, RETRY_DELAY_MAX_MS);
	if (holder->speeds.n_refused > 2)
		return;
	dff_log (DFF_LOG_CELL, DFF_LOG_WARNING,
		 "Store refuses the speeds of workers. epoch=%" PRId64, holder->epoch);
}

void
speeds_note_written (struct dff_holder *holder)
{
	if (holder->speeds.in_flight == NULL) {
		if (holder->speeds.suspect)
			note_refused (holder);
		return;
	}
	holder->speeds.suspect = false;
	holder->speeds.n_refused = 0;
	g_clear_pointer (&holder->speeds.recorded, speeds_record_free);
	holder->speeds.recorded = g_steal_pointer (&holder->speeds.in_flight);
	holder->speeds.recorded_ms = holder_now_ms (holder);
	holder->speeds.due_ms = holder->speeds.recorded_ms + WRITE_INTERVAL_MS;
	holder->speeds.retry_delay_ms = WRITE_INTERVAL_MS;
	(*holder->metrics.speeds_recorded)++;
}

/* A store that refuses the row refuses the whole transaction, so the next one goes without it. If
 * that one fails too, the row is not the cause: a conflict shows that the transaction with the row
 * took effect and only its answer was lost. */
void
speeds_note_unwritten (struct dff_holder *holder, enum dff_rows_outcome outcome)
{
	bool conflict = outcome == DFF_ROWS_CONFLICT;
	if (holder->speeds.in_flight != NULL) {
		g_clear_pointer (&holder->speeds.in_flight, speeds_record_free);
		int64_t delay_ms = conflict ? 0 : holder->speeds.retry_delay_ms;
		holder->speeds.due_ms = holder_now_ms (holder) + delay_ms;
		holder->speeds.suspect |= !conflict;
	} else {
		holder->speeds.suspect = false;
		holder->speeds.n_refused = 0;
		holder->speeds.retry_delay_ms = WRITE_INTERVAL_MS;
	}
}
