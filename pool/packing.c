#include "pool/packing.h"

#include <string.h>

/* Limit the search in files that are hard to pack to some tens of milliseconds, and its recursion
 * to a small stack. */
#define DFF_PACK_STEPS_MAX 200000
#define DFF_PACK_DEPTH_MAX 4096

/* One guaranteed gang to be placed. */
struct shape {
	guint team;
	guint guarantee;
	/** Index of the guarantee among the guarantees of all teams. */
	guint guarantee_id;
	int32_t accelerators;
	/** Region id; -1: any. */
	int region;
};

struct rack_capacity {
	int region;
	int32_t size;
	int32_t free;
};

/* A place: @count neighbouring racks of one region from @first, in the order of the racks table. */
struct place {
	int first;
	int count;
	/** Accelerators left in the racks of the place; the fewest are the tightest fit. */
	int32_t remaining;
};

struct packing {
	GArray *shapes; /**< Elements: struct shape, largest first. */
	GArray *racks;  /**< Elements: struct rack_capacity, grouped by region. */
	/** Region id of the gangs of each guarantee; -1: none yet. */
	GArray *guarantee_regions;
	GHashTable *region_ids;
	int32_t largest_rack;
	guint deepest;
	int steps;
};

static int
packing_region_id (struct packing *packing, const struct dff_name *region, bool add)
{
	gpointer id = NULL;
	if (g_hash_table_lookup_extended (packing->region_ids, region, NULL, &id))
		return GPOINTER_TO_INT (id);
	if (!add)
		return -1;
	int next = (int)g_hash_table_size (packing->region_ids);
	g_hash_table_insert (packing->region_ids, (gpointer)region, GINT_TO_POINTER (next));
	return next;
}

static int
rack_compare (gconstpointer a, gconstpointer b)
{
	return ((const struct rack_capacity *)a)->region -
	       ((const struct rack_capacity *)b)->region;
}

static void
packing_add_racks (struct packing *packing, const struct dff_pool *pool)
{
	for (guint i = 0; i < pool->racks->len; i++) {
		const struct dff_rack *rack = &g_array_index (pool->racks, struct dff_rack, i);
		struct rack_capacity capacity = {
			.region = packing_region_id (packing, &rack->region, true),
			.size = (int32_t)rack->workers->len * rack->per_worker.accelerators,
		};
		capacity.free = capacity.size;
		packing->largest_rack = MAX (packing->largest_rack, capacity.size);
		g_array_append_val (packing->racks, capacity);
	}
	/* g_array_sort() is stable: neighbours of one region stay next to each other. */
	g_array_sort (packing->racks, rack_compare);
}

static void
packing_add_guarantee (struct packing *packing,
		       const struct dff_guarantee *guarantee,
		       struct shape shape)
{
	static const int none = -1;
	shape.guarantee_id = packing->guarantee_regions->len;
	shape.accelerators = guarantee->accelerators;
	shape.region = none;
	if (!dff_name_is_empty (&guarantee->region))
		shape.region = packing_region_id (packing, &guarantee->region, false);
	g_array_append_val (packing->guarantee_regions, none);
	for (int32_t i = 0; i < guarantee->gangs; i++)
		g_array_append_val (packing->shapes, shape);
}

static int
shape_compare (gconstpointer a, gconstpointer b)
{
	const struct shape *left = a;
	const struct shape *right = b;
	if (left->accelerators != right->accelerators)
		return left->accelerators > right->accelerators ? -1 : 1;
	/* Shapes bound to a region have fewer possible places, so they come first. */
	if ((left->region < 0) != (right->region < 0))
		return left->region < 0 ? 1 : -1;
	return left->guarantee_id < right->guarantee_id ? -1
							: left->guarantee_id > right->guarantee_id;
}

static void
packing_add_shapes (struct packing *packing, const struct dff_pool *pool)
{
	for (guint t = 0; t < pool->teams->len; t++) {
		const struct dff_team *team = &g_array_index (pool->teams, struct dff_team, t);
		for (guint g = 0; g < team->guarantees->len; g++) {
			struct shape shape = {.team = t, .guarantee = g};
			packing_add_guarantee (
				packing, &g_array_index (team->guarantees, struct dff_guarantee, g),
				shape);
		}
	}
	g_array_sort (packing->shapes, shape_compare);
}

/* Finds the place with the fewest neighbouring racks from @first that holds @need. */
static bool
place_at (const struct packing *packing, int first, int32_t need, struct place *place)
{
	const struct rack_capacity *racks = (const struct rack_capacity *)packing->racks->data;
	int32_t sum = 0;
	for (int i = first; i < (int)packing->racks->len; i++) {
		if (racks[i].region != racks[first].region)
			return false;
		sum += racks[i].free;
		if (sum >= need) {
			*place = (struct place){first, i - first + 1, sum - need};
			return true;
		}
		/* In a place of several racks, all but the last have to be wholly free. */
		if (racks[i].free < racks[i].size || racks[i].size == 0)
			return false;
	}
	return false;
}

