#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "bench/load_pool.h"
#include "bench/percentile.h"
#include "bench/policy.h"
#include "bench/replay.h"

/*
 * Measures the decision core at a given size, in the state of a session after some hours: a tick
 * with nothing due, and the placement of a gang of 128 on neighbouring racks.
 */

#define DFF_IDLE_TICKS 2000
#define DFF_PLACEMENTS 200
#define DFF_GANG 128
/* Time in which a cancelled gang is stopped before the next is submitted. */
#define DFF_SETTLE_MS 2000
#define DFF_EXIT_USAGE 2

static double
cpu_us (void)
{
	struct timespec time;
	clock_gettime (CLOCK_THREAD_CPUTIME_ID, &time);
	return (double)time.tv_sec * 1e6 + (double)time.tv_nsec / 1e3;
}

/* Measures ticks between those of the replay, with nothing due. */
static GArray *
time_idle_ticks (struct dff_policy *policy, int64_t now_ms)
{
	GArray *times = g_array_new (FALSE, FALSE, sizeof (double));
	g_autoptr (GArray) commands = g_array_new (FALSE, TRUE, sizeof (struct dff_command));
	for (int i = 0; i < DFF_IDLE_TICKS; i++) {
		double start = cpu_us ();
		policy->tick (policy->ctx, now_ms, commands);
		double took = cpu_us () - start;
		g_assert (commands->len == 0);
		g_array_append_val (times, took);
	}
	return times;
}

static struct dff_session_event
gang_event (const struct dff_pool *pool, int index, int64_t now_ms)
{
	struct dff_session_event event = {.type = DFF_SESSION_SUBMIT, .time_ms = now_ms};
	event.subject = dff_name_printf ("gang-%d", index);
	event.spec.id = event.subject;
	event.spec.team = g_array_index (pool->teams, struct dff_team, 0).name;
	event.spec.gang = DFF_GANG;
	event.spec.per_task =
		(struct dff_resources){.slots = 1, .cores = 1, .memory_gb = 1, .accelerators = 1};
	event.spec.adjacency = DFF_ADJACENCY_NEIGHBOURS;
	event.spec.idempotent = true;
	event.spec.checkpoint = true;
	event.spec.max_attempts = 1;
	event.spec.declared_ms = 3600000;
	event.actual_ms = 3600000;
	return event;
}

/* Whether the last tick started an attempt of the job. */
static bool
was_placed (const struct dff_replay *replay, const struct dff_name *job)
{
	for (guint i = 0; i < replay->commands->len; i++) {
		const struct dff_command *command =
			&g_array_index (replay->commands, struct dff_command, i);
		if (command->type == DFF_COMMAND_RECORD_START &&
		    dff_name_equal (&command->job, job))
			return true;
	}
	return false;
}

/* Submits a gang, measures the tick that places it, and cancels the gang. */
static bool
time_placement (struct dff_replay *replay, int index, double *took_us)
{
	const struct dff_pool *pool = replay->options->pool;
	int64_t now_ms = replay->last_tick_ms + DFF_TICK_MS;
	struct dff_session_event event = gang_event (pool, index, now_ms);
	dff_runner_session_event (&replay->runner, &event);
	dff_replay_tick (replay, now_ms);
	*took_us = g_array_index (replay->tick_us, double, replay->tick_us->len - 1);
	bool placed = was_placed (replay, &event.subject);
	event.type = DFF_SESSION_CANCEL;
	dff_runner_session_event (&replay->runner, &event);
	for (int64_t i = 0; i < DFF_SETTLE_MS / DFF_TICK_MS; i++)
		dff_replay_tick (replay, replay->last_tick_ms + DFF_TICK_MS);
	return placed;
}

static int64_t
running_tasks (const struct dff_replay *replay)
{
	int64_t tasks = 0;
	for (guint i = 0; i < replay->runner.jobs->len; i++) {
		const struct dff_job_run *job =
			&g_array_index (replay->runner.jobs, struct dff_job_run, i);
		if (job->members != NULL)
			tasks += job->spec.gang;
	}
	return tasks;
}

static void
run (struct dff_replay *replay)
{
	const struct dff_policy *policy = replay->options->policy;
	g_autoptr (GArray) idle = time_idle_ticks (replay->options->policy, replay->last_tick_ms);
	g_autoptr (GArray) placed = g_array_new (FALSE, FALSE, sizeof (double));
	g_autoptr (GArray) waited = g_array_new (FALSE, FALSE, sizeof (double));
	int64_t tasks = running_tasks (replay);
	struct dff_core_stats stats;
	dff_core_get_stats (policy->ctx, &stats);
	for (int i = 0; i < DFF_PLACEMENTS; i++) {
		double took_us;
		bool started = time_placement (replay, i, &took_us);
		g_array_append_val (started ? placed : waited, took_us);
	}
	printf ("{\"workers\": %" PRId64 ", \"accelerators\": %" PRId64 ", \"free\": %" PRId64
		", \"running_jobs\": %" PRId64 ", \"running_tasks\": %" PRId64
		", \"queued_jobs\": %" PRId64
		", \"idle_tick_p50_us\": %.1f, \"idle_tick_p99_us\": %.1f, \"placed\": %u, "
		"\"placed_p50_us\": %.1f, \"placed_p99_us\": %.1f, \"waited\": %u, "
		"\"waited_p99_us\": %.1f}\n",
		stats.workers_up, stats.accelerators_total, stats.accelerators_free, stats.running,
		tasks, stats.queued, dff_percentile (idle, 0.5), dff_percentile (idle, 0.99),
		placed->len, dff_percentile (placed, 0.5), dff_percentile (placed, 0.99),
		waited->len, dff_percentile (waited, 0.99));
}

static int
replay_and_time (const struct dff_pool *pool, const struct dff_session *session, int64_t until_ms)
{
	struct dff_policy policy;
	dff_policy_init (&policy, "dragonflyfold", pool, 1);
	struct dff_replay_options options = {.pool = pool, .session = session, .policy = &policy};
	struct dff_replay replay;
	dff_replay_init (&replay, &options);
	dff_replay_advance (&replay, until_ms, NULL);
	run (&replay);
	dff_replay_clear (&replay);
	policy.free (policy.ctx);
	return EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
	double hours = argc == 4 ? g_ascii_strtod (argv[3], NULL) : 0.0;
	if (!(hours > 0.0 && hours < 10000.0)) {
		fprintf (stderr, "Usage: tick POOL.json SESSION.jsonl HOURS\n"
				 "Times ticks of the decision core after HOURS of the session.\n");
		return DFF_EXIT_USAGE;
	}
	g_autoptr (GError) error = NULL;
	DFF_AUTO (dff_pool) pool = dff_load_pool (argv[1]);
	DFF_AUTO (dff_session) session = dff_session_load (argv[2], &error);
	if (session == NULL)
		fprintf (stderr, "%s\n", error->message);
	if (pool == NULL || session == NULL)
		return EXIT_FAILURE;
	return replay_and_time (pool, session, (int64_t)(hours * 3600000.0));
}
