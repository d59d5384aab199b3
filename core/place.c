#include "core/core_private.h"

#include <string.h>

/* Placement by best fit: of the racks and workers allowed, those that are left with least. */

/** Makes free accelerators count before free slots in the order of workers. */
#define ACCELERATOR_FIRST (1 << 12)
/** Makes the order of racks count before that of the workers in them. */
#define RACK_FIRST (1 << 20)
/** Share of the pool in use up to which the load is low: half, and a little for concurrent
 * changes. */
#define LOW_LOAD_SHARE 0.53
/** Sorts racks in which a job would break a whole piece after all others. */
#define BREAKS_WHOLE_PIECE 1000000
/** Sorts the rack that holds a job's data before all others. */
#define NEAR_DATA (-2)
/** Costs of stopping work that differ by less than this part of them count as equal. */
#define EQUAL_COST_PARTS 16
/** Sorts racks with headroom next. */
#define HEADROOM_FIRST (-1)

static bool
is_evicting (enum dff_core_view view)
{
	return view == DFF_CORE_VIEW_EVICT || view == DFF_CORE_VIEW_EVICT_UNBOUND;
}

static bool
is_hypothetical (enum dff_core_view view)
{
	return view == DFF_CORE_VIEW_EMPTY || view == DFF_CORE_VIEW_EMPTY_LESS_WITNESSES;
}

struct dff_resources
dff_core_worker_available (const struct dff_core *core,
			   const struct dff_core_worker *worker,
			   const struct dff_core_job *job,
			   enum dff_core_view view)
{
	if (view == DFF_CORE_VIEW_EMPTY)
		return worker->capacity;
	if (view == DFF_CORE_VIEW_EMPTY_LESS_WITNESSES)
		return dff_resources_less (&worker->capacity, &worker->witnesses);
	struct dff_resources available = dff_resources_less (&worker->capacity, &worker->used);
	available = dff_resources_less (&available, &worker->reserved);
	for (guint i = 0; is_evicting (view) && i < worker->occupants->len; i++) {
		struct dff_core_job *occupant = g_ptr_array_index (worker->occupants, i);
		if (dff_core_may_evict (core, job, occupant))
			dff_resources_add (&available, &occupant->per_task, 1);
	}
	if (view != DFF_CORE_VIEW_UNBOUND && view != DFF_CORE_VIEW_EVICT_UNBOUND)
		return available;
	struct dff_resources free_of_bound = dff_resources_less (&worker->capacity, &worker->bound);
	return dff_resources_min (&available, &free_of_bound);
}

static bool
has_label (const struct dff_core_worker *worker, int32_t label)
{
	if (label == DFF_CORE_NONE)
		return true;
	for (size_t i = 0; i < DFF_WORKER_LABELS_MAX; i++) {
		if (worker->labels[i] == label)
			return true;
	}
	return false;
}

/* Returns: how many more tasks of the job's spread group may be placed on a worker. */
static int32_t
spread_limit (const struct dff_core_worker *worker, const struct dff_core_job *job, int32_t limit)
{
	if (job->per_worker == 0)
		return limit;
	int32_t left = job->per_worker;
	for (guint i = 0; i < worker->occupants->len; i++) {
		const struct dff_core_job *occupant = g_ptr_array_index (worker->occupants, i);
		left -= occupant->per_worker > 0 && occupant->spread_group == job->spread_group;
	}
	return CLAMP (left, 0, limit);
}

/* Whether a job has waited long enough, and the load is low enough, for it to use what is kept for
 * others. Otherwise a job may wait for ever while the pool is nearly empty: for a rack that has
 * lost a worker, or for workers kept free as headroom. Workers that get no new work for now count
 * as capacity, because callers were promised it. */
static bool
may_ignore_reservations (const struct dff_core *core, const struct dff_core_job *job)
{
	if (core->options.low_load_wait_ms == 0 ||
	    core->now_ms - job->submitted_ms < core->options.low_load_wait_ms)
		return false;
	struct dff_resources up = {0}, used = {0};
	for (guint i = 0; i < core->workers->len; i++) {
		const struct dff_core_worker *worker = dff_core_worker_at (core, (int32_t)i);
		if (worker->rack == DFF_CORE_NONE || worker->state == DFF_WORKER_DOWN)
			continue;
		dff_resources_add (&up, &worker->capacity, 1);
		dff_resources_add (&used, &worker->used, 1);
	}
	return used.accelerators <= LOW_LOAD_SHARE * up.accelerators &&
	       used.cores <= LOW_LOAD_SHARE * up.cores;
}

