#include "cell/cell_private.h"

#include <inttypes.h>
#include <string.h>

#include "common/log.h"

/*
 * Deletes the rows of jobs that ended long ago; docs/decisions/retention.md gives the reasons. A
 * sweep reads the region's job rows in order of revision, which for ended rows is the order of
 * their ends, and stops among those that are too recent. A batch is deleted as a whole: first its
 * own row, which ends it for callers, then the rows of its jobs.
 */

/** Time for which this holder must have known a row as ended, by its monotonic clock, ms. */
#define KNOWN_MIN_MS 600000
/** Interval at which the revision that the feed has read is sampled, ms. */
#define SAMPLE_INTERVAL_MS 30000
/** Delay between two sweeps, ms. */
#define SWEEP_INTERVAL_MS 600000
/** Units deleted at once, and the delay before the next ones, ms. */
#define DELETE_UNITS 30
#define DELETE_INTERVAL_MS 1000
/** Delay between two reads of a batch, ms. */
#define CHECK_INTERVAL_MS 50
/** Longest time that a deletion waits to be sent, ms; then it is left to the next sweep. */
#define DELETE_TIMEOUT_MS 5000
/** Number of successive ended rows that are too recent after which a sweep stops. A single one may
 * carry the time of a wrong clock. */
#define RECENT_MAX 64
#define MS_PER_S 1000

/** Result of the sweep's check of a batch. */
enum batch_check {
	DFF_BATCH_NOT_CHECKED,
	DFF_BATCH_KEPT,
	/** The batch's own row is deleted. */
	DFF_BATCH_DELETED,
};

/** Revision of the table that the feed had read up to at a time. */
struct revision_sample {
	int64_t at_ms;
	int64_t revision;
};

/** An ended row that may be deleted. */
struct expired {
	struct dff_name id;
	struct dff_name batch;
	int64_t revision;
	enum dff_outcome outcome;
};

void
dff_cell_retention_init (struct dff_cell *cell)
{
	struct dff_cell_retention *retention = &cell->retention;
	retention->samples = g_array_new (FALSE, TRUE, sizeof (struct revision_sample));
	retention->expired = g_array_new (FALSE, TRUE, sizeof (struct expired));
	retention->batch_checks =
		g_hash_table_new_full (dff_name_hash, dff_name_equal_func, g_free, NULL);
	dff_cell_retention_clear (cell);
}

void
dff_cell_retention_clear (struct dff_cell *cell)
{
	struct dff_cell_retention *retention = &cell->retention;
	g_array_set_size (retention->samples, 0);
	g_array_set_size (retention->expired, 0);
	g_hash_table_remove_all (retention->batch_checks);
	retention->next = 0;
	retention->cursor = 0;
	retention->more = true;
	retention->n_recent = 0;
	retention->n_outstanding = 0;
	retention->checking = false;
	retention->due_ms = 0;
}

void
dff_cell_retention_free (struct dff_cell *cell)
{
	g_array_unref (cell->retention.samples);
	g_array_unref (cell->retention.expired);
	g_hash_table_unref (cell->retention.batch_checks);
}

/* A row whose revision is not above a sample's has not changed since the time of the sample, so one
 * sample per interval covers any number of rows. */
static void
take_sample (struct dff_cell *cell)
{
	GArray *samples = cell->retention.samples;
	int64_t now_ms = dff_cell_now_ms (cell);
	if (samples->len > 0 &&
	    now_ms < g_array_index (samples, struct revision_sample, samples->len - 1).at_ms +
			     SAMPLE_INTERVAL_MS)
		return;
	struct revision_sample sample = {.at_ms = now_ms, .revision = cell->feed.scanned_revision};
	g_array_append_val (samples, sample);
	while (samples->len > 1 &&
	       g_array_index (samples, struct revision_sample, 1).at_ms <= now_ms - KNOWN_MIN_MS)
		g_array_remove_index (samples, 0);
}

