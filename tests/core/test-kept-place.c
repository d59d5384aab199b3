#include <string.h>
#include <time.h>

#include "core_fixture.h"

/* A gang that loses a member: how soon and where it is placed again, and who may use the workers
 * that its other members leave. Racks of two workers with eight accelerators each; every task takes
 * a whole worker. */

#define PER_RACK 2
#define ACCELERATORS 8
/** Time from the end of the last member for which a place is kept, ms. */
#define KEPT_MS 1000
/** Backoff after a first failure that is not attributed to a worker, ms. */
#define FIRST_BACKOFF_MS 500
/** Time of running after which a failure is not early any more, ms. */
#define LATE_MS 20000
/** Time that the stop of a member takes, ms. */
#define STOP_MS 200

struct play {
	struct dff_core *core;
	struct dff_pool pool;
	GArray *commands;
	int64_t now_ms;
};

static void
play_open (struct play *play, int n_racks)
{
	struct dff_core_options options;
	dff_core_options_init (&options);
	options.early_failure_share = 0.1;
	options.retry_by_cause = true;
	options.keep_places = true;
	options.headroom_decay_ms = 10000;
	*play = (struct play){.core = dff_core_new (&options), .now_ms = 1000};
	play->commands = g_array_new (FALSE, TRUE, sizeof (struct dff_command));
	fixture_pool_init (&play->pool, n_racks, PER_RACK, ACCELERATORS);
	fixture_pool_add_team (&play->pool, "a", 0, 0);
	fixture_pool_add_team (&play->pool, "b", 1, ACCELERATORS);
	dff_core_set_pool (play->core, &play->pool, play->now_ms);
	for (int i = 0; i < n_racks * PER_RACK; i++) {
		g_autofree char *worker = g_strdup_printf ("w%d", i);
		fixture_worker_state (play->core, worker, DFF_WORKER_UP);
	}
}

static void
play_close (struct play *play)
{
	dff_core_free (play->core);
	fixture_pool_clear (&play->pool);
	g_array_unref (play->commands);
}

static struct dff_job_spec
whole_workers (const char *id, int gang)
{
	struct dff_job_spec spec = fixture_spec (id, gang, ACCELERATORS);
	spec.adjacency = DFF_ADJACENCY_NONE;
	return spec;
}

static void
submit (struct play *play, const struct dff_job_spec *spec)
{
	struct dff_event event = {.type = DFF_EVENT_JOB_SUBMITTED, .spec = spec};
	dff_core_handle_event (play->core, &event, play->now_ms);
}

static void
report (struct play *play, enum dff_event_type type, const char *id, int attempt, int member)
{
	struct dff_event event = {.type = type,
				  .job = dff_name_from (id),
				  .attempt = attempt,
				  .member = member,
				  .ran = true};
	dff_core_handle_event (play->core, &event, play->now_ms);
}

static void
append_start (const struct dff_command *command, GString *out)
{
	g_string_append_printf (out, " %s@", command->job.data);
	for (guint i = 0; i < command->placements->len; i++) {
		g_string_append_printf (
			out, "%s%s", i > 0 ? "," : "",
			g_array_index (command->placements, struct dff_placement, i).worker.data);
	}
	if (command->n_kept_tasks > 0)
		g_string_append_printf (out, "/%d", command->n_kept_tasks);
}

/* Advances the time and ticks once. Returns: the commands about records and stops, in order:
 * " JOB@WORKER,WORKER/KEPT" a start, " JOB:stop", " JOB:retry CAUSE BACKOFF", " JOB:end". */
static GString *
advance (struct play *play, int64_t ms)
{
	GString *out = g_string_new (NULL);
	play->now_ms += ms;
	dff_core_tick (play->core, play->now_ms, play->commands);
	for (guint i = 0; i < play->commands->len; i++) {
		const struct dff_command *at =
			&g_array_index (play->commands, struct dff_command, i);
		if (at->type == DFF_COMMAND_RECORD_START)
			append_start (at, out);
		if (at->type == DFF_COMMAND_STOP_TASK)
			g_string_append_printf (out, " %s:stop", at->job.data);
		if (at->type == DFF_COMMAND_RECORD_RETRY) {
			g_string_append_printf (out, " %s:retry %s %d", at->job.data,
						dff_retry_cause_name (at->retry.cause),
						(int)at->backoff_ms);
		}
		if (at->type == DFF_COMMAND_RECORD_OUTCOME)
			g_string_append_printf (out, " %s:end", at->job.data);
	}
	g_autofree char *broken = dff_core_check (play->core);
	if (broken != NULL)
		fail_msg ("%s", broken);
	return out;
}

