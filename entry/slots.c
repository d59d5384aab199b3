#include "entry/slots.h"

#include <string.h>

struct slot_worker {
	struct dff_name id;
	struct dff_name address; /**< Empty: not in the instance list. */
	bool same_data_centre;
	bool listed_leaving;
	/** The worker itself reported that it is leaving. Reset when the instance list no longer
	 * has the worker, or when a grant arrives after the holddown. */
	bool reported_leaving;
	/** Time of the last such report, ms. */
	int64_t reported_leaving_ms;
	int32_t granted;
	int32_t in_use;
	int64_t avoid_until_ms;
};

struct dff_slots {
	struct dff_name data_centre;
	GRand *rng;
	/** Elements: struct slot_worker *, owned. */
	GPtrArray *workers;
	/** struct dff_name * (the worker's id member) -> struct slot_worker *. */
	GHashTable *by_id;
	/** Elements: struct slot_worker *: the usable workers in the same data centre. Out of date
	 * while @changed is set. */
	GPtrArray *local;
	bool changed;
	/** Scratch space of dff_slots_acquire(). Elements: struct slot_worker *. */
	GPtrArray *candidates;
	int64_t epoch;
	int64_t expires_ms;
};

struct dff_slots *
dff_slots_new (const struct dff_name *data_centre, uint64_t seed)
{
	struct dff_slots *slots = g_new0 (struct dff_slots, 1);
	slots->data_centre = *data_centre;
	slots->rng = g_rand_new_with_seed ((guint32)(seed ^ (seed >> 32)));
	slots->workers = g_ptr_array_new_with_free_func (g_free);
	slots->by_id = g_hash_table_new (dff_name_hash, dff_name_equal_func);
	slots->local = g_ptr_array_new ();
	slots->candidates = g_ptr_array_new ();
	return slots;
}

void
dff_slots_free (struct dff_slots *slots)
{
	g_rand_free (slots->rng);
	g_hash_table_destroy (slots->by_id);
	g_ptr_array_unref (slots->workers);
	g_ptr_array_unref (slots->local);
	g_ptr_array_unref (slots->candidates);
	g_free (slots);
}

static struct slot_worker *
find_worker (const struct dff_slots *slots, const struct dff_name *id)
{
	return g_hash_table_lookup (slots->by_id, id);
}

static struct slot_worker *
ensure_worker (struct dff_slots *slots, const struct dff_name *id)
{
	struct slot_worker *worker = find_worker (slots, id);
	if (worker != NULL)
		return worker;
	worker = g_new0 (struct slot_worker, 1);
	worker->id = *id;
	g_ptr_array_add (slots->workers, worker);
	g_hash_table_insert (slots->by_id, &worker->id, worker);
	return worker;
}

static void
remove_unlisted (struct dff_slots *slots)
{
	for (guint i = slots->workers->len; i > 0; i--) {
		struct slot_worker *worker = slots->workers->pdata[i - 1];
		if (!dff_name_is_empty (&worker->address))
			continue;
		worker->reported_leaving = false;
		if (worker->in_use > 0 || worker->granted > 0)
			continue;
		g_hash_table_remove (slots->by_id, &worker->id);
		g_ptr_array_remove_index_fast (slots->workers, i - 1);
	}
}

void
dff_slots_set_instances (struct dff_slots *slots,
			 const struct dff_instance *instances,
			 size_t n_instances)
{
	for (guint i = 0; i < slots->workers->len; i++) {
		struct slot_worker *worker = slots->workers->pdata[i];
		memset (&worker->address, 0, sizeof (worker->address));
	}
	for (size_t i = 0; i < n_instances; i++) {
		const struct dff_instance *instance = &instances[i];
		if (instance->role != DFF_INSTANCE_WORKER)
			continue;
		struct slot_worker *worker = ensure_worker (slots, &instance->id);
		worker->address = instance->address;
		worker->listed_leaving = instance->leaving;
		worker->same_data_centre =
			dff_name_equal (&instance->data_centre, &slots->data_centre);
	}
	remove_unlisted (slots);
	slots->changed = true;
}

/* A grant also means that a worker is back after a restart under the same id. Entries get no other
 * signal: only the holder is notified, and the instance list, which lags, may never have dropped
 * the worker. The holder grants no slots of a worker that has reported to it that it is leaving. */
static void
apply_grant (struct dff_slots *slots, const struct dff_grant *grant, int64_t now_ms)
{
	struct slot_worker *worker = ensure_worker (slots, &grant->worker);
	worker->granted = MAX (0, grant->slots);
	if (now_ms >= worker->reported_leaving_ms + DFF_SLOTS_LEAVING_HOLDDOWN_MS)
		worker->reported_leaving = false;
}

void
dff_slots_set_grants (struct dff_slots *slots,
		      int64_t epoch,
		      const struct dff_grant *grants,
		      size_t n_grants,
		      int64_t now_ms,
		      int64_t expires_ms)
{
	/* A holder that was paused past the end of its lease may still send grants when it resumes.
	 * Applying them would give a worker more requests than it has slots, because two holders
	 * granted the same ones. */
	if (epoch < slots->epoch)
		return;
	slots->epoch = epoch;
	slots->expires_ms = expires_ms;
	slots->changed = true;
	for (guint i = 0; i < slots->workers->len; i++) {
		struct slot_worker *worker = slots->workers->pdata[i];
		worker->granted = 0;
	}
	for (size_t i = 0; i < n_grants; i++)
		apply_grant (slots, &grants[i], now_ms);
}

