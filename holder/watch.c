#include "holder/holder_private.h"

#include <math.h>

#include "common/log.h"

/* Leases and ends. One call waits at each worker until a run ends there; each renews the worker's
 * lease, acknowledges the ends that are on record, and brings everything that runs and has ended.
 * A worker that does not answer gets no renewal: its lease lapses at a time that is known here, and
 * only then what it ran may be started elsewhere. */

/** How long a worker may hold its answer back, ms: longer where there are many, because each answer
 * costs the holder processor time; the workers' own limit is 2 s. */
#define WAIT_MS 1000
#define WAIT_LONG_MS 2000
#define MANY_WORKERS 200
/** Time for an answer beyond that, ms. */
#define PATIENCE_MS 500
/** Wait and timeout of calls to a worker that did not answer the last one, ms. */
#define PROBE_TIMEOUT_MS 500
#define PROBE_EVERY_MS 150
/** Age of the last answer, beyond the wait, after which a worker's lease is not renewed, ms: an
 * unanswered call may still have renewed it, and each that does puts off the moment at which it has
 * surely lapsed. */
#define RENEW_WITHIN_MS 700
/** How long a watch is put off while ends wait to be on record, ms: the worker would answer at once
 * with the same ends. */
#define UNRECORDED_MAX_MS 400
/** Standstill of a task's progress that counts as a stall, ms, in general and before its first
 * step, which may follow a restore and a wait for its gang; and in times of its pace so far. */
#define STILL_MS 1200
#define STILL_AT_START_MS 2500
#define STILL_TIMES 5
/** Time between two reports of a worker's stall, ms. */
#define STALL_REPEAT_MS 3000
/** Margin for the moment at which a worker acts on its deadline, ms. */
#define LAPSE_MARGIN_MS 100

struct watch_call {
	struct holder_call call;
	struct dff_name worker;
	struct lives_mark mark;
	/** Whether it is a look beside the waiting call, and where an entry says that the worker's
	 * next life is. */
	bool look;
	bool at_next;
	/** How long the worker may hold its answer back. */
	int32_t wait_ms;
};

void
watch_note_clock (struct dff_holder *holder, struct holder_worker *worker, int64_t clock_ms)
{
	if (clock_ms > 0)
		worker->silent_from_ms = 0;
	if (clock_ms <= worker->clock_ms)
		return;
	worker->clock_ms = clock_ms;
	worker->clock_read_ms = holder_now_ms (holder);
}

void
watch_note_silent (struct holder_worker *worker, int64_t from_ms)
{
	if (worker->silent_from_ms == 0 || from_ms < worker->silent_from_ms)
		worker->silent_from_ms = from_ms;
}

static int32_t
wait_ms (const struct dff_holder *holder)
{
	return g_hash_table_size (holder->workers) > MANY_WORKERS ? WAIT_LONG_MS : WAIT_MS;
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

/* When everything at a worker that has not answered since is surely over. */
static int64_t
lapse_ms (const struct dff_holder *holder, const struct holder_worker *worker)
{
	if (worker->clock_ms == 0 || worker->deadline_ms == 0)
		return lease_foreign_end_ms (holder);
	double left_ms =
		(double)(worker->deadline_ms - worker->clock_ms) / (1.0 - HOLDER_CLOCK_DRIFT);
	return worker->clock_read_ms + (int64_t)ceil (left_ms) + LAPSE_MARGIN_MS;
}

void
watch_lose_run (struct dff_holder *holder, struct holder_run *run, enum holder_loss loss)
{
	blame_lost_run (holder, run, loss);
	(*holder->metrics.runs_lost)++;
	run_settle (holder, run, DFF_EVENT_TASK_LOST, run->ran);
}

void
watch_lose_worker (struct dff_holder *holder, struct holder_worker *worker, enum holder_loss loss)
{
	bool known = worker->gone && g_hash_table_size (worker->runs) == 0;
	if (known)
		return;
	dff_log (DFF_LOG_UPSTREAM, DFF_LOG_WARNING,
		 "Worker's runs are over. worker=%s reason=%s runs=%u heard_ms_ago=%" PRId64
		 " deadline_ms=%" PRId64 " clock_ms=%" PRId64,
		 worker->upstream.incarnation.id.data, blame_loss_name (loss),
		 g_hash_table_size (worker->runs),
		 worker->heard_ms > 0 ? holder_now_ms (holder) - worker->heard_ms : -1,
		 worker->deadline_ms, worker->clock_ms);
	(*holder->metrics.lapsed_workers)++;
	g_autoptr (GList) runs = g_hash_table_get_values (worker->runs);
	for (GList *link = runs; link != NULL; link = link->next)
		watch_lose_run (holder, link->data, loss);
	worker->gone = true;
	worker_set_state (holder, worker);
}

/* Symptom: the log says that a worker runs what nobody recorded. Sequence: a gang ends, and the
 * answer of one member's worker shows it; another worker listed the gang just before, and its
 * answer arrives after. Cause: an older list was taken for what is so. A newer one tells. */
static void
take_stray (struct dff_holder *holder,
	    struct holder_worker *worker,
	    const struct dff_name *task,
	    int32_t run,
	    int64_t begun_ms)
{
	if (begun_ms <= worker->settled_ms)
		watch_look (holder, worker);
	else
		run_stop_stray (holder, worker, task, run);
}

static void
take_running (struct dff_holder *holder,
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
			take_stray (holder, worker, &task, open->run, begun_ms);
			continue;
		}
		g_hash_table_add (listed, run);
		run_note_open (holder, run, open);
	}
}

