#include "holder/holder_private.h"

#include "common/log.h"

/* The set of workers. The worker list is late, so it only determines which workers may be called
 * and which are leaving; a worker's own answers show whether it is there. */

/** Time that a worker may be missing from the list before it counts as gone, ms: entries that
 * lapsed during a store outage are back within two seconds. */
#define MISSING_MS 2500
/** Consecutive calls without an answer after which a worker gets no new tasks. A single one may be
 * an order that the worker carries out late. */
#define UNANSWERED_MAX 2
/** Weights of the pool: tasks are never moved to free capacity, because stopping them costs more
 * here. */
#define WEIGHT_COMPLETION 1.0
#define WEIGHT_FRAGMENTATION 0.0

static void
free_worker (gpointer data)
{
	struct holder_worker *worker = data;
	g_hash_table_unref (worker->runs);
	g_clear_pointer (&worker->blamed, g_array_unref);
	g_clear_pointer (&worker->unanswered, g_array_unref);
	g_free (worker->next_entry);
	g_free (worker);
}

struct holder_worker *
workers_find (struct dff_holder *holder, const struct dff_name *id)
{
	return g_hash_table_lookup (holder->workers, id);
}

struct holder_worker *
workers_intern (struct dff_holder *holder, const struct dff_name *id)
{
	struct holder_worker *worker = workers_find (holder, id);
	if (worker != NULL)
		return worker;
	worker = g_new0 (struct holder_worker, 1);
	worker->upstream.incarnation.id = *id;
	worker->state = DFF_WORKER_DOWN;
	worker->missing_since_ms = holder_now_ms (holder);
	worker->runs = g_hash_table_new_full (dff_name_hash, dff_name_equal_func, NULL, run_free);
	g_hash_table_insert (holder->workers, &worker->upstream.incarnation.id, worker);
	return worker;
}

struct dff_name
workers_rack_name (const struct dff_name *service, const struct dff_name *rack)
{
	return dff_name_printf ("%.31s:%.31s", service->data, rack->data);
}

static enum dff_worker_state
evaluate_state (const struct dff_holder *holder, const struct holder_worker *worker)
{
	if (worker->lost || worker->n_unanswered >= UNANSWERED_MAX || worker->answered_ms == 0)
		return DFF_WORKER_DOWN;
	if (!worker->listed && holder_now_ms (holder) - worker->missing_since_ms >= MISSING_MS)
		return DFF_WORKER_DOWN;
	if (worker->upstream.leaving)
		return DFF_WORKER_LEAVING;
	if (!capacity_is_known (holder, worker) || !incarnation_is_confirmed (worker))
		return DFF_WORKER_CAPACITY_UNKNOWN;
	return evacuation_covers (holder, worker) ? DFF_WORKER_EVACUATED : DFF_WORKER_UP;
}

static void
report_state (struct dff_holder *holder, const struct holder_worker *worker)
{
	int64_t now_ms = holder_now_ms (holder);
	struct dff_event event = {.type = DFF_EVENT_WORKER_STATE,
				  .worker = worker->upstream.incarnation.id,
				  .worker_state = worker->state};
	if (worker->leaves_ms > 0)
		event.leaves_in_ms = MAX (worker->leaves_ms - now_ms, 1);
	dff_core_handle_event (holder->core, &event, now_ms);
}

void
worker_set_state (struct dff_holder *holder, struct holder_worker *worker)
{
	enum dff_worker_state state = evaluate_state (holder, worker);
	if (state == worker->state)
		return;
	static const char *const names[] = {
		[DFF_WORKER_DOWN] = "down",
		[DFF_WORKER_UP] = "up",
		[DFF_WORKER_LEAVING] = "leaving",
		[DFF_WORKER_EVACUATED] = "evacuated",
		[DFF_WORKER_CAPACITY_UNKNOWN] = "unsure",
	};
	dff_log (DFF_LOG_UPSTREAM, DFF_LOG_INFO,
		 "Worker %s. worker=%s data_centre=%s address=%s was=%s listed=%d silent_calls=%d "
		 "remaining_ms=%" PRId64 " heard_ms_ago=%" PRId64 " runs=%u",
		 names[state], worker->upstream.incarnation.id.data,
		 worker->upstream.data_centre.data, worker->upstream.address.data,
		 names[worker->state], worker->listed, worker->n_unanswered,
		 worker->upstream.remaining_ms,
		 worker->answered_ms > 0 ? holder_now_ms (holder) - worker->answered_ms : -1,
		 g_hash_table_size (worker->runs));
	worker->state = state;
	if (holder->phase != DFF_HOLDER_HOLDING)
		return;
	report_state (holder, worker);
	holder_wake (holder);
}

