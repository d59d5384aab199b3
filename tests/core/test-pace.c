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

static void
export_durations (const struct pool *pool,
		  GArray *durations,
		  struct dff_duration_variances *variances)
{
	assert_true (dff_core_export_durations (pool->core, durations, variances));
	assert_int_equal (durations->len, WORKERS);
}

static void
import_durations (struct pool *pool,
		  const GArray *durations,
		  const struct dff_duration_variances *variances,
		  int64_t age_ms)
{
	bool expired = age_ms > DFF_DURATION_EXPIRY_MS;
	for (guint i = 0; i < durations->len; i++) {
		const struct dff_worker_duration *duration =
			&g_array_index (durations, struct dff_worker_duration, i);
		assert_int_equal (dff_core_import_duration (pool->core, duration, variances, age_ms,
							    pool->now_ms),
				  expired ? DFF_DURATION_IMPORT_IGNORED : DFF_DURATION_IMPORT_DONE);
	}
}

static void
send_unlike_steps (struct pool *pool, bool reversed)
{
	static const struct duration_case unlike = {.times = {0.6, 1.0, 1.6}};
	static const struct duration_case swapped = {.times = {1.6, 1.0, 0.6}};
	send_steps (pool, reversed ? &swapped : &unlike);
}

/* Returns: the number of gangs that got a worker of the slow third. */
static int
count_slow_gangs (struct pool *pool, int slow_third)
{
	int n_slow = 0;
	for (int i = 0; i < GANGS; i++) {
		struct dff_name names[MEMBERS];
		bool slow = false;
		place_gang (pool, i, names);
		for (int j = 0; j < MEMBERS; j++)
			slow |= atoi (names[j].data + 1) % 3 == slow_third;
		n_slow += slow;
	}
	return n_slow;
}

struct import_case {
	const char *name;
	int64_t age_ms;
	/** Time between the import and the first gang, ms. */
	int64_t wait_ms;
	/** Whether the imported values still count. */
	bool counts;
};

/* Guards against a core that has to learn again what its predecessor knew, and against one that
 * holds on to it for ever. */
static void
test_import (void **state)
{
	(void)state;
	static const struct import_case import_cases[] = {
		{"at once", 0, 0, true},
		{"after a slow takeover", 5000, 0, true},
		{"after the first review", 0, 600, true},
		{"30 s later", 0, 30000, true},
		{"30 s old, 30 s later", 30000, 30000, true},
		{"too old", DFF_DURATION_EXPIRY_MS + 1, 0, false},
		{"too old in the meantime", 60000, 61000, false},
		{"too long ago", 0, DFF_DURATION_EXPIRY_MS + 600, false},
		/* The clocks of the two processes differ. */
		{"from the future", -5000, 0, true},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (import_cases); i++) {
		const struct import_case *at = &import_cases[i];
		print_message ("%s\n", at->name);
		struct pool former, pool, baseline;
		open_pool (&former);
		open_pool (&pool);
		open_pool (&baseline);
		send_unlike_steps (&former, false);
		g_autoptr (GArray) durations =
			g_array_new (FALSE, FALSE, sizeof (struct dff_worker_duration));
		struct dff_duration_variances variances;
		export_durations (&former, durations, &variances);
		import_durations (&pool, durations, &variances, at->age_ms);
		if (at->wait_ms > 0)
			advance (&pool, at->wait_ms);
		int n_slow = count_slow_gangs (&pool, 2);
		if (at->counts)
			assert_int_equal (n_slow, 0);
		else
			assert_int_equal (n_slow, count_slow_gangs (&baseline, 2));
		close_pool (&former);
		close_pool (&pool);
		close_pool (&baseline);
	}
}

/* Guards against an export whose values and variances are of different reviews: at the first one
 * that compares the workers, the variance between them rises from next to nothing. The next core
 * finds the workers as far apart as the former one does after further reviews. */
