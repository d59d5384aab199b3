#include "core/core_private.h"

#include <string.h>

/* Witness placement: every guaranteed shape has a concrete set of accelerators that are free or
 * held by work that may be preempted. These sets are disjoint and count as bound, so no work that
 * may not be preempted is placed on them. So a team can always reclaim its shape, as an invariant
 * of the tables, which dff_core_check() verifies. */

/* Returns: slots of a worker that go with @count of its accelerators, rounded up. */
static int32_t
slots_with (const struct dff_core_worker *worker, int32_t count)
{
	int32_t accelerators = MAX (worker->capacity.accelerators, 1);
	int32_t slots = MIN (MAX (worker->capacity.slots, 0), accelerators);
	return (count * slots + accelerators - 1) / accelerators;
}

struct dff_resources
dff_core_worker_share (const struct dff_core_worker *worker, int32_t count)
{
	int32_t shares = MAX (MAX (worker->capacity.accelerators, worker->capacity.slots), 1);
	return (struct dff_resources){
		.slots = slots_with (worker, count),
		.cores = count * (worker->capacity.cores / shares),
		.memory_gb = count * (worker->capacity.memory_gb / shares),
		.accelerators = count,
	};
}

static void
bind_part (struct dff_core *core, const struct dff_core_part *part, int32_t sign)
{
	struct dff_core_worker *worker = dff_core_worker_at (core, part->worker);
	struct dff_resources share = dff_core_worker_share (worker, part->count);
	dff_resources_add (&worker->bound, &share, sign);
	dff_resources_add (&worker->witnesses, &share, sign);
}

/* Returns: accelerators of a worker that witness placements may still take. */
static int32_t
unbound (const struct dff_core_worker *worker)
{
	if (!dff_core_worker_usable (worker))
		return 0;
	struct dff_resources available = dff_resources_less (&worker->capacity, &worker->bound);
	struct dff_resources one = dff_core_worker_share (worker, 1);
	one.slots = 0;
	int32_t count = dff_resources_fits (&available, &one, worker->capacity.accelerators);
	/* Where slots are dedicated to requests, several accelerators share one slot. */
	while (count > 0 && slots_with (worker, count) > available.slots)
		count--;
	return count;
}

void
dff_core_shape_unpack (struct dff_core *core, struct dff_core_shape *shape)
{
	for (guint i = 0; i < shape->parts->len; i++)
		bind_part (core, &g_array_index (shape->parts, struct dff_core_part, i), -1);
	g_array_set_size (shape->parts, 0);
	shape->packed = 0;
}

void
dff_core_shape_set_parts (struct dff_core *core, struct dff_core_shape *shape, const GArray *parts)
{
	dff_core_shape_unpack (core, shape);
	for (guint i = 0; i < parts->len; i++) {
		struct dff_core_part part = g_array_index (parts, struct dff_core_part, i);
		g_array_append_val (shape->parts, part);
		bind_part (core, &part, 1);
		shape->packed += part.count;
	}
}

struct candidate {
	int32_t worker;
	int32_t unbound;
	bool whole;
	int64_t cost;
};

static int
compare_cost (gconstpointer a, gconstpointer b)
{
	const struct candidate *one = a;
	const struct candidate *other = b;
	if (one->cost != other->cost)
		return one->cost < other->cost ? -1 : 1;
	return one->worker < other->worker ? -1 : one->worker > other->worker;
}

static int
compare_least (gconstpointer a, gconstpointer b)
{
	const struct candidate *one = a;
	const struct candidate *other = b;
	if (one->unbound != other->unbound)
		return one->unbound < other->unbound ? -1 : 1;
	return compare_cost (a, b);
}

static void
rack_candidates (const struct dff_core *core,
		 int32_t rack_index,
		 dff_core_worker_cost_func cost,
		 const void *user,
		 GArray *candidates)
{
	const struct dff_core_rack *rack = dff_core_rack_at (core, rack_index);
	for (guint i = 0; i < rack->workers->len; i++) {
		int32_t index = g_array_index (rack->workers, int32_t, i);
		const struct dff_core_worker *worker = dff_core_worker_at (core, index);
		struct candidate candidate = {.worker = index, .unbound = unbound (worker)};
		if (candidate.unbound == 0)
			continue;
		candidate.whole = candidate.unbound == worker->capacity.accelerators;
		candidate.cost = cost != NULL ? cost (worker, user) : 0;
		g_array_append_val (candidates, candidate);
	}
}

