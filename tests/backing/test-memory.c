#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "backing/memory.h"

struct fixture {
	struct dff_clock_virtual clock;
	struct dff_memory *memory;
	struct dff_memory_handle *handle;
};

/** The last result of a table call. */
struct answer {
	int calls;
	enum dff_table_outcome outcome;
	int64_t revision;
	size_t n_rows;
	bool more;
};

static int
setup (void **state)
{
	struct fixture *fixture = g_new0 (struct fixture, 1);
	dff_clock_virtual_init (&fixture->clock, 1000);
	struct dff_memory_options options = {
		.clock = &fixture->clock.clock, .seed = 1, .instance_lag_ms = 300};
	fixture->memory = dff_memory_new (&options);
	fixture->handle = dff_memory_open (fixture->memory);
	*state = fixture;
	return 0;
}

static int
teardown (void **state)
{
	struct fixture *fixture = *state;
	if (fixture->handle != NULL)
		dff_memory_close (fixture->handle);
	dff_memory_free (fixture->memory);
	g_free (fixture);
	return 0;
}

static void
handle_answer (void *user, const struct dff_table_result *result)
{
	struct answer *answer = user;
	answer->calls++;
	answer->outcome = result->outcome;
	answer->revision = result->revision;
	answer->n_rows = result->n_rows;
	answer->more = result->more;
}

static void
advance (struct fixture *fixture, int64_t ms)
{
	fixture->clock.now_ms += ms;
	dff_memory_tick (fixture->memory);
}

/* Commits value "v" under @key if its revision is @expected. */
static void
commit (struct fixture *fixture,
	const char *write_id,
	const char *key,
	int64_t expected,
	struct answer *answer)
{
	struct dff_table_condition condition = {dff_str_from (key), expected};
	struct dff_table_write write = {dff_str_from (key), dff_str_from ("v")};
	struct dff_table_txn txn = {
		.write_id = dff_name_from (write_id),
		.conditions = &condition,
		.n_conditions = 1,
		.writes = &write,
		.n_writes = 1,
	};
	const struct dff_table *table = &fixture->handle->table;
	table->commit (table->ctx, &txn, handle_answer, answer);
}

static void
lookup (struct fixture *fixture, const char *write_id, struct answer *answer)
{
	struct dff_name id = dff_name_from (write_id);
	const struct dff_table *table = &fixture->handle->table;
	table->lookup (table->ctx, &id, handle_answer, answer);
}

static bool
exists (const struct fixture *fixture, const char *key)
{
	struct dff_table_row row;
	return dff_memory_peek (fixture->memory, dff_str_from (key), &row);
}

static void
test_conditions_and_repeats (void **state)
{
	struct fixture *fixture = *state;
	static const struct {
		const char *write_id;
		const char *key;
		int64_t expected;
		enum dff_table_outcome outcome;
		int64_t revision;
	} cases[] = {
		{"w1", "a", 0, DFF_TABLE_OK, 1},       {"w1", "a", 0, DFF_TABLE_OK, 1},
		{"w2", "a", 0, DFF_TABLE_CONFLICT, 1}, {"w3", "a", 1, DFF_TABLE_OK, 2},
		{"w2", "a", 2, DFF_TABLE_CONFLICT, 2}, {"w4", "b", 0, DFF_TABLE_OK, 3},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct answer answer = {0};
		commit (fixture, cases[i].write_id, cases[i].key, cases[i].expected, &answer);
		assert_int_equal (answer.calls, 1);
		assert_int_equal (answer.outcome, cases[i].outcome);
		assert_int_equal (answer.revision, cases[i].revision);
	}
}

/* Guards against ending a scan within a commit, whose rows share one revision. One commit writes
 * three rows; if a scan with a limit of two ends within it, the next scan starts after that
 * revision, and no holder loads the job of the third row. */
