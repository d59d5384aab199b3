#include "core_fixture.h"

#include <string.h>

/* A gang that needs a whole rack, and a stream of small jobs that may not be preempted. One rack of
 * two workers with four accelerators each. */

#define N_ACCELERATORS 8
#define STEP_MS INT64_C (1800000)
/** Run time of a small job, in steps. One small job ends at each step. */
#define SMALL_STEPS N_ACCELERATORS
/** Three days. */
#define LIMIT_STEPS 144

struct run {
	struct dff_core *core;
	int64_t now_ms;
	int n_small;
	/** Small job that ends at each step, modulo SMALL_STEPS; "": none. */
	char ends[SMALL_STEPS][16];
	int step;
	bool gang_runs;
};

static void
submit_small (struct run *run)
{
	g_autofree char *id = g_strdup_printf ("s%d", run->n_small++);
	struct dff_job_spec spec = fixture_spec (id, 1, 1);
	spec.team = dff_name_from ("b");
	spec.idempotent = false;
	spec.checkpoint = false;
	spec.declared_ms = SMALL_STEPS * STEP_MS;
	struct dff_event event = {.type = DFF_EVENT_JOB_SUBMITTED, .spec = &spec};
	dff_core_handle_event (run->core, &event, run->now_ms);
}

static void
send_event (struct run *run, enum dff_event_type type, const struct dff_name *job, int member)
{
	struct dff_event event = {.type = type, .job = *job, .attempt = 1, .member = member};
	dff_core_handle_event (run->core, &event, run->now_ms);
}

/* Spreads the ends of the first jobs over the steps, so that the rack never becomes free as a whole
 * by itself. */
static void
plan_end (struct run *run, const struct dff_name *job)
{
	for (int i = 1; i <= SMALL_STEPS; i++) {
		char *place = run->ends[(run->step + i) % SMALL_STEPS];
		bool last = i == SMALL_STEPS;
		if (place[0] != '\0' && !last)
			continue;
		g_strlcpy (place, job->data, sizeof (run->ends[0]));
		return;
	}
}

static void
answer (struct run *run, const struct dff_command *command)
{
	bool gang = strcmp (command->job.data, "gang") == 0;
	switch (command->type) {
	case DFF_COMMAND_RECORD_START:
		send_event (run, DFF_EVENT_ATTEMPT_RECORDED, &command->job, 0);
		break;
	case DFF_COMMAND_START_TASK:
		send_event (run, DFF_EVENT_TASK_STARTED, &command->job, command->member);
		run->gang_runs = run->gang_runs || gang;
		if (!gang)
			plan_end (run, &command->job);
		break;
	case DFF_COMMAND_RECORD_OUTCOME:
		send_event (run, DFF_EVENT_OUTCOME_RECORDED, &command->job, 0);
		break;
	default:
		break;
	}
}

static void
tick_until_idle (struct run *run)
{
	g_autoptr (GArray) commands = g_array_new (FALSE, TRUE, sizeof (struct dff_command));
	do {
		dff_core_tick (run->core, run->now_ms, commands);
		for (guint i = 0; i < commands->len; i++)
			answer (run, &g_array_index (commands, struct dff_command, i));
	} while (commands->len > 0);
}

/* Half an hour: a small job ends and another one arrives. */
static void
step (struct run *run)
{
	run->step++;
	run->now_ms += STEP_MS;
	char *ended = run->ends[run->step % SMALL_STEPS];
	if (ended[0] != '\0') {
		const struct dff_name job = dff_name_from (ended);
		ended[0] = '\0';
		send_event (run, DFF_EVENT_TASK_COMPLETED, &job, 0);
	}
	submit_small (run);
	tick_until_idle (run);
}

/* Guards against a gang of a whole rack waiting for ever: each small job takes what the one before
 * left, so without a reservation the rack is never free as a whole. */
static void
test_gang_gets_a_rack (void **state)
{
	(void)state;
	struct dff_core_options options;
	dff_core_options_init (&options);
	struct run run = {.core = dff_core_new (&options)};
	struct dff_pool pool;
	fixture_pool_init (&pool, 1, 2, N_ACCELERATORS / 2);
	fixture_pool_add_team (&pool, "a", 0, 0);
	fixture_pool_add_team (&pool, "b", 0, 0);
	dff_core_set_pool (run.core, &pool, 0);
	fixture_worker_state (run.core, "w0", DFF_WORKER_UP);
	fixture_worker_state (run.core, "w1", DFF_WORKER_UP);
	for (int i = 0; i < 2 * N_ACCELERATORS; i++)
		submit_small (&run);
	tick_until_idle (&run);
	struct dff_job_spec gang = fixture_spec ("gang", 2, N_ACCELERATORS / 2);
	gang.adjacency = DFF_ADJACENCY_RACK;
	struct dff_event event = {.type = DFF_EVENT_JOB_SUBMITTED, .spec = &gang};
	dff_core_handle_event (run.core, &event, run.now_ms);
	while (run.step < LIMIT_STEPS && !run.gang_runs)
		step (&run);
	assert_true (run.gang_runs);
	print_message ("gang started after %d half hours\n", run.step);
	dff_core_free (run.core);
	fixture_pool_clear (&pool);
}

int
main (void)
{
	const struct CMUnitTest tests[] = {cmocka_unit_test (test_gang_gets_a_rack)};
	return cmocka_run_group_tests_name ("core-starving-gang", tests, NULL, NULL);
}
