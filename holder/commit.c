#include "holder/holder_private.h"

#include "common/log.h"

/* Writes of the holder: one transaction at a time, with everything that has changed since the last
 * one. Values are whole rows, so a transaction whose answer was lost is followed by a newer one:
 * whichever of the two the store carries out first, the other finds the holder's row changed.
 * Actions that wait for a row to be recorded proceed only when a transaction that covers it was
 * answered. */

/** Heartbeat interval, ms: a third of the peers' failure detection timeout. */
#define HEARTBEAT_INTERVAL_MS 250
/** Timeout of a transaction, ms: a few times the duration of the last one. After a transaction
 * without an answer it is doubled up to the limit, which covers the answers of a store that is
 * sixty times as slow as usual. */
#define TIMEOUT_MIN_MS 400
#define TIMEOUT_FACTOR 4
#define TIMEOUT_MAX_MS 1500
/** Delay after a transaction that failed, doubled up to the limit, ms. */
#define RETRY_DELAY_MIN_MS 20
#define RETRY_DELAY_MAX_MS 300

struct commit_call {
	struct holder_call call;
	bool released;
	struct draft *draft;
};

void
commit_mark_dirty (struct dff_holder *holder, struct holder_job *job)
{
	if (job->dirty)
		return;
	job->dirty = true;
	g_hash_table_add (holder->dirty, job);
}

static void
note_store (struct dff_holder *holder,
	    bool lost,
	    int64_t begun_ms,
	    const struct dff_rows_result *result)
{
	if (lost == holder->store_lost)
		return;
	holder->store_lost = lost;
	holder->store_lost_ms = holder_now_ms (holder);
	holder->lost_begun_ms = begun_ms;
	dff_log (DFF_LOG_CELL, lost ? DFF_LOG_WARNING : DFF_LOG_INFO,
		 "%s epoch=%" PRId64 " outcome=%d", lost ? "Store lost." : "Store regained.",
		 holder->epoch, (int)result->outcome);
}

static const struct dff_row *
find_holder_row (const struct dff_rows_result *result)
{
	for (size_t i = 0; i < result->n_rows; i++) {
		const struct dff_row *row = &result->rows[i];
		if (dff_str_equal (row->table, dff_str_from (DFF_TABLE_CELL)) &&
		    dff_str_equal (row->key, dff_str_from (DFF_KEY_HOLDER)))
			return row;
	}
	return NULL;
}

/* Whether the holder's row is as this process wrote it, in its last transaction or, if the answer
 * was lost, in a later one. */
static bool
adopt_row (struct dff_holder *holder, const struct dff_rows_result *result)
{
	struct lease_row lease;
	const struct dff_row *row = find_holder_row (result);
	if (row == NULL || !lease_decode (row->value, &lease) || lease.epoch != holder->epoch ||
	    !dff_name_equal (&lease.instance, &holder->options.instance))
		return false;
	holder->row_revision = row->revision;
	return true;
}

static void
note_done (struct dff_holder *holder, int64_t begun_ms, const struct dff_rows_result *result)
{
	int64_t duration_ms = holder->commit_duration_ms;
	holder->row_revision = result->revision;
	holder->confirmed_ms = begun_ms;
	dff_histogram_observe (holder->metrics.commit_latency, duration_ms);
	holder->commit_wait_ms = RETRY_DELAY_MIN_MS;
	holder->commit_timeout_ms =
		(int32_t)CLAMP (TIMEOUT_FACTOR * duration_ms, TIMEOUT_MIN_MS, TIMEOUT_MAX_MS);
	note_store (holder, false, begun_ms, result);
}

/* Handles a transaction that was not carried out, or of which that is not known. */
static void
handle_failure (struct dff_holder *holder, int64_t begun_ms, const struct dff_rows_result *result)
{
	(*holder->metrics.commit_unknown) += result->outcome == DFF_ROWS_UNKNOWN;
	/* The store may have refused the recorded speeds only: the next transaction goes without
	 * them, and shows whether the store is lost. */
	if (result->outcome != DFF_ROWS_NOT_DONE || !speeds_in_flight (holder))
		note_store (holder, true, begun_ms, result);
	draft_unwritten (holder, result->outcome);
	holder->next_commit_ms = holder_now_ms (holder) + holder->commit_wait_ms;
	holder->commit_wait_ms = MIN (holder->commit_wait_ms * 2, RETRY_DELAY_MAX_MS);
	if (result->outcome == DFF_ROWS_UNKNOWN)
		holder->commit_timeout_ms = MIN (holder->commit_timeout_ms * 2, TIMEOUT_MAX_MS);
}

