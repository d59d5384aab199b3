#include "tests/holder/site.h"

#include <stdlib.h>
#include <string.h>

/* Random jobs, cancellations and faults by seed, in no order: processes killed and started, stores
 * that are silent, refuse, lose or delay writes for some processes, workers cut off, reborn, hung,
 * late; in the plays with paths, also processes that others do not hear, and workers that one
 * process alone reaches or does not; in the plays with
 * relays, calls to workers through other processes; in the plays with links, rows of jobs and
 * questions about states through the process that decides; in the plays with evacuations, operators
 * that empty data centres and take them back, with no start there from five seconds on; in the
 * plays with failures, gangs that fail and holders that are killed around each record and
 * acknowledgement of it; in the plays with crashes, tasks that crash the workers that start them;
 * in the plays with lives, workers that start again under the ids that they had;
 * in the plays with rooms, workers whose room shrinks and grows, and that start what they have no
 * room for. The workers notice what must never happen; after the faults every accepted job has to
 * end as it should. DFF_SEED_FIRST and DFF_SEED_COUNT play others by hand, DFF_SEED_LOG shows what
 * is decided, DFF_SEED_TEST names one of the tests. */

/** Seeds that have failed: 1295, a gang that had completed was started again when the worker of one
 * member was lost before its end was heard. 2109, a task that had ended on a worker cut off was
 * started elsewhere after the worker's lease had lapsed, and its end acknowledged later: allowed,
 * as the lapse came between; the stand-in had counted lapses only while something ran. */
static const guint failed_seeds[] = {1295, 2109};

/** The same with paths: 5, a job was given up as one that crashes its workers: all workers had come
 * back at once, and the starts that were on their way to their former lives counted against it. */
static const guint failed_seeds_with_paths[] = {5};

/** The same with relays: 1189, a failed run's end was heard after its worker, cut off for ten
 * seconds, had been given up and its lease had lapsed, and did not count: allowed, as for an end
 * of work that is done; the stand-in had counted it. */
static const guint failed_seeds_with_relays[] = {1189};

/** The same with failures: 8, a gang was started after its last attempt, as the row did not tell
 * that the open run had failed; 130, its first failure counted twice; 148 and 187, a failure did
 * not count, as another member's start had no answer yet. */
static const guint failed_seeds_with_failures[] = {8, 130, 148, 187};

/** The same with rooms: all five, a worker got more than it had room for, as the process that
 * decides had not heard for long that its room had shrunk. */
static const guint failed_seeds_with_rooms[] = {122, 129, 251, 297, 299};

/** The same with lives: 40, a failed run did not count, as the worker's next life was asked to
 * forget ends by a number of the one before. */
static const guint failed_seeds_with_lives[] = {40};

#define SEED_FIRST 1
#define SEED_COUNT 6
/** Steps of a play, and the time between two, ms. */
#define STEPS 60
#define STEP_MS 300
/** Time in which everything ends after the faults, ms: less than what has ended is kept for. */
#define SETTLE_MS 90000
/** Jobs at most: each id is used once. */
#define JOBS_MAX 40
/** Tasks of a job at most. */
#define TASKS_MAX 4

enum variant {
	DFF_PLAY_PLAIN,
	/** Paths between machines break too. */
	DFF_PLAY_PATHS,
	/** The same, with calls to workers through relays, which fall silent too. */
	DFF_PLAY_RELAYS,
	/** Rows of jobs and questions about states go through the process that decides. */
	DFF_PLAY_LINKS,
	/** Operators empty data centres and take them back. */
	DFF_PLAY_EVACUATIONS,
	/** Gangs fail, and little goes wrong but with the holder, its store and its lists. */
	DFF_PLAY_FAILURES,
	/** Some tasks crash the workers that start them. */
	DFF_PLAY_CRASHES,
	/** Workers' room shrinks and grows, and they start what they have no room for. */
	DFF_PLAY_ROOMS,
	/** Workers start again under their ids, and paths between machines break. */
	DFF_PLAY_LIVES,
};

struct play {
	struct site site;
	GRand *rand;
	int n_jobs;
	/** Jobs that were given up though it was others that crashed their workers. */
	int n_unlucky;
	enum variant variant;
	/** Elements: char *: jobs whose cancellation was confirmed, or may have taken effect. */
	GPtrArray *cancelled;
};

