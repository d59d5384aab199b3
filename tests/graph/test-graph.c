#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <string.h>

#include "graph/progress.h"
#include "rows/rows.h"

/* Plans and progress: which units may run next, and that plans and progress survive encoding. */

static struct dff_step *
add_step (struct dff_plan *plan, int32_t count, bool gang, int32_t after)
{
	struct dff_step *step = dff_plan_add_step (plan);
	step->count = count;
	step->gang = gang;
	if (after >= 0)
		g_array_append_val (step->after, after);
	return step;
}

static struct dff_plan *
plan_new (void)
{
	struct dff_plan *plan = dff_plan_new ();
	plan->id = dff_name_from ("5c0e7a21d94b36f8");
	plan->team = dff_name_from ("team");
	plan->class_name = dff_name_from ("class");
	plan->service = dff_name_from ("service");
	plan->max_attempts = 3;
	g_string_assign (plan->payload, "text \"with\" quotes, \n and \xc3\xa9");
	return plan;
}

/* Returns: (transfer full): the names of the units that may run now, each followed by a space. */
static GString *
take_ready (struct dff_progress *progress,
	    const struct dff_plan *plan,
	    int64_t now_ms,
	    int64_t *next_ms)
{
	g_autoptr (GArray) units = g_array_new (FALSE, FALSE, sizeof (struct dff_unit));
	*next_ms = dff_progress_take_ready (progress, plan, now_ms, units);
	GString *names = g_string_new (NULL);
	for (guint i = 0; i < units->len; i++) {
		struct dff_name name =
			dff_unit_name (plan, &g_array_index (units, struct dff_unit, i));
		g_string_append_printf (names, "%s ", name.data + strlen ("5c0e7a21d94b36f8."));
	}
	return names;
}

static void
mark_done (struct dff_progress *progress,
	   const struct dff_plan *plan,
	   int32_t occurrence,
	   int32_t step,
	   int32_t index)
{
	struct dff_unit unit = {.occurrence = occurrence, .step = step, .index = index};
	dff_progress_mark_done (progress, plan, &unit);
}

static void
test_steps_start_after_their_predecessors (void **state)
{
	(void)state;
	DFF_AUTO (dff_plan) plan = plan_new ();
	add_step (plan, 2, false, -1);
	add_step (plan, 3, true, 0);
	add_step (plan, 1, false, -1);
	DFF_AUTO (dff_progress) progress = dff_progress_new (plan);
	int64_t next_ms;
	g_autoptr (GString) first = take_ready (progress, plan, 0, &next_ms);
	assert_string_equal (first->str, "0.0.0 0.0.1 0.2.0 ");
	assert_int_equal (next_ms, INT64_MAX);
	mark_done (progress, plan, 0, 0, 1);
	g_autoptr (GString) none = take_ready (progress, plan, 0, &next_ms);
	assert_string_equal (none->str, "");
	mark_done (progress, plan, 0, 0, 0);
	/* A repeated completion changes nothing. */
	mark_done (progress, plan, 0, 0, 0);
	g_autoptr (GString) second = take_ready (progress, plan, 0, &next_ms);
	assert_string_equal (second->str, "0.1 ");
	mark_done (progress, plan, 0, 1, -1);
	assert_int_equal (progress->state, DFF_JOB_STATE_QUEUED);
	mark_done (progress, plan, 0, 2, 0);
	assert_int_equal (progress->state, DFF_JOB_STATE_COMPLETED);
}

static void
test_occurrences_start_when_due (void **state)
{
	(void)state;
	DFF_AUTO (dff_plan) plan = plan_new ();
	add_step (plan, 1, false, -1);
	plan->timed = true;
	plan->occurrences = 3;
	plan->first_ms = 10000;
	plan->interval_ms = 500;
	DFF_AUTO (dff_progress) progress = dff_progress_new (plan);
	static const struct {
		int64_t now_ms;
		const char *units;
		int64_t next_ms;
	} cases[] = {
		{0, "", 10000},
		{9999, "", 10000},
		{10000, "0.0.0 ", 10500},
		{10400, "", 10500},
		{12000, "1.0.0 2.0.0 ", INT64_MAX},
		{13000, "", INT64_MAX},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		int64_t next_ms;
		g_autoptr (GString) names = take_ready (progress, plan, cases[i].now_ms, &next_ms);
		assert_string_equal (names->str, cases[i].units);
		assert_int_equal (next_ms, cases[i].next_ms);
	}
}

