#include "core/core_private.h"

#include <string.h>

/** Progress from which the total duration is projected, percent. A smaller one consists mostly of
 * the time until the task began. */
#define PROGRESS_MIN 8

/* The state machine of attempts. The next tick returns the commands in core->pending. */

struct dff_command *
dff_core_emit (struct dff_core *core, enum dff_command_type type, const struct dff_core_job *job)
{
	g_array_set_size (core->pending, core->pending->len + 1);
	struct dff_command *command =
		&g_array_index (core->pending, struct dff_command, core->pending->len - 1);
	memset (command, 0, sizeof (*command));
	command->type = type;
	command->job = job->id;
	command->attempt = job->attempt;
	return command;
}

static struct dff_command *
emit_member (struct dff_core *core,
	     enum dff_command_type type,
	     const struct dff_core_job *job,
	     int32_t member)
{
	struct dff_command *command = dff_core_emit (core, type, job);
	command->member = member;
	command->placement = g_array_index (job->placements, struct dff_placement, member);
	command->held = type == DFF_COMMAND_START_TASK && job->gang > 1;
	return command;
}

static const char *
stop_reason (const struct dff_core_job *job)
{
	static const char *const reasons[] = {
		[DFF_CORE_STOP_NONE] = "none",
		[DFF_CORE_STOP_CANCELLED] = "cancelled",
		[DFF_CORE_STOP_MEMBER_ENDED] = "member_ended",
		[DFF_CORE_STOP_START_TIMEOUT] = "start_timeout",
		[DFF_CORE_STOP_RECOVERY] = "recovered_in_part",
	};
	static const char *const preempt_reasons[] = {
		[DFF_CORE_PREEMPT_CAPACITY] = "room",
		[DFF_CORE_PREEMPT_DEFRAG] = "defragmentation",
		[DFF_CORE_PREEMPT_WORKER_STALLED] = "worker_stalled",
		[DFF_CORE_PREEMPT_WORKER_LEAVING] = "worker_leaving",
	};
	return job->stop_cause == DFF_CORE_STOP_PREEMPTED ? preempt_reasons[job->preempt_cause]
							  : reasons[job->stop_cause];
}

static int64_t *
state_count (struct dff_core *core, enum dff_core_state state)
{
	switch (state) {
	case DFF_CORE_QUEUED:
	case DFF_CORE_DELAYED:
	case DFF_CORE_RESERVED:
		return &core->stats.queued;
	case DFF_CORE_RECORDING:
	case DFF_CORE_STARTING:
		return &core->stats.starting;
	case DFF_CORE_RUNNING:
		return &core->stats.running;
	case DFF_CORE_CHECKPOINTING:
	case DFF_CORE_STOPPING:
		return &core->stats.stopping;
	case DFF_CORE_ENDING:
	default:
		return &core->stats.ended;
	}
}

static GQueue *
state_queue (struct dff_core *core, enum dff_core_state state)
{
	switch (state) {
	case DFF_CORE_RESERVED:
		return &core->reserved;
	case DFF_CORE_STARTING:
		return &core->starting;
	case DFF_CORE_CHECKPOINTING:
		return &core->checkpointing;
	case DFF_CORE_STOPPING:
		return &core->stopping;
	case DFF_CORE_DELAYED:
		return &core->delayed;
	default:
		return NULL;
	}
}

void
dff_core_set_state (struct dff_core *core,
		    struct dff_core_job *job,
		    enum dff_core_state state,
		    int64_t deadline_ms)
{
	dff_core_dequeue (core, job);
	GQueue *old_queue = state_queue (core, job->state);
	if (old_queue != NULL)
		g_queue_unlink (old_queue, &job->link);
	(*state_count (core, job->state))--;
	job->state = state;
	job->deadline_ms = deadline_ms;
	(*state_count (core, state))++;
	GQueue *queue = state_queue (core, state);
	if (queue != NULL)
		g_queue_push_tail_link (queue, &job->link);
}