static void
test_scan_keeps_commits_whole (void **state)
{
	struct fixture *fixture = *state;
	struct dff_table_write writes[] = {
		{dff_str_from ("j/1"), dff_str_from ("v")},
		{dff_str_from ("j/2"), dff_str_from ("v")},
		{dff_str_from ("j/3"), dff_str_from ("v")},
	};
	const struct dff_table *table = &fixture->handle->table;
	struct answer answer = {0};
	commit (fixture, "w1", "j/0", 0, &answer);
	struct dff_table_txn txn = {
		.write_id = dff_name_from ("w2"), .writes = writes, .n_writes = 3};
	table->commit (table->ctx, &txn, handle_answer, &answer);
	commit (fixture, "w3", "j/4", 0, &answer);
	static const struct {
		int64_t after;
		size_t limit;
		size_t n_rows;
		bool more;
	} cases[] = {
		{0, 10, 5, false}, {0, 5, 5, false}, {0, 4, 4, true},  {0, 3, 4, true},
		{0, 1, 1, true},   {1, 2, 3, true},  {1, 4, 4, false}, {3, 5, 0, false},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		table->scan (table->ctx, dff_str_from ("j/"), cases[i].after, cases[i].limit,
			     handle_answer, &answer);
		assert_int_equal (answer.n_rows, cases[i].n_rows);
		assert_int_equal (answer.more, cases[i].more);
	}
}

/* Guards against limiting pages by the number of rows only: a page of large rows exceeds what the
 * client accepts, and a new holder never gets beyond its first page. */
static void
test_scan_is_limited_in_bytes (void **state)
{
	struct fixture *fixture = *state;
	struct dff_memory_options options = {.clock = &fixture->clock.clock,
					     .limits = {.max_scan_bytes = 6}};
	dff_memory_close (fixture->handle);
	dff_memory_free (fixture->memory);
	fixture->memory = dff_memory_new (&options);
	fixture->handle = dff_memory_open (fixture->memory);
	const struct dff_table *table = &fixture->handle->table;
	struct answer answer = {0};
	static const char *const keys[] = {"j/0", "j/1", "j/2"};
	for (size_t i = 0; i < G_N_ELEMENTS (keys); i++)
		commit (fixture, keys[i] + 2, keys[i], 0, &answer);
	table->scan (table->ctx, dff_str_from ("j/"), 0, 10, handle_answer, &answer);
	assert_int_equal (answer.n_rows, 2);
	assert_true (answer.more);
	table->scan (table->ctx, dff_str_from ("j/"), 2, 10, handle_answer, &answer);
	assert_int_equal (answer.n_rows, 1);
	assert_false (answer.more);
}

static void
test_delay (void **state)
{
	struct fixture *fixture = *state;
	fixture->handle->faults.delay_min_ms = 10;
	fixture->handle->faults.delay_max_ms = 10;
	struct answer answer = {0};
	commit (fixture, "w1", "a", 0, &answer);
	assert_int_equal (dff_memory_next_due_ms (fixture->memory), 1005);
	advance (fixture, 5);
	assert_true (exists (fixture, "a"));
	assert_int_equal (answer.calls, 0);
	advance (fixture, 5);
	assert_int_equal (answer.calls, 1);
	assert_int_equal (dff_memory_next_due_ms (fixture->memory), INT64_MAX);
}

static void
test_outage (void **state)
{
	struct fixture *fixture = *state;
	fixture->handle->faults.outage_until_ms = 1100;
	struct answer answer = {0};
	commit (fixture, "w1", "a", 0, &answer);
	assert_int_equal (answer.outcome, DFF_TABLE_UNAVAILABLE);
	assert_false (exists (fixture, "a"));
	advance (fixture, 100);
	commit (fixture, "w2", "a", 0, &answer);
	assert_int_equal (answer.outcome, DFF_TABLE_OK);
}

