#ifndef DFF_BENCH_BASELINE_H
#define DFF_BENCH_BASELINE_H

#include "bench/cluster.h"
#include "bench/policy.h"

/* What both baselines share: the life of an attempt, with the same commands and answers as the
 * decision core's, and the queue. They differ in which queued jobs they start. */

enum dff_baseline_state {
	DFF_BASELINE_QUEUED,
	DFF_BASELINE_RECORDING,
	DFF_BASELINE_STARTING,
	DFF_BASELINE_RUNNING,
	DFF_BASELINE_STOPPING,
	DFF_BASELINE_ENDING,
};

struct dff_baseline_member {
	int32_t worker;
	uint64_t accelerators;
	bool open;
};

struct dff_baseline_class;

struct dff_baseline_job {
	struct dff_job_spec spec;
	/** Order of submission. */
	int64_t sequence;
	/** The class it is queued in, or was. */
	struct dff_baseline_class *queue;
	enum dff_baseline_state state;
	bool cancelled;
	/** Whether a member of the attempt ended other than by completing. */
	bool broken;
	/** Whether a member was lost after it may have run. */
	bool lost;
	int32_t attempt;
	int32_t failures;
	struct dff_baseline_member *members;
	GArray *placements;
	int32_t n_open;
	int32_t n_started;
	/** By its declared time; while it runs. */
	int64_t expected_end_ms;
	GList link;
};

/** Queued jobs that are alike to placement, in order. */
struct dff_baseline_class {
	GQueue jobs;
	/** For the pass in progress: nothing like it can be placed. */
	bool closed;
	/** For the pass in progress: nothing like it can be placed beside the reservation. */
	bool limited;
	/** For the pass in progress: the next job to look at. */
	GList *next;
};

struct dff_baseline {
	struct dff_cluster cluster;
	const struct dff_pool *pool;
	/** struct dff_name * (in the job) to struct dff_baseline_job *. */
	GHashTable *jobs;
	/** GBytes * to struct dff_baseline_class *. */
	GHashTable *classes;
	/** Classes that the pass in progress has not done with. */
	GPtrArray *open_classes;
	GArray *pending; /**< Elements: struct dff_command. */
	bool dirty;
	int64_t last_sequence;
	void (*schedule) (struct dff_baseline *baseline, int64_t now_ms);
};

/** Sets up @policy over a baseline that starts jobs by @schedule. */
void dff_baseline_init (struct dff_policy *policy,
			const struct dff_pool *pool,
			void (*schedule) (struct dff_baseline *baseline, int64_t now_ms));

/** Leases the workers and asks for the attempt to be recorded. */
void dff_baseline_start (struct dff_baseline *baseline,
			 struct dff_baseline_job *job,
			 const int32_t *workers);

/* baseline_queue.c */

void dff_baseline_enqueue (struct dff_baseline *baseline, struct dff_baseline_job *job);

void dff_baseline_dequeue (struct dff_baseline_job *job);

/** Starts a pass over the queue. */
void dff_baseline_pass_begin (struct dff_baseline *baseline);

/** Returns: (nullable): the first job not looked at yet whose class is not closed. Urgent jobs come
 * first, then guaranteed ones, then by submission. */
struct dff_baseline_job *dff_baseline_pass_next (struct dff_baseline *baseline);

/* fifo.c, backfill.c */

void dff_fifo_schedule (struct dff_baseline *baseline, int64_t now_ms);

void dff_backfill_schedule (struct dff_baseline *baseline, int64_t now_ms);

#endif
