#include "holder/holder_private.h"

#include "common/log.h"

/* The list of workers, kept by the platform. Each worker writes its entry every second or two.
 * Reading a list of a few hundred workers whole twice a second keeps a small machine busy (350
 * entries: 0.3 s at 0.12 of a core and 10 Mbit/s) and delays the holder's transactions and orders.
 * So once a long list is known, only its changes are requested, a third of the list. With 350
 * workers this reads a sixth less from the store. */

/** Interval between two reads, ms: a worker that leaves must get no new tasks within two seconds
 * after it announces this, at the store or to this process. */
#define REFRESH_INTERVAL_MS 500
/** Timeout of a request for changes, ms: a later answer is being held back by the store, and
 * reading the whole list is quicker. */
#define CHANGES_TIMEOUT_MS 1500
/** Timeout of the first page of the whole list, ms. */
#define PAGE_TIMEOUT_MS 1500

/** Interval between two log lines about unreadable entries, ms. */
#define UNREADABLE_LOG_INTERVAL_MS 5000

/* An unreadable entry provides no worker; the other entries remain valid. A worker whose entry was
 * readable before counts as not listed. Workers write all the time, so the log lines are
 * limited. */
static void
note_unreadable (struct dff_holder *holder, const struct dff_row *row)
{
	struct dff_name id;
	int64_t now_ms = holder_now_ms (holder);
	(*holder->metrics.unreadable_entries)++;
	if (dff_name_parse (row->key, &id))
		workers_note_unlisted (holder, &id);
	if (now_ms < holder->next_unreadable_ms)
		return;
	holder->next_unreadable_ms = now_ms + UNREADABLE_LOG_INTERVAL_MS;
	dff_log (DFF_LOG_UPSTREAM, DFF_LOG_WARNING,
		 "A worker's entry cannot be read. key=%.*s revision=%" PRId64
		 " entries_so_far=%" PRId64,
		 (int)row->key.len, row->key.data, row->revision,
		 *holder->metrics.unreadable_entries);
}

static void
apply_row (struct dff_holder *holder, const struct dff_row *row, int64_t begun_ms)
{
	struct dff_upstream upstream = {0};
	struct dff_name id;
	if (row->removed) {
		if (dff_name_parse (row->key, &id))
			workers_note_unlisted (holder, &id);
		return;
	}
	if (!holder->options.read_upstream (row, &upstream)) {
		note_unreadable (holder, row);
		return;
	}
	g_hash_table_add (holder->list_seen, dff_name_dup (&upstream.incarnation.id));
	workers_note_listed (holder, &upstream, row->revision, begun_ms);
}

/* The interval starts at the end of a read, so that a slow store is not read without a pause. */
static void
schedule_refresh (struct dff_holder *holder)
{
	holder->next_list_ms = holder_now_ms (holder) + REFRESH_INTERVAL_MS;
}

static void
handle_page (void *ctx, G_GNUC_UNUSED const struct dff_rows_result *result, int64_t begun_ms)
{
	struct dff_holder *holder = ctx;
	holder->list_page_ms = begun_ms;
}

static void
handle_row (void *ctx, const struct dff_row *row)
{
	struct dff_holder *holder = ctx;
	apply_row (holder, row, holder->list_page_ms);
}

/* Workers that a whole list does not contain are missing. */
static void
handle_scan_done (void *ctx, const struct dff_scan_result *end)
{
	struct dff_holder *holder = ctx;
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, holder->workers);
	while (g_hash_table_iter_next (&iter, NULL, &value)) {
		const struct holder_worker *worker = value;
		if (!g_hash_table_contains (holder->list_seen, &worker->upstream.incarnation.id))
			workers_note_unlisted (holder, &worker->upstream.incarnation.id);
	}
	g_hash_table_remove_all (holder->list_seen);
	workers_sweep (holder);
	schedule_refresh (holder);
	holder->list_revision = end->revision;
	holder->listed_once = true;
	holder_wake (holder);
}

static void
scan_list (struct dff_holder *holder)
{
	holder->list_revision = 0;
	g_hash_table_remove_all (holder->list_seen);
	dff_scan_start (holder->list_scan);
}

static void
handle_changes (void *user, const struct dff_rows_result *result)
{
	g_autofree struct holder_call *call = user;
	struct dff_holder *holder = holder_call_end (call);
	if (holder == NULL)
		return;
	holder->changes_in_flight = false;
	/* Workers write all the time: an answer without changes means that the store holds them
	 * back, as it may do for seconds, or no longer has them. The whole list shows the current
	 * state. */
	if (result->outcome != DFF_ROWS_DONE || result->n_rows == 0) {
		scan_list (holder);
		return;
	}
	for (size_t i = 0; i < result->n_rows; i++)
		apply_row (holder, &result->rows[i], call->begun_ms);
	holder->list_revision = MAX (holder->list_revision, result->revision);
	workers_sweep (holder);
	/* A full answer is followed by the next request at once. Guards against giving new tasks
	 * for seconds to a worker that leaves, among thousands of workers: they write more entries
	 * between two reads than one answer holds, so that each read would fall further behind. */
	if (result->n_rows < DFF_ROWS_ANSWER_MAX)
		schedule_refresh (holder);
	holder_wake (holder);
}

static void
request_changes (struct dff_holder *holder)
{
	struct dff_rows_feed feed = {.table = DFF_TABLE_UPSTREAMS,
				     .after = holder->list_revision,
				     .wait_ms = 0,
				     .timeout_ms = CHANGES_TIMEOUT_MS};
	holder->changes_in_flight = true;
	holder->options.rows->feed (holder->options.rows->ctx, &feed, handle_changes,
				    holder_call_begin (holder, sizeof (struct holder_call)));
}

void
list_step (struct dff_holder *holder)
{
	int64_t now_ms = holder_now_ms (holder);
	if (dff_scan_is_running (holder->list_scan) || holder->changes_in_flight ||
	    now_ms < holder->next_list_ms)
		return;
	if (holder->list_revision > 0 &&
	    g_hash_table_size (holder->workers) >= holder->options.feed_min_workers)
		request_changes (holder);
	else
		scan_list (holder);
}

void
list_begin (struct dff_holder *holder)
{
	holder->list_seen =
		g_hash_table_new_full (dff_name_hash, dff_name_equal_func, g_free, NULL);
	struct dff_scan_options reading = {
		.timers = holder->options.timers,
		.rows = holder->options.rows,
		.table = DFF_TABLE_UPSTREAMS,
		.timeout_ms = PAGE_TIMEOUT_MS,
		.sink = {.row = handle_row,
			 .page = handle_page,
			 .done = handle_scan_done,
			 .ctx = holder},
	};
	holder->list_scan = dff_scan_new (&reading);
	holder->listed_once = false;
	holder->list_revision = 0;
	holder->changes_in_flight = false;
	holder->next_list_ms = 0;
}

void
list_reset (struct dff_holder *holder)
{
	g_clear_pointer (&holder->list_seen, g_hash_table_unref);
	g_clear_pointer (&holder->list_scan, dff_scan_free);
}
