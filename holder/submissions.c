#include "holder/holder_private.h"

#include "common/log.h"
#include "rows/waiters.h"

/* Rows of jobs and cancellations that are written with the holder's own transactions. A job that is
 * submitted this way is placed before its row is written, so that one transaction records both its
 * acceptance and its first start. Otherwise these take two or three transactions in turn: in a
 * store that takes 170 ms for each, most of the time that an urgent job has.
 *
 * Until the row is recorded the job is provisional: no state of it is reported or sent, and it is
 * withdrawn when the row cannot be written, so that the outcome NOT_DONE stays true. */

/** Limit of rows in one transaction: each needs a condition and a write, and a job's progress is
 * written with it. The limit leaves space for as many rows of other jobs. */
#define DRAFTED_MAX 20

/** Maximum number of checks at once whether refused jobs are on record, and the timeout of one, ms.
 */
#define RECORD_CHECKS_MAX 4
#define RECORD_CHECK_TIMEOUT_MS 1000

struct submission {
	char *key;
	GString *value;
	/** (nullable): the provisional job, if the row is a job. */
	struct holder_job *job;
	int64_t deadline_ms;
	/** Whether the current transaction contains the row. */
	bool in_flight;
	/** Whether a transaction with the row had no answer: the row may be recorded. */
	bool outcome_unknown;
	/** Whether the row is not to be written, as too many jobs are open, and whether the store
	 * has been asked whether it is on record all the same. */
	bool refused;
	bool being_checked;
	/** Whether the row existed when it was submitted. */
	bool already_exists;
	/** Callers that wait for the record, see rows/waiters.h. */
	GArray *waiters;
};

static void
free_submission (gpointer data)
{
	struct submission *submission = data;
	g_free (submission->key);
	g_string_free (submission->value, TRUE);
	g_array_unref (submission->waiters);
	g_free (submission);
}

/* Ends a submission whose row is recorded. */
static void
settle (struct dff_holder *holder,
	struct submission *submission,
	enum dff_rows_outcome outcome,
	int64_t revision)
{
	struct dff_row row = {.table = dff_str_from (DFF_TABLE_JOBS),
			      .key = dff_str_from (submission->key),
			      .value = {submission->value->str, submission->value->len},
			      .revision = revision};
	if (submission->job != NULL)
		submission->job->provisional = false;
	else
		jobs_handle_row (holder, &row);
	dff_rows_waiters_answer (submission->waiters, outcome, revision);
	g_queue_remove (&holder->submissions, submission);
	free_submission (submission);
}

/* Ends a submission whose row is not recorded and never will be. */
static void
withdraw (struct dff_holder *holder, struct submission *submission)
{
	struct holder_job *job = submission->job;
	dff_rows_waiters_answer (submission->waiters, DFF_ROWS_NOT_DONE, 0);
	g_queue_remove (&holder->submissions, submission);
	free_submission (submission);
	if (job == NULL)
		return;
	dff_log (DFF_LOG_CELL, DFF_LOG_INFO, "Job not taken in, its row was not written. job=%s",
		 job->id.data);
	jobs_withdraw (holder, job);
}

static struct submission *
find (const struct dff_holder *holder, struct dff_str key)
{
	for (GList *link = holder->submissions.head; link != NULL; link = link->next) {
		struct submission *submission = link->data;
		if (dff_str_equal (dff_str_from (submission->key), key))
			return submission;
	}
	return NULL;
}

static struct submission *
submission_new (struct dff_holder *holder, const struct dff_holder_submission *from)
{
	struct submission *submission = g_new0 (struct submission, 1);
	submission->key = g_strndup (from->key.data, from->key.len);
	submission->value = g_string_new_len (from->value.data, (gssize)from->value.len);
	submission->waiters = dff_rows_waiters_new ();
	g_queue_push_tail (&holder->submissions, submission);
	return submission;
}

