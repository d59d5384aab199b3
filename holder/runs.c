#include "holder/holder_private.h"

#include "common/log.h"

/* One run of a member at its worker, from the recorded start to its end. An order without an answer
 * may be carried out seconds later. So a start is repeated unchanged, and the worker recognises it
 * as the same. A stopping run has ended only when the worker has answered the stop (it refuses the
 * run from then on) and does not list the run, or when the worker's lease has lapsed. */

/** Timeout of a start or stop, ms: workers answer within a few ms, and within a few hundred where
 * they or a relay are short of processor time. */
#define ORDER_TIMEOUT_MS 400
/** Delay before an order that was not sent is repeated, ms. */
#define UNSENT_PAUSE_MS 100
/** Delay before a start is repeated whose deadline had passed when it arrived, ms. */
#define REFUSED_PAUSE_MS 50
/** Interval after which a stop is sent again that has had no effect in the worker's reports, ms. */
#define STOP_REPEAT_MS 1000

struct order_call {
	struct holder_call call;
	struct dff_name worker;
	struct incarnation_mark mark;
	struct dff_name task;
	int32_t run;
	bool is_stop;
};

void
run_free (gpointer data)
{
	struct holder_run *run = data;
	g_free (run->checkpoint);
	g_free (run);
}

/* Only runs that wait for a call are checked, fifty times a second; thousands are open. With 350
 * workers, checking all runs takes an eighth of the holder's processor time. */
void
run_set_phase (struct dff_holder *holder, struct holder_run *run, enum run_phase phase)
{
	bool was_open = run->phase == DFF_RUN_PHASE_OPEN;
	bool is_open = phase == DFF_RUN_PHASE_OPEN;
	run->phase = phase;
	if (was_open && !is_open)
		g_queue_push_tail_link (&holder->pending_runs, &run->link);
	else if (is_open && !was_open)
		g_queue_unlink (&holder->pending_runs, &run->link);
}

static void
run_remove (struct dff_holder *holder, struct holder_run *run)
{
	run_set_phase (holder, run, DFF_RUN_PHASE_OPEN);
	run->worker->settled_ms = holder_now_ms (holder);
	run->unit->runs[run->member] = NULL;
	g_hash_table_remove (run->worker->runs, &run->task);
	(*holder->metrics.open_runs)--;
}

/* Removes the previous run of a task at a worker. There should be none: a new run is placed only
 * when the previous one has ended. */
static void
remove_former_run (struct dff_holder *holder,
		   const struct holder_worker *worker,
		   const struct dff_name *task)
{
	struct holder_run *former = g_hash_table_lookup (worker->runs, task);
	if (former == NULL)
		return;
	dff_log (DFF_LOG_CELL, DFF_LOG_ERROR,
		 "The previous run of a task was still open when the next one was placed. "
		 "task=%s run=%d "
		 "worker=%s",
		 task->data, former->run, worker->upstream.incarnation.id.data);
	run_remove (holder, former);
}

struct holder_run *
run_new (struct dff_holder *holder,
	 struct holder_unit *unit,
	 int32_t member,
	 struct holder_worker *worker,
	 enum run_phase phase)
{
	struct holder_run *run = g_new0 (struct holder_run, 1);
	struct dff_task_ref ref = {.job = unit->job->id,
				   .occurrence = unit->unit.occurrence,
				   .step = unit->unit.step,
				   .index = MAX (unit->unit.index, 0) + member};
	run->worker = worker;
	run->unit = unit;
	run->member = member;
	run->attempt = unit->attempt;
	run->task = dff_task_ref_name (&ref);
	run->link.data = run;
	run->phase = DFF_RUN_PHASE_OPEN;
	run_set_phase (holder, run, phase);
	run->open_ms = holder_now_ms (holder);
	run->percent_ms = run->open_ms;
	run->percent = -1;
	run->unlisted_event = DFF_EVENT_TASK_STOPPED;
	remove_former_run (holder, worker, &run->task);
	unit->runs[member] = run;
	g_hash_table_insert (worker->runs, &run->task, run);
	(*holder->metrics.open_runs)++;
	return run;
}

