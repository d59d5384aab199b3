#include "core_fixture.h"

#include <stdlib.h>
#include <string.h>

/* Jobs that may be late where they run, in a pool of one rack of eight workers with 8 accelerators
 * each. A gang of four takes a whole worker for each member. Its tasks take 10 s as declared. */

#define PER_RACK 8
#define TASK_MS INT64_C (10000)
#define MEMBERS 4
/** Peer group of the tasks of the step that "job" is of. */
#define STEP 7

struct run {
	struct dff_core *core;
	struct dff_pool pool;
	GArray *commands;
	int64_t now_ms;
	int32_t attempt;
	/** Workers of the last attempt of "job", and number of its attempts that were recorded. */
	struct dff_name workers[MEMBERS];
	int n_starts;
	/** Reason of the last stop, and of the last report; NULL: none. Number of reports. */
	const char *stopped;
	const char *reported;
	int n_reports;
};

static void
send_event (struct run *run, const struct dff_event *event)
{
	dff_core_handle_event (run->core, event, run->now_ms);
}

static void
note_start (struct run *run, const struct dff_command *command)
{
	if (strcmp (command->job.data, "job") != 0)
		return;
	run->n_starts++;
	run->attempt = command->attempt;
	for (guint i = 0; i < command->placements->len; i++)
		run->workers[i] =
			g_array_index (command->placements, struct dff_placement, i).worker;
}

static void
answer (struct run *run, const struct dff_command *command)
{
	static const enum dff_event_type answers[] = {
		[DFF_COMMAND_RECORD_START] = DFF_EVENT_ATTEMPT_RECORDED,
		[DFF_COMMAND_START_TASK] = DFF_EVENT_TASK_STARTED,
		[DFF_COMMAND_CHECKPOINT_TASK] = DFF_EVENT_TASK_CHECKPOINTED,
		[DFF_COMMAND_STOP_TASK] = DFF_EVENT_TASK_STOPPED,
		[DFF_COMMAND_RECORD_OUTCOME] = DFF_EVENT_OUTCOME_RECORDED,
	};
	if (command->type == DFF_COMMAND_RECORD_START)
		note_start (run, command);
	if (command->type == DFF_COMMAND_STOP_TASK)
		run->stopped = command->reason;
	if (command->type == DFF_COMMAND_REPORT_RESTART) {
		run->reported = command->reason;
		run->n_reports++;
	}
	if (command->type == DFF_COMMAND_RELEASE_TASK ||
	    command->type == DFF_COMMAND_RECORD_RETRY ||
	    command->type == DFF_COMMAND_REPORT_RESTART)
		return;
	struct dff_event event = {.type = answers[command->type],
				  .job = command->job,
				  .attempt = command->attempt,
				  .member = command->member,
				  .ran = true};
	send_event (run, &event);
}

/* Ticks until nothing more happens. */
static void
tick (struct run *run)
{
	for (int i = 0; i < 8; i++) {
		dff_core_tick (run->core, run->now_ms, run->commands);
		g_autoptr (GArray) commands = g_array_copy (run->commands);
		for (guint j = 0; j < commands->len; j++)
			answer (run, &g_array_index (commands, struct dff_command, j));
	}
	g_autofree char *broken = dff_core_check (run->core);
	if (broken != NULL)
		fail_msg ("%s", broken);
}

static void
run_open_with (struct run *run, bool restarts_late, int n_workers)
{
	*run = (struct run){.now_ms = 1000};
	struct dff_core_options options;
	dff_core_options_init (&options);
	options.retry_without_limit = true;
	options.restarts_late = restarts_late;
	options.checkpoint_loss_ms = 300;
	run->core = dff_core_new (&options);
	run->commands = g_array_new (FALSE, TRUE, sizeof (struct dff_command));
	fixture_pool_init (&run->pool, 1, n_workers, 8);
	fixture_pool_add_team (&run->pool, "a", 0, 0);
	dff_core_set_pool (run->core, &run->pool, run->now_ms);
	for (int i = 0; i < n_workers; i++) {
		struct dff_name name = dff_name_printf ("w%d", i);
		fixture_worker_state (run->core, name.data, DFF_WORKER_UP);
	}
}

