#include "cell/cell_private.h"

#include "common/log.h"

/* Calls to workers. A stop is repeated until the worker proves that the task has ended. A start is
 * repeated until it is answered, proven unsent, or superseded by a stop. */

/** Attempts to stop an orphaned run. When all fail, the run ends with its lease. */
#define ORPHAN_TRIES 5

static const struct dff_name *
find_address (const struct dff_cell *cell, const struct dff_name *name)
{
	const struct dff_cell_worker *worker = dff_cell_worker_find (cell, name);
	if (worker == NULL || dff_name_is_empty (&worker->address))
		return NULL;
	return &worker->address;
}

static const struct dff_task_report *
find_report (const struct dff_worker_result *result, const struct dff_task_id *task)
{
	for (size_t i = 0; i < result->n_reports; i++) {
		const struct dff_task_id *id = &result->reports[i].task;
		if (id->attempt == task->attempt && id->member == task->member &&
		    dff_name_equal (&id->job, &task->job))
			return &result->reports[i];
	}
	return NULL;
}

static void
schedule_retry (struct dff_cell *cell,
		struct dff_cell_job *job,
		struct dff_cell_member *member,
		int32_t i)
{
	*cell->metrics.retries += 1;
	struct dff_cell_due due = {
		.due_ms = dff_cell_now_ms (cell) + dff_cell_backoff_ms (cell, member->tries++),
		.type = DFF_CELL_DUE_TASK,
		.worker = member->placement.worker,
		.task = {job->row->spec.id, job->row->attempt, i},
		.wanted_seq = member->wanted_seq,
	};
	dff_cell_agenda_add (cell, &due);
}

static void
handle_start_result (struct dff_cell *cell,
		     struct dff_cell_job *job,
		     const struct dff_task_id *task,
		     enum dff_worker_outcome outcome)
{
	struct dff_cell_member *member = dff_cell_job_member (job, task);
	bool unsent = outcome == DFF_WORKER_UNSENT;
	bool failed = outcome == DFF_WORKER_REFUSED ||
		      (unsent && member->tries + 1 >= DFF_CELL_START_TRIES);
	if (outcome == DFF_WORKER_OK || member->started) {
		member->wanted = DFF_CELL_WANT_NOTHING;
		dff_cell_member_started (cell, job, member);
		return;
	}
	if (unsent && !member->in_doubt) {
		member->sent = false;
		member->released = false;
	}
	bool at_most_once = !member->held && !job->row->spec.idempotent;
	/* A copy of the refused start may still be in transit, and the worker may accept it. A job
	 * that may run only once would then run here after it was started elsewhere. A stop leaves
	 * a tombstone, which makes the worker refuse the copy. */
	if (outcome == DFF_WORKER_REFUSED && at_most_once) {
		member->refused = true;
		dff_cell_set_wanted (cell, job, task->member, DFF_CELL_WANT_STOP);
		return;
	}
	/* The refusal of a repeated start does not prove that the first one, whose answer was lost,
	 * was refused too: the member stays open until a stop is answered. */
	if (failed && !member->in_doubt) {
		dff_cell_member_ended (cell, job, member, DFF_EVENT_TASK_START_FAILED, false);
		return;
	}
	member->in_doubt = member->in_doubt || outcome == DFF_WORKER_UNCERTAIN;
	/* The worker may have run the task, restarted and lost its record of the task. A repeated
	 * start would then run a job twice that may run only once. The worker is queried for its
	 * tasks instead; if the answer does not settle the state, the core's timeout stops the
	 * task. */
	if (member->in_doubt && at_most_once) {
		dff_cell_worker_query (cell, &member->placement.worker, dff_cell_now_ms (cell));
		return;
	}
	schedule_retry (cell, job, member, task->member);
}

static void
handle_release_result (struct dff_cell *cell,
		       struct dff_cell_job *job,
		       const struct dff_task_id *task,
		       enum dff_worker_outcome outcome)
{
	struct dff_cell_member *member = dff_cell_job_member (job, task);
	if (outcome == DFF_WORKER_OK) {
		member->wanted = DFF_CELL_WANT_NOTHING;
		return;
	}
	/* The worker has no record of the task: its answer to a query shows what happened to it. */
	if (outcome == DFF_WORKER_REFUSED)
		dff_cell_worker_query (cell, &member->placement.worker, dff_cell_now_ms (cell));
	schedule_retry (cell, job, member, task->member);
}