static void
take_ended (struct dff_holder *holder,
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

/* A run that the worker neither lists as running nor as ended, in an answer to a question that was
 * asked after it was known there. */
static void
take_unlisted (struct dff_holder *holder,
	       struct holder_worker *worker,
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
			run_settle (holder, run, run->unseen_event, run->ran);
			continue;
		}
		if (run->phase == DFF_RUN_PHASE_OPEN && begun_ms > run->open_ms) {
			/* Recorded by a former holder that did not get to send it, or forgotten by
			 * the worker: sent again, it tells which. */
			run_set_phase (holder, run, DFF_RUN_PHASE_STARTING);
			run->inherited = false;
			run->next_ms = 0;
		}
	}
}

/* Whether a run has stood still for much longer than its progress so far lets expect. */
static bool
stands_still (const struct holder_run *run, int64_t now_ms)
{
	int64_t still_ms = now_ms - run->percent_ms;
	int64_t pace_ms = run->percent > 0 ? (run->percent_ms - run->open_ms) / run->percent : 0;
	int64_t patience_ms = run->percent > 0 ? STILL_MS : STILL_AT_START_MS;
	return still_ms >= MAX (patience_ms, STILL_TIMES * pace_ms);
}

/* Symptom: everything on a worker takes seconds longer, urgent work too, though the worker answers.
 * Sequence: its tasks stand still while it reports them as running. Cause: nobody looked at their
 * progress. One run that stands still beside others that go on is its job's affair. */
static void
judge_progress (struct dff_holder *holder, struct holder_worker *worker)
{
	int64_t now_ms = holder_now_ms (holder);
	guint n_open = 0, n_still = 0;
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, worker->runs);
	while (g_hash_table_iter_next (&iter, NULL, &value)) {
		const struct holder_run *run = value;
		if (run->phase != DFF_RUN_PHASE_OPEN || run->percent < 0 || run->percent >= 100)
			continue;
		n_open++;
		n_still += stands_still (run, now_ms);
	}
	if (n_still == 0 || n_still < n_open || now_ms - worker->stalled_ms < STALL_REPEAT_MS)
		return;
	worker->stalled_ms = now_ms;
	(*holder->metrics.stalled_workers)++;
	dff_log (DFF_LOG_UPSTREAM, DFF_LOG_WARNING, "Worker's tasks stand still. worker=%s runs=%u",
		 worker->upstream.incarnation.id.data, n_still);
	struct dff_event event = {.type = DFF_EVENT_WORKER_STALLED,
				  .worker = worker->upstream.incarnation.id};
	dff_core_handle_event (holder->core, &event, now_ms);
}

static void
take_lists (struct dff_holder *holder,
	    struct holder_worker *worker,
	    const struct dff_runner_result *result,
	    int64_t begun_ms)
{
	g_autoptr (GHashTable) listed = g_hash_table_new (NULL, NULL);
	take_running (holder, worker, result, listed, begun_ms);
	/* Ends settle runs: none of them may be looked at through @listed any more. */
	take_ended (holder, worker, result);
	take_unlisted (holder, worker, listed, begun_ms);
	judge_progress (holder, worker);
}

