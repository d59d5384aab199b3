#include "holder/holder_private.h"

#include "common/log.h"

/* Determines the current incarnation of a worker, which may restart under the same id, from its
 * answers to this process. A list entry may be late or written by another process: a new
 * incarnation in it only makes this process ask the worker, which gets no new tasks until it has
 * answered. */

/** Longest delay after which a worker may still carry out an order that it has not answered, ms. */
#define LATE_ORDER_MAX_MS 15000
/** Interval between two log lines about invalid start times, ms. */
#define INVALID_START_LOG_INTERVAL_MS 5000

static void
note_invalid_start (struct dff_holder *holder,
		    const struct holder_worker *worker,
		    int64_t started_ms,
		    const char *reason)
{
	int64_t now_ms = holder_now_ms (holder);
	(*holder->metrics.invalid_starts)++;
	if (now_ms < holder->next_invalid_start_ms)
		return;
	holder->next_invalid_start_ms = now_ms + INVALID_START_LOG_INTERVAL_MS;
	dff_log (
		DFF_LOG_UPSTREAM, DFF_LOG_WARNING,
		"What a worker says of its start is not taken. worker=%s reason=%s born_ms=%" PRId64
		" known_born_ms=%" PRId64 " so_far=%" PRId64,
		worker->upstream.incarnation.id.data, reason, started_ms,
		worker->upstream.incarnation.started_ms, *holder->metrics.invalid_starts);
}

/* Whether an order that was sent to an ended incarnation may be carried out by the next one.
 * Orders of a former holder are refused, because the next incarnation has seen the current epoch
 * in the call that it answered. */
static bool
may_still_start (const struct holder_run *run)
{
	bool under_way = run->order_in_flight && run->phase == DFF_RUN_PHASE_STARTING;
	return under_way || run->n_unanswered > 0;
}

static bool
is_listed (const struct holder_run *run, const struct dff_runner_result *result)
{
	struct dff_str task = {run->task.data, run->task.len};
	for (size_t i = 0; i < result->n_running; i++) {
		const struct dff_run_active *open = &result->running[i];
		if (open->run == run->run && dff_str_equal (open->task, task))
			return true;
	}
	for (size_t i = 0; i < result->n_ended; i++) {
		const struct dff_run_ended *ended = &result->ended[i];
		if (ended->run == run->run && dff_str_equal (ended->task, task))
			return true;
	}
	return false;
}

/* A run that the next incarnation does not list has ended with the previous one, with two
 * exceptions: its start may still arrive, or has been carried out by the next incarnation and its
 * end is left out of the report. Either is settled by a stop, which the next incarnation has to
 * answer. */
static void
end_run_after_restart (struct dff_holder *holder,
		       struct holder_run *run,
		       const struct dff_runner_result *result)
{
	if (is_listed (run, result)) {
		run->running_since_clock_ms = 0;
		run->measured_from_clock_ms = 0;
		return;
	}
	if (result->ended_complete && !may_still_start (run)) {
		watch_lose_run (holder, run, DFF_LOSS_RESTARTED);
		return;
	}
	blame_lost_run (holder, run, DFF_LOSS_RESTARTED);
	run->unlisted_event = DFF_EVENT_TASK_LOST;
	run_stop_again (holder, run);
}

void
incarnation_note_unanswered (struct dff_holder *holder,
			     struct holder_worker *worker,
			     const struct dff_name *task,
			     int32_t run)
{
	if (!dff_start_is_known (worker->upstream.incarnation.started_ms))
		return;
	if (worker->unanswered == NULL)
		worker->unanswered = g_array_new (FALSE, FALSE, sizeof (struct unanswered_start));
	struct unanswered_start order = {
		.task = *task, .run = run, .noted_ms = holder_now_ms (holder)};
	g_array_append_val (worker->unanswered, order);
}

void
incarnation_note_stop (struct holder_worker *worker,
		       const struct dff_name *task,
		       int32_t run,
		       bool done)
{
	for (guint i = 0; worker->unanswered != NULL && i < worker->unanswered->len; i++) {
		struct unanswered_start *order =
			&g_array_index (worker->unanswered, struct unanswered_start, i);
		if (order->run > run || !dff_name_equal (&order->task, task))
			continue;
		order->stop_in_flight = false;
		order->revoked |= done;
	}
}

/* The next incarnation does not know the previous runs, has the same epoch, and reads a deadline
 * on the former clock as one on its own: only a stop prevents it from carrying out a late start. */
static void
revoke_unanswered (struct dff_holder *holder, struct holder_worker *worker)
{
	if (worker->unanswered == NULL)
		return;
	int64_t oldest_ms = holder_now_ms (holder) - LATE_ORDER_MAX_MS;
	for (guint i = worker->unanswered->len; i > 0; i--) {
		struct unanswered_start *order =
			&g_array_index (worker->unanswered, struct unanswered_start, i - 1);
		if (order->noted_ms < oldest_ms) {
			g_array_remove_index_fast (worker->unanswered, i - 1);
			continue;
		}
		if (worker->n_incarnations == 0 || order->revoked || order->stop_in_flight ||
		    g_hash_table_contains (worker->runs, &order->task))
			continue;
		order->stop_in_flight = true;
		run_revoke (holder, worker, &order->task, order->run);
	}
	if (worker->unanswered->len == 0) {
		g_clear_pointer (&worker->unanswered, g_array_unref);
	}
}