/* Returns: the revision up to which rows have been known for long enough; 0: none. */
static int64_t
settled_revision (const struct dff_cell *cell)
{
	const struct revision_sample *first =
		&g_array_index (cell->retention.samples, struct revision_sample, 0);
	return first->at_ms <= dff_cell_now_ms (cell) - KNOWN_MIN_MS ? first->revision : 0;
}

/* Two clocks have to agree. By the wall clock, which may be wrong, the retention has passed. By the
 * monotonic clock, which does not cover earlier holders, this holder has known the end for long
 * enough. */
bool
dff_cell_retention_is_over (const struct dff_cell *cell, int64_t ended_wall_ms, int64_t revision)
{
	int64_t age_ms = dff_clock_wall_ms (cell->options.clock) - ended_wall_ms;
	return ended_wall_ms > 0 && age_ms >= (int64_t)cell->options.retention_s * MS_PER_S &&
	       revision <= settled_revision (cell);
}

static bool
is_expired (const struct dff_cell *cell, const struct dff_job_row *row)
{
	return row->state == DFF_JOB_ROW_ENDED &&
	       dff_cell_retention_is_over (cell, row->ended_wall_ms, row->revision) &&
	       dff_cell_job_find (cell, &row->spec.id) == NULL;
}

static struct dff_cell_call *
begin_call (struct dff_cell *cell, enum dff_cell_call_type type)
{
	cell->retention.n_outstanding += 1;
	return dff_cell_call_begin (cell, type);
}

/* Returns: whether the answer still counts. */
static bool
end_call (void *user, struct dff_cell_call *call)
{
	if (!dff_cell_call_end (user, call))
		return false;
	call->cell->retention.n_outstanding -= 1;
	return true;
}

/* If the table does not answer, the sweep pauses. */
static bool
is_answered (struct dff_cell *cell, const struct dff_table_result *result)
{
	if (result->outcome == DFF_TABLE_OK)
		return true;
	cell->retention.due_ms = dff_cell_now_ms (cell) + DELETE_TIMEOUT_MS;
	return false;
}

static void
handle_row (struct dff_cell *cell, const struct dff_table_row *table_row)
{
	struct dff_cell_retention *retention = &cell->retention;
	DFF_AUTO (dff_job_row)
	row = dff_job_row_decode (table_row->value, table_row->revision, NULL);
	retention->cursor = table_row->revision;
	if (row == NULL || row->state != DFF_JOB_ROW_ENDED)
		return;
	if (!is_expired (cell, row)) {
		retention->n_recent += 1;
		return;
	}
	retention->n_recent = 0;
	struct expired expired = {
		.id = row->spec.id,
		.batch = row->batch,
		.revision = row->revision,
		.outcome = row->outcome,
	};
	g_array_append_val (retention->expired, expired);
}

static void
on_page (void *user, const struct dff_table_result *result)
{
	struct dff_cell_call call;
	if (!end_call (user, &call) || !is_answered (call.cell, result))
		return;
	struct dff_cell_retention *retention = &call.cell->retention;
	for (size_t i = 0; i < result->n_rows; i++)
		handle_row (call.cell, &result->rows[i]);
	retention->more = result->more && retention->n_recent < RECENT_MAX;
}

static void
read_page (struct dff_cell *cell)
{
	struct dff_cell_retention *retention = &cell->retention;
	const struct dff_table *table = cell->options.table;
	struct dff_str prefix = {.data = cell->prefix->str, .len = cell->prefix->len};
	g_array_set_size (retention->expired, 0);
	retention->next = 0;
	retention->due_ms = dff_cell_now_ms (cell) + DELETE_INTERVAL_MS;
	table->scan (table->ctx, prefix, retention->cursor, DFF_CELL_PAGE_ROWS, on_page,
		     begin_call (cell, DFF_CELL_CALL_SCAN));
}

/* Returns: what follows the last dot of "REGION.HASH". */
static const char *
hash_of (const struct dff_name *id)
{
	const char *dot = strrchr (id->data, '.');
	return dot != NULL ? dot + 1 : id->data;
}