static void
expect (struct play *play, int64_t ms, const char *commands)
{
	g_autoptr (GString) got = advance (play, ms);
	if (strcmp (got->str, commands) != 0)
		fail_msg ("at %d: \"%s\" instead of \"%s\"", (int)play->now_ms, got->str, commands);
}

/* Answers the record and the starts of an attempt. */
static void
run_attempt (struct play *play, const char *id, int attempt, int gang)
{
	report (play, DFF_EVENT_ATTEMPT_RECORDED, id, attempt, 0);
	expect (play, 0, "");
	for (int i = 0; i < gang; i++)
		report (play, DFF_EVENT_TASK_STARTED, id, attempt, i);
	expect (play, 0, "");
}

/* Runs a gang to its end on two workers, so that runs like those of the other jobs are known to
 * complete elsewhere than on any one worker. */
static void
complete_one (struct play *play)
{
	struct dff_job_spec spec = whole_workers ("first", 2);
	submit (play, &spec);
	expect (play, 0, " first@w0,w1");
	run_attempt (play, "first", 1, 2);
	play->now_ms += 60000;
	for (int i = 0; i < 2; i++)
		report (play, DFF_EVENT_TASK_COMPLETED, "first", 1, i);
	expect (play, 0, " first:end");
	report (play, DFF_EVENT_OUTCOME_RECORDED, "first", 1, 0);
}

/* Runs a job of one task. */
static void
occupy (struct play *play, const char *id, const char *start)
{
	struct dff_job_spec spec = whole_workers (id, 1);
	submit (play, &spec);
	expect (play, 0, start);
	run_attempt (play, id, 1, 1);
}

/* A gang on w0, w1, ... loses its first member, and the failure is not attributed to w0. */
static void
lose_first_member (struct play *play, struct dff_job_spec *gang, const char *start)
{
	submit (play, gang);
	expect (play, 0, start);
	run_attempt (play, gang->id.data, 1, gang->gang);
	play->now_ms += LATE_MS;
	report (play, DFF_EVENT_TASK_FAILED, gang->id.data, 1, 0);
}

/* Guards against blaming a worker because runs have completed on that very worker: they show
 * nothing about other workers. */
static void
test_attribution_needs_runs_elsewhere (void **state)
{
	(void)state;
	struct play play;
	play_open (&play, 1);
	fixture_worker_state (play.core, "w1", DFF_WORKER_DOWN);
	struct dff_job_spec first = whole_workers ("first", 1);
	submit (&play, &first);
	expect (&play, 0, " first@w0");
	run_attempt (&play, "first", 1, 1);
	play.now_ms += 60000;
	report (&play, DFF_EVENT_TASK_COMPLETED, "first", 1, 0);
	expect (&play, 0, " first:end");
	occupy (&play, "x", " x@w0");
	report (&play, DFF_EVENT_TASK_FAILED, "x", 1, 0);
	expect (&play, 300, " x:retry job 500");
	play_close (&play);
}

/* Guards against a gang that waits because of a faulty worker: the other member is stopped in the
 * tick in which the failure is known, and the next attempt is decided in the tick in which that
 * member has ended, elsewhere. */
static void
test_failing_worker_does_not_delay (void **state)
{
	(void)state;
	struct play play;
	play_open (&play, 2);
	complete_one (&play);
	struct dff_job_spec gang = whole_workers ("g", 2);
	submit (&play, &gang);
	expect (&play, 0, " g@w0,w1");
	run_attempt (&play, "g", 1, 2);
	play.now_ms += 300;
	report (&play, DFF_EVENT_TASK_FAILED, "g", 1, 0);
	expect (&play, 0, " g:stop");
	play.now_ms += STOP_MS;
	report (&play, DFF_EVENT_TASK_STOPPED, "g", 1, 1);
	g_autoptr (GString) got = advance (&play, 0);
	assert_true (g_str_has_prefix (got->str, " g:retry worker 0 g@"));
	assert_null (strstr (got->str, "w0"));
	play_close (&play);
}

/* Guards against blaming a worker for work that fails on its own: before any such work has
 * completed, an early failure is attributed to the worker only if other work fails there too. */
static void
test_attribution_needs_other_runs (void **state)
{
	(void)state;
	static const char *const retries[] = {" one:retry job 500", " two:retry worker 0"};
	struct play play;
	play_open (&play, 1);
	occupy (&play, "x", " x@w0");
	const char *const ids[] = {"one", "two"};
	for (size_t i = 0; i < G_N_ELEMENTS (ids); i++) {
		struct dff_job_spec spec = whole_workers (ids[i], 1);
		spec.per_task.accelerators = ACCELERATORS / 2;
		submit (&play, &spec);
		g_autoptr (GString) start = g_string_new (" ");
		g_string_append_printf (start, "%s@w1", ids[i]);
		expect (&play, 0, start->str);
		run_attempt (&play, ids[i], 1, 1);
	}
	for (size_t i = 0; i < G_N_ELEMENTS (ids); i++) {
		report (&play, DFF_EVENT_TASK_FAILED, ids[i], 1, 0);
		expect (&play, 0, retries[i]);
	}
	play_close (&play);
}