static int
place_compare (gconstpointer a, gconstpointer b)
{
	const struct place *left = a;
	const struct place *right = b;
	if (left->count != right->count)
		return left->count - right->count;
	if (left->remaining != right->remaining)
		return left->remaining < right->remaining ? -1 : 1;
	return left->first - right->first;
}

/* Returns: the places of @shape, best first. */
static GArray *
packing_places (const struct packing *packing, const struct shape *shape)
{
	const struct rack_capacity *racks = (const struct rack_capacity *)packing->racks->data;
	GArray *places = g_array_new (FALSE, FALSE, sizeof (struct place));
	int region = g_array_index (packing->guarantee_regions, int, shape->guarantee_id);
	if (region < 0)
		region = shape->region;
	for (int i = 0; i < (int)packing->racks->len; i++) {
		struct place place;
		if (region >= 0 && racks[i].region != region)
			continue;
		if (!place_at (packing, i, shape->accelerators, &place))
			continue;
		/* A shape that fits in one rack is not spread. */
		if (shape->accelerators <= packing->largest_rack && place.count > 1)
			continue;
		g_array_append_val (places, place);
	}
	g_array_sort (places, place_compare);
	return places;
}

/* Takes (@sign -1) or returns (@sign 1) the accelerators of a place. */
static void
packing_apply (struct packing *packing, struct place place, int32_t need, int sign)
{
	for (int i = place.first; i < place.first + place.count; i++) {
		struct rack_capacity *rack =
			&g_array_index (packing->racks, struct rack_capacity, i);
		bool last = i == place.first + place.count - 1;
		int32_t part = last ? need : rack->size;
		rack->free += sign * part;
		need -= part;
	}
}

static void
packing_reset (struct packing *packing)
{
	for (guint i = 0; i < packing->racks->len; i++) {
		struct rack_capacity *rack =
			&g_array_index (packing->racks, struct rack_capacity, i);
		rack->free = rack->size;
	}
	for (guint i = 0; i < packing->guarantee_regions->len; i++)
		g_array_index (packing->guarantee_regions, int, i) = -1;
}

static void
packing_place (struct packing *packing, const struct shape *shape, struct place place)
{
	packing_apply (packing, place, shape->accelerators, -1);
	int region = g_array_index (packing->racks, struct rack_capacity, place.first).region;
	g_array_index (packing->guarantee_regions, int, shape->guarantee_id) = region;
}

/* Puts every shape into its best place, without backtracking. Returns: index of the first shape
 * without a place; the number of shapes if all have one. */
static guint
packing_greedy (struct packing *packing)
{
	for (guint i = 0; i < packing->shapes->len; i++) {
		const struct shape *shape = &g_array_index (packing->shapes, struct shape, i);
		g_autoptr (GArray) places = packing_places (packing, shape);
		if (places->len == 0)
			return i;
		packing_place (packing, shape, g_array_index (places, struct place, 0));
	}
	return packing->shapes->len;
}

static bool
packing_search (struct packing *packing, guint index)
{
	if (index == packing->shapes->len)
		return true;
	packing->deepest = MAX (packing->deepest, index);
	const struct shape *shape = &g_array_index (packing->shapes, struct shape, index);
	g_autoptr (GArray) places = packing_places (packing, shape);
	int region = g_array_index (packing->guarantee_regions, int, shape->guarantee_id);
	for (guint i = 0; i < places->len && packing->steps < DFF_PACK_STEPS_MAX; i++) {
		struct place place = g_array_index (places, struct place, i);
		packing->steps++;
		packing_place (packing, shape, place);
		if (packing_search (packing, index + 1))
			return true;
		packing_apply (packing, place, shape->accelerators, 1);
		g_array_index (packing->guarantee_regions, int, shape->guarantee_id) = region;
	}
	return false;
}

static bool
packing_run (struct packing *packing)
{
	packing->deepest = packing_greedy (packing);
	if (packing->deepest == packing->shapes->len)
		return true;
	if (packing->shapes->len > DFF_PACK_DEPTH_MAX)
		return false;
	packing_reset (packing);
	return packing_search (packing, 0);
}

static struct dff_pool_pack_failure
packing_failure (const struct packing *packing)
{
	const struct shape *shape =
		&g_array_index (packing->shapes, struct shape, packing->deepest);
	return (struct dff_pool_pack_failure){true, shape->team, shape->guarantee};
}

struct dff_pool_pack_failure
dff_pool_pack (const struct dff_pool *pool)
{
	g_autoptr (GArray) shapes = g_array_new (FALSE, FALSE, sizeof (struct shape));
	g_autoptr (GArray) racks = g_array_new (FALSE, FALSE, sizeof (struct rack_capacity));
	g_autoptr (GArray) guarantee_regions = g_array_new (FALSE, FALSE, sizeof (int));
	g_autoptr (GHashTable) ids = g_hash_table_new (dff_name_hash, dff_name_equal_func);
	struct packing packing = {
		.shapes = shapes,
		.racks = racks,
		.guarantee_regions = guarantee_regions,
		.region_ids = ids,
	};
	packing_add_racks (&packing, pool);
	packing_add_shapes (&packing, pool);
	if (packing_run (&packing))
		return (struct dff_pool_pack_failure){0};
	return packing_failure (&packing);
}