static bool
member_is_open (const struct dff_core_member *member)
{
	return member->state < DFF_CORE_MEMBER_COMPLETED;
}

void
dff_core_attempt_reserve (struct dff_core *core, struct dff_core_job *job)
{
	dff_core_set_state (core, job, DFF_CORE_RESERVED, core->now_ms + DFF_CORE_RESERVE_MAX_MS);
}

void
dff_core_job_requeue (struct dff_core *core, struct dff_core_job *job)
{
	dff_core_set_state (core, job, DFF_CORE_QUEUED, INT64_MAX);
	dff_core_enqueue (core, job);
}

void
dff_core_attempt_begin (struct dff_core *core, struct dff_core_job *job)
{
	dff_core_set_state (core, job, DFF_CORE_RECORDING, INT64_MAX);
	job->attempt++;
	job->n_open = job->gang;
	job->placements =
		g_array_sized_new (FALSE, TRUE, sizeof (struct dff_placement), (guint)job->gang);
	g_array_set_size (job->placements, (guint)job->gang);
	for (int32_t i = 0; i < job->gang; i++) {
		struct dff_core_worker *worker = dff_core_worker_at (core, job->members[i].worker);
		struct dff_placement *placement =
			&g_array_index (job->placements, struct dff_placement, i);
		placement->worker = worker->name;
		placement->accelerators =
			dff_core_pick_accelerators (worker, job->per_task.accelerators);
		dff_core_lease (core, job, job->members[i].worker, placement->accelerators);
	}
	dff_core_emit (core, DFF_COMMAND_RECORD_START, job)->placements = job->placements;
}

void
dff_core_attempt_resume (struct dff_core *core, struct dff_core_job *job, int64_t age_ms)
{
	dff_core_set_state (core, job, DFF_CORE_RUNNING, INT64_MAX);
	job->started_ms = core->now_ms - age_ms;
	job->submitted_ms = job->started_ms;
}

static void
member_close (struct dff_core *core,
	      struct dff_core_job *job,
	      int32_t index,
	      enum dff_core_member_state state)
{
	struct dff_core_member *member = &job->members[index];
	g_assert (member_is_open (member));
	member->state = state;
	dff_core_unlease (core, job, index);
	dff_core_member_unbind (core, job, index);
	job->n_open--;
	if (member->ran)
		job->ever_ran = true;
}

static void
close_unsent (struct dff_core *core, struct dff_core_job *job)
{
	for (int32_t i = 0; i < job->gang; i++) {
		if (job->members[i].state == DFF_CORE_MEMBER_IDLE)
			member_close (core, job, i, DFF_CORE_MEMBER_START_FAILED);
	}
}

static bool
every_worker_answers (const struct dff_core *core, const struct dff_core_job *job)
{
	for (int32_t i = 0; i < job->gang; i++) {
		if (!dff_core_worker_accepts_starts (
			    dff_core_worker_at (core, job->members[i].worker)))
			return false;
	}
	return true;
}

void
dff_core_attempt_recorded (struct dff_core *core, struct dff_core_job *job)
{
	if (job->state != DFF_CORE_RECORDING)
		return;
	job->refusals = 0;
	/* A worker may have gone down between decision and record. Nothing was sent yet, so no
	 * member is sent at all and the attempt is proven not run. */
	if (job->cancelled || job->preempted || !every_worker_answers (core, job)) {
		close_unsent (core, job);
		dff_core_attempt_finish (core, job);
		return;
	}
	dff_core_set_state (core, job, DFF_CORE_STARTING,
			    core->now_ms + core->options.start_timeout_ms);
	for (int32_t i = 0; i < job->gang; i++) {
		job->members[i].state = DFF_CORE_MEMBER_SENT;
		emit_member (core, DFF_COMMAND_START_TASK, job, i);
	}
}

