#include "holder/holder_private.h"

#include "common/log.h"
#include "holder/policy.h"

/* Finds the tasks that crash their workers. All runs on a worker are lost with it, and usually at
 * most one of them is the cause. So the task of each lost run gets blame points. The core fails a
 * job at a limit that a task that always crashes its worker reaches soon, and other tasks hardly
 * ever:
 *
 * - Most points if the worker was lost soon after the run had started: a task that crashes workers
 *   does so as it starts. Fewer points for a run that was seen running for longer, for one that a
 *   former holder started, and for a start with unknown outcome.
 * - Few points for a lapsed lease, because the worker may only be cut off; they are taken back once
 *   the worker answers again. There are some because a crashed worker may be back only after its
 *   lease has lapsed, or never.
 * - None if the worker left when it had announced, or if the start was certainly not carried out.
 *
 * If a worker reports the end of a run after a second of running, the task does not crash workers
 * as it starts: its startup points are cleared. If the worker is lost after a minute of running,
 * the task is cleared of all points.
 *
 * The points are in the job's row, which is written before the task's next start, so that each
 * holder continues the count. Points for a lapsed lease are only taken back by the process that
 * added them. */

/** Time after its start at which a run must be seen running to have survived startup, ms. */
#define STARTUP_MS 300
/** Time of running that clears a task of startup points when the worker reports the run's end, and
 * of all points when the worker itself ends, ms. */
#define CLEAR_STARTUP_MS 1000
#define CLEAR_ALL_MS 60000
/** Time within which a call reaches a live worker and is answered, ms. */
#define ANSWER_MS 100

const char *
blame_loss_name (enum holder_loss loss)
{
	static const char *const names[] = {
		[DFF_LOSS_OTHER_INCARNATION] = "other_life",
		[DFF_LOSS_RESTARTED] = "restarted",
		[DFF_LOSS_LEASE_LAPSED] = "lease_lapsed",
	};
	return names[loss];
}

/* Guards against failing jobs whose starts were sent to an incarnation that had already ended, and
 * were in transit when the next one answered. The time of the start shows this, because a worker
 * that crashes at a start is away for longer. */
static bool
may_have_begun (const struct dff_holder *holder, const struct holder_run *run)
{
	if (run->ran || run->inherited)
		return true;
	/* The start was sent when the worker had not answered for a while. */
	int64_t unanswered_since_ms = run->worker->unanswered_since_ms;
	if (unanswered_since_ms > 0 && run->sent_ms >= unanswered_since_ms + ANSWER_MS)
		return false;
	bool awaited = run->order_in_flight && run->sent_ms > 0 &&
		       holder_now_ms (holder) - run->sent_ms >= ANSWER_MS;
	return run->n_unanswered > 0 || awaited;
}

/* Time from the first answer that showed the run active to the worker's last answer, ms, on the
 * worker's clock. */
static int64_t
observed_ms (const struct holder_run *run)
{
	return run->running_since_clock_ms > 0 ? run->worker->clock_ms - run->running_since_clock_ms
					       : 0;
}

/* Whether the worker stayed until the time at which it had announced to leave. */
static bool
has_left (const struct dff_holder *holder, const struct holder_worker *worker)
{
	int64_t gone_ms = worker->unanswered_since_ms > 0 ? worker->unanswered_since_ms
							  : holder_now_ms (holder);
	return worker->leaves_ms > 0 && gone_ms >= worker->leaves_ms - ANSWER_MS;
}

static int32_t
points_for (const struct dff_holder *holder, const struct holder_run *run, enum holder_loss loss)
{
	if (has_left (holder, run->worker) || !may_have_begun (holder, run))
		return 0;
	bool at_startup = run->ran && !run->inherited && observed_ms (run) < STARTUP_MS;
	return loss != DFF_LOSS_LEASE_LAPSED && at_startup ? DFF_POLICY_BLAME_STARTUP
							   : DFF_POLICY_BLAME_RUNNING;
}