static int
pick (struct play *play, int count)
{
	return g_rand_int_range (play->rand, 0, count);
}

static int
pick_live (struct play *play)
{
	int first = pick (play, SITE_PROCESSES);
	for (int i = 0; i < SITE_PROCESSES; i++) {
		if (play->site.processes[(first + i) % SITE_PROCESSES].alive)
			return (first + i) % SITE_PROCESSES;
	}
	return -1;
}

struct job_kind {
	char kind;
	bool gang;
	int32_t count;
	int32_t accelerators;
};

static const struct job_kind mixed_kinds[] = {
	{'a', false, 4, 1}, {'1', false, 3, 1}, {'2', true, 3, SITE_ACCELERATORS},
	{'3', false, 1, 1}, {'4', false, 2, 1}, {'5', true, 2, 4},
};

static const struct job_kind crashing_kinds[] = {
	{'a', false, 4, 1}, {'1', false, 3, 1},
	{'4', false, 2, 1}, {'5', true, 2, 4},
	{'a', false, 1, 1}, {'x', false, 1, 1},
	{'z', false, 1, 1}, {'y', true, 2, SITE_ACCELERATORS},
};

static const struct job_kind failing_kinds[] = {
	{'8', true, 2, SITE_ACCELERATORS},
	{'9', true, 2, SITE_ACCELERATORS},
	{'3', false, 1, 1},
};

static void
submit (struct play *play)
{
	int process = pick_live (play);
	if (process < 0 || play->n_jobs == JOBS_MAX)
		return;
	const struct job_kind *kinds = mixed_kinds;
	int n_kinds = G_N_ELEMENTS (mixed_kinds);
	if (play->variant == DFF_PLAY_FAILURES) {
		kinds = failing_kinds;
		n_kinds = G_N_ELEMENTS (failing_kinds);
	} else if (play->variant == DFF_PLAY_CRASHES) {
		kinds = crashing_kinds;
		n_kinds = G_N_ELEMENTS (crashing_kinds);
	}
	const struct job_kind *kind = &kinds[pick (play, n_kinds)];
	g_autofree char *id = g_strdup_printf ("%cj%d", kind->kind, play->n_jobs++);
	struct dff_plan *plan = site_plan (id, kind->count, kind->gang, kind->accelerators);
	plan->priority = pick (play, 3);
	site_submit (&play->site, process, plan);
}

static void
cancel (struct play *play)
{
	int process = pick_live (play);
	if (process < 0 || play->site.accepted->len == 0)
		return;
	const char *id =
		g_ptr_array_index (play->site.accepted, pick (play, (int)play->site.accepted->len));
	enum dff_front_outcome outcome = site_cancel (&play->site, process, id);
	if (outcome == DFF_FRONT_OK || outcome == DFF_FRONT_UNKNOWN)
		g_ptr_array_add (play->cancelled, g_strdup (id));
}

static void
break_process (struct play *play)
{
	int process = pick (play, SITE_PROCESSES);
	if (play->site.processes[process].alive)
		site_kill_process (&play->site, process);
	else
		site_start_process (&play->site, process);
}

static void
break_store (struct play *play)
{
	int process = pick_live (play);
	if (process < 0)
		return;
	struct dff_memory_rows_faults *faults =
		dff_memory_rows_client_faults (play->site.processes[process].rows);
	memset (faults, 0, sizeof (*faults));
	switch (pick (play, 6)) {
	case 0:
		faults->silent = true;
		return;
	case 1:
		faults->refuses = true;
		return;
	case 2:
		faults->lost_permille = 400;
		return;
	case 3:
		faults->late_permille = 400;
		faults->late_ms = 100 + pick (play, 4000);
		return;
	case 4:
		faults->feeds_held = true;
		return;
	default:
		faults->delay_ms = 50 + pick (play, 300);
		return;
	}
}

static void
heal_stores (struct play *play)
{
	for (int i = 0; i < SITE_PROCESSES; i++) {
		if (play->site.processes[i].alive)
			memset (dff_memory_rows_client_faults (play->site.processes[i].rows), 0,
				sizeof (struct dff_memory_rows_faults));
	}
}

