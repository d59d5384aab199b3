#ifndef DFF_FRONT_INTAKE_H
#define DFF_FRONT_INTAKE_H

#include "common/cleanup.h"
#include "common/metrics.h"
#include "common/timer.h"
#include "rows/rows.h"

/*
 * Write path of the rows of jobs and cancellations. All these rows lie in one partition of the
 * store, which executes one transaction at a time. The rows of all processes therefore go through
 * the holder, which writes many rows in one transaction, together with its own where possible. A
 * process that cannot reach the holder writes its rows itself, one transaction per row. A row is
 * written only if it does not exist yet, so a row that takes both ways is written once.
 */

struct dff_intake;

/** A row that must not exist yet. Borrowed for the duration of a call. */
struct dff_intake_row {
	struct dff_str key;
	struct dff_str value;
	int32_t timeout_ms;
};

/** Whether a forwarded row reached the holder. */
enum dff_intake_delivery {
	/** The holder received and handled the row. */
	DFF_INTAKE_DELIVERED,
	/** A process that is not the holder received the row and did nothing with it. */
	DFF_INTAKE_MISDIRECTED,
	/** No process answered. */
	DFF_INTAKE_UNREACHABLE,
};

/** Result of forwarding a row. */
struct dff_intake_forward_result {
	enum dff_intake_delivery delivery;
	/** NOT_DONE if the row was misdirected, or certainly reached no process. */
	enum dff_rows_outcome outcome;
	/** Address of the holder that the receiver knows; empty: not known. */
	struct dff_name holder;
};

/** @forwarded: valid during the callback only. */
typedef void (*dff_intake_forward_func) (void *user,
					 const struct dff_intake_forward_result *forwarded);

struct dff_intake_options {
	const struct dff_timers *timers;
	const struct dff_rows *rows;
	struct dff_metrics *metrics;
	/** Store latency from which rows are forwarded to the holder, ms; 0: always forwarded. */
	int32_t forward_min_latency_ms;
	/** (nullable): returns whether the store is not answering this process. */
	bool (*store_is_silent) (void *ctx);
	/** Returns: the present latency of the store, ms. */
	int64_t (*store_latency_ms) (void *ctx);
	void *store_ctx;
	/** Sends a row to the process at @address, which passes it to dff_intake_write(). The
	 * outcome is DONE, CONFLICT, NOT_DONE or UNKNOWN. @done is called exactly once, after
	 * forward() has returned. */
	void (*forward) (void *ctx,
			 const struct dff_name *address,
			 const struct dff_intake_row *row,
			 dff_intake_forward_func done,
			 void *user);
	void *forward_ctx;
	/** (nullable): writes a row in the holder's own transactions, if this process is the
	 * holder. Returns: false when it cannot; @done is not called then. Otherwise @done is
	 * called exactly once, after record() has returned. */
	bool (*record) (void *ctx,
			const struct dff_intake_row *row,
			dff_rows_func done,
			void *user);
	void *record_ctx;
	/** (nullable): the holder was unreachable or is not the holder any more. */
	void (*holder_lost) (void *ctx);
	/** (nullable): the process that was addressed as the holder answered with another address,
	 * which is used from now on. */
	void (*holder_moved) (void *ctx, const struct dff_name *address);
	void *holder_ctx;
};

struct dff_intake *dff_intake_new (const struct dff_intake_options *options);

/** Drops calls in progress without calling back. */
void dff_intake_free (struct dff_intake *intake);

DFF_DEFINE_CLEANUP (dff_intake, dff_intake_free);

/** Returns: (transfer none): the store interface for a front. Operations other than writing the row
 * of a job or a cancellation go straight to the store. */
const struct dff_rows *dff_intake_interface (struct dff_intake *intake);

/** Sets the address of the holder. @address is empty if no holder is known, or if @self: this
 * process is the holder. */
void dff_intake_set_holder_address (struct dff_intake *intake,
				    const struct dff_name *address,
				    bool self);

/** Returns: whether this process is the holder. */
bool dff_intake_is_holder (const struct dff_intake *intake);

/** Returns: (transfer none): the last known address of the holder; empty: not known, or this
 * process is the holder. */
const struct dff_name *dff_intake_holder_address (const struct dff_intake *intake);

/** Returns: whether rows written at present are forwarded to another process. */
bool dff_intake_writes_forwarded (const struct dff_intake *intake);

/** Writes a row in a batch with others. While the store is not answering, the row is rejected with
 * NOT_DONE at once. */
void dff_intake_write (struct dff_intake *intake,
		       const struct dff_intake_row *row,
		       dff_rows_func done,
		       void *user);

#endif