static int32_t
worker_fits (const struct dff_core *core,
	     int32_t index,
	     const struct dff_core_job *job,
	     enum dff_core_view view,
	     int32_t limit)
{
	const struct dff_core_worker *worker = dff_core_worker_at (core, index);
	if (!has_label (worker, job->label) ||
	    (!is_hypothetical (view) && dff_core_exceeds_duration_limit (core, worker, job)))
		return 0;
	if (!is_hypothetical (view))
		limit = spread_limit (worker, job, limit);
	else if (job->per_worker > 0)
		limit = MIN (limit, job->per_worker);
	int32_t level = dff_core_headroom_level (core, job);
	if (limit == 0 || (!is_hypothetical (view) && !job->ignores_reservations &&
			   dff_core_is_headroom (core, worker, level)))
		return 0;
	if (!is_hypothetical (view) &&
	    (!dff_core_worker_usable (worker) || dff_core_job_avoids (job, index) ||
	     !dff_core_isolation_allows (core, worker, job)))
		return 0;
	if (!is_hypothetical (view) && dff_core_worker_on_trial (worker) &&
	    worker->occupants->len > 0)
		return 0;
	/* Most workers are full: two numbers are compared before whole vectors are computed. */
	if ((view == DFF_CORE_VIEW_FREE || view == DFF_CORE_VIEW_UNBOUND) &&
	    (worker->capacity.accelerators - worker->used.accelerators <
		     job->per_task.accelerators ||
	     worker->capacity.slots - worker->used.slots < job->per_task.slots))
		return 0;
	struct dff_resources available = dff_core_worker_available (core, worker, job, view);
	return dff_resources_fits (&available, &job->per_task, limit);
}

struct candidate {
	int32_t worker;
	int32_t fits;
	int32_t left;
};

static int
compare_candidates (gconstpointer a, gconstpointer b)
{
	const struct candidate *one = a;
	const struct candidate *other = b;
	if (one->left != other->left)
		return one->left < other->left ? -1 : 1;
	return one->worker < other->worker ? -1 : one->worker > other->worker;
}

static void
rack_candidates (const struct dff_core *core,
		 const struct dff_core_rack *rack,
		 const struct dff_core_job *job,
		 enum dff_core_view view,
		 GArray *out)
{
	for (guint i = 0; i < rack->workers->len; i++) {
		int32_t index = g_array_index (rack->workers, int32_t, i);
		const struct dff_core_worker *worker = dff_core_worker_at (core, index);
		int32_t fits = worker_fits (core, index, job, view, job->gang);
		if (fits == 0)
			continue;
		struct dff_resources available =
			dff_core_worker_available (core, worker, job, view);
		/* Accelerators first: a task without any avoids workers that have some left. */
		int32_t left = available.accelerators * ACCELERATOR_FIRST + available.slots;
		struct candidate candidate = {
			.worker = index,
			.fits = fits,
			.left = dff_core_isolation_order (
				core, worker, job,
				dff_core_shape_worker_order (core, worker, job, left))};
		g_array_append_val (out, candidate);
	}
}

static int32_t
rack_fits (const struct dff_core *core,
	   const struct dff_core_rack *rack,
	   const struct dff_core_job *job,
	   enum dff_core_view view)
{
	int64_t asked = job->per_task.accelerators;
	if ((view == DFF_CORE_VIEW_FREE || view == DFF_CORE_VIEW_UNBOUND) &&
	    asked > rack->free_accelerators)
		return 0;
	int32_t count = 0;
	for (guint i = 0; i < rack->workers->len && count < job->gang; i++) {
		int32_t index = g_array_index (rack->workers, int32_t, i);
		count += worker_fits (core, index, job, view, job->gang);
	}
	return MIN (count, job->gang);
}

/* Fills the workers that are left with least first. */
static bool
fill (GArray *candidates, int32_t *workers, int32_t gang)
{
	int32_t placed = 0;
	g_array_sort (candidates, compare_candidates);
	for (guint i = 0; i < candidates->len && placed < gang; i++) {
		const struct candidate *at = &g_array_index (candidates, struct candidate, i);
		for (int32_t j = 0; j < at->fits && placed < gang; j++)
			workers[placed++] = at->worker;
	}
	return placed == gang;
}

