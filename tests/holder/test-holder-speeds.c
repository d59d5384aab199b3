#include "tests/holder/site.h"

#include <stdlib.h>
#include <string.h>

#include "holder/holder_private.h"

/* The relative durations of the workers across changes of the holder. In each rack, one worker is
 * fast and one is slow, unless a test says otherwise. */

static const int32_t unequal[SITE_PER_RACK] = {600, 1000, 1600};
static const int32_t equal[SITE_PER_RACK] = {1000, 1000, 1000};

/** Relative durations by the order of the workers in a rack, in thousandths of a logarithm. */
static const int32_t relative[SITE_PER_RACK] = {-450, 0, 450};

/** Time within which a holder that is killed is replaced, ms. */
#define TAKEOVER_MAX_MS 1500
/** Time that workers need to answer a new holder, ms. */
#define ANSWER_MS 20
/** Time after which the last read of the row without an answer ends, ms. */
#define READS_END_MS 4500
/** Time for which a new holder tries to read the row, ms. */
#define READ_LIMIT_MS 4000
/** Time after which the holder has forgotten a worker that is off the list, ms. */
#define FORGOTTEN_MS 6000
/** Duration of an outage of the store, ms. */
#define OUTAGE_MS 20000
/** Number of urgent single tasks and gangs that are placed after a takeover. */
#define N_URGENT 6

static int64_t
count (const struct site *site, int process, const char *name)
{
	return *dff_metrics_counter (site->processes[process].metrics, name, "");
}

static const GString *
peek_row (struct site *site)
{
	return dff_memory_rows_peek (site->rows, DFF_TABLE_CELL, DFF_KEY_SPEEDS);
}

/* Returns: the number of workers in the recorded row. */
static int
n_recorded_workers (struct site *site)
{
	const GString *recorded = peek_row (site);
	assert_non_null (recorded);
	struct speeds_row row;
	speeds_row_init (&row);
	assert_true (speeds_decode ((struct dff_str){recorded->str, recorded->len}, &row));
	int n_workers = (int)row.entries->len;
	speeds_row_clear (&row);
	return n_workers;
}

/* Submits single tasks for all workers, by which the holder can compare the workers. */
static void
submit_comparable (struct site *site)
{
	for (int i = 0; i < 4; i++) {
		g_autofree char *id = g_strdup_printf ("1%d", i);
		struct dff_plan *plan = site_plan (id, SITE_UNEQUAL_WORKERS, false, 1);
		dff_plan_step (plan, 0)->per_worker = 1;
		dff_plan_step (plan, 0)->estimate_ms = 6000;
		assert_int_equal (site_submit (site, site_holder (site), plan), DFF_FRONT_OK);
	}
}

static void
learn (struct site *site)
{
	submit_comparable (site);
	site_run (site, 6000);
}

/* Kills the holder. Returns: the next holder, once it schedules. @took_ms: (out) (nullable). */
static int
replace_holder (struct site *site, int64_t *took_ms)
{
	site_kill_process (site, site_holder (site));
	int64_t waited_ms = 0;
	for (; site_holder (site) < 0; waited_ms++) {
		assert_in_range (waited_ms, 0, TAKEOVER_MAX_MS);
		site_run (site, 1);
	}
	if (took_ms != NULL)
		*took_ms = waited_ms;
	return site_holder (site);
}

/* Returns: the place in its rack of the worker that runs a task; -1: it does not run. */
static int
place_of (struct site *site, const char *task)
{
	const char *worker_id = dff_memory_runner_worker_of (site->runner, task);
	return worker_id != NULL ? atoi (worker_id + 1) % SITE_PER_RACK : -1;
}

static void
submit_urgent (struct site *site, int process, const char *id, int32_t n_tasks)
{
	struct dff_plan *plan = site_plan (id, n_tasks, n_tasks > 1, 4);
	plan->priority = 0;
	assert_int_equal (site_submit (site, process, plan), DFF_FRONT_OK);
}

