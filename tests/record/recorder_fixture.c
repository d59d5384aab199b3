#include "recorder_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

int
recorder_setup (void **state)
{
	struct recorder_fixture *fixture = g_new0 (struct recorder_fixture, 1);
	dff_clock_virtual_init (&fixture->clock, 1000);
	struct dff_memory_options memory_options = {
		.clock = &fixture->clock.clock,
		.seed = 1,
		.limits = {.max_row_bytes = MAX_ROW_BYTES},
	};
	fixture->memory = dff_memory_new (&memory_options);
	fixture->caller = dff_memory_open (fixture->memory);
	fixture->metrics = dff_metrics_new ();
	struct dff_recorder_options options;
	dff_recorder_options_init (&options);
	options.table = &fixture->caller->table;
	options.clock = &fixture->clock.clock;
	options.metrics = fixture->metrics;
	options.writer = dff_name_from ("entry-1");
	options.max_commits_per_s = MAX_COMMITS_PER_S;
	options.max_rows_per_commit = MAX_ROWS;
	options.max_waiting = MAX_WAITING;
	options.answer_timeout_ms = ANSWER_TIMEOUT_MS;
	fixture->recorder = dff_recorder_new (&options);
	fixture->done_order = g_string_new (NULL);
	*state = fixture;
	return 0;
}

int
recorder_teardown (void **state)
{
	struct recorder_fixture *fixture = *state;
	dff_memory_close (fixture->caller);
	dff_recorder_free (fixture->recorder);
	dff_metrics_free (fixture->metrics);
	dff_memory_free (fixture->memory);
	g_string_free (fixture->done_order, TRUE);
	g_free (fixture);
	return 0;
}

void
recorder_run (struct recorder_fixture *fixture, int64_t ms)
{
	for (int64_t end_ms = fixture->clock.now_ms + ms; fixture->clock.now_ms < end_ms;) {
		fixture->clock.now_ms += TICK_MS;
		dff_memory_tick (fixture->memory);
		dff_recorder_tick (fixture->recorder);
	}
}

static void
handle_outcome (void *user, enum dff_record_outcome outcome, int64_t revision)
{
	struct recorder_writer *writer = user;
	writer->calls++;
	writer->outcome = outcome;
	writer->revision = revision;
	if (outcome == DFF_RECORD_COMMITTED)
		g_string_append_printf (writer->fixture->done_order, "%s ", writer->key);
}

void
recorder_write (struct recorder_fixture *fixture,
		struct recorder_writer *writer,
		const char *key,
		const char *value,
		const char *condition_key,
		int64_t expected,
		int32_t queue_timeout_ms)
{
	memset (writer, 0, sizeof (*writer));
	writer->fixture = fixture;
	writer->key = key;
	writer->outcome = NO_OUTCOME;
	struct dff_table_write row = {dff_str_from (key), dff_str_from (value)};
	struct dff_table_condition condition = {.revision = expected};
	if (condition_key != NULL)
		condition.key = dff_str_from (condition_key);
	struct dff_record_write write = {
		.conditions = &condition,
		.n_conditions = condition_key == NULL ? 0 : 1,
		.writes = &row,
		.n_writes = 1,
		.queue_timeout_ms = queue_timeout_ms,
	};
	writer->ticket = dff_recorder_write (fixture->recorder, &write, handle_outcome, writer);
	assert_int_equal (writer->calls, 0);
}

bool
recorder_row_is (const struct recorder_fixture *fixture, const char *key, const char *value)
{
	struct dff_table_row row;
	if (!dff_memory_peek (fixture->memory, dff_str_from (key), &row))
		return value == NULL;
	return value != NULL && dff_str_equal (row.value, dff_str_from (value));
}