void
run_end (struct dff_holder *holder, struct holder_run *run, enum dff_event_type type, bool ran)
{
	struct holder_unit *unit = run->unit;
	struct dff_name name = unit->name;
	int32_t attempt = run->attempt;
	int32_t member = run->member;
	bool failed = type == DFF_EVENT_TASK_FAILED || type == DFF_EVENT_TASK_LOST;
	if (failed && unit->failed_ms == 0)
		unit->failed_ms = holder_now_ms (holder);
	run_remove (holder, run);
	jobs_report (holder, &name, attempt, member, type, ran);
	holder_wake (holder);
}

void
run_stop (struct dff_holder *holder, struct holder_run *run)
{
	if (run->phase == DFF_RUN_PHASE_STOPPING)
		return;
	run_set_phase (holder, run, DFF_RUN_PHASE_STOPPING);
	run->stopped_ms = 0;
	run->next_ms = holder_now_ms (holder);
}

bool
run_is_obstructed (const struct holder_run *run)
{
	return run->other_listed_ms > 0 && run->other_listed_ms >= run->worker->lists_ms;
}

void
run_stop_again (struct dff_holder *holder, struct holder_run *run)
{
	run_stop (holder, run);
	run->stopped_ms = 0;
	run->next_ms = holder_now_ms (holder);
}

/* Reports the progress of a unit to the core: for a gang, that of its first member. */
static void
report_progress (struct dff_holder *holder, const struct holder_run *run)
{
	struct dff_event event = {.type = DFF_EVENT_TASK_PROGRESS,
				  .job = run->unit->name,
				  .attempt = run->attempt,
				  .member = run->member,
				  .percent = run->percent};
	if (run->member == 0)
		dff_core_handle_event (holder->core, &event, holder_now_ms (holder));
}

/* Called when an answer of the worker has just shown that the run is active. */
static void
note_begun (struct holder_run *run)
{
	run->ran = true;
	if (run->running_since_clock_ms == 0)
		run->running_since_clock_ms = run->worker->clock_ms;
	duration_note_started (run);
}

void
run_note_active (struct dff_holder *holder,
		 struct holder_run *run,
		 const struct dff_run_active *open)
{
	struct holder_unit *unit = run->unit;
	int64_t now_ms = holder_now_ms (holder);
	if (open->checkpoint.len > 0)
		dff_progress_save_checkpoint (unit->job->progress, unit->job->plan, &unit->unit,
					      open->checkpoint);
	if (open->percent != run->percent) {
		run->percent = open->percent;
		run->percent_ms = now_ms;
		report_progress (holder, run);
	}
	if (!run->ran)
		unit_note_started (holder, unit);
	note_begun (run);
	duration_note_progress (holder, run);
	if (run->phase != DFF_RUN_PHASE_STARTING)
		return;
	run_set_phase (holder, run, DFF_RUN_PHASE_OPEN);
	run->open_ms = now_ms;
	jobs_report (holder, &unit->name, run->attempt, run->member, DFF_EVENT_TASK_STARTED, true);
	holder_wake (holder);
}

/* One reported completion completes the whole gang. Guards against starting a completed gang
 * again: the worker of one member is lost after the gang has completed, and only then does another
 * member's worker report the completion. */
static void
complete_unit (struct dff_holder *holder, struct holder_run *run)
{
	struct holder_unit *unit = run->unit;
	int32_t attempt = run->attempt;
	int32_t member = run->member;
	for (int32_t i = 0; i < unit->n_members; i++) {
		if (unit->runs[i] != NULL)
			run_remove (holder, unit->runs[i]);
	}
	jobs_report (holder, &unit->name, attempt, member, DFF_EVENT_GANG_COMPLETED, true);
	holder_wake (holder);
}

