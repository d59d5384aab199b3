#include "core/core_private.h"

#include <string.h>

/*
 * Applies the recorded shapes (shapes.c) to the placement of single tasks that may be preempted.
 * Gangs of whole workers need racks without single tasks. Where single tasks are spread over all
 * racks, dozens of them are stopped for each urgent gang. This is an order of candidates only:
 * except by dff_core_shape_holds() nothing is refused.
 */

/** Interval at which arrivals decay and all racks are counted again, ms. */
#define REVIEW_MS 500
/** Parts of a rack's sort key: racks that have a worker with such tasks, then racks that no
 * recorded gang fits, then others; after all, racks that hold the last place of an urgent shape. */
#define KEY_HOLDS_SINGLES 0
#define KEY_FITS_NO_GANG (1 << 20)
#define KEY_FITS_GANGS (1 << 21)
#define KEY_LAST_PLACE (1 << 24)
/** Weight of the loss of shapes in the sort key, and its largest value. Accelerators left on the
 * worker count less. */
#define KEY_LOSS (1 << 8)
#define LOSS_SCALE 16.0
#define LOSS_MAX 1023
#define GANG_LOSS_MAX 65535
#define LEFT_MAX (KEY_LOSS - 1)
/** Sorts workers without such tasks after those with some. */
#define HOLDS_NO_SINGLES (1 << 20)

static bool
uses_shapes (const struct dff_core *core)
{
	return core->options.shape_order || core->options.shape_gang_order ||
	       core->options.first_checkpoint_ms > 0;
}

void
dff_core_note_shape (struct dff_core *core, const struct dff_core_job *job)
{
	if (!uses_shapes (core) || job->region == DFF_CORE_NONE || dff_core_job_is_single (job))
		return;
	struct dff_shape shape = {
		.accelerators = (int16_t)MIN (job->per_task.accelerators, INT16_MAX),
		.tasks = (int16_t)job->gang,
		.priority = job->priority,
		.one_rack = job->gang == 1 || job->adjacency != DFF_ADJACENCY_NONE,
	};
	struct dff_core_region *region = dff_core_region_at (core, job->region);
	if (dff_shapes_note (&region->shapes, &shape, (double)job->declared_ms, core->now_ms))
		core->shapes_review_ms = INT64_MIN;
}

/* Returns: accelerators of a worker that are neither leased nor reserved. */
static int32_t
free_accelerators (const struct dff_core_worker *worker)
{
	if (!dff_core_worker_usable (worker))
		return 0;
	return MAX (worker->capacity.accelerators - worker->used.accelerators -
			    worker->reserved.accelerators,
		    0);
}

struct dff_rack_fits
dff_core_rack_fits (const struct dff_core *core, const struct dff_core_rack *rack)
{
	struct dff_rack_fits fits = {0};
	for (guint i = 0; i < rack->workers->len; i++) {
		int32_t index = g_array_index (rack->workers, int32_t, i);
		dff_rack_fits_add (&fits, free_accelerators (dff_core_worker_at (core, index)));
	}
	return fits;
}

static bool
is_scarce (const struct dff_core_region *region, int32_t record)
{
	const struct dff_shape *shape = &region->shapes.records[record].shape;
	return shape->priority == 0 && dff_shape_gangs (shape, region->shape_units[record]) <= 1;
}

static void
count_record (struct dff_core_region *region, struct dff_core_rack_shapes *at, int32_t record)
{
	const struct dff_shape *shape = &region->shapes.records[record].shape;
	int32_t units = dff_shape_units (shape, &at->fits);
	uint64_t bit = UINT64_C (1) << record;
	region->shape_units[record] += units - at->units[record];
	at->units[record] = units;
	region->scarce_shapes &= ~bit;
	region->scarce_shapes |= is_scarce (region, record) ? bit : 0;
}

/* Brings the counts of a rack up to date after it has changed. */
static void
refresh_rack (const struct dff_core *core, struct dff_core_rack *rack)
{
	struct dff_core_rack_shapes *at = &rack->shapes;
	if (!at->is_stale)
		return;
	struct dff_core_region *region = dff_core_region_at (core, rack->region);
	at->is_stale = false;
	at->known = 0;
	at->fits = dff_core_rack_fits (core, rack);
	at->any_fits = dff_shapes_any_fits (&region->shapes, &at->fits);
	for (int32_t i = 0; i < region->shapes.n_records; i++)
		count_record (region, at, i);
}

static void
review_region (struct dff_core *core, struct dff_core_region *region)
{
	dff_shapes_decay (&region->shapes, core->now_ms);
	memset (region->shape_units, 0, sizeof (region->shape_units));
	region->scarce_shapes = 0;
}