/* Returns: (nullable): a new submission; NULL when its job cannot be decoded. */
static struct submission *
submission_accept (struct dff_holder *holder, const struct dff_holder_submission *from)
{
	/* It is not known here whether a cancellation is recorded. */
	bool is_job = !jobs_is_cancel_key (from->key);
	bool known = is_job && jobs_key_is_applied (holder, from->key);
	bool refused = is_job && !known && !load_admits (holder, from->value);
	struct holder_job *job = NULL;
	if (is_job && !known && !refused) {
		struct dff_row row = {.key = from->key, .value = from->value};
		job = jobs_ingest (holder, &row);
		if (job == NULL)
			return NULL;
		job->provisional = true;
	}
	struct submission *submission = submission_new (holder, from);
	submission->job = job;
	submission->already_exists = known;
	submission->refused = refused;
	return submission;
}

bool
dff_holder_submit (struct dff_holder *holder,
		   const struct dff_holder_submission *from,
		   dff_rows_func done,
		   void *user)
{
	if (holder->phase != DFF_HOLDER_HOLDING || holder->stepping_down || holder->handing_over)
		return false;
	int64_t deadline_ms = holder_now_ms (holder) + from->timeout_ms;
	struct submission *submission = find (holder, from->key);
	if (submission == NULL)
		submission = submission_accept (holder, from);
	if (submission == NULL)
		return false;
	submission->deadline_ms = MAX (submission->deadline_ms, deadline_ms);
	dff_rows_waiters_add (submission->waiters, done, user);
	(*holder->metrics.submissions)++;
	holder_wake (holder);
	return true;
}

/** A check whether a refused job is on record. */
struct record_check {
	struct holder_call call;
	char *key;
};

static const struct dff_row *
find_row (const struct dff_rows_result *result, const char *key)
{
	for (size_t i = 0; i < result->n_rows; i++) {
		if (dff_str_equal (result->rows[i].key, dff_str_from (key)))
			return &result->rows[i];
	}
	return NULL;
}

static void
finish_refused (struct dff_holder *holder,
		struct submission *submission,
		enum dff_rows_outcome outcome)
{
	dff_rows_waiters_answer (submission->waiters, outcome, 0);
	g_queue_remove (&holder->submissions, submission);
	free_submission (submission);
}

static void
handle_record_checked (void *user, const struct dff_rows_result *result)
{
	g_autofree struct record_check *check = user;
	g_autofree char *key = check->key;
	struct dff_holder *holder = holder_call_end (&check->call);
	struct submission *submission = holder != NULL ? find (holder, dff_str_from (key)) : NULL;
	if (holder != NULL)
		holder->n_record_checks--;
	if (submission == NULL || !submission->refused)
		return;
	const struct dff_row *row = find_row (result, key);
	enum dff_rows_outcome outcome = DFF_ROWS_UNKNOWN;
	if (result->outcome == DFF_ROWS_DONE)
		outcome = row != NULL ? DFF_ROWS_CONFLICT : DFF_ROWS_NOT_DONE;
	finish_refused (holder, submission, outcome);
	if (row != NULL)
		jobs_handle_row (holder, row);
	holder_wake (holder);
}

/* Another process may have written the row of this job a moment ago, for an earlier call of the
 * same caller: a refusal would claim that the job never runs. */
static void
check_record (struct dff_holder *holder, struct submission *submission)
{
	const struct dff_rows *rows = holder->options.rows;
	if (submission->being_checked || holder->n_record_checks >= RECORD_CHECKS_MAX)
		return;
	submission->being_checked = true;
	holder->n_record_checks++;
	struct record_check *check = holder_call_begin (holder, sizeof (*check));
	check->key = g_strdup (submission->key);
	g_autofree char *to = g_strconcat (submission->key, "/", NULL);
	struct dff_rows_range range = {.table = DFF_TABLE_JOBS,
				       .from = dff_str_from (submission->key),
				       .to = dff_str_from (to),
				       .limit = 1,
				       .timeout_ms = RECORD_CHECK_TIMEOUT_MS};
	rows->get (rows->ctx, &range, handle_record_checked, check);
}