void
run_note_ended (struct dff_holder *holder,
		struct holder_run *run,
		const struct dff_run_ended *ended)
{
	struct holder_unit *unit = run->unit;
	dff_log (DFF_LOG_CELL, DFF_LOG_INFO,
		 "Run ended. task=%s run=%d end=%s worker=%s number=%" PRId64, run->task.data,
		 run->run, dff_run_end_name (ended->end), run->worker->upstream.incarnation.id.data,
		 ended->number);
	if (ended->checkpoint.len > 0 && ended->end != DFF_RUN_COMPLETED) {
		dff_progress_save_checkpoint (unit->job->progress, unit->job->plan, &unit->unit,
					      ended->checkpoint);
		commit_mark_dirty (holder, unit->job);
	}
	blame_clear_ended (holder, run);
	switch (ended->end) {
	case DFF_RUN_COMPLETED:
		duration_note_completed (holder, run);
		complete_unit (holder, run);
		return;
	case DFF_RUN_FAILED:
		unit_note_failed (holder, unit, run->member);
		run_end (holder, run, DFF_EVENT_TASK_FAILED, true);
		return;
	case DFF_RUN_LEASE_EXPIRED:
		run_end (holder, run, DFF_EVENT_TASK_LOST, true);
		return;
	case DFF_RUN_STOPPED:
	case DFF_RUN_GANG_BROKEN:
	case DFF_RUN_GANG_TIMEOUT:
		run_end (holder, run, DFF_EVENT_TASK_STOPPED, true);
		return;
	}
}

/* Handles a start that the worker has refused. Earlier sendings of the same start may still arrive
 * unless the worker refuses those too. */
static void
refuse_start (struct dff_holder *holder, struct holder_run *run, enum dff_runner_outcome outcome)
{
	(*holder->metrics.starts_rejected)++;
	dff_log (DFF_LOG_CELL, DFF_LOG_WARNING,
		 "Start refused. task=%s run=%d worker=%s reason=%s unanswered=%d", run->task.data,
		 run->run, run->worker->upstream.incarnation.id.data,
		 dff_runner_outcome_name (outcome), run->n_unanswered);
	bool blamed = outcome == DFF_RUNNER_UNHEALTHY || outcome == DFF_RUNNER_INVALID;
	enum dff_event_type event = blamed ? DFF_EVENT_TASK_START_FAILED : DFF_EVENT_TASK_REJECTED;
	if (run->n_unanswered == 0 && outcome != DFF_RUNNER_OLD_RUN) {
		run_end (holder, run, event, false);
		return;
	}
	run->unlisted_event = event;
	run_stop (holder, run);
}

static void
handle_start (struct dff_holder *holder,
	      struct holder_run *run,
	      const struct dff_runner_result *result)
{
	int64_t now_ms = holder_now_ms (holder);
	switch (result->outcome) {
	case DFF_RUNNER_DONE:
		run_set_phase (holder, run, DFF_RUN_PHASE_OPEN);
		note_begun (run);
		run->open_ms = now_ms;
		run->percent_ms = now_ms;
		unit_note_started (holder, run->unit);
		jobs_report (holder, &run->unit->name, run->attempt, run->member,
			     DFF_EVENT_TASK_STARTED, true);
		holder_wake (holder);
		return;
	case DFF_RUNNER_DEADLINE_PASSED:
		run->next_ms = now_ms + REFUSED_PAUSE_MS;
		return;
	case DFF_RUNNER_UNSENT:
		run->next_ms = now_ms + UNSENT_PAUSE_MS;
		return;
	case DFF_RUNNER_UNKNOWN:
		run->n_unanswered++;
		run->next_ms = now_ms;
		return;
	default:
		refuse_start (holder, run, result->outcome);
		return;
	}
}

static void
handle_stop (struct dff_holder *holder,
	     struct holder_run *run,
	     const struct dff_runner_result *result)
{
	int64_t now_ms = holder_now_ms (holder);
	if (result->outcome != DFF_RUNNER_DONE) {
		run->next_ms = now_ms + UNSENT_PAUSE_MS;
		return;
	}
	run->stopped_ms = now_ms;
	run->next_ms = now_ms + STOP_REPEAT_MS;
	/* A run that never started is not listed as ended: the report is requested at once. */
	watch_query (holder, run->worker);
}