static void
test_invalid_plans_are_refused (void **state)
{
	(void)state;
	static const struct {
		int32_t count;
		int32_t after;
		int32_t occurrences;
		bool gang;
		bool accepted;
	} cases[] = {
		{1, -1, 1, false, true},
		{0, -1, 1, false, false},
		{DFF_STEP_TASKS_MAX, -1, 1, false, true},
		{DFF_STEP_TASKS_MAX + 1, -1, 1, false, false},
		{DFF_STEP_GANG_MAX, -1, 1, true, true},
		{DFF_STEP_GANG_MAX + 1, -1, 1, true, false},
		{1, 0, 1, false, false},
		{1, -1, 0, false, false},
		{1, -1, DFF_PLAN_OCCURRENCES_MAX + 1, false, false},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		DFF_AUTO (dff_plan) plan = plan_new ();
		add_step (plan, cases[i].count, cases[i].gang, cases[i].after);
		plan->occurrences = cases[i].occurrences;
		assert_int_equal (dff_plan_check (plan) == NULL, cases[i].accepted);
	}
	DFF_AUTO (dff_plan) empty = plan_new ();
	assert_non_null (dff_plan_check (empty));
}

static void
test_chain_is_the_longest_path (void **state)
{
	(void)state;
	/* Step 1 follows step 0; step 2 stands alone; step 3 follows steps 1 and 2. */
	DFF_AUTO (dff_plan) plan = plan_new ();
	add_step (plan, 4, false, -1)->estimate_ms = 100;
	add_step (plan, 2, true, 0)->estimate_ms = 30;
	add_step (plan, 1, false, -1)->estimate_ms = 500;
	struct dff_step *last = add_step (plan, 1, false, 1);
	int32_t other = 2;
	g_array_append_val (last->after, other);
	last->estimate_ms = 7;
	static const int64_t tails[] = {137, 37, 507, 7};
	for (int32_t i = 0; i < (int32_t)G_N_ELEMENTS (tails); i++)
		assert_int_equal (dff_plan_chain_ms (plan, i), tails[i]);
	assert_int_equal (dff_plan_chain_ms (plan, -1), 507);
}

static void
test_plan_row_round_trip (void **state)
{
	(void)state;
	DFF_AUTO (dff_plan) plan = plan_new ();
	struct dff_step *step = add_step (plan, 7, true, -1);
	step->per_task = (struct dff_resources){1, 13, 34, 8};
	step->estimate_ms = 8500;
	step->one_rack = true;
	step->checkpoint = true;
	step->label = dff_name_from ("a");
	step->data_rack = dff_name_from ("r1-3");
	step->per_worker = 2;
	add_step (plan, 1, false, 0);
	plan->priority = 2;
	plan->timed = true;
	plan->occurrences = 4;
	plan->first_ms = INT64_C (1790000000000);
	plan->interval_ms = 2000;
	plan->stretch = 1.5;
	plan->target_latency_ms = 250;
	plan->accepted_ms = INT64_C (1790000000123);
	g_autoptr (GString) text = dff_plan_encode (plan);
	DFF_AUTO (dff_plan) decoded = dff_plan_decode ((struct dff_str){text->str, text->len});
	assert_non_null (decoded);
	g_autoptr (GString) again = dff_plan_encode (decoded);
	assert_string_equal (again->str, text->str);
	assert_string_equal (decoded->payload->str, plan->payload->str);
	assert_int_equal (decoded->first_ms, plan->first_ms);
	assert_float_equal (decoded->stretch, 1.5, 0.0);
	assert_int_equal (decoded->target_latency_ms, 250);
	assert_int_equal (decoded->accepted_ms, plan->accepted_ms);
	assert_int_equal (dff_plan_step (decoded, 0)->per_worker, 2);
	static const char *const broken[] = {"", "[]", "{}", "{\"id\":\"a\",\"steps\":[]}"};
	for (size_t i = 0; i < G_N_ELEMENTS (broken); i++)
		assert_null (dff_plan_decode (dff_str_from (broken[i])));
}