/* Guards against a gang that fails wherever it runs and uses up capacity in a tight loop. From the
 * second failure on there is a wait, and it never has more failed attempts than it is allowed. */
static void
test_no_tight_loop (void **state)
{
	(void)state;
	struct play play;
	play_open (&play, 4);
	complete_one (&play);
	struct dff_job_spec gang = whole_workers ("g", 2);
	static const struct dff_objective objective = {1.5, 250, 60000, 60000, 0};
	gang.urgent = true;
	gang.objective = &objective;
	gang.max_attempts = 4;
	submit (&play, &gang);
	g_string_free (advance (&play, 0), TRUE);
	static const struct {
		const char *retry;
		int wait_ms;
	} cases[] = {{" g:retry worker 0 g@", 0},
		     {" g:retry job 1000", 1000},
		     {" g:retry job 2000", 2000},
		     {" g:end", 0}};
	for (int i = 0; i < (int)G_N_ELEMENTS (cases); i++) {
		run_attempt (&play, "g", i + 1, 2);
		report (&play, DFF_EVENT_TASK_FAILED, "g", i + 1, 0);
		expect (&play, 0, " g:stop");
		report (&play, DFF_EVENT_TASK_STOPPED, "g", i + 1, 1);
		g_autoptr (GString) got = advance (&play, 0);
		assert_true (g_str_has_prefix (got->str, cases[i].retry));
		if (cases[i].wait_ms == 0)
			continue;
		expect (&play, cases[i].wait_ms - 1, "");
		g_autoptr (GString) start = advance (&play, 1);
		assert_true (g_str_has_prefix (start->str, " g@"));
	}
	play_close (&play);
}

/* Guards against counting a gang more than once when several members fail one after the other. */
static void
test_several_members_fail (void **state)
{
	(void)state;
	struct play play;
	play_open (&play, 2);
	struct dff_job_spec gang = whole_workers ("g", 3);
	lose_first_member (&play, &gang, " g@w0,w1,w2");
	expect (&play, 0, " g:stop g:stop");
	report (&play, DFF_EVENT_TASK_FAILED, "g", 1, 1);
	expect (&play, 100, "");
	report (&play, DFF_EVENT_TASK_FAILED, "g", 1, 2);
	expect (&play, 100, " g:retry job 500");
	const struct dff_command *retry = &g_array_index (play.commands, struct dff_command, 0);
	assert_int_equal (retry->retry.failures, 1);
	assert_int_equal (retry->n_kept_tasks, 0);
	play_close (&play);
}

/* Guards against blaming workers for tasks that fail because they lost another task of their gang,
 * however long they ran or soon after the start. The worker of the second member stays in use. */
static void
test_failure_after_another_end (void **state)
{
	(void)state;
	static const struct {
		const char *name;
		const char *retry;
		/** How the first member ends, how long after the start, and how long after that the
		 * second one fails. */
		enum dff_event_type first;
		int ran_ms;
		int later_ms;
		int quarantined;
	} cases[] = {
		{"lost late", " g:retry job 500", DFF_EVENT_TASK_LOST, LATE_MS, 100, 0},
		{"lost early", " g:retry job 500", DFF_EVENT_TASK_LOST, 300, 100, 0},
		{"failed late", " g:retry job 500", DFF_EVENT_TASK_FAILED, LATE_MS, 100, 0},
		{"failed early", " g:retry worker 0", DFF_EVENT_TASK_FAILED, 300, 100, 1},
		{"both at once", " g:retry worker 0", DFF_EVENT_TASK_FAILED, 300, 0, 1},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct play play;
		play_open (&play, 2);
		complete_one (&play);
		struct dff_job_spec gang = whole_workers ("g", 2);
		submit (&play, &gang);
		expect (&play, 0, " g@w0,w1");
		run_attempt (&play, "g", 1, 2);
		play.now_ms += cases[i].ran_ms;
		report (&play, cases[i].first, "g", 1, 0);
		expect (&play, 0, " g:stop");
		play.now_ms += cases[i].later_ms;
		report (&play, DFF_EVENT_TASK_FAILED, "g", 1, 1);
		g_autoptr (GString) got = advance (&play, 0);
		if (!g_str_has_prefix (got->str, cases[i].retry))
			fail_msg ("%s: \"%s\"", cases[i].name, got->str);
		struct dff_core_stats stats;
		dff_core_get_stats (play.core, &stats);
		if (stats.workers_quarantined != cases[i].quarantined)
			fail_msg ("%s: %d in quarantine", cases[i].name,
				  (int)stats.workers_quarantined);
		play_close (&play);
	}
}