void
workers_evaluate (struct dff_holder *holder)
{
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, holder->workers);
	while (g_hash_table_iter_next (&iter, NULL, &value))
		worker_set_state (holder, value);
}

/* Whether a property of a worker that the core uses has changed. */
static bool
differs (const struct dff_upstream *one, const struct dff_upstream *other)
{
	if (!dff_name_equal (&one->rack, &other->rack) ||
	    !dff_name_equal (&one->service, &other->service) ||
	    one->capacity.accelerators != other->capacity.accelerators ||
	    one->capacity.cores != other->capacity.cores ||
	    one->capacity.memory_gb != other->capacity.memory_gb)
		return true;
	for (size_t i = 0; i < DFF_WORKER_LABELS_MAX; i++) {
		if (!dff_name_equal (&one->labels[i], &other->labels[i]))
			return true;
	}
	return false;
}

void
workers_note_listed (struct dff_holder *holder,
		     const struct dff_upstream *upstream,
		     int64_t revision,
		     int64_t begun_ms)
{
	struct holder_worker *worker = workers_intern (holder, &upstream->incarnation.id);
	worker->listed = true;
	if (!incarnation_accept_entry (holder, worker, upstream, revision, begun_ms))
		return;
	holder->pool_changed |= differs (&worker->upstream, upstream);
	struct dff_incarnation incarnation = worker->upstream.incarnation;
	bool leaving = worker->upstream.leaving || upstream->leaving;
	worker->upstream = *upstream;
	worker->upstream.incarnation = incarnation;
	worker->upstream.leaving = leaving;
	if (worker->leaves_ms == 0 && leaving && upstream->remaining_ms >= 0)
		worker->leaves_ms = MAX (begun_ms + upstream->remaining_ms, 1);
	if (revision != worker->entry_revision)
		worker->entry_changed_ms = begun_ms;
	worker->entry_revision = revision;
	worker_set_state (holder, worker);
}

void
workers_note_unlisted (struct dff_holder *holder, const struct dff_name *id)
{
	struct holder_worker *worker = workers_find (holder, id);
	if (worker == NULL || !worker->listed)
		return;
	worker->listed = false;
	worker->missing_since_ms = holder_now_ms (holder);
	dff_log (DFF_LOG_UPSTREAM, DFF_LOG_INFO,
		 "Worker's entry removed. worker=%s leaving=%d changed_ms_ago=%" PRId64
		 " silent_calls=%d runs=%u",
		 worker->upstream.incarnation.id.data, worker->upstream.leaving,
		 holder_now_ms (holder) - worker->entry_changed_ms, worker->n_unanswered,
		 g_hash_table_size (worker->runs));
}

void
workers_sweep (struct dff_holder *holder)
{
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, holder->workers);
	while (g_hash_table_iter_next (&iter, NULL, &value)) {
		struct holder_worker *worker = value;
		if (worker->listed)
			continue;
		worker_set_state (holder, worker);
		if (worker->state == DFF_WORKER_DOWN && g_hash_table_size (worker->runs) == 0 &&
		    !worker->watch_in_flight && !worker->query_in_flight) {
			holder->pool_changed = true;
			g_hash_table_iter_remove (&iter);
		}
	}
}

void
workers_begin (struct dff_holder *holder)
{
	holder->workers =
		g_hash_table_new_full (dff_name_hash, dff_name_equal_func, NULL, free_worker);
	holder->pool_changed = true;
	list_begin (holder);
}

void
workers_reset (struct dff_holder *holder)
{
	/* The runs are freed with their workers. */
	g_queue_init (&holder->pending_runs);
	g_clear_pointer (&holder->workers, g_hash_table_unref);
	list_reset (holder);
	*holder->metrics.open_runs = 0;
	*holder->metrics.evacuated_runs = 0;
	capacity_clear_metrics (holder);
}