/* Submits urgent work. Returns: how many of the units were placed without a slow worker: a unit is
 * a single task or a gang of two. */
static int
place_urgent (struct site *site, int process, const char *prefix)
{
	int n_fast = 0;
	for (int i = 0; i < N_URGENT; i++) {
		bool gang = i % 2 == 1;
		g_autofree char *id = g_strdup_printf ("%s%d", gang ? "5" : prefix, i);
		g_autofree char *first = g_strdup_printf ("%s.0.0.0", id);
		g_autofree char *second = g_strdup_printf ("%s.0.0.1", id);
		submit_urgent (site, process, id, gang ? 2 : 1);
		site_run (site, 100);
		int worst = place_of (site, first);
		assert_int_not_equal (worst, -1);
		if (gang)
			worst = MAX (worst, place_of (site, second));
		n_fast += worst < SITE_PER_RACK - 1;
		site_cancel (site, process, id);
	}
	return n_fast;
}

/* Guards against urgent work on slow workers after each change of the holder, because the next
 * holder starts without what its predecessor had learned. Without the row, the same work gets slow
 * workers. */
static void
test_next_holder_avoids_slow_workers (void **state)
{
	(void)state;
	for (int recorded = 0; recorded < 2; recorded++) {
		struct site site;
		site_open_with_durations (&site, unequal);
		learn (&site);
		int holder = site_holder (&site);
		assert_in_range (count (&site, holder, "dff_holder_speeds_recorded_total"), 1, 5);
		assert_non_null (peek_row (&site));
		if (recorded == 0)
			dff_memory_rows_remove (site.rows, DFF_TABLE_CELL, DFF_KEY_SPEEDS);
		int next = replace_holder (&site, NULL);
		site_run (&site, ANSWER_MS);
		assert_int_equal (count (&site, next, "dff_holder_speeds_taken_over_total"),
				  recorded * SITE_UNEQUAL_WORKERS);
		int n_fast = place_urgent (&site, next, "b");
		if (recorded == 1)
			assert_int_equal (n_fast, N_URGENT);
		else
			assert_in_range (n_fast, 0, N_URGENT - 1);
		site_close (&site);
	}
}

/* Guards against knowledge that is lost when a holder is killed shortly after its takeover, before
 * its workers have answered or before it has compared them itself. */
static void
test_two_takeovers (void **state)
{
	(void)state;
	static const int64_t between_ms[] = {0, 5, 100, 3000};
	for (size_t i = 0; i < G_N_ELEMENTS (between_ms); i++) {
		struct site site;
		site_open_with_durations (&site, unequal);
		learn (&site);
		replace_holder (&site, NULL);
		site_run (&site, between_ms[i]);
		int last = replace_holder (&site, NULL);
		site_run (&site, ANSWER_MS);
		assert_int_equal (count (&site, last, "dff_holder_speeds_taken_over_total"),
				  SITE_UNEQUAL_WORKERS);
		assert_int_equal (place_urgent (&site, last, "b"), N_URGENT);
		site_close (&site);
	}
}

/* Returns: (transfer full): the row of a holder that has found the workers as they are. */
static GString *
row_text (struct site *site, int64_t age_ms)
{
	struct speeds_row row;
	speeds_row_init (&row);
	row.written_ms = dff_virtual_loop_now_ms (site->loop) - age_ms;
	row.variances = (struct dff_duration_variances){.workers = 0.16F, .tasks = 0.07F};
	for (int i = 0; i < SITE_UNEQUAL_WORKERS; i++) {
		struct speeds_entry entry = {.duration = {.worker = dff_name_printf ("w%d", i),
							  .relative = relative[i % SITE_PER_RACK],
							  .weight = 4.0F}};
		entry.started_ms =
			dff_memory_runner_started_ms (site->runner, entry.duration.worker.data);
		g_array_append_val (row.entries, entry);
	}
	GString *text = speeds_encode (&row);
	speeds_row_clear (&row);
	return text;
}