/* Guards against a failure that counts as early although the run was long, because the attempt is
 * being stopped or saves a checkpoint when the task fails. */
static void
test_late_failure_while_stopping (void **state)
{
	(void)state;
	static const enum dff_event_type orders[] = {DFF_EVENT_TASK_CHECKPOINTED,
						     DFF_EVENT_TASK_FAILED};
	for (size_t i = 0; i < G_N_ELEMENTS (orders); i++) {
		struct play play;
		play_open (&play, 1);
		complete_one (&play);
		occupy (&play, "y", " y@w0");
		occupy (&play, "x", " x@w1");
		play.now_ms += LATE_MS;
		struct dff_job_spec urgent = whole_workers ("p", 2);
		urgent.urgent = true;
		submit (&play, &urgent);
		g_string_free (advance (&play, 0), TRUE);
		report (&play, orders[i], "x", 1, 0);
		g_string_free (advance (&play, 0), TRUE);
		report (&play, DFF_EVENT_TASK_FAILED, "x", 1, 0);
		g_string_free (advance (&play, 0), TRUE);
		struct dff_core_stats stats;
		dff_core_get_stats (play.core, &stats);
		assert_int_equal (stats.preemptions, 2);
		assert_int_equal (stats.workers_quarantined, 0);
		play_close (&play);
	}
}

/* Guards against other work taking the workers that a gang's members leave one after the other. It
 * gets the one on which the member failed, and others that come free. */
static void
test_next_attempt_uses_place (void **state)
{
	(void)state;
	struct play play;
	play_open (&play, 2);
	struct dff_job_spec gang = whole_workers ("g", 2);
	submit (&play, &gang);
	expect (&play, 0, " g@w0,w1");
	run_attempt (&play, "g", 1, 2);
	occupy (&play, "x", " x@w2");
	occupy (&play, "y", " y@w3");
	static const char *const waiting[] = {"p", "q"};
	for (size_t i = 0; i < G_N_ELEMENTS (waiting); i++) {
		struct dff_job_spec spec = whole_workers (waiting[i], 1);
		spec.team = dff_name_from ("b");
		submit (&play, &spec);
	}
	expect (&play, LATE_MS, "");
	report (&play, DFF_EVENT_TASK_FAILED, "g", 1, 0);
	expect (&play, 0, " g:stop p@w0");
	report (&play, DFF_EVENT_TASK_STOPPED, "g", 1, 1);
	expect (&play, STOP_MS, " g:retry job 500");
	report (&play, DFF_EVENT_TASK_COMPLETED, "x", 1, 0);
	expect (&play, 0, " x:end q@w2");
	report (&play, DFF_EVENT_TASK_COMPLETED, "y", 1, 0);
	expect (&play, FIRST_BACKOFF_MS, " y:end g@w1,w3/1");
	play_close (&play);
}

enum release {
	DFF_RELEASE_TIME,
	DFF_RELEASE_CANCEL,
	DFF_RELEASE_CANCEL_STOPPING,
};

/* A gang of three on w0, w1 and w2 loses its first member; w0 and w3 are taken, and "p" waits. */
static void
check_release (enum release release)
{
	struct play play;
	play_open (&play, 2);
	struct dff_job_spec gang = whole_workers ("g", 3);
	lose_first_member (&play, &gang, " g@w0,w1,w2");
	expect (&play, 0, " g:stop g:stop");
	occupy (&play, "x", " x@w0");
	occupy (&play, "y", " y@w3");
	struct dff_job_spec waiting = whole_workers ("p", 1);
	submit (&play, &waiting);
	report (&play, DFF_EVENT_TASK_STOPPED, "g", 1, 1);
	expect (&play, STOP_MS, "");
	if (release == DFF_RELEASE_CANCEL_STOPPING) {
		report (&play, DFF_EVENT_JOB_CANCELLED, "g", 1, 0);
		expect (&play, 0, " p@w1");
		play_close (&play);
		return;
	}
	report (&play, DFF_EVENT_TASK_STOPPED, "g", 1, 2);
	expect (&play, 0, " g:retry job 500");
	if (release == DFF_RELEASE_CANCEL) {
		report (&play, DFF_EVENT_JOB_CANCELLED, "g", 1, 0);
		expect (&play, 0, " g:end p@w1");
	} else {
		expect (&play, KEPT_MS - 1, "");
		expect (&play, 1, " p@w1");
	}
	play_close (&play);
}

/* Guards against workers that stay idle for a gang that is cancelled, or is not placed in time. */
static void
test_place_is_released (void **state)
{
	(void)state;
	check_release (DFF_RELEASE_TIME);
	check_release (DFF_RELEASE_CANCEL);
	check_release (DFF_RELEASE_CANCEL_STOPPING);
}

