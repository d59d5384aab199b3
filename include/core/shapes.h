#ifndef DFF_CORE_SHAPES_H
#define DFF_CORE_SHAPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Shapes of the work that arrived recently, and how much of it free capacity can hold. Pure: the
 * time is an argument, and there is no state besides the arguments. */

/** Largest number of accelerators per task of a recorded shape. */
#define DFF_SHAPE_SIZES 8
/** Number of shapes recorded per priority, and number of priorities. */
#define DFF_SHAPES_PER_PRIORITY 16
#define DFF_SHAPE_PRIORITIES 3
#define DFF_SHAPES_MAX (DFF_SHAPES_PER_PRIORITY * DFF_SHAPE_PRIORITIES)
/** Time constant with which recorded arrivals decay, ms. */
#define DFF_SHAPES_DECAY_MS 20000

struct dff_shape {
	/** Accelerators of each task, 1 to DFF_SHAPE_SIZES. */
	int16_t accelerators;
	/** Number of tasks, rounded up in steps that grow with it. */
	int16_t tasks;
	/** 0 to DFF_SHAPE_PRIORITIES - 1; 0 is the highest. */
	int8_t priority;
	/** Whether all tasks have to be placed in one rack. */
	bool one_rack;
};

struct dff_shape_record {
	struct dff_shape shape;
	/** Number of arrivals, decayed. */
	double arrivals;
	/** Mean run time of the arrivals, ms. */
	double run_ms;
};

struct dff_shapes {
	struct dff_shape_record records[DFF_SHAPES_MAX];
	int32_t n_records;
	/** Time up to which arrivals have decayed, ms. */
	int64_t decayed_ms;
};

/** Free capacity of one rack: the number of tasks that fit, by the accelerators of a task. */
struct dff_rack_fits {
	int32_t tasks[DFF_SHAPE_SIZES + 1];
};

/** What a placement takes from the recorded shapes. */
struct dff_shape_loss {
	/** Gangs that no longer fit, weighted by how soon they are expected to be needed. */
	double weighted;
	/** Bit i: fewer gangs of record i fit. */
	uint64_t lost;
};

/** Records an arrival. Shapes out of range are ignored. Returns: whether the set of recorded shapes
 * has changed, which makes counts per record invalid. */
bool dff_shapes_note (struct dff_shapes *shapes,
		      const struct dff_shape *shape,
		      double run_ms,
		      int64_t now_ms);

/** Lets arrivals decay. Returns: whether records were dropped, which makes counts per record
 * invalid. */
bool dff_shapes_decay (struct dff_shapes *shapes, int64_t now_ms);

/** Adds a worker with @free_accelerators to a rack. */
void dff_rack_fits_add (struct dff_rack_fits *fits, int32_t free_accelerators);

/** Takes @taken of the @free_accelerators of a worker of the rack. */
void dff_rack_fits_take (struct dff_rack_fits *fits, int32_t free_accelerators, int32_t taken);

/** Returns: what a rack contributes to a shape: gangs if it needs one rack, else tasks. */
int32_t dff_shape_units (const struct dff_shape *shape, const struct dff_rack_fits *fits);

/** Returns: number of gangs that @units of a shape, summed over racks, make up. */
int64_t dff_shape_gangs (const struct dff_shape *shape, int64_t units);

/** Counts how many gangs of each recorded shape fit now, each shape for itself. @gangs: (out):
 * parallel to @shapes->records. */
void dff_shapes_count (const struct dff_shapes *shapes,
		       const struct dff_rack_fits *racks,
		       size_t n_racks,
		       int64_t *gangs);

/** Returns: the number of tasks of the largest gang with @accelerators per task that fits one
 * rack. */
int32_t
dff_shapes_largest_gang (const struct dff_rack_fits *racks, size_t n_racks, int32_t accelerators);

/** Whether a recorded gang of more than one task fits a rack. */
bool dff_shapes_any_fits (const struct dff_shapes *shapes, const struct dff_rack_fits *rack);

/** Evaluates a placement that leaves @after of @before in a rack. @gangs: what dff_shapes_count()
 * returned for all racks. */
struct dff_shape_loss dff_shapes_loss (const struct dff_shapes *shapes,
				       const struct dff_rack_fits *before,
				       const struct dff_rack_fits *after,
				       const int64_t *gangs);

/** Whether fewer gangs of a record would be left than are expected to occupy capacity at the same
 * time within @horizon_ms. @gangs: number that would be left. */
bool
dff_shape_is_expected (const struct dff_shape_record *record, int64_t gangs, int64_t horizon_ms);

#endif
