#include "core_fixture.h"

/* Every team claims its whole guarantee at once, in pools filled with other work. Store and workers
 * answer within a step; half of the requested checkpoints are never answered. */

#define SEEDS 60
#define FILL_STEP_MS 500
#define FILL_MS INT64_C (600000)
#define STEP_MS 100
/** Grace period of a checkpoint, and the time of a few answers. */
#define RECLAIM_MS INT64_C (3500)
#define FILL_JOBS 120

struct run {
	GRand *rand;
	struct dff_core *core;
	struct dff_pool pool;
	int64_t now_ms;
	int n_racks;
	int n_workers;
	int n_accelerators;
	int n_jobs;
	/** Number of claims submitted, and of claims whose start is to be recorded. */
	int n_claims;
	int n_claimed;
	int64_t preempted;
	/** Answers delivered in the next step. Elements: struct dff_event. */
	GArray *answers;
};

static int
pick (struct run *run, int begin, int end)
{
	return g_rand_int_range (run->rand, begin, end);
}

/* Team a is guaranteed every second rack as a whole, team b half of each of the others. */
static void
begin (struct run *run, uint32_t seed)
{
	struct dff_core_options options;
	dff_core_options_init (&options);
	*run = (struct run){.rand = g_rand_new_with_seed (seed), .core = dff_core_new (&options)};
	run->answers = g_array_new (FALSE, TRUE, sizeof (struct dff_event));
	run->n_racks = 2 * pick (run, 1, 4);
	run->n_workers = 2 * pick (run, 1, 3);
	run->n_accelerators = pick (run, 0, 2) == 0 ? 4 : 8;
	int rack = run->n_workers * run->n_accelerators;
	fixture_pool_init (&run->pool, run->n_racks, run->n_workers, run->n_accelerators);
	fixture_pool_add_team (&run->pool, "a", run->n_racks / 2, rack);
	fixture_pool_add_team (&run->pool, "b", run->n_racks / 2, rack / 2);
	fixture_pool_add_team (&run->pool, "c", 0, 0);
	/* Some slots are dedicated to requests: a worker may have fewer slots than accelerators. */
	const struct dff_service service = {.request_slots = (int32_t)(seed % 5),
					    .dedicated_request_slots = true};
	g_array_append_val (run->pool.services, service);
	dff_core_set_pool (run->core, &run->pool, 0);
	for (int i = 0; i < run->n_racks * run->n_workers; i++) {
		g_autofree char *worker = g_strdup_printf ("w%d", i);
		fixture_worker_state (run->core, worker, DFF_WORKER_UP);
	}
}

static void
end (struct run *run)
{
	g_array_unref (run->answers);
	dff_core_free (run->core);
	fixture_pool_clear (&run->pool);
	g_rand_free (run->rand);
}

static void
submit (struct run *run, const struct dff_job_spec *spec)
{
	struct dff_event event = {.type = DFF_EVENT_JOB_SUBMITTED, .spec = spec};
	dff_core_handle_event (run->core, &event, run->now_ms);
}

/* Submits preemptible work of any team. Work that may not be preempted is of team c, which has no
 * guarantee. */
static void
submit_filler (struct run *run)
{
	static const char *const teams[] = {"a", "b", "c"};
	g_autofree char *id = g_strdup_printf ("j%d", run->n_jobs++);
	struct dff_job_spec spec =
		fixture_spec (id, pick (run, 1, 5), pick (run, 1, run->n_accelerators + 1));
	int team = pick (run, 0, 3);
	spec.team = dff_name_from (teams[team]);
	spec.adjacency = (enum dff_adjacency)pick (run, 0, 2);
	spec.checkpoint = pick (run, 0, 2) == 0;
	spec.idempotent = team < 2 || pick (run, 0, 2) == 0;
	spec.declared_ms = pick (run, 1, 120) * INT64_C (60000);
	submit (run, &spec);
}

