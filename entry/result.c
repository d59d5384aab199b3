#include "entry/result.h"

#include "cell/job_row.h"
#include "entry/delivery.h"
#include "entry/entry_private.h"
#include "entry/job_fetch.h"
#include "entry/reply.h"
#include "entry/route.h"

/** Maximum time of a long poll, ms. */
#define WAIT_MAX_MS 60000
/** Interval at which rows of jobs with waiting callers are read again, ms. Each read takes the next
 * part of the jobs. */
#define REREAD_MS 3000
/** Maximum number of jobs with waiting callers, and of jobs that count towards their team's quota,
 * in one such read. Nine processes with many callers read 450 rows a second with these limits, of
 * the 2,000 that all processes share. */
#define REREAD_WAITING_MAX 100
#define REREAD_COUNTED_MAX 50
/** Maximum halvings of a read; one row of each kind is then left. */
#define HALVINGS_MAX 6
/** Retry-After for the caller of an unfinished job, s. */
#define POLL_AGAIN_S 1

struct waiter {
	struct dff_results *results;
	struct dff_call *call;
	struct dff_name job;
	struct dff_deadline *timeout;
	/** The job's row is being read. */
	bool reading;
	bool removed;
};

struct dff_results {
	struct dff_entry *entry;
	/** Elements: struct waiter *. */
	GPtrArray *waiters;
	/** Index of the next waiter to read, modulo the number of waiters. */
	guint next_waiter;
	int64_t next_reread_ms;
	bool rereading;
	/** How often the number of rows in one read is currently halved. */
	int32_t n_halvings;
};

static void
waiter_free (struct waiter *waiter)
{
	dff_call_unref (waiter->call);
	g_free (waiter);
}

/* Frees a waiter that was removed from the list. While its row is being read, the callback of the
 * read frees the waiter. */
static void
release_waiter (struct waiter *waiter)
{
	struct dff_entry *entry = waiter->call->entry;
	dff_deadlines_clear (entry->deadlines, &waiter->timeout);
	waiter->call->on_lost = NULL;
	waiter->removed = true;
	if (!waiter->reading)
		waiter_free (waiter);
}

static void
remove_waiter (struct waiter *waiter)
{
	g_ptr_array_remove_fast (waiter->results->waiters, waiter);
	release_waiter (waiter);
}

static struct waiter *
pop_waiter (struct dff_results *results)
{
	guint n = results->waiters->len;
	return n == 0 ? NULL : g_ptr_array_steal_index_fast (results->waiters, n - 1);
}

static void
reply_not_ended (struct dff_call *call)
{
	char seconds[8];
	g_snprintf (seconds, sizeof (seconds), "%d", POLL_AGAIN_S);
	dff_call_set_header (call, "Retry-After", seconds);
	dff_reply_json (call, 202,
			json_pack ("{s:s, s:s}", "id", call->subject.data, "state", "not_ended"));
}

static void
wait_timed_out (void *user)
{
	struct waiter *waiter = user;
	waiter->timeout = NULL;
	reply_not_ended (waiter->call);
	remove_waiter (waiter);
}

static void
caller_lost (struct dff_call *call, void *user)
{
	(void)call;
	remove_waiter (user);
}

static void
row_reread (struct dff_call *call,
	    enum dff_fetch_outcome outcome,
	    struct dff_job_row *row,
	    void *user)
{
	struct waiter *waiter = user;
	waiter->reading = false;
	if (waiter->removed) {
		waiter_free (waiter);
		return;
	}
	if (outcome != DFF_FETCH_FOUND || row->state != DFF_JOB_ROW_ENDED)
		return;
	call->on_lost = NULL;
	dff_delivery_begin (call, row);
	remove_waiter (waiter);
}

static void
wake (struct waiter *waiter)
{
	if (waiter->reading)
		return;
	waiter->reading = true;
	dff_job_fetch (waiter->call, &waiter->job, row_reread, waiter);
}

static void
add_waiter (struct dff_call *call, int64_t wait_ms)
{
	struct dff_entry *entry = call->entry;
	struct waiter *waiter = g_new0 (struct waiter, 1);
	waiter->results = entry->results;
	waiter->call = dff_call_ref (call);
	waiter->job = call->subject;
	waiter->timeout = dff_deadlines_add (entry->deadlines, dff_entry_now_ms (entry) + wait_ms,
					     wait_timed_out, waiter);
	call->on_lost = caller_lost;
	call->on_lost_user = waiter;
	g_ptr_array_add (entry->results->waiters, waiter);
	dff_peer_send_job_watch (entry->options.peer, &waiter->job);
}

static void
row_fetched (struct dff_call *call,
	     enum dff_fetch_outcome outcome,
	     struct dff_job_row *row,
	     void *user)
{
	int64_t wait_ms = GPOINTER_TO_INT (user);
	if (outcome == DFF_FETCH_FOUND && !dff_auth_may_see_team (call, &row->spec.team))
		outcome = DFF_FETCH_MISSING;
	if (outcome != DFF_FETCH_FOUND)
		dff_reply_fetch_failed (call, outcome);
	else if (row->state == DFF_JOB_ROW_ENDED)
		dff_delivery_begin (call, row);
	else if (wait_ms == 0 || call->entry->leaving)
		reply_not_ended (call);
	else if (dff_call_is_open (call))
		add_waiter (call, wait_ms);
}