void
workers_declare_team (struct dff_holder *holder, const struct dff_name *team)
{
	for (guint i = 0; i < holder->teams->len; i++) {
		if (dff_name_equal (&g_array_index (holder->teams, struct dff_holder_team, i).name,
				    team))
			return;
	}
	struct dff_holder_team added = {.name = *team};
	g_array_append_val (holder->teams, added);
	holder->pool_changed = true;
	if (holder->phase == DFF_HOLDER_HOLDING)
		workers_apply_pool (holder);
}

static int
compare_workers (gconstpointer a, gconstpointer b)
{
	const struct holder_worker *one = *(struct holder_worker *const *)a;
	const struct holder_worker *other = *(struct holder_worker *const *)b;
	int order = dff_name_compare (&one->upstream.service, &other->upstream.service);
	if (order == 0)
		order = dff_name_compare (&one->upstream.rack, &other->upstream.rack);
	if (order == 0)
		order = dff_name_compare (&one->upstream.incarnation.id,
					  &other->upstream.incarnation.id);
	return order;
}

static GPtrArray *
sorted_workers (struct dff_holder *holder)
{
	GPtrArray *sorted = g_ptr_array_new ();
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, holder->workers);
	while (g_hash_table_iter_next (&iter, NULL, &value)) {
		if (!dff_name_is_empty (&((struct holder_worker *)value)->upstream.address))
			g_ptr_array_add (sorted, value);
	}
	g_ptr_array_sort (sorted, compare_workers);
	return sorted;
}

static struct dff_rack *
rack_for (struct dff_pool *pool, const struct dff_upstream *upstream)
{
	struct dff_name name = workers_rack_name (&upstream->service, &upstream->rack);
	if (pool->racks->len > 0) {
		struct dff_rack *last =
			&g_array_index (pool->racks, struct dff_rack, pool->racks->len - 1);
		if (dff_name_equal (&last->name, &name))
			return last;
	}
	struct dff_rack rack = {
		.name = name,
		.region = upstream->service,
		.per_worker = upstream->capacity,
		.workers = g_array_new (FALSE, TRUE, sizeof (struct dff_name)),
		.traits = g_array_new (FALSE, TRUE, sizeof (struct dff_worker_traits)),
	};
	g_array_append_val (pool->racks, rack);
	return &g_array_index (pool->racks, struct dff_rack, pool->racks->len - 1);
}

static void
add_teams (const struct dff_holder *holder, struct dff_pool *pool)
{
	for (guint i = 0; i < holder->teams->len; i++) {
		const struct dff_holder_team *known =
			&g_array_index (holder->teams, struct dff_holder_team, i);
		struct dff_team team = {
			.name = known->name,
			.assured_accelerators = known->assured_accelerators,
			.token_digests = g_array_new (FALSE, TRUE, 1),
			.guarantees = g_array_new (FALSE, TRUE, sizeof (struct dff_guarantee)),
			.weight = 1,
		};
		g_array_append_val (pool->teams, team);
	}
}

void
workers_apply_pool (struct dff_holder *holder)
{
	DFF_AUTO (dff_pool) pool = dff_pool_new ();
	pool->weights = (struct dff_weights){.completion = WEIGHT_COMPLETION,
					     .fragmentation = WEIGHT_FRAGMENTATION};
	add_teams (holder, pool);
	g_autoptr (GPtrArray) sorted = sorted_workers (holder);
	for (guint i = 0; i < sorted->len; i++) {
		const struct holder_worker *worker = g_ptr_array_index (sorted, i);
		struct dff_rack *rack = rack_for (pool, &worker->upstream);
		struct dff_worker_traits traits = {.capacity = worker->upstream.capacity};
		for (size_t j = 0; j < DFF_WORKER_LABELS_MAX; j++)
			traits.labels[j] = worker->upstream.labels[j];
		g_array_append_val (rack->workers, worker->upstream.incarnation.id);
		g_array_append_val (rack->traits, traits);
	}
	holder->pool_changed = false;
	relays_count (holder);
	dff_core_set_pool (holder->core, pool, holder_now_ms (holder));
	for (guint i = 0; i < sorted->len; i++) {
		report_state (holder, g_ptr_array_index (sorted, i));
	}
}

void
workers_step (struct dff_holder *holder)
{
	list_step (holder);
	if (capacity_can_expire (holder))
		workers_evaluate (holder);
	if (holder->phase == DFF_HOLDER_HOLDING && holder->pool_changed)
		workers_apply_pool (holder);
}