static void
break_worker (struct play *play)
{
	int index = pick (play, SITE_WORKERS);
	struct dff_memory_worker_faults *faults = play->site.workers[index];
	*faults = (struct dff_memory_worker_faults){.no_starts_from_ms = faults->no_starts_from_ms};
	switch (pick (play, 8)) {
	case 0:
		faults->drops_calls = true;
		return;
	case 1:
		faults->drops_answers = true;
		return;
	case 2:
		faults->hung = true;
		return;
	case 3:
		faults->late_orders = 1 + pick (play, 4);
		faults->late_ms = 500 + pick (play, 8000);
		return;
	case 4:
		site_reborn_worker (&play->site, index);
		return;
	case 5:
		site_list_worker (&play->site, index, true, true);
		return;
	case 6:
		site_list_worker (&play->site, index, false, false);
		return;
	default:
		faults->refuses = true;
		return;
	}
}

static void
heal_workers (struct play *play)
{
	for (int i = 0; i < SITE_WORKERS; i++) {
		site_hold_entries_back (&play->site, i, false);
		memset (play->site.workers[i], 0, sizeof (struct dff_memory_worker_faults));
		/* A worker that was said to leave has left; another comes. */
		site_reborn_worker (&play->site, i);
	}
}

static void
break_path (struct play *play)
{
	int process = pick_live (play);
	if (process < 0)
		return;
	int worker = pick (play, SITE_WORKERS);
	if (play->variant == DFF_PLAY_RELAYS && pick (play, 2) == 0) {
		site_silence_relay (&play->site, process);
		return;
	}
	switch (pick (play, 4)) {
	case 0:
		play->site.processes[process].unheard = true;
		return;
	case 1:
		site_cut_worker_from (&play->site, worker, process, true);
		return;
	case 2:
		/* This process alone reaches it. */
		for (int i = 0; i < SITE_PROCESSES; i++) {
			if (play->site.processes[i].alive)
				site_cut_worker_from (&play->site, worker, i, i != process);
		}
		return;
	default:
		/* It reaches this worker alone, and no store. */
		for (int i = 0; i < SITE_WORKERS; i++)
			site_cut_worker_from (&play->site, i, process, i != worker);
		play->site.processes[process].unheard = true;
		dff_memory_rows_client_faults (play->site.processes[process].rows)->silent = true;
		return;
	}
}

static void
heal_paths (struct play *play)
{
	for (int i = 0; i < SITE_PROCESSES; i++) {
		play->site.processes[i].unheard = false;
		for (int j = 0; j < SITE_WORKERS && play->site.processes[i].alive; j++)
			site_cut_worker_from (&play->site, j, i, false);
	}
}

static void
step_paths (struct play *play)
{
	int what = pick (play, 100);
	if (what < 25)
		break_path (play);
	else if (what < 32)
		heal_paths (play);
}

/* The holder's answers from the store are lost, its writes late, or lists of workers do not reach
 * it; then it is killed. */
static void
break_holder (struct play *play)
{
	int holder = site_holder (&play->site);
	if (holder < 0)
		return;
	struct dff_memory_rows_faults *faults =
		dff_memory_rows_client_faults (play->site.processes[holder].rows);
	switch (pick (play, 3)) {
	case 0:
		faults->lost_permille = 1000;
		break;
	case 1:
		faults->late_permille = 1000;
		faults->late_ms = 10 + pick (play, 1000);
		break;
	default:
		break;
	}
	site_run (&play->site, pick (play, STEP_MS));
	site_kill_process (&play->site, holder);
	site_run (&play->site, pick (play, STEP_MS));
	site_start_process (&play->site, holder);
}

static void
step_failures (struct play *play)
{
	int what = pick (play, 100);
	struct dff_memory_worker_faults *worker = play->site.workers[pick (play, SITE_WORKERS)];
	if (what < 40)
		submit (play);
	else if (what < 60)
		break_holder (play);
	else if (what < 75)
		worker->drops_answers = !worker->drops_answers;
	else if (what < 80)
		worker->answer_ms = pick (play, 400);
	else if (what < 85)
		site_reborn_worker (&play->site, pick (play, SITE_WORKERS));
	site_run (&play->site, pick (play, STEP_MS));
}