static void
report_restart (struct dff_holder *holder, const struct holder_worker *worker)
{
	if (holder->phase != DFF_HOLDER_HOLDING)
		return;
	struct dff_event event = {.type = DFF_EVENT_WORKER_RESTARTED,
				  .worker = worker->upstream.incarnation.id};
	dff_core_handle_event (holder->core, &event, holder_now_ms (holder));
}

void
incarnation_note_removed (struct dff_holder *holder, const struct holder_worker *worker)
{
	gint64 started_ms = worker->upstream.incarnation.started_ms;
	if (!dff_start_is_known (started_ms))
		return;
	g_hash_table_replace (holder->former_starts,
			      dff_name_dup (&worker->upstream.incarnation.id),
			      g_memdup2 (&started_ms, sizeof (started_ms)));
}

/* Handles the first answer of a worker that may have been removed before. */
static void
compare_with_removed (struct dff_holder *holder, const struct holder_worker *worker)
{
	const struct dff_incarnation *incarnation = &worker->upstream.incarnation;
	const gint64 *former_ms = g_hash_table_lookup (holder->former_starts, &incarnation->id);
	if (former_ms == NULL)
		return;
	if (*former_ms != incarnation->started_ms) {
		dff_log (DFF_LOG_UPSTREAM, DFF_LOG_WARNING,
			 "Worker has returned as another incarnation. worker=%s born_ms=%" PRId64
			 " before_born_ms=%" PRId64,
			 incarnation->id.data, incarnation->started_ms, (int64_t)*former_ms);
		(*holder->metrics.restarted_workers)++;
		report_restart (holder, worker);
	}
	g_hash_table_remove (holder->former_starts, &incarnation->id);
}

/* Resets the state of the previous incarnation. Its clock does not apply to the next one: a
 * deadline that was sent to the previous incarnation may give the next one the longest possible
 * lease. */
static void
reset_incarnation (struct dff_holder *holder,
		   struct holder_worker *worker,
		   const struct dff_runner_result *result)
{
	worker->upstream.incarnation.started_ms = MAX (result->started_ms, DFF_START_UNREPORTED);
	worker->n_incarnations++;
	worker->incarnation_known_ms = holder_now_ms (holder);
	worker->upstream.leaving = false;
	worker->upstream.remaining_ms = -1;
	worker->leaves_ms = 0;
	worker->clock_ms = result->clock_ms;
	worker->clock_read_ms = worker->incarnation_known_ms;
	worker->deadline_ms = result->clock_ms + holder->options.lease_max_ms;
	worker->unanswered_since_ms = 0;
	worker->stalled_ms = 0;
	worker->ended_seen = 0;
	worker->ended_in_flight = 0;
	worker->ended_recorded = 0;
	for (guint i = 0; worker->unanswered != NULL && i < worker->unanswered->len; i++)
		g_array_index (worker->unanswered, struct unanswered_start, i).revoked = false;
	g_clear_pointer (&worker->blamed, g_array_unref);
}

static void
begin_next_incarnation (struct dff_holder *holder,
			struct holder_worker *worker,
			const struct dff_runner_result *result)
{
	guint n_runs = g_hash_table_size (worker->runs);
	dff_log (DFF_LOG_UPSTREAM, DFF_LOG_WARNING,
		 "Worker has started again. worker=%s born_ms=%" PRId64 " before_born_ms=%" PRId64
		 " runs=%u listed=%zu heard_ms_ago=%" PRId64 " entry_born_ms=%" PRId64,
		 worker->upstream.incarnation.id.data, result->started_ms,
		 worker->upstream.incarnation.started_ms, n_runs, result->n_running,
		 holder_now_ms (holder) - worker->answered_ms, worker->entry_started_ms);
	(*holder->metrics.restarted_workers)++;
	g_autoptr (GList) runs = g_hash_table_get_values (worker->runs);
	worker->lost = true;
	worker_set_state (holder, worker);
	for (GList *link = runs; link != NULL; link = link->next)
		end_run_after_restart (holder, link->data, result);
	reset_incarnation (holder, worker, result);
	report_restart (holder, worker);
	struct incarnation_entry *entry = g_steal_pointer (&worker->next_entry);
	if (entry != NULL && entry->upstream.incarnation.started_ms == result->started_ms)
		workers_note_listed (holder, &entry->upstream, entry->revision, entry->begun_ms);
	g_free (entry);
}

/* An entry may be written by another process: an answer to a call that began after the entry was
 * read shows whether it is right. */
static void
drop_refuted_entry (struct holder_worker *worker, int64_t begun_ms)
{
	if (worker->next_entry != NULL && begun_ms > worker->next_entry->noted_ms) {
		worker->entry_started_ms = DFF_START_UNREPORTED;
		g_clear_pointer (&worker->next_entry, g_free);
	}
}

