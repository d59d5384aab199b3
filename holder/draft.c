#include "holder/holder_private.h"

/* Contents of one transaction of the holder, and the effect of its outcome on its rows: the
 * holder's row, changed jobs, counts of jobs that have not begun, the workers' speeds, and the
 * removal of finished jobs and inbox rows. */

/** Writes and conditions of one transaction: the store's limit, minus the counts, the speeds and
 * some removals. */
#define ENTRIES_MAX (DFF_ROWS_COMMIT_MAX - 10)
/** Size of one transaction before encoding, bytes: the store accepts 1 MB in base64. */
#define BYTES_MAX 600000
/** Interval between two writes of the counts of jobs that have not begun, ms: readers accept
 * counts that are 2 s old. */
#define WAITING_INTERVAL_MS 700
/** Finished jobs removed in one transaction: three rows each. */
#define REMOVED_MAX 10

struct removal {
	struct dff_name job;
	/** Final state. */
	enum dff_job_state state;
	int64_t due_ms;
};

struct draft {
	/** Elements: struct dff_rows_write. */
	GArray *writes;
	/** Elements: struct dff_rows_condition. */
	GArray *conditions;
	/** Buffers that the writes refer to. Elements: GString *. */
	GPtrArray *texts;
	gsize bytes;
	/** Number of finished jobs whose rows the transaction removes. */
	guint n_removed;
	/** Keys that the transaction removes from the inbox. Elements: char *. */
	GPtrArray *inbox;
};

static void
release_acks (struct dff_holder *holder, struct holder_job *job)
{
	g_autoptr (GArray) acks = g_array_new (FALSE, FALSE, sizeof (struct holder_ack));
	for (guint i = job->acks->len; i > 0; i--) {
		struct holder_ack *ack = &g_array_index (job->acks, struct holder_ack, i - 1);
		if (!ack->in_flight)
			continue;
		g_array_prepend_val (acks, *ack);
		g_array_remove_index (job->acks, i - 1);
	}
	for (guint i = 0; i < acks->len; i++) {
		const struct holder_ack *ack = &g_array_index (acks, struct holder_ack, i);
		units_note_recorded (holder, ack);
		jobs_report (holder, &ack->unit, ack->attempt, 0, DFF_EVENT_ATTEMPT_RECORDED,
			     false);
	}
}

static void
note_final (struct dff_holder *holder, struct holder_job *job)
{
	struct dff_name id = job->id;
	enum dff_job_state state = job->recorded_state;
	if (!jobs_release (holder, job))
		return;
	struct removal *removal = g_new0 (struct removal, 1);
	removal->job = id;
	removal->state = state;
	removal->due_ms = holder_now_ms (holder) + holder->options.retention_ms;
	g_queue_push_tail (&holder->finished, removal);
	g_hash_table_insert (holder->finished_names, &removal->job, removal);
}

bool
draft_has_finished (const struct dff_holder *holder, const struct dff_name *job)
{
	return g_hash_table_contains (holder->finished_names, job);
}

bool
draft_finished_state (const struct dff_holder *holder,
		      const struct dff_name *job,
		      enum dff_job_state *state)
{
	const struct removal *removal = g_hash_table_lookup (holder->finished_names, job);
	if (removal == NULL)
		return false;
	*state = removal->state;
	return true;
}

/* Rows in the transaction are recorded unless they have changed again since. */
static void
note_written (struct dff_holder *holder)
{
	g_autoptr (GPtrArray) final = g_ptr_array_new ();
	for (guint i = 0; i < holder->committed_jobs->len; i++) {
		struct holder_job *job = g_ptr_array_index (holder->committed_jobs, i);
		bool was_final = dff_job_state_is_final (job->recorded_state);
		job->recorded_state = job->drafted_state;
		if (!was_final && dff_job_state_is_final (job->recorded_state))
			jobs_note_recorded (holder, job);
		release_acks (holder, job);
		if (!job->dirty && dff_job_state_is_final (job->progress->state))
			g_ptr_array_add (final, job);
	}
	for (guint i = 0; i < final->len; i++)
		note_final (holder, g_ptr_array_index (final, i));
	g_ptr_array_set_size (holder->committed_jobs, 0);
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, holder->workers);
	while (holder->commit_covers_all && g_hash_table_iter_next (&iter, NULL, &value)) {
		struct holder_worker *worker = value;
		worker->ended_recorded = MAX (worker->ended_recorded, worker->ended_in_flight);
	}
	g_string_assign (holder->waiting_recorded, holder->waiting_in_flight->str);
}

static void
drop_removed (struct dff_holder *holder, guint count)
{
	for (guint i = 0; i < count; i++) {
		struct removal *removal = g_queue_pop_head (&holder->finished);
		g_hash_table_remove (holder->finished_names, &removal->job);
		g_free (removal);
	}
}