static void
put_row (struct site *site, const char *text)
{
	dff_memory_rows_put (site->rows, DFF_TABLE_CELL, DFF_KEY_SPEEDS, dff_str_from (text));
}

/* Guards against a worker that counts as slow because its former incarnation was: it restarts
 * before, during or after the takeover. */
static void
test_restarted_workers (void **state)
{
	(void)state;
	static const struct {
		/** When the slow workers restart, in relation to the kill of the holder. */
		int64_t before_ms;
		int64_t after_ms;
		int64_t n_taken_over;
	} cases[] = {
		{200, 0, SITE_UNEQUAL_WORKERS - SITE_UNEQUAL_WORKERS / 3},
		{0, 0, SITE_UNEQUAL_WORKERS - SITE_UNEQUAL_WORKERS / 3},
		{0, TAKEOVER_MAX_MS + 100, SITE_UNEQUAL_WORKERS},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct site site;
		site_open_with_durations (&site, unequal);
		site_run (&site, 1000);
		g_autoptr (GString) text = row_text (&site, 0);
		put_row (&site, text->str);
		if (cases[i].after_ms > 0) {
			replace_holder (&site, NULL);
			site_run (&site, cases[i].after_ms);
		}
		for (int j = SITE_PER_RACK - 1; j < SITE_UNEQUAL_WORKERS; j += SITE_PER_RACK)
			site_restart_worker (&site, j);
		site_run (&site, cases[i].before_ms);
		if (cases[i].after_ms == 0)
			replace_holder (&site, NULL);
		site_run (&site, 2000);
		int holder = site_holder (&site);
		assert_int_equal (count (&site, holder, "dff_holder_speeds_taken_over_total"),
				  cases[i].n_taken_over);
		/* What is recorded now does not contain the former incarnations. */
		site_run (&site, 6000);
		assert_int_equal (n_recorded_workers (&site),
				  SITE_UNEQUAL_WORKERS - SITE_UNEQUAL_WORKERS / 3);
		site_close (&site);
	}
}

/* Guards against what was learned of an incarnation being taken for the next one's, because the
 * holder has forgotten the worker in between: it was off the list for a while. A worker that
 * returns without a restart keeps its value. */
static void
test_worker_returns (void **state)
{
	(void)state;
	for (int restarted = 0; restarted < 2; restarted++) {
		struct site site;
		site_open_with_durations (&site, unequal);
		site_run (&site, 1000);
		g_autoptr (GString) text = row_text (&site, 0);
		put_row (&site, text->str);
		int holder = replace_holder (&site, NULL);
		site_run (&site, 1000);
		const struct dff_name id = dff_name_from ("w2");
		site_list_worker (&site, 2, false, false);
		site_run (&site, FORGOTTEN_MS);
		assert_null (workers_find (site.processes[holder].holder, &id));
		if (restarted == 1)
			site_restart_worker (&site, 2);
		else
			site_list_worker (&site, 2, true, false);
		site_run (&site, 6000);
		assert_int_equal (site_holder (&site), holder);
		assert_int_equal (n_recorded_workers (&site), SITE_UNEQUAL_WORKERS - restarted);
		site_close (&site);
	}
}

/* Guards against a value that is dropped because the worker is not listed when the row is read: it
 * is kept, and handed on to the next holder, until the worker is known. */
static void
test_worker_becomes_known_later (void **state)
{
	(void)state;
	for (int n_takeovers = 1; n_takeovers <= 2; n_takeovers++) {
		struct site site;
		site_open_with_durations (&site, unequal);
		site_run (&site, 1000);
		g_autoptr (GString) text = row_text (&site, 0);
		put_row (&site, text->str);
		site_list_worker (&site, 0, false, false);
		for (int i = 0; i < n_takeovers; i++) {
			replace_holder (&site, NULL);
			site_run (&site, 1000);
		}
		int holder = site_holder (&site);
		assert_int_equal (count (&site, holder, "dff_holder_speeds_taken_over_total"),
				  SITE_UNEQUAL_WORKERS - 1);
		site_list_worker (&site, 0, true, false);
		site_run (&site, 1000);
		assert_int_equal (count (&site, holder, "dff_holder_speeds_taken_over_total"),
				  SITE_UNEQUAL_WORKERS);
		site_close (&site);
	}
}