void
dff_core_run_shapes (struct dff_core *core)
{
	if (!uses_shapes (core) || core->now_ms < core->shapes_review_ms)
		return;
	core->shapes_review_ms = core->now_ms + REVIEW_MS;
	for (guint i = 0; i < core->regions->len; i++)
		review_region (core, dff_core_region_at (core, (int32_t)i));
	for (guint i = 0; i < core->racks->len; i++) {
		struct dff_core_rack *rack = dff_core_rack_at (core, (int32_t)i);
		memset (rack->shapes.units, 0, sizeof (rack->shapes.units));
		rack->shapes.is_stale = true;
		refresh_rack (core, rack);
	}
	for (guint i = 0; i < core->regions->len; i++) {
		struct dff_core_region *region = dff_core_region_at (core, (int32_t)i);
		for (int32_t j = 0; j < region->shapes.n_records; j++)
			region->shape_gangs[j] = dff_shape_gangs (&region->shapes.records[j].shape,
								  region->shape_units[j]);
	}
}

bool
dff_core_has_shape_order (const struct dff_core *core, const struct dff_core_job *job)
{
	return core->options.shape_order && dff_core_job_is_single (job) &&
	       job->per_task.accelerators <= DFF_SHAPE_SIZES && job->hold == DFF_CORE_HOLD_SOFT &&
	       !dff_core_job_is_isolated (core, job);
}

/* Returns: the worker of a rack that a single task would be placed on; NULL: none. @holds: (out):
 * whether it holds such tasks already. */
static const struct dff_core_worker *
preferred_worker (const struct dff_core *core,
		  const struct dff_core_rack *rack,
		  int32_t accelerators,
		  bool checkpoint,
		  bool *holds)
{
	const struct dff_core_worker *best = NULL;
	*holds = false;
	for (guint i = 0; i < rack->workers->len; i++) {
		const struct dff_core_worker *worker =
			dff_core_worker_at (core, g_array_index (rack->workers, int32_t, i));
		int32_t available = free_accelerators (worker);
		bool at_holds = worker->singles[checkpoint] > 0;
		if (available < accelerators || (*holds && !at_holds))
			continue;
		if (best != NULL && *holds == at_holds && available >= free_accelerators (best))
			continue;
		best = worker;
		*holds = at_holds;
	}
	return best;
}

static int32_t
choice_key (const struct dff_core_rack_shapes *at, bool holds, double loss)
{
	if (holds)
		return KEY_HOLDS_SINGLES;
	if (!at->any_fits)
		return KEY_FITS_NO_GANG;
	return KEY_FITS_GANGS + (int32_t)MIN (loss * LOSS_SCALE, LOSS_MAX) * KEY_LOSS;
}

static struct dff_core_rack_choice
evaluate_choice (const struct dff_core *core,
		 const struct dff_core_rack *rack,
		 int32_t accelerators,
		 bool checkpoint)
{
	const struct dff_core_region *region = dff_core_region_at (core, rack->region);
	bool holds;
	const struct dff_core_worker *worker =
		preferred_worker (core, rack, accelerators, checkpoint, &holds);
	if (worker == NULL)
		return (struct dff_core_rack_choice){.order = INT32_MAX};
	int32_t available = free_accelerators (worker);
	struct dff_rack_fits after = rack->shapes.fits;
	dff_rack_fits_take (&after, available, accelerators);
	struct dff_shape_loss loss =
		dff_shapes_loss (&region->shapes, &rack->shapes.fits, &after, region->shape_gangs);
	int32_t left = MIN (available - accelerators, LEFT_MAX);
	return (struct dff_core_rack_choice){
		.order = choice_key (&rack->shapes, holds, loss.weighted) + left,
		.lost = loss.lost,
	};
}

static const struct dff_core_rack_choice *
rack_choice (const struct dff_core *core,
	     struct dff_core_rack *rack,
	     const struct dff_core_job *job)
{
	struct dff_core_rack_shapes *at = &rack->shapes;
	int32_t accelerators = job->per_task.accelerators;
	uint32_t bit = UINT32_C (1) << (2 * accelerators + job->checkpoint);
	refresh_rack (core, rack);
	if ((at->known & bit) == 0) {
		at->choices[accelerators][job->checkpoint] =
			evaluate_choice (core, rack, accelerators, job->checkpoint);
		at->known |= bit;
	}
	return &at->choices[accelerators][job->checkpoint];
}

int32_t
dff_core_shape_rack_order (const struct dff_core *core,
			   struct dff_core_rack *rack,
			   const struct dff_core_job *job)
{
	const struct dff_core_rack_choice *choice = rack_choice (core, rack, job);
	if (choice->order == INT32_MAX)
		return INT32_MAX;
	const struct dff_core_region *region = dff_core_region_at (core, rack->region);
	bool is_last = (choice->lost & region->scarce_shapes) != 0;
	return choice->order + (is_last ? KEY_LAST_PLACE : 0);
}