static bool
counts_as_waiting (const struct holder_job *job)
{
	return job->progress->state == DFF_JOB_STATE_QUEUED && !job->plan->timed && !job->cancelled;
}

/* Counts the jobs that have not begun, by class: "CLASS COUNT\n" each. */
static GString *
encode_waiting (struct dff_holder *holder)
{
	g_autoptr (GHashTable) counts = g_hash_table_new (dff_name_hash, dff_name_equal_func);
	GHashTableIter iter;
	gpointer key, value;
	g_hash_table_iter_init (&iter, holder->jobs);
	while (g_hash_table_iter_next (&iter, NULL, &value)) {
		struct holder_job *job = value;
		if (!counts_as_waiting (job))
			continue;
		gpointer before = g_hash_table_lookup (counts, &job->plan->class_name);
		g_hash_table_insert (counts, &job->plan->class_name,
				     GINT_TO_POINTER (GPOINTER_TO_INT (before) + 1));
	}
	GString *text = g_string_new (NULL);
	g_hash_table_iter_init (&iter, counts);
	while (g_hash_table_iter_next (&iter, &key, &value))
		g_string_append_printf (text, "%s %d\n", ((const struct dff_name *)key)->data,
					GPOINTER_TO_INT (value));
	return text;
}

static void
draft_text (gpointer text)
{
	g_string_free (text, TRUE);
}

static void
draft_write (struct draft *draft, const char *table, struct dff_str key, GString *value)
{
	g_ptr_array_add (draft->texts, value);
	draft->bytes += value->len;
	struct dff_rows_write write = {
		.table = table, .key = key, .value = {value->str, value->len}};
	g_array_append_val (draft->writes, write);
}

static void
draft_remove (struct draft *draft,
	      const char *table,
	      const struct dff_name *job,
	      const char *suffix)
{
	GString *key = g_string_new (job->data);
	g_string_append (key, suffix);
	g_ptr_array_add (draft->texts, key);
	struct dff_rows_write write = {.table = table, .key = {key->str, key->len}, .remove = true};
	g_array_append_val (draft->writes, write);
}

static guint
n_entries (const struct draft *draft)
{
	return draft->writes->len + draft->conditions->len;
}

bool
draft_submission (struct draft *draft, const char *key, const GString *value)
{
	if (n_entries (draft) + 2 > ENTRIES_MAX || draft->bytes + value->len > BYTES_MAX)
		return false;
	struct dff_rows_condition condition = {.table = DFF_TABLE_JOBS, .key = dff_str_from (key)};
	g_array_append_val (draft->conditions, condition);
	struct dff_rows_write write = {
		.table = DFF_TABLE_JOBS, .key = condition.key, .value = {value->str, value->len}};
	g_array_append_val (draft->writes, write);
	draft->bytes += value->len;
	return true;
}

bool
draft_row (struct draft *draft, const char *table, const char *key, GString *value)
{
	if (draft->bytes + value->len > BYTES_MAX) {
		draft_text (value);
		return false;
	}
	draft_write (draft, table, dff_str_from (key), value);
	return true;
}

/* The progress of a job must not be recorded before the job. */
static void
draft_jobs (struct dff_holder *holder, struct draft *draft)
{
	guint n_provisional = 0;
	GHashTableIter iter;
	gpointer key;
	g_hash_table_iter_init (&iter, holder->dirty);
	while (n_entries (draft) < ENTRIES_MAX && draft->bytes < BYTES_MAX &&
	       g_hash_table_iter_next (&iter, &key, NULL)) {
		struct holder_job *job = key;
		if (job->provisional && !job->row_drafted) {
			n_provisional++;
			continue;
		}
		g_hash_table_iter_remove (&iter);
		job->dirty = false;
		job->drafted_state = job->progress->state;
		for (guint i = 0; i < job->acks->len; i++)
			g_array_index (job->acks, struct holder_ack, i).in_flight = true;
		g_ptr_array_add (holder->committed_jobs, job);
		draft_write (draft, DFF_TABLE_PROGRESS, (struct dff_str){job->id.data, job->id.len},
			     dff_progress_encode (job->progress));
	}
	holder->commit_covers_all = g_hash_table_size (holder->dirty) == n_provisional;
}

static void
draft_removals (struct dff_holder *holder, struct draft *draft)
{
	int64_t now_ms = holder_now_ms (holder);
	for (GList *link = holder->finished.head;
	     link != NULL && draft->n_removed < REMOVED_MAX && n_entries (draft) + 3 < ENTRIES_MAX;
	     link = link->next) {
		const struct removal *removal = link->data;
		if (removal->due_ms > now_ms)
			break;
		draft_remove (draft, DFF_TABLE_JOBS, &removal->job, "");
		draft_remove (draft, DFF_TABLE_JOBS, &removal->job, DFF_KEY_CANCEL_SUFFIX);
		draft_remove (draft, DFF_TABLE_PROGRESS, &removal->job, "");
		draft->n_removed++;
	}
}

