#include "holder/holder_private.h"

#include <string.h>

#include "common/log.h"

/* Finds jobs and cancellations that the holder has not received from the feed. The feed delivers
 * most of them within milliseconds, but the store may hold feeds back for a second while it serves
 * reads, and all jobs accepted in that second would start late. So each submission also writes its
 * key to a small table. The holder reads it whole several times a second and removes the keys that
 * it has applied. */

/** Interval between two reads, ms: the longest delay until a job is known. */
#define READ_INTERVAL_MS 200
#define READ_TIMEOUT_MS 1000
#define READ_ROWS 200

void
inbox_begin (struct dff_holder *holder)
{
	holder->reading_inbox = false;
	holder->next_inbox_ms = 0;
	holder->inbox_done = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

void
inbox_reset (struct dff_holder *holder)
{
	g_clear_pointer (&holder->inbox_done, g_hash_table_unref);
}

static void
handle_job_rows (void *user, const struct dff_rows_result *result)
{
	g_autofree struct holder_call *call = user;
	struct dff_holder *holder = holder_call_end (call);
	if (holder == NULL || result->outcome != DFF_ROWS_DONE)
		return;
	for (size_t i = 0; i < result->n_rows; i++)
		jobs_handle_row (holder, &result->rows[i]);
}

/* Reads the rows of one job: the job itself and its cancellation. */
static void
read_job (struct dff_holder *holder, struct dff_str key)
{
	const struct dff_rows *rows = holder->options.rows;
	g_autofree char *text = g_strndup (key.data, key.len);
	text[strcspn (text, ".")] = '\0';
	g_autofree char *to = g_strconcat (text, "/", NULL);
	dff_log (DFF_LOG_CELL, DFF_LOG_INFO, "Job found that was not told. key=%.*s", (int)key.len,
		 key.data);
	struct dff_rows_range range = {.table = DFF_TABLE_JOBS,
				       .from = dff_str_from (text),
				       .to = dff_str_from (to),
				       .limit = 2,
				       .timeout_ms = READ_TIMEOUT_MS};
	rows->get (rows->ctx, &range, handle_job_rows,
		   holder_call_begin (holder, sizeof (struct holder_call)));
}

static void
handle_inbox (void *user, const struct dff_rows_result *result)
{
	g_autofree struct holder_call *call = user;
	struct dff_holder *holder = holder_call_end (call);
	if (holder == NULL)
		return;
	holder->reading_inbox = false;
	if (result->outcome != DFF_ROWS_DONE)
		return;
	holder->read_duration_ms = holder_now_ms (holder) - call->begun_ms;
	for (size_t i = 0; i < result->n_rows; i++) {
		struct dff_str key = result->rows[i].key;
		if (jobs_key_is_applied (holder, key))
			g_hash_table_add (holder->inbox_done, g_strndup (key.data, key.len));
		else
			read_job (holder, key);
	}
}

void
inbox_step (struct dff_holder *holder)
{
	int64_t now_ms = holder_now_ms (holder);
	if (holder->reading_inbox || now_ms < holder->next_inbox_ms)
		return;
	holder->reading_inbox = true;
	holder->next_inbox_ms = now_ms + READ_INTERVAL_MS;
	struct dff_rows_range range = {
		.table = DFF_TABLE_INBOX, .limit = READ_ROWS, .timeout_ms = READ_TIMEOUT_MS};
	holder->options.rows->get (holder->options.rows->ctx, &range, handle_inbox,
				   holder_call_begin (holder, sizeof (struct holder_call)));
}
