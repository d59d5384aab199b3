#ifndef DFF_FRONT_FRONT_H
#define DFF_FRONT_FRONT_H

#include "common/cleanup.h"
#include "common/metrics.h"
#include "common/timer.h"
#include "graph/progress.h"
#include "rows/rows.h"

/*
 * What callers ask for, answered by any process: accept a job, cancel it, tell its state. The row
 * store tells, and of a state first the process that decides, which has it in memory. Nothing is
 * kept between calls. A job is accepted when its row is committed; the id is the caller's, so that
 * the same submission through any processes, any number of times, is one job.
 */

struct dff_front;

/** @known: whether the process that was asked can tell. */
typedef void (*dff_front_state_func) (void *user, bool known, enum dff_job_state state);

struct dff_front_options {
	const struct dff_timers *timers;
	const struct dff_rows *rows;
	struct dff_metrics *metrics;
	/** Returns: whether the store does not answer now. */
	bool (*store_is_silent) (void *ctx);
	void *ctx;
	/** (nullable): returns whether rows that are written now go through another process, which
	 * the store may answer. */
	bool (*writes_forwarded) (void *ctx);
	/** (nullable): asks the process that decides for a job's state on record. Returns: false
	 * when there is none to ask, and @done is not called; else it is, once and never before
	 * the call returns. */
	bool (*query_state) (void *ctx,
			     const struct dff_name *job,
			     dff_front_state_func done,
			     void *user);
	void *query_ctx;
};

struct dff_front *dff_front_new (const struct dff_front_options *options);

void dff_front_free (struct dff_front *front);

DFF_DEFINE_CLEANUP (dff_front, dff_front_free);

enum dff_front_outcome {
	DFF_FRONT_OK,
	/** There is no such job. */
	DFF_FRONT_NOT_FOUND,
	/** Proven not done: the caller may come back. */
	DFF_FRONT_UNAVAILABLE,
	/** The caller's time is up and what became of the call is not known. */
	DFF_FRONT_UNKNOWN,
};

struct dff_front_result {
	enum dff_front_outcome outcome;
	/** Of a question about a job's state. */
	enum dff_job_state state;
	/** Of a question about a class. */
	int32_t waiting;
};

typedef void (*dff_front_func) (void *user, const struct dff_front_result *result);

/** How long callers wait, on the monotonic clock, and whom to tell. The callback comes once, never
 * before the call returns. */
struct dff_front_reply {
	int64_t deadline_ms;
	dff_front_func done;
	void *user;
};

void dff_front_submit (struct dff_front *front,
		       const struct dff_plan *plan,
		       const struct dff_front_reply *reply);

void dff_front_cancel (struct dff_front *front,
		       const struct dff_name *job,
		       const struct dff_front_reply *reply);

void dff_front_read_state (struct dff_front *front,
			   const struct dff_name *job,
			   const struct dff_front_reply *reply);

/** Counts the jobs of a class that are accepted and have not begun. */
void dff_front_count_waiting (struct dff_front *front,
			      const struct dff_name *class_name,
			      const struct dff_front_reply *reply);

#endif