/* Fills the workers where least work is lost first. Returns: the work lost, core-ms; -1 when the
 * members do not fit. */
static int64_t
fill_evicting (const struct dff_core *core,
	       const struct dff_core_job *job,
	       const GArray *candidates,
	       int32_t *workers)
{
	g_autoptr (GArray) costed = g_array_new (FALSE, FALSE, sizeof (struct dff_core_candidate));
	for (guint i = 0; i < candidates->len; i++) {
		const struct candidate *at = &g_array_index (candidates, struct candidate, i);
		struct dff_core_candidate one = {.worker = at->worker, .fits = at->fits};
		g_array_append_val (costed, one);
	}
	return dff_core_choose_workers (core, job, costed, workers);
}

static bool
rack_allows (const struct dff_core *core,
	     const struct dff_core_job *job,
	     const struct dff_core_rack *rack,
	     enum dff_core_view view)
{
	if (job->region != DFF_CORE_NONE && job->region != rack->region)
		return false;
	if (is_hypothetical (view))
		return true;
	/* A job away from its data runs several times as slow, so a short wait pays off. */
	if (!job->ignores_reservations && job->data_rack != DFF_CORE_NONE &&
	    rack->label != job->data_rack &&
	    core->now_ms - job->submitted_ms < core->options.locality_wait_ms)
		return false;
	return job->ignores_reservations || !dff_core_rack_is_reserved (core, rack, job);
}

/* Whether the whole gang may fit in one rack, by the sums alone. */
static bool
rack_may_hold (const struct dff_core_rack *rack,
	       const struct dff_core_job *job,
	       enum dff_core_view view)
{
	if (is_hypothetical (view))
		return true;
	int32_t accelerators = is_evicting (view) ? rack->accelerators : rack->free_accelerators;
	return dff_core_job_accelerators (job) <= accelerators &&
	       job->gang * job->per_task.slots <= rack->slots;
}

/* Whether work of the second priority leaves some of a rack's workers free for the first. */
static bool
has_headroom (const struct dff_core *core, const struct dff_core_rack *rack)
{
	if (rack->workers->len == 0)
		return false;
	int32_t last = g_array_index (rack->workers, int32_t, rack->workers->len - 1);
	return dff_core_is_headroom (core, dff_core_worker_at (core, last), 1);
}

/* Sort key of a rack, lowest first. Best fit on the fragments: pieces smaller than the largest
 * guaranteed rack shape serve no large gang, so they are used up before a whole piece is broken.
 * Work that may not be preempted is placed beside other such work, because one such task keeps
 * gangs from a rack. */
static int32_t
rack_order (const struct dff_core *core, struct dff_core_rack *rack, const struct dff_core_job *job)
{
	int32_t available = rack->free_accelerators;
	if (job->data_rack != DFF_CORE_NONE && rack->label == job->data_rack)
		return NEAR_DATA;
	if (dff_core_has_shape_order (core, job))
		return dff_core_shape_rack_order (core, rack, job);
	if (dff_core_has_shape_gang_order (core, job))
		return dff_core_shape_gang_order (core, rack, job);
	if (job->priority == 0 && has_headroom (core, rack))
		return HEADROOM_FIRST;
	if (job->hold == DFF_CORE_HOLD_HARD) {
		available = 0;
		for (guint i = 0; i < rack->workers->len; i++) {
			const struct dff_core_worker *worker = dff_core_worker_at (
				core, g_array_index (rack->workers, int32_t, i));
			available += worker->capacity.accelerators - worker->bound.accelerators;
		}
		return available;
	}
	int32_t piece = available % core->largest_rack_shape;
	if (dff_core_job_is_isolated (core, job))
		return BREAKS_WHOLE_PIECE - available;
	bool breaks = piece < dff_core_job_accelerators (job);
	return breaks ? BREAKS_WHOLE_PIECE + available : piece;
}

