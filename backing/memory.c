#include "backing/memory.h"

#include "backing/memory_call.h"
#include "backing/memory_instances.h"
#include "backing/memory_store.h"
#include "backing/table_txn.h"

enum event_phase {
	DFF_EVENT_EFFECT,
	DFF_EVENT_ANSWER,
};

struct event {
	int64_t due_ms;
	/** Order among events with the same due time. */
	uint64_t sequence;
	enum event_phase phase;
	struct dff_memory_call *call;
};

struct dff_memory {
	const struct dff_clock *clock;
	GRand *rand;
	struct dff_memory_store store;
	struct dff_memory_instances instances;
	/** struct event, by due time, then sequence. */
	GSequence *events;
	uint64_t next_sequence;
	GPtrArray *handles;
	struct dff_memory_counts counts;
};

static void
event_free (struct event *event)
{
	struct dff_memory_call *call = event->call;
	g_free (event);
	call->events_left--;
	if (call->events_left == 0)
		dff_memory_call_free (call);
}

static gint
event_compare (gconstpointer a, gconstpointer b, gpointer data)
{
	(void)data;
	const struct event *left = a;
	const struct event *right = b;
	if (left->due_ms != right->due_ms)
		return left->due_ms < right->due_ms ? -1 : 1;
	return left->sequence < right->sequence ? -1 : 1;
}

static int64_t
now_ms (const struct dff_memory *memory)
{
	return dff_clock_now_ms (memory->clock);
}

static bool
is_silent (const struct dff_memory_handle *handle)
{
	return handle != NULL && now_ms (handle->memory) < handle->faults.silent_until_ms;
}

static void
take_effect (struct dff_memory *memory, struct dff_memory_call *call)
{
	int64_t before = memory->store.revision;
	dff_memory_call_take_effect (call, &memory->store, &memory->instances, now_ms (memory));
	if (call->kind != DFF_CALL_COMMIT)
		return;
	if (memory->store.revision > before)
		memory->counts.rows_written += (int64_t)call->txn->n_writes;
	if (call->outcome == DFF_TABLE_CONFLICT)
		memory->counts.conflicts++;
}

/* Frees @event, or keeps it in the handle's held queue during a silence. */
static void
run_event (struct dff_memory *memory, struct event *event)
{
	struct dff_memory_call *call = event->call;
	if (is_silent (call->handle)) {
		g_queue_push_tail (&call->handle->held, event);
		return;
	}
	if (event->phase == DFF_EVENT_EFFECT)
		take_effect (memory, call);
	else
		dff_memory_call_answer (call);
	event_free (event);
}

static void
schedule (struct dff_memory *memory,
	  struct dff_memory_call *call,
	  enum event_phase phase,
	  int64_t due_ms)
{
	struct event *event = g_new (struct event, 1);
	event->due_ms = due_ms;
	event->sequence = memory->next_sequence++;
	event->phase = phase;
	event->call = call;
	call->events_left++;
	g_sequence_insert_sorted (memory->events, event, event_compare, NULL);
}

static bool
draw_permille (struct dff_memory *memory, int32_t permille)
{
	return permille > 0 && g_rand_int_range (memory->rand, 0, 1000) < permille;
}

/* Returns: whether the fault applies to this call: @count calls left are affected, then each with a
 * chance of @permille. */
static bool
fault_applies (struct dff_memory *memory, int32_t *count, int32_t permille)
{
	if (*count > 0) {
		(*count)--;
		return true;
	}
	return draw_permille (memory, permille);
}

static void
count_call (struct dff_memory_counts *counts, enum dff_memory_call_kind kind)
{
	int64_t *const counters[] = {
		[DFF_CALL_GET] = &counts->gets,       [DFF_CALL_SCAN] = &counts->scans,
		[DFF_CALL_COMMIT] = &counts->commits, [DFF_CALL_LOOKUP] = &counts->lookups,
		[DFF_CALL_PUT] = &counts->puts,       [DFF_CALL_OBJECT_GET] = &counts->object_gets,
		[DFF_CALL_LIST] = &counts->lists,
	};
	(*counters[kind])++;
}

/* Answers @call as unavailable; the call has no effect and is not counted. */
static void
refuse (struct dff_memory_call *call)
{
	call->available = false;
	dff_memory_call_answer (call);
	dff_memory_call_free (call);
}

/* Returns: time at which a commit takes effect, ms; -1: never. Sets call->answer_lost. */
static int64_t
commit_effect_ms (struct dff_memory *memory,
		  struct dff_memory_call *call,
		  int64_t usual_ms,
		  int64_t answer_ms)
{
	struct dff_memory_faults *faults = &call->handle->faults;
	if (fault_applies (memory, &faults->lost_writes, faults->lost_permille)) {
		call->answer_lost = true;
		return -1;
	}
	if (fault_applies (memory, &faults->late_writes, faults->late_permille)) {
		call->answer_lost = true;
		return answer_ms + faults->late_ms;
	}
	call->answer_lost = fault_applies (memory, &faults->lose_answers, faults->lose_permille);
	return usual_ms;
}