/* Updates the core and the job's row with the current blame of a task. */
static void
apply_blame (struct dff_holder *holder, struct holder_job *job, const struct dff_unit *at)
{
	struct dff_event event = {.type = DFF_EVENT_JOB_BLAMED,
				  .job = dff_unit_name (job->plan, at),
				  .blame = dff_progress_max_blame (job->progress, job->plan, at)};
	dff_core_handle_event (holder->core, &event, holder_now_ms (holder));
	commit_mark_dirty (holder, job);
}

static void
note_lease_blame (struct holder_worker *worker, const struct dff_name *task)
{
	if (worker->blamed == NULL)
		worker->blamed = g_array_new (FALSE, FALSE, sizeof (struct dff_name));
	g_array_append_val (worker->blamed, *task);
}

void
blame_lost_run (struct dff_holder *holder, struct holder_run *run, enum holder_loss loss)
{
	const struct holder_unit *unit = run->unit;
	struct holder_job *job = unit->job;
	int32_t index = MAX (unit->unit.index, 0) + run->member;
	struct dff_task *task =
		dff_progress_task (job->progress, unit->unit.occurrence, unit->unit.step, index);
	int32_t points = 0;
	if (dff_progress_mark_lost (job->progress, &unit->unit, index)) {
		points = points_for (holder, run, loss);
		if (observed_ms (run) >= CLEAR_ALL_MS)
			task->blame = task->startup_blame = points = 0;
		task->blame += points;
		task->startup_blame += points == DFF_POLICY_BLAME_STARTUP ? points : 0;
		if (points > 0 && loss == DFF_LOSS_LEASE_LAPSED)
			note_lease_blame (run->worker, &run->task);
		apply_blame (holder, job, &unit->unit);
	}
	dff_log (
		DFF_LOG_CELL, DFF_LOG_WARNING,
		"Run lost. task=%s run=%d worker=%s reason=%s ran=%d unanswered=%d open_ms=%" PRId64
		" seen_ms=%" PRId64 " points=%d blame=%d",
		run->task.data, run->run, run->worker->upstream.incarnation.id.data,
		blame_loss_name (loss), run->ran, run->n_unanswered,
		holder_now_ms (holder) - run->open_ms, observed_ms (run), points, task->blame);
}

void
blame_clear_ended (struct dff_holder *holder, const struct holder_run *run)
{
	const struct dff_unit *at = &run->unit->unit;
	struct holder_job *job = run->unit->job;
	struct dff_task *task = dff_progress_task (job->progress, at->occurrence, at->step,
						   MAX (at->index, 0) + run->member);
	if (task->startup_blame == 0 || observed_ms (run) < CLEAR_STARTUP_MS)
		return;
	task->blame -= task->startup_blame;
	task->startup_blame = 0;
	dff_log (DFF_LOG_CELL, DFF_LOG_INFO, "Blame cleared. task=%s run=%d worker=%s blame=%d",
		 run->task.data, run->run, run->worker->upstream.incarnation.id.data, task->blame);
	apply_blame (holder, job, at);
}

static void
withdraw_from (struct dff_holder *holder, const struct dff_name *name)
{
	struct dff_task_ref ref;
	if (!dff_task_ref_parse ((struct dff_str){name->data, name->len}, &ref))
		return;
	struct holder_job *job = g_hash_table_lookup (holder->jobs, &ref.job);
	if (job == NULL || dff_job_state_is_final (job->progress->state))
		return;
	struct dff_task *task =
		dff_progress_task (job->progress, ref.occurrence, ref.step, ref.index);
	task->blame = MAX (task->blame - DFF_POLICY_BLAME_RUNNING, task->startup_blame);
	bool gang = dff_plan_step (job->plan, ref.step)->gang;
	struct dff_unit at = {
		.occurrence = ref.occurrence, .step = ref.step, .index = gang ? -1 : ref.index};
	dff_log (DFF_LOG_CELL, DFF_LOG_INFO, "Blame withdrawn. task=%s blame=%d", name->data,
		 task->blame);
	apply_blame (holder, job, &at);
}

void
blame_withdraw (struct dff_holder *holder, struct holder_worker *worker)
{
	if (worker->blamed == NULL)
		return;
	g_autoptr (GArray) blamed = g_steal_pointer (&worker->blamed);
	for (guint i = 0; i < blamed->len; i++)
		withdraw_from (holder, &g_array_index (blamed, struct dff_name, i));
}