/* Whether all workers of a rack are kept free by the job: the first one is ranked lowest. */
static bool
is_headroom_rack (const struct dff_core *core,
		  const struct dff_core_rack *rack,
		  const struct dff_core_job *job,
		  int32_t level)
{
	if (job->ignores_reservations || rack->workers->len == 0)
		return false;
	int32_t first = g_array_index (rack->workers, int32_t, 0);
	return dff_core_is_headroom (core, dff_core_worker_at (core, first), level);
}

/* Returns: the rack that is considered at a step. Tasks with checkpoints lose little when they are
 * stopped, so they begin next to the headroom, and those without at the other end. */
static int32_t
rack_at_step (const struct dff_core *core, const struct dff_core_job *job, guint step)
{
	bool backwards = job->checkpoint && dff_core_has_shape_order (core, job);
	return (int32_t)(backwards ? core->racks->len - 1 - step : step);
}

/* Places the gang in the rack that rack_order() prefers. */
static bool
place_in_rack (const struct dff_core *core,
	       const struct dff_core_job *job,
	       enum dff_core_view view,
	       int32_t *workers)
{
	int32_t best = DFF_CORE_NONE;
	int32_t best_order = INT32_MAX;
	int32_t level = dff_core_headroom_level (core, job);
	for (guint i = 0; i < core->racks->len; i++) {
		int32_t index = rack_at_step (core, job, i);
		struct dff_core_rack *rack = dff_core_rack_at (core, index);
		if (!rack_allows (core, job, rack, view) || !rack_may_hold (rack, job, view))
			continue;
		if (!is_hypothetical (view) && is_headroom_rack (core, rack, job, level))
			continue;
		int32_t order = rack_order (core, rack, job);
		if (order >= best_order || rack_fits (core, rack, job, view) < job->gang)
			continue;
		best = index;
		best_order = order;
	}
	if (best == DFF_CORE_NONE)
		return false;
	g_autoptr (GArray) candidates = g_array_new (FALSE, FALSE, sizeof (struct candidate));
	rack_candidates (core, dff_core_rack_at (core, best), job, view, candidates);
	return fill (candidates, workers, job->gang);
}

/* The best rack so far of those in which work would be stopped. */
struct eviction {
	/** Work lost, core-ms; -1: no rack fits. */
	int64_t cost;
	/** Least work lost in any rack. */
	int64_t least;
	/** Number of tasks stopped; -1: not counted yet. */
	int32_t tasks;
};

/* Whether a rack is better than the best one so far: less work is lost, or about as much, with
 * fewer tasks stopped. */
static bool
improves (const struct dff_core *core,
	  const struct dff_core_job *job,
	  struct eviction *best,
	  const int32_t *best_workers,
	  int64_t cost,
	  const int32_t *workers)
{
	int64_t equal = best->least / EQUAL_COST_PARTS;
	bool is_least = best->cost < 0 || cost < best->least;
	if (best->cost < 0 || !core->options.shape_victims || cost < best->least - equal) {
		bool better = best->cost < 0 || cost < best->cost;
		*best = better ? (struct eviction){cost, cost, -1} : *best;
		return better;
	}
	best->least = is_least ? cost : best->least;
	if (cost > best->least + equal)
		return false;
	if (best->tasks < 0)
		best->tasks = dff_core_evicted_tasks (core, job, best_workers);
	int32_t tasks = dff_core_evicted_tasks (core, job, workers);
	if (tasks > best->tasks || (tasks == best->tasks && cost >= best->cost))
		return false;
	best->cost = cost;
	best->tasks = tasks;
	return true;
}

/* Places the gang in the rack where least work is lost. */
static bool
evict_in_rack (const struct dff_core *core,
	       const struct dff_core_job *job,
	       enum dff_core_view view,
	       int32_t *workers)
{
	struct eviction best = {.cost = -1, .tasks = -1};
	g_autoptr (GArray) candidates = g_array_new (FALSE, FALSE, sizeof (struct candidate));
	for (guint i = 0; i < core->racks->len && best.cost != 0; i++) {
		const struct dff_core_rack *rack = dff_core_rack_at (core, (int32_t)i);
		int32_t trial[DFF_GANG_MAX];
		if (!rack_allows (core, job, rack, view) || !rack_may_hold (rack, job, view) ||
		    rack_fits (core, rack, job, view) < job->gang)
			continue;
		g_array_set_size (candidates, 0);
		rack_candidates (core, rack, job, view, candidates);
		int64_t cost = fill_evicting (core, job, candidates, trial);
		if (cost >= 0 && improves (core, job, &best, workers, cost, trial))
			memcpy (workers, trial, sizeof (int32_t) * (gsize)job->gang);
	}
	return best.cost >= 0;
}

