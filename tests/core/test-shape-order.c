#include <time.h>

#include "core_fixture.h"

/* Where single tasks are placed, which tasks are stopped, and when a task or a stop waits, by the
 * shapes that arrived. Pools of racks with four workers of eight accelerators. */

#define PER_RACK 4
#define ACCELERATORS 8
#define SECOND_MS INT64_C (1000)

struct room {
	struct dff_core *core;
	struct dff_pool pool;
	GArray *commands;
	int64_t now_ms;
};

static struct dff_core_options
shape_options (void)
{
	struct dff_core_options options;
	dff_core_options_init (&options);
	options.retry_without_limit = true;
	options.shape_order = true;
	options.shape_victims = true;
	options.checkpoint_loss_ms = 300;
	return options;
}

static void
room_open (struct room *room, const struct dff_core_options *options, int n_racks)
{
	*room = (struct room){.core = dff_core_new (options), .now_ms = SECOND_MS};
	room->commands = g_array_new (FALSE, TRUE, sizeof (struct dff_command));
	fixture_pool_init (&room->pool, n_racks, PER_RACK, ACCELERATORS);
	fixture_pool_add_team (&room->pool, "a", 0, 0);
	dff_core_set_pool (room->core, &room->pool, room->now_ms);
	for (int i = 0; i < n_racks * PER_RACK; i++) {
		g_autofree char *worker = g_strdup_printf ("w%d", i);
		fixture_worker_state (room->core, worker, DFF_WORKER_UP);
	}
}

static void
room_close (struct room *room)
{
	fixture_pool_clear (&room->pool);
	g_array_unref (room->commands);
	dff_core_free (room->core);
}

static struct dff_job_spec
spec_of (const char *id, int32_t priority, int32_t gang, int32_t accelerators)
{
	struct dff_job_spec spec = fixture_spec (id, gang, accelerators);
	spec.region = dff_name_from ("region0");
	spec.priority = priority;
	spec.urgent = priority == 0;
	spec.declared_ms = 6 * SECOND_MS;
	return spec;
}

static void
submit (struct room *room, const struct dff_job_spec *spec)
{
	struct dff_event event = {.type = DFF_EVENT_JOB_SUBMITTED, .spec = spec};
	dff_core_handle_event (room->core, &event, room->now_ms);
}

static void
send (struct room *room, const char *job, enum dff_event_type type, int32_t member)
{
	struct dff_event event = {.type = type,
				  .job = dff_name_from (job),
				  .attempt = 1,
				  .member = member,
				  .ran = true};
	dff_core_handle_event (room->core, &event, room->now_ms);
}

static void
advance (struct room *room, int64_t ms)
{
	room->now_ms += ms;
	dff_core_tick (room->core, room->now_ms, room->commands);
	g_autofree char *broken = dff_core_check (room->core);
	if (broken != NULL)
		fail_msg ("%s", broken);
}

/* Returns: (nullable): the worker of the first member that a job was started on in the last tick.
 */
static const char *
worker_of (const struct room *room, const char *job)
{
	for (guint i = 0; i < room->commands->len; i++) {
		const struct dff_command *at =
			&g_array_index (room->commands, struct dff_command, i);
		if (at->type == DFF_COMMAND_RECORD_START && strcmp (at->job.data, job) == 0)
			return g_array_index (at->placements, struct dff_placement, 0).worker.data;
	}
	return NULL;
}

static int
count_commands (const struct room *room, enum dff_command_type type)
{
	int count = 0;
	for (guint i = 0; i < room->commands->len; i++)
		count += g_array_index (room->commands, struct dff_command, i).type == type;
	return count;
}

/* Starts a job on what is free and lets it run. */
static void
run (struct room *room, const struct dff_job_spec *spec)
{
	submit (room, spec);
	advance (room, 0);
	assert_non_null (worker_of (room, spec->id.data));
	send (room, spec->id.data, DFF_EVENT_ATTEMPT_RECORDED, 0);
	for (int32_t i = 0; i < spec->gang; i++)
		send (room, spec->id.data, DFF_EVENT_TASK_STARTED, i);
}