/* Guards against values that are counted as taken over although the core ignores them. */
static void
test_value_out_of_range (void **state)
{
	(void)state;
	struct site site;
	site_open_with_durations (&site, unequal);
	site_run (&site, 1000);
	g_autoptr (GString) text = row_text (&site, 0);
	assert_int_equal (g_string_replace (text, ",450,", ",45000,", 0), SITE_UNEQUAL_WORKERS / 3);
	put_row (&site, text->str);
	int next = replace_holder (&site, NULL);
	site_run (&site, ANSWER_MS);
	assert_int_equal (count (&site, next, "dff_holder_speeds_taken_over_total"),
			  SITE_UNEQUAL_WORKERS - SITE_UNEQUAL_WORKERS / 3);
	site_close (&site);
}

#define WORKERS_MISSING "{\"written_ms\":1000000,\"worker_variance\":160000,\"task_variance\":70000"

/* Guards against a takeover that fails, or a holder that takes over invalid values, because the row
 * is damaged or of another build. */
static void
test_undecodable_rows (void **state)
{
	(void)state;
	static const struct {
		/** NULL: an older build has written no row. */
		const char *text;
		int64_t n_undecodable;
	} cases[] = {
		{NULL, 0},
		{"", 1},
		{"x", 1},
		{"7", 1},
		{"[]", 1},
		{"{}", 1},
		{"{\"workers\":[[\"w0\",0,-450,400]]}", 1},
		{"{\"written_ms\":1,\"workers\":[[\"w0\",0,-450,400]]}", 1},
		{WORKERS_MISSING "}", 1},
		{WORKERS_MISSING ",\"workers\":7}", 1},
		{WORKERS_MISSING ",\"workers\":{\"w0\":[0,-450,400]}}", 1},
		{WORKERS_MISSING ",\"workers\":[[\"w0\",0,-450,40", 1},
		/* Single entries that cannot be read are left out. */
		{WORKERS_MISSING ",\"workers\":[]}", 0},
		{WORKERS_MISSING ",\"workers\":[7,[],[\"w0\"],[1,2,3,4],[\"w 0\",0,-450,400]]}", 0},
		{WORKERS_MISSING ",\"workers\":[[\"w0\",0,-450,0],[\"w1\",0,-450,-400]]}", 0},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct site site;
		site_open_with_durations (&site, unequal);
		site_run (&site, 500);
		if (cases[i].text != NULL)
			put_row (&site, cases[i].text);
		int next = replace_holder (&site, NULL);
		site_run (&site, 500);
		assert_int_equal (count (&site, next, "dff_holder_speeds_undecodable_total"),
				  cases[i].n_undecodable);
		assert_int_equal (count (&site, next, "dff_holder_speeds_taken_over_total"), 0);
		site_submit (&site, next, site_plan ("a", 4, false, 1));
		assert_int_not_equal (site_wait_for_state (&site, "a", "completed", 4000), -1);
		site_close (&site);
	}
}

/* Guards against a row of a newer build that is taken for damaged: unknown keys, and unknown values
 * of a worker, are ignored. */
static void
test_row_of_newer_build (void **state)
{
	(void)state;
	struct site site;
	site_open_with_durations (&site, unequal);
	site_run (&site, 500);
	g_autoptr (GString) text = row_text (&site, 0);
	g_string_replace (text, "{\"written_ms\"",
			  "{\"format\":2,\"extra\":{\"a\":[1]},\"written_ms\"", 0);
	g_string_replace (text, ",400]", ",400,\"x\",{}]", 0);
	put_row (&site, text->str);
	int next = replace_holder (&site, NULL);
	site_run (&site, ANSWER_MS);
	assert_int_equal (count (&site, next, "dff_holder_speeds_undecodable_total"), 0);
	assert_int_equal (count (&site, next, "dff_holder_speeds_taken_over_total"),
			  SITE_UNEQUAL_WORKERS);
	assert_int_equal (place_urgent (&site, next, "b"), N_URGENT);
	site_close (&site);
}