static GString *
batch_key (const struct dff_cell *cell, const struct dff_name *batch)
{
	GString *key = g_string_new (NULL);
	g_string_printf (key, "batch/%s/%s", cell->options.region.data, hash_of (batch));
	return key;
}

static void
set_batch_check (struct dff_cell *cell, enum batch_check batch_check)
{
	struct dff_cell_retention *retention = &cell->retention;
	retention->checking = false;
	g_hash_table_insert (retention->batch_checks, dff_name_dup (&retention->batch),
			     GINT_TO_POINTER (batch_check));
}

static void
on_batch_deleted (void *user, enum dff_record_outcome outcome, int64_t revision)
{
	(void)revision;
	struct dff_cell_call call;
	if (end_call (user, &call))
		set_batch_check (call.cell, outcome == DFF_RECORD_COMMITTED ? DFF_BATCH_DELETED
									    : DFF_BATCH_KEPT);
}

/* Deletes @key if its revision is still @revision and @condition (nullable) holds. Deletes
 * "idem/HASH" as well unless @hash is NULL. */
static void
delete_rows (struct dff_cell *cell,
	     const GString *key,
	     int64_t revision,
	     const char *hash,
	     const struct dff_table_condition *condition,
	     dff_record_func done,
	     struct dff_cell_call *call)
{
	g_autofree char *idem = g_strconcat ("idem/", hash, NULL);
	struct dff_table_condition conditions[] = {
		{dff_lease_epoch_key (cell->lease), dff_lease_epoch_revision (cell->lease)},
		{{key->str, key->len}, revision},
		{.revision = 0},
	};
	const struct dff_table_write writes[] = {
		{.key = {key->str, key->len}},
		{.key = dff_str_from (idem)},
	};
	if (condition != NULL)
		conditions[2] = *condition;
	const struct dff_record_write record = {
		.conditions = conditions,
		.n_conditions = condition != NULL ? 3 : 2,
		.writes = writes,
		.n_writes = hash != NULL ? 2 : 1,
		.queue_timeout_ms = DELETE_TIMEOUT_MS,
	};
	call->ticket = dff_recorder_write (cell->options.recorder, &record, done, call);
}

static void
on_batch_jobs (void *user, const struct dff_table_result *result)
{
	struct dff_cell_call call;
	if (!end_call (user, &call) || !is_answered (call.cell, result))
		return;
	struct dff_cell *cell = call.cell;
	struct dff_cell_retention *retention = &cell->retention;
	for (size_t i = 0; i < result->n_rows; i++) {
		const struct dff_table_row *found = &result->rows[i];
		DFF_AUTO (dff_job_row)
		row = dff_job_row_decode (found->value, found->revision, NULL);
		retention->batch_cursor = found->revision;
		if (row == NULL || !is_expired (cell, row)) {
			set_batch_check (cell, DFF_BATCH_KEPT);
			return;
		}
	}
	if (result->more)
		return;
	g_autoptr (GString) key = batch_key (cell, &retention->batch);
	delete_rows (cell, key, retention->batch_revision, hash_of (&retention->batch), NULL,
		     on_batch_deleted, begin_call (cell, DFF_CELL_CALL_WRITE));
}

/* Reads the next page of the batch's jobs. */
static void
check_jobs (struct dff_cell *cell)
{
	struct dff_cell_retention *retention = &cell->retention;
	const struct dff_table *table = cell->options.table;
	retention->due_ms = dff_cell_now_ms (cell) + CHECK_INTERVAL_MS;
	g_autoptr (GString) prefix = g_string_new (NULL);
	g_string_printf (prefix, "job/%s/%s.", cell->options.region.data, retention->batch.data);
	table->scan (table->ctx, (struct dff_str){prefix->str, prefix->len},
		     retention->batch_cursor, DFF_CELL_PAGE_ROWS, on_batch_jobs,
		     begin_call (cell, DFF_CELL_CALL_SCAN));
}