static bool
place_in_one_rack (const struct dff_core *core,
		   const struct dff_core_job *job,
		   enum dff_core_view view,
		   int32_t *workers)
{
	if (is_evicting (view))
		return evict_in_rack (core, job, view, workers);
	return place_in_rack (core, job, view, workers);
}

/* Fills racks @first to @last as if they were one. */
static bool
fill_window (const struct dff_core *core,
	     const struct dff_core_job *job,
	     enum dff_core_view view,
	     int32_t first,
	     int32_t last,
	     int32_t *workers)
{
	g_autoptr (GArray) candidates = g_array_new (FALSE, FALSE, sizeof (struct candidate));
	for (int32_t i = first; i <= last; i++)
		rack_candidates (core, dff_core_rack_at (core, i), job, view, candidates);
	if (is_evicting (view))
		return fill_evicting (core, job, candidates, workers) >= 0;
	return fill (candidates, workers, job->gang);
}

/* Places the gang in the shortest run of neighbouring racks of one region that holds it. */
static bool
place_in_neighbours (const struct dff_core *core,
		     const struct dff_core_job *job,
		     enum dff_core_view view,
		     int32_t *workers)
{
	g_autoptr (GArray) table = g_array_new (FALSE, TRUE, sizeof (int32_t));
	g_array_set_size (table, core->racks->len + 1);
	int32_t *fits = (int32_t *)(void *)table->data;
	int32_t best_first = DFF_CORE_NONE, best_last = 0, first = 0;
	int64_t sum = 0;
	for (int32_t last = 0; last < (int32_t)core->racks->len; last++) {
		const struct dff_core_rack *rack = dff_core_rack_at (core, last);
		fits[last] =
			rack_allows (core, job, rack, view) ? rack_fits (core, rack, job, view) : 0;
		if (rack->region != dff_core_rack_at (core, first)->region) {
			first = last;
			sum = 0;
		}
		sum += fits[last];
		while (first < last && sum - fits[first] >= job->gang)
			sum -= fits[first++];
		if (sum < job->gang)
			continue;
		if (best_first == DFF_CORE_NONE || last - first < best_last - best_first) {
			best_first = first;
			best_last = last;
		}
	}
	return best_first != DFF_CORE_NONE &&
	       fill_window (core, job, view, best_first, best_last, workers);
}

/* Places the gang anywhere in one region, in racks with few free accelerators first. */
static bool
place_in_region (const struct dff_core *core,
		 const struct dff_core_job *job,
		 enum dff_core_view view,
		 int32_t region,
		 int32_t *workers)
{
	g_autoptr (GArray) candidates = g_array_new (FALSE, FALSE, sizeof (struct candidate));
	for (guint i = 0; i < core->racks->len; i++) {
		const struct dff_core_rack *rack = dff_core_rack_at (core, (int32_t)i);
		if (rack->region != region || !rack_allows (core, job, rack, view))
			continue;
		guint before = candidates->len;
		rack_candidates (core, rack, job, view, candidates);
		for (guint j = before; j < candidates->len; j++)
			g_array_index (candidates, struct candidate, j).left +=
				rack->free_accelerators * RACK_FIRST;
	}
	if (is_evicting (view))
		return fill_evicting (core, job, candidates, workers) >= 0;
	return fill (candidates, workers, job->gang);
}

static bool
place_anywhere (const struct dff_core *core,
		const struct dff_core_job *job,
		enum dff_core_view view,
		int32_t *workers)
{
	if (place_in_one_rack (core, job, view, workers))
		return true;
	if (job->gang == 1)
		return false;
	for (guint i = 0; i < core->regions->len; i++) {
		if (job->region != DFF_CORE_NONE && job->region != (int32_t)i)
			continue;
		if (place_in_region (core, job, view, (int32_t)i, workers))
			return true;
	}
	return false;
}

/* Whether a rack could hold the gang if its usable workers were empty. A rack that has lost a
 * worker may never hold the gang again. */
