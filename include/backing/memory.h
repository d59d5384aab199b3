#ifndef DFF_BACKING_MEMORY_H
#define DFF_BACKING_MEMORY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "backing/instance_list.h"
#include "backing/object_store.h"
#include "backing/table.h"
#include "common/cleanup.h"
#include "common/clock.h"

/*
 * Table, object store and instance list in memory, with scripted faults, for tests and for the
 * stand-in platform. Deterministic: time comes from a struct dff_clock, random numbers are seeded.
 * Each process has its own handle, so that faults can affect one process and not the others.
 */

struct dff_memory;

/** Limits; 0: none. A write beyond a limit is answered UNAVAILABLE. */
struct dff_memory_limits {
	size_t max_rows;
	size_t max_row_bytes;
	/** A scan ends once it has read this many bytes. */
	size_t max_scan_bytes;
	/** Write ids that are kept; the oldest are dropped. */
	size_t max_write_ids;
	size_t max_object_bytes; /**< All objects together. */
};

struct dff_memory_options {
	const struct dff_clock *clock;
	uint64_t seed;
	/** Delay of changes in the instance list, ms. */
	int32_t instance_lag_ms;
	struct dff_memory_limits limits;
};

/** Returns: (transfer full): a platform without rows, objects and instances; @options is copied. */
struct dff_memory *dff_memory_new (const struct dff_memory_options *options);

/** Every handle must have been closed. */
void dff_memory_free (struct dff_memory *memory);

DFF_DEFINE_CLEANUP (dff_memory, dff_memory_free);

/** Executes the effects and answers that are due by the clock. */
void dff_memory_tick (struct dff_memory *memory);

/** Returns: time of the next effect or answer, monotonic ms; INT64_MAX: none. */
int64_t dff_memory_next_due_ms (const struct dff_memory *memory);

/** End time of an outage that lasts until the fault is reset. */
#define DFF_MEMORY_FOREVER INT64_MAX

/**
 * struct dff_memory_faults:
 * Faults of the calls of one handle. All zero: every call is answered before it returns.
 * @delay_min_ms, @delay_max_ms: each call is answered after a random time in this range and takes
 *   effect after half of that time
 * @outage_until_ms: until this monotonic time every call is answered UNAVAILABLE at once
 * @silent_until_ms: until this monotonic time no call takes effect and none is answered; then all
 *   held calls take effect and are answered, in order
 * @lose_answers: the next so many commits take effect and are answered UNCERTAIN
 * @late_writes: the next so many commits are answered UNCERTAIN and take effect @late_ms later,
 *   unless a lookup has refused their write id by then
 * @lost_writes: the next so many commits are answered UNCERTAIN and never take effect
 * @lose_permille, @late_permille, @lost_permille: probability of the same faults for each commit
 * @unavailable_permille: probability that a call is answered UNAVAILABLE
 */
struct dff_memory_faults {
	int32_t delay_min_ms;
	int32_t delay_max_ms;
	int64_t outage_until_ms;
	int64_t silent_until_ms;
	int32_t lose_answers;
	int32_t late_writes;
	int32_t late_ms;
	int32_t lost_writes;
	int32_t lose_permille;
	int32_t late_permille;
	int32_t lost_permille;
	int32_t unavailable_permille;
};

/**
 * struct dff_memory_handle:
 * The interfaces of one process, and the faults of its calls, which may be changed at any time.
 * Faults affect the calls made after the change; a silence also affects pending calls and answers.
 */
struct dff_memory_handle {
	struct dff_table table;
	struct dff_object_store objects;
	struct dff_instance_list instances;
	struct dff_memory_faults faults;
	struct dff_memory *memory;
	/** Private: events held until a silence ends. */
	GQueue held;
};

/** Opens a handle without faults. */
struct dff_memory_handle *dff_memory_open (struct dff_memory *memory);

/**
 * dff_memory_close:
 *
 * Closes a handle, as when a process dies: pending commits still take effect, and no callback runs
 * any more. To be called before the user data of the callbacks is freed.
 */
void dff_memory_close (struct dff_memory_handle *handle);

/** Adds or replaces an instance, listed for @ttl_ms; 0: until removed. */
void dff_memory_announce (struct dff_memory *memory,
			  const struct dff_instance *instance,
			  int32_t ttl_ms);

/** Removes an instance; the list shows the removal after the lag. */
void dff_memory_remove_instance (struct dff_memory *memory, const struct dff_name *id);

/** Calls that reached the platform (not refused by an outage) since dff_memory_new(). */
struct dff_memory_counts {
	int64_t gets;
	int64_t scans;
	int64_t commits;
	/** Rows written or deleted by commits that took effect. */
	int64_t rows_written;
	int64_t conflicts;
	int64_t lookups;
	int64_t puts;
	int64_t object_gets;
	int64_t lists;
};

/** Returns: the counts over all handles. */
struct dff_memory_counts dff_memory_counts (const struct dff_memory *memory);

/**
 * dff_memory_peek:
 * @row: (out): the current row; valid until the next commit
 *
 * Reads a row without faults, for checks in tests. Returns: false when the row does not exist.
 */
bool
dff_memory_peek (const struct dff_memory *memory, struct dff_str key, struct dff_table_row *row);

/** Returns: the table's revision, read without faults. */
int64_t dff_memory_revision (const struct dff_memory *memory);

#endif