static void
run_open (struct run *run, bool restarts_late)
{
	run_open_with (run, restarts_late, PER_RACK);
}

static void
run_close (struct run *run)
{
	dff_core_free (run->core);
	fixture_pool_clear (&run->pool);
	g_array_unref (run->commands);
}

/** Objective of 31 s. */
static const struct dff_objective normal = {3.0, 1000, TASK_MS, TASK_MS, 0};
/** Objective of 15.25 s. */
static const struct dff_objective urgent = {1.5, 250, TASK_MS, TASK_MS, 0};

static struct dff_job_spec
spec_of (const char *id, int gang, int accelerators)
{
	struct dff_job_spec spec = fixture_spec (id, gang, accelerators);
	spec.priority = 1;
	spec.checkpoint = false;
	spec.declared_ms = TASK_MS;
	spec.objective = &normal;
	return spec;
}

static void
submit (struct run *run, const struct dff_job_spec *spec)
{
	struct dff_event event = {.type = DFF_EVENT_JOB_SUBMITTED, .spec = spec};
	send_event (run, &event);
	tick (run);
}

/* Fills @n whole workers with work that is not restarted. */
static void
fill_workers (struct run *run, int n)
{
	for (int i = 0; i < n; i++) {
		g_autofree char *id = g_strdup_printf ("filler%d", i);
		struct dff_job_spec spec = fixture_spec (id, 1, 8);
		submit (run, &spec);
	}
}

static int32_t
progress_of (int64_t ran_ms, int64_t task_ms)
{
	return (int32_t)MIN (ran_ms * 100 / task_ms, 100);
}

/* Reports the pace of all members of "job" after @ran_ms; @task_ms: duration of each. */
static void
send_pace (struct run *run, int64_t ran_ms, const int64_t *task_ms, int gang)
{
	for (int i = 0; i < gang; i++) {
		struct dff_event event = {.type = DFF_EVENT_TASK_PACE,
					  .job = dff_name_from ("job"),
					  .attempt = run->attempt,
					  .member = i,
					  .percent = progress_of (ran_ms, task_ms[i]),
					  .duration_ms = task_ms[i],
					  .least_duration_ms = task_ms[i] * 9 / 10,
					  .peer_group = STEP};
		send_event (run, &event);
	}
	tick (run);
}

static bool
runs_on (const struct run *run, const struct dff_name *worker, int gang)
{
	for (int i = 0; i < gang; i++) {
		if (dff_name_equal (&run->workers[i], worker))
			return true;
	}
	return false;
}

struct slow_case {
	const char *name;
	int64_t task_ms[MEMBERS];
	/** Progress is reported after this time since the start, ms; 0: 5 s. */
	int64_t ran_ms;
	/** Reason that is reported; NULL: nothing is. */
	const char *reported;
	/** Number of whole workers that other work holds. */
	int n_filled;
	int32_t priority;
	bool no_objective;
	bool checkpoint;
	bool started_before;
	/** Whether a gang of the same priority waits. */
	bool competitor;
	bool off;
	bool restarted;
};