/* Guards against what was learned long ago being taken for what is the case now. */
static void
test_old_row (void **state)
{
	(void)state;
	struct site site;
	site_open_with_durations (&site, equal);
	site_run (&site, 500);
	g_autoptr (GString) text = row_text (&site, DFF_DURATION_EXPIRY_MS);
	put_row (&site, text->str);
	int next = replace_holder (&site, NULL);
	site_run (&site, 8000);
	assert_int_equal (count (&site, next, "dff_holder_speeds_recorded_total"), 0);
	assert_string_equal (peek_row (&site)->str, text->str);
	site_close (&site);
}

/* Returns: whether the holder counts the store as lost at any time in the next @ms. */
static bool
loses_store (struct site *site, int64_t ms)
{
	const struct dff_holder *holder = site->processes[site_holder (site)].holder;
	bool lost = false;
	for (int64_t i = 0; i < ms; i++) {
		site_run (site, 1);
		lost |= holder->store_lost;
	}
	return lost;
}

/* Guards against a store that refuses the row and with it everything else: the transactions that
 * accept jobs and record starts and ends must go on without it. The row is tried ever more rarely,
 * and the store does not count as lost each time. */
static void
test_store_refuses_row (void **state)
{
	(void)state;
	struct site site;
	site_open_with_durations (&site, unequal);
	for (int i = 0; i < SITE_PROCESSES; i++)
		dff_memory_rows_client_faults (site.processes[i].rows)->refused_key =
			DFF_KEY_SPEEDS;
	int holder = site_holder (&site);
	learn (&site);
	for (int i = 0; i < 8; i++) {
		g_autofree char *id = g_strdup_printf ("a%d", i);
		assert_int_equal (site_submit (&site, holder, site_plan (id, 4, false, 1)),
				  DFF_FRONT_OK);
		assert_in_range (site_wait_for_state (&site, id, "completed", 4000), 500, 1900);
		assert_int_equal (site_holder (&site), holder);
	}
	assert_null (peek_row (&site));
	assert_int_equal (count (&site, holder, "dff_holder_speeds_recorded_total"), 0);
	assert_false (loses_store (&site, 20000));
	assert_in_range (count (&site, holder, "dff_holder_speeds_refused_total"), 3, 6);
	replace_holder (&site, NULL);
	site_close (&site);
}

/* Guards against a row that is held back long after an outage of the store, as if the row had been
 * the cause of it. */
static void
test_row_is_written_after_outage (void **state)
{
	(void)state;
	static const struct {
		const char *name;
		struct dff_memory_rows_faults faults;
	} cases[] = {
		{"refused", {.refuses = true}},
		{"not answered", {.silent = true}},
		{"answers lost", {.lost_permille = 1000}},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		print_message ("%s\n", cases[i].name);
		struct site site;
		site_open_with_durations (&site, unequal);
		learn (&site);
		int holder = site_holder (&site);
		for (int j = 0; j < SITE_PROCESSES; j++)
			*dff_memory_rows_client_faults (site.processes[j].rows) = cases[i].faults;
		site_run (&site, OUTAGE_MS);
		assert_int_equal (site_holder (&site), holder);
		int64_t n_before = count (&site, holder, "dff_holder_speeds_recorded_total");
		/* The holder reaches the store before the others do, which would replace it. */
		*dff_memory_rows_client_faults (site.processes[holder].rows) =
			(struct dff_memory_rows_faults){0};
		site_run (&site, 3000);
		assert_int_equal (site_holder (&site), holder);
		assert_int_not_equal (count (&site, holder, "dff_holder_speeds_recorded_total"),
				      n_before);
		assert_int_equal (count (&site, holder, "dff_holder_speeds_refused_total"), 0);
		site_close (&site);
	}
}

