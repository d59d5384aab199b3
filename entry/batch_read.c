#include <string.h>

#include "cell/job_row.h"
#include "entry/batch.h"
#include "entry/bulk_cancel.h"
#include "entry/entry_private.h"
#include "entry/job_fetch.h"
#include "entry/job_json.h"
#include "entry/reply.h"
#include "entry/route.h"

/** Rows read in one page. */
#define PAGE_ROWS 500

/** Category under which a job is counted. For ended jobs it equals the outcome. */
enum tally_category {
	DFF_TALLY_ABSENT = 0,
	DFF_TALLY_COMPLETED = DFF_OUTCOME_COMPLETED,
	DFF_TALLY_FAILED = DFF_OUTCOME_FAILED,
	DFF_TALLY_CANCELLED = DFF_OUTCOME_CANCELLED,
	DFF_TALLY_NOT_RUN = DFF_OUTCOME_NOT_RUN,
	DFF_TALLY_UNKNOWN = DFF_OUTCOME_UNKNOWN,
	DFF_TALLY_RUNNING,
	DFF_TALLY_QUEUED,
	DFF_TALLY_N_CATEGORIES,
};

struct tally {
	struct dff_call *call;
	GString *prefix;
	int32_t manifest;
	int64_t after;
	/** The enum tally_category of each job, by index. A row that changes during the scan is
	 * read again and is still counted once. */
	uint8_t *categories;
};

static void read_page (struct tally *tally);

static void
tally_free (struct tally *tally)
{
	g_string_free (tally->prefix, TRUE);
	g_free (tally->categories);
	dff_call_unref (tally->call);
	g_free (tally);
}

static enum tally_category
category_of (const struct dff_job_row *row)
{
	if (row->state == DFF_JOB_ROW_ENDED)
		return (enum tally_category)row->outcome;
	return row->state == DFF_JOB_ROW_OPEN ? DFF_TALLY_RUNNING : DFF_TALLY_QUEUED;
}

static void
count_row (struct tally *tally, const struct dff_table_row *read)
{
	DFF_AUTO (dff_job_row) row = dff_job_row_decode (read->value, read->revision, NULL);
	guint64 index = 0;
	if (row == NULL)
		return;
	const char *dot = strrchr (row->spec.id.data, '.');
	if (dot == NULL ||
	    !g_ascii_string_to_unsigned (dot + 1, 10, 0, tally->manifest - 1, &index, NULL))
		return;
	tally->categories[index] = category_of (row);
}

static void
reply_tally (struct tally *tally)
{
	static const char *const names[DFF_TALLY_N_CATEGORIES] = {
		[DFF_TALLY_COMPLETED] = "completed", [DFF_TALLY_FAILED] = "failed",
		[DFF_TALLY_CANCELLED] = "cancelled", [DFF_TALLY_NOT_RUN] = "not_run",
		[DFF_TALLY_UNKNOWN] = "unknown",     [DFF_TALLY_RUNNING] = "running",
		[DFF_TALLY_QUEUED] = "queued",
	};
	int32_t counts[DFF_TALLY_N_CATEGORIES] = {0};
	for (int32_t i = 0; i < tally->manifest; i++)
		counts[tally->categories[i]]++;
	int32_t accepted = tally->manifest - counts[DFF_TALLY_ABSENT];
	json_t *json = json_object ();
	json_object_set_new (json, "batch", json_string (tally->call->subject.data));
	json_object_set_new (json, "manifest", json_integer (tally->manifest));
	json_object_set_new (json, "accepted", json_integer (accepted));
	for (int category = DFF_TALLY_ABSENT + 1; category < DFF_TALLY_N_CATEGORIES; category++)
		json_object_set_new (json, names[category], json_integer (counts[category]));
	dff_reply_json (tally->call, 200, json);
}

static void
page_read (void *user, const struct dff_table_result *result)
{
	struct tally *tally = user;
	for (size_t i = 0; i < result->n_rows; i++) {
		count_row (tally, &result->rows[i]);
		tally->after = result->rows[i].revision;
	}
	if (result->outcome == DFF_TABLE_OK && result->more && dff_call_is_open (tally->call)) {
		read_page (tally);
		return;
	}
	if (result->outcome == DFF_TABLE_OK)
		reply_tally (tally);
	else
		dff_reply_store_unavailable (tally->call);
	tally_free (tally);
}

static void
read_page (struct tally *tally)
{
	const struct dff_table *table = tally->call->entry->options.table;
	struct dff_str prefix = {tally->prefix->str, tally->prefix->len};
	table->scan (table->ctx, prefix, tally->after, PAGE_ROWS, page_read, tally);
}

static void
begin_tally (struct dff_call *call, const struct dff_batch_row *row)
{
	struct tally *tally = g_new0 (struct tally, 1);
	tally->call = dff_call_ref (call);
	tally->prefix = dff_batch_job_prefix (&call->subject);
	tally->manifest = row->manifest;
	tally->categories = g_new0 (uint8_t, row->manifest);
	read_page (tally);
}

/* Called with the batch's row once it was read and the caller may see it. */
typedef void (*batch_func) (struct dff_call *call, const struct dff_batch_row *row);

struct batch_fetch {
	batch_func next;
};

static void
row_fetched (struct dff_call *call,
	     enum dff_fetch_outcome outcome,
	     struct dff_str value,
	     int64_t revision,
	     void *user)
{
	(void)revision;
	g_autofree struct batch_fetch *fetch = user;
	struct dff_batch_row row;
	if (outcome == DFF_FETCH_FOUND && !dff_batch_row_decode (value, &row))
		outcome = DFF_FETCH_UNAVAILABLE;
	if (outcome == DFF_FETCH_FOUND && !dff_auth_may_see_team (call, &row.team))
		outcome = DFF_FETCH_MISSING;
	if (outcome == DFF_FETCH_FOUND)
		fetch->next (call, &row);
	else
		dff_reply_fetch_failed (call, outcome);
}

static void
fetch_batch (struct dff_call *call, batch_func next)
{
	g_autoptr (GString) key = dff_batch_row_key (&call->subject);
	if (key == NULL) {
		dff_reply_fetch_failed (call, DFF_FETCH_MISSING);
		return;
	}
	struct dff_str text = {key->str, key->len};
	struct batch_fetch *fetch = g_new0 (struct batch_fetch, 1);
	fetch->next = next;
	dff_value_fetch (call, text, row_fetched, fetch);
}

static void
begin_cancel (struct dff_call *call, const struct dff_batch_row *row)
{
	(void)row;
	g_autoptr (GString) prefix = dff_batch_job_prefix (&call->subject);
	struct dff_str text = {prefix->str, prefix->len};
	dff_bulk_cancel (call, text, NULL, &call->subject);
}

void
dff_batch_read (struct dff_call *call)
{
	fetch_batch (call, begin_tally);
}

void
dff_batch_cancel (struct dff_call *call)
{
	fetch_batch (call, begin_cancel);
}