static void
take_candidate (struct candidate *candidate, int32_t count, GArray *parts)
{
	struct dff_core_part part = {.worker = candidate->worker, .count = count};
	g_array_append_val (parts, part);
	candidate->unbound = 0;
}

/* Takes whole workers first: a witness placement made of fragments on many workers could not hold a
 * task that needs several accelerators of one worker. Returns: what is left of @size. */
static int32_t
take_whole (GArray *candidates, int32_t size, GArray *parts)
{
	g_array_sort (candidates, compare_cost);
	for (guint i = 0; i < candidates->len; i++) {
		struct candidate *candidate = &g_array_index (candidates, struct candidate, i);
		if (!candidate->whole || candidate->unbound > size)
			continue;
		size -= candidate->unbound;
		take_candidate (candidate, candidate->unbound, parts);
	}
	return size;
}

static int32_t
take_remainder (GArray *candidates, int32_t size, GArray *parts)
{
	if (size == 0)
		return 0;
	g_array_sort (candidates, compare_least);
	for (guint i = 0; i < candidates->len; i++) {
		struct candidate *candidate = &g_array_index (candidates, struct candidate, i);
		if (candidate->unbound < size)
			continue;
		take_candidate (candidate, size, parts);
		return 0;
	}
	return size;
}

bool
dff_core_pack_rack (const struct dff_core *core,
		    int32_t rack,
		    int32_t size,
		    dff_core_worker_cost_func cost,
		    const void *user,
		    GArray *parts)
{
	g_array_set_size (parts, 0);
	if (dff_core_rack_at (core, rack)->accelerators < size)
		return false;
	g_autoptr (GArray) candidates = g_array_new (FALSE, TRUE, sizeof (struct candidate));
	rack_candidates (core, rack, cost, user, candidates);
	int32_t left = take_whole (candidates, size, parts);
	return take_remainder (candidates, left, parts) == 0;
}

static int32_t
rack_unbound (const struct dff_core *core, int32_t index)
{
	const struct dff_core_rack *rack = dff_core_rack_at (core, index);
	int32_t sum = 0;
	for (guint i = 0; i < rack->workers->len; i++)
		sum += unbound (
			dff_core_worker_at (core, g_array_index (rack->workers, int32_t, i)));
	return sum;
}

static bool
region_allows (const struct dff_core_shape *shape, const struct dff_core_rack *rack)
{
	return shape->region == DFF_CORE_NONE || shape->region == rack->region;
}

static bool
pack_in_best_rack (const struct dff_core *core, const struct dff_core_shape *shape, GArray *parts)
{
	g_autoptr (GArray) trial = g_array_new (FALSE, TRUE, sizeof (struct dff_core_part));
	int32_t best_room = INT32_MAX;
	for (guint i = 0; i < core->racks->len; i++) {
		if (!region_allows (shape, dff_core_rack_at (core, (int32_t)i)))
			continue;
		int32_t available = rack_unbound (core, (int32_t)i);
		if (available < shape->size || available >= best_room)
			continue;
		if (!dff_core_pack_rack (core, (int32_t)i, shape->size, NULL, NULL, trial))
			continue;
		best_room = available;
		g_array_set_size (parts, 0);
		g_array_append_vals (parts, trial->data, trial->len);
	}
	return best_room < INT32_MAX;
}

/* Packs a shape into neighbouring racks @first to @last. @fragments: whether pieces smaller than a
 * worker may be used. */
static bool
pack_window (const struct dff_core *core,
	     const struct dff_core_shape *shape,
	     int32_t first,
	     int32_t last,
	     bool fragments,
	     GArray *parts)
{
	g_array_set_size (parts, 0);
	g_autoptr (GArray) candidates = g_array_new (FALSE, TRUE, sizeof (struct candidate));
	for (int32_t i = first; i <= last; i++)
		rack_candidates (core, i, NULL, NULL, candidates);
	int32_t left = take_whole (candidates, shape->size, parts);
	left = take_remainder (candidates, left, parts);
	for (guint i = 0; fragments && i < candidates->len && left > 0; i++) {
		struct candidate *candidate = &g_array_index (candidates, struct candidate, i);
		int32_t count = MIN (candidate->unbound, left);
		if (count == 0)
			continue;
		left -= count;
		take_candidate (candidate, count, parts);
	}
	return left == 0;
}