static void
draft_inbox (struct dff_holder *holder, struct draft *draft)
{
	GHashTableIter iter;
	gpointer key;
	g_hash_table_iter_init (&iter, holder->inbox_done);
	while (n_entries (draft) < ENTRIES_MAX && g_hash_table_iter_next (&iter, &key, NULL)) {
		struct dff_rows_write write = {
			.table = DFF_TABLE_INBOX, .key = dff_str_from (key), .remove = true};
		g_array_append_val (draft->writes, write);
		g_ptr_array_add (draft->inbox, g_strdup (key));
	}
}

static void
draft_waiting (struct dff_holder *holder, struct draft *draft)
{
	int64_t now_ms = holder_now_ms (holder);
	g_string_assign (holder->waiting_in_flight, holder->waiting_recorded->str);
	if (holder->phase != DFF_HOLDER_HOLDING || now_ms < holder->waiting_due_ms)
		return;
	holder->waiting_due_ms = now_ms + WAITING_INTERVAL_MS;
	GString *text = encode_waiting (holder);
	if (g_string_equal (text, holder->waiting_recorded) && text->len > 0) {
		g_string_free (text, TRUE);
		return;
	}
	g_string_assign (holder->waiting_in_flight, text->str);
	draft_write (draft, DFF_TABLE_CELL, dff_str_from (DFF_KEY_WAITING), text);
}

static void
note_pending_ends (struct dff_holder *holder)
{
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, holder->workers);
	while (g_hash_table_iter_next (&iter, NULL, &value)) {
		struct holder_worker *worker = value;
		worker->ended_in_flight = worker->ended_seen;
	}
}

struct draft *
draft_new (struct dff_holder *holder, bool released)
{
	struct draft *draft = g_new0 (struct draft, 1);
	draft->writes = g_array_new (FALSE, FALSE, sizeof (struct dff_rows_write));
	draft->conditions = g_array_new (FALSE, FALSE, sizeof (struct dff_rows_condition));
	struct dff_rows_condition own = {.table = DFF_TABLE_CELL,
					 .key = dff_str_from (DFF_KEY_HOLDER),
					 .revision = holder->row_revision};
	g_array_append_val (draft->conditions, own);
	draft->texts = g_ptr_array_new_with_free_func (draft_text);
	draft->inbox = g_ptr_array_new_with_free_func (g_free);
	draft_write (draft, DFF_TABLE_CELL, dff_str_from (DFF_KEY_HOLDER),
		     lease_encode (holder, holder->sequence, released));
	if (holder->phase != DFF_HOLDER_HOLDING)
		return draft;
	note_pending_ends (holder);
	submissions_draft (holder, draft);
	draft_jobs (holder, draft);
	draft_waiting (holder, draft);
	speeds_draft (holder, draft);
	draft_removals (holder, draft);
	draft_inbox (holder, draft);
	return draft;
}

void
draft_free (struct draft *draft)
{
	g_array_unref (draft->writes);
	g_array_unref (draft->conditions);
	g_ptr_array_unref (draft->texts);
	g_ptr_array_unref (draft->inbox);
	g_free (draft);
}

const struct dff_rows_write *
draft_writes (const struct draft *draft)
{
	return (const struct dff_rows_write *)(void *)draft->writes->data;
}

size_t
draft_n_writes (const struct draft *draft)
{
	return draft->writes->len;
}

const struct dff_rows_condition *
draft_conditions (const struct draft *draft)
{
	return (const struct dff_rows_condition *)(void *)draft->conditions->data;
}

size_t
draft_n_conditions (const struct draft *draft)
{
	return draft->conditions->len;
}

void
draft_written (struct dff_holder *holder, const struct draft *draft)
{
	drop_removed (holder, draft->n_removed);
	for (guint i = 0; i < draft->inbox->len; i++)
		g_hash_table_remove (holder->inbox_done, g_ptr_array_index (draft->inbox, i));
	note_written (holder);
	speeds_note_written (holder);
}

void
draft_unwritten (struct dff_holder *holder, enum dff_rows_outcome outcome)
{
	speeds_note_unwritten (holder, outcome);
	for (guint i = 0; i < holder->committed_jobs->len; i++) {
		struct holder_job *job = g_ptr_array_index (holder->committed_jobs, i);
		for (guint j = 0; j < job->acks->len; j++)
			g_array_index (job->acks, struct holder_ack, j).in_flight = false;
		commit_mark_dirty (holder, job);
	}
	g_ptr_array_set_size (holder->committed_jobs, 0);
}

void
draft_reset (struct dff_holder *holder)
{
	holder->waiting_due_ms = 0;
	g_ptr_array_set_size (holder->committed_jobs, 0);
	g_string_truncate (holder->waiting_recorded, 0);
	g_hash_table_remove_all (holder->finished_names);
	while (!g_queue_is_empty (&holder->finished))
		g_free (g_queue_pop_head (&holder->finished));
}