/* Lets urgent gangs of @gang whole workers arrive, and takes them back. */
static void
record_urgent (struct room *room, int32_t gang, int count)
{
	for (int i = 0; i < count; i++) {
		g_autofree char *id = g_strdup_printf ("once%d", i);
		struct dff_job_spec spec = spec_of (id, 0, gang, ACCELERATORS);
		submit (room, &spec);
		send (room, id, DFF_EVENT_JOB_CANCELLED, 0);
		send (room, id, DFF_EVENT_OUTCOME_RECORDED, 0);
	}
	advance (room, 0);
}

/* Occupies accelerators of one worker by a task that is bound to its label. */
static void
label_workers (struct room *room)
{
	for (guint i = 0; i < room->pool.racks->len; i++) {
		struct dff_rack *rack = &g_array_index (room->pool.racks, struct dff_rack, i);
		rack->traits = g_array_new (FALSE, TRUE, sizeof (struct dff_worker_traits));
		for (guint j = 0; j < PER_RACK; j++) {
			struct dff_worker_traits traits = {.capacity = rack->per_worker};
			traits.labels[0] = dff_name_printf ("l%u", i * PER_RACK + j);
			g_array_append_val (rack->traits, traits);
		}
	}
	dff_core_set_pool (room->core, &room->pool, room->now_ms);
}

static void
unlabel_workers (struct room *room)
{
	for (guint i = 0; i < room->pool.racks->len; i++)
		g_array_unref (g_array_index (room->pool.racks, struct dff_rack, i).traits);
}

static void
occupy (struct room *room, int worker, int32_t accelerators, bool checkpoint)
{
	static int n_tasks;
	struct dff_name id = dff_name_printf ("t%d", n_tasks++);
	struct dff_job_spec spec = spec_of (id.data, 2, 1, accelerators);
	spec.label = dff_name_printf ("l%d", worker);
	spec.checkpoint = checkpoint;
	run (room, &spec);
}

/* The pattern: single tasks all over the racks, gangs of whole workers behind them. Where a further
 * single task is placed. */
static void
test_candidates (void **state)
{
	(void)state;
	static const struct {
		const char *name;
		/** Accelerators of a single task on each worker, of three racks; below 0: one
		 * without checkpoints. */
		int32_t held[3 * PER_RACK];
		/** Number of urgent gangs of four whole workers that arrived. */
		int arrivals;
		bool checkpoint;
		const char *worker;
	} cases[] = {
		/* Tasks with checkpoints begin next to the headroom, the others at the other end.
		 */
		{"empty pool", {0}, 0, true, "w8"},
		{"empty pool, plain", {0}, 0, false, "w0"},
		{"empty pool, arrivals", {0}, 3, true, "w8"},
		/* Beside others of its kind. */
		{"beside its kind", {0, 0, 0, 0, 0, 0, 4}, 3, true, "w6"},
		{"not beside others", {0, 0, 0, 0, 0, 0, -4, 0, 0, 0, 4}, 3, false, "w6"},
		{"fullest of its kind", {0, 2, 0, 0, 0, 4, 0, 0, 2}, 3, true, "w5"},
		/* A rack that no recorded gang fits any more, in place of a whole one. */
		{"broken rack", {0, 0, 0, 0, 0, 0, -8}, 3, true, "w4"},
		{"two broken racks", {-8, 0, 0, 0, -8}, 3, true, "w5"},
		{"last rack for the shape", {-8, 0, 0, 0, 0, 0, 0, 0, -8}, 3, true, "w9"},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct dff_core_options options = shape_options ();
		struct room room;
		room_open (&room, &options, 3);
		label_workers (&room);
		for (int j = 0; j < 3 * PER_RACK; j++) {
			if (cases[i].held[j] != 0)
				occupy (&room, j, ABS (cases[i].held[j]), cases[i].held[j] > 0);
		}
		record_urgent (&room, PER_RACK, cases[i].arrivals);
		struct dff_job_spec spec = spec_of ("next", 2, 1, 2);
		spec.checkpoint = cases[i].checkpoint;
		submit (&room, &spec);
		advance (&room, 0);
		const char *worker = worker_of (&room, "next");
		if (g_strcmp0 (worker, cases[i].worker) != 0)
			fail_msg ("%s: %s", cases[i].name, worker);
		unlabel_workers (&room);
		room_close (&room);
	}
}