/* Guards against workers that stay idle because one member of the gang does not answer. */
static void
test_place_is_released_when_stop_hangs (void **state)
{
	(void)state;
	struct play play;
	play_open (&play, 2);
	struct dff_job_spec gang = whole_workers ("g", 3);
	lose_first_member (&play, &gang, " g@w0,w1,w2");
	expect (&play, 0, " g:stop g:stop");
	occupy (&play, "x", " x@w0");
	occupy (&play, "y", " y@w3");
	struct dff_job_spec waiting = whole_workers ("p", 1);
	submit (&play, &waiting);
	report (&play, DFF_EVENT_TASK_STOPPED, "g", 1, 1);
	expect (&play, 1999, "");
	expect (&play, 1, " p@w1");
	report (&play, DFF_EVENT_TASK_STOPPED, "g", 1, 2);
	expect (&play, 0, " g:retry job 500");
	play_close (&play);
}

/* Guards against work of other teams that waits for a kept place although it has a right to the
 * accelerators, and against a place that anybody may take. */
static void
test_who_takes_kept_place (void **state)
{
	(void)state;
	static const struct {
		const char *name;
		const char *team;
		/** Accelerators that both teams are assured of. */
		int32_t assured;
		bool gang_is_urgent;
		bool urgent;
		bool guaranteed;
		bool starts;
	} cases[] = {
		{"same team", "a", 0, false, false, false, false},
		{"other team", "b", 0, false, false, false, false},
		{"urgent", "b", 0, false, true, false, true},
		{"urgent against urgent", "b", 0, true, true, false, false},
		{"assured", "b", ACCELERATORS, true, true, false, true},
		{"assured, same team", "a", 3 * ACCELERATORS, true, true, false, false},
		{"guaranteed", "b", 0, true, false, true, true},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct play play;
		play_open (&play, 1);
		for (guint j = 0; j < play.pool.teams->len; j++)
			g_array_index (play.pool.teams, struct dff_team, j).assured_accelerators =
				cases[i].assured;
		dff_core_set_pool (play.core, &play.pool, play.now_ms);
		struct dff_job_spec gang = whole_workers ("g", 2);
		gang.urgent = cases[i].gang_is_urgent;
		lose_first_member (&play, &gang, " g@w0,w1");
		expect (&play, 0, " g:stop");
		occupy (&play, "x", " x@w0");
		report (&play, DFF_EVENT_TASK_STOPPED, "g", 1, 1);
		expect (&play, STOP_MS, " g:retry job 500");
		struct dff_job_spec taker = whole_workers ("p", 1);
		taker.team = dff_name_from (cases[i].team);
		taker.urgent = cases[i].urgent;
		taker.guaranteed = cases[i].guaranteed;
		submit (&play, &taker);
		g_autoptr (GString) got = advance (&play, 0);
		if ((strcmp (got->str, " p@w1") == 0) != cases[i].starts)
			fail_msg ("%s: \"%s\"", cases[i].name, got->str);
		play_close (&play);
	}
}

/* Guards against a team's assured work that is skipped because work of the keeper's own team, alike
 * and ranked before it, may not take the kept place. */
static void
test_other_team_is_tried_after_own (void **state)
{
	(void)state;
	struct play play;
	play_open (&play, 1);
	for (guint j = 0; j < play.pool.teams->len; j++)
		g_array_index (play.pool.teams, struct dff_team, j).assured_accelerators =
			4 * ACCELERATORS;
	dff_core_set_pool (play.core, &play.pool, play.now_ms);
	struct dff_job_spec gang = whole_workers ("g", 2);
	gang.urgent = true;
	lose_first_member (&play, &gang, " g@w0,w1");
	expect (&play, 0, " g:stop");
	struct dff_job_spec occupant = whole_workers ("x", 1);
	occupant.urgent = true;
	submit (&play, &occupant);
	expect (&play, 0, " x@w0");
	run_attempt (&play, "x", 1, 1);
	report (&play, DFF_EVENT_TASK_STOPPED, "g", 1, 1);
	expect (&play, STOP_MS, " g:retry job 500");
	struct dff_job_spec own = whole_workers ("p", 1);
	own.urgent = true;
	/* Shorter work is ranked first. */
	own.declared_ms = 5000;
	submit (&play, &own);
	struct dff_job_spec other = whole_workers ("q", 1);
	other.team = dff_name_from ("b");
	other.urgent = true;
	submit (&play, &other);
	expect (&play, 0, " q@w1");
	play_close (&play);
}

/** Pool, gangs and queued work of test_cost_of_many_kept_places(). */
#define LARGE_RACKS 3000
#define LARGE_GANGS 120
#define LARGE_GANG 40
#define LARGE_TAKERS 4
/** Limit of the processor time of one tick, ms. */
#define TICK_MAX_MS 30