/* The pool has four free workers besides the gang's unless they are filled. */
static const struct slow_case slow_cases[] = {
	{.name = "one slow member, workers free",
	 .task_ms = {TASK_MS, TASK_MS, 7 * TASK_MS, TASK_MS},
	 .restarted = true,
	 .reported = "slow"},
	{.name = "one slow member, one worker free",
	 .task_ms = {TASK_MS, TASK_MS, 7 * TASK_MS, TASK_MS},
	 .n_filled = 3,
	 .restarted = true,
	 .reported = "slow"},
	{.name = "one slow member, no worker free",
	 .task_ms = {TASK_MS, TASK_MS, 7 * TASK_MS, TASK_MS},
	 .n_filled = 4,
	 .reported = "no_capacity"},
	{.name = "other work waits for the capacity",
	 .task_ms = {TASK_MS, TASK_MS, 7 * TASK_MS, TASK_MS},
	 .competitor = true,
	 .reported = "no_capacity"},
	{.name = "all workers run it slowly",
	 .task_ms = {7 * TASK_MS, 7 * TASK_MS, 7 * TASK_MS, 7 * TASK_MS}},
	{.name = "three of four run it slowly",
	 .task_ms = {7 * TASK_MS, 7 * TASK_MS, TASK_MS, 7 * TASK_MS}},
	{.name = "uneven tasks", .task_ms = {2 * TASK_MS, 4 * TASK_MS, 3 * TASK_MS, 5 * TASK_MS}},
	{.name = "in time although uneven", .task_ms = {TASK_MS, TASK_MS, 3 * TASK_MS, TASK_MS}},
	{.name = "too late elsewhere",
	 .task_ms = {TASK_MS, TASK_MS, 7 * TASK_MS, TASK_MS},
	 .ran_ms = 25000,
	 .reported = "late_elsewhere"},
	/* What a member has saved is known from its own report only, so the slow one is the last.
	 */
	{.name = "resumes from a checkpoint",
	 .task_ms = {TASK_MS, TASK_MS, TASK_MS, 7 * TASK_MS},
	 .ran_ms = 21500,
	 .checkpoint = true,
	 .restarted = true,
	 .reported = "slow"},
	{.name = "bulk", .task_ms = {TASK_MS, TASK_MS, 7 * TASK_MS, TASK_MS}, .priority = 2},
	{.name = "without an objective",
	 .task_ms = {TASK_MS, TASK_MS, 7 * TASK_MS, TASK_MS},
	 .no_objective = true},
	{.name = "started before",
	 .task_ms = {TASK_MS, TASK_MS, 7 * TASK_MS, TASK_MS},
	 .started_before = true},
	{.name = "switched off", .task_ms = {TASK_MS, TASK_MS, 7 * TASK_MS, TASK_MS}, .off = true},
};

/* Guards against a gang that runs to its late end beside free workers because of one slow member;
 * and against restarts that discard work and gain nothing. */
static void
test_slow_gang (void **state)
{
	const struct slow_case *at = *state;
	struct run run;
	run_open (&run, !at->off);
	fill_workers (&run, at->n_filled);
	struct dff_job_spec spec = spec_of ("job", MEMBERS, 8);
	spec.priority = at->priority > 0 ? at->priority : 1;
	spec.checkpoint = at->checkpoint;
	spec.started_before = at->started_before;
	if (at->no_objective)
		spec.objective = NULL;
	submit (&run, &spec);
	assert_int_equal (run.n_starts, 1);
	struct dff_name slow = run.workers[at->task_ms[3] > at->task_ms[2] ? 3 : 2];
	struct dff_job_spec waiting = spec_of ("waiting", 6, 8);
	if (at->competitor)
		submit (&run, &waiting);
	int64_t ran_ms = at->ran_ms > 0 ? at->ran_ms : 5000;
	run.now_ms += ran_ms;
	send_pace (&run, ran_ms, at->task_ms, MEMBERS);
	assert_int_equal (run.n_starts, at->restarted ? 2 : 1);
	assert_int_equal (run.stopped != NULL, at->restarted);
	if (at->restarted)
		assert_false (runs_on (&run, &slow, MEMBERS));
	assert_int_equal (run.n_reports, at->reported != NULL ? 1 : 0);
	if (at->reported != NULL)
		assert_string_equal (run.reported, at->reported);
	struct dff_core_stats stats;
	dff_core_get_stats (run.core, &stats);
	assert_int_equal (stats.start_failures, 0);
	assert_int_equal (stats.preemptions, at->restarted ? 1 : 0);
	run_close (&run);
}