/* Packs a shape into the shortest run of neighbouring racks that can hold it. */
static bool
pack_in_neighbours (const struct dff_core *core,
		    const struct dff_core_shape *shape,
		    bool fragments,
		    GArray *parts)
{
	int32_t first = 0, best_first = DFF_CORE_NONE, best_last = 0, sum = 0;
	g_autoptr (GArray) table = g_array_new (FALSE, TRUE, sizeof (int32_t));
	g_array_set_size (table, core->racks->len + 1);
	int32_t *sums = (int32_t *)(void *)table->data;
	for (int32_t last = 0; last < (int32_t)core->racks->len; last++) {
		const struct dff_core_rack *rack = dff_core_rack_at (core, last);
		if (rack->region != dff_core_rack_at (core, first)->region) {
			first = last;
			sum = 0;
		}
		sums[last] = region_allows (shape, rack) ? rack_unbound (core, last) : 0;
		sum += sums[last];
		while (first < last && sum - sums[first] >= shape->size)
			sum -= sums[first++];
		if (sum < shape->size ||
		    (best_first != DFF_CORE_NONE && last - first >= best_last - best_first))
			continue;
		best_first = first;
		best_last = last;
	}
	return best_first != DFF_CORE_NONE &&
	       pack_window (core, shape, best_first, best_last, fragments, parts);
}

static bool
fits_some_rack (const struct dff_core *core, const struct dff_core_shape *shape)
{
	for (guint i = 0; i < core->racks->len; i++) {
		const struct dff_core_rack *rack = dff_core_rack_at (core, (int32_t)i);
		if (rack->accelerators >= shape->size && region_allows (shape, rack))
			return true;
	}
	return false;
}

/* Finds a witness placement for a shape. @fragments: whether one in pieces over several racks is
 * accepted; it is better than none. */
static bool
pack (struct dff_core *core, struct dff_core_shape *shape, bool fragments)
{
	g_autoptr (GArray) parts = g_array_new (FALSE, TRUE, sizeof (struct dff_core_part));
	if (!pack_in_best_rack (core, shape, parts)) {
		if (!fragments && fits_some_rack (core, shape))
			return false;
		if (!pack_in_neighbours (core, shape, fragments, parts))
			return false;
	}
	dff_core_shape_set_parts (core, shape, parts);
	return true;
}

static bool
is_over_bound (const struct dff_core_worker *worker)
{
	struct dff_resources available = dff_resources_less (&worker->capacity, &worker->bound);
	return !dff_core_worker_usable (worker) || !dff_resources_covered (&available);
}

static bool
shape_is_displaced (const struct dff_core *core, const struct dff_core_shape *shape)
{
	for (guint i = 0; i < shape->parts->len; i++) {
		const struct dff_core_part *part =
			&g_array_index (shape->parts, struct dff_core_part, i);
		if (is_over_bound (dff_core_worker_at (core, part->worker)))
			return true;
	}
	return false;
}

static GArray *
copy_parts (const struct dff_core_shape *shape)
{
	GArray *copy = g_array_new (FALSE, TRUE, sizeof (struct dff_core_part));
	g_array_append_vals (copy, shape->parts->data, shape->parts->len);
	return copy;
}

/* Packs the shapes in @displaced, largest first. Returns: false when one does not fit. A witness
 * placement in pieces is not accepted here: work that may not be preempted would take a rack from a
 * team bit by bit, and the team's gang, which needs the whole rack, would wait for that work to
 * end. */
static bool
pack_displaced (struct dff_core *core, const GArray *displaced)
{
	for (guint i = 0; i < displaced->len; i++) {
		int32_t index = g_array_index (displaced, int32_t, i);
		if (!pack (core, dff_core_shape_at (core, index), false))
			return false;
	}
	return true;
}

/* All shapes release their new placements before any takes its former one back. */
static void
restore_displaced (struct dff_core *core, const GArray *displaced, const GPtrArray *saved)
{
	const int32_t *indices = (const int32_t *)(const void *)displaced->data;
	for (guint i = 0; i < displaced->len; i++)
		dff_core_shape_unpack (core, dff_core_shape_at (core, indices[i]));
	for (guint i = 0; i < displaced->len; i++) {
		struct dff_core_shape *shape = dff_core_shape_at (core, indices[i]);
		dff_core_shape_set_parts (core, shape, g_ptr_array_index (saved, i));
	}
}