static void
test_export_after_one_review (void **state)
{
	(void)state;
	struct pool former, pool;
	open_pool (&former);
	open_pool (&pool);
	for (uint64_t step = 0; step < STEPS; step++) {
		for (int i = 0; i < WORKERS; i++) {
			static const double times[] = {0.6, 1.0, 1.6};
			static const double uneven[] = {0.9, 1.0, 1.1};
			send_duration (&former, i, step,
				       TASK_MS * times[i % 3] * uneven[(i / 3 + (int)step) % 3]);
		}
	}
	advance (&former, 1000);
	g_autoptr (GArray) durations =
		g_array_new (FALSE, FALSE, sizeof (struct dff_worker_duration));
	struct dff_duration_variances variances;
	export_durations (&former, durations, &variances);
	import_durations (&pool, durations, &variances, 0);
	export_durations (&pool, durations, &variances);
	for (guint i = 0; i < durations->len; i++) {
		static const int32_t expected[] = {-500, 0, 460};
		const struct dff_worker_duration *duration =
			&g_array_index (durations, struct dff_worker_duration, i);
		int third = atoi (duration->worker.data + 1) % 3;
		assert_in_range (duration->relative + 1000, expected[third] + 1000 - 60,
				 expected[third] + 1000 + 60);
	}
	assert_int_equal (count_slow_gangs (&pool, 2), 0);
	close_pool (&former);
	close_pool (&pool);
}

/* Guards against values that change when they are handed on: the next core computes the same from
 * them as the former did, and a third core the same again. */
static void
test_export_after_import (void **state)
{
	(void)state;
	struct pool former, pool;
	open_pool (&former);
	open_pool (&pool);
	send_unlike_steps (&former, false);
	g_autoptr (GArray) durations =
		g_array_new (FALSE, FALSE, sizeof (struct dff_worker_duration));
	g_autoptr (GArray) again = g_array_new (FALSE, FALSE, sizeof (struct dff_worker_duration));
	struct dff_duration_variances variances, variances_again;
	export_durations (&former, durations, &variances);
	import_durations (&pool, durations, &variances, 0);
	for (int i = 0; i < 2; i++) {
		export_durations (&pool, again, &variances_again);
		assert_true (variances.workers == variances_again.workers);
		assert_true (variances.tasks == variances_again.tasks);
		for (guint j = 0; j < WORKERS; j++) {
			const struct dff_worker_duration *one =
				&g_array_index (durations, struct dff_worker_duration, j);
			const struct dff_worker_duration *other =
				&g_array_index (again, struct dff_worker_duration, j);
			assert_string_equal (one->worker.data, other->worker.data);
			assert_true (abs (one->relative - other->relative) <= 2);
			assert_true (fabsf (one->weight - other->weight) <= one->weight / 100.0F);
		}
		/* The review computes the values anew. */
		advance (&pool, 10);
	}
	close_pool (&former);
	close_pool (&pool);
}

/* Guards against imported values that outweigh what the tasks show now: the workers that were fast
 * have become slow. */
static void
test_samples_overrule_import (void **state)
{
	(void)state;
	struct pool former, pool;
	open_pool (&former);
	open_pool (&pool);
	send_unlike_steps (&former, false);
	g_autoptr (GArray) durations =
		g_array_new (FALSE, FALSE, sizeof (struct dff_worker_duration));
	struct dff_duration_variances variances;
	export_durations (&former, durations, &variances);
	import_durations (&pool, durations, &variances, 0);
	for (int i = 0; i < 5; i++)
		send_unlike_steps (&pool, true);
	advance (&pool, 1000);
	assert_int_equal (count_slow_gangs (&pool, 0), 0);
	close_pool (&former);
	close_pool (&pool);
}

/* Guards against the export of fleets in which nothing was found. */
static void
test_export_of_alike_workers (void **state)
{
	(void)state;
	static const struct duration_case alike = {.times = {1.0, 1.0, 1.0}};
	struct pool pool;
	open_pool (&pool);
	g_autoptr (GArray) durations =
		g_array_new (FALSE, FALSE, sizeof (struct dff_worker_duration));
	struct dff_duration_variances variances;
	assert_false (dff_core_export_durations (pool.core, durations, &variances));
	send_steps (&pool, &alike);
	assert_false (dff_core_export_durations (pool.core, durations, &variances));
	assert_int_equal (durations->len, 0);
	close_pool (&pool);
}