static const int64_t one_slow[MEMBERS] = {TASK_MS, TASK_MS, 7 * TASK_MS, TASK_MS};

/* Guards against a gang that is restarted again and again, and against counting a restart as a
 * failed run. */
static void
test_restarted_once (void **state)
{
	(void)state;
	struct run run;
	run_open (&run, true);
	struct dff_job_spec spec = spec_of ("job", MEMBERS, 8);
	spec.max_attempts = 1;
	submit (&run, &spec);
	for (int i = 0; i < 4; i++) {
		run.now_ms += 4000;
		send_pace (&run, INT64_C (4000) * (i + 1), one_slow, MEMBERS);
	}
	assert_int_equal (run.n_starts, 2);
	assert_int_equal (dff_core_job_phase (run.core, &spec.id), DFF_JOB_PHASE_RUNNING);
	run_close (&run);
}

/* Guards against a report of kept units with each answer of a worker. */
static void
test_kept_is_reported_once (void **state)
{
	(void)state;
	struct run run;
	run_open (&run, true);
	fill_workers (&run, 4);
	struct dff_job_spec spec = spec_of ("job", MEMBERS, 8);
	submit (&run, &spec);
	for (int i = 0; i < 4; i++) {
		run.now_ms += 3000;
		send_pace (&run, INT64_C (3000) * (i + 1), one_slow, MEMBERS);
	}
	assert_int_equal (run.n_starts, 1);
	assert_int_equal (run.n_reports, 1);
	run_close (&run);
}

static void
recover (struct run *run, const struct dff_job_spec *spec)
{
	g_autoptr (GArray) placements = g_array_new (FALSE, TRUE, sizeof (struct dff_placement));
	g_autoptr (GArray) running = g_array_new (FALSE, TRUE, sizeof (bool));
	bool yes = true;
	for (int i = 0; i < spec->gang; i++) {
		struct dff_placement placement = {.worker = dff_name_printf ("w%d", i),
						  .accelerators = 0xff};
		g_array_append_val (placements, placement);
		g_array_append_val (running, yes);
	}
	struct dff_recovered_attempt recovered = {
		.attempt = 1, .open = true, .placements = placements, .running = running};
	struct dff_event event = {
		.type = DFF_EVENT_JOB_RECOVERED, .spec = spec, .recovered = &recovered};
	run->attempt = 1;
	send_event (run, &event);
	tick (run);
}

/* Guards against a storm of restarts after a takeover: the new holder knows nothing of the pace of
 * the runs that it finds, and not which of them were restarted. */
static void
test_takeover (void **state)
{
	(void)state;
	for (int started_before = 0; started_before < 2; started_before++) {
		struct run run;
		run_open (&run, true);
		struct dff_objective objective = normal;
		objective.age_ms = 8000;
		struct dff_job_spec spec = spec_of ("job", MEMBERS, 8);
		spec.objective = &objective;
		spec.started_before = started_before != 0;
		recover (&run, &spec);
		/* The first reports show how far the tasks are, and nothing of their pace. */
		for (int i = 0; i < MEMBERS; i++) {
			struct dff_event event = {.type = DFF_EVENT_TASK_PACE,
						  .job = spec.id,
						  .attempt = 1,
						  .member = i,
						  .percent = i == 2 ? 11 : 80};
			send_event (&run, &event);
		}
		tick (&run);
		assert_null (run.stopped);
		run.now_ms += 2000;
		send_pace (&run, 10000, one_slow, MEMBERS);
		assert_int_equal (run.n_starts, started_before != 0 ? 0 : 1);
		run_close (&run);
	}
}

static void
send_duration (struct run *run, int worker, uint64_t step, int64_t duration_ms)
{
	struct dff_event event = {.type = DFF_EVENT_TASK_DURATION,
				  .worker = dff_name_printf ("w%d", worker),
				  .peer_group = step,
				  .duration_ms = duration_ms};
	send_event (run, &event);
}

