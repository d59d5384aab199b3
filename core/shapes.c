#include "core/shapes.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/** Decayed number of arrivals below which a shape is dropped. */
#define ARRIVALS_MIN 0.05
/** Numbers of tasks up to which they are recorded exactly, and to the next step of four. */
#define TASKS_EXACT 8
#define TASKS_BY_FOUR 32

/** Weights of lost gangs by priority. Urgent work stops other work where it finds no place; other
 * work waits. */
static const double priority_weights[DFF_SHAPE_PRIORITIES] = {4.0, 2.0, 1.0};

static int32_t
round_up (int32_t value, int32_t step)
{
	return (value + step - 1) / step * step;
}

/* Gangs of similar width share a record, so that a few records hold most of the arrivals. */
static int16_t
recorded_tasks (int32_t tasks)
{
	if (tasks <= TASKS_EXACT)
		return (int16_t)tasks;
	int32_t step = tasks <= TASKS_BY_FOUR ? 4 : 16;
	return (int16_t)MIN (round_up (tasks, step), INT16_MAX);
}

static bool
shape_equal (const struct dff_shape *one, const struct dff_shape *other)
{
	return one->accelerators == other->accelerators && one->tasks == other->tasks &&
	       one->priority == other->priority && one->one_rack == other->one_rack;
}

static struct dff_shape_record *
find_record (struct dff_shapes *shapes, const struct dff_shape *shape)
{
	for (int32_t i = 0; i < shapes->n_records; i++) {
		if (shape_equal (&shapes->records[i].shape, shape))
			return &shapes->records[i];
	}
	return NULL;
}

/* Returns: a record for a new shape: an unused one, or the one of its priority that arrived least.
 */
static struct dff_shape_record *
record_to_replace (struct dff_shapes *shapes, int8_t priority)
{
	struct dff_shape_record *least = NULL;
	int32_t count = 0;
	for (int32_t i = 0; i < shapes->n_records; i++) {
		struct dff_shape_record *at = &shapes->records[i];
		if (at->shape.priority != priority)
			continue;
		count++;
		if (least == NULL || at->arrivals < least->arrivals)
			least = at;
	}
	return count < DFF_SHAPES_PER_PRIORITY ? &shapes->records[shapes->n_records++] : least;
}

bool
dff_shapes_note (struct dff_shapes *shapes,
		 const struct dff_shape *shape,
		 double run_ms,
		 int64_t now_ms)
{
	if (shape->accelerators < 1 || shape->accelerators > DFF_SHAPE_SIZES || shape->tasks < 1 ||
	    shape->priority < 0 || shape->priority >= DFF_SHAPE_PRIORITIES)
		return false;
	bool dropped = dff_shapes_decay (shapes, now_ms);
	struct dff_shape rounded = *shape;
	rounded.tasks = recorded_tasks (shape->tasks);
	struct dff_shape_record *record = find_record (shapes, &rounded);
	if (record != NULL) {
		record->arrivals += 1.0;
		record->run_ms += (run_ms - record->run_ms) / record->arrivals;
		return dropped;
	}
	*record_to_replace (shapes, shape->priority) = (struct dff_shape_record){
		.shape = rounded,
		.arrivals = 1.0,
		.run_ms = run_ms,
	};
	return true;
}

bool
dff_shapes_decay (struct dff_shapes *shapes, int64_t now_ms)
{
	int64_t passed_ms = now_ms - shapes->decayed_ms;
	if (passed_ms <= 0)
		return false;
	double left = exp (-(double)passed_ms / DFF_SHAPES_DECAY_MS);
	int32_t kept = 0;
	for (int32_t i = 0; i < shapes->n_records; i++) {
		struct dff_shape_record record = shapes->records[i];
		record.arrivals *= left;
		if (record.arrivals >= ARRIVALS_MIN)
			shapes->records[kept++] = record;
	}
	bool dropped = kept < shapes->n_records;
	shapes->n_records = kept;
	shapes->decayed_ms = now_ms;
	return dropped;
}

void
dff_rack_fits_add (struct dff_rack_fits *fits, int32_t free_accelerators)
{
	for (int32_t size = 1; size <= DFF_SHAPE_SIZES; size++)
		fits->tasks[size] += MAX (free_accelerators, 0) / size;
}

void
dff_rack_fits_take (struct dff_rack_fits *fits, int32_t free_accelerators, int32_t taken)
{
	int32_t left = MAX (free_accelerators - taken, 0);
	for (int32_t size = 1; size <= DFF_SHAPE_SIZES; size++)
		fits->tasks[size] -= MAX (free_accelerators, 0) / size - left / size;
}

int32_t
dff_shape_units (const struct dff_shape *shape, const struct dff_rack_fits *fits)
{
	int32_t tasks = fits->tasks[shape->accelerators];
	return shape->one_rack ? tasks / shape->tasks : tasks;
}

int64_t
dff_shape_gangs (const struct dff_shape *shape, int64_t units)
{
	return shape->one_rack ? units : units / shape->tasks;
}

void
dff_shapes_count (const struct dff_shapes *shapes,
		  const struct dff_rack_fits *racks,
		  size_t n_racks,
		  int64_t *gangs)
{
	for (int32_t i = 0; i < shapes->n_records; i++) {
		const struct dff_shape *shape = &shapes->records[i].shape;
		int64_t units = 0;
		for (size_t j = 0; j < n_racks; j++)
			units += dff_shape_units (shape, &racks[j]);
		gangs[i] = dff_shape_gangs (shape, units);
	}
}

int32_t
dff_shapes_largest_gang (const struct dff_rack_fits *racks, size_t n_racks, int32_t accelerators)
{
	int32_t largest = 0;
	for (size_t i = 0; i < n_racks; i++)
		largest = MAX (largest, racks[i].tasks[accelerators]);
	return largest;
}

bool
dff_shapes_any_fits (const struct dff_shapes *shapes, const struct dff_rack_fits *rack)
{
	for (int32_t i = 0; i < shapes->n_records; i++) {
		const struct dff_shape *shape = &shapes->records[i].shape;
		if (shape->tasks > 1 && shape->one_rack && dff_shape_units (shape, rack) > 0)
			return true;
	}
	return false;
}

struct dff_shape_loss
dff_shapes_loss (const struct dff_shapes *shapes,
		 const struct dff_rack_fits *before,
		 const struct dff_rack_fits *after,
		 const int64_t *gangs)
{
	struct dff_shape_loss loss = {0};
	for (int32_t i = 0; i < shapes->n_records; i++) {
		const struct dff_shape_record *record = &shapes->records[i];
		const struct dff_shape *shape = &record->shape;
		int32_t units = dff_shape_units (shape, before) - dff_shape_units (shape, after);
		if (units == 0)
			continue;
		loss.lost |= UINT64_C (1) << i;
		double lost_gangs = shape->one_rack ? units : (double)units / shape->tasks;
		loss.weighted += lost_gangs * record->arrivals * priority_weights[shape->priority] /
				 (double)MAX (gangs[i], 1);
	}
	return loss;
}

bool
dff_shape_is_expected (const struct dff_shape_record *record, int64_t gangs, int64_t horizon_ms)
{
	double at_once_ms = MIN ((double)horizon_ms, record->run_ms);
	return (double)gangs < record->arrivals * at_once_ms / DFF_SHAPES_DECAY_MS;
}