static void
handle_checkpoint_result (struct dff_cell *cell,
			  struct dff_cell_job *job,
			  const struct dff_task_id *task,
			  enum dff_worker_outcome outcome)
{
	struct dff_cell_member *member = dff_cell_job_member (job, task);
	if (outcome == DFF_WORKER_UNSENT || outcome == DFF_WORKER_UNCERTAIN) {
		schedule_retry (cell, job, member, task->member);
		return;
	}
	member->wanted = DFF_CELL_WANT_NOTHING;
	if (outcome == DFF_WORKER_REFUSED)
		return;
	struct dff_event event = {
		.type = DFF_EVENT_TASK_CHECKPOINTED,
		.job = task->job,
		.attempt = task->attempt,
		.member = task->member,
	};
	dff_cell_queue_event (cell, &event);
}

static void
handle_task_result (struct dff_cell *cell,
		    const struct dff_cell_call *call,
		    enum dff_worker_outcome outcome)
{
	struct dff_cell_job *job = dff_cell_job_find (cell, &call->task.job);
	struct dff_cell_member *member =
		job != NULL ? dff_cell_job_member (job, &call->task) : NULL;
	if (member == NULL || member->ended || member->wanted_seq != call->wanted_seq)
		return;
	switch (member->wanted) {
	case DFF_CELL_WANT_NOTHING:
		break;
	case DFF_CELL_WANT_START:
		handle_start_result (cell, job, &call->task, outcome);
		break;
	case DFF_CELL_WANT_RELEASE:
		handle_release_result (cell, job, &call->task, outcome);
		break;
	case DFF_CELL_WANT_CHECKPOINT:
		handle_checkpoint_result (cell, job, &call->task, outcome);
		break;
	case DFF_CELL_WANT_STOP:
		/* A refused stop may mean that the worker has received a newer epoch. */
		if (outcome == DFF_WORKER_REFUSED)
			dff_lease_request_renewal (cell->lease);
		schedule_retry (cell, job, member, call->task.member);
		break;
	}
}

/* A start whose answer was lost is in doubt even when a stop has superseded it meanwhile. */
static void
mark_in_doubt (struct dff_cell *cell, const struct dff_cell_call *call)
{
	struct dff_cell_job *job = dff_cell_job_find (cell, &call->task.job);
	struct dff_cell_member *member =
		job != NULL ? dff_cell_job_member (job, &call->task) : NULL;
	if (member != NULL)
		member->in_doubt = true;
}

static void
on_task (void *user, const struct dff_worker_result *result)
{
	struct dff_cell_call call;
	if (!dff_cell_call_end (user, &call))
		return;
	struct dff_cell *cell = call.cell;
	bool answered = result->outcome == DFF_WORKER_OK || result->outcome == DFF_WORKER_REFUSED;
	if (answered)
		dff_cell_worker_answered (cell, &call.worker, result);
	else if (result->outcome == DFF_WORKER_UNCERTAIN)
		mark_in_doubt (cell, &call);
	const struct dff_task_report *report = find_report (result, &call.task);
	if (answered && report != NULL)
		dff_cell_apply_report (cell, &call.worker, result->incarnation, report);
	handle_task_result (cell, &call, result->outcome);
}

static void
send_start (struct dff_cell *cell,
	    const struct dff_cell_job *job,
	    struct dff_cell_member *member,
	    const struct dff_name *address,
	    struct dff_cell_call *call)
{
	const struct dff_job_row *row = job->row;
	const struct dff_task_start start = {
		.task = call->task,
		.epoch = cell->epoch,
		.accelerators = member->placement.accelerators,
		.resources = row->spec.per_task,
		.held = member->held,
		.resume = row->spec.checkpoint && row->attempt > 1,
		.lease_ms = cell->options.task_lease_ms,
		.payload = {row->payload->str, row->payload->len},
		.traceparent = {row->traceparent->str, row->traceparent->len},
	};
	member->sent = true;
	if (!member->held)
		member->released = true;
	const struct dff_worker_client *workers = cell->options.workers;
	workers->start (workers->ctx, address, &start, on_task, call);
}

