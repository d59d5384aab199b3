#include "core_fixture.h"

#include <math.h>
#include <stdlib.h>

/* Workers of different speed in a nearly idle pool. Single tasks run on all workers and report
 * their durations; then urgent gangs are placed one at a time. A gang takes as long as its slowest
 * member. */

#define RACKS 6
#define PER_RACK 6
#define WORKERS (RACKS * PER_RACK)
/** Number of steps of single tasks that report, with one task on each worker. */
#define STEPS 6
#define TASK_MS 8000.0
/** Spread of a step's tasks: durations are up to about a third shorter or longer than the mean. */
#define UNEVEN 0.3
#define GANGS 40
#define MEMBERS 3

struct duration_case {
	const char *name;
	/** Relative duration of tasks on the workers, in turn. */
	double times[3];
	/** Relative duration of the slowest worker that a gang may get. */
	double worst;
	/** Spread of a step's tasks, as UNEVEN; 0: UNEVEN. */
	double uneven;
	/** One in this many tasks of a step takes seven times as long; 0: none. */
	int tail;
	/** Whether gangs have to be placed as without any reports. */
	bool unchanged;
};

struct pool {
	struct dff_core *core;
	struct dff_pool declared;
	GArray *commands;
	int64_t now_ms;
};

static void
open_pool (struct pool *pool)
{
	struct dff_core_options options;
	dff_core_options_init (&options);
	options.retry_without_limit = true;
	pool->core = dff_core_new (&options);
	pool->commands = g_array_new (FALSE, TRUE, sizeof (struct dff_command));
	pool->now_ms = 1000;
	fixture_pool_init (&pool->declared, RACKS, PER_RACK, 8);
	fixture_pool_add_team (&pool->declared, "a", 0, 0);
	dff_core_set_pool (pool->core, &pool->declared, pool->now_ms);
	for (int i = 0; i < WORKERS; i++) {
		struct dff_name name = dff_name_printf ("w%d", i);
		fixture_worker_state (pool->core, name.data, DFF_WORKER_UP);
	}
}

static void
close_pool (struct pool *pool)
{
	fixture_pool_clear (&pool->declared);
	g_array_unref (pool->commands);
	dff_core_free (pool->core);
}

static void
send_duration (struct pool *pool, int worker, uint64_t step, double duration_ms)
{
	struct dff_event event = {.type = DFF_EVENT_TASK_DURATION,
				  .worker = dff_name_printf ("w%d", worker),
				  .peer_group = step,
				  .duration_ms = (int64_t)duration_ms};
	dff_core_handle_event (pool->core, &event, pool->now_ms);
}

static void
advance (struct pool *pool, int64_t ms)
{
	pool->now_ms += ms;
	dff_core_tick (pool->core, pool->now_ms, pool->commands);
}

static void
send_steps (struct pool *pool, const struct duration_case *at)
{
	g_autoptr (GRand) rand = g_rand_new_with_seed (7);
	double spread = at->uneven > 0.0 ? at->uneven : UNEVEN;
	for (int step = 0; step < STEPS; step++) {
		double step_ms = TASK_MS * exp (g_rand_double_range (rand, -1.0, 1.0));
		for (int i = 0; i < WORKERS; i++) {
			double uneven = g_rand_double_range (rand, -spread, spread);
			bool tail = at->tail > 0 && g_rand_int_range (rand, 0, at->tail) == 0;
			send_duration (pool, i, (uint64_t)step,
				       step_ms * exp (uneven) * at->times[i % 3] *
					       (tail ? 7.0 : 1.0));
		}
		advance (pool, 1000);
	}
}

/* Places a gang and ends it. @names: (out): its workers, in order. */
static void
place_gang (struct pool *pool, int number, struct dff_name names[MEMBERS])
{
	g_autofree char *id = g_strdup_printf ("gang%d", number);
	struct dff_job_spec spec = fixture_spec (id, MEMBERS, 8);
	spec.urgent = true;
	struct dff_event submitted = {.type = DFF_EVENT_JOB_SUBMITTED, .spec = &spec};
	dff_core_handle_event (pool->core, &submitted, pool->now_ms);
	advance (pool, 20);
	assert_int_equal (pool->commands->len, 1);
	const struct dff_command *start = &g_array_index (pool->commands, struct dff_command, 0);
	assert_int_equal (start->type, DFF_COMMAND_RECORD_START);
	for (guint i = 0; i < MEMBERS; i++)
		names[i] = g_array_index (start->placements, struct dff_placement, i).worker;
	static const enum dff_event_type ends[] = {
		DFF_EVENT_JOB_CANCELLED, DFF_EVENT_ATTEMPT_RECORDED, DFF_EVENT_OUTCOME_RECORDED};
	for (size_t i = 0; i < G_N_ELEMENTS (ends); i++) {
		struct dff_event event = {.type = ends[i], .job = spec.id, .attempt = 1};
		dff_core_handle_event (pool->core, &event, pool->now_ms);
	}
	advance (pool, 20);
}

