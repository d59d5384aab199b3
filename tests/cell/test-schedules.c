#include "tests/cell/cell_promises.h"

/*
 * Seeded schedules of faults: three cells, four workers, one table. Each seed submits and cancels
 * jobs while processes die, pause and are cut off, the table stalls and loses answers, and workers
 * go silent, restart, leave, refuse and fail. The harness checks the invariants after every step.
 * Then all faults are removed, and every accepted job must end.
 *
 * Each seed is run twice: the second time failed gangs are retried by cause and their places are
 * kept.
 *
 * DFF_TEST_SEEDS=FIRST:LAST runs other seeds.
 */

#define DEFAULT_SEEDS 1500
#define CHAOS_MS 10000
#define HEAL_LIMIT_MS 240000
#define MAX_JOBS 8
#define MAX_DELAY_MS 300
/** Shortest silence and pause, ms: may end while a call is outstanding. */
#define MIN_SILENCE_MS 50
/** Chance of an action at each step. */
#define ACTION_PERMILLE 120

struct schedule {
	struct harness harness;
	GRand *rand;
	/** When a process that is dead or paused resumes. */
	int64_t back_ms[HARNESS_PROCESSES];
	int64_t worker_back_ms[HARNESS_WORKERS];
	/** When the table answers a process again. */
	int64_t silent_until_ms[HARNESS_PROCESSES];
};

static int
pick (struct schedule *schedule, int begin, int end)
{
	return g_rand_int_range (schedule->rand, begin, end);
}

static void
act_submit (struct schedule *schedule)
{
	if (schedule->harness.n_jobs >= MAX_JOBS)
		return;
	int gang = pick (schedule, 1, HARNESS_WORKERS + 1);
	harness_submit (&schedule->harness, gang, pick (schedule, 0, 2) == 0);
}

static void
act_cancel (struct schedule *schedule)
{
	if (schedule->harness.n_jobs > 0 && pick (schedule, 0, 3) == 0)
		harness_cancel (&schedule->harness, pick (schedule, 0, schedule->harness.n_jobs));
}

static void
act_process (struct schedule *schedule)
{
	int index = pick (schedule, 0, HARNESS_PROCESSES);
	const struct harness_process *process = &schedule->harness.processes[index];
	if (!process->alive || process->paused)
		return;
	schedule->back_ms[index] =
		schedule->harness.clock.now_ms + pick (schedule, MIN_SILENCE_MS, 8000);
	if (pick (schedule, 0, 2) == 0)
		harness_kill (&schedule->harness, index);
	else
		harness_pause (&schedule->harness, index, true);
}

static void
act_table (struct schedule *schedule)
{
	int64_t until_ms = schedule->harness.clock.now_ms + pick (schedule, MIN_SILENCE_MS, 6000);
	int first = pick (schedule, 0, HARNESS_PROCESSES);
	int last = pick (schedule, 0, 2) == 0 ? HARNESS_PROCESSES - 1 : first;
	int kind = pick (schedule, 0, 4);
	for (int i = first; i <= last; i++) {
		const struct harness_process *process = &schedule->harness.processes[i];
		if (!process->alive || process->paused ||
		    process->caller->faults.silent_until_ms != 0)
			continue;
		struct dff_memory_faults *faults = &process->caller->faults;
		*faults = (struct dff_memory_faults){0};
		schedule->silent_until_ms[i] = until_ms;
		if (kind == 1) {
			faults->silent_until_ms = DFF_MEMORY_FOREVER;
			continue;
		}
		faults->delay_max_ms = pick (schedule, 2, MAX_DELAY_MS);
		if (kind == 0)
			faults->outage_until_ms = until_ms;
		if (kind != 2)
			continue;
		faults->late_ms = 1500;
		faults->lose_permille = 200;
		faults->late_permille = 200;
		faults->lost_permille = 200;
	}
}

static void
act_link (struct schedule *schedule)
{
	static const int32_t chances[] = {0, 50, 300};
	const struct harness_process *process =
		&schedule->harness.processes[pick (schedule, 0, HARNESS_PROCESSES)];
	struct fake_link *link = process->link;
	link->delay_max_ms = pick (schedule, 2, 600);
	link->lose_permille = chances[pick (schedule, 0, 3)];
	link->duplicate_permille = chances[pick (schedule, 0, 3)];
	link->cut = pick (schedule, 0, 3) == 0 ? (uint64_t)pick (schedule, 0, 16) : 0;
}

static void
act_watch (struct schedule *schedule)
{
	static const int32_t chances[] = {0, 0, 500};
	schedule->harness.unwatched =
		pick (schedule, 0, 2) == 0 ? (uint64_t)pick (schedule, 0, 16) : 0;
	schedule->harness.report_loss_permille = chances[pick (schedule, 0, 3)];
}

static void
act_worker (struct schedule *schedule)
{
	int index = pick (schedule, 0, HARNESS_WORKERS);
	struct fake_worker *worker = &schedule->harness.fleet.workers[index];
	int kind = pick (schedule, 0, 6);
	if (kind == 0 && !worker->down)
		fake_worker_restart (worker);
	if (kind == 1) {
		worker->down = true;
		schedule->worker_back_ms[index] =
			schedule->harness.clock.now_ms + pick (schedule, 100, 9000);
	}
	worker->leaving = kind == 2;
	worker->refuses_starts = kind == 3;
	worker->fails_tasks = kind == 4;
}

static void
act (struct schedule *schedule)
{
	static void (*const actions[]) (struct schedule *) = {
		act_submit, act_submit, act_cancel, act_process,
		act_table,  act_link,   act_watch,  act_worker,
	};
	actions[pick (schedule, 0, (int)G_N_ELEMENTS (actions))](schedule);
}

