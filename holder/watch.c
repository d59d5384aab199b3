#include "holder/holder_private.h"

#include <math.h>

#include "common/log.h"

/* Leases and completions. One watch call waits at each worker until a run ends there. Each call
 * renews the worker's lease, acknowledges the completions that are recorded, and returns the runs
 * that are active and those that have ended. A worker that does not answer gets no renewal: its
 * lease lapses at a known time, and only after that may its runs be started elsewhere. */

/** How long a worker may hold back its answer, ms: longer with many workers, because each answer
 * takes processor time of the holder; the workers' own limit is 2 s. */
#define WAIT_MS 1000
#define WAIT_MANY_WORKERS_MS 2000
#define MANY_WORKERS 200
/** Timeout margin of a watch call, ms. */
#define ANSWER_MARGIN_MS 500
/** Timeout and interval of calls to a worker that did not answer the last one, ms. */
#define PROBE_TIMEOUT_MS 500
#define PROBE_INTERVAL_MS 150
/** Age of the last answer, beyond the wait, after which a worker's lease is not renewed, ms: an
 * unanswered call may still have renewed it, and each such call delays the time at which the lease
 * has certainly lapsed. */
#define RENEW_WITHIN_MS 700
/** Longest delay of a watch call while completions wait to be recorded, ms: the worker would
 * answer at once with the same completions. */
#define UNRECORDED_MAX_MS 400
/** Time without progress of a task that counts as a stall, ms: in general, and before its first
 * progress, which may follow a restore and a wait for its gang; and as a multiple of the time per
 * percent so far. */
#define STALL_MS 1200
#define STALL_AT_START_MS 2500
#define STALL_FACTOR 5
/** Interval between two reports of a worker's stall, ms. */
#define STALL_REPEAT_MS 3000
/** Margin for the time at which a worker acts on its deadline, ms. */
#define LAPSE_MARGIN_MS 100

struct watch_call {
	struct holder_call call;
	struct dff_name worker;
	struct incarnation_mark mark;
	/** Whether it is a call for an immediate report, beside the waiting call, and whether it
	 * goes to the address at which an entry lists the worker's next incarnation. */
	bool immediate;
	bool to_next_incarnation;
	/** How long the worker may hold back its answer, ms. */
	int32_t wait_ms;
};

void
watch_note_clock (struct dff_holder *holder, struct holder_worker *worker, int64_t clock_ms)
{
	if (clock_ms > 0)
		worker->unanswered_since_ms = 0;
	if (clock_ms <= worker->clock_ms)
		return;
	worker->clock_ms = clock_ms;
	worker->clock_read_ms = holder_now_ms (holder);
}

void
watch_note_unanswered (struct holder_worker *worker, int64_t from_ms)
{
	if (worker->unanswered_since_ms == 0 || from_ms < worker->unanswered_since_ms)
		worker->unanswered_since_ms = from_ms;
}

static int32_t
wait_ms (const struct dff_holder *holder)
{
	return g_hash_table_size (holder->workers) > MANY_WORKERS ? WAIT_MANY_WORKERS_MS : WAIT_MS;
}

int64_t
watch_deadline_ms (const struct dff_holder *holder, const struct holder_worker *worker)
{
	int64_t now_ms = holder_now_ms (holder);
	if (worker->clock_ms == 0 ||
	    now_ms - worker->clock_read_ms > wait_ms (holder) + RENEW_WITHIN_MS ||
	    !lease_may_renew (holder))
		return 0;
	return worker->clock_ms + (now_ms - worker->clock_read_ms) + holder->options.lease_ms;
}

/* When all runs at a worker that does not answer any more have certainly ended. */
static int64_t
lapse_ms (const struct dff_holder *holder, const struct holder_worker *worker)
{
	if (worker->clock_ms == 0 || worker->deadline_ms == 0)
		return lease_former_expiry_ms (holder);
	double left_ms =
		(double)(worker->deadline_ms - worker->clock_ms) / (1.0 - HOLDER_CLOCK_DRIFT);
	return worker->clock_read_ms + (int64_t)ceil (left_ms) + LAPSE_MARGIN_MS;
}

void
watch_lose_run (struct dff_holder *holder, struct holder_run *run, enum holder_loss loss)
{
	blame_lost_run (holder, run, loss);
	(*holder->metrics.runs_lost)++;
	run_end (holder, run, DFF_EVENT_TASK_LOST, run->ran);
}