static void
test_silence (void **state)
{
	struct fixture *fixture = *state;
	fixture->handle->faults.silent_until_ms = 1100;
	struct answer answer = {0};
	commit (fixture, "w1", "a", 0, &answer);
	advance (fixture, 99);
	assert_int_equal (answer.calls, 0);
	assert_false (exists (fixture, "a"));
	advance (fixture, 1);
	assert_int_equal (answer.outcome, DFF_TABLE_OK);
	assert_true (exists (fixture, "a"));
}

/* Guards against answering a commit OK with revision 0 before anything is written. Its effect falls
 * due during a silence, and the next tick comes after the due time of the answer: if the held
 * effect is rescheduled to the end of the silence, the answer runs first. */
static void
test_silence_keeps_effect_before_answer (void **state)
{
	struct fixture *fixture = *state;
	fixture->handle->faults.delay_min_ms = 100;
	fixture->handle->faults.delay_max_ms = 100;
	fixture->handle->faults.silent_until_ms = 1080;
	struct answer answer = {0};
	commit (fixture, "w1", "a", 0, &answer);
	advance (fixture, 60);
	assert_false (exists (fixture, "a"));
	advance (fixture, 60);
	assert_int_equal (answer.calls, 1);
	assert_int_equal (answer.outcome, DFF_TABLE_OK);
	assert_int_equal (answer.revision, dff_memory_revision (fixture->memory));
	assert_true (answer.revision > 0);
	assert_true (exists (fixture, "a"));
}

static void
test_uncertain_commits (void **state)
{
	struct fixture *fixture = *state;
	static const struct {
		struct dff_memory_faults faults;
		const char *key;
		bool exists_at_once;
		bool lookup_before_late_write;
		bool exists_in_the_end;
		enum dff_table_outcome lookup;
	} cases[] = {
		{{.lose_answers = 1}, "a", true, true, true, DFF_TABLE_OK},
		{{.lost_writes = 1}, "b", false, true, false, DFF_TABLE_CONFLICT},
		{{.late_writes = 1, .late_ms = 50}, "c", false, true, false, DFF_TABLE_CONFLICT},
		{{.late_writes = 1, .late_ms = 50}, "d", false, false, true, DFF_TABLE_OK},
		{{.lose_permille = 1000}, "e", true, false, true, DFF_TABLE_UNCERTAIN},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct answer answer = {0};
		struct answer looked_up = {0};
		fixture->handle->faults = cases[i].faults;
		commit (fixture, cases[i].key, cases[i].key, 0, &answer);
		assert_int_equal (answer.outcome, DFF_TABLE_UNCERTAIN);
		assert_int_equal (exists (fixture, cases[i].key), cases[i].exists_at_once);
		if (cases[i].lookup_before_late_write)
			lookup (fixture, cases[i].key, &looked_up);
		advance (fixture, 50);
		if (!cases[i].lookup_before_late_write)
			lookup (fixture, cases[i].key, &looked_up);
		assert_int_equal (looked_up.outcome, cases[i].lookup);
		assert_int_equal (exists (fixture, cases[i].key), cases[i].exists_in_the_end);
		assert_int_equal (answer.calls, 1);
	}
}

static void
test_outage_of_one_handle (void **state)
{
	struct fixture *fixture = *state;
	struct dff_memory_handle *other = dff_memory_open (fixture->memory);
	other->faults.outage_until_ms = DFF_MEMORY_FOREVER;
	struct answer answer = {0};
	other->table.lookup (other->table.ctx, &(struct dff_name){"x", 1}, handle_answer, &answer);
	assert_int_equal (answer.outcome, DFF_TABLE_UNAVAILABLE);
	commit (fixture, "w1", "a", 0, &answer);
	assert_int_equal (answer.outcome, DFF_TABLE_OK);
	dff_memory_close (other);
}

/* A commit that a process sent before it died still takes effect, as the table does not notice the
 * death: the successor may first read the table without the commit. */
static void
test_commit_outlives_its_handle (void **state)
{
	struct fixture *fixture = *state;
	fixture->handle->faults.delay_min_ms = 10;
	struct answer answer = {0};
	commit (fixture, "w1", "a", 0, &answer);
	dff_memory_close (fixture->handle);
	fixture->handle = NULL;
	advance (fixture, 10);
	assert_true (exists (fixture, "a"));
	assert_int_equal (answer.calls, 0);
}