static double
processor_ms (void)
{
	return (double)clock () * 1000.0 / CLOCKS_PER_SEC;
}

/* Starts the gangs on all workers that are up, and lets the first member of each fail. */
static void
keep_many_places (struct play *play)
{
	for (int i = 0; i < LARGE_GANGS; i++) {
		struct dff_name id = dff_name_printf ("g%d", i);
		struct dff_job_spec gang = whole_workers (id.data, LARGE_GANG);
		submit (play, &gang);
	}
	g_string_free (advance (play, 0), TRUE);
	play->now_ms += LATE_MS;
	for (int i = 0; i < LARGE_GANGS; i++) {
		struct dff_name id = dff_name_printf ("g%d", i);
		report (play, DFF_EVENT_ATTEMPT_RECORDED, id.data, 1, 0);
		for (int j = 0; j < LARGE_GANG; j++)
			report (play, DFF_EVENT_TASK_STARTED, id.data, 1, j);
		report (play, DFF_EVENT_TASK_FAILED, id.data, 1, 0);
		for (int j = 1; j < LARGE_GANG; j++)
			report (play, DFF_EVENT_TASK_STOPPED, id.data, 1, j);
	}
}

/* Guards against a search for a place whose cost grows with the number of kept places and their
 * members: with 6,000 workers and places for dozens of gangs, a tick in which wide gangs of another
 * team find no place takes a few milliseconds. */
static void
test_cost_of_many_kept_places (void **state)
{
	(void)state;
	struct play play;
	play_open (&play, LARGE_RACKS);
	for (int i = LARGE_GANGS * LARGE_GANG; i < LARGE_RACKS * PER_RACK; i++) {
		g_autofree char *worker = g_strdup_printf ("w%d", i);
		fixture_worker_state (play.core, worker, DFF_WORKER_DOWN);
	}
	keep_many_places (&play);
	/* The gangs wait for their backoff: no place is used meanwhile. */
	double worst_ms = 0.0;
	for (int i = 0; i < LARGE_TAKERS; i++) {
		struct dff_name id = dff_name_printf ("p%d", i);
		struct dff_job_spec taker = whole_workers (id.data, 4 * LARGE_GANG + i);
		taker.team = dff_name_from ("b");
		submit (&play, &taker);
		double before_ms = processor_ms ();
		dff_core_tick (play.core, play.now_ms, play.commands);
		worst_ms = MAX (worst_ms, processor_ms () - before_ms);
	}
	struct dff_core_stats stats;
	dff_core_get_stats (play.core, &stats);
	print_message ("kept places: %d, processor time of a tick: %.1f ms\n",
		       (int)stats.kept_places, worst_ms);
	assert_int_equal (stats.kept_places, LARGE_GANGS);
	assert_int_equal (stats.kept_places_used, 0);
	assert_true (worst_ms < TICK_MAX_MS);
	play_close (&play);
}

/* Guards against the loss of a kept place that is not in the way: urgent work takes a worker whose
 * accelerators other work holds, and the kept task needs none. */
static void
test_place_that_is_not_in_the_way (void **state)
{
	(void)state;
	struct play play;
	play_open (&play, 1);
	struct dff_job_spec gang = whole_workers ("g", 2);
	gang.per_task.accelerators = 0;
	gang.spread_group = dff_name_from ("s");
	gang.per_worker = 1;
	submit (&play, &gang);
	expect (&play, 0, " g@w0,w1");
	run_attempt (&play, "g", 1, 2);
	static const char *const occupants[] = {"y", "x"};
	static const char *const starts[] = {" y@w0", " x@w1"};
	for (size_t i = 0; i < G_N_ELEMENTS (occupants); i++) {
		struct dff_job_spec spec = whole_workers (occupants[i], 1);
		spec.checkpoint = false;
		submit (&play, &spec);
		expect (&play, 0, starts[i]);
		run_attempt (&play, occupants[i], 1, 1);
		play.now_ms += LATE_MS;
	}
	report (&play, DFF_EVENT_TASK_FAILED, "g", 1, 0);
	expect (&play, 0, " g:stop");
	report (&play, DFF_EVENT_TASK_STOPPED, "g", 1, 1);
	expect (&play, 0, " g:retry job 500");
	struct dff_job_spec urgent = whole_workers ("p", 1);
	urgent.team = dff_name_from ("b");
	urgent.urgent = true;
	submit (&play, &urgent);
	/* Less work is lost with x than with y. */
	expect (&play, 0, " x:stop");
	report (&play, DFF_EVENT_TASK_STOPPED, "x", 1, 0);
	expect (&play, STOP_MS, " x:retry none 0 p@w1");
	expect (&play, FIRST_BACKOFF_MS - STOP_MS, " g@w0,w1/1");
	struct dff_core_stats stats;
	dff_core_get_stats (play.core, &stats);
	assert_int_equal (stats.kept_places_lost, 0);
	play_close (&play);
}

