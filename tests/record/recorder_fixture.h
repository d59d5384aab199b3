#ifndef DFF_TESTS_RECORD_RECORDER_FIXTURE_H
#define DFF_TESTS_RECORD_RECORDER_FIXTURE_H

#include "backing/memory.h"
#include "record/recorder.h"

/* A recorder with a table in memory and a virtual clock. */

#define TICK_MS 5
#define ANSWER_TIMEOUT_MS 500
#define MAX_COMMITS_PER_S 50
#define MAX_ROWS 8
#define MAX_WAITING 40
#define MAX_ROW_BYTES (200 << 10)

struct recorder_fixture {
	struct dff_clock_virtual clock;
	struct dff_metrics *metrics;
	struct dff_memory *memory;
	struct dff_memory_handle *caller;
	struct dff_recorder *recorder;
	/** Keys of committed writes, in order of their callbacks. */
	GString *done_order;
};

/** Outcome before the callback has run. */
#define NO_OUTCOME ((enum dff_record_outcome)99)

/** One write and its outcome. */
struct recorder_writer {
	struct recorder_fixture *fixture;
	const char *key;
	uint64_t ticket;
	int calls;
	enum dff_record_outcome outcome;
	int64_t revision;
};

int recorder_setup (void **state);

int recorder_teardown (void **state);

/** Advances the clock by @ms, one tick at a time. */
void recorder_run (struct recorder_fixture *fixture, int64_t ms);

/** Writes @value under @key on condition that @condition_key (nullable) has revision @expected.
 * @writer receives the outcome; @queue_timeout_ms: 0: no limit. */
void recorder_write (struct recorder_fixture *fixture,
		     struct recorder_writer *writer,
		     const char *key,
		     const char *value,
		     const char *condition_key,
		     int64_t expected,
		     int32_t queue_timeout_ms);

/** Returns: whether the table holds @value under @key; @value NULL: whether there is no row. */
bool recorder_row_is (const struct recorder_fixture *fixture, const char *key, const char *value);

#endif