static int64_t
draw_delay_ms (struct dff_memory *memory, const struct dff_memory_faults *faults)
{
	if (faults->delay_max_ms <= faults->delay_min_ms)
		return faults->delay_min_ms;
	return g_rand_int_range (memory->rand, faults->delay_min_ms, faults->delay_max_ms + 1);
}

/* Runs the due events of @call, so that without a delay it is answered before it returns. */
static void
run_due_events_of (struct dff_memory *memory, const struct dff_memory_call *call)
{
	GSequenceIter *iter = g_sequence_get_begin_iter (memory->events);
	int left = call->events_left;
	while (left > 0 && !g_sequence_iter_is_end (iter)) {
		struct event *event = g_sequence_get (iter);
		if (event->due_ms > now_ms (memory))
			return;
		GSequenceIter *next = g_sequence_iter_next (iter);
		if (event->call == call) {
			left--;
			g_sequence_remove (iter);
			run_event (memory, event);
			/* The callback may have made calls, which change the sequence: restart. */
			next = g_sequence_get_begin_iter (memory->events);
		}
		iter = next;
	}
}

static void
begin (struct dff_memory_call *call)
{
	struct dff_memory_handle *handle = call->handle;
	struct dff_memory *memory = handle->memory;
	int64_t now = now_ms (memory);
	if (now < handle->faults.outage_until_ms ||
	    draw_permille (memory, handle->faults.unavailable_permille)) {
		refuse (call);
		return;
	}
	count_call (&memory->counts, call->kind);
	call->available = true;
	int64_t delay_ms = draw_delay_ms (memory, &handle->faults);
	int64_t answer_ms = now + delay_ms;
	int64_t effect_ms = now + delay_ms / 2;
	if (call->kind == DFF_CALL_COMMIT)
		effect_ms = commit_effect_ms (memory, call, effect_ms, answer_ms);
	if (call->kind == DFF_CALL_LOOKUP)
		call->answer_lost = draw_permille (memory, handle->faults.lose_permille);
	if (effect_ms >= 0)
		schedule (memory, call, DFF_EVENT_EFFECT, effect_ms);
	schedule (memory, call, DFF_EVENT_ANSWER, answer_ms);
	run_due_events_of (memory, call);
}

static void
requeue_held (struct dff_memory *memory, struct dff_memory_handle *handle)
{
	if (is_silent (handle))
		return;
	/* Held events keep their due times: after events that fell due during the silence, an
	 * effect would run after the answer of its call. */
	struct event *event;
	while ((event = g_queue_pop_head (&handle->held)) != NULL) {
		g_sequence_insert_sorted (memory->events, event, event_compare, NULL);
	}
}

void
dff_memory_tick (struct dff_memory *memory)
{
	for (guint i = 0; i < memory->handles->len; i++)
		requeue_held (memory, memory->handles->pdata[i]);
	while (!g_sequence_is_empty (memory->events)) {
		GSequenceIter *first = g_sequence_get_begin_iter (memory->events);
		struct event *event = g_sequence_get (first);
		if (event->due_ms > now_ms (memory))
			return;
		g_sequence_remove (first);
		run_event (memory, event);
	}
}

int64_t
dff_memory_next_due_ms (const struct dff_memory *memory)
{
	int64_t due_ms = INT64_MAX;
	if (!g_sequence_is_empty (memory->events)) {
		const struct event *event =
			g_sequence_get (g_sequence_get_begin_iter (memory->events));
		due_ms = event->due_ms;
	}
	for (guint i = 0; i < memory->handles->len; i++) {
		const struct dff_memory_handle *handle = memory->handles->pdata[i];
		if (!g_queue_is_empty ((GQueue *)&handle->held))
			due_ms = MIN (due_ms, handle->faults.silent_until_ms);
	}
	return due_ms;
}

static void
table_get (void *ctx, const struct dff_str *keys, size_t n_keys, dff_table_func done, void *user)
{
	struct dff_memory_call *call = dff_memory_call_new (ctx, DFF_CALL_GET, user);
	call->table_done = done;
	call->keys = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
	for (size_t i = 0; i < n_keys; i++)
		g_ptr_array_add (call->keys, g_bytes_new (keys[i].data, keys[i].len));
	begin (call);
}

static void
table_scan (void *ctx,
	    struct dff_str prefix,
	    int64_t after,
	    size_t limit,
	    dff_table_func done,
	    void *user)
{
	struct dff_memory_call *call = dff_memory_call_new (ctx, DFF_CALL_SCAN, user);
	call->table_done = done;
	call->key = g_bytes_new (prefix.data, prefix.len);
	call->after = after;
	call->limit = limit;
	begin (call);
}

static void
table_commit (void *ctx, const struct dff_table_txn *txn, dff_table_func done, void *user)
{
	struct dff_memory_call *call = dff_memory_call_new (ctx, DFF_CALL_COMMIT, user);
	call->table_done = done;
	call->txn = dff_table_txn_copy (txn);
	begin (call);
}

static void
table_lookup (void *ctx, const struct dff_name *write_id, dff_table_func done, void *user)
{
	struct dff_memory_call *call = dff_memory_call_new (ctx, DFF_CALL_LOOKUP, user);
	call->table_done = done;
	call->write_id = *write_id;
	begin (call);
}

