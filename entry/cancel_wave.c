#include "entry/cancel_wave.h"

#include "cell/job_row.h"
#include "common/log.h"
#include "entry/entry_private.h"
#include "entry/record.h"
#include "entry/reply.h"

/** Rows read at once, which also bounds the writes in progress. */
#define PAGE_ROWS 200
/** Hints to the holder for one page; it finds the others by its own reading. */
#define HINTS_MAX 16

struct wave {
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
	/** Some job changed between the reading and the write. */
	bool conflicted;
};

struct wave_write {
	struct wave *wave;
	struct dff_name job;
};

static void read_page (struct wave *wave);

static void
wave_free (struct wave *wave)
{
	g_string_free (wave->prefix, TRUE);
	dff_call_unref (wave->call);
	g_free (wave);
}

static void
reply_wave (struct wave *wave)
{
	struct dff_call *call = wave->call;
	json_t *json = json_object ();
	if (!dff_name_is_empty (&wave->batch))
		json_object_set_new (json, "batch", json_string (wave->batch.data));
	json_object_set_new (json, "cancelling", json_integer (wave->n_cancelled));
	if (!wave->failed) {
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

/* A job that the holder changed between the reading and the write has a higher revision now, so the
 * next page holds it again. */
static void
finish_page (struct wave *wave)
{
	bool again = wave->more || wave->conflicted;
	if (!wave->failed && again && !wave->call->entry->closed) {
		read_page (wave);
		return;
	}
	reply_wave (wave);
	wave_free (wave);
}

static void
release_page (struct wave *wave)
{
	wave->in_progress--;
	if (wave->in_progress == 0)
		finish_page (wave);
}

static void
cancel_recorded (void *user, enum dff_entry_record_outcome outcome, int64_t revision)
{
	(void)revision;
	g_autofree struct wave_write *write = user;
	struct wave *wave = write->wave;
	struct dff_entry *entry = wave->call->entry;
	if (outcome == DFF_ENTRY_RECORD_DONE) {
		wave->n_cancelled++;
		if (wave->n_hints++ < HINTS_MAX && !entry->closed)
			dff_peer_send_job_hint (entry->options.peer, &write->job);
	} else if (outcome == DFF_ENTRY_RECORD_CONFLICT) {
		wave->conflicted = true;
	} else {
		wave->failed = true;
	}
	release_page (wave);
}

static void
cancel_row (struct wave *wave, struct dff_job_row *row)
{
	row->cancel_requested = true;
	struct wave_write *pending = g_new0 (struct wave_write, 1);
	pending->wave = wave;
	pending->job = row->spec.id;
	wave->in_progress++;
	dff_call_record_job (wave->call, row, cancel_recorded, pending);
}

static bool
is_concerned (const struct wave *wave, const struct dff_job_row *row)
{
	if (row->state == DFF_JOB_ROW_ENDED || row->cancel_requested)
		return false;
	return dff_name_is_empty (&wave->team) || dff_name_equal (&wave->team, &row->spec.team);
}

static void
page_read (void *user, const struct dff_table_result *result)
{
	struct wave *wave = user;
	if (result->outcome != DFF_TABLE_OK)
		wave->failed = true;
	wave->more = result->more;
	for (size_t i = 0; i < result->n_rows; i++) {
		const struct dff_table_row *read = &result->rows[i];
		DFF_AUTO (dff_job_row)
		row = dff_job_row_decode (read->value, read->revision, NULL);
		wave->after = read->revision;
		if (row != NULL && is_concerned (wave, row))
			cancel_row (wave, row);
	}
	release_page (wave);
}

static void
read_page (struct wave *wave)
{
	const struct dff_table *table = wave->call->entry->options.table;
	struct dff_str prefix = {wave->prefix->str, wave->prefix->len};
	wave->n_hints = 0;
	wave->conflicted = false;
	wave->in_progress = 1;
	table->scan (table->ctx, prefix, wave->after, PAGE_ROWS, page_read, wave);
}

void
dff_cancel_wave (struct dff_call *call,
		 struct dff_str prefix,
		 const struct dff_name *team,
		 const struct dff_name *batch)
{
	struct wave *wave = g_new0 (struct wave, 1);
	wave->call = dff_call_ref (call);
	wave->prefix = g_string_new_len (prefix.data, (gssize)prefix.len);
	if (team != NULL)
		wave->team = *team;
	if (batch != NULL)
		wave->batch = *batch;
	read_page (wave);
}