/* Guards against a takeover that waits for the row: the store answers every read but this one, or
 * this one late. The takeover takes no longer than without a row. What is answered late is still
 * taken over. */
static void
test_store_does_not_answer_read (void **state)
{
	(void)state;
	static const struct {
		bool has_row;
		const char *silent_key;
	} cases[] = {{false, NULL}, {true, NULL}, {true, DFF_KEY_SPEEDS}};
	int64_t usual_ms = 0;
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct site site;
		site_open_with_durations (&site, unequal);
		site_run (&site, 1000);
		g_autoptr (GString) text = row_text (&site, 0);
		if (cases[i].has_row)
			put_row (&site, text->str);
		for (int j = 0; j < SITE_PROCESSES; j++)
			dff_memory_rows_client_faults (site.processes[j].rows)->silent_key =
				cases[i].silent_key;
		int64_t took_ms = 0;
		int next = replace_holder (&site, &took_ms);
		if (i == 0)
			usual_ms = took_ms;
		assert_in_range (took_ms, 0, usual_ms);
		site_run (&site, 1000);
		bool answered = cases[i].has_row && cases[i].silent_key == NULL;
		assert_int_equal (count (&site, next, "dff_holder_speeds_taken_over_total"),
				  answered ? SITE_UNEQUAL_WORKERS : 0);
		dff_memory_rows_client_faults (site.processes[next].rows)->silent_key = NULL;
		site_run (&site, 2000);
		assert_int_equal (count (&site, next, "dff_holder_speeds_taken_over_total"),
				  cases[i].has_row ? SITE_UNEQUAL_WORKERS : 0);
		site_close (&site);
	}
}

/* Guards against a holder that overwrites what its predecessor had recorded before it has read it,
 * and against one that never writes because the read is not answered. */
static void
test_row_is_read_before_written (void **state)
{
	(void)state;
	struct site site;
	site_open_with_durations (&site, unequal);
	site_run (&site, 1000);
	g_autoptr (GString) text = row_text (&site, 0);
	put_row (&site, text->str);
	for (int i = 0; i < SITE_PROCESSES; i++)
		dff_memory_rows_client_faults (site.processes[i].rows)->silent_key = DFF_KEY_SPEEDS;
	int next = replace_holder (&site, NULL);
	submit_comparable (&site);
	site_run (&site, READS_END_MS - 200);
	GArray *durations = g_array_new (FALSE, FALSE, sizeof (struct dff_worker_duration));
	struct dff_duration_variances variances;
	assert_true (dff_core_export_durations (site.processes[next].holder->core, durations,
						&variances));
	g_array_unref (durations);
	assert_string_equal (peek_row (&site)->str, text->str);
	site_run (&site, 1000);
	assert_string_not_equal (peek_row (&site)->str, text->str);
	site_close (&site);
}

/* Guards against a row that is given up, and overwritten unread, because the store refuses its
 * reads for a moment; and against one that is read for ever, and never written. */
static void
test_store_refuses_read (void **state)
{
	(void)state;
	static const struct {
		int64_t refused_ms;
		bool taken_over;
	} cases[] = {{300, true}, {READ_LIMIT_MS - 500, true}, {READ_LIMIT_MS + 1500, false}};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct site site;
		site_open_with_durations (&site, unequal);
		site_run (&site, 1000);
		g_autoptr (GString) text = row_text (&site, 0);
		put_row (&site, text->str);
		for (int j = 0; j < SITE_PROCESSES; j++)
			dff_memory_rows_client_faults (site.processes[j].rows)->refused_read_key =
				DFF_KEY_SPEEDS;
		int next = replace_holder (&site, NULL);
		submit_comparable (&site);
		site_run (&site, cases[i].refused_ms);
		assert_int_equal (count (&site, next, "dff_holder_speeds_taken_over_total"), 0);
		dff_memory_rows_client_faults (site.processes[next].rows)->refused_read_key = NULL;
		site_run (&site, 500);
		assert_int_equal (count (&site, next, "dff_holder_speeds_taken_over_total"),
				  cases[i].taken_over ? SITE_UNEQUAL_WORKERS : 0);
		site_run (&site, 4000);
		assert_string_not_equal (peek_row (&site)->str, text->str);
		site_close (&site);
	}
}