void
watch_lose_worker (struct dff_holder *holder, struct holder_worker *worker, enum holder_loss loss)
{
	bool known = worker->lost && g_hash_table_size (worker->runs) == 0;
	if (known)
		return;
	dff_log (DFF_LOG_UPSTREAM, DFF_LOG_WARNING,
		 "Worker's runs are over. worker=%s reason=%s runs=%u heard_ms_ago=%" PRId64
		 " deadline_ms=%" PRId64 " clock_ms=%" PRId64,
		 worker->upstream.incarnation.id.data, blame_loss_name (loss),
		 g_hash_table_size (worker->runs),
		 worker->answered_ms > 0 ? holder_now_ms (holder) - worker->answered_ms : -1,
		 worker->deadline_ms, worker->clock_ms);
	(*holder->metrics.lapsed_workers)++;
	g_autoptr (GList) runs = g_hash_table_get_values (worker->runs);
	for (GList *link = runs; link != NULL; link = link->next)
		watch_lose_run (holder, link->data, loss);
	worker->lost = true;
	worker_set_state (holder, worker);
}

/* Guards against stopping a run that has just ended: one worker reports the end of a gang, and an
 * earlier report of another worker, which still lists the gang, arrives later. A newer report shows
 * which is true. */
static void
handle_orphan (struct dff_holder *holder,
	       struct holder_worker *worker,
	       const struct dff_name *task,
	       int32_t run,
	       int64_t begun_ms)
{
	if (begun_ms <= worker->settled_ms)
		watch_query (holder, worker);
	else
		run_stop_orphan (holder, worker, task, run);
}

static void
apply_running (struct dff_holder *holder,
	       struct holder_worker *worker,
	       const struct dff_runner_result *result,
	       GHashTable *listed,
	       int64_t begun_ms)
{
	for (size_t i = 0; i < result->n_running; i++) {
		const struct dff_run_active *open = &result->running[i];
		struct dff_name task;
		if (!dff_name_parse (open->task, &task))
			continue;
		struct holder_run *run = g_hash_table_lookup (worker->runs, &task);
		if (run == NULL || run->run != open->run) {
			if (run != NULL)
				run->other_listed_ms = holder_now_ms (holder);
			handle_orphan (holder, worker, &task, open->run, begun_ms);
			continue;
		}
		g_hash_table_add (listed, run);
		run_note_active (holder, run, open);
	}
}

static void
apply_ended (struct dff_holder *holder,
	     struct holder_worker *worker,
	     const struct dff_runner_result *result)
{
	for (size_t i = 0; i < result->n_ended; i++) {
		const struct dff_run_ended *ended = &result->ended[i];
		if (ended->number <= worker->ended_seen)
			continue;
		worker->ended_seen = ended->number;
		(*holder->metrics.ends[ended->end])++;
		struct dff_name task;
		if (!dff_name_parse (ended->task, &task))
			continue;
		struct holder_run *run = g_hash_table_lookup (worker->runs, &task);
		if (run != NULL && run->run == ended->run)
			run_note_ended (holder, run, ended);
	}
}

static void
note_unlisted (struct dff_holder *holder,
	       const struct holder_run *run,
	       const struct dff_runner_result *result)
{
	(*holder->metrics.unlisted_runs)++;
	dff_log (DFF_LOG_CELL, DFF_LOG_INFO,
		 "Run is not in the worker's report. task=%s run=%d worker=%s stopping=%d ran=%d "
		 "inherited=%d listed_ends=%zu",
		 run->task.data, run->run, run->worker->upstream.incarnation.id.data,
		 run->phase == DFF_RUN_PHASE_STOPPING, run->ran, run->inherited, result->n_ended);
}

/* Handles runs that the worker lists neither as active nor as ended, in answer to a call that
 * began after the run became known there. */
static void
apply_unlisted (struct dff_holder *holder,
		struct holder_worker *worker,
		const struct dff_runner_result *result,
		GHashTable *listed,
		int64_t begun_ms)
{
	g_autoptr (GList) runs = g_hash_table_get_values (worker->runs);
	for (GList *link = runs; link != NULL; link = link->next) {
		struct holder_run *run = link->data;
		if (g_hash_table_contains (listed, run))
			continue;
		if (run->phase == DFF_RUN_PHASE_STOPPING && run->stopped_ms > 0 &&
		    begun_ms >= run->stopped_ms) {
			note_unlisted (holder, run, result);
			run_end (holder, run, run->unlisted_event, run->ran);
			continue;
		}
		if (run->phase == DFF_RUN_PHASE_OPEN && begun_ms > run->open_ms &&
		    !run_is_obstructed (run)) {
			/* A former holder recorded the run but did not send it, or the worker has
			 * lost it: sending the start again shows which. */
			note_unlisted (holder, run, result);
			run_set_phase (holder, run, DFF_RUN_PHASE_STARTING);
			run->inherited = false;
			run->next_ms = 0;
		}
	}
}