/* Guards against keeping a single task that takes several times as long as the others of its step,
 * and against restarting one that is simply long, whatever its caller has declared. */
static void
test_single_task (void **state)
{
	(void)state;
	static const struct {
		int64_t peer_ms;
		int n_peers;
		bool restarted;
	} cases[] = {
		{TASK_MS, 4, true},  {7 * TASK_MS, 4, false}, {4 * TASK_MS, 4, false},
		{TASK_MS, 2, false}, {0, 0, false},
	};
	static const int64_t long_ms = 7 * TASK_MS;
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct run run;
		run_open (&run, true);
		struct dff_job_spec spec = spec_of ("job", 1, 8);
		submit (&run, &spec);
		for (int j = 0; j < cases[i].n_peers; j++)
			send_duration (&run, 2 + j, STEP, cases[i].peer_ms);
		run.now_ms += 8000;
		send_pace (&run, 8000, &long_ms, 1);
		assert_int_equal (run.n_starts, cases[i].restarted ? 2 : 1);
		run_close (&run);
	}
}

/** Workers of which a third each takes 1.6, 1.0 and 0.6 times as long, in this order, and number of
 * steps of tasks from which that is learned. */
#define UNLIKE_WORKERS 18
#define STEPS 6
static const int64_t unlike_ms[] = {16 * TASK_MS / 10, TASK_MS, 6 * TASK_MS / 10};

static bool
is_slow (const struct dff_name *worker)
{
	return atoi (worker->data + 1) < UNLIKE_WORKERS / 3;
}

static void
learn_speeds (struct run *run)
{
	for (uint64_t step = 100; step < 100 + STEPS; step++) {
		for (int i = 0; i < UNLIKE_WORKERS; i++)
			send_duration (run, i, step, unlike_ms[i * 3 / UNLIKE_WORKERS]);
		run->now_ms += 1000;
		tick (run);
	}
}

static void
end_filler (struct run *run, int number)
{
	struct dff_event event = {.type = DFF_EVENT_JOB_CANCELLED,
				  .job = dff_name_printf ("filler%d", number)};
	send_event (run, &event);
	tick (run);
}

/* Guards against a gang that runs to its late end on workers that are known to be slow, where fast
 * ones have come free since; and against a restart that ends on slow workers again. */
static void
test_known_slow_workers (void **state)
{
	(void)state;
	static const int64_t slow_ms[2] = {16 * TASK_MS / 10, 16 * TASK_MS / 10};
	static const struct dff_objective tight = {1.4, 250, TASK_MS, TASK_MS, 0};
	for (int n_freed = 0; n_freed <= 2; n_freed += 2) {
		struct run run;
		run_open_with (&run, true, UNLIKE_WORKERS);
		fill_workers (&run, UNLIKE_WORKERS);
		learn_speeds (&run);
		for (int i = 0; i < 2; i++)
			end_filler (&run, i);
		struct dff_job_spec spec = spec_of ("job", 2, 8);
		spec.objective = &tight;
		submit (&run, &spec);
		assert_int_equal (run.n_starts, 1);
		assert_true (is_slow (&run.workers[0]) && is_slow (&run.workers[1]));
		/* Slow workers and fast ones come free. */
		end_filler (&run, 2);
		end_filler (&run, 3);
		for (int i = 0; i < n_freed; i++)
			end_filler (&run, UNLIKE_WORKERS - 1 - i);
		run.now_ms += 1500;
		send_pace (&run, 1500, slow_ms, 2);
		assert_int_equal (run.n_starts, n_freed > 0 ? 2 : 1);
		assert_int_equal (is_slow (&run.workers[0]) || is_slow (&run.workers[1]),
				  n_freed == 0);
		run_close (&run);
	}
}