void
dff_result_read (struct dff_call *call)
{
	const char *text = dff_call_query (call, "wait_ms");
	gint64 wait_ms = 0;
	if (text != NULL && !g_ascii_string_to_signed (text, 10, 0, WAIT_MAX_MS, &wait_ms, NULL)) {
		dff_reply_error (call, 400, "invalid_query", "wait_ms: 0 to 60000 is expected");
		return;
	}
	dff_job_fetch (call, &call->subject, row_fetched, GINT_TO_POINTER ((gint)wait_ms));
}

struct dff_results *
dff_results_new (struct dff_entry *entry)
{
	struct dff_results *results = g_new0 (struct dff_results, 1);
	results->entry = entry;
	results->waiters = g_ptr_array_new ();
	return results;
}

void
dff_results_free (struct dff_results *results)
{
	struct waiter *waiter;
	while ((waiter = pop_waiter (results)) != NULL)
		release_waiter (waiter);
	g_ptr_array_unref (results->waiters);
	g_free (results);
}

void
dff_results_job_ended (struct dff_results *results, const struct dff_name *job)
{
	for (guint i = results->waiters->len; i > 0; i--) {
		struct waiter *waiter = results->waiters->pdata[i - 1];
		if (dff_name_equal (&waiter->job, job))
			wake (waiter);
	}
}

static void
reply_to_all_waiters (struct dff_results *results)
{
	struct waiter *waiter;
	while ((waiter = pop_waiter (results)) != NULL) {
		reply_not_ended (waiter->call);
		release_waiter (waiter);
	}
}

/* Rows may have up to half a MB, and the table drops an answer that is too long. If the same number
 * of rows were requested again, no row would ever be read: callers whose notification was lost
 * would get no result, and ended jobs would count towards their team's quota for good. The number
 * is halved after each failed read and doubled after each successful one. */
static void
adapt_reread_size (struct dff_results *results, enum dff_table_outcome outcome)
{
	int32_t change = outcome == DFF_TABLE_OK ? -1 : 1;
	results->n_halvings = CLAMP (results->n_halvings + change, 0, HALVINGS_MAX);
}

static void
rows_reread (void *user, const struct dff_table_result *result)
{
	struct dff_entry *entry = user;
	if (!entry->closed) {
		entry->results->rereading = false;
		adapt_reread_size (entry->results, result->outcome);
	}
	for (size_t i = 0; i < result->n_rows && !entry->closed; i++) {
		const struct dff_table_row *read = &result->rows[i];
		DFF_AUTO (dff_job_row)
		row = dff_job_row_decode (read->value, read->revision, NULL);
		if (row != NULL && row->state == DFF_JOB_ROW_ENDED)
			dff_entry_handle_job_ended (entry, &row->spec.id, row->outcome);
	}
	dff_entry_unref (entry);
}

static guint
reduced (const struct dff_results *results, guint n)
{
	return MAX (1, n >> results->n_halvings);
}

static GArray *
jobs_to_reread (struct dff_results *results)
{
	GArray *jobs = dff_team_quota_sample (results->entry->quota,
					      reduced (results, REREAD_COUNTED_MAX));
	guint n_waiters = results->waiters->len;
	guint n = MIN (n_waiters, reduced (results, REREAD_WAITING_MAX));
	for (guint i = 0; i < n; i++) {
		const struct waiter *waiter =
			results->waiters->pdata[results->next_waiter++ % n_waiters];
		g_array_append_val (jobs, waiter->job);
	}
	return jobs;
}

/* The holder's notification that a job has ended may be lost, or the holder may have died. Without
 * reading the rows again, a long poll would time out although the result exists. */
static void
reread (struct dff_results *results)
{
	struct dff_entry *entry = results->entry;
	const struct dff_table *table = entry->options.table;
	g_autoptr (GArray) jobs = jobs_to_reread (results);
	if (jobs->len == 0)
		return;
	g_autofree struct dff_str *keys = g_new0 (struct dff_str, jobs->len);
	g_autoptr (GPtrArray) texts = g_ptr_array_new_with_free_func (g_free);
	for (guint i = 0; i < jobs->len; i++) {
		GString *key = dff_job_row_key (&g_array_index (jobs, struct dff_name, i));
		keys[i].len = key->len;
		keys[i].data = g_string_free (key, FALSE);
		g_ptr_array_add (texts, (gpointer)keys[i].data);
	}
	results->rereading = true;
	table->get (table->ctx, keys, jobs->len, rows_reread, dff_entry_ref (entry));
}

void
dff_results_tick (struct dff_results *results)
{
	int64_t now_ms = dff_entry_now_ms (results->entry);
	if (results->entry->leaving)
		reply_to_all_waiters (results);
	if (results->rereading || now_ms < results->next_reread_ms)
		return;
	results->next_reread_ms = now_ms + REREAD_MS;
	reread (results);
}