/* A small urgent gang must not break the whole rack that the next wide one needs. */
static void
test_order_of_urgent_gangs (void **state)
{
	(void)state;
	static const struct {
		bool by_shape;
		const char *worker;
	} cases[] = {{false, "w0"}, {true, "w5"}};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct dff_core_options options = shape_options ();
		options.headroom_decay_ms = 20000;
		options.shape_gang_order = cases[i].by_shape;
		struct room room;
		room_open (&room, &options, 3);
		label_workers (&room);
		occupy (&room, 4, ACCELERATORS, true);
		for (int j = 0; j < 3; j++)
			record_urgent (&room, PER_RACK, 3);
		struct dff_job_spec spec = spec_of ("next", 0, 2, ACCELERATORS);
		submit (&room, &spec);
		/* Enough urgent demand for headroom in all racks. */
		struct dff_job_spec wide = spec_of ("wide", 0, 2 * PER_RACK, ACCELERATORS);
		wide.label = dff_name_from ("none");
		submit (&room, &wide);
		advance (&room, 0);
		const char *worker = worker_of (&room, "next");
		if (g_strcmp0 (worker, cases[i].worker) != 0)
			fail_msg ("case %zu: %s", i, worker);
		unlabel_workers (&room);
		room_close (&room);
	}
}

/* Guards against refusing what would be placed: in a full pool the order starts as many tasks as
 * there is capacity for, also on the last place of an urgent shape. */
static void
test_full_pool (void **state)
{
	(void)state;
	for (int with = 0; with < 2; with++) {
		struct dff_core_options options = shape_options ();
		options.shape_order = with == 1;
		struct room room;
		room_open (&room, &options, 2);
		record_urgent (&room, PER_RACK, 3);
		for (int i = 0; i < 40; i++) {
			g_autofree char *id = g_strdup_printf ("s%d", i);
			struct dff_job_spec spec = spec_of (id, 2, 1, 2);
			spec.checkpoint = i % 2 == 0;
			submit (&room, &spec);
		}
		advance (&room, 0);
		assert_int_equal (count_commands (&room, DFF_COMMAND_RECORD_START),
				  2 * PER_RACK * ACCELERATORS / 2);
		room_close (&room);
	}
}

/* Guards against counting capacity on workers that take no work: the rack that has lost a worker
 * no longer fits the shape, so that single tasks go there. */
static void
test_rack_that_loses_workers (void **state)
{
	(void)state;
	struct dff_core_options options = shape_options ();
	struct room room;
	room_open (&room, &options, 3);
	record_urgent (&room, PER_RACK, 3);
	struct dff_core_stats stats;
	dff_core_get_stats (room.core, &stats);
	assert_int_equal (stats.largest_gangs[3], PER_RACK);
	assert_int_equal (stats.largest_gangs[0], PER_RACK * ACCELERATORS);
	fixture_worker_state (room.core, "w5", DFF_WORKER_DOWN);
	struct dff_job_spec spec = spec_of ("next", 2, 1, 2);
	submit (&room, &spec);
	advance (&room, 0);
	assert_string_equal (worker_of (&room, "next"), "w4");
	for (int i = 0; i < 3 * PER_RACK; i++) {
		g_autofree char *worker = g_strdup_printf ("w%d", i);
		fixture_worker_state (room.core, worker, DFF_WORKER_DOWN);
	}
	advance (&room, SECOND_MS);
	dff_core_get_stats (room.core, &stats);
	assert_int_equal (stats.largest_gangs[0], 0);
	room_close (&room);
}

/* Guards against stopping a dozen tasks where one stop frees the same, and against stopping a task
 * that is not needed. An urgent task of @accelerators; the occupants of the only worker that may be
 * preempted. */