void
dff_core_attempt_refused (struct dff_core *core, struct dff_core_job *job)
{
	if (job->state != DFF_CORE_RECORDING)
		return;
	close_unsent (core, job);
	dff_core_job_clear_attempt (job);
	if (job->cancelled) {
		dff_core_job_end (core, job, DFF_OUTCOME_CANCELLED, "cancelled");
		return;
	}
	/* A store that refuses one record probably refuses the next. Without a backoff the same job
	 * would be placed and refused at every tick and keep its workers from others. */
	int64_t wait_ms = (int64_t)DFF_CORE_RETRY_MIN_MS << MIN (job->refusals, 6);
	job->refusals++;
	dff_core_delay (core, job, MIN (wait_ms, DFF_CORE_RETRY_MAX_MS));
}

void
dff_core_attempt_stop (struct dff_core *core,
		       struct dff_core_job *job,
		       enum dff_core_stop_cause cause)
{
	if (job->stop_cause == DFF_CORE_STOP_NONE)
		job->stop_cause = cause;
	dff_core_set_state (core, job, DFF_CORE_STOPPING, core->now_ms + DFF_CORE_STOP_REPEAT_MS);
	for (int32_t i = 0; i < job->gang; i++) {
		if (member_is_open (&job->members[i]))
			emit_member (core, DFF_COMMAND_STOP_TASK, job, i)->reason =
				stop_reason (job);
	}
}

static void
member_started (struct dff_core *core, struct dff_core_job *job, struct dff_core_member *member)
{
	if (member->state != DFF_CORE_MEMBER_SENT)
		return;
	member->state = DFF_CORE_MEMBER_STARTED;
	member->ran = job->gang == 1;
	job->n_started++;
	if (job->state != DFF_CORE_STARTING || job->n_started < job->gang)
		return;
	dff_core_set_state (core, job, DFF_CORE_RUNNING, INT64_MAX);
	job->started_ms = core->now_ms;
	job->released = true;
	if (job->gang == 1)
		return;
	for (int32_t i = 0; i < job->gang; i++) {
		job->members[i].ran = true;
		emit_member (core, DFF_COMMAND_RELEASE_TASK, job, i);
	}
}

static void
member_checkpointed (struct dff_core *core,
		     struct dff_core_job *job,
		     struct dff_core_member *member)
{
	if (member->state != DFF_CORE_MEMBER_STARTED || job->state != DFF_CORE_CHECKPOINTING)
		return;
	member->state = DFF_CORE_MEMBER_CHECKPOINTED;
	for (int32_t i = 0; i < job->gang; i++) {
		if (job->members[i].state == DFF_CORE_MEMBER_STARTED)
			return;
	}
	job->run_ms += core->now_ms - job->started_ms;
	dff_core_attempt_stop (core, job, DFF_CORE_STOP_PREEMPTED);
}

/* Converts an event to a member's end. @ran: (out): whether the member may have run by then. */
static bool
member_end_of_event (const struct dff_core_job *job,
		     const struct dff_core_member *member,
		     const struct dff_event *event,
		     enum dff_core_member_state *state,
		     bool *ran)
{
	switch (event->type) {
	case DFF_EVENT_TASK_COMPLETED:
		*state = DFF_CORE_MEMBER_COMPLETED;
		*ran = true;
		return true;
	case DFF_EVENT_TASK_FAILED:
		*state = DFF_CORE_MEMBER_FAILED;
		/* While the answer to one member's start is late, the gang looks as if it had not
		 * begun, and failures of such a gang do not count as attempts. Some workers start a
		 * gang by themselves, so event->ran is considered too; without it such a gang would
		 * be started once more than its attempts allow. */
		*ran = job->gang == 1 || job->released || event->ran;
		return true;
	case DFF_EVENT_TASK_STOPPED:
		*state = DFF_CORE_MEMBER_STOPPED;
		*ran = event->ran;
		return true;
	case DFF_EVENT_TASK_START_FAILED:
	case DFF_EVENT_TASK_REJECTED:
		*state = DFF_CORE_MEMBER_START_FAILED;
		*ran = false;
		return true;
	case DFF_EVENT_TASK_LOST:
		*state = DFF_CORE_MEMBER_LOST;
		*ran = member->state != DFF_CORE_MEMBER_IDLE && (job->gang == 1 || job->released);
		return true;
	default:
		return false;
	}
}