static void
test_progress_row_round_trip (void **state)
{
	(void)state;
	DFF_AUTO (dff_plan) plan = plan_new ();
	add_step (plan, 3, false, -1);
	add_step (plan, 2, true, 0);
	plan->occurrences = 2;
	DFF_AUTO (dff_progress) progress = dff_progress_new (plan);
	progress->state = DFF_JOB_STATE_RUNNING;
	mark_done (progress, plan, 0, 0, 2);
	struct dff_task *task = dff_progress_task (progress, 0, 0, 0);
	task->state = DFF_PROGRESS_TASK_ASSIGNED;
	task->run = 4;
	task->failures = 1;
	task->worker = dff_name_from ("i-7f3a91c2");
	struct dff_unit unit = {.index = 0};
	dff_progress_save_checkpoint (progress, plan, &unit, dff_str_from ("00000bb8\"7a21d94b"));
	g_autoptr (GString) text = dff_progress_encode (progress);
	struct dff_str value = {text->str, text->len};
	DFF_AUTO (dff_progress) decoded = dff_progress_decode (plan, value);
	assert_non_null (decoded);
	const struct dff_task *read = dff_progress_task (decoded, 0, 0, 0);
	assert_int_equal (read->state, DFF_PROGRESS_TASK_ASSIGNED);
	assert_int_equal (read->run, 4);
	assert_int_equal (read->failures, 1);
	assert_string_equal (read->worker.data, "i-7f3a91c2");
	assert_string_equal (read->checkpoint, "00000bb8\"7a21d94b");
	assert_int_equal (dff_progress_step (decoded, 0, 0)->n_done, 1);
	enum dff_job_state job_state;
	assert_true (dff_progress_decode_state (value, &job_state));
	assert_int_equal (job_state, DFF_JOB_STATE_RUNNING);
	assert_false (dff_progress_decode_state (dff_str_from ("{}"), &job_state));
	assert_null (dff_progress_decode (plan, dff_str_from ("{\"state\":\"x\"}")));
}

/* The failed run of a gang is counted once, whichever of its members fail, and the row records that
 * the run in progress is counted. */
static void
test_failed_gang_run_counts_once (void **state)
{
	(void)state;
	static const struct {
		bool gang;
		int32_t failing[3];
		int32_t failures[3];
	} cases[] = {
		{true, {1, -1, -1}, {1, 1, 1}}, {true, {0, 2, -1}, {1, 1, 1}},
		{true, {0, 1, 2}, {1, 1, 1}},   {false, {1, -1, -1}, {0, 1, 0}},
		{false, {1, 2, -1}, {0, 1, 1}},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		DFF_AUTO (dff_plan) plan = plan_new ();
		add_step (plan, 3, cases[i].gang, -1);
		DFF_AUTO (dff_progress) progress = dff_progress_new (plan);
		for (int32_t j = 0; j < 3; j++) {
			struct dff_task *task = dff_progress_task (progress, 0, 0, j);
			task->state = DFF_PROGRESS_TASK_ASSIGNED;
			task->run = 1;
		}
		for (int32_t j = 0; j < 3 && cases[i].failing[j] >= 0; j++) {
			struct dff_unit unit = {.index = cases[i].gang ? -1 : cases[i].failing[j]};
			dff_progress_mark_failed (progress, plan, &unit, cases[i].failing[j]);
		}
		g_autoptr (GString) text = dff_progress_encode (progress);
		DFF_AUTO (dff_progress)
		decoded = dff_progress_decode (plan, (struct dff_str){text->str, text->len});
		for (int32_t j = 0; j < 3; j++) {
			const struct dff_task *task = dff_progress_task (decoded, 0, 0, j);
			assert_int_equal (task->failures, cases[i].failures[j]);
			bool fails = false;
			for (int32_t k = 0; k < 3; k++)
				fails |= cases[i].failing[k] == j;
			assert_int_equal (task->state, fails ? DFF_PROGRESS_TASK_FAILED
							     : DFF_PROGRESS_TASK_ASSIGNED);
		}
	}
}

/* The loss of a run with its worker is recorded once and survives encoding together with the blame
 * of its task. The blame of a unit is the highest of its tasks. */
static void
test_lost_run_is_recorded_once (void **state)
{
	(void)state;
	static const struct {
		const char *checkpoint;
		int32_t blame;
	} cases[] = {{NULL, 0}, {NULL, 3}, {"00000bb8", 0}, {"00000bb8", 4}};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		DFF_AUTO (dff_plan) plan = plan_new ();
		add_step (plan, 2, true, -1);
		DFF_AUTO (dff_progress) progress = dff_progress_new (plan);
		struct dff_unit unit = {.index = -1};
		for (int32_t j = 0; j < 2; j++) {
			struct dff_task *task = dff_progress_task (progress, 0, 0, j);
			task->state = DFF_PROGRESS_TASK_ASSIGNED;
			task->run = 1;
		}
		assert_true (dff_progress_mark_lost (progress, &unit, 1));
		assert_false (dff_progress_mark_lost (progress, &unit, 1));
		dff_progress_task (progress, 0, 0, 1)->blame = cases[i].blame;
		dff_progress_task (progress, 0, 0, 1)->startup_blame = cases[i].blame / 2;
		if (cases[i].checkpoint != NULL)
			dff_progress_save_checkpoint (progress, plan, &unit,
						      dff_str_from (cases[i].checkpoint));
		g_autoptr (GString) text = dff_progress_encode (progress);
		DFF_AUTO (dff_progress)
		decoded = dff_progress_decode (plan, (struct dff_str){text->str, text->len});
		const struct dff_task *task = dff_progress_task (decoded, 0, 0, 1);
		assert_int_equal (task->state, DFF_PROGRESS_TASK_LOST);
		assert_true (dff_progress_task_state_is_open (task->state));
		assert_int_equal (task->blame, cases[i].blame);
		assert_int_equal (task->startup_blame, cases[i].blame / 2);
		assert_int_equal (g_strcmp0 (task->checkpoint, cases[i].checkpoint), 0);
		assert_int_equal (dff_progress_max_blame (decoded, plan, &unit), cases[i].blame);
		assert_false (dff_progress_mark_lost (decoded, &unit, 1));
		assert_int_equal (dff_progress_task (decoded, 0, 0, 0)->state,
				  DFF_PROGRESS_TASK_ASSIGNED);
	}
}

