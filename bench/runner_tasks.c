#include "bench/runner.h"
#include "bench/runner_private.h"

/* Execution of commands: tasks start, run, write checkpoints and stop. */

void
dff_runner_job_break (struct dff_job_run *job, int64_t now_ms)
{
	if (job->broken_ms < 0)
		job->broken_ms = now_ms;
}

static int64_t
job_progress_ms (const struct dff_job_run *job, int64_t now_ms)
{
	if (job->running_since_ms < 0)
		return job->resumed_from_ms;
	int64_t end_ms = job->broken_ms >= 0 ? job->broken_ms : now_ms;
	return job->resumed_from_ms + end_ms - job->running_since_ms;
}

static void
member_release_lease (struct dff_runner *runner, struct dff_member_run *member)
{
	if (!member->leased)
		return;
	struct dff_runner_worker *worker = dff_runner_worker_at (runner, member->worker);
	member->leased = false;
	worker->leased &= ~member->accelerators;
	dff_runner_count_worker (runner, worker);
}

static void
member_lease (struct dff_runner *runner,
	      struct dff_member_run *member,
	      const struct dff_placement *placement)
{
	member->worker = dff_runner_find_worker (runner, &placement->worker);
	g_assert (member->worker >= 0);
	struct dff_runner_worker *worker = dff_runner_worker_at (runner, member->worker);
	runner->rule_violations += (worker->leased & placement->accelerators) != 0;
	worker->leased |= placement->accelerators;
	member->accelerators = placement->accelerators;
	member->leased = true;
	dff_runner_count_worker (runner, worker);
}

static void
attempt_close (struct dff_runner *runner, uint32_t index)
{
	struct dff_job_run *job = dff_runner_job_at (runner, index);
	for (int32_t i = 0; job->members != NULL && i < job->spec.gang; i++)
		member_release_lease (runner, &job->members[i]);
	g_clear_pointer (&job->members, g_free);
	job->running_since_ms = -1;
	job->resumed_from_ms = job->saved_ms;
	g_hash_table_remove (runner->active, GUINT_TO_POINTER (index));
}

static void
attempt_open (struct dff_runner *runner, uint32_t index, const struct dff_command *command)
{
	struct dff_job_run *job = dff_runner_job_at (runner, index);
	attempt_close (runner, index);
	job->attempt = command->attempt;
	job->members = g_new0 (struct dff_member_run, (gsize)job->spec.gang);
	job->n_running = 0;
	job->n_checkpointed = 0;
	job->broken_ms = -1;
	for (int32_t i = 0; i < job->spec.gang; i++)
		member_lease (runner, &job->members[i],
			      &g_array_index (command->placements, struct dff_placement, i));
	g_hash_table_add (runner->active, GUINT_TO_POINTER (index));
}

/* Counts the work of the attempt since its last checkpoint as lost; not for cancelled jobs. */
static void
count_lost_work (struct dff_runner *runner, const struct dff_job_run *job, int64_t now_ms)
{
	int64_t lost_ms = job_progress_ms (job, now_ms) - job->saved_ms;
	runner->lost_work_ms += MAX (lost_ms, 0) * dff_job_run_accelerators (job);
}

static void
member_run (struct dff_runner *runner, uint32_t index, int32_t member_index, int64_t now_ms)
{
	struct dff_job_run *job = dff_runner_job_at (runner, index);
	struct dff_member_run *member = &job->members[member_index];
	if (member->state == DFF_MEMBER_RUN_RUNNING)
		return;
	member->state = DFF_MEMBER_RUN_RUNNING;
	job->n_running++;
	if (dff_runner_worker_at (runner, member->worker)->fails_everything)
		dff_runner_answer (runner, DFF_ANSWER_FAILED, index, member_index,
				   now_ms + DFF_FAILURE_MS);
	if (job->n_running < job->spec.gang)
		return;
	job->running_since_ms = now_ms;
	if (job->first_start_ms < 0) {
		job->first_start_ms = now_ms;
		dff_claims_started (runner->claims, index, now_ms);
	}
	int64_t remaining_ms = MAX (job->actual_ms - job->resumed_from_ms, 0);
	dff_runner_answer (runner, DFF_ANSWER_FINISHED, index, 0, now_ms + remaining_ms);
}

