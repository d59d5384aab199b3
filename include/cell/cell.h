#ifndef DFF_CELL_CELL_H
#define DFF_CELL_CELL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "backing/instance_list.h"
#include "backing/table.h"
#include "common/cleanup.h"
#include "common/clock.h"
#include "common/metrics.h"
#include "common/trace.h"
#include "core/core.h"
#include "record/recorder.h"
#include "upstream/worker_client.h"

/*
 * A cell schedules the jobs of one region. The process that holds its lease row makes the
 * decisions. The cell of any other process only reads the row, and takes over when the row has not
 * changed for the duration of a lease.
 *
 * Rows: "cell/REGION/lease" {instance, counter}, renewed by the holder; "cell/REGION/epoch" {epoch,
 * instance}, written only at takeover. Every durable write of the holder is conditional on the
 * revision of the epoch row, every command to a worker carries the epoch, and the holder compares
 * its monotonic clock with its lease before each batch of commands. No process compares its clock
 * with another's: a candidate measures, on its own clock, how long the row has stood unchanged.
 */

struct dff_cell;

struct dff_cell_callbacks {
	/** This holder changed the row of @job. */
	void (*job_changed) (void *ctx, const struct dff_name *job, enum dff_outcome outcome);
	/** This process became the holder, or ceased to be it. */
	void (*holder_changed) (void *ctx, bool is_holder, int64_t epoch);
	void *ctx;
};

struct dff_cell_options {
	struct dff_name instance;
	struct dff_name region;
	const struct dff_table *table;
	const struct dff_worker_client *workers;
	const struct dff_clock *clock;
	struct dff_metrics *metrics;
	struct dff_tracer *tracer;
	struct dff_recorder *recorder; /**< Owned and ticked by the caller. */
	struct dff_cell_callbacks callbacks;
	uint64_t seed;
	int32_t lease_ms;        /**< A lease row that is unchanged for this long may be taken. */
	int32_t renew_ms;        /**< Interval at which the holder renews the lease. */
	int32_t lease_margin_ms; /**< The holder stops acting this long before its lease expires. */
	int32_t task_lease_ms;   /**< Lease of tasks on workers. */
	/** A batch is reported as stalled when none of its jobs has started or ended for this long
	 * plus three times the longest run time that its jobs declare. */
	int32_t batch_stall_ms;
	/** The rows of a job are deleted when it ended this long ago by the wall clock, s. */
	int32_t retention_s;
	struct dff_core_options core;
};

void dff_cell_options_init (struct dff_cell_options *options);

struct dff_cell *dff_cell_new (const struct dff_cell_options *options);

/** To be called when no callback of the table or of the workers can arrive any more, and before the
 * recorder is freed. */
void dff_cell_free (struct dff_cell *cell);

DFF_DEFINE_CLEANUP (dff_cell, dff_cell_free);

/** Runs every step that is due. To be called every few milliseconds. */
void dff_cell_tick (struct dff_cell *cell);

/** Applies a pool. @pool is borrowed for the call and copied. */
void dff_cell_set_pool (struct dff_cell *cell, const struct dff_pool *pool);

/** Applies the instance list as last read. */
void dff_cell_set_instances (struct dff_cell *cell,
			     const struct dff_instance *instances,
			     size_t n_instances);

/** Sets this process's rank among the candidates; 0 is first. For each rank a candidate waits
 * longer before it takes the lease. */
void dff_cell_set_rank (struct dff_cell *cell, int32_t rank);

/** An entry wrote a job row (accepted, or cancellation requested): the rows are read at once. */
void dff_cell_handle_job_hint (struct dff_cell *cell, const struct dff_name *job);

/** What a watcher observed at a worker: whether the worker answers, whether it announces that it is
 * leaving, and which tasks changed. */
struct dff_worker_report {
	struct dff_name worker;
	bool reachable;
	bool leaving;
	/** Time since the last lease renewal that the worker answered, ms. */
	int64_t silent_ms;
	const struct dff_task_report *reports;
	size_t n_reports;
	/** @reports are all the tasks that the worker knew when it answered. A missing task never
	 * arrived at the worker, or was lost in its restart. The holder confirms the loss by a
	 * query or a stop, as a start may have arrived since. */
	bool complete;
};

/** Applies a report of a watcher (this process or a peer). Ignored unless this is the holder. */
void dff_cell_handle_worker_report (struct dff_cell *cell, const struct dff_worker_report *report);

/** Returns: whether this process is the holder: its lease is valid for longer than the margin, and
 * its tables are rebuilt. */
bool dff_cell_is_holder (const struct dff_cell *cell);

int64_t dff_cell_epoch (const struct dff_cell *cell);

/** Begins to step down: makes no new decisions, waits for outstanding writes, then releases the
 * lease row, so that the next candidate need not wait for it to expire. */
void dff_cell_drain (struct dff_cell *cell);

/** Returns: true once a drained cell has released its lease. */
bool dff_cell_is_drained (const struct dff_cell *cell);

/** Appends status for operators: {"holder":..., "epoch":..., "jobs":{...}, "teams":[...],
 * "racks":[...]} as JSON. */
void dff_cell_status (const struct dff_cell *cell, GString *out);

#endif