static void
object_put (void *ctx, struct dff_str key, struct dff_str data, dff_object_func done, void *user)
{
	struct dff_memory_call *call = dff_memory_call_new (ctx, DFF_CALL_PUT, user);
	call->object_done = done;
	call->key = g_bytes_new (key.data, key.len);
	call->data = g_bytes_new (data.data, data.len);
	begin (call);
}

static void
object_get (void *ctx, struct dff_str key, dff_object_func done, void *user)
{
	struct dff_memory_call *call = dff_memory_call_new (ctx, DFF_CALL_OBJECT_GET, user);
	call->object_done = done;
	call->key = g_bytes_new (key.data, key.len);
	begin (call);
}

static void
instances_list (void *ctx, dff_instance_list_func done, void *user)
{
	struct dff_memory_call *call = dff_memory_call_new (ctx, DFF_CALL_LIST, user);
	call->list_done = done;
	begin (call);
}

static void
instances_announce (void *ctx, const struct dff_instance *instance, int32_t ttl_ms)
{
	struct dff_memory_handle *handle = ctx;
	int64_t now = now_ms (handle->memory);
	if (now < handle->faults.outage_until_ms || is_silent (handle))
		return;
	dff_memory_announce (handle->memory, instance, ttl_ms);
}

struct dff_memory *
dff_memory_new (const struct dff_memory_options *options)
{
	struct dff_memory *memory = g_new0 (struct dff_memory, 1);
	memory->clock = options->clock;
	const guint32 seed[] = {(guint32)options->seed, (guint32)(options->seed >> 32)};
	memory->rand = g_rand_new_with_seed_array (seed, G_N_ELEMENTS (seed));
	dff_memory_store_init (&memory->store, &options->limits);
	dff_memory_instances_init (&memory->instances, options->instance_lag_ms);
	memory->events = g_sequence_new (NULL);
	memory->handles = g_ptr_array_new ();
	return memory;
}

void
dff_memory_free (struct dff_memory *memory)
{
	g_assert (memory->handles->len == 0);
	while (!g_sequence_is_empty (memory->events)) {
		GSequenceIter *first = g_sequence_get_begin_iter (memory->events);
		event_free (g_sequence_get (first));
		g_sequence_remove (first);
	}
	g_sequence_free (memory->events);
	g_ptr_array_unref (memory->handles);
	dff_memory_store_clear (&memory->store);
	dff_memory_instances_clear (&memory->instances);
	g_rand_free (memory->rand);
	g_free (memory);
}

struct dff_memory_handle *
dff_memory_open (struct dff_memory *memory)
{
	struct dff_memory_handle *handle = g_new0 (struct dff_memory_handle, 1);
	handle->memory = memory;
	handle->table.get = table_get;
	handle->table.scan = table_scan;
	handle->table.commit = table_commit;
	handle->table.lookup = table_lookup;
	handle->table.ctx = handle;
	handle->objects.put = object_put;
	handle->objects.get = object_get;
	handle->objects.ctx = handle;
	handle->instances.list = instances_list;
	handle->instances.announce = instances_announce;
	handle->instances.ctx = handle;
	g_queue_init (&handle->held);
	g_ptr_array_add (memory->handles, handle);
	return handle;
}

static void
detach_handle (gpointer data, gpointer handle)
{
	struct event *event = data;
	if (event->call->handle == handle)
		event->call->handle = NULL;
}

void
dff_memory_close (struct dff_memory_handle *handle)
{
	struct dff_memory *memory = handle->memory;
	struct event *event;
	while ((event = g_queue_pop_head (&handle->held)) != NULL) {
		event->due_ms = MAX (event->due_ms, handle->faults.silent_until_ms);
		event->sequence = memory->next_sequence++;
		g_sequence_insert_sorted (memory->events, event, event_compare, NULL);
	}
	g_sequence_foreach (memory->events, detach_handle, handle);
	g_ptr_array_remove (memory->handles, handle);
	g_free (handle);
}

void
dff_memory_announce (struct dff_memory *memory, const struct dff_instance *instance, int32_t ttl_ms)
{
	dff_memory_instances_announce (&memory->instances, instance, ttl_ms, now_ms (memory));
}

void
dff_memory_remove_instance (struct dff_memory *memory, const struct dff_name *id)
{
	dff_memory_instances_remove (&memory->instances, id, now_ms (memory));
}

struct dff_memory_counts
dff_memory_counts (const struct dff_memory *memory)
{
	return memory->counts;
}

bool
dff_memory_peek (const struct dff_memory *memory, struct dff_str key, struct dff_table_row *row)
{
	g_autoptr (GBytes) bytes = g_bytes_new_static (key.data, key.len);
	const struct dff_memory_row *found = g_hash_table_lookup (memory->store.rows, bytes);
	if (found == NULL)
		return false;
	row->key = dff_memory_str (found->key);
	row->value = dff_memory_str (found->value);
	row->revision = found->revision;
	return true;
}

int64_t
dff_memory_revision (const struct dff_memory *memory)
{
	return memory->store.revision;
}
