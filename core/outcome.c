#include "core/core_private.h"

/* Outcomes of attempts: the job ends or is retried. */

void
dff_core_job_end (struct dff_core *core,
		  struct dff_core_job *job,
		  enum dff_outcome outcome,
		  const char *reason)
{
	dff_core_set_state (core, job, DFF_CORE_ENDING, INT64_MAX);
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
		sum.failed += member->state == DFF_CORE_MEMBER_FAILED;
		sum.lost += member->state == DFF_CORE_MEMBER_LOST;
		sum.start_failed += member->state == DFF_CORE_MEMBER_START_FAILED;
		sum.any_ran |= member->ran;
		sum.lost_ran |= member->state == DFF_CORE_MEMBER_LOST && member->ran;
	}
	return sum;
}

static void
retry (struct dff_core *core, struct dff_core_job *job, int64_t wait_ms)
{
	core->stats.retries++;
	dff_core_emit (core, DFF_COMMAND_RECORD_RETRY, job);
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
		retry (core, job, 0);
		return;
	}
	job->start_failures++;
	core->stats.start_failures++;
	if (!core->options.retry_without_limit &&
	    job->start_failures >= DFF_CORE_START_FAILURES_MAX) {
		dff_core_job_give_up (core, job, "start_failed");
		return;
	}
	retry (core, job, DFF_CORE_RETRY_MIN_MS);
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

static void
finish_idempotent (struct dff_core *core,
		   struct dff_core_job *job,
		   const struct attempt_summary *sum)
{
	/* Runs that ended as stopped without an order of this core were stopped by a former holder,
	 * and perhaps restarted for being late. */
	if (sum->failed + sum->lost + sum->start_failed == 0 &&
	    job->stop_cause != DFF_CORE_STOP_PREEMPTED)
		job->restarted = true;
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
	int64_t wait_ms =
		sum->failed > 0 ? (int64_t)DFF_CORE_RETRY_MIN_MS << MIN (job->failures, 6) : 0;
	retry (core, job, wait_ms);
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
