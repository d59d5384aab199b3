#include "bench/replay.h"

#include <inttypes.h>
#include <time.h>

#include "bench/measure.h"

/* Jobs that have not ended this long after the session's last line count as unfinished. */
#define DFF_REPLAY_TAIL_MS (INT64_C (30) * 24 * 3600 * 1000)
/* A policy may re-evaluate a job without any worker for ever: the replay ends when nothing has
 * happened for this long. */
#define DFF_REPLAY_QUIET_MS (INT64_C (24) * 3600 * 1000)

static double
now_seconds (void)
{
	struct timespec time;
	clock_gettime (CLOCK_THREAD_CPUTIME_ID, &time);
	return (double)time.tv_sec + (double)time.tv_nsec / 1e9;
}

static const struct dff_session_event *
next_line (const struct dff_replay *replay)
{
	const GArray *events = replay->options->session->events;
	if (replay->next_event >= events->len)
		return NULL;
	return &g_array_index (events, struct dff_session_event, replay->next_event);
}

/* Delivers answers and session lines up to @until_ms; at the same time, answers first. */
static void
deliver (struct dff_replay *replay, int64_t until_ms)
{
	for (;;) {
		const struct dff_session_event *line = next_line (replay);
		int64_t line_ms = line != NULL ? line->time_ms : INT64_MAX;
		int64_t answer_ms = dff_answer_queue_next_ms (&replay->runner.answers);
		if (MIN (line_ms, answer_ms) > until_ms)
			return;
		replay->last_active_ms = until_ms;
		if (answer_ms <= line_ms) {
			dff_runner_answer_next (&replay->runner);
			continue;
		}
		dff_runner_session_event (&replay->runner, line);
		replay->next_event++;
	}
}

static int64_t
next_tick_ms (const struct dff_replay *replay)
{
	const struct dff_policy *policy = replay->options->policy;
	const struct dff_session_event *line = next_line (replay);
	int64_t due_ms = dff_answer_queue_next_ms (&replay->runner.answers);
	if (line != NULL)
		due_ms = MIN (due_ms, line->time_ms);
	if (replay->runner.n_open > 0)
		due_ms = MIN (due_ms, policy->next_wake_ms (policy->ctx));
	if (due_ms == INT64_MAX)
		return INT64_MAX;
	int64_t tick_ms = (due_ms + DFF_TICK_MS - 1) / DFF_TICK_MS * DFF_TICK_MS;
	return MAX (tick_ms, replay->last_tick_ms + DFF_TICK_MS);
}

void
dff_replay_tick (struct dff_replay *replay, int64_t now_ms)
{
	struct dff_policy *policy = replay->options->policy;
	double before = now_seconds ();
	deliver (replay, now_ms);
	double start = now_seconds ();
	policy->tick (policy->ctx, now_ms, replay->commands);
	double end = now_seconds ();
	double tick_us = (end - start) * 1e6;
	g_array_append_val (replay->tick_us, tick_us);
	replay->policy_seconds += end - before;
	replay->last_tick_ms = now_ms;
	if (replay->commands->len > 0)
		replay->last_active_ms = now_ms;
	for (guint i = 0; i < replay->commands->len; i++) {
		dff_runner_command (&replay->runner,
				    &g_array_index (replay->commands, struct dff_command, i),
				    now_ms);
	}
}

static bool
check (const struct dff_replay *replay, GError **error)
{
	const struct dff_policy *policy = replay->options->policy;
	if (!replay->options->check || policy->check == NULL)
		return true;
	g_autofree char *broken = policy->check (policy->ctx);
	if (broken == NULL)
		return true;
	g_set_error (error, G_FILE_ERROR, G_FILE_ERROR_FAILED,
		     "after the tick at %" PRId64 " ms: %s", replay->last_tick_ms, broken);
	return false;
}

/* Whether nothing but wakes of the policy is pending or has happened for DFF_REPLAY_QUIET_MS. */
static bool
is_quiet (const struct dff_replay *replay, int64_t tick_ms)
{
	return next_line (replay) == NULL &&
	       dff_answer_queue_next_ms (&replay->runner.answers) == INT64_MAX &&
	       tick_ms > replay->last_active_ms + DFF_REPLAY_QUIET_MS;
}

