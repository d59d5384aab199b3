#ifndef DFF_BENCH_REPLAY_H
#define DFF_BENCH_REPLAY_H

#include <jansson.h>

#include "bench/policy.h"
#include "bench/session.h"

/** Ticks happen at whole multiples of this, when there is something to do, ms. */
#define DFF_TICK_MS 100

struct dff_replay_options {
	const struct dff_pool *pool;
	const struct dff_session *session;
	struct dff_policy *policy;
	/** Checks the policy's own invariants at every tick. */
	bool check;
	/** (nullable): gets one line of comma-separated values a job. */
	FILE *jobs_file;
};

/**
 * dff_replay_run:
 *
 * Replays a session to its end: until every accepted job has ended, or nothing happens any more, or
 * DFF_REPLAY_TAIL_MS after the last line.
 *
 * Returns: (transfer full) (nullable): the JSON object with the figures; NULL with @error when an
 * invariant of the policy broke.
 */
json_t *dff_replay_run (const struct dff_replay_options *options, GError **error);

#endif