/* The end of one member may end the others: a gang runs whole or not at all. */
static void
after_member_end (struct dff_core *core, struct dff_core_job *job, bool completed)
{
	if (job->n_open == 0) {
		dff_core_attempt_finish (core, job);
		return;
	}
	if (!completed && job->state != DFF_CORE_STOPPING)
		dff_core_attempt_stop (core, job, DFF_CORE_STOP_MEMBER_ENDED);
}

/* The end of a task may be received before its start. */
static int64_t
start_ms (const struct dff_core *core, const struct dff_core_job *job)
{
	return job->state == DFF_CORE_STARTING ? core->now_ms : job->started_ms;
}

static void
update_health (struct dff_core *core,
	       struct dff_core_job *job,
	       int32_t worker,
	       enum dff_core_member_state state)
{
	if (state == DFF_CORE_MEMBER_COMPLETED)
		dff_core_note_success (core, worker, start_ms (core, job));
	if (state == DFF_CORE_MEMBER_FAILED || state == DFF_CORE_MEMBER_START_FAILED)
		dff_core_note_failure (core, job, worker);
}

static void
gang_completed (struct dff_core *core, struct dff_core_job *job)
{
	if (job->state == DFF_CORE_RECORDING)
		return;
	for (int32_t i = 0; i < job->gang; i++) {
		struct dff_core_member *member = &job->members[i];
		member->ran = true;
		if (member_is_open (member)) {
			dff_core_note_success (core, member->worker, start_ms (core, job));
			member_close (core, job, i, DFF_CORE_MEMBER_COMPLETED);
		}
		member->state = DFF_CORE_MEMBER_COMPLETED;
	}
	dff_core_attempt_finish (core, job);
}

void
dff_core_handle_member_event (struct dff_core *core,
			      struct dff_core_job *job,
			      const struct dff_event *event)
{
	struct dff_core_member *member = &job->members[event->member];
	/* A late or repeated event about a member that has ended must not change its end. */
	if (!member_is_open (member) || member->state == DFF_CORE_MEMBER_IDLE)
		return;
	if (event->type == DFF_EVENT_GANG_COMPLETED) {
		gang_completed (core, job);
		return;
	}
	if (event->type == DFF_EVENT_TASK_PROGRESS) {
		if (job->state == DFF_CORE_RUNNING && event->percent >= PROGRESS_MIN)
			job->projected_ms = (int32_t)MIN (
				(core->now_ms - job->started_ms) * 100 / event->percent, INT32_MAX);
		dff_core_review_leaving_job (core, job);
		return;
	}
	if (event->type == DFF_EVENT_TASK_SAVED) {
		if (job->state == DFF_CORE_RUNNING)
			job->saved_ms = (int32_t)MIN (core->now_ms - job->started_ms, INT32_MAX);
		return;
	}
	if (event->type == DFF_EVENT_TASK_STARTED) {
		member_started (core, job, member);
		return;
	}
	if (event->type == DFF_EVENT_TASK_CHECKPOINTED) {
		member_checkpointed (core, job, member);
		return;
	}
	enum dff_core_member_state state;
	bool ran;
	if (!member_end_of_event (job, member, event, &state, &ran))
		return;
	/* A worker that reports "not started" after "started" contradicts itself. The member still
	 * counts as one that may have run, or the job could run twice. For a stopped gang member
	 * @ran of the event counts, because a release that was sent may not have arrived. */
	if (state == DFF_CORE_MEMBER_START_FAILED && member->ran)
		ran = true;
	if (state == DFF_CORE_MEMBER_STOPPED && member->ran && job->gang == 1)
		ran = true;
	if (member->state == DFF_CORE_MEMBER_SENT && state == DFF_CORE_MEMBER_COMPLETED)
		job->n_started++;
	member->ran = ran;
	if (event->type != DFF_EVENT_TASK_REJECTED)
		update_health (core, job, member->worker, state);
	member_close (core, job, event->member, state);
	after_member_end (core, job, state == DFF_CORE_MEMBER_COMPLETED);
}