struct standing_case {
	const char *name;
	/** Time for which members stand, and time since the start, ms. */
	int64_t standing_ms;
	int64_t ran_ms;
	/** Number of members, and of those that stand. */
	int gang;
	int n_standing;
	int n_filled;
	int32_t priority;
	/** Whether the whole worker stands, and whether the tasks have not progressed at all. */
	bool worker_stands;
	bool since_start;
	/** Whether the objective is that of urgent work. */
	bool urgent;
	bool restarted;
};

static const struct standing_case standing_cases[] = {
	{.name = "an urgent task stands still",
	 .gang = 1,
	 .n_standing = 1,
	 .standing_ms = 1000,
	 .ran_ms = 2200,
	 .urgent = true,
	 .restarted = true},
	{.name = "the same on a worker where all tasks stand still",
	 .gang = 1,
	 .n_standing = 1,
	 .standing_ms = 1000,
	 .ran_ms = 2200,
	 .worker_stands = true,
	 .urgent = true,
	 .restarted = true},
	{.name = "a standstill too short to show",
	 .gang = 1,
	 .n_standing = 1,
	 .standing_ms = 700,
	 .ran_ms = 2200,
	 .urgent = true},
	{.name = "may still start",
	 .standing_ms = 1300,
	 .ran_ms = 1400,
	 .gang = 1,
	 .n_standing = 1,
	 .since_start = true,
	 .urgent = true},
	{.name = "no progress since the start",
	 .standing_ms = 1500,
	 .ran_ms = 2200,
	 .gang = 1,
	 .n_standing = 1,
	 .since_start = true,
	 .urgent = true,
	 .restarted = true},
	{.name = "no free worker",
	 .gang = 1,
	 .n_standing = 1,
	 .standing_ms = 1000,
	 .ran_ms = 2200,
	 .n_filled = 7,
	 .urgent = true},
	{.name = "enough slack to wait",
	 .gang = 1,
	 .n_standing = 1,
	 .standing_ms = 1000,
	 .ran_ms = 2200},
	{.name = "bulk",
	 .gang = 1,
	 .n_standing = 1,
	 .standing_ms = 15000,
	 .ran_ms = 18500,
	 .priority = 2},
	{.name = "the slack has run out",
	 .gang = 1,
	 .n_standing = 1,
	 .standing_ms = 15000,
	 .ran_ms = 18500,
	 .restarted = true},
	{.name = "a member of a gang",
	 .gang = MEMBERS,
	 .n_standing = 1,
	 .standing_ms = 1000,
	 .ran_ms = 2200,
	 .urgent = true,
	 .restarted = true},
	{.name = "all members of a gang",
	 .gang = MEMBERS,
	 .n_standing = MEMBERS,
	 .standing_ms = 1000,
	 .ran_ms = 2200,
	 .urgent = true},
};

static void
send_standing (struct run *run, int member, const struct standing_case *at)
{
	struct dff_event event = {.type = DFF_EVENT_TASK_STANDING,
				  .job = dff_name_from ("job"),
				  .attempt = run->attempt,
				  .member = member,
				  .standing_ms = at->standing_ms,
				  .next_report_ms = 2000,
				  .standing_since_start = at->since_start,
				  .worker_stands = at->worker_stands,
				  .gang_progresses = at->n_standing < at->gang};
	send_event (run, &event);
	tick (run);
}