/* Whether a run has made no progress for much longer than its progress so far suggests. */
static bool
is_stalled (const struct holder_run *run, int64_t now_ms)
{
	int64_t unchanged_ms = now_ms - run->percent_ms;
	int64_t ms_per_percent =
		run->percent > 0 ? (run->percent_ms - run->open_ms) / run->percent : 0;
	int64_t limit_ms = run->percent > 0 ? STALL_MS : STALL_AT_START_MS;
	return unchanged_ms >= MAX (limit_ms, STALL_FACTOR * ms_per_percent);
}

/* Reports a worker on which all listed runs have stalled; an unlisted one may have ended. Guards
 * against tasks, urgent ones too, that take seconds longer because the worker lists them as active
 * although they make no progress. A stalled run beside others that progress concerns its job alone.
 */
static void
check_progress (struct dff_holder *holder, struct holder_worker *worker, GHashTable *listed)
{
	int64_t now_ms = holder_now_ms (holder);
	guint n_open = 0, n_stalled = 0;
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, worker->runs);
	while (g_hash_table_iter_next (&iter, NULL, &value)) {
		const struct holder_run *run = value;
		if (!g_hash_table_contains (listed, run))
			continue;
		if (run->phase != DFF_RUN_PHASE_OPEN || run->percent < 0 || run->percent >= 100)
			continue;
		n_open++;
		n_stalled += is_stalled (run, now_ms);
	}
	if (n_stalled == 0 || n_stalled < n_open || now_ms - worker->stalled_ms < STALL_REPEAT_MS)
		return;
	worker->stalled_ms = now_ms;
	(*holder->metrics.stalled_workers)++;
	dff_log (DFF_LOG_UPSTREAM, DFF_LOG_WARNING, "Worker's tasks stand still. worker=%s runs=%u",
		 worker->upstream.incarnation.id.data, n_stalled);
	struct dff_event event = {.type = DFF_EVENT_WORKER_STALLED,
				  .worker = worker->upstream.incarnation.id};
	dff_core_handle_event (holder->core, &event, now_ms);
}

static void
note_completeness (struct dff_holder *holder,
		   struct holder_worker *worker,
		   const struct dff_runner_result *result)
{
	(*holder->metrics.incomplete_reports) += !result->ended_complete;
	if (worker->report_incomplete == !result->ended_complete)
		return;
	worker->report_incomplete = !result->ended_complete;
	dff_log (DFF_LOG_UPSTREAM, DFF_LOG_INFO,
		 "Worker's report is %s. worker=%s listed_ends=%zu recorded=%" PRId64 " runs=%u",
		 result->ended_complete ? "complete again" : "incomplete",
		 worker->upstream.incarnation.id.data, result->n_ended, worker->ended_recorded,
		 g_hash_table_size (worker->runs));
}

static void
apply_lists (struct dff_holder *holder,
	     struct holder_worker *worker,
	     const struct dff_runner_result *result,
	     int64_t begun_ms)
{
	g_autoptr (GHashTable) listed = g_hash_table_new (NULL, NULL);
	apply_running (holder, worker, result, listed, begun_ms);
	/* Completions end runs: @listed may hold pointers to freed runs from here on, and is only
	 * compared. */
	apply_ended (holder, worker, result);
	note_completeness (holder, worker, result);
	/* An unlisted run may be among the ends that are left out, which the worker reports once
	 * the listed ones are acknowledged. */
	if (result->ended_complete)
		apply_unlisted (holder, worker, result, listed, begun_ms);
	check_progress (holder, worker, listed);
}

static void
note_answer (struct dff_holder *holder,
	     struct holder_worker *worker,
	     const struct dff_runner_result *result,
	     int64_t begun_ms)
{
	watch_note_clock (holder, worker, result->clock_ms);
	worker->answered_ms = MAX (worker->answered_ms, begun_ms);
	worker->lists_ms = holder_now_ms (holder);
	worker->n_unanswered = 0;
	worker->lost = false;
	blame_withdraw (holder, worker);
	worker_set_state (holder, worker);
	apply_lists (holder, worker, result, begun_ms);
}