static void
handle_object (void *user, const struct dff_object_result *result)
{
	GString *text = user;
	g_string_printf (text, "%d:%.*s", result->outcome, (int)result->data.len,
			 result->data.len > 0 ? result->data.data : "");
}

static void
test_objects (void **state)
{
	struct fixture *fixture = *state;
	const struct dff_object_store *objects = &fixture->handle->objects;
	g_autoptr (GString) text = g_string_new (NULL);
	objects->get (objects->ctx, dff_str_from ("k"), handle_object, text);
	assert_string_equal (text->str, "1:");
	objects->put (objects->ctx, dff_str_from ("k"), dff_str_from ("data"), handle_object, text);
	assert_string_equal (text->str, "0:");
	objects->get (objects->ctx, dff_str_from ("k"), handle_object, text);
	assert_string_equal (text->str, "0:data");
	fixture->handle->faults.outage_until_ms = DFF_MEMORY_FOREVER;
	objects->get (objects->ctx, dff_str_from ("k"), handle_object, text);
	assert_string_equal (text->str, "2:");
}

static void
handle_instances (void *user, const struct dff_instance_list_result *result)
{
	GString *text = user;
	g_string_assign (text, result->ok ? "" : "down");
	for (size_t i = 0; i < result->n_instances; i++) {
		const struct dff_instance *instance = &result->instances[i];
		g_string_append (text, instance->id.data);
		g_string_append (text, instance->leaving ? "- " : " ");
	}
}

static void
test_instances_lag_and_expire (void **state)
{
	struct fixture *fixture = *state;
	struct dff_instance worker = {.id = dff_name_from ("w2")};
	struct dff_instance other = {.id = dff_name_from ("w1")};
	static const struct {
		int64_t at_ms;
		const char *listed;
	} cases[] = {{0, ""}, {299, ""}, {300, "w1 w2 "}, {500, "w1 w2- "}, {800, "w2- "}};
	const struct dff_instance_list *list = &fixture->handle->instances;
	g_autoptr (GString) text = g_string_new (NULL);
	dff_memory_announce (fixture->memory, &worker, 0);
	dff_memory_announce (fixture->memory, &other, 500);
	fixture->clock.now_ms = 1200;
	worker.leaving = true;
	dff_memory_announce (fixture->memory, &worker, 0);
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		fixture->clock.now_ms = 1000 + cases[i].at_ms;
		list->list (list->ctx, handle_instances, text);
		assert_string_equal (text->str, cases[i].listed);
	}
	dff_memory_remove_instance (fixture->memory, &worker.id);
	advance (fixture, 300);
	list->list (list->ctx, handle_instances, text);
	assert_string_equal (text->str, "");
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown (test_conditions_and_repeats, setup, teardown),
		cmocka_unit_test_setup_teardown (test_scan_keeps_commits_whole, setup, teardown),
		cmocka_unit_test_setup_teardown (test_scan_is_limited_in_bytes, setup, teardown),
		cmocka_unit_test_setup_teardown (test_delay, setup, teardown),
		cmocka_unit_test_setup_teardown (test_outage, setup, teardown),
		cmocka_unit_test_setup_teardown (test_silence, setup, teardown),
		cmocka_unit_test_setup_teardown (test_silence_keeps_effect_before_answer, setup,
						 teardown),
		cmocka_unit_test_setup_teardown (test_uncertain_commits, setup, teardown),
		cmocka_unit_test_setup_teardown (test_outage_of_one_handle, setup, teardown),
		cmocka_unit_test_setup_teardown (test_commit_outlives_its_handle, setup, teardown),
		cmocka_unit_test_setup_teardown (test_objects, setup, teardown),
		cmocka_unit_test_setup_teardown (test_instances_lag_and_expire, setup, teardown),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
