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
 * stand-in platform. Deterministic: time is a struct dff_clock, chance is seeded. Each caller has a
 * handle of its own, so that one can be cut off while others are not.
 */

struct dff_memory;

/** 0: no limit. A write beyond a limit is answered as unavailable. */
struct dff_memory_limits {
	size_t max_rows;
	size_t max_row_bytes;
	/** A scan ends once it has read this much. */
	size_t max_scan_bytes;
	/** Write ids remembered; the oldest are forgotten. */
	size_t max_write_ids;
	size_t max_object_bytes; /**< Of all objects together. */
};

struct dff_memory_options {
	const struct dff_clock *clock;
	uint64_t seed;
	/** The instance list shows the state of this long ago, ms. */
	int32_t instance_lag_ms;
	struct dff_memory_limits limits;
};

/** Returns: (transfer full): a platform without rows, objects and instances; @options is copied. */
struct dff_memory *dff_memory_new (const struct dff_memory_options *options);

/** Every handle must have been closed. */
void dff_memory_free (struct dff_memory *memory);

DFF_DEFINE_CLEANUP (dff_memory, dff_memory_free);

/** Takes effect and answers what is due by the clock. */
void dff_memory_tick (struct dff_memory *memory);

/** Returns: monotonic ms at which the next call is due; INT64_MAX: none. */
int64_t dff_memory_next_due_ms (const struct dff_memory *memory);

/** Until when an outage lasts that ends only when it is lifted. */
#define DFF_MEMORY_FOREVER INT64_MAX

/**
 * struct dff_memory_faults:
 * What happens to the calls of one handle. All zero: every call is answered before it returns.
 * @delay_min_ms, @delay_max_ms: each call is answered after a time from this range and takes effect
 *   half-way
 * @outage_until_ms: until this monotonic time every call is answered UNAVAILABLE at once
 * @silent_until_ms: until this monotonic time no call takes effect and none is answered; then all
 *   are, in order
 * @lose_answers: the next so many commits take effect and are answered UNCERTAIN
 * @late_writes: the next so many commits are answered UNCERTAIN and take effect @late_ms later,
 *   unless a lookup refused their write id before
 * @lost_writes: the next so many commits are answered UNCERTAIN and never take effect
 * @lose_permille, @late_permille, @lost_permille: the same by seeded chance, for each commit
 * @unavailable_permille: chance of each call to be answered UNAVAILABLE
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
 * A handle: the interfaces to pass on, and the faults of its calls, which may be changed at any
 * time. Faults take hold of the calls made from then on; a silence also of calls and answers that
 * are on their way.
 */
struct dff_memory_handle {
	struct dff_table table;
	struct dff_object_store objects;
	struct dff_instance_list instances;
	struct dff_memory_faults faults;
	struct dff_memory *memory;
	/** Private: calls kept back by a silence. */
	GQueue held;
};

/** Opens a handle without faults. */
struct dff_memory_handle *dff_memory_open (struct dff_memory *memory);

/**
 * dff_memory_close:
 *
 * Closes a handle. Like a process that dies: its commits that are on their way still take effect,
 * and no callback comes any more. To be called before what the callbacks point to is freed.
 */
void dff_memory_close (struct dff_memory_handle *handle);

/** Adds or replaces an instance. It is listed for @ttl_ms; 0: until it is removed. */
void dff_memory_announce (struct dff_memory *memory,
			  const struct dff_instance *instance,
			  int32_t ttl_ms);

/** Takes an instance off the list, which shows it after the lag. */
void dff_memory_remove_instance (struct dff_memory *memory, const struct dff_name *id);

/** Calls that reached the platform (not refused by an outage), since it was made. */
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

/** Returns: the counts of all handles together. */
struct dff_memory_counts dff_memory_counts (const struct dff_memory *memory);

/**
 * dff_memory_peek:
 * @row: (out): the row as it is now; valid until the next commit
 *
 * Reads a row past all faults, for checks in tests. Returns: false when it does not exist.
 */
bool
dff_memory_peek (const struct dff_memory *memory, struct dff_str key, struct dff_table_row *row);

/** Returns: the table's revision, past all faults. */
int64_t dff_memory_revision (const struct dff_memory *memory);

#endif