static void
test_victims (void **state)
{
	(void)state;
	static const struct {
		/** Accelerators of the tasks on the worker, in the order of their starts, 100 ms
		 * apart; below 0: without checkpoints. */
		int32_t held[5];
		int32_t accelerators;
		bool by_shape;
		int stops;
	} cases[] = {
		{{1, 1, 1, 1, 4}, 4, false, 4},
		{{1, 1, 1, 1, 4}, 4, true, 1},
		/* One stop that loses much more is not preferred. */
		{{-4, 1, 1, 1, 1}, 4, true, 4},
		/* Cheapest first would stop the single one as well as the large one. */
		{{1, 1, 6}, 6, false, 3},
		{{1, 1, 6}, 6, true, 1},
		{{4, 4}, 8, true, 2},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct dff_core_options options = shape_options ();
		options.shape_victims = cases[i].by_shape;
		struct room room;
		room_open (&room, &options, 1);
		label_workers (&room);
		for (size_t j = 0; j < G_N_ELEMENTS (cases[i].held); j++) {
			if (cases[i].held[j] != 0)
				occupy (&room, 0, ABS (cases[i].held[j]), cases[i].held[j] > 0);
			advance (&room, 100);
		}
		advance (&room, 3 * SECOND_MS);
		struct dff_job_spec spec = spec_of ("urgent", 0, 1, cases[i].accelerators);
		spec.label = dff_name_from ("l0");
		submit (&room, &spec);
		advance (&room, 0);
		int stops = count_commands (&room, DFF_COMMAND_CHECKPOINT_TASK) +
			    count_commands (&room, DFF_COMMAND_STOP_TASK);
		if (stops != cases[i].stops)
			fail_msg ("case %zu: %d stops", i, stops);
		unlabel_workers (&room);
		room_close (&room);
	}
}

/* Of equal tasks the one that has just saved a checkpoint is stopped. */
static void
test_victim_that_has_saved (void **state)
{
	(void)state;
	for (int saved = 0; saved < 2; saved++) {
		struct dff_core_options options = shape_options ();
		struct room room;
		room_open (&room, &options, 1);
		label_workers (&room);
		struct dff_job_spec tasks[2] = {spec_of ("one", 2, 1, 4), spec_of ("two", 2, 1, 4)};
		for (int i = 0; i < 2; i++) {
			tasks[i].label = dff_name_from ("l0");
			run (&room, &tasks[i]);
		}
		advance (&room, 2 * SECOND_MS);
		send (&room, tasks[saved].id.data, DFF_EVENT_TASK_SAVED, 0);
		advance (&room, 100);
		struct dff_job_spec spec = spec_of ("urgent", 0, 1, 4);
		spec.label = dff_name_from ("l0");
		submit (&room, &spec);
		advance (&room, 0);
		assert_int_equal (count_commands (&room, DFF_COMMAND_CHECKPOINT_TASK), 1);
		for (guint i = 0; i < room.commands->len; i++) {
			const struct dff_command *at =
				&g_array_index (room.commands, struct dff_command, i);
			if (at->type == DFF_COMMAND_CHECKPOINT_TASK)
				assert_string_equal (at->job.data, tasks[saved].id.data);
		}
		unlabel_workers (&room);
		room_close (&room);
	}
}

/* Guards against starting bulk tasks that the next urgent gang stops before they have saved
 * anything, and against starving them. The pool has one rack; a bulk task breaks its last place for
 * a gang of whole workers. */
static void
test_bulk_is_held (void **state)
{
	(void)state;
	static const struct {
		int64_t first_checkpoint_ms;
		int64_t waited_ms;
		int32_t arrivals;
		int32_t priority;
		bool checkpoint;
		bool starts;
	} cases[] = {
		/* Forty gangs in the time constant of 20 s are two a second. */
		{1000, 0, 40, 2, true, false},
		{1000, 0, 40, 2, false, false},
		{1000, 0, 40, 1, true, true},
		{0, 0, 40, 2, true, true},
		{1000, 6100, 40, 2, true, true},
		{1000, 0, 0, 2, true, true},
		/* Any arrival counts against the last place. */
		{100, 0, 1, 2, true, false},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct dff_core_options options = shape_options ();
		options.first_checkpoint_ms = cases[i].first_checkpoint_ms;
		options.headroom_wait_ratio = 1.0;
		struct room room;
		room_open (&room, &options, 1);
		record_urgent (&room, PER_RACK, cases[i].arrivals);
		struct dff_job_spec spec = spec_of ("bulk", cases[i].priority, 1, 1);
		spec.checkpoint = cases[i].checkpoint;
		submit (&room, &spec);
		advance (&room, 0);
		if (cases[i].waited_ms > 0) {
			assert_null (worker_of (&room, "bulk"));
			advance (&room, cases[i].waited_ms);
		}
		if ((worker_of (&room, "bulk") != NULL) != cases[i].starts)
			fail_msg ("case %zu", i);
		room_close (&room);
	}
}