/* The submission's timeout has passed. */
static void
expire (struct dff_holder *holder, struct submission *submission)
{
	if (submission->refused)
		finish_refused (holder, submission, DFF_ROWS_UNKNOWN);
	else if (!submission->in_flight && !submission->outcome_unknown)
		withdraw (holder, submission);
	else
		dff_rows_waiters_answer (submission->waiters, DFF_ROWS_UNKNOWN, 0);
}

void
submissions_step (struct dff_holder *holder)
{
	int64_t now_ms = holder_now_ms (holder);
	GList *next = NULL;
	for (GList *link = holder->submissions.head; link != NULL; link = next) {
		struct submission *submission = link->data;
		next = link->next;
		if (submission->already_exists)
			settle (holder, submission, DFF_ROWS_CONFLICT, 0);
		else if (now_ms >= submission->deadline_ms)
			expire (holder, submission);
		else if (submission->refused)
			check_record (holder, submission);
	}
}

bool
submissions_are_waiting (const struct dff_holder *holder)
{
	return holder->submissions.length > 0;
}

void
submissions_draft (struct dff_holder *holder, struct draft *draft)
{
	int32_t n_drafted = 0;
	for (GList *link = holder->submissions.head; link != NULL && n_drafted < DRAFTED_MAX;
	     link = link->next) {
		struct submission *submission = link->data;
		if (submission->already_exists || submission->refused ||
		    !draft_submission (draft, submission->key, submission->value))
			continue;
		submission->in_flight = true;
		if (submission->job != NULL)
			submission->job->row_drafted = true;
		n_drafted++;
	}
}

static bool
is_among (const struct dff_rows_result *result, const char *key)
{
	for (size_t i = 0; i < result->n_rows; i++) {
		const struct dff_row *row = &result->rows[i];
		if (row->revision > 0 &&
		    dff_str_equal (row->table, dff_str_from (DFF_TABLE_JOBS)) &&
		    dff_str_equal (row->key, dff_str_from (key)))
			return true;
	}
	return false;
}

void
submissions_note_commit (struct dff_holder *holder, const struct dff_rows_result *result)
{
	GList *next = NULL;
	for (GList *link = holder->submissions.head; link != NULL; link = next) {
		struct submission *submission = link->data;
		next = link->next;
		if (!submission->in_flight)
			continue;
		submission->in_flight = false;
		if (submission->job != NULL)
			submission->job->row_drafted = false;
		/* A row that exists was written by an earlier transaction, or by another process.
		 */
		bool settled =
			result->outcome == DFF_ROWS_DONE || (result->outcome == DFF_ROWS_CONFLICT &&
							     is_among (result, submission->key));
		submission->outcome_unknown |= result->outcome == DFF_ROWS_UNKNOWN;
		if (settled)
			settle (holder, submission, result->outcome, result->revision);
	}
}

void
submissions_note_row (struct dff_holder *holder, struct dff_str key, int64_t revision)
{
	struct submission *submission = find (holder, key);
	if (submission != NULL && submission->job != NULL && !submission->in_flight)
		settle (holder, submission, DFF_ROWS_CONFLICT, revision);
}

void
submissions_drop_waiters (struct dff_holder *holder)
{
	for (GList *link = holder->submissions.head; link != NULL; link = link->next)
		g_array_set_size (((struct submission *)link->data)->waiters, 0);
}

void
submissions_reset (struct dff_holder *holder)
{
	holder->n_record_checks = 0;
	while (!g_queue_is_empty (&holder->submissions)) {
		struct submission *submission = g_queue_pop_head (&holder->submissions);
		bool open =
			submission->in_flight || submission->outcome_unknown || submission->refused;
		dff_rows_waiters_answer (submission->waiters,
					 open ? DFF_ROWS_UNKNOWN : DFF_ROWS_NOT_DONE, 0);
		free_submission (submission);
	}
}