static void
apply_outcome (struct dff_holder *holder,
	       const struct commit_call *commit,
	       const struct dff_rows_result *result)
{
	const struct draft *draft = commit->draft;
	int64_t begun_ms = commit->call.begun_ms;
	holder->commit_call = NULL;
	submissions_note_commit (holder, result);
	holder->commit_duration_ms = holder_now_ms (holder) - begun_ms;
	switch (result->outcome) {
	case DFF_ROWS_DONE:
		note_done (holder, begun_ms, result);
		if (commit->released) {
			lease_step_down (holder, "released");
			return;
		}
		draft_written (holder, draft);
		queries_step (holder);
		break;
	case DFF_ROWS_CONFLICT:
		(*holder->metrics.commit_conflicts)++;
		if (!adopt_row (holder, result)) {
			lease_step_down (holder, "epoch_raised");
			return;
		}
		/* Does not count as a confirmation of the lease: other processes may have read the
		 * row before, and count the time without a change from then. */
		note_store (holder, false, begun_ms, result);
		draft_unwritten (holder, result->outcome);
		break;
	default:
		handle_failure (holder, begun_ms, result);
		break;
	}
	holder_wake (holder);
}

static void
handle_commit (void *user, const struct dff_rows_result *result)
{
	g_autofree struct commit_call *commit = user;
	DFF_AUTO (draft) draft = commit->draft;
	struct dff_holder *holder = holder_call_end (&commit->call);
	/* A transaction that was abandoned may be answered late. */
	if (holder != NULL && holder->commit_call == commit)
		apply_outcome (holder, commit, result);
}

static void
abandon_commit (struct dff_holder *holder)
{
	struct dff_rows_result result = {.outcome = DFF_ROWS_UNKNOWN};
	apply_outcome (holder, holder->commit_call, &result);
}

void
dff_holder_handle_store_recovered (struct dff_holder *holder)
{
	if (holder->phase < DFF_HOLDER_READING)
		return;
	if (holder->commit_call != NULL)
		abandon_commit (holder);
	holder->next_commit_ms = 0;
	holder->commit_wait_ms = RETRY_DELAY_MIN_MS;
	if (holder->jobs_subscription != NULL)
		dff_subscription_wake (holder->jobs_subscription);
	holder_wake (holder);
}

static void
send_commit (struct dff_holder *holder, bool released)
{
	struct commit_call *call = holder_call_begin (holder, sizeof (*call));
	holder->sequence++;
	holder->releasing |= released;
	call->released = released;
	call->draft = draft_new (holder, released);
	struct dff_rows_commit commit = {.conditions = draft_conditions (call->draft),
					 .n_conditions = draft_n_conditions (call->draft),
					 .writes = draft_writes (call->draft),
					 .n_writes = draft_n_writes (call->draft),
					 .timeout_ms = TIMEOUT_MAX_MS};
	holder->commit_call = call;
	holder->commit_begun_ms = call->call.begun_ms;
	(*holder->metrics.commits)++;
	holder->options.rows->commit (holder->options.rows->ctx, &commit, handle_commit, call);
}

void
commit_step (struct dff_holder *holder)
{
	int64_t now_ms = holder_now_ms (holder);
	if (holder->commit_call != NULL &&
	    now_ms - holder->commit_begun_ms >= holder->commit_timeout_ms)
		abandon_commit (holder);
	if (holder->commit_call != NULL || now_ms < holder->next_commit_ms)
		return;
	bool dirty = holder->dirty != NULL && g_hash_table_size (holder->dirty) > 0;
	bool due = now_ms >= holder->commit_begun_ms + HEARTBEAT_INTERVAL_MS;
	/* Whatever does not fit into the last transaction is not recorded: workers report these
	 * completions to the next holder again, and no start among these changes was sent. */
	if (holder->stepping_down || holder->handing_over)
		send_commit (holder, true);
	else if (dirty || due || submissions_are_waiting (holder))
		send_commit (holder, false);
}

void
commit_reset (struct dff_holder *holder)
{
	holder->commit_call = NULL;
	holder->next_commit_ms = 0;
	holder->commit_begun_ms = 0;
	holder->commit_wait_ms = RETRY_DELAY_MIN_MS;
	holder->commit_timeout_ms = TIMEOUT_MIN_MS;
	holder->commit_duration_ms = 0;
	holder->store_lost = false;
	holder->releasing = false;
	draft_reset (holder);
}