/* Guards against stopping work for an urgent job that could have waited for what comes free, and
 * against waiting beyond what its objective or the limit allows. */
static void
test_eviction_waits (void **state)
{
	(void)state;
	static const struct {
		double stretch;
		int64_t target_ms;
		int64_t delay_ms;
		/** Time after the submission at which other work is stopped, ms. */
		int64_t stops_at_ms;
	} cases[] = {
		/* The urgent job runs for 6 s; its slack of 3 s and more exceeds the limit. */
		{1.5, 250, 0, 0},
		{1.5, 250, 500, 500},
		/* No objective: it may be late at once. */
		{0.0, 0, 500, 0},
		/* A slack of 1.2 s leaves 0.2 s beside a stop and a start. */
		{1.0, 1200, 500, 200},
		{1.0, 900, 500, 0},
		/* It cannot be in time any more. */
		{0.5, 0, 500, 0},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct dff_core_options options = shape_options ();
		options.evict_delay_ms = cases[i].delay_ms;
		struct room room;
		room_open (&room, &options, 1);
		struct dff_job_spec bulk = spec_of ("bulk", 2, PER_RACK, ACCELERATORS);
		run (&room, &bulk);
		advance (&room, 100);
		struct dff_job_spec spec = spec_of ("urgent", 0, 1, 1);
		const struct dff_objective objective = {.stretch = cases[i].stretch,
							.target_ms = cases[i].target_ms,
							.chain_ms = spec.declared_ms,
							.tail_ms = spec.declared_ms};
		spec.objective = &objective;
		submit (&room, &spec);
		advance (&room, 0);
		int64_t waited_ms = 0;
		while (count_commands (&room, DFF_COMMAND_CHECKPOINT_TASK) == 0 &&
		       waited_ms < 2 * SECOND_MS) {
			int64_t wake_ms = dff_core_next_wake_ms (room.core);
			int64_t step_ms = CLAMP (wake_ms - room.now_ms, 1, SECOND_MS);
			advance (&room, step_ms);
			waited_ms += step_ms;
		}
		if (waited_ms != cases[i].stops_at_ms)
			fail_msg ("case %zu: %d ms", i, (int)waited_ms);
		room_close (&room);
	}
}

/* An urgent job that waits takes what comes free, and stops nothing. */
static void
test_waiting_job_takes_what_comes_free (void **state)
{
	(void)state;
	struct dff_core_options options = shape_options ();
	options.evict_delay_ms = 500;
	struct room room;
	room_open (&room, &options, 1);
	struct dff_job_spec bulk = spec_of ("bulk", 2, PER_RACK, ACCELERATORS);
	run (&room, &bulk);
	struct dff_job_spec spec = spec_of ("urgent", 0, 1, 1);
	const struct dff_objective objective = {1.5, 250, spec.declared_ms, spec.declared_ms, 0};
	spec.objective = &objective;
	submit (&room, &spec);
	advance (&room, 0);
	assert_null (worker_of (&room, "urgent"));
	send (&room, "bulk", DFF_EVENT_GANG_COMPLETED, 0);
	advance (&room, 100);
	assert_non_null (worker_of (&room, "urgent"));
	struct dff_core_stats stats;
	dff_core_get_stats (room.core, &stats);
	assert_int_equal (stats.preemptions, 0);
	assert_int_equal (stats.eviction_delays, 1);
	room_close (&room);
}

static double
cpu_ms (void)
{
	struct timespec time;
	clock_gettime (CLOCK_THREAD_CPUTIME_ID, &time);
	return (double)time.tv_sec * 1e3 + (double)time.tv_nsec / 1e6;
}

