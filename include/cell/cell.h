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
 * A cell: one region's decisions, made by whichever process holds its lease row. Every process has
 * one; a standby one only watches the row and takes over when it has not changed for a whole lease.
 *
 * Rows: "cell/REGION/lease" {instance, counter}, renewed by the holder; "cell/REGION/epoch" {epoch,
 * instance}, written only at take-over. Every durable write of the holder is conditional on the
 * revision of the epoch row, every command to a worker carries the epoch, and the holder compares
 * its monotonic clock with its lease before each batch of commands. No process compares its clock
 * with another's: a candidate measures, on its own clock, how long the row has stood unchanged.
 */

struct dff_cell;

struct dff_cell_callbacks {
	/** The row of a job was changed by this holder. */
	void (*job_changed) (void *ctx, const struct dff_name *job, enum dff_outcome outcome);
	/** This process became or ceased to be the holder. */
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
	struct dff_recorder *recorder; /**< Owned by the caller, who also ticks it. */
	struct dff_cell_callbacks callbacks;
	uint64_t seed;
	int32_t lease_ms;        /**< A row unchanged this long may be taken. */
	int32_t renew_ms;        /**< Interval of renewals. */
	int32_t lease_margin_ms; /**< The holder stops acting this long before its lease lapses. */
	int32_t task_lease_ms;   /**< Lease of tasks at workers. */
	/** A batch is reported when none of its jobs has started or ended for this long and three
	 * times the longest run time that its jobs declare. */
	int32_t batch_stall_ms;
	/** The rows of a job are deleted when it ended this long ago by the wall clock, s. */
	int32_t retention_s;
	struct dff_core_options core;
};

void dff_cell_options_init (struct dff_cell_options *options);

struct dff_cell *dff_cell_new (const struct dff_cell_options *options);

/** To be called when no callback of the table or of the workers can come any more, and before the
 * recorder is freed. */
void dff_cell_free (struct dff_cell *cell);

DFF_DEFINE_CLEANUP (dff_cell, dff_cell_free);

/** Does all that is due. To be called every few milliseconds. */
void dff_cell_tick (struct dff_cell *cell);

/** Puts a pool in force; borrowed for the call, copied where needed. */
void dff_cell_set_pool (struct dff_cell *cell, const struct dff_pool *pool);

/** Takes the instance list in, as last read. */
void dff_cell_set_instances (struct dff_cell *cell,
			     const struct dff_instance *instances,
			     size_t n_instances);

/** Sets this process's rank among the candidates, 0 first; later ranks wait a little longer. */
void dff_cell_set_rank (struct dff_cell *cell, int32_t rank);

/** A job row was written by an entry (accepted, or cancellation requested): read it now. */
void dff_cell_handle_job_hint (struct dff_cell *cell, const struct dff_name *job);

/** What a watcher saw at a worker: whether it answers, whether it says it is leaving, what changed.
 */
struct dff_worker_report {
	struct dff_name worker;
	bool reachable;
	bool leaving;
	/** Time since the last renewal that the worker answered, ms. */
	int64_t silent_ms;
	const struct dff_task_report *reports;
	size_t n_reports;
	/** @reports are all the tasks the worker knew when it answered: one that is missing was not
	 * seen by it, or was lost when it started anew. To be confirmed by a query or a stop, as a
	 * start may have arrived since. */
	bool complete;
};

/** Takes in what a watcher (this process or a peer) saw. Ignored unless holder. */
void dff_cell_handle_worker_report (struct dff_cell *cell, const struct dff_worker_report *report);

/** Whether this process holds the cell, its lease is good for more than the margin, and its tables
 * are rebuilt. */
bool dff_cell_is_holder (const struct dff_cell *cell);

int64_t dff_cell_epoch (const struct dff_cell *cell);

/** Begins giving the cell up: no new decisions, outstanding writes finish, then the lease row is
 * released so that the next candidate need not wait. */
void dff_cell_drain (struct dff_cell *cell);

/** Returns: true once a drained cell holds nothing any more. */
bool dff_cell_is_drained (const struct dff_cell *cell);

/** Appends status for operators: {"holder":..., "epoch":..., "jobs":{...}, "teams":[...],
 * "racks":[...]} as JSON. */
void dff_cell_status (const struct dff_cell *cell, GString *out);

#endif