/* Guards against one kept task that opens a whole worker of the headroom to its gang: the gang gets
 * no more of such a worker than is kept there for it. */
static void
test_headroom_beside_kept_place (void **state)
{
	(void)state;
	static const char *const occupants[] = {"x1", "x2", "y1", "y2", "v1", "v2", "z"};
	static const char *const gone[] = {"y2", "v1", "v2"};
	struct play play;
	play_open (&play, 2);
	for (size_t i = 0; i < G_N_ELEMENTS (occupants); i++) {
		struct dff_job_spec spec = whole_workers (occupants[i], 1);
		spec.per_task.accelerators = ACCELERATORS / 2;
		spec.urgent = true;
		submit (&play, &spec);
		g_string_free (advance (&play, 0), TRUE);
		run_attempt (&play, occupants[i], 1, 1);
	}
	for (size_t i = 0; i < G_N_ELEMENTS (gone); i++)
		report (&play, DFF_EVENT_TASK_COMPLETED, gone[i], 1, 0);
	expect (&play, 0, " y2:end v1:end v2:end");
	struct dff_job_spec gang = whole_workers ("g", 4);
	gang.per_task.accelerators = ACCELERATORS / 2;
	gang.priority = 2;
	submit (&play, &gang);
	expect (&play, 0, " g@w1,w3,w2,w2");
	run_attempt (&play, "g", 1, 4);
	/* Work of the highest priority that waits: w2 and w3 become its headroom. */
	struct dff_job_spec waiting = whole_workers ("p", 4);
	waiting.region = dff_name_from ("region0");
	waiting.weight = 0.001;
	submit (&play, &waiting);
	expect (&play, LATE_MS, "");
	report (&play, DFF_EVENT_TASK_FAILED, "g", 1, 2);
	expect (&play, 0, " g:stop g:stop g:stop");
	report (&play, DFF_EVENT_TASK_STOPPED, "g", 1, 0);
	report (&play, DFF_EVENT_TASK_STOPPED, "g", 1, 1);
	report (&play, DFF_EVENT_TASK_STOPPED, "g", 1, 3);
	expect (&play, STOP_MS, " g:retry job 500");
	report (&play, DFF_EVENT_TASK_COMPLETED, "x1", 1, 0);
	report (&play, DFF_EVENT_TASK_COMPLETED, "z", 1, 0);
	/* One task fits on w0, w1 and w3 each. */
	expect (&play, FIRST_BACKOFF_MS, " x1:end z:end");
	report (&play, DFF_EVENT_TASK_COMPLETED, "x2", 1, 0);
	expect (&play, 0, " x2:end g@w1,w0,w0,w3/2");
	play_close (&play);
}

/* Guards against other work, which waited longer, taking the place of a gang that lost a member
 * with its worker. The gang is queued without a wait and placed where its other member ran. */
static void
test_lost_member (void **state)
{
	(void)state;
	struct play play;
	play_open (&play, 2);
	struct dff_job_spec gang = whole_workers ("g", 2);
	submit (&play, &gang);
	expect (&play, 0, " g@w0,w1");
	run_attempt (&play, "g", 1, 2);
	occupy (&play, "x", " x@w2");
	occupy (&play, "y", " y@w3");
	struct dff_job_spec waiting = whole_workers ("p", 1);
	waiting.team = dff_name_from ("b");
	submit (&play, &waiting);
	expect (&play, LATE_MS, "");
	fixture_worker_state (play.core, "w0", DFF_WORKER_DOWN);
	report (&play, DFF_EVENT_TASK_LOST, "g", 1, 0);
	expect (&play, 0, " g:stop");
	report (&play, DFF_EVENT_TASK_STOPPED, "g", 1, 1);
	expect (&play, STOP_MS, " g:retry lost 0");
	const struct dff_command *retry = &g_array_index (play.commands, struct dff_command, 0);
	assert_int_equal (retry->n_kept_tasks, 1);
	report (&play, DFF_EVENT_TASK_COMPLETED, "x", 1, 0);
	expect (&play, 0, " x:end p@w2");
	report (&play, DFF_EVENT_TASK_COMPLETED, "y", 1, 0);
	expect (&play, 0, " y:end g@w1,w3/1");
	play_close (&play);
}

/* Guards against a reservation that takes a kept place, and a kept place that delays a reserved
 * job. */
