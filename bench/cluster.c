#include "bench/cluster.h"

static struct dff_cluster_worker *
worker_at (const struct dff_cluster *cluster, int32_t index)
{
	return &g_array_index (cluster->workers, struct dff_cluster_worker, index);
}

static const struct dff_cluster_rack *
rack_at (const struct dff_cluster *cluster, guint index)
{
	return &g_array_index (cluster->racks, struct dff_cluster_rack, index);
}

static const struct dff_resources *
available_at (const GArray *available, int32_t index)
{
	return &g_array_index (available, struct dff_resources, index);
}

static int32_t
region_rank (const struct dff_pool *pool, const struct dff_name *region)
{
	for (guint i = 0; i < pool->racks->len; i++) {
		if (dff_name_equal (&g_array_index (pool->racks, struct dff_rack, i).region,
				    region))
			return (int32_t)i;
	}
	return -1;
}

static void
add_rack (struct dff_cluster *cluster,
	  const struct dff_pool *pool,
	  const struct dff_rack *rack,
	  int32_t region)
{
	struct dff_cluster_rack entry = {
		.first = (int32_t)cluster->workers->len,
		.count = (int32_t)rack->workers->len,
		.region = region,
		.region_name = rack->region,
	};
	g_array_append_val (cluster->racks, entry);
	for (guint i = 0; i < rack->workers->len; i++) {
		struct dff_cluster_worker worker = {
			.name = g_array_index (rack->workers, struct dff_name, i),
			.up = true,
			.capacity = rack->per_worker,
		};
		worker.capacity.slots -= dff_pool_dedicated_slots (pool, rack);
		g_hash_table_insert (cluster->index, dff_name_dup (&worker.name),
				     GINT_TO_POINTER (cluster->workers->len));
		g_array_append_val (cluster->workers, worker);
		g_array_append_val (cluster->available, worker.capacity);
	}
}

void
dff_cluster_init (struct dff_cluster *cluster, const struct dff_pool *pool)
{
	cluster->workers = g_array_new (FALSE, FALSE, sizeof (struct dff_cluster_worker));
	cluster->racks = g_array_new (FALSE, FALSE, sizeof (struct dff_cluster_rack));
	cluster->available = g_array_new (FALSE, FALSE, sizeof (struct dff_resources));
	cluster->index = g_hash_table_new_full (dff_name_hash, dff_name_equal_func, g_free, NULL);
	/* By region, so that neighbouring racks have consecutive indices. */
	for (int32_t region = 0; region < (int32_t)pool->racks->len; region++) {
		for (guint i = 0; i < pool->racks->len; i++) {
			const struct dff_rack *rack =
				&g_array_index (pool->racks, struct dff_rack, i);
			if (region_rank (pool, &rack->region) == region)
				add_rack (cluster, pool, rack, region);
		}
	}
}

void
dff_cluster_clear (struct dff_cluster *cluster)
{
	g_array_unref (cluster->workers);
	g_array_unref (cluster->racks);
	g_array_unref (cluster->available);
	g_hash_table_unref (cluster->index);
}

int32_t
dff_cluster_find (const struct dff_cluster *cluster, const struct dff_name *name)
{
	gpointer index = NULL;
	if (!g_hash_table_lookup_extended (cluster->index, name, NULL, &index))
		return -1;
	return GPOINTER_TO_INT (index);
}

static int32_t
fits_in (const struct dff_resources *available, const struct dff_resources *need, int32_t most)
{
	int32_t fits = most;
	if (need->slots > 0)
		fits = MIN (fits, available->slots / need->slots);
	if (need->cores > 0)
		fits = MIN (fits, available->cores / need->cores);
	if (need->memory_gb > 0)
		fits = MIN (fits, available->memory_gb / need->memory_gb);
	if (need->accelerators > 0)
		fits = MIN (fits, available->accelerators / need->accelerators);
	return MAX (fits, 0);
}

static int32_t
worker_fits (const struct dff_cluster *cluster,
	     const struct dff_cluster_view *view,
	     const struct dff_job_spec *spec,
	     int32_t worker)
{
	if (!view->ignore_state && !worker_at (cluster, worker)->up)
		return 0;
	int32_t fits =
		fits_in (available_at (view->available, worker), &spec->per_task, spec->gang);
	if (view->limit != NULL)
		fits = fits_in (available_at (view->limit, worker), &spec->per_task, fits);
	return fits;
}

static bool
rack_allowed (const struct dff_cluster_rack *rack, const struct dff_job_spec *spec)
{
	return dff_name_is_empty (&spec->region) ||
	       dff_name_equal (&rack->region_name, &spec->region);
}

/* Places tasks on racks @first to @last, in order. Returns: number of tasks placed. */
static int32_t
fill_racks (const struct dff_cluster *cluster,
	    const struct dff_cluster_view *view,
	    const struct dff_job_spec *spec,
	    guint first,
	    guint last,
	    int32_t *workers)
{
	int32_t placed = 0;
	for (guint i = first; i <= last; i++) {
		const struct dff_cluster_rack *rack = rack_at (cluster, i);
		for (int32_t w = rack->first; w < rack->first + rack->count; w++) {
			int32_t fits = worker_fits (cluster, view, spec, w);
			for (int32_t j = 0; j < fits && placed < spec->gang; j++)
				workers[placed++] = w;
			if (placed == spec->gang)
				return placed;
		}
	}
	return placed;
}

static bool
place_in_rack (const struct dff_cluster *cluster,
	       const struct dff_cluster_view *view,
	       const struct dff_job_spec *spec,
	       int32_t *workers)
{
	for (guint i = 0; i < cluster->racks->len; i++) {
		if (rack_allowed (rack_at (cluster, i), spec) &&
		    fill_racks (cluster, view, spec, i, i, workers) == spec->gang)
			return true;
	}
	return false;
}