static void
command_start (struct dff_runner *runner, uint32_t index, int32_t member_index, int64_t now_ms)
{
	struct dff_member_run *member = &dff_runner_job_at (runner, index)->members[member_index];
	/* A dead worker cannot prove that the start did not arrive. */
	if (!dff_runner_worker_at (runner, member->worker)->alive) {
		member->state = DFF_MEMBER_RUN_DEAD;
		dff_runner_job_break (dff_runner_job_at (runner, index), now_ms);
		dff_runner_answer (runner, DFF_ANSWER_LOST, index, member_index,
				   now_ms + DFF_TASK_LEASE_MS);
		return;
	}
	member->state = DFF_MEMBER_RUN_STARTING;
	dff_runner_answer (runner, DFF_ANSWER_STARTED, index, member_index, now_ms + DFF_START_MS);
}

static void
command_end (struct dff_runner *runner,
	     uint32_t index,
	     const struct dff_command *command,
	     int64_t now_ms)
{
	struct dff_job_run *job = dff_runner_job_at (runner, index);
	if (command->outcome != DFF_OUTCOME_COMPLETED && command->outcome != DFF_OUTCOME_CANCELLED)
		count_lost_work (runner, job, now_ms);
	attempt_close (runner, index);
	job->outcome = command->outcome;
	dff_runner_answer (runner, DFF_ANSWER_OUTCOME_RECORDED, index, 0, now_ms + DFF_RECORD_MS);
}

static void
command_member (struct dff_runner *runner,
		uint32_t index,
		const struct dff_command *command,
		int64_t now_ms)
{
	const struct dff_job_run *job = dff_runner_job_at (runner, index);
	if (job->members == NULL || job->attempt != command->attempt)
		return;
	const struct dff_member_run *member = &job->members[command->member];
	switch (command->type) {
	case DFF_COMMAND_START_TASK:
		command_start (runner, index, command->member, now_ms);
		return;
	case DFF_COMMAND_RELEASE_TASK:
		if (member->state == DFF_MEMBER_RUN_HELD)
			member_run (runner, index, command->member, now_ms);
		return;
	case DFF_COMMAND_CHECKPOINT_TASK:
		if (job->spec.checkpoint && member->state == DFF_MEMBER_RUN_RUNNING)
			dff_runner_answer (runner, DFF_ANSWER_CHECKPOINTED, index, command->member,
					   now_ms + DFF_CHECKPOINT_MS);
		return;
	default:
		if (dff_runner_worker_at (runner, member->worker)->alive)
			dff_runner_answer (runner, DFF_ANSWER_STOPPED, index, command->member,
					   now_ms + DFF_STOP_MS);
		return;
	}
}

void
dff_runner_command (struct dff_runner *runner, const struct dff_command *command, int64_t now_ms)
{
	dff_fragmentation_advance (&runner->fragmentation, now_ms);
	gpointer found = NULL;
	bool known = g_hash_table_lookup_extended (runner->job_index, &command->job, NULL, &found);
	g_assert (known);
	uint32_t index = GPOINTER_TO_UINT (found);
	switch (command->type) {
	case DFF_COMMAND_RECORD_START:
		runner->decisions++;
		attempt_open (runner, index, command);
		dff_runner_answer (runner, DFF_ANSWER_RECORDED, index, 0, now_ms + DFF_RECORD_MS);
		return;
	case DFF_COMMAND_RECORD_RETRY:
		count_lost_work (runner, dff_runner_job_at (runner, index), now_ms);
		attempt_close (runner, index);
		return;
	case DFF_COMMAND_RECORD_OUTCOME:
		command_end (runner, index, command, now_ms);
		return;
	default:
		command_member (runner, index, command, now_ms);
		return;
	}
}

static void
send_event (struct dff_runner *runner,
	    const struct dff_answer *answer,
	    enum dff_event_type type,
	    int32_t member,
	    bool ran)
{
	struct dff_event event = {
		.type = type,
		.job = dff_runner_job_at (runner, answer->job)->spec.id,
		.attempt = answer->attempt,
		.member = member,
		.ran = ran,
	};
	runner->policy->handle_event (runner->policy->ctx, &event, answer->time_ms);
}