static double
worst_time (const struct duration_case *at, const struct dff_name names[MEMBERS])
{
	double worst = 0.0;
	for (int i = 0; i < MEMBERS; i++)
		worst = MAX (worst, at->times[atoi (names[i].data + 1) % 3]);
	return worst;
}

/* The load: a few slow workers in every rack, and free capacity everywhere. Guards against placing
 * urgent gangs by capacity alone, so that most get a slow worker, and against treating workers of
 * equal speed as different. */
static void
test_gangs_avoid_slow_workers (void **state)
{
	const struct duration_case *at = *state;
	struct pool pool, baseline;
	open_pool (&pool);
	open_pool (&baseline);
	send_steps (&pool, at);
	for (int i = 0; i < GANGS; i++) {
		struct dff_name names[MEMBERS], same[MEMBERS];
		place_gang (&pool, i, names);
		place_gang (&baseline, i, same);
		assert_true (worst_time (at, names) <= at->worst);
		for (int j = 0; at->unchanged && j < MEMBERS; j++)
			assert_string_equal (names[j].data, same[j].data);
	}
	close_pool (&pool);
	close_pool (&baseline);
}

static const struct duration_case cases[] = {
	{.name = "a third is slow", .times = {0.6, 1.0, 1.6}, .worst = 1.0},
	{.name = "a third is slow, with tails", .times = {0.6, 1.0, 1.6}, .worst = 1.0, .tail = 30},
	{.name = "a third is a little quicker", .times = {0.8, 1.0, 1.25}, .worst = 1.0},
	{.name = "all are alike", .times = {1.0, 1.0, 1.0}, .worst = 1.0, .unchanged = true},
	{.name = "alike, with tails",
	 .times = {1.0, 1.0, 1.0},
	 .worst = 1.0,
	 .unchanged = true,
	 .tail = 30},
	{.name = "alike, very uneven tasks",
	 .times = {1.0, 1.0, 1.0},
	 .worst = 1.0,
	 .unchanged = true,
	 .uneven = 0.9},
	{.name = "nearly alike", .times = {1.0, 1.0, 1.1}, .worst = 1.1, .unchanged = true},
};

/* Guards against treating a restarted worker as slow because of its former incarnation. */
static void
test_restarted_worker (void **state)
{
	(void)state;
	static const struct duration_case unlike = {.times = {0.6, 1.0, 1.6}};
	struct pool pool, baseline;
	open_pool (&pool);
	open_pool (&baseline);
	send_steps (&pool, &unlike);
	for (int i = 0; i < WORKERS; i++) {
		struct dff_event event = {.type = DFF_EVENT_WORKER_RESTARTED,
					  .worker = dff_name_printf ("w%d", i)};
		dff_core_handle_event (pool.core, &event, pool.now_ms);
	}
	advance (&pool, 1000);
	for (int i = 0; i < GANGS; i++) {
		struct dff_name names[MEMBERS], same[MEMBERS];
		place_gang (&pool, i, names);
		place_gang (&baseline, i, same);
		for (int j = 0; j < MEMBERS; j++)
			assert_string_equal (names[j].data, same[j].data);
	}
	close_pool (&pool);
	close_pool (&baseline);
}

/* Guards against samples of an unlimited number of steps being kept for months. */
static void
test_samples_are_bounded (void **state)
{
	(void)state;
	struct pool pool;
	open_pool (&pool);
	for (uint64_t step = 0; step < 4000; step++) {
		for (int i = 0; i < WORKERS; i++)
			send_duration (&pool, i, step, TASK_MS);
	}
	struct dff_core_stats stats;
	dff_core_get_stats (pool.core, &stats);
	assert_in_range (stats.duration_samples, 1, 10000);
	advance (&pool, 1000000);
	advance (&pool, 1000);
	dff_core_get_stats (pool.core, &stats);
	assert_int_equal (stats.duration_samples, 0);
	close_pool (&pool);
}

int
main (void)
{
	struct CMUnitTest tests[G_N_ELEMENTS (cases) + 2] = {
		cmocka_unit_test (test_restarted_worker),
		cmocka_unit_test (test_samples_are_bounded),
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		tests[2 + i] = (struct CMUnitTest){.name = cases[i].name,
						   .test_func = test_gangs_avoid_slow_workers,
						   .initial_state = (void *)&cases[i]};
	}
	return cmocka_run_group_tests (tests, NULL, NULL);
}