static void
test_place_beside_reservation (void **state)
{
	(void)state;
	struct play play;
	play_open (&play, 2);
	struct dff_job_spec gang = whole_workers ("g", 2);
	gang.urgent = true;
	submit (&play, &gang);
	expect (&play, 0, " g@w0,w1");
	run_attempt (&play, "g", 1, 2);
	struct dff_job_spec occupant = whole_workers ("x", 2);
	occupant.checkpoint = false;
	submit (&play, &occupant);
	expect (&play, 0, " x@w2,w3");
	run_attempt (&play, "x", 1, 2);
	struct dff_job_spec urgent = whole_workers ("p", 2);
	urgent.team = dff_name_from ("b");
	urgent.urgent = true;
	submit (&play, &urgent);
	expect (&play, LATE_MS, " x:stop x:stop");
	report (&play, DFF_EVENT_TASK_FAILED, "g", 1, 0);
	expect (&play, 0, " g:stop");
	report (&play, DFF_EVENT_TASK_STOPPED, "g", 1, 1);
	expect (&play, 0, " g:retry job 500");
	report (&play, DFF_EVENT_TASK_STOPPED, "x", 1, 0);
	report (&play, DFF_EVENT_TASK_STOPPED, "x", 1, 1);
	expect (&play, STOP_MS, " x:retry none 0 p@w2,w3");
	expect (&play, FIRST_BACKOFF_MS - STOP_MS, " g@w0,w1/1");
	play_close (&play);
}

/* A takeover between the failure and the next attempt: the new core knows the number of failed
 * attempts on record, and the next failure counts as the second. */
static void
test_takeover_before_next_attempt (void **state)
{
	(void)state;
	struct play play;
	play_open (&play, 2);
	struct dff_job_spec gang = whole_workers ("g", 2);
	gang.max_attempts = 2;
	gang.failures_before = 1;
	struct dff_recovered_attempt recovered = {.attempt = 1};
	struct dff_event event = {
		.type = DFF_EVENT_JOB_RECOVERED, .spec = &gang, .recovered = &recovered};
	dff_core_handle_event (play.core, &event, play.now_ms);
	expect (&play, 0, " g@w0,w1");
	run_attempt (&play, "g", 2, 2);
	play.now_ms += LATE_MS;
	report (&play, DFF_EVENT_TASK_FAILED, "g", 2, 0);
	expect (&play, 0, " g:stop");
	report (&play, DFF_EVENT_TASK_STOPPED, "g", 2, 1);
	expect (&play, 0, " g:retry job 1000");
	play_close (&play);
}

/* A store that refuses the record of the next attempt: the job is placed again after a wait, and
 * nothing stays reserved. */
static void
test_refused_record_of_next_attempt (void **state)
{
	(void)state;
	struct play play;
	play_open (&play, 2);
	complete_one (&play);
	struct dff_job_spec gang = whole_workers ("g", 2);
	submit (&play, &gang);
	expect (&play, 0, " g@w0,w1");
	run_attempt (&play, "g", 1, 2);
	report (&play, DFF_EVENT_TASK_FAILED, "g", 1, 0);
	expect (&play, 0, " g:stop");
	report (&play, DFF_EVENT_TASK_STOPPED, "g", 1, 1);
	g_autoptr (GString) got = advance (&play, STOP_MS);
	assert_true (g_str_has_prefix (got->str, " g:retry worker 0 g@"));
	report (&play, DFF_EVENT_ATTEMPT_REFUSED, "g", 2, 0);
	expect (&play, 0, "");
	g_autoptr (GString) again = advance (&play, 250);
	assert_true (g_str_has_prefix (again->str, " g@"));
	assert_null (strstr (again->str, "w0"));
	play_close (&play);
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_failing_worker_does_not_delay),
		cmocka_unit_test (test_attribution_needs_other_runs),
		cmocka_unit_test (test_attribution_needs_runs_elsewhere),
		cmocka_unit_test (test_no_tight_loop),
		cmocka_unit_test (test_several_members_fail),
		cmocka_unit_test (test_failure_after_another_end),
		cmocka_unit_test (test_late_failure_while_stopping),
		cmocka_unit_test (test_next_attempt_uses_place),
		cmocka_unit_test (test_place_is_released),
		cmocka_unit_test (test_place_is_released_when_stop_hangs),
		cmocka_unit_test (test_who_takes_kept_place),
		cmocka_unit_test (test_other_team_is_tried_after_own),
		cmocka_unit_test (test_lost_member),
		cmocka_unit_test (test_place_beside_reservation),
		cmocka_unit_test (test_place_that_is_not_in_the_way),
		cmocka_unit_test (test_headroom_beside_kept_place),
		cmocka_unit_test (test_cost_of_many_kept_places),
		cmocka_unit_test (test_takeover_before_next_attempt),
		cmocka_unit_test (test_refused_record_of_next_attempt),
	};
	return cmocka_run_group_tests_name ("core-kept-place", tests, NULL, NULL);
}
