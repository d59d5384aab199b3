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
 * Durable writes to the table: group commit, a limit of transactions per second, a circuit breaker
 * with jittered backoff, and resolution of lost answers by looking up the write id. A write is
 * reported as not committed only if that is proven.
 */

/* Two writes that share a key, which at least one of them writes, take effect in the order in which
 * they were given, even if an answer is lost. Other writes may be reordered. */

struct dff_recorder;

struct dff_recorder_options {
	const struct dff_table *table;
	const struct dff_clock *clock;
	struct dff_metrics *metrics;
	/** Prefix of write ids; unique for each start of each process. */
	struct dff_name writer;
	uint64_t seed;
	/** Most transactions per second. */
	int32_t max_commits_per_s;
	/** Most rows in one transaction. */
	int32_t max_rows_per_commit;
	/** Most bytes in one transaction, unless a single unit is larger. */
	int32_t max_bytes_per_commit;
	/** Longest time that a write waits to be grouped with others, ms. */
	int32_t linger_ms;
	/** Most queued writes; further ones end at once with DFF_RECORD_NOT_COMMITTED. */
	int32_t max_waiting;
	/** Time without an answer after which a commit is uncertain, ms. */
	int32_t answer_timeout_ms;
};

/** Largest size of the keys and values of one unit, bytes; a larger unit ends at once with
 * DFF_RECORD_NOT_COMMITTED. */
#define DFF_RECORD_MAX_UNIT_BYTES (512 << 10)

/** Sets the defaults. The caller sets table, clock, metrics and writer. */
void dff_recorder_options_init (struct dff_recorder_options *options);

/** Returns: (transfer full): a recorder. Copies @options; what it points to is borrowed. */
struct dff_recorder *dff_recorder_new (const struct dff_recorder_options *options);

/** Drops queued writes without running their callbacks. Close or free the table first, as it must
 * not call back any more. Must not be called from a callback. */
void dff_recorder_free (struct dff_recorder *recorder);

DFF_DEFINE_CLEANUP (dff_recorder, dff_recorder_free);

enum dff_record_outcome {
	DFF_RECORD_COMMITTED,
	/** A condition did not hold. Proven not written. */
	DFF_RECORD_CONFLICT,
	/** Proven not written: refused, never sent, or found absent by a lookup, which also bars
	 * the write id. */
	DFF_RECORD_NOT_COMMITTED,
};

/** @revision: that of the commit, for use in the next condition. */
typedef void (*dff_record_func) (void *user, enum dff_record_outcome outcome, int64_t revision);

/**
 * struct dff_record_write:
 * One atomic unit of at most 4 writes. Units are grouped into transactions; a unit whose condition
 * fails does not fail the other units of its group. dff_recorder_write() copies it.
 */
struct dff_record_write {
	const struct dff_table_condition *conditions;
	size_t n_conditions;
	const struct dff_table_write *writes;
	size_t n_writes;
	/** For a write whose caller waits, ms; 0: no limit. A write that was queued this long is
	 * not sent, and while the breaker is open it is refused at once. Both end with
	 * DFF_RECORD_NOT_COMMITTED. */
	int32_t queue_timeout_ms;
};

/**
 * dff_recorder_write:
 *
 * @done is called once, never before this call returns. It is not called as long as the store does
 * not answer for a commit that was sent; callers that cannot wait use dff_recorder_abandon().
 *
 * Returns: ticket for dff_recorder_abandon().
 */
uint64_t dff_recorder_write (struct dff_recorder *recorder,
			     const struct dff_record_write *write,
			     dff_record_func done,
			     void *user);

enum dff_abandon_outcome {
	/** The write was still queued and is dropped: proven not written. */
	DFF_ABANDON_NOT_COMMITTED,
	/** The write was sent; whether it takes effect is not known. */
	DFF_ABANDON_UNKNOWN,
};

/** Abandons a write whose callback has not run yet; the callback will not run. */
enum dff_abandon_outcome dff_recorder_abandon (struct dff_recorder *recorder, uint64_t ticket);

/** Changes the limit of transactions per second. */
void dff_recorder_set_max_commits (struct dff_recorder *recorder, int32_t max_commits_per_s);

/** Sends due writes, times out calls and runs callbacks. Call it every few milliseconds. */
void dff_recorder_tick (struct dff_recorder *recorder);

/** Returns: whether the breaker is not closed. New requests that need a write should then be
 * refused at once. */
bool dff_recorder_is_breaker_open (const struct dff_recorder *recorder);

/** Returns: time after which a refused caller should retry, s; jittered, at least 1. */
int32_t dff_recorder_retry_after_s (struct dff_recorder *recorder);

#endif