static void
note_answer (struct dff_holder *holder,
	     struct holder_worker *worker,
	     const struct dff_runner_result *result,
	     int64_t begun_ms)
{
	watch_note_clock (holder, worker, result->clock_ms);
	worker->heard_ms = MAX (worker->heard_ms, begun_ms);
	worker->lists_ms = holder_now_ms (holder);
	worker->n_silent = 0;
	worker->gone = false;
	blame_withdraw (holder, worker);
	worker_set_state (holder, worker);
	take_lists (holder, worker, result, begun_ms);
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
	if (watch->look)
		worker->looking = false;
	else
		worker->watching = false;
	bool present = watch->mark.n_lives == worker->n_lives;
	enum dff_runner_outcome outcome = result->outcome;
	/* Lists of another life are no answer. */
	if (outcome == DFF_RUNNER_DONE && !lives_take_list (holder, worker, result, &watch->mark))
		outcome = DFF_RUNNER_UNKNOWN;
	switch (outcome) {
	case DFF_RUNNER_DONE:
		worker->next_watch_ms = now_ms;
		note_answer (holder, worker, result, watch->call.begun_ms);
		holder_wake (holder);
		return;
	case DFF_RUNNER_STALE_EPOCH:
		lease_stand_down (holder, "worker_saw_higher_epoch");
		return;
	case DFF_RUNNER_OTHER_INCARNATION:
		/* A call to a life that is over, or to where the worker is not. */
		if (!present || watch->at_next)
			return;
		watch_lose_worker (holder, worker, DFF_LOSS_OTHER_LIFE);
		worker->next_watch_ms = now_ms + PROBE_TIMEOUT_MS;
		return;
	default:
		/* A call to a life that is over tells nothing about the next one. */
		if (watch->at_next)
			return;
		worker->next_watch_ms = now_ms + PROBE_EVERY_MS;
		if (!present)
			return;
		watch_note_silent (worker, watch->call.begun_ms + watch->wait_ms);
		worker->n_silent++;
		worker_set_state (holder, worker);
		return;
	}
}

/* Ends are numbered anew in each life: a number of the one before would have the next one forget
 * ends that nobody has heard of. So nothing is acknowledged until lists have shown the life that
 * was given the last start. */
static int64_t
acknowledged (const struct holder_worker *worker, bool look)
{
	bool shown = !look && worker->n_silent == 0 && lives_are_sure (worker) &&
		     worker->start_ms <= worker->lists_ms;
	if (!shown && dff_start_is_known (worker->upstream.incarnation.started_ms))
		return 0;
	return worker->ended_recorded;
}

static void
send_watch (struct dff_holder *holder, struct holder_worker *worker, bool look)
{
	struct watch_call *call = holder_call_begin (holder, sizeof (*call));
	call->worker = worker->upstream.incarnation.id;
	call->mark = lives_mark (holder, worker);
	call->look = look;
	call->at_next = look && worker->next_entry != NULL;
	bool waits = !look && worker->n_silent == 0 && worker->heard_ms > 0;
	struct dff_run_watch watch = {
		.worker = worker->upstream.incarnation.id,
		.address = call->at_next ? worker->next_entry->upstream.address
					 : worker->upstream.address,
		.epoch = holder->epoch,
		.acknowledged = acknowledged (worker, look),
		.deadline_ms = watch_deadline_ms (holder, worker),
		.wait_ms = waits ? wait_ms (holder) : 0,
		.timeout_ms = waits ? wait_ms (holder) + PATIENCE_MS : PROBE_TIMEOUT_MS,
	};
	worker->deadline_ms = MAX (worker->deadline_ms, watch.deadline_ms);
	call->wait_ms = watch.wait_ms;
	if (look)
		worker->looking = true;
	else
		worker->watching = true;
	holder->options.runner->watch (holder->options.runner->ctx, &watch, handle_watch, call);
}

void
watch_look (struct dff_holder *holder, struct holder_worker *worker)
{
	if (!worker->looking)
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
	if (dff_name_is_empty (&worker->upstream.address) || worker->watching)
		return false;
	return worker->listed || g_hash_table_size (worker->runs) > 0;
}

void
watch_work (struct dff_holder *holder)
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