/* Guards against damaged values, which would make every worker slow, or none. */
static void
test_import_of_invalid_values (void **state)
{
	(void)state;
	static const struct {
		int32_t relative;
		float weight;
		struct dff_duration_variances variances;
	} invalid[] = {{500, 0.0F, {0.16F, 0.07F}},      {500, -1.0F, {0.16F, 0.07F}},
		       {500, NAN, {0.16F, 0.07F}},       {500, INFINITY, {0.16F, 0.07F}},
		       {500, 1e9F, {0.16F, 0.07F}},      {500, 4.0F, {0.0F, 0.07F}},
		       {500, 4.0F, {0.16F, 0.0F}},       {500, 4.0F, {-1.0F, 0.07F}},
		       {500, 4.0F, {NAN, 0.07F}},        {500, 4.0F, {0.16F, INFINITY}},
		       {500, 4.0F, {1e9F, 0.07F}},       {INT32_MAX, 4.0F, {0.16F, 0.07F}},
		       {INT32_MIN, 4.0F, {0.16F, 0.07F}}};
	for (size_t i = 0; i < G_N_ELEMENTS (invalid); i++) {
		struct pool pool;
		open_pool (&pool);
		struct dff_worker_duration duration = {.worker = dff_name_from ("w1"),
						       .relative = invalid[i].relative,
						       .weight = invalid[i].weight};
		assert_int_equal (dff_core_import_duration (pool.core, &duration,
							    &invalid[i].variances, 0, pool.now_ms),
				  DFF_DURATION_IMPORT_IGNORED);
		advance (&pool, 1000);
		struct dff_core_stats stats;
		dff_core_get_stats (pool.core, &stats);
		assert_true (stats.duration_spread == 0.0);
		close_pool (&pool);
	}
}

/* Guards against dropping the value of a worker that the core does not know yet. */
static void
test_import_of_unknown_worker (void **state)
{
	(void)state;
	struct pool pool;
	open_pool (&pool);
	struct dff_worker_duration duration = {
		.worker = dff_name_from ("other"), .relative = 500, .weight = 4.0F};
	struct dff_duration_variances variances = {0.16F, 0.07F};
	assert_int_equal (
		dff_core_import_duration (pool.core, &duration, &variances, 0, pool.now_ms),
		DFF_DURATION_IMPORT_UNKNOWN);
	close_pool (&pool);
}

/* Replaces a pool's core by one that has imported what it knew. */
static void
renew_pool (struct pool *pool)
{
	struct pool former = *pool;
	g_autoptr (GArray) durations =
		g_array_new (FALSE, FALSE, sizeof (struct dff_worker_duration));
	struct dff_duration_variances variances;
	export_durations (&former, durations, &variances);
	open_pool (pool);
	import_durations (pool, durations, &variances, 0);
	close_pool (&former);
}

/* Guards against treating a restarted worker as slow because of its former incarnation. */
static void
test_restarted_worker (void **state)
{
	bool imported = *state != NULL;
	static const struct duration_case unlike = {.times = {0.6, 1.0, 1.6}};
	struct pool pool, baseline;
	open_pool (&pool);
	open_pool (&baseline);
	send_steps (&pool, &unlike);
	if (imported)
		renew_pool (&pool);
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

/** Number of tests that are not cases. */
#define N_OTHER 9

int
main (void)
{
	static bool imported = true;
	struct CMUnitTest tests[G_N_ELEMENTS (cases) + N_OTHER] = {
		cmocka_unit_test (test_restarted_worker),
		{.name = "test_restarted_worker, imported",
		 .test_func = test_restarted_worker,
		 .initial_state = &imported},
		cmocka_unit_test (test_import),
		cmocka_unit_test (test_export_after_one_review),
		cmocka_unit_test (test_export_after_import),
		cmocka_unit_test (test_samples_overrule_import),
		cmocka_unit_test (test_export_of_alike_workers),
		cmocka_unit_test (test_import_of_invalid_values),
		cmocka_unit_test (test_import_of_unknown_worker),
		cmocka_unit_test (test_samples_are_bounded),
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		tests[N_OTHER + i] = (struct CMUnitTest){.name = cases[i].name,
							 .test_func = test_gangs_avoid_slow_workers,
							 .initial_state = (void *)&cases[i]};
	}
	return cmocka_run_group_tests (tests, NULL, NULL);
}