static bool
fits_some_rack (const struct dff_core *core, const struct dff_core_job *job)
{
	for (guint i = 0; i < core->racks->len; i++) {
		const struct dff_core_rack *rack = dff_core_rack_at (core, (int32_t)i);
		int32_t fits = 0;
		int32_t level = dff_core_headroom_level (core, job);
		if (job->region != DFF_CORE_NONE && job->region != rack->region)
			continue;
		for (guint j = 0; j < rack->workers->len; j++) {
			int32_t index = g_array_index (rack->workers, int32_t, j);
			const struct dff_core_worker *worker = dff_core_worker_at (core, index);
			if (core->options.retry_without_limit && !dff_core_worker_usable (worker))
				continue;
			if (dff_core_is_headroom (core, worker, level))
				continue;
			fits += worker_fits (core, index, job, DFF_CORE_VIEW_EMPTY, job->gang);
		}
		if (fits >= job->gang)
			return true;
	}
	return false;
}

static bool
rack_wait_is_over (const struct dff_core *core, const struct dff_core_job *job)
{
	int64_t wait_ms =
		job->urgent ? core->options.urgent_rack_wait_ms : core->options.rack_wait_ms;
	return wait_ms > 0 && core->now_ms - job->submitted_ms >= wait_ms;
}

static bool
place (const struct dff_core *core,
       const struct dff_core_job *job,
       enum dff_core_view view,
       int32_t *workers)
{
	if (job->adjacency == DFF_ADJACENCY_NONE)
		return place_anywhere (core, job, view, workers);
	if (place_in_one_rack (core, job, view, workers))
		return true;
	if (job->adjacency == DFF_ADJACENCY_RACK)
		return false;
	/* A gang that fits a rack waits for a whole one; only larger gangs are spread. */
	if (view != DFF_CORE_VIEW_EMPTY && !job->ignores_reservations &&
	    !rack_wait_is_over (core, job) && fits_some_rack (core, job))
		return false;
	return place_in_neighbours (core, job, view, workers);
}

/* Whether the rack with a job's data accepts new work. */
static bool
data_rack_is_open (const struct dff_core *core, const struct dff_core_job *job)
{
	for (guint i = 0; i < core->racks->len; i++) {
		const struct dff_core_rack *rack = dff_core_rack_at (core, (int32_t)i);
		if (rack->label == job->data_rack)
			return rack->slots > 0;
	}
	return false;
}

/* Tries the faster workers first: urgent work would be late on a slow worker, and a gang takes as
 * long as its slowest member. */
static bool
place_on_faster (const struct dff_core *core,
		 const struct dff_core_job *job,
		 enum dff_core_view view,
		 int32_t *workers)
{
	if (!job->urgent || is_hypothetical (view))
		return false;
	struct dff_core_job faster = *job;
	while (dff_core_next_duration_limit (core, &faster)) {
		if (place (core, &faster, view, workers))
			return true;
	}
	return false;
}

bool
dff_core_place (const struct dff_core *core,
		const struct dff_core_job *job,
		enum dff_core_view view,
		int32_t *workers)
{
	if (place_on_faster (core, job, view, workers) || place (core, job, view, workers))
		return true;
	if (is_hypothetical (view))
		return false;
	struct dff_core_job relaxed = *job;
	/* Nothing comes free in a rack whose workers all leave or are evacuated: waiting for that
	 * rack would only delay the job. */
	if (job->data_rack != DFF_CORE_NONE && !data_rack_is_open (core, job)) {
		relaxed.data_rack = DFF_CORE_NONE;
		if (place (core, &relaxed, view, workers))
			return true;
	}
	/* A worker on which the job failed once is better than none: the failure may not recur. */
	relaxed.n_avoided = 0;
	if (job->n_avoided > 0 && place (core, &relaxed, view, workers))
		return true;
	relaxed.ignores_reservations = may_ignore_reservations (core, job);
	return relaxed.ignores_reservations && place (core, &relaxed, view, workers);
}

uint64_t
dff_core_pick_accelerators (const struct dff_core_worker *worker, int32_t count)
{
	uint64_t picked = 0;
	for (int32_t bit = 0; bit < worker->capacity.accelerators && count > 0; bit++) {
		uint64_t mask = UINT64_C (1) << bit;
		if ((worker->leased & mask) != 0)
			continue;
		picked |= mask;
		count--;
	}
	g_assert (count == 0);
	return picked;
}