/* The incarnation that answered has not carried out the order. */
static void
note_other_incarnation (struct dff_holder *holder,
			struct holder_worker *worker,
			const struct order_call *order)
{
	struct holder_run *run = g_hash_table_lookup (worker->runs, &order->task);
	if (run != NULL && run->run == order->run)
		run->order_in_flight = false;
	if (order->mark.n_incarnations == worker->n_incarnations)
		watch_lose_worker (holder, worker, DFF_LOSS_OTHER_INCARNATION);
}

/* Notes the outcome for the worker's next incarnation, which may carry out the order as well. */
static void
note_order_end (struct dff_holder *holder,
		struct holder_worker *worker,
		const struct order_call *order,
		enum dff_runner_outcome outcome)
{
	if (order->is_stop) {
		incarnation_note_stop (worker, &order->task, order->run,
				       outcome == DFF_RUNNER_DONE);
		return;
	}
	worker->start_ms = holder_now_ms (holder);
	if (outcome == DFF_RUNNER_UNKNOWN)
		incarnation_note_unanswered (holder, worker, &order->task, order->run);
}

static void
handle_order (void *user, const struct dff_runner_result *result)
{
	g_autofree struct order_call *order = user;
	struct dff_holder *holder = holder_call_end (&order->call);
	struct holder_worker *worker =
		holder != NULL ? workers_find (holder, &order->worker) : NULL;
	if (worker == NULL)
		return;
	if (result->outcome == DFF_RUNNER_OTHER_INCARNATION) {
		note_other_incarnation (holder, worker, order);
		return;
	}
	if (result->outcome == DFF_RUNNER_STALE_EPOCH) {
		lease_step_down (holder, "worker_saw_higher_epoch");
		return;
	}
	/* The answer of another incarnation says nothing about the current one. */
	static const struct dff_runner_result unanswered = {.outcome = DFF_RUNNER_UNKNOWN};
	if (!incarnation_accept_order (holder, worker, result, &order->mark))
		result = &unanswered;
	else if (result->outcome == DFF_RUNNER_UNKNOWN)
		watch_note_unanswered (worker, order->call.begun_ms);
	watch_note_clock (holder, worker, result->clock_ms);
	note_order_end (holder, worker, order, result->outcome);
	struct holder_run *run = g_hash_table_lookup (worker->runs, &order->task);
	if (run == NULL || run->run != order->run)
		return;
	run->order_in_flight = false;
	if (order->is_stop && run->phase == DFF_RUN_PHASE_STOPPING)
		handle_stop (holder, run, result);
	else if (!order->is_stop && run->phase == DFF_RUN_PHASE_STARTING)
		handle_start (holder, run, result);
	else if (!order->is_stop && result->outcome == DFF_RUNNER_UNKNOWN)
		run->n_unanswered++;
	else if (!order->is_stop && result->outcome == DFF_RUNNER_DONE)
		note_begun (run);
}

static struct order_call *
order_call_new (struct dff_holder *holder, const struct holder_worker *worker, bool is_stop)
{
	struct order_call *call = holder_call_begin (holder, sizeof (*call));
	call->worker = worker->upstream.incarnation.id;
	call->mark = incarnation_mark (holder, worker);
	call->is_stop = is_stop;
	return call;
}

static void
send_order (struct dff_holder *holder, struct holder_run *run, bool is_stop)
{
	const struct holder_worker *worker = run->worker;
	const GString *payload = run->unit->job->plan->payload;
	struct dff_run_order order = {
		.worker = worker->upstream.incarnation.id,
		.address = worker->upstream.address,
		.task = run->task,
		.run = run->run,
		.epoch = holder->epoch,
		.payload = {payload->str, payload->len},
		.checkpoint = dff_str_from (run->checkpoint != NULL ? run->checkpoint : ""),
		.timeout_ms = ORDER_TIMEOUT_MS,
	};
	if (!is_stop) {
		order.deadline_ms = watch_deadline_ms (holder, worker);
		/* Without a recent answer the lease is not renewed, and an earlier deadline may
		 * still be valid. */
		if (order.deadline_ms == 0)
			order.deadline_ms = worker->deadline_ms;
		run->worker->deadline_ms = MAX (worker->deadline_ms, order.deadline_ms);
		run->worker->start_ms = holder_now_ms (holder);
		if (run->sent_ms == 0)
			run->sent_ms = run->worker->start_ms;
		(*holder->metrics.starts)++;
	}
	struct order_call *call = order_call_new (holder, worker, is_stop);
	call->task = run->task;
	call->run = run->run;
	run->order_in_flight = true;
	const struct dff_runner *runner = holder->options.runner;
	if (is_stop)
		runner->stop (runner->ctx, &order, handle_order, call);
	else
		runner->start (runner->ctx, &order, handle_order, call);
}