static void
send_wanted (struct dff_cell *cell,
	     const struct dff_cell_job *job,
	     struct dff_cell_member *member,
	     const struct dff_name *address,
	     struct dff_cell_call *call)
{
	const struct dff_worker_client *workers = cell->options.workers;
	const struct dff_task_id task = call->task;
	switch (member->wanted) {
	case DFF_CELL_WANT_NOTHING:
		break;
	case DFF_CELL_WANT_START:
		send_start (cell, job, member, address, call);
		break;
	case DFF_CELL_WANT_RELEASE:
		member->released = true;
		workers->release (workers->ctx, address, &task, cell->epoch, on_task, call);
		break;
	case DFF_CELL_WANT_CHECKPOINT:
		workers->checkpoint (workers->ctx, address, &task, cell->epoch, on_task, call);
		break;
	case DFF_CELL_WANT_STOP:
		workers->stop (workers->ctx, address, &task, cell->epoch, on_task, call);
		break;
	}
}

void
dff_cell_send_task (struct dff_cell *cell, const struct dff_cell_due *due)
{
	struct dff_cell_job *job = dff_cell_job_find (cell, &due->task.job);
	struct dff_cell_member *member = job != NULL ? dff_cell_job_member (job, &due->task) : NULL;
	if (member == NULL || member->ended || member->wanted_seq != due->wanted_seq ||
	    member->wanted == DFF_CELL_WANT_NOTHING)
		return;
	struct dff_cell_call *call = dff_cell_call_begin (cell, DFF_CELL_CALL_TASK);
	call->worker = due->worker;
	call->task = due->task;
	call->wanted_seq = due->wanted_seq;
	const struct dff_name *address = find_address (cell, &due->worker);
	if (address == NULL) {
		const struct dff_worker_result unsent = {.outcome = DFF_WORKER_UNSENT};
		on_task (call, &unsent);
		return;
	}
	struct dff_name copy = *address;
	send_wanted (cell, job, member, &copy, call);
}

static void
on_query (void *user, const struct dff_worker_result *result)
{
	struct dff_cell_call call;
	if (!dff_cell_call_end (user, &call))
		return;
	struct dff_cell *cell = call.cell;
	struct dff_cell_worker *worker = dff_cell_worker_find (cell, &call.worker);
	if (worker == NULL)
		return;
	worker->querying = false;
	bool answered = result->outcome == DFF_WORKER_OK;
	if (answered)
		dff_cell_worker_answered (cell, &call.worker, result);
	if (cell->phase == DFF_CELL_QUERYING)
		dff_cell_recovery_answer (cell, &call.worker, result);
	else if (answered)
		dff_cell_apply_full_report (cell, &call.worker, result, call.sent_ms);
	else
		dff_cell_worker_unanswered (cell, &call.worker);
}

void
dff_cell_send_query (struct dff_cell *cell, const struct dff_cell_due *due)
{
	struct dff_cell_call *call = dff_cell_call_begin (cell, DFF_CELL_CALL_QUERY);
	call->worker = due->worker;
	const struct dff_name *address = find_address (cell, &due->worker);
	if (address == NULL) {
		const struct dff_worker_result unsent = {.outcome = DFF_WORKER_UNSENT};
		on_query (call, &unsent);
		return;
	}
	struct dff_name copy = *address;
	const struct dff_worker_client *workers = cell->options.workers;
	workers->query (workers->ctx, &copy, on_query, call);
}

static void
on_orphan_stop (void *user, const struct dff_worker_result *result)
{
	struct dff_cell_call call;
	if (!dff_cell_call_end (user, &call))
		return;
	if (result->outcome == DFF_WORKER_OK || call.tries + 1 >= ORPHAN_TRIES)
		return;
	struct dff_cell_due due = {
		.due_ms = dff_cell_now_ms (call.cell) + dff_cell_backoff_ms (call.cell, call.tries),
		.type = DFF_CELL_DUE_ORPHAN,
		.worker = call.worker,
		.task = call.task,
		.tries = call.tries + 1,
	};
	dff_cell_agenda_add (call.cell, &due);
}

void
dff_cell_send_orphan_stop (struct dff_cell *cell, const struct dff_cell_due *due)
{
	const struct dff_name *address = find_address (cell, &due->worker);
	if (address == NULL)
		return;
	if (due->tries == 0)
		*cell->metrics.orphans += 1;
	struct dff_cell_call *call = dff_cell_call_begin (cell, DFF_CELL_CALL_ORPHAN);
	call->worker = due->worker;
	call->task = due->task;
	call->tries = due->tries;
	struct dff_name copy = *address;
	const struct dff_worker_client *workers = cell->options.workers;
	workers->stop (workers->ctx, &copy, &due->task, cell->epoch, on_orphan_stop, call);
}