/* Guards against a row that is too large for the store: a wide recurring job has many tasks in
 * progress at once, each with a checkpoint. The store refuses every transaction that contains such
 * a row, and the holder cannot record anything. */
static void
test_largest_row_fits_the_store (void **state)
{
	(void)state;
	DFF_AUTO (dff_plan) plan = plan_new ();
	add_step (plan, DFF_STEP_TASKS_MAX, false, -1);
	plan->occurrences = DFF_PLAN_TASKS_MAX / DFF_STEP_TASKS_MAX;
	assert_null (dff_plan_check (plan));
	DFF_AUTO (dff_progress) progress = dff_progress_new (plan);
	for (int32_t i = 0; i < plan->occurrences * DFF_STEP_TASKS_MAX; i++) {
		struct dff_task *task = dff_progress_task (progress, i / DFF_STEP_TASKS_MAX, 0,
							   i % DFF_STEP_TASKS_MAX);
		task->state = DFF_PROGRESS_TASK_ASSIGNED;
		task->run = 12;
		task->worker = dff_name_printf ("i-7f3a91c2%d", i % 350);
		task->checkpoint = g_strdup ("00000bb87a21d94b");
	}
	g_autoptr (GString) text = dff_progress_encode (progress);
	g_autofree char *encoded = g_base64_encode ((const guchar *)text->str, text->len);
	assert_in_range (strlen (encoded), 1, DFF_ROW_VALUE_MAX);
	struct dff_str value = {text->str, text->len};
	DFF_AUTO (dff_progress) decoded = dff_progress_decode (plan, value);
	assert_string_equal (dff_progress_task (decoded, 3, 0, 7)->worker.data,
			     dff_progress_task (progress, 3, 0, 7)->worker.data);
}

/* A checkpoint of any member applies to its whole gang: all members resume from the same one. */
static void
test_gang_members_share_a_checkpoint (void **state)
{
	(void)state;
	DFF_AUTO (dff_plan) plan = plan_new ();
	add_step (plan, 3, true, -1);
	DFF_AUTO (dff_progress) progress = dff_progress_new (plan);
	struct dff_unit unit = {.index = -1};
	dff_progress_save_checkpoint (progress, plan, &unit, dff_str_from ("c1"));
	dff_progress_save_checkpoint (progress, plan, &unit, dff_str_from ("c2"));
	for (int32_t i = 0; i < 3; i++)
		assert_string_equal (dff_progress_task (progress, 0, 0, i)->checkpoint, "c2");
}

static void
test_task_name_parsing (void **state)
{
	(void)state;
	static const struct {
		const char *text;
		bool valid;
	} cases[] = {
		{"5c0e7a21d94b36f8.0.1.17", true},
		{"5c0e.0.1", false},
		{"", false},
		{".0.1.2", false},
		{"a.0.1.x", false},
		{"a.0..2", false},
		{"a.0.1.99999999999", false},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct dff_task_ref ref;
		bool valid = dff_task_ref_parse (dff_str_from (cases[i].text), &ref);
		assert_int_equal (valid, cases[i].valid);
		if (!valid)
			continue;
		struct dff_name name = dff_task_ref_name (&ref);
		assert_string_equal (name.data, cases[i].text);
	}
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_steps_start_after_their_predecessors),
		cmocka_unit_test (test_occurrences_start_when_due),
		cmocka_unit_test (test_invalid_plans_are_refused),
		cmocka_unit_test (test_chain_is_the_longest_path),
		cmocka_unit_test (test_plan_row_round_trip),
		cmocka_unit_test (test_progress_row_round_trip),
		cmocka_unit_test (test_failed_gang_run_counts_once),
		cmocka_unit_test (test_lost_run_is_recorded_once),
		cmocka_unit_test (test_largest_row_fits_the_store),
		cmocka_unit_test (test_gang_members_share_a_checkpoint),
		cmocka_unit_test (test_task_name_parsing),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