static void
restore (struct schedule *schedule, bool all)
{
	struct harness *harness = &schedule->harness;
	for (int i = 0; i < HARNESS_PROCESSES; i++) {
		struct harness_process *process = &harness->processes[i];
		bool due = all || harness->clock.now_ms >= schedule->back_ms[i];
		if (due && !process->alive)
			harness_start (harness, i);
		else if (due && process->paused)
			harness_pause (harness, i, false);
		else if (process->alive && !process->paused &&
			 harness->clock.now_ms >= schedule->silent_until_ms[i])
			process->caller->faults.silent_until_ms = 0;
	}
	/* A worker that was down may have lost its state, or kept it. */
	for (int i = 0; i < HARNESS_WORKERS; i++) {
		struct fake_worker *worker = &harness->fleet.workers[i];
		if (!worker->down || (!all && harness->clock.now_ms < schedule->worker_back_ms[i]))
			continue;
		if (pick (schedule, 0, 2) == 0)
			fake_worker_restart (worker);
		worker->down = false;
	}
}

static void
heal (struct schedule *schedule)
{
	struct harness *harness = &schedule->harness;
	restore (schedule, true);
	harness->unwatched = 0;
	harness->report_loss_permille = 0;
	for (int i = 0; i < HARNESS_PROCESSES; i++) {
		harness->processes[i].caller->faults = (struct dff_memory_faults){0};
		struct fake_link *link = harness->processes[i].link;
		link->delay_max_ms = 5;
		link->lose_permille = 0;
		link->duplicate_permille = 0;
		link->cut = 0;
	}
	for (int i = 0; i < HARNESS_WORKERS; i++) {
		harness->fleet.workers[i].leaving = false;
		harness->fleet.workers[i].refuses_starts = false;
		harness->fleet.workers[i].fails_tasks = false;
	}
}

static int
count_open (struct schedule *schedule)
{
	int open = 0;
	for (int i = 0; i < schedule->harness.n_jobs; i++)
		open += harness_outcome (&schedule->harness, i) == DFF_OUTCOME_NONE;
	return open;
}

/** Checks that every accepted job ended, that the holder's counts match, and nothing runs on. */
static void
check_settled (struct schedule *schedule)
{
	struct harness *harness = &schedule->harness;
	assert_int_equal (count_open (schedule), 0);
	int holder = harness_holder (harness);
	assert_int_not_equal (holder, -1);
	const struct dff_cell *cell = harness->processes[holder].cell;
	assert_int_equal (g_hash_table_size (cell->jobs), 0);
	int64_t counted[DFF_OUTCOME_UNKNOWN + 1] = {0};
	for (int i = 0; i < harness->n_jobs; i++)
		counted[harness_outcome (harness, i)] += 1;
	for (int outcome = 0; outcome <= DFF_OUTCOME_UNKNOWN; outcome++)
		assert_int_equal (cell->ended[outcome], counted[outcome]);
	for (int i = 0; i < HARNESS_WORKERS; i++) {
		const GArray *tasks = harness->fleet.workers[i].tasks;
		for (guint j = 0; j < tasks->len; j++) {
			enum dff_task_state state =
				g_array_index (tasks, struct fake_task, j).report.state;
			if (state == DFF_TASK_HELD || state == DFF_TASK_RUNNING)
				fail_msg ("a task of an ended job is still active on w%d", i);
		}
	}
}

static void
run_schedule (uint32_t seed, bool retries_soon)
{
	struct schedule schedule = {0};
	schedule.rand = g_rand_new_with_seed (seed);
	struct harness *harness = &schedule.harness;
	harness_init_with (harness, seed + 1, retries_soon);
	harness->fleet.checks_epochs = seed % 2 == 0;
	harness->fleet.run_ms = pick (&schedule, 100, 4000);
	while (harness->clock.now_ms < 1000000 + CHAOS_MS) {
		if (pick (&schedule, 0, 1000) < ACTION_PERMILLE)
			act (&schedule);
		restore (&schedule, false);
		harness_step (harness);
	}
	heal (&schedule);
	int64_t until_ms = harness->clock.now_ms + HEAL_LIMIT_MS;
	while (count_open (&schedule) > 0 && harness->clock.now_ms < until_ms)
		harness_run (harness, 1000);
	assert_true (harness_run_holder (harness, HEAL_LIMIT_MS) < HEAL_LIMIT_MS);
	/* Late messages arrive, and orphaned runs are stopped. */
	harness_run (harness, 3000);
	check_settled (&schedule);
	harness_clear (harness);
	g_rand_free (schedule.rand);
}

static uint32_t running_seed;

/** Prints the seed if a failed check ended a schedule. */
static int
print_seed (void **state)
{
	(void)state;
	print_message ("last seed: %u\n", running_seed);
	return 0;
}

static void
test_seeded_schedules (void **state)
{
	(void)state;
	uint32_t first = 0;
	uint32_t last = DEFAULT_SEEDS;
	const char *range = g_getenv ("DFF_TEST_SEEDS");
	if (range != NULL) {
		char *end = NULL;
		first = (uint32_t)strtoul (range, &end, 10);
		last = *end == ':' ? (uint32_t)strtoul (end + 1, NULL, 10) : first + 1;
	}
	for (uint32_t seed = first; seed < last; seed++) {
		running_seed = seed;
		run_schedule (seed, false);
		run_schedule (seed, true);
	}
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_teardown (test_seeded_schedules, print_seed),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
