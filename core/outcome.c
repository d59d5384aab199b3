#include "core/core_private.h"

/* Outcomes of attempts: the job ends or is retried. */

void
dff_core_job_end (struct dff_core *core,
		  struct dff_core_job *job,
		  enum dff_outcome outcome,
		  const char *reason)
{
	dff_core_set_state (core, job, DFF_CORE_ENDING, INT64_MAX);
	dff_core_kept_place_release (core, job);
	dff_core_uncover (core, job);
	struct dff_command *command = dff_core_emit (core, DFF_COMMAND_RECORD_OUTCOME, job);
	command->outcome = outcome;
	command->reason = reason;
}

void
dff_core_job_give_up (struct dff_core *core, struct dff_core_job *job, const char *reason)
{
	enum dff_outcome outcome = job->ever_ran ? DFF_OUTCOME_FAILED : DFF_OUTCOME_NOT_RUN;
	dff_core_job_end (core, job, outcome, reason);
}

/* Guards against a job that crashes a worker every few seconds, with all jobs that run there, and
 * is retried without end: a run lost with its worker is no failure and does not count against the
 * job's attempts. Jobs that only shared a worker with the crashing job must not be ended for it:
 * the reporter of the crash weighs the blame points. They are kept across a change of the holder.
 */
bool
dff_core_job_exceeds_blame_limit (const struct dff_core *core, const struct dff_core_job *job)
{
	return core->options.blame_limit > 0 && job->blame >= core->options.blame_limit;
}

void
dff_core_job_end_blamed (struct dff_core *core, struct dff_core_job *job)
{
	dff_core_job_end (core, job, DFF_OUTCOME_FAILED, "workers_crashed");
}

struct attempt_summary {
	int32_t completed, failed, lost, start_failed;
	/** Of @failed, those that did not follow the end of another member; of them, those whose
	 * failure is attributed to their worker. */
	int32_t failed_first, attributed;
	bool any_ran;
	bool lost_ran;
};

static struct attempt_summary
summarise (const struct dff_core_job *job)
{
	struct attempt_summary sum = {0};
	for (int32_t i = 0; i < job->gang; i++) {
		const struct dff_core_member *member = &job->members[i];
		sum.completed += member->state == DFF_CORE_MEMBER_COMPLETED;
		bool failed = member->state == DFF_CORE_MEMBER_FAILED;
		sum.failed += failed;
		sum.failed_first += failed && !member->follows;
		sum.attributed += failed && !member->follows && member->attributed;
		sum.lost += member->state == DFF_CORE_MEMBER_LOST;
		sum.start_failed += member->state == DFF_CORE_MEMBER_START_FAILED;
		sum.any_ran |= member->ran;
		sum.lost_ran |= member->state == DFF_CORE_MEMBER_LOST && member->ran;
	}
	return sum;
}

/* @input: (nullable): NULL when no task has run. */
static void
retry (struct dff_core *core,
       struct dff_core_job *job,
       int64_t wait_ms,
       const struct dff_retry_input *input)
{
	core->stats.retries++;
	struct dff_command *command = dff_core_emit (core, DFF_COMMAND_RECORD_RETRY, job);
	command->backoff_ms = wait_ms;
	dff_core_kept_place_retry (core, job, wait_ms);
	command->n_kept_tasks = dff_core_kept_place_n_tasks (core, job);
	if (input != NULL)
		command->retry = *input;
	dff_core_job_clear_attempt (job);
	if (wait_ms > 0) {
		dff_core_delay (core, job, wait_ms);
		return;
	}
	dff_core_job_requeue (core, job);
}

/* An attempt of which nothing ran may be followed by another, even if the job is not idempotent. */
static void
finish_not_run (struct dff_core *core, struct dff_core_job *job, const struct attempt_summary *sum)
{
	bool charged = sum->start_failed + sum->failed + sum->lost > 0 ||
		       job->stop_cause == DFF_CORE_STOP_START_TIMEOUT;
	bool sent = job->state != DFF_CORE_RECORDING;
	if (!charged || !sent) {
		retry (core, job, 0, NULL);
		return;
	}
	job->start_failures++;
	core->stats.start_failures++;
	if (!core->options.retry_without_limit &&
	    job->start_failures >= DFF_CORE_START_FAILURES_MAX) {
		dff_core_job_give_up (core, job, "start_failed");
		return;
	}
	retry (core, job, DFF_RETRY_MIN_MS, NULL);
}

