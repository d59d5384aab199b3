#ifndef DFF_BENCH_REPLAY_H
#define DFF_BENCH_REPLAY_H

#include <jansson.h>

#include "bench/policy.h"
#include "bench/runner.h"
#include "bench/session.h"

/** Tick interval, ms: ticks are at multiples of it, when something is due. */
#define DFF_TICK_MS 100

struct dff_replay_options {
	const struct dff_pool *pool;
	const struct dff_session *session;
	struct dff_policy *policy;
	/** Whether to check the policy's invariants at every tick. */
	bool check;
	/** (nullable): receives one line of comma-separated values per job. */
	FILE *jobs_file;
};

/** A replay in progress. */
struct dff_replay {
	const struct dff_replay_options *options;
	struct dff_runner runner;
	GArray *commands; /**< Elements: struct dff_command, of the last tick. */
	GArray *tick_us;  /**< Elements: double, processor time. */
	/** Index of the next line of the session. */
	guint next_event;
	int64_t last_tick_ms;
	int64_t last_line_ms;
	/** Last tick with an event or a command, ms. */
	int64_t last_active_ms;
	double policy_seconds;
};

/** @options: borrowed until dff_replay_clear(). */
void dff_replay_init (struct dff_replay *replay, const struct dff_replay_options *options);

void dff_replay_clear (struct dff_replay *replay);

/** Delivers the events up to @now_ms, ticks once and executes the commands. */
void dff_replay_tick (struct dff_replay *replay, int64_t now_ms);

/**
 * dff_replay_advance:
 *
 * Replays up to @until_ms, or until every accepted job has ended or nothing has happened for a
 * day.
 *
 * Returns: false with @error when the policy violated an invariant.
 */
bool dff_replay_advance (struct dff_replay *replay, int64_t until_ms, GError **error);

/**
 * dff_replay_run:
 *
 * Replays a session to its end: until every accepted job has ended, or nothing has happened for a
 * day, or DFF_REPLAY_TAIL_MS after the last line.
 *
 * Returns: (transfer full) (nullable): the JSON object with the figures; NULL with @error when the
 * policy violated an invariant.
 */
json_t *dff_replay_run (const struct dff_replay_options *options, GError **error);

#endif