/* A member ends other than by completing. */
static void
member_end (struct dff_runner *runner, const struct dff_answer *answer, enum dff_event_type type)
{
	struct dff_job_run *job = dff_runner_job_at (runner, answer->job);
	struct dff_member_run *member = &job->members[answer->member];
	bool ran = member->state == DFF_MEMBER_RUN_RUNNING;
	if (member->state == DFF_MEMBER_RUN_ENDED)
		return;
	if ((type == DFF_EVENT_TASK_LOST) != (member->state == DFF_MEMBER_RUN_DEAD))
		return;
	member->state = DFF_MEMBER_RUN_ENDED;
	dff_runner_job_break (job, answer->time_ms);
	member_release_lease (runner, member);
	send_event (runner, answer, type, answer->member, ran);
}

static void
answer_started (struct dff_runner *runner, const struct dff_answer *answer)
{
	struct dff_job_run *job = dff_runner_job_at (runner, answer->job);
	struct dff_member_run *member = &job->members[answer->member];
	if (member->state != DFF_MEMBER_RUN_STARTING)
		return;
	member->state = DFF_MEMBER_RUN_HELD;
	if (job->spec.gang == 1)
		member_run (runner, answer->job, answer->member, answer->time_ms);
	send_event (runner, answer, DFF_EVENT_TASK_STARTED, answer->member, false);
}

static void
answer_checkpointed (struct dff_runner *runner, const struct dff_answer *answer)
{
	struct dff_job_run *job = dff_runner_job_at (runner, answer->job);
	struct dff_member_run *member = &job->members[answer->member];
	if (member->state != DFF_MEMBER_RUN_RUNNING || member->checkpointed)
		return;
	member->checkpointed = true;
	job->n_checkpointed++;
	/* A gang resumes only from a checkpoint that all its members have written. */
	if (job->n_checkpointed == job->spec.gang && job->broken_ms < 0)
		job->saved_ms = job_progress_ms (job, answer->time_ms);
	send_event (runner, answer, DFF_EVENT_TASK_CHECKPOINTED, answer->member, true);
}

static void
answer_finished (struct dff_runner *runner, const struct dff_answer *answer)
{
	struct dff_job_run *job = dff_runner_job_at (runner, answer->job);
	if (job->broken_ms >= 0)
		return;
	for (int32_t i = 0; i < job->spec.gang; i++) {
		job->members[i].state = DFF_MEMBER_RUN_ENDED;
		member_release_lease (runner, &job->members[i]);
		send_event (runner, answer, DFF_EVENT_TASK_COMPLETED, i, true);
	}
}

static void
answer_outcome_recorded (struct dff_runner *runner, const struct dff_answer *answer)
{
	struct dff_job_run *job = dff_runner_job_at (runner, answer->job);
	if (job->ended_ms >= 0)
		return;
	job->ended_ms = answer->time_ms;
	runner->n_open--;
	dff_claims_ended (runner->claims, answer->job, answer->time_ms);
	send_event (runner, answer, DFF_EVENT_OUTCOME_RECORDED, 0, false);
}

static void
answer_member (struct dff_runner *runner, const struct dff_answer *answer)
{
	switch (answer->type) {
	case DFF_ANSWER_STARTED:
		answer_started (runner, answer);
		return;
	case DFF_ANSWER_CHECKPOINTED:
		answer_checkpointed (runner, answer);
		return;
	case DFF_ANSWER_FINISHED:
		answer_finished (runner, answer);
		return;
	case DFF_ANSWER_FAILED:
		member_end (runner, answer, DFF_EVENT_TASK_FAILED);
		return;
	case DFF_ANSWER_LOST:
		member_end (runner, answer, DFF_EVENT_TASK_LOST);
		return;
	default:
		member_end (runner, answer, DFF_EVENT_TASK_STOPPED);
		return;
	}
}

void
dff_runner_answer_next (struct dff_runner *runner)
{
	struct dff_answer answer = dff_answer_queue_pop (&runner->answers);
	const struct dff_job_run *job = dff_runner_job_at (runner, answer.job);
	dff_fragmentation_advance (&runner->fragmentation, answer.time_ms);
	if (answer.type == DFF_ANSWER_OUTCOME_RECORDED) {
		answer_outcome_recorded (runner, &answer);
		return;
	}
	/* The attempt of the answer may have ended. */
	if (job->members == NULL || job->attempt != answer.attempt)
		return;
	if (answer.type == DFF_ANSWER_RECORDED)
		send_event (runner, &answer, DFF_EVENT_ATTEMPT_RECORDED, 0, false);
	else
		answer_member (runner, &answer);
}