static void
handle_watch (void *user, const struct dff_runner_result *result)
{
	g_autofree struct watch_call *watch = user;
	struct dff_holder *holder = holder_call_end (&watch->call);
	struct holder_worker *worker =
		holder != NULL ? workers_find (holder, &watch->worker) : NULL;
	if (worker == NULL)
		return;
	int64_t now_ms = holder_now_ms (holder);
	if (watch->immediate)
		worker->query_in_flight = false;
	else
		worker->watch_in_flight = false;
	bool is_current = watch->mark.n_incarnations == worker->n_incarnations;
	enum dff_runner_outcome outcome = result->outcome;
	/* The report of another incarnation does not count as an answer. */
	if (outcome == DFF_RUNNER_DONE &&
	    !incarnation_accept_list (holder, worker, result, &watch->mark))
		outcome = DFF_RUNNER_UNKNOWN;
	switch (outcome) {
	case DFF_RUNNER_DONE:
		worker->next_watch_ms = now_ms;
		note_answer (holder, worker, result, watch->call.begun_ms);
		holder_wake (holder);
		return;
	case DFF_RUNNER_STALE_EPOCH:
		lease_step_down (holder, "worker_saw_higher_epoch");
		return;
	case DFF_RUNNER_OTHER_INCARNATION:
		/* The call went to an ended incarnation, or to an address at which the worker is
		 * not. */
		if (!is_current || watch->to_next_incarnation)
			return;
		watch_lose_worker (holder, worker, DFF_LOSS_OTHER_INCARNATION);
		worker->next_watch_ms = now_ms + PROBE_TIMEOUT_MS;
		return;
	default:
		/* A call to an ended incarnation shows nothing about the next one. */
		if (watch->to_next_incarnation)
			return;
		worker->next_watch_ms = now_ms + PROBE_INTERVAL_MS;
		if (!is_current)
			return;
		watch_note_unanswered (worker, watch->call.begun_ms + watch->wait_ms);
		worker->n_unanswered++;
		worker_set_state (holder, worker);
		return;
	}
}

/* Each incarnation numbers its completions from the start: acknowledging a number of the previous
 * one would make the next one drop completions that were never received. So no number is
 * acknowledged until a report has shown the incarnation to which the last start was sent. */
static int64_t
acknowledged (const struct holder_worker *worker, bool immediate)
{
	bool shown = !immediate && worker->n_unanswered == 0 && incarnation_is_confirmed (worker) &&
		     worker->start_ms <= worker->lists_ms;
	if (!shown && dff_start_is_known (worker->upstream.incarnation.started_ms))
		return 0;
	return worker->ended_recorded;
}

static void
send_watch (struct dff_holder *holder, struct holder_worker *worker, bool immediate)
{
	struct watch_call *call = holder_call_begin (holder, sizeof (*call));
	call->worker = worker->upstream.incarnation.id;
	call->mark = incarnation_mark (holder, worker);
	call->immediate = immediate;
	call->to_next_incarnation = immediate && worker->next_entry != NULL;
	bool waits = !immediate && worker->n_unanswered == 0 && worker->answered_ms > 0;
	struct dff_run_watch watch = {
		.worker = worker->upstream.incarnation.id,
		.address = call->to_next_incarnation ? worker->next_entry->upstream.address
						     : worker->upstream.address,
		.epoch = holder->epoch,
		.acknowledged = acknowledged (worker, immediate),
		.deadline_ms = watch_deadline_ms (holder, worker),
		.wait_ms = waits ? wait_ms (holder) : 0,
		.timeout_ms = waits ? wait_ms (holder) + ANSWER_MARGIN_MS : PROBE_TIMEOUT_MS,
	};
	worker->deadline_ms = MAX (worker->deadline_ms, watch.deadline_ms);
	call->wait_ms = watch.wait_ms;
	if (immediate)
		worker->query_in_flight = true;
	else
		worker->watch_in_flight = true;
	holder->options.runner->watch (holder->options.runner->ctx, &watch, handle_watch, call);
}

void
watch_query (struct dff_holder *holder, struct holder_worker *worker)
{
	if (!worker->query_in_flight)
		send_watch (holder, worker, true);
}

static bool
waits_for_record (const struct holder_worker *worker, int64_t now_ms)
{
	return worker->ended_seen > worker->ended_recorded &&
	       now_ms < worker->next_watch_ms + UNRECORDED_MAX_MS;
}

static bool
needs_watch (const struct holder_worker *worker)
{
	if (dff_name_is_empty (&worker->upstream.address) || worker->watch_in_flight)
		return false;
	return worker->listed || g_hash_table_size (worker->runs) > 0;
}

void
watch_step (struct dff_holder *holder)
{
	int64_t now_ms = holder_now_ms (holder);
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, holder->workers);
	while (g_hash_table_iter_next (&iter, NULL, &value)) {
		struct holder_worker *worker = value;
		if (g_hash_table_size (worker->runs) > 0 && now_ms >= lapse_ms (holder, worker))
			watch_lose_worker (holder, worker, DFF_LOSS_LEASE_LAPSED);
		if (needs_watch (worker) && now_ms >= worker->next_watch_ms &&
		    !waits_for_record (worker, now_ms))
			send_watch (holder, worker, false);
	}
}