/* Guards against writes in fleets of equally fast workers, and against ones that repeat what is
 * recorded: the row is written every two seconds at most. */
static void
test_writes (void **state)
{
	(void)state;
	struct site site;
	site_open_with_durations (&site, equal);
	learn (&site);
	site_run (&site, 10000);
	assert_null (peek_row (&site));
	site_close (&site);
	site_open_with_durations (&site, unequal);
	learn (&site);
	int64_t n_before = count (&site, site_holder (&site), "dff_holder_speeds_recorded_total");
	site_run (&site, 10000);
	assert_in_range (count (&site, site_holder (&site), "dff_holder_speeds_recorded_total") -
				 n_before,
			 1, 5);
	site_close (&site);
}

/* Guards against values that seem older than they are, so that the next holder counts them for less
 * than its predecessor did: in an idle fleet they do not change for a long time. They are no longer
 * recorded when they have decayed. */
static void
test_unchanged_row_is_renewed (void **state)
{
	(void)state;
	struct site site;
	site_open_with_durations (&site, unequal);
	site_run (&site, 1000);
	g_autoptr (GString) text = row_text (&site, 0);
	put_row (&site, text->str);
	int next = replace_holder (&site, NULL);
	for (int i = 0; i < 4; i++) {
		site_run (&site, 6000);
		struct speeds_row row;
		speeds_row_init (&row);
		const GString *recorded = peek_row (&site);
		assert_true (speeds_decode ((struct dff_str){recorded->str, recorded->len}, &row));
		assert_in_range (dff_virtual_loop_now_ms (site.loop) - row.written_ms, 0, 5500);
		assert_int_equal (row.entries->len, SITE_UNEQUAL_WORKERS);
		speeds_row_clear (&row);
	}
	assert_in_range (count (&site, next, "dff_holder_speeds_recorded_total"), 4, 9);
	site_run (&site, DFF_DURATION_EXPIRY_MS);
	int64_t n_before = count (&site, next, "dff_holder_speeds_recorded_total");
	site_run (&site, 20000);
	assert_int_equal (count (&site, next, "dff_holder_speeds_recorded_total"), n_before);
	site_close (&site);
}

#define LARGE_FLEET 6000
#define ROW_BYTES_MAX 44000

/* The load: a fleet whose workers do not fit into the row. Guards against a row that the store
 * refuses; the workers that differ most must be among those that are kept. */
static void
test_large_fleet (void **state)
{
	(void)state;
	struct speeds_row row, decoded;
	speeds_row_init (&row);
	speeds_row_init (&decoded);
	row.written_ms = INT64_C (1790000000123);
	row.variances = (struct dff_duration_variances){.workers = 0.16F, .tasks = 0.07F};
	for (int i = 0; i < LARGE_FLEET; i++) {
		struct speeds_entry entry = {
			.duration = {.worker = dff_name_printf ("data-centre-%d.rack-%d.worker-%d",
								i % 3, i / 12, i),
				     .relative = (i % 2 == 0 ? 1 : -1) * i / 10,
				     .weight = 100.0F},
			.started_ms = INT64_C (1790000000000) + i};
		g_array_append_val (row.entries, entry);
	}
	g_autoptr (GString) text = speeds_encode (&row);
	assert_in_range (text->len, ROW_BYTES_MAX * 9 / 10, ROW_BYTES_MAX);
	assert_true (speeds_decode ((struct dff_str){text->str, text->len}, &decoded));
	int32_t n_kept = (int32_t)decoded.entries->len;
	assert_in_range (n_kept, 500, LARGE_FLEET);
	for (int32_t i = 0; i < n_kept; i++) {
		const struct speeds_entry *entry =
			&g_array_index (decoded.entries, struct speeds_entry, (guint)i);
		assert_in_range (abs (entry->duration.relative), (LARGE_FLEET - n_kept) / 10 - 1,
				 LARGE_FLEET / 10);
	}
	speeds_row_clear (&row);
	speeds_row_clear (&decoded);
}