void
run_stop_orphan (struct dff_holder *holder,
		 struct holder_worker *worker,
		 const struct dff_name *task,
		 int32_t run)
{
	(*holder->metrics.orphans)++;
	dff_log (DFF_LOG_CELL, DFF_LOG_WARNING,
		 "Stopping a run that is not on record. task=%s run=%d worker=%s epoch=%" PRId64,
		 task->data, run, worker->upstream.incarnation.id.data, holder->epoch);
	run_revoke (holder, worker, task, run);
}

void
run_revoke (struct dff_holder *holder,
	    struct holder_worker *worker,
	    const struct dff_name *task,
	    int32_t run)
{
	struct dff_run_order order = {.worker = worker->upstream.incarnation.id,
				      .address = worker->upstream.address,
				      .task = *task,
				      .run = run,
				      .epoch = holder->epoch,
				      .timeout_ms = ORDER_TIMEOUT_MS};
	struct order_call *call = order_call_new (holder, worker, true);
	call->task = *task;
	call->run = run;
	holder->options.runner->stop (holder->options.runner->ctx, &order, handle_order, call);
}

/* Withdraws a recorded start. Guards against repeating a start without an answer in a data centre
 * that was evacuated since, or at a worker whose capacity shrank since. A start that may have
 * arrived, or that a former holder may have sent, is settled by a stop: a worker that has not seen
 * the run refuses it from then on. */
static void
withdraw_start (struct dff_holder *holder, struct holder_run *run, const char *reason)
{
	(*holder->metrics.starts_withdrawn)++;
	dff_log (DFF_LOG_CELL, DFF_LOG_INFO,
		 "Start withdrawn. task=%s run=%d worker=%s data_centre=%s reason=%s unanswered=%d",
		 run->task.data, run->run, run->worker->upstream.incarnation.id.data,
		 run->worker->upstream.data_centre.data, reason, run->n_unanswered);
	run->unlisted_event = DFF_EVENT_TASK_REJECTED;
	run_stop (holder, run);
}

static void
step_run (struct dff_holder *holder, struct holder_run *run)
{
	int64_t now_ms = holder_now_ms (holder);
	const struct holder_worker *worker = run->worker;
	if (run->order_in_flight || run->phase == DFF_RUN_PHASE_OPEN || run->next_ms > now_ms ||
	    dff_name_is_empty (&worker->upstream.address) || worker->clock_ms == 0)
		return;
	if (run->phase == DFF_RUN_PHASE_STARTING && evacuation_covers (holder, worker))
		withdraw_start (holder, run, "evacuated");
	else if (run->phase == DFF_RUN_PHASE_STARTING && !capacity_allows_start (holder, worker))
		withdraw_start (holder, run, "room");
	bool is_stop = run->phase == DFF_RUN_PHASE_STOPPING;
	if (!is_stop && (run_is_obstructed (run) || !evacuation_allows_starts (holder)))
		return;
	/* A start whose deadline has passed on the worker's clock would only be refused. */
	if (!is_stop && watch_deadline_ms (holder, worker) == 0 && run->n_unanswered == 0)
		return;
	send_order (holder, run, is_stop);
}

void
runs_step (struct dff_holder *holder)
{
	for (GList *link = holder->pending_runs.head; link != NULL; link = link->next)
		step_run (holder, link->data);
}