bool
dff_core_relocate_witnesses (struct dff_core *core)
{
	g_autoptr (GArray) displaced = g_array_new (FALSE, FALSE, sizeof (int32_t));
	g_autoptr (GPtrArray) saved =
		g_ptr_array_new_with_free_func ((GDestroyNotify)g_array_unref);
	for (int32_t i = 0; i < (int32_t)core->shapes->len; i++) {
		struct dff_core_shape *shape = dff_core_shape_at (core, i);
		if (shape->claimed > 0 || !shape_is_displaced (core, shape))
			continue;
		g_array_append_val (displaced, i);
		g_ptr_array_add (saved, copy_parts (shape));
		dff_core_shape_unpack (core, shape);
	}
	bool claims_fit = true;
	for (guint i = 0; i < core->workers->len && claims_fit; i++) {
		const struct dff_core_worker *worker = dff_core_worker_at (core, (int32_t)i);
		claims_fit = !dff_core_worker_usable (worker) || !is_over_bound (worker);
	}
	if (claims_fit && pack_displaced (core, displaced))
		return true;
	restore_displaced (core, displaced, saved);
	return false;
}

/* A claimed shape stays where its jobs run. Only unclaimed parts on workers that are unusable or
 * bound beyond their capacity are released. */
static void
prune_claimed (struct dff_core *core, struct dff_core_shape *shape)
{
	for (guint i = shape->parts->len; i-- > 0;) {
		struct dff_core_part *part = &g_array_index (shape->parts, struct dff_core_part, i);
		if (!is_over_bound (dff_core_worker_at (core, part->worker)))
			continue;
		bind_part (core, part, -1);
		shape->packed -= part->count - part->claimed;
		part->count = part->claimed;
		bind_part (core, part, 1);
		if (part->count == 0)
			g_array_remove_index_fast (shape->parts, i);
	}
}

void
dff_core_run_witnesses (struct dff_core *core)
{
	if (!core->witness_dirty)
		return;
	core->witness_dirty = false;
	for (int32_t i = 0; i < (int32_t)core->shapes->len; i++) {
		struct dff_core_shape *shape = dff_core_shape_at (core, i);
		if (shape->claimed > 0)
			prune_claimed (core, shape);
		else
			dff_core_shape_unpack (core, shape);
	}
	core->stats.witnesses_missing = 0;
	for (int32_t i = 0; i < (int32_t)core->shapes->len; i++) {
		struct dff_core_shape *shape = dff_core_shape_at (core, i);
		if (shape->claimed == 0)
			pack (core, shape, true);
		core->stats.witnesses_missing += shape->packed < shape->size;
	}
}

void
dff_core_shape_clear (gpointer data)
{
	struct dff_core_shape *shape = data;
	g_array_unref (shape->parts);
}

static int
compare_size (gconstpointer a, gconstpointer b)
{
	const struct dff_core_shape *one = a;
	const struct dff_core_shape *other = b;
	if (one->size != other->size)
		return one->size > other->size ? -1 : 1;
	return one->team < other->team ? -1 : one->team > other->team;
}

static void
add_shapes (struct dff_core *core, int32_t team, const struct dff_guarantee *guarantee)
{
	for (int32_t i = 0; i < guarantee->gangs; i++) {
		struct dff_core_shape shape = {
			.team = team,
			.region = dff_core_find_region (core, &guarantee->region),
			.size = guarantee->accelerators,
			.parts = g_array_new (FALSE, TRUE, sizeof (struct dff_core_part)),
		};
		g_array_append_val (core->shapes, shape);
	}
}

void
dff_core_set_shapes (struct dff_core *core, const struct dff_pool *pool)
{
	for (int32_t i = 0; i < (int32_t)core->shapes->len; i++)
		dff_core_shape_unpack (core, dff_core_shape_at (core, i));
	g_array_set_size (core->shapes, 0);
	for (guint i = 0; i < pool->teams->len; i++) {
		const struct dff_team *team = &g_array_index (pool->teams, struct dff_team, i);
		int32_t index = dff_core_find_team (core, &team->name);
		for (guint j = 0; j < team->guarantees->len; j++)
			add_shapes (core, index,
				    &g_array_index (team->guarantees, struct dff_guarantee, j));
	}
	g_array_sort (core->shapes, compare_size);
	core->witness_dirty = true;
}
