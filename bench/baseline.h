#ifndef DFF_BENCH_BASELINE_H
#define DFF_BENCH_BASELINE_H

#include "bench/cluster.h"
#include "bench/policy.h"

/* Common to both baseline policies: the queue, and the states of an attempt, with the commands and
 * answers of the decision core. The policies differ in the queued jobs that they start. */

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
	/** Class of the queue that the job is or was in. */
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
	/** Expected end by the declared run time, ms; valid while the job runs. */
	int64_t expected_end_ms;
	GList link;
};

/** Queued jobs with the same placement requirements, in order. */
struct dff_baseline_class {
	GQueue jobs;
	/** In the current pass: no job of the class can be placed. */
	bool closed;
	/** In the current pass: no job of the class can be placed beside the reservation. */
	bool limited;
	/** In the current pass: the next job to examine. */
	GList *next;
};

struct dff_baseline {
	struct dff_cluster cluster;
	const struct dff_pool *pool;
	/** struct dff_name * (in the job) to struct dff_baseline_job *. */
	GHashTable *jobs;
	/** GBytes * to struct dff_baseline_class *. */
	GHashTable *classes;
	/** Classes with jobs that the current pass has yet to examine. */
	GPtrArray *open_classes;
	GArray *pending; /**< Elements: struct dff_command. */
	bool dirty;
	int64_t last_sequence;
	void (*schedule) (struct dff_baseline *baseline, int64_t now_ms);
};

/** Initialises @policy with a baseline whose jobs are started by @schedule. */
void dff_baseline_init (struct dff_policy *policy,
			const struct dff_pool *pool,
			void (*schedule) (struct dff_baseline *baseline, int64_t now_ms));

/** Leases the workers and requests the record of the attempt. */
void dff_baseline_start (struct dff_baseline *baseline,
			 struct dff_baseline_job *job,
			 const int32_t *workers);

/* baseline_queue.c */

void dff_baseline_enqueue (struct dff_baseline *baseline, struct dff_baseline_job *job);

void dff_baseline_dequeue (struct dff_baseline_job *job);

/** Starts a pass over the queue. */
void dff_baseline_pass_begin (struct dff_baseline *baseline);

/** Returns: (nullable): the next job to examine whose class is not closed: urgent jobs first, then
 * guaranteed jobs, then by submission. */
struct dff_baseline_job *dff_baseline_pass_next (struct dff_baseline *baseline);

/* fifo.c, backfill.c */

void dff_fifo_schedule (struct dff_baseline *baseline, int64_t now_ms);

void dff_backfill_schedule (struct dff_baseline *baseline, int64_t now_ms);

#endif