static int32_t
rack_fits (const struct dff_cluster *cluster,
	   const struct dff_cluster_view *view,
	   const struct dff_job_spec *spec,
	   const struct dff_cluster_rack *rack)
{
	int32_t fits = 0;
	for (int32_t w = rack->first; w < rack->first + rack->count && fits < spec->gang; w++)
		fits += worker_fits (cluster, view, spec, w);
	return fits;
}

static bool
place_in_neighbours (const struct dff_cluster *cluster,
		     const struct dff_cluster_view *view,
		     const struct dff_job_spec *spec,
		     int32_t *workers)
{
	g_autoptr (GArray) table = g_array_new (FALSE, TRUE, sizeof (int32_t));
	int32_t *fits = (int32_t *)g_array_set_size (table, cluster->racks->len)->data;
	guint best_first = 0, best_count = 0, first = 0;
	int64_t sum = 0;
	for (guint last = 0; last < cluster->racks->len; last++) {
		const struct dff_cluster_rack *rack = rack_at (cluster, last);
		if (rack->region != rack_at (cluster, first)->region) {
			first = last;
			sum = 0;
		}
		if (rack_allowed (rack, spec))
			fits[last] = rack_fits (cluster, view, spec, rack);
		sum += fits[last];
		while (first < last && sum - fits[first] >= spec->gang)
			sum -= fits[first++];
		if (sum < spec->gang || (best_count > 0 && last - first + 1 >= best_count))
			continue;
		best_first = first;
		best_count = last - first + 1;
	}
	if (best_count == 0)
		return false;
	return fill_racks (cluster, view, spec, best_first, best_first + best_count - 1, workers) ==
	       spec->gang;
}

static bool
place_in_region (const struct dff_cluster *cluster,
		 const struct dff_cluster_view *view,
		 const struct dff_job_spec *spec,
		 int32_t *workers)
{
	guint first = 0;
	for (guint last = 0; last < cluster->racks->len; last++) {
		int32_t region = rack_at (cluster, last)->region;
		if (last + 1 < cluster->racks->len && rack_at (cluster, last + 1)->region == region)
			continue;
		if (rack_allowed (rack_at (cluster, last), spec) &&
		    fill_racks (cluster, view, spec, first, last, workers) == spec->gang)
			return true;
		first = last + 1;
	}
	return false;
}

static GArray *
capacities (const struct dff_cluster *cluster)
{
	GArray *available = g_array_new (FALSE, FALSE, sizeof (struct dff_resources));
	for (guint i = 0; i < cluster->workers->len; i++)
		g_array_append_val (available, worker_at (cluster, (int32_t)i)->capacity);
	return available;
}

static bool
fits_an_empty_rack (const struct dff_cluster *cluster, const struct dff_job_spec *spec)
{
	g_autoptr (GArray) available = capacities (cluster);
	struct dff_cluster_view view = {.available = available, .ignore_state = true};
	int32_t workers[DFF_JOB_GANG_MAX];
	return place_in_rack (cluster, &view, spec, workers);
}

bool
dff_cluster_place (const struct dff_cluster *cluster,
		   const struct dff_cluster_view *view,
		   const struct dff_job_spec *spec,
		   int32_t *workers)
{
	if (spec->adjacency == DFF_ADJACENCY_NONE)
		return place_in_region (cluster, view, spec, workers);
	if (place_in_rack (cluster, view, spec, workers))
		return true;
	if (spec->adjacency == DFF_ADJACENCY_RACK || spec->gang == 1)
		return false;
	if (fits_an_empty_rack (cluster, spec))
		return false;
	return place_in_neighbours (cluster, view, spec, workers);
}

bool
dff_cluster_place_ever (const struct dff_cluster *cluster, const struct dff_job_spec *spec)
{
	if (spec->gang > DFF_JOB_GANG_MAX)
		return false;
	g_autoptr (GArray) available = capacities (cluster);
	struct dff_cluster_view view = {.available = available, .ignore_state = true};
	int32_t workers[DFF_JOB_GANG_MAX];
	return dff_cluster_place (cluster, &view, spec, workers);
}

void
dff_capacity_add (GArray *available,
		  int32_t worker,
		  const struct dff_resources *amount,
		  int32_t times)
{
	struct dff_resources *entry = &g_array_index (available, struct dff_resources, worker);
	entry->slots += times * amount->slots;
	entry->cores += times * amount->cores;
	entry->memory_gb += times * amount->memory_gb;
	entry->accelerators += times * amount->accelerators;
}

uint64_t
dff_cluster_lease (struct dff_cluster *cluster, int32_t worker, const struct dff_resources *amount)
{
	struct dff_cluster_worker *entry = worker_at (cluster, worker);
	dff_capacity_add (cluster->available, worker, amount, -1);
	uint64_t picked = 0;
	int32_t missing = amount->accelerators;
	for (int32_t bit = 0; bit < entry->capacity.accelerators && missing > 0; bit++) {
		uint64_t mask = UINT64_C (1) << bit;
		if ((entry->leased & mask) != 0)
			continue;
		picked |= mask;
		missing--;
	}
	g_assert (missing == 0);
	entry->leased |= picked;
	return picked;
}

void
dff_cluster_release (struct dff_cluster *cluster,
		     int32_t worker,
		     const struct dff_resources *amount,
		     uint64_t accelerators)
{
	dff_capacity_add (cluster->available, worker, amount, 1);
	worker_at (cluster, worker)->leased &= ~accelerators;
}
