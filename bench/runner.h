#ifndef DFF_BENCH_RUNNER_H
#define DFF_BENCH_RUNNER_H

#include "bench/claims.h"
#include "bench/events.h"
#include "bench/fragmentation.h"
#include "bench/job_run.h"
#include "bench/policy.h"
#include "bench/session.h"

/* Simulates store and workers: executes a policy's commands, answers each after a constant time,
 * and ends a task after its actual run time. */

/** Latencies, the same for every policy, ms. */
#define DFF_RECORD_MS 50
#define DFF_START_MS 200
#define DFF_STOP_MS 100
#define DFF_CHECKPOINT_MS 1000
/** Time from a worker's death until the leases of its tasks have expired. */
#define DFF_TASK_LEASE_MS 5000
/** Time from a start until the failure, on a worker that fails every task. */
#define DFF_FAILURE_MS 1000

struct dff_runner_worker {
	struct dff_name name;
	guint rack;
	bool alive;
	bool usable;
	bool fails_everything;
	int32_t accelerators;
	uint64_t leased;
	/** Accelerators that fragmentation counts as free. */
	int32_t counted_free;
};

struct dff_runner {
	struct dff_policy *policy;
	const struct dff_pool *pool;
	GArray *workers; /**< Elements: struct dff_runner_worker. */
	GHashTable *worker_index;
	GArray *jobs; /**< Elements: struct dff_job_run. */
	GHashTable *job_index;
	/** Jobs with an attempt. Keys: index. */
	GHashTable *active;
	struct dff_answer_queue answers;
	struct dff_fragmentation fragmentation;
	struct dff_claims *claims;
	/** Jobs accepted and not ended. */
	int64_t n_open;
	int64_t decisions;
	int64_t lost_work_ms;
	int64_t rule_violations;
};

/** @until_ms: end of the time that fragmentation is averaged over. */
void dff_runner_init (struct dff_runner *runner,
		      struct dff_policy *policy,
		      const struct dff_pool *pool,
		      int64_t until_ms);

void dff_runner_clear (struct dff_runner *runner);

/** Reports every worker as up to the policy. */
void dff_runner_start (struct dff_runner *runner, int64_t now_ms);

/** Applies an event of the session. */
void dff_runner_session_event (struct dff_runner *runner, const struct dff_session_event *event);

/** Delivers the next answer, which must be due, to the policy. */
void dff_runner_answer_next (struct dff_runner *runner);

/** Executes one command of the policy. */
void
dff_runner_command (struct dff_runner *runner, const struct dff_command *command, int64_t now_ms);

#endif