static void
on_batch_row (void *user, const struct dff_table_result *result)
{
	struct dff_cell_call call;
	if (!end_call (user, &call) || !is_answered (call.cell, result))
		return;
	struct dff_cell_retention *retention = &call.cell->retention;
	if (result->n_rows == 0) {
		set_batch_check (call.cell, DFF_BATCH_DELETED);
		return;
	}
	retention->checking = true;
	retention->batch_revision = result->rows[0].revision;
	retention->batch_cursor = 0;
}

static void
check_batch (struct dff_cell *cell, const struct dff_name *batch)
{
	const struct dff_table *table = cell->options.table;
	g_autoptr (GString) key = batch_key (cell, batch);
	const struct dff_str text = {key->str, key->len};
	cell->retention.batch = *batch;
	cell->retention.due_ms = dff_cell_now_ms (cell) + CHECK_INTERVAL_MS;
	table->get (table->ctx, &text, 1, on_batch_row, begin_call (cell, DFF_CELL_CALL_READ));
}

static void
on_deleted (void *user, enum dff_record_outcome outcome, int64_t revision)
{
	(void)revision;
	struct dff_cell_call call;
	if (!end_call (user, &call) || outcome != DFF_RECORD_COMMITTED)
		return;
	struct dff_cell *cell = call.cell;
	*cell->metrics.expired += 1;
	/* The counters describe the rows that exist, so that the next holder counts the same. */
	if (cell->ended[call.outcome] > 0)
		cell->ended[call.outcome] -= 1;
}

static void
delete_job (struct dff_cell *cell, const struct expired *expired)
{
	struct dff_cell_call *call = begin_call (cell, DFF_CELL_CALL_WRITE);
	g_autoptr (GString) key = dff_job_row_key (&expired->id);
	call->outcome = expired->outcome;
	if (dff_name_is_empty (&expired->batch)) {
		delete_rows (cell, key, expired->revision, hash_of (&expired->id), NULL, on_deleted,
			     call);
		return;
	}
	/* The same batch may have been submitted again since its row was deleted. */
	g_autoptr (GString) batch = batch_key (cell, &expired->batch);
	const struct dff_table_condition absent = {.key = {batch->str, batch->len}};
	delete_rows (cell, key, expired->revision, NULL, &absent, on_deleted, call);
}

static void
delete_some (struct dff_cell *cell)
{
	struct dff_cell_retention *retention = &cell->retention;
	int units = 0;
	retention->due_ms = dff_cell_now_ms (cell) + DELETE_INTERVAL_MS;
	while (retention->next < retention->expired->len && units < DELETE_UNITS) {
		const struct expired *expired =
			&g_array_index (retention->expired, struct expired, retention->next);
		gpointer found = g_hash_table_lookup (retention->batch_checks, &expired->batch);
		enum batch_check batch_check = (enum batch_check)GPOINTER_TO_INT (found);
		bool single = dff_name_is_empty (&expired->batch);
		if (!single && batch_check == DFF_BATCH_NOT_CHECKED) {
			check_batch (cell, &expired->batch);
			return;
		}
		retention->next += 1;
		if (!single && batch_check == DFF_BATCH_KEPT)
			continue;
		delete_job (cell, expired);
		units += 1;
	}
}

static void
end_sweep (struct dff_cell *cell)
{
	struct dff_cell_retention *retention = &cell->retention;
	g_hash_table_remove_all (retention->batch_checks);
	retention->cursor = 0;
	retention->more = true;
	retention->n_recent = 0;
	retention->due_ms = dff_cell_now_ms (cell) + SWEEP_INTERVAL_MS;
}

void
dff_cell_retention_tick (struct dff_cell *cell)
{
	struct dff_cell_retention *retention = &cell->retention;
	take_sample (cell);
	if (retention->n_outstanding > 0 || dff_cell_now_ms (cell) < retention->due_ms ||
	    settled_revision (cell) == 0 || dff_recorder_is_breaker_open (cell->options.recorder))
		return;
	if (retention->checking)
		check_jobs (cell);
	else if (retention->next < retention->expired->len)
		delete_some (cell);
	else if (retention->more)
		read_page (cell);
	else
		end_sweep (cell);
}
