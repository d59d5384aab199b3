#ifndef DFF_RECORD_RECORDER_H
#define DFF_RECORD_RECORDER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "backing/table.h"
#include "common/cleanup.h"
#include "common/clock.h"
#include "common/metrics.h"

/*
 * Durable writes to the table: group commit, a budget of transactions a second, a circuit breaker
 * with jittered back-off, and resolution of lost answers by reading back the write id. A writer is
 * never told "not recorded" unless it is proven.
 */

/* Writes with a key in common (of a row written by one of them) take effect in the order in which
 * they were given, also when the answer of one is lost; others may pass each other. */

struct dff_recorder;

struct dff_recorder_options {
	const struct dff_table *table;
	const struct dff_clock *clock;
	struct dff_metrics *metrics;
	/** Prefix of write ids; unique for each process and start. */
	struct dff_name writer;
	uint64_t seed;
	/** Transactions a second at the most, and rows in one transaction at the most. */
	int32_t max_commits_per_s;
	int32_t max_rows_per_commit;
	/** Bytes in one transaction at the most, unless a single unit is larger. */
	int32_t max_bytes_per_commit;
	/** Longest wait of a write for company, ms. */
	int32_t linger_ms;
	/** Writes waiting at the most; beyond it writes are refused at once as not recorded. */
	int32_t max_waiting;
	/** A commit without answer this long is uncertain, ms. */
	int32_t answer_timeout_ms;
};

/** Keys and values of one unit at the most; a larger one is refused at once as not recorded. */
#define DFF_RECORD_MAX_UNIT_BYTES (512 << 10)

/** Sets the defaults; table, clock, metrics and writer are left to the caller. */
void dff_recorder_options_init (struct dff_recorder_options *options);

/** Returns: (transfer full): @options is copied, what it points to is borrowed. */
struct dff_recorder *dff_recorder_new (const struct dff_recorder_options *options);

/** Drops waiting writes without calling back. The table must call back no more: close or free it
 * first. Not to be called from a callback. */
void dff_recorder_free (struct dff_recorder *recorder);

DFF_DEFINE_CLEANUP (dff_recorder, dff_recorder_free);

enum dff_record_outcome {
	DFF_RECORD_COMMITTED,
	/** A condition did not hold. Proven not written. */
	DFF_RECORD_CONFLICT,
	/** Proven not written: refused, never sent, or found absent and barred by its write id. */
	DFF_RECORD_NOT_COMMITTED,
};

/** @revision: of the commit, for the next condition. */
typedef void (*dff_record_func) (void *user, enum dff_record_outcome outcome, int64_t revision);

/**
 * struct dff_record_write:
 * One atomic unit, at most 4 writes. Units are grouped into transactions; a unit whose condition
 * fails does not fail the others of its group. Copied.
 */
struct dff_record_write {
	const struct dff_table_condition *conditions;
	size_t n_conditions;
	const struct dff_table_write *writes;
	size_t n_writes;
	/** Somebody waits for it: not sent when it has waited this long, and refused at once while
	 * the breaker is open, both NOT_DONE; 0: waits as long as it takes, ms. */
	int32_t queue_timeout_ms;
};

/**
 * dff_recorder_write:
 *
 * @done is called once, never before this call returns. While the store keeps silent about a commit
 * that was sent, it is not called; dff_recorder_abandon() is for callers who cannot wait.
 *
 * Returns: ticket for dff_recorder_abandon().
 */
uint64_t dff_recorder_write (struct dff_recorder *recorder,
			     const struct dff_record_write *write,
			     dff_record_func done,
			     void *user);

enum dff_abandon_outcome {
	/** It was still waiting and is dropped: proven not written. */
	DFF_ABANDON_NOT_COMMITTED,
	/** It has been sent: its effect stays unknown to this caller. @done is not called any more.
	 */
	DFF_ABANDON_UNKNOWN,
};

/** Gives up on a write whose callback has not come yet. */
enum dff_abandon_outcome dff_recorder_abandon (struct dff_recorder *recorder, uint64_t ticket);

/** Changes the maximum of transactions a second, from now on. */
void dff_recorder_set_max_commits (struct dff_recorder *recorder, int32_t max_commits_per_s);

/** Sends what is due and times out what is overdue. To be called every few milliseconds. */
void dff_recorder_tick (struct dff_recorder *recorder);

/** Whether the breaker is open: new work that needs a record should be refused at once. */
bool dff_recorder_is_breaker_open (const struct dff_recorder *recorder);

/** When a refused caller should come back, seconds, jittered, at least 1. */
int32_t dff_recorder_retry_after_s (struct dff_recorder *recorder);

#endif