static void
submit_claim (struct run *run, const char *team, int gang)
{
	g_autofree char *id = g_strdup_printf ("claim%d", run->n_claims++);
	struct dff_job_spec spec = fixture_spec (id, gang, run->n_accelerators);
	spec.team = dff_name_from (team);
	spec.adjacency = DFF_ADJACENCY_RACK;
	spec.guaranteed = true;
	submit (run, &spec);
}

static void
answer_later (struct run *run, enum dff_event_type type, const struct dff_command *command)
{
	struct dff_event event = {.type = type,
				  .job = command->job,
				  .attempt = command->attempt,
				  .member = command->member,
				  .ran = true};
	g_array_append_val (run->answers, event);
}

static void
answer (struct run *run, const struct dff_command *command)
{
	switch (command->type) {
	case DFF_COMMAND_RECORD_START:
		run->n_claimed += g_str_has_prefix (command->job.data, "claim");
		answer_later (run, DFF_EVENT_ATTEMPT_RECORDED, command);
		break;
	case DFF_COMMAND_START_TASK:
		answer_later (run, DFF_EVENT_TASK_STARTED, command);
		break;
	case DFF_COMMAND_CHECKPOINT_TASK:
		if (pick (run, 0, 2) == 0)
			answer_later (run, DFF_EVENT_TASK_CHECKPOINTED, command);
		break;
	case DFF_COMMAND_STOP_TASK:
		run->preempted++;
		answer_later (run, DFF_EVENT_TASK_STOPPED, command);
		break;
	case DFF_COMMAND_RECORD_OUTCOME:
		answer_later (run, DFF_EVENT_OUTCOME_RECORDED, command);
		break;
	default:
		break;
	}
}

static void
step (struct run *run, int64_t step_ms, GArray *commands)
{
	run->now_ms += step_ms;
	for (guint i = 0; i < run->answers->len; i++)
		dff_core_handle_event (
			run->core, &g_array_index (run->answers, struct dff_event, i), run->now_ms);
	g_array_set_size (run->answers, 0);
	dff_core_tick (run->core, run->now_ms, commands);
	for (guint i = 0; i < commands->len; i++)
		answer (run, &g_array_index (commands, struct dff_command, i));
	g_autofree char *broken = dff_core_check (run->core);
	if (broken != NULL)
		fail_msg ("%s", broken);
}

static void
fill (struct run *run, GArray *commands)
{
	for (int i = 0; i < FILL_JOBS; i++)
		submit_filler (run);
	for (int64_t end_ms = run->now_ms + FILL_MS; run->now_ms < end_ms;)
		step (run, FILL_STEP_MS, commands);
}

/* Guards against a team's guaranteed gang waiting for other work to end. Racks fill with borrowing
 * work of all kinds, some of it not preemptible. Then every team claims its whole guarantee at
 * once, and half of the checkpoints never complete. Work that may not be preempted must not stand
 * on a witness placement, and borrowing work has to be preempted. */
static void
test_every_guarantee_is_reclaimed_in_time (void **state)
{
	(void)state;
	int64_t preempted = 0;
	for (uint32_t seed = 0; seed < SEEDS; seed++) {
		struct run run;
		begin (&run, seed);
		g_autoptr (GArray) commands =
			g_array_new (FALSE, TRUE, sizeof (struct dff_command));
		fill (&run, commands);
		for (int i = 0; i < run.n_racks / 2; i++) {
			submit_claim (&run, "a", run.n_workers);
			submit_claim (&run, "b", run.n_workers / 2);
		}
		for (int64_t end_ms = run.now_ms + RECLAIM_MS; run.now_ms < end_ms;)
			step (&run, STEP_MS, commands);
		if (run.n_claimed != run.n_claims)
			fail_msg ("seed %u: %d of %d claims were met", seed, run.n_claimed,
				  run.n_claims);
		preempted += run.preempted;
		end (&run);
	}
	/* Otherwise no claim had to preempt anything and the test showed nothing. */
	assert_true (preempted > SEEDS);
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_every_guarantee_is_reclaimed_in_time),
	};
	return cmocka_run_group_tests_name ("core-reclaim", tests, NULL, NULL);
}