/* An incarnation that started earlier than a known one has ended, with one exception: the answer
 * to a call that began after the later incarnation became known is of the current incarnation, and
 * the worker's wall clock may have been set back in between. */
static enum dff_incarnation_order
compare_answer (const struct holder_worker *worker,
		const struct dff_runner_result *result,
		const struct incarnation_mark *mark)
{
	enum dff_incarnation_order order =
		dff_incarnation_compare (result->started_ms, &worker->upstream.incarnation);
	if (order == DFF_INCARNATION_EARLIER && mark->begun_ms > worker->incarnation_known_ms)
		return DFF_INCARNATION_LATER;
	bool unreported = !dff_start_is_known (result->started_ms);
	if (order == DFF_INCARNATION_SAME && unreported &&
	    mark->n_incarnations != worker->n_incarnations)
		return DFF_INCARNATION_EARLIER;
	return order;
}

struct incarnation_mark
incarnation_mark (const struct dff_holder *holder, const struct holder_worker *worker)
{
	return (struct incarnation_mark){.n_incarnations = worker->n_incarnations,
					 .begun_ms = holder_now_ms (holder)};
}

/* It is not known which incarnation such a report is of. It is accepted once everything that was
 * sent to the known incarnation is certainly over. */
static bool
accept_unreported_list (struct dff_holder *holder,
			struct holder_worker *worker,
			const struct dff_runner_result *result)
{
	if (!worker->lost || g_hash_table_size (worker->runs) > 0)
		return false;
	begin_next_incarnation (holder, worker, result);
	return true;
}

bool
incarnation_accept_list (struct dff_holder *holder,
			 struct holder_worker *worker,
			 const struct dff_runner_result *result,
			 const struct incarnation_mark *mark)
{
	bool expected = dff_start_is_known (worker->upstream.incarnation.started_ms);
	bool reported = dff_start_is_known (result->started_ms);
	if (expected && !reported) {
		note_invalid_start (holder, worker, result->started_ms,
				    result->started_ms == DFF_START_UNREPORTED ? "missing"
									       : "unreadable");
		return accept_unreported_list (holder, worker, result);
	}
	switch (compare_answer (worker, result, mark)) {
	case DFF_INCARNATION_EARLIER:
		note_invalid_start (holder, worker, result->started_ms, "earlier_life");
		return false;
	case DFF_INCARNATION_LATER:
		begin_next_incarnation (holder, worker, result);
		revoke_unanswered (holder, worker);
		return true;
	case DFF_INCARNATION_SAME:
		break;
	}
	if (!expected && reported) {
		worker->upstream.incarnation.started_ms = result->started_ms;
		worker->incarnation_known_ms = holder_now_ms (holder);
		compare_with_removed (holder, worker);
	}
	drop_refuted_entry (worker, mark->begun_ms);
	revoke_unanswered (holder, worker);
	return true;
}

bool
incarnation_accept_order (struct dff_holder *holder,
			  struct holder_worker *worker,
			  const struct dff_runner_result *result,
			  const struct incarnation_mark *mark)
{
	switch (compare_answer (worker, result, mark)) {
	case DFF_INCARNATION_SAME:
		return true;
	case DFF_INCARNATION_LATER:
		watch_query (holder, worker);
		return false;
	case DFF_INCARNATION_EARLIER:
		return false;
	}
	return false;
}

bool
incarnation_accept_entry (struct dff_holder *holder,
			  struct holder_worker *worker,
			  const struct dff_upstream *upstream,
			  int64_t revision,
			  int64_t begun_ms)
{
	int64_t started_ms = upstream->incarnation.started_ms;
	if (started_ms == DFF_START_UNREADABLE)
		note_invalid_start (holder, worker, started_ms, "unreadable_in_entry");
	enum dff_incarnation_order order =
		dff_incarnation_compare (started_ms, &worker->upstream.incarnation);
	if (order == DFF_INCARNATION_EARLIER) {
		note_invalid_start (holder, worker, started_ms, "earlier_entry");
		return false;
	}
	worker->entry_started_ms = MAX (started_ms, DFF_START_UNREPORTED);
	if (order == DFF_INCARNATION_SAME)
		return true;
	bool known = worker->next_entry != NULL &&
		     worker->next_entry->upstream.incarnation.started_ms == started_ms;
	struct incarnation_entry entry = {.upstream = *upstream,
					  .revision = revision,
					  .begun_ms = begun_ms,
					  .noted_ms = known ? worker->next_entry->noted_ms
							    : holder_now_ms (holder)};
	g_free (worker->next_entry);
	worker->next_entry = g_memdup2 (&entry, sizeof (entry));
	worker_set_state (holder, worker);
	watch_query (holder, worker);
	return false;
}

bool
incarnation_is_confirmed (const struct holder_worker *worker)
{
	return worker->next_entry == NULL &&
	       dff_incarnation_compare (worker->entry_started_ms, &worker->upstream.incarnation) ==
		       DFF_INCARNATION_SAME;
}