/* Returns: processor time of the placement of 300 single tasks of several sizes on 6,000 workers, a
 * part of them in use. */
static double
time_placement (bool by_shape)
{
	struct dff_core_options options = shape_options ();
	options.shape_order = by_shape;
	options.first_checkpoint_ms = by_shape ? 1000 : 0;
	struct room room;
	room_open (&room, &options, 1500);
	for (int32_t size = 1; size <= ACCELERATORS; size++) {
		g_autofree char *id = g_strdup_printf ("gang%d", size);
		struct dff_job_spec gang = spec_of (id, 1, 3 + size % 2, size);
		submit (&room, &gang);
	}
	record_urgent (&room, PER_RACK, 4);
	for (int i = 0; i < 300; i++) {
		g_autofree char *id = g_strdup_printf ("s%d", i);
		struct dff_job_spec spec = spec_of (id, 2, 1, 1 << (i % 4));
		spec.checkpoint = i % 2 == 0;
		submit (&room, &spec);
	}
	double begin = cpu_ms ();
	dff_core_tick (room.core, ++room.now_ms, room.commands);
	double took = cpu_ms () - begin;
	assert_int_equal (count_commands (&room, DFF_COMMAND_RECORD_START), 300);
	room_close (&room);
	return took;
}

/* Returns: processor time of the placement of an urgent gang on 6,000 workers, all of them full of
 * single tasks that may be stopped. */
static double
time_eviction (bool by_shape)
{
	struct dff_core_options options = shape_options ();
	options.shape_victims = by_shape;
	struct room room;
	room_open (&room, &options, 1500);
	for (int i = 0; i < 1500 * PER_RACK * 2; i++) {
		g_autofree char *id = g_strdup_printf ("s%d", i);
		struct dff_job_spec spec = spec_of (id, 2, 1, ACCELERATORS / 2);
		submit (&room, &spec);
	}
	dff_core_tick (room.core, room.now_ms, room.commands);
	assert_int_equal (count_commands (&room, DFF_COMMAND_RECORD_START), 1500 * PER_RACK * 2);
	struct dff_job_spec gang = spec_of ("gang", 0, PER_RACK, ACCELERATORS);
	submit (&room, &gang);
	double begin = cpu_ms ();
	dff_core_tick (room.core, ++room.now_ms, room.commands);
	double took = cpu_ms () - begin;
	struct dff_core_stats stats;
	dff_core_get_stats (room.core, &stats);
	assert_int_equal (stats.preemptions, 2 * PER_RACK);
	room_close (&room);
	return took;
}

/* Guards against a scan of all workers for each task: at 6,000 workers the tick would exceed its
 * processor time. The bound leaves room for a slow machine; it is compared with the time that the
 * same tick takes without the shapes. */
static void
test_large_pool (void **state)
{
	(void)state;
	double least = G_MAXDOUBLE, plain = G_MAXDOUBLE;
	for (int i = 0; i < 5; i++) {
		least = MIN (least, time_placement (true));
		plain = MIN (plain, time_placement (false));
	}
	print_message ("300 tasks on 6,000 workers: %.2f ms, without shapes %.2f ms\n", least,
		       plain);
	assert_true (least < 3.0 * plain + 5.0);
	least = time_eviction (true);
	plain = time_eviction (false);
	print_message ("an urgent gang on 6,000 full workers: %.2f ms, without shapes %.2f ms\n",
		       least, plain);
	assert_true (least < 3.0 * plain + 5.0);
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_candidates),
		cmocka_unit_test (test_order_of_urgent_gangs),
		cmocka_unit_test (test_full_pool),
		cmocka_unit_test (test_rack_that_loses_workers),
		cmocka_unit_test (test_victims),
		cmocka_unit_test (test_victim_that_has_saved),
		cmocka_unit_test (test_bulk_is_held),
		cmocka_unit_test (test_eviction_waits),
		cmocka_unit_test (test_waiting_job_takes_what_comes_free),
		cmocka_unit_test (test_large_pool),
	};
	return cmocka_run_group_tests_name ("core-shape-order", tests, NULL, NULL);
}