bool
dff_replay_advance (struct dff_replay *replay, int64_t until_ms, GError **error)
{
	for (;;) {
		int64_t tick_ms = next_tick_ms (replay);
		if (tick_ms == INT64_MAX || tick_ms > until_ms)
			return true;
		if (next_line (replay) == NULL && replay->runner.n_open == 0)
			return true;
		if (is_quiet (replay, tick_ms))
			return true;
		dff_replay_tick (replay, tick_ms);
		if (!check (replay, error))
			return false;
	}
}

static json_t *
report (const struct dff_replay *replay)
{
	const struct dff_runner *runner = &replay->runner;
	struct dff_claims_verdict verdict =
		dff_claims_verdict (runner->claims, replay->last_tick_ms);
	struct dff_measure_input input = {
		.jobs = runner->jobs,
		.fragmentation = dff_fragmentation_mean (&runner->fragmentation),
		.lost_work_ms = runner->lost_work_ms,
		.guarantee_wait_max_ms = verdict.wait_max_ms,
		.guarantee_violations = verdict.violations,
		.rule_violations = runner->rule_violations,
		.tick_us = replay->tick_us,
		.decisions = runner->decisions,
		.policy_seconds = replay->policy_seconds,
	};
	for (guint i = 0; i < runner->workers->len; i++)
		input.accelerators +=
			g_array_index (runner->workers, struct dff_runner_worker, i).accelerators;
	return dff_measure_report (&input);
}

static void
print_jobs (const struct dff_replay *replay, FILE *file)
{
	if (file == NULL)
		return;
	fputs ("id,team,gang,accelerators,urgent,guaranteed,declared_ms,actual_ms,submitted_ms,"
	       "first_start_ms,ended_ms,attempts,outcome\n",
	       file);
	for (guint i = 0; i < replay->runner.jobs->len; i++) {
		const struct dff_job_run *job =
			&g_array_index (replay->runner.jobs, struct dff_job_run, i);
		fprintf (file,
			 "%s,%s,%d,%d,%d,%d,%" PRId64 ",%" PRId64 ",%" PRId64 ",%" PRId64
			 ",%" PRId64 ",%d,%d\n",
			 job->spec.id.data, job->spec.team.data, job->spec.gang,
			 job->spec.per_task.accelerators, job->spec.urgent, job->spec.guaranteed,
			 job->spec.declared_ms, job->actual_ms, job->submitted_ms,
			 job->first_start_ms, job->ended_ms, job->attempt, (int)job->outcome);
	}
}

static int64_t
last_submit_ms (const struct dff_session *session)
{
	int64_t last_ms = 0;
	for (guint i = 0; i < session->events->len; i++) {
		const struct dff_session_event *event =
			&g_array_index (session->events, struct dff_session_event, i);
		if (event->type == DFF_SESSION_SUBMIT)
			last_ms = event->time_ms;
	}
	return last_ms;
}

void
dff_replay_init (struct dff_replay *replay, const struct dff_replay_options *options)
{
	const GArray *events = options->session->events;
	*replay = (struct dff_replay){
		.options = options,
		.commands = g_array_new (FALSE, TRUE, sizeof (struct dff_command)),
		.tick_us = g_array_new (FALSE, FALSE, sizeof (double)),
		.last_tick_ms = -DFF_TICK_MS,
	};
	if (events->len > 0)
		replay->last_line_ms =
			g_array_index (events, struct dff_session_event, events->len - 1).time_ms;
	dff_runner_init (&replay->runner, options->policy, options->pool,
			 last_submit_ms (options->session));
	dff_runner_start (&replay->runner, 0);
}

void
dff_replay_clear (struct dff_replay *replay)
{
	dff_runner_clear (&replay->runner);
	g_array_unref (replay->commands);
	g_array_unref (replay->tick_us);
}

json_t *
dff_replay_run (const struct dff_replay_options *options, GError **error)
{
	struct dff_replay replay;
	dff_replay_init (&replay, options);
	int64_t until_ms = replay.last_line_ms + DFF_REPLAY_TAIL_MS;
	bool sound = dff_replay_advance (&replay, until_ms, error);
	json_t *figures = sound ? report (&replay) : NULL;
	print_jobs (&replay, options->jobs_file);
	dff_replay_clear (&replay);
	return figures;
}