/* Takes the members of a gang from a rack, from the workers that are left with least first. */
static void
take_gang (const struct dff_core *core,
	   const struct dff_core_rack *rack,
	   const struct dff_core_job *job,
	   struct dff_rack_fits *fits)
{
	int32_t accelerators = MAX (job->per_task.accelerators, 1);
	int32_t left = job->gang;
	int32_t least = accelerators;
	while (left > 0) {
		int32_t next = INT32_MAX;
		for (guint i = 0; i < rack->workers->len && left > 0; i++) {
			int32_t available = free_accelerators (dff_core_worker_at (
				core, g_array_index (rack->workers, int32_t, i)));
			if (available > least)
				next = MIN (next, available);
			if (available != least)
				continue;
			int32_t members = MIN (available / accelerators, left);
			dff_rack_fits_take (fits, available, members * accelerators);
			left -= members;
		}
		if (next == INT32_MAX)
			return;
		least = next;
	}
}

int32_t
dff_core_shape_gang_order (const struct dff_core *core,
			   struct dff_core_rack *rack,
			   const struct dff_core_job *job)
{
	const struct dff_core_region *region = dff_core_region_at (core, rack->region);
	refresh_rack (core, rack);
	if (rack->shapes.fits.tasks[job->per_task.accelerators] < job->gang)
		return INT32_MAX;
	struct dff_rack_fits after = rack->shapes.fits;
	take_gang (core, rack, job, &after);
	struct dff_shape_loss loss =
		dff_shapes_loss (&region->shapes, &rack->shapes.fits, &after, region->shape_gangs);
	int32_t key = (int32_t)MIN (loss.weighted * LOSS_SCALE, GANG_LOSS_MAX);
	return key * KEY_LOSS + MIN (rack->free_accelerators, LEFT_MAX);
}

bool
dff_core_has_shape_gang_order (const struct dff_core *core, const struct dff_core_job *job)
{
	return core->options.shape_gang_order && job->urgent && job->per_task.accelerators > 0 &&
	       job->per_task.accelerators <= DFF_SHAPE_SIZES && job->hold == DFF_CORE_HOLD_SOFT &&
	       !dff_core_job_is_isolated (core, job);
}

int32_t
dff_core_shape_worker_order (const struct dff_core *core,
			     const struct dff_core_worker *worker,
			     const struct dff_core_job *job,
			     int32_t left)
{
	if (!dff_core_has_shape_order (core, job) || worker->singles[job->checkpoint] > 0)
		return left;
	return left + HOLDS_NO_SINGLES;
}

/* Time for which a task must run for its work not to be lost, ms. */
static int64_t
safe_after_ms (const struct dff_core *core, const struct dff_core_job *job)
{
	if (job->checkpoint)
		return core->options.first_checkpoint_ms;
	return job->estimate_ms;
}

bool
dff_core_shape_holds (const struct dff_core *core,
		      const struct dff_core_job *job,
		      int32_t worker_index)
{
	const struct dff_core_worker *worker = dff_core_worker_at (core, worker_index);
	if (core->options.first_checkpoint_ms == 0 || !dff_core_job_is_single (job) ||
	    job->priority < DFF_CORE_PRIORITIES - 1 || worker->rack == DFF_CORE_NONE ||
	    job->per_task.accelerators > DFF_SHAPE_SIZES ||
	    dff_core_headroom_level (core, job) < job->priority)
		return false;
	struct dff_core_rack *rack = dff_core_rack_at (core, worker->rack);
	const struct dff_core_region *region = dff_core_region_at (core, rack->region);
	refresh_rack (core, rack);
	struct dff_rack_fits after = rack->shapes.fits;
	dff_rack_fits_take (&after, free_accelerators (worker), job->per_task.accelerators);
	struct dff_shape_loss loss =
		dff_shapes_loss (&region->shapes, &rack->shapes.fits, &after, region->shape_gangs);
	for (int32_t i = 0; i < region->shapes.n_records; i++) {
		const struct dff_shape_record *record = &region->shapes.records[i];
		int64_t gangs = dff_shape_gangs (&record->shape, region->shape_units[i]);
		if (record->shape.priority == 0 && (loss.lost & (UINT64_C (1) << i)) != 0 &&
		    dff_shape_is_expected (record, gangs - 1, safe_after_ms (core, job)))
			return true;
	}
	return false;
}

void
dff_core_shape_stats (const struct dff_core *core, struct dff_core_stats *stats)
{
	for (guint i = 0; i < core->racks->len; i++) {
		struct dff_rack_fits fits =
			dff_core_rack_fits (core, dff_core_rack_at (core, (int32_t)i));
		for (int32_t j = 0; j < DFF_CORE_GANG_SIZES; j++)
			stats->largest_gangs[j] = MAX (stats->largest_gangs[j],
						       dff_shapes_largest_gang (&fits, 1, 1 << j));
	}
}