void
dff_slots_handle_worker_leaving (struct dff_slots *slots,
				 const struct dff_name *name,
				 int64_t now_ms)
{
	struct slot_worker *worker = ensure_worker (slots, name);
	worker->reported_leaving = true;
	worker->reported_leaving_ms = now_ms;
	slots->changed = true;
}

void
dff_slots_avoid (struct dff_slots *slots, const struct dff_name *worker, int64_t until_ms)
{
	ensure_worker (slots, worker)->avoid_until_ms = until_ms;
}

static bool
is_usable (const struct slot_worker *worker)
{
	return worker->granted > 0 && !worker->listed_leaving && !worker->reported_leaving &&
	       !dff_name_is_empty (&worker->address);
}

/* Returns the preference class of a worker; lower is preferred. Load only decides within a
 * class. */
static int
candidate_class (const struct slot_worker *worker, int64_t now_ms)
{
	int avoided = worker->avoid_until_ms > now_ms ? 2 : 0;
	return avoided + (worker->same_data_centre ? 0 : 1);
}

/* Collects the workers of the best class that have a free slot. Returns whether any worker is
 * usable at all. */
static bool
collect_candidates (struct dff_slots *slots, int64_t now_ms)
{
	int best = INT32_MAX;
	bool any = false;
	g_ptr_array_set_size (slots->candidates, 0);
	for (guint i = 0; i < slots->workers->len; i++) {
		struct slot_worker *worker = slots->workers->pdata[i];
		if (!is_usable (worker))
			continue;
		any = true;
		int class = candidate_class (worker, now_ms);
		if (worker->in_use >= worker->granted || class > best)
			continue;
		if (class < best)
			g_ptr_array_set_size (slots->candidates, 0);
		best = class;
		g_ptr_array_add (slots->candidates, worker);
	}
	return any;
}

static bool
is_less_loaded (const struct slot_worker *a, const struct slot_worker *b)
{
	return (int64_t)a->in_use * b->granted < (int64_t)b->in_use * a->granted;
}

static struct slot_worker *
less_loaded_of_two (struct dff_slots *slots, const GPtrArray *workers)
{
	gint32 n = (gint32)workers->len;
	if (n == 1)
		return workers->pdata[0];
	gint32 one = g_rand_int_range (slots->rng, 0, n);
	gint32 other = g_rand_int_range (slots->rng, 0, n - 1);
	if (other >= one)
		other++;
	struct slot_worker *a = workers->pdata[one];
	struct slot_worker *b = workers->pdata[other];
	return is_less_loaded (b, a) ? b : a;
}

static void
collect_local (struct dff_slots *slots)
{
	slots->changed = false;
	g_ptr_array_set_size (slots->local, 0);
	for (guint i = 0; i < slots->workers->len; i++) {
		struct slot_worker *worker = slots->workers->pdata[i];
		if (is_usable (worker) && worker->same_data_centre)
			g_ptr_array_add (slots->local, worker);
	}
}

/* Fast path for the usual case, without a scan of all workers. Returns NULL when the full scan is
 * needed. */
static struct slot_worker *
choose_local (struct dff_slots *slots, int64_t now_ms)
{
	if (slots->changed)
		collect_local (slots);
	if (slots->local->len == 0)
		return NULL;
	struct slot_worker *worker = less_loaded_of_two (slots, slots->local);
	bool free = worker->in_use < worker->granted;
	return free && worker->avoid_until_ms <= now_ms ? worker : NULL;
}

enum dff_slot_outcome
dff_slots_acquire (struct dff_slots *slots, int64_t now_ms, struct dff_slot *slot)
{
	if (now_ms >= slots->expires_ms)
		return DFF_SLOT_NO_GRANT;
	struct slot_worker *worker = choose_local (slots, now_ms);
	if (worker == NULL && !collect_candidates (slots, now_ms))
		return DFF_SLOT_NO_GRANT;
	if (worker == NULL && slots->candidates->len == 0)
		return DFF_SLOT_BUSY;
	if (worker == NULL)
		worker = less_loaded_of_two (slots, slots->candidates);
	worker->in_use++;
	slot->worker = worker->id;
	slot->address = worker->address;
	return DFF_SLOT_ACQUIRED;
}

void
dff_slots_release (struct dff_slots *slots, const struct dff_name *worker)
{
	struct slot_worker *found = find_worker (slots, worker);
	g_assert (found != NULL && found->in_use > 0);
	found->in_use--;
}

int32_t
dff_slots_granted (const struct dff_slots *slots, int64_t now_ms)
{
	int32_t granted = 0;
	if (now_ms >= slots->expires_ms)
		return 0;
	for (guint i = 0; i < slots->workers->len; i++) {
		const struct slot_worker *worker = slots->workers->pdata[i];
		granted += worker->granted;
	}
	return granted;
}

int32_t
dff_slots_in_use (const struct dff_slots *slots)
{
	int32_t in_use = 0;
	for (guint i = 0; i < slots->workers->len; i++) {
		const struct slot_worker *worker = slots->workers->pdata[i];
		in_use += worker->in_use;
	}
	return in_use;
}