/* Fills in a fleet too large for the row, in order of the difference from the mean. */
static void
fill_large_fleet (struct speeds_row *row)
{
	speeds_row_init (row);
	row->variances = (struct dff_duration_variances){.workers = 0.16F, .tasks = 0.07F};
	for (int i = 0; i < LARGE_FLEET; i++) {
		struct speeds_entry entry = {
			.duration = {.worker = dff_name_printf ("worker-%d", i),
				     .relative = LARGE_FLEET - i,
				     .weight = 100.0F},
			.started_ms = 1};
		g_array_append_val (row->entries, entry);
	}
}

/* Guards against writes because of workers that are not in the row, and against changes of the
 * others that are not written. */
static void
test_changes_in_large_fleet (void **state)
{
	(void)state;
	static const struct {
		const char *name;
		int worker;
		int32_t relative;
		bool restarted;
		bool changed;
	} cases[] = {
		{"none", 0, LARGE_FLEET, false, false},
		{"in the row, little", 0, LARGE_FLEET - 30, false, false},
		{"in the row", 0, LARGE_FLEET - 50, false, true},
		{"in the row, restarted", 0, LARGE_FLEET, true, true},
		{"left out", LARGE_FLEET - 1, 900, false, false},
		{"left out, restarted", LARGE_FLEET - 1, 1, true, false},
		{"left out, now among the largest", LARGE_FLEET - 1, LARGE_FLEET, false, true},
		{"left out, now among the largest below", LARGE_FLEET - 1, -LARGE_FLEET, false,
		 true},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		print_message ("%s\n", cases[i].name);
		struct speeds_row written, row;
		fill_large_fleet (&written);
		fill_large_fleet (&row);
		g_string_free (speeds_encode (&written), TRUE);
		assert_in_range (written.entries->len, 500, LARGE_FLEET - 1000);
		struct speeds_record *record = speeds_record_new (&written, true);
		struct speeds_entry *entry =
			&g_array_index (row.entries, struct speeds_entry, (guint)cases[i].worker);
		entry->duration.relative = cases[i].relative;
		entry->started_ms += cases[i].restarted;
		assert_int_equal (speeds_has_changed (record, &row), cases[i].changed);
		g_array_remove_index (row.entries, 1);
		assert_true (speeds_has_changed (record, &row));
		speeds_record_free (record);
		speeds_row_clear (&written);
		speeds_row_clear (&row);
	}
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_next_holder_avoids_slow_workers),
		cmocka_unit_test (test_two_takeovers),
		cmocka_unit_test (test_restarted_workers),
		cmocka_unit_test (test_worker_returns),
		cmocka_unit_test (test_worker_becomes_known_later),
		cmocka_unit_test (test_value_out_of_range),
		cmocka_unit_test (test_undecodable_rows),
		cmocka_unit_test (test_row_of_newer_build),
		cmocka_unit_test (test_old_row),
		cmocka_unit_test (test_store_refuses_row),
		cmocka_unit_test (test_row_is_written_after_outage),
		cmocka_unit_test (test_store_does_not_answer_read),
		cmocka_unit_test (test_row_is_read_before_written),
		cmocka_unit_test (test_store_refuses_read),
		cmocka_unit_test (test_writes),
		cmocka_unit_test (test_unchanged_row_is_renewed),
		cmocka_unit_test (test_large_fleet),
		cmocka_unit_test (test_changes_in_large_fleet),
	};
	site_tests_begin (tests, G_N_ELEMENTS (tests));
	return cmocka_run_group_tests (tests, NULL, NULL);
}