static void
step_evacuations (struct play *play)
{
	int what = pick (play, 100);
	int data_centre = pick (play, SITE_DATA_CENTRES);
	if (what < 12)
		site_evacuate (&play->site, data_centre, true);
	else if (what < 22)
		site_evacuate (&play->site, data_centre, false);
	else if (what < 26)
		dff_memory_rows_drop_history (play->site.rows);
}

static void
step_rooms (struct play *play)
{
	int what = pick (play, 100);
	int worker = pick (play, SITE_WORKERS);
	if (what < 15)
		site_resize_worker (&play->site, worker, pick (play, SITE_ACCELERATORS));
	else if (what < 22)
		site_resize_worker (&play->site, worker, SITE_ACCELERATORS);
}

static void
step_lives (struct play *play)
{
	int what = pick (play, 100);
	int worker = pick (play, SITE_WORKERS);
	struct dff_memory_worker_faults faults = *play->site.workers[worker];
	if (what < 10)
		site_hold_entries_back (&play->site, worker, pick (play, 2) == 0);
	else if (what < 30)
		site_reborn_worker (&play->site, worker);
	/* Behind a cut, and with what is on its way to it. */
	if (what >= 10 && what < 20)
		*play->site.workers[worker] = faults;
}

static void
step (struct play *play)
{
	if (play->variant == DFF_PLAY_ROOMS)
		step_rooms (play);
	if (play->variant == DFF_PLAY_EVACUATIONS)
		step_evacuations (play);
	if (play->variant == DFF_PLAY_LIVES)
		step_lives (play);
	if (play->variant == DFF_PLAY_PATHS || play->variant == DFF_PLAY_RELAYS ||
	    play->variant == DFF_PLAY_LIVES)
		step_paths (play);
	int what = pick (play, 100);
	if (what < 40)
		submit (play);
	else if (what < 46)
		cancel (play);
	else if (what < 56)
		break_process (play);
	else if (what < 70)
		break_store (play);
	else if (what < 78)
		heal_stores (play);
	else if (what < 90)
		break_worker (play);
	else if (what < 94)
		dff_memory_rows_drop_history (play->site.rows);
	site_run (&play->site, pick (play, STEP_MS));
}

static bool
is_cancelled (const struct play *play, const char *id)
{
	for (guint i = 0; i < play->cancelled->len; i++) {
		if (strcmp (g_ptr_array_index (play->cancelled, i), id) == 0)
			return true;
	}
	return false;
}

/* Whether two workers or more have crashed under a task of a job, which may be given up then. */
static bool
has_crashed_workers (const struct play *play, const char *id)
{
	for (int i = 0; i < TASKS_MAX; i++) {
		g_autofree char *task = g_strdup_printf ("%s.0.0.%d", id, i);
		if (dff_memory_runner_n_incarnations_ended (play->site.runner, task) >= 2)
			return true;
	}
	return false;
}

static void
check_end (struct play *play, guint seed, const char *id)
{
	const char *wanted = strchr ("39xyz", id[0]) != NULL ? "failed" : "completed";
	const char *state = site_state (&play->site, 0, id);
	if (strcmp (state, wanted) == 0)
		return;
	bool crash = play->variant == DFF_PLAY_CRASHES || play->variant == DFF_PLAY_LIVES;
	if (crash && strcmp (state, "failed") == 0 && has_crashed_workers (play, id)) {
		play->n_unlucky++;
		return;
	}
	/* The answer to a cancellation may have been lost. */
	if (strcmp (state, "cancelled") == 0 && is_cancelled (play, id))
		return;
	fail_msg ("seed %u: job %s is %s, not %s", seed, id, state, wanted);
}

