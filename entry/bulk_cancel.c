#include "entry/bulk_cancel.h"

#include "cell/job_row.h"
#include "common/log.h"
#include "entry/entry_private.h"
#include "entry/record.h"
#include "entry/reply.h"

/** Rows read in one page; also the maximum number of writes in progress. */
#define PAGE_ROWS 200
/** Maximum number of hints sent to the holder for one page; the holder finds the other jobs in its
 * own scan. */
#define HINTS_MAX 16

struct cancellation {
	struct dff_call *call;
	GString *prefix;
	struct dff_name team;
	struct dff_name batch;
	int64_t after;
	int32_t in_progress;
	int32_t n_hints;
	int32_t n_cancelled;
	bool failed;
	bool more;
	/** The row of some job changed between its read and its write. */
	bool conflicted;
};

struct cancel_write {
	struct cancellation *cancellation;
	struct dff_name job;
};

static void read_page (struct cancellation *cancellation);

static void
cancellation_free (struct cancellation *cancellation)
{
	g_string_free (cancellation->prefix, TRUE);
	dff_call_unref (cancellation->call);
	g_free (cancellation);
}

static void
reply_cancellation (struct cancellation *cancellation)
{
	struct dff_call *call = cancellation->call;
	json_t *json = json_object ();
	if (!dff_name_is_empty (&cancellation->batch))
		json_object_set_new (json, "batch", json_string (cancellation->batch.data));
	json_object_set_new (json, "cancelling", json_integer (cancellation->n_cancelled));
	if (!cancellation->failed) {
		dff_reply_json (call, 202, json);
		return;
	}
	struct dff_problem problem = {
		.status = 503,
		.code = "store_unavailable",
		.detail = "Not every cancellation could be put on record. Repeat the call.",
		.retry_after_s = dff_entry_retry_after_s (call->entry),
		.extra = json,
	};
	dff_reply_problem (call, &problem);
	json_decref (json);
}

/* A row that the holder changed between the read and the write has a higher revision now, so the
 * next page contains it again. */
static void
finish_page (struct cancellation *cancellation)
{
	bool again = cancellation->more || cancellation->conflicted;
	if (!cancellation->failed && again && !cancellation->call->entry->closed) {
		read_page (cancellation);
		return;
	}
	reply_cancellation (cancellation);
	cancellation_free (cancellation);
}

static void
release_page (struct cancellation *cancellation)
{
	cancellation->in_progress--;
	if (cancellation->in_progress == 0)
		finish_page (cancellation);
}

static void
cancel_recorded (void *user, enum dff_entry_record_outcome outcome, int64_t revision)
{
	(void)revision;
	g_autofree struct cancel_write *write = user;
	struct cancellation *cancellation = write->cancellation;
	struct dff_entry *entry = cancellation->call->entry;
	if (outcome == DFF_ENTRY_RECORD_DONE) {
		cancellation->n_cancelled++;
		if (cancellation->n_hints++ < HINTS_MAX && !entry->closed)
			dff_peer_send_job_hint (entry->options.peer, &write->job);
	} else if (outcome == DFF_ENTRY_RECORD_CONFLICT) {
		cancellation->conflicted = true;
	} else {
		cancellation->failed = true;
	}
	release_page (cancellation);
}

static void
cancel_row (struct cancellation *cancellation, struct dff_job_row *row)
{
	row->cancel_requested = true;
	struct cancel_write *pending = g_new0 (struct cancel_write, 1);
	pending->cancellation = cancellation;
	pending->job = row->spec.id;
	cancellation->in_progress++;
	dff_call_record_job (cancellation->call, row, cancel_recorded, pending);
}

static bool
needs_cancellation (const struct cancellation *cancellation, const struct dff_job_row *row)
{
	if (row->state == DFF_JOB_ROW_ENDED || row->cancel_requested)
		return false;
	return dff_name_is_empty (&cancellation->team) ||
	       dff_name_equal (&cancellation->team, &row->spec.team);
}

static void
page_read (void *user, const struct dff_table_result *result)
{
	struct cancellation *cancellation = user;
	if (result->outcome != DFF_TABLE_OK)
		cancellation->failed = true;
	cancellation->more = result->more;
	for (size_t i = 0; i < result->n_rows; i++) {
		const struct dff_table_row *read = &result->rows[i];
		DFF_AUTO (dff_job_row)
		row = dff_job_row_decode (read->value, read->revision, NULL);
		cancellation->after = read->revision;
		if (row != NULL && needs_cancellation (cancellation, row))
			cancel_row (cancellation, row);
	}
	release_page (cancellation);
}

static void
read_page (struct cancellation *cancellation)
{
	const struct dff_table *table = cancellation->call->entry->options.table;
	struct dff_str prefix = {cancellation->prefix->str, cancellation->prefix->len};
	cancellation->n_hints = 0;
	cancellation->conflicted = false;
	cancellation->in_progress = 1;
	table->scan (table->ctx, prefix, cancellation->after, PAGE_ROWS, page_read, cancellation);
}

void
dff_bulk_cancel (struct dff_call *call,
		 struct dff_str prefix,
		 const struct dff_name *team,
		 const struct dff_name *batch)
{
	struct cancellation *cancellation = g_new0 (struct cancellation, 1);
	cancellation->call = dff_call_ref (call);
	cancellation->prefix = g_string_new_len (prefix.data, (gssize)prefix.len);
	if (team != NULL)
		cancellation->team = *team;
	if (batch != NULL)
		cancellation->batch = *batch;
	read_page (cancellation);
}