/* A job that is not idempotent and may have run is never started again. */
static void
finish_non_idempotent (struct dff_core *core,
		       struct dff_core_job *job,
		       const struct attempt_summary *sum)
{
	if (sum->lost_ran)
		dff_core_job_end (core, job, DFF_OUTCOME_UNKNOWN, "worker_lost");
	else if (job->cancelled)
		dff_core_job_end (core, job, DFF_OUTCOME_CANCELLED, "cancelled");
	else if (job->stop_cause == DFF_CORE_STOP_START_TIMEOUT)
		dff_core_job_end (core, job, DFF_OUTCOME_FAILED, "start_timeout");
	else
		dff_core_job_end (core, job, DFF_OUTCOME_FAILED, "task_failed");
}

static enum dff_retry_cause
retry_cause (const struct attempt_summary *sum)
{
	if (sum->attributed > 0 && sum->attributed == sum->failed_first)
		return DFF_RETRY_WORKER;
	if (sum->failed > 0)
		return DFF_RETRY_JOB;
	return sum->lost > 0 ? DFF_RETRY_LOST : DFF_RETRY_NONE;
}

static void
retry_after_run (struct dff_core *core, struct dff_core_job *job, const struct attempt_summary *sum)
{
	struct dff_retry_input input = {
		.cause = retry_cause (sum),
		.failures = job->failures + job->failures_before,
		.n_workers = job->n_avoided,
		.objective = dff_core_job_assess (core, job),
	};
	int64_t wait_ms = dff_retry_backoff_ms (&input);
	if (!core->options.retry_by_cause)
		wait_ms = sum->failed > 0 ? dff_retry_doubling_ms (job->failures) : 0;
	retry (core, job, wait_ms, &input);
}

static void
finish_idempotent (struct dff_core *core,
		   struct dff_core_job *job,
		   const struct attempt_summary *sum)
{
	job->failures += sum->failed > 0;
	job->losses += sum->failed == 0 && sum->lost > 0;
	if (job->failures >= job->max_attempts) {
		dff_core_job_end (core, job, DFF_OUTCOME_FAILED, "attempts_exhausted");
		return;
	}
	if (!core->options.retry_without_limit &&
	    job->losses >= job->max_attempts + DFF_CORE_LOSSES_MAX) {
		dff_core_job_end (core, job, DFF_OUTCOME_FAILED, "workers_lost");
		return;
	}
	retry_after_run (core, job, sum);
}

static int64_t
attempt_ms (const struct dff_core *core, const struct dff_core_job *job)
{
	if (job->state != DFF_CORE_RUNNING && job->state != DFF_CORE_CHECKPOINTING)
		return job->run_ms;
	return job->run_ms + core->now_ms - job->started_ms;
}

void
dff_core_attempt_finish (struct dff_core *core, struct dff_core_job *job)
{
	struct attempt_summary sum = summarise (job);
	if (sum.completed == job->gang) {
		dff_core_estimate_update (job, attempt_ms (core, job));
		dff_core_job_end (core, job, DFF_OUTCOME_COMPLETED, "completed");
		return;
	}
	if (sum.any_ran && !job->idempotent) {
		finish_non_idempotent (core, job, &sum);
		return;
	}
	if (job->cancelled) {
		dff_core_job_end (core, job, DFF_OUTCOME_CANCELLED, "cancelled");
		return;
	}
	if (dff_core_job_exceeds_blame_limit (core, job))
		dff_core_job_end_blamed (core, job);
	else if (!sum.any_ran)
		finish_not_run (core, job, &sum);
	else
		finish_idempotent (core, job, &sum);
}