/* Guards against urgent work that waits on a worker without progress until it is late. */
static void
test_standing (void **state)
{
	const struct standing_case *at = *state;
	static const int64_t even[MEMBERS] = {TASK_MS, TASK_MS, TASK_MS, TASK_MS};
	struct run run;
	run_open (&run, true);
	fill_workers (&run, at->n_filled);
	struct dff_job_spec spec = spec_of ("job", at->gang, 8);
	spec.urgent = at->urgent;
	spec.priority = at->urgent ? 0 : MAX (at->priority, 1);
	spec.objective = at->urgent ? &urgent : &normal;
	submit (&run, &spec);
	assert_int_equal (run.n_starts, 1);
	struct dff_name stood = run.workers[0];
	run.now_ms += at->ran_ms - at->standing_ms;
	if (!at->since_start)
		send_pace (&run, 1200, even, at->gang);
	run.now_ms += at->standing_ms;
	for (int i = 0; i < at->n_standing; i++)
		send_standing (&run, i, at);
	assert_int_equal (run.n_starts, at->restarted ? 2 : 1);
	if (at->restarted) {
		assert_false (runs_on (&run, &stood, at->gang));
		assert_string_equal (run.stopped, "standing");
	}
	struct dff_core_stats stats;
	dff_core_get_stats (run.core, &stats);
	assert_int_equal (stats.workers_quarantined, at->worker_stands ? 1 : 0);
	run_close (&run);
}

/* Guards against a second restart by the next holder: it finds a run that its predecessor had
 * ordered to stop, and starts the job again. */
static void
test_stopped_by_former_holder (void **state)
{
	(void)state;
	struct run run;
	run_open (&run, true);
	struct dff_job_spec spec = spec_of ("job", MEMBERS, 8);
	recover (&run, &spec);
	struct dff_event stopped = {
		.type = DFF_EVENT_TASK_STOPPED, .job = spec.id, .attempt = 1, .ran = true};
	send_event (&run, &stopped);
	tick (&run);
	assert_int_equal (run.n_starts, 1);
	run.now_ms += 4000;
	send_pace (&run, 4000, one_slow, MEMBERS);
	assert_int_equal (run.n_starts, 1);
	run_close (&run);
}

/* Guards against blaming a worker twice, or not at all, for a failure after a restart: a worker
 * that was left for being slow is not one on which the job has failed. */
static void
test_failure_after_restart (void **state)
{
	(void)state;
	struct run run;
	run_open (&run, true);
	struct dff_job_spec spec = spec_of ("job", MEMBERS, 8);
	submit (&run, &spec);
	run.now_ms += 4000;
	send_pace (&run, 4000, one_slow, MEMBERS);
	assert_int_equal (run.n_starts, 2);
	struct dff_event failed = {.type = DFF_EVENT_TASK_FAILED,
				   .job = spec.id,
				   .attempt = run.attempt,
				   .member = 1,
				   .ran = true};
	run.now_ms += 4000;
	send_event (&run, &failed);
	tick (&run);
	run.now_ms += 2000;
	tick (&run);
	assert_int_equal (run.n_starts, 3);
	run.now_ms += 4000;
	send_pace (&run, 4000, one_slow, MEMBERS);
	assert_int_equal (run.n_starts, 3);
	run_close (&run);
}

int
main (void)
{
	struct CMUnitTest tests[G_N_ELEMENTS (slow_cases) + G_N_ELEMENTS (standing_cases) + 7] = {
		cmocka_unit_test (test_restarted_once),
		cmocka_unit_test (test_kept_is_reported_once),
		cmocka_unit_test (test_takeover),
		cmocka_unit_test (test_failure_after_restart),
		cmocka_unit_test (test_single_task),
		cmocka_unit_test (test_known_slow_workers),
		cmocka_unit_test (test_stopped_by_former_holder),
	};
	size_t n = 7;
	for (size_t i = 0; i < G_N_ELEMENTS (slow_cases); i++) {
		tests[n++] = (struct CMUnitTest){.name = slow_cases[i].name,
						 .test_func = test_slow_gang,
						 .initial_state = (void *)&slow_cases[i]};
	}
	for (size_t i = 0; i < G_N_ELEMENTS (standing_cases); i++) {
		tests[n++] = (struct CMUnitTest){.name = standing_cases[i].name,
						 .test_func = test_standing,
						 .initial_state = (void *)&standing_cases[i]};
	}
	return cmocka_run_group_tests (tests, NULL, NULL);
}