static void
play_seed (guint seed, enum variant variant)
{
	struct play play = {.rand = g_rand_new_with_seed (seed),
			    .variant = variant,
			    .cancelled = g_ptr_array_new_with_free_func (g_free)};
	if (variant == DFF_PLAY_RELAYS)
		site_open_with_relays (&play.site);
	else if (variant == DFF_PLAY_LINKS)
		site_open_with_links (&play.site);
	else if (variant == DFF_PLAY_EVACUATIONS)
		site_open_with_evacuations (&play.site);
	else if (variant == DFF_PLAY_ROOMS)
		site_open_unguarded (&play.site);
	else if (variant == DFF_PLAY_LIVES)
		site_open_with_same_ids (&play.site, seed % 2 == 0);
	else
		site_open (&play.site);
	dff_memory_rows_seed (play.site.rows, seed);
	for (int i = 0; i < STEPS; i++) {
		if (variant == DFF_PLAY_FAILURES)
			step_failures (&play);
		else
			step (&play);
	}
	heal_stores (&play);
	heal_paths (&play);
	for (int i = 0; i < SITE_PROCESSES; i++) {
		if (!play.site.processes[i].alive)
			site_start_process (&play.site, i);
	}
	heal_workers (&play);
	for (int i = 0; variant == DFF_PLAY_EVACUATIONS && i < SITE_DATA_CENTRES; i++)
		site_evacuate (&play.site, i, false);
	site_run (&play.site, SETTLE_MS);
	for (guint i = 0; i < play.site.accepted->len; i++)
		check_end (&play, seed, g_ptr_array_index (play.site.accepted, i));
	site_run (&play.site, 20000);
	assert_int_equal (dff_memory_runner_n_active (play.site.runner), 0);
	const char *violation = dff_memory_runner_violation (play.site.runner);
	if (violation != NULL)
		fail_msg ("seed %u: %s", seed, violation);
	if (play.n_unlucky > 0)
		print_message ("seed %u: %d of %u jobs given up for what others did\n", seed,
			       play.n_unlucky, play.site.accepted->len);
	site_close (&play.site);
	g_rand_free (play.rand);
	g_ptr_array_unref (play.cancelled);
}

static guint
number_from (const char *name, guint otherwise)
{
	const char *text = getenv (name);
	return text != NULL ? (guint)strtoul (text, NULL, 10) : otherwise;
}

static void
play_seeds (enum variant variant)
{
	guint first = number_from ("DFF_SEED_FIRST", SEED_FIRST);
	guint count = number_from ("DFF_SEED_COUNT", SEED_COUNT);
	for (guint seed = first; seed < first + count; seed++)
		play_seed (seed, variant);
}

static void
test_seeds (void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS (failed_seeds); i++)
		play_seed (failed_seeds[i], DFF_PLAY_PLAIN);
	play_seeds (DFF_PLAY_PLAIN);
}

static void
test_seeds_with_paths (void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS (failed_seeds_with_paths); i++)
		play_seed (failed_seeds_with_paths[i], DFF_PLAY_PATHS);
	play_seeds (DFF_PLAY_PATHS);
}

static void
test_seeds_with_relays (void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS (failed_seeds_with_relays); i++)
		play_seed (failed_seeds_with_relays[i], DFF_PLAY_RELAYS);
	play_seeds (DFF_PLAY_RELAYS);
}

static void
test_seeds_with_links (void **state)
{
	(void)state;
	play_seeds (DFF_PLAY_LINKS);
}

static void
test_seeds_with_evacuations (void **state)
{
	(void)state;
	play_seeds (DFF_PLAY_EVACUATIONS);
}

static void
test_seeds_with_failures (void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS (failed_seeds_with_failures); i++)
		play_seed (failed_seeds_with_failures[i], DFF_PLAY_FAILURES);
	play_seeds (DFF_PLAY_FAILURES);
}

static void
test_seeds_with_crashes (void **state)
{
	(void)state;
	play_seeds (DFF_PLAY_CRASHES);
}

static void
test_seeds_with_rooms (void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS (failed_seeds_with_rooms); i++)
		play_seed (failed_seeds_with_rooms[i], DFF_PLAY_ROOMS);
	play_seeds (DFF_PLAY_ROOMS);
}

static void
test_seeds_with_lives (void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS (failed_seeds_with_lives); i++)
		play_seed (failed_seeds_with_lives[i], DFF_PLAY_LIVES);
	play_seeds (DFF_PLAY_LIVES);
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_seeds),
		cmocka_unit_test (test_seeds_with_paths),
		cmocka_unit_test (test_seeds_with_relays),
		cmocka_unit_test (test_seeds_with_links),
		cmocka_unit_test (test_seeds_with_evacuations),
		cmocka_unit_test (test_seeds_with_failures),
		cmocka_unit_test (test_seeds_with_crashes),
		cmocka_unit_test (test_seeds_with_rooms),
		cmocka_unit_test (test_seeds_with_lives),
	};
	site_tests_begin (tests, G_N_ELEMENTS (tests));
	return cmocka_run_group_tests (tests, NULL, NULL);
}
