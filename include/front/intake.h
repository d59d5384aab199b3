#ifndef DFF_FRONT_INTAKE_H
#define DFF_FRONT_INTAKE_H

#include "common/cleanup.h"
#include "common/metrics.h"
#include "common/timer.h"
#include "rows/rows.h"

/*
 * Rows of jobs and cancellations on their way to the store. All lie in one part of it, which
 * carries out one transaction after another. So the rows of all processes go through one of them,
 * the one that decides, which writes many in a transaction, with its own where it can; a process
 * that cannot reach it writes its own, one transaction a row. A row is written only if it does not
 * exist, so that it does no harm when both ways are taken.
 */

struct dff_intake;

/** A row that must not exist yet. Borrowed for the length of a call. */
struct dff_intake_row {
	struct dff_str key;
	struct dff_str value;
	int32_t timeout_ms;
};

/** Who a row that was handed on has come to. */
enum dff_intake_delivery {
	/** A process that has dealt with it. */
	DFF_INTAKE_DELIVERED,
	/** One that does not decide, and did nothing. */
	DFF_INTAKE_MISDIRECTED,
	/** Nobody who answered. */
	DFF_INTAKE_UNREACHABLE,
};

/** What became of a row that was handed on. */
struct dff_intake_forward_result {
	enum dff_intake_delivery delivery;
	/** NOT_DONE where a process was misdirected to, or surely never reached. */
	enum dff_rows_outcome outcome;
	/** Who decides, as the receiver knows; empty: it does not. */
	struct dff_name holder;
};

/** @forwarded: valid in the callback only. */
typedef void (*dff_intake_forward_func) (void *user,
					 const struct dff_intake_forward_result *forwarded);

struct dff_intake_options {
	const struct dff_timers *timers;
	/** The store. */
	const struct dff_rows *rows;
	struct dff_metrics *metrics;
	/** Rows go through the process that decides when the store's answers take so long, ms; 0:
	 * always. */
	int32_t forward_min_latency_ms;
	/** (nullable): returns whether the store does not answer this process. */
	bool (*store_is_silent) (void *ctx);
	/** Returns: how long the store's answers take now, ms. */
	int64_t (*store_latency_ms) (void *ctx);
	void *store_ctx;
	/** Hands a row to the process at @address, which passes it to dff_intake_write(): DONE,
	 * CONFLICT, NOT_DONE or UNKNOWN. @done is called once, never before the call returns. */
	void (*forward) (void *ctx,
			 const struct dff_name *address,
			 const struct dff_intake_row *row,
			 dff_intake_forward_func done,
			 void *user);
	void *forward_ctx;
	/** (nullable): writes a row with the transactions of the process that decides, if it is
	 * this one. Returns: false when it cannot, and @done is not called; else it is, once and
	 * never before the call returns. */
	bool (*record) (void *ctx,
			const struct dff_intake_row *row,
			dff_rows_func done,
			void *user);
	void *record_ctx;
	/** (nullable): the process that gathers rows could not be reached, or does not decide any
	 * more. */
	void (*holder_lost) (void *ctx);
	/** (nullable): it names another one, which is asked from now on. */
	void (*holder_moved) (void *ctx, const struct dff_name *address);
	void *holder_ctx;
};

struct dff_intake *dff_intake_new (const struct dff_intake_options *options);

/** Calls in progress are dropped without calling back. */
void dff_intake_free (struct dff_intake *intake);

DFF_DEFINE_CLEANUP (dff_intake, dff_intake_free);

/** Returns: (transfer none): the store for a front; what is no row of a job goes straight there. */
const struct dff_rows *dff_intake_interface (struct dff_intake *intake);

/** Tells which process gathers rows: @address empty: none, or this one if @self. */
void dff_intake_set_holder_address (struct dff_intake *intake,
				    const struct dff_name *address,
				    bool self);

/** Returns: whether this process gathers rows. */
bool dff_intake_is_holder (const struct dff_intake *intake);

/** Returns: (transfer none): the process that does, as far as is known; empty: none, or this one.
 */
const struct dff_name *dff_intake_holder_address (const struct dff_intake *intake);

/** Returns: whether rows that are written now go through another process. */
bool dff_intake_writes_forwarded (const struct dff_intake *intake);

/** Writes a row together with others. A store that does not answer is not waited for. */
void dff_intake_write (struct dff_intake *intake,
		       const struct dff_intake_row *row,
		       dff_rows_func done,
		       void *user);

#endif