void
dff_core_job_cancel (struct dff_core *core, struct dff_core_job *job)
{
	if (job->cancelled || job->state == DFF_CORE_ENDING)
		return;
	job->cancelled = true;
	switch (job->state) {
	case DFF_CORE_QUEUED:
	case DFF_CORE_DELAYED:
		dff_core_job_end (core, job, DFF_OUTCOME_CANCELLED, "cancelled");
		return;
	case DFF_CORE_RESERVED:
		dff_core_unreserve (core, job);
		dff_core_job_end (core, job, DFF_OUTCOME_CANCELLED, "cancelled");
		return;
	case DFF_CORE_STARTING:
	case DFF_CORE_RUNNING:
	case DFF_CORE_CHECKPOINTING:
		dff_core_attempt_stop (core, job, DFF_CORE_STOP_CANCELLED);
		return;
	default:
		/* In DFF_CORE_RECORDING the cancellation takes effect when the record is answered,
		 * in DFF_CORE_STOPPING when the attempt ends. */
		return;
	}
}

void
dff_core_job_preempt (struct dff_core *core,
		      struct dff_core_job *job,
		      enum dff_core_preempt_cause cause)
{
	if (job->preempted || job->cancelled)
		return;
	job->preempted = true;
	job->preempt_cause = (uint8_t)cause;
	core->stats.preemptions++;
	job->preemptions += job->state == DFF_CORE_RUNNING;
	if (job->state == DFF_CORE_STARTING || (job->state == DFF_CORE_RUNNING && !job->checkpoint))
		dff_core_attempt_stop (core, job, DFF_CORE_STOP_PREEMPTED);
	if (job->state != DFF_CORE_RUNNING)
		return;
	dff_core_set_state (core, job, DFF_CORE_CHECKPOINTING,
			    core->now_ms + core->options.checkpoint_grace_ms);
	for (int32_t i = 0; i < job->gang; i++) {
		if (member_is_open (&job->members[i]))
			emit_member (core, DFF_COMMAND_CHECKPOINT_TASK, job, i);
	}
}

static bool
head_is_due (const struct dff_core *core, const GQueue *queue)
{
	const struct dff_core_job *job = queue->head != NULL ? queue->head->data : NULL;
	return job != NULL && job->deadline_ms <= core->now_ms;
}

void
dff_core_run_deadlines (struct dff_core *core)
{
	while (head_is_due (core, &core->starting))
		dff_core_attempt_stop (core, core->starting.head->data,
				       DFF_CORE_STOP_START_TIMEOUT);
	while (head_is_due (core, &core->checkpointing))
		dff_core_attempt_stop (core, core->checkpointing.head->data,
				       DFF_CORE_STOP_PREEMPTED);
	while (head_is_due (core, &core->stopping)) {
		struct dff_core_job *job = core->stopping.head->data;
		dff_core_attempt_stop (core, job, job->stop_cause);
	}
}

void
dff_core_delay (struct dff_core *core, struct dff_core_job *job, int64_t wait_ms)
{
	dff_core_set_state (core, job, DFF_CORE_DELAYED, core->now_ms + wait_ms);
}

void
dff_core_run_delayed (struct dff_core *core)
{
	GList *next = NULL;
	for (GList *link = core->delayed.head; link != NULL; link = next) {
		next = link->next;
		struct dff_core_job *job = link->data;
		if (job->deadline_ms > core->now_ms)
			continue;
		dff_core_job_requeue (core, job);
	}
}
