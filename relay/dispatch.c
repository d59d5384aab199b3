#include "relay/dispatch.h"

#include <inttypes.h>

#include "common/log.h"
#include "common/rendezvous.h"
#include "relay/message.h"

/* Without relays the holder has thousands of connections, and each lease renewal, order and
 * completion costs an HTTP call: the holder runs out of CPU time while more than a hundred other
 * processes are idle, and the orders to the members of a gang are sent seconds apart. With relays
 * it exchanges a few batches a second with each of some dozens of processes. */

/** Time for which lease renewals are collected into a batch before it is sent, ms: each message
 * costs the holder several system calls. An order is sent at once, together with the renewals that
 * are pending for the same relay. */
#define BATCH_DELAY_MS 10
/** Time without a message after which a relay is dropped, ms: three times the relay's longest
 * interval between two messages. The leases of its workers are then renewed through other relays
 * long before they expire. */
#define RELAY_TIMEOUT_MS 1000
/** Interval between two checks for silent relays, ms. */
#define CHECK_INTERVAL_MS 100
/** Number of unanswered calls to a worker, each through another relay, after which the next call
 * goes directly to the worker. */
#define RELAYED_ATTEMPTS_MAX 3
/** Maximum number of workers whose unanswered calls are counted; when it is reached, all counts are
 * reset. Worker ids are replaced for months, and the table would grow without limit. */
#define UNANSWERED_WORKERS_MAX 4096

struct call {
	dff_runner_func done;
	void *user;
	struct dff_name worker;
};

struct dff_dispatch_relay {
	struct dff_dispatch *dispatch;
	struct dff_relay_link link;
	/** Name of the relay; empty until its first message arrives. */
	struct dff_name name;
	/** Whether the relay is about to stop and gets no further calls. */
	bool leaving;
	/** Time of the last message, ms, moved forward by pauses of this process. */
	int64_t last_received_ms;
	struct relay_batch *batch;
	/** Calls in progress: uint64_t *, the id of a call, to struct call *. */
	GHashTable *calls;
	/** One reference until the relay is dropped, and one while a message from it is handled. */
	grefcount refs;
	bool dropped;
};

struct dff_dispatch {
	struct dff_runner interface;
	struct dff_dispatch_options options;
	/** Elements: struct dff_dispatch_relay *. */
	GPtrArray *relays;
	int32_t limit;
	uint64_t next_id;
	struct dff_timer *flush;
	/** Time at which the collected calls are due to be sent, ms; 0: there are none. */
	int64_t flush_ms;
	struct dff_timer *check;
	/** Time of the last check for silent relays, ms. */
	int64_t checked_ms;
	/** Number of unanswered calls of each worker: struct dff_name * to guint. */
	GHashTable *unanswered;
	int64_t *n_relays;
	int64_t *n_relayed;
	int64_t *n_direct;
	int64_t *n_lost;
};

static int64_t
now_ms (const struct dff_dispatch *dispatch)
{
	return dff_clock_now_ms (dispatch->options.timers->clock);
}

static void
relay_unref (struct dff_dispatch_relay *relay)
{
	if (!g_ref_count_dec (&relay->refs))
		return;
	relay_batch_free (relay->batch);
	g_hash_table_unref (relay->calls);
	g_free (relay);
}

/* Counts the unanswered calls of a worker. The relay may be unable to reach a worker that works, so
 * the next call has to take another path. */
static void
record_outcome (struct dff_dispatch *dispatch,
		const struct dff_name *worker,
		enum dff_runner_outcome outcome)
{
	if (outcome != DFF_RUNNER_UNKNOWN && outcome != DFF_RUNNER_UNSENT)
		return;
	guint unanswered = GPOINTER_TO_UINT (g_hash_table_lookup (dispatch->unanswered, worker));
	if (g_hash_table_size (dispatch->unanswered) >= UNANSWERED_WORKERS_MAX)
		g_hash_table_remove_all (dispatch->unanswered);
	g_hash_table_insert (dispatch->unanswered, dff_name_dup (worker),
			     GUINT_TO_POINTER (unanswered + 1));
}

/* Returns: (nullable): the relay for a worker's next call; NULL: the call goes directly to the
 * worker. */
static struct dff_dispatch_relay *
choose_relay (const struct dff_dispatch *dispatch, const struct dff_name *worker)
{
	guint unanswered = GPOINTER_TO_UINT (g_hash_table_lookup (dispatch->unanswered, worker));
	if (unanswered % (RELAYED_ATTEMPTS_MAX + 1) == RELAYED_ATTEMPTS_MAX)
		return NULL;
	struct dff_name key = *worker;
	if (unanswered > 0)
		key = dff_name_printf ("%.50s.%u", worker->data, unanswered);
	struct dff_dispatch_relay *best = NULL;
	uint64_t best_weight = 0;
	for (guint i = 0; i < dispatch->relays->len; i++) {
		struct dff_dispatch_relay *relay = g_ptr_array_index (dispatch->relays, i);
		if (relay->leaving || dff_name_is_empty (&relay->name))
			continue;
		uint64_t weight =
			dff_rendezvous_weight ((struct dff_str){key.data, key.len}, &relay->name);
		if (best == NULL || weight > best_weight) {
			best = relay;
			best_weight = weight;
		}
	}
	return best;
}

static uint64_t
add_call (struct dff_dispatch_relay *relay,
	  const struct dff_name *worker,
	  dff_runner_func done,
	  void *user)
{
	struct dff_dispatch *dispatch = relay->dispatch;
	struct call *call = g_new0 (struct call, 1);
	call->done = done;
	call->user = user;
	call->worker = *worker;
	uint64_t id = ++dispatch->next_id;
	g_hash_table_insert (relay->calls, g_memdup2 (&id, sizeof (id)), call);
	(*dispatch->n_relayed)++;
	return id;
}

/* Sends the collected calls after @delay_ms, or earlier if they are already due earlier. */
static void
flush_within (struct dff_dispatch *dispatch, int32_t delay_ms)
{
	int64_t due_ms = now_ms (dispatch) + delay_ms;
	if (dispatch->flush_ms > 0 && dispatch->flush_ms <= due_ms)
		return;
	dispatch->flush_ms = due_ms;
	dff_timer_start (dispatch->flush, delay_ms);
}

static void
send_order (struct dff_dispatch *dispatch,
	    Dff__Relay__Kind kind,
	    const struct dff_run_order *order,
	    dff_runner_func done,
	    void *user)
{
	const struct dff_runner *direct = dispatch->options.direct;
	struct dff_dispatch_relay *relay = choose_relay (dispatch, &order->worker);
	if (relay != NULL) {
		uint64_t id = add_call (relay, &order->worker, done, user);
		relay_batch_add_order (relay->batch, id, kind, order);
		flush_within (dispatch, 0);
		return;
	}
	(*dispatch->n_direct)++;
	if (kind == DFF__RELAY__KIND__START)
		direct->start (direct->ctx, order, done, user);
	else
		direct->stop (direct->ctx, order, done, user);
}

static void
dispatch_start (void *ctx, const struct dff_run_order *order, dff_runner_func done, void *user)
{
	send_order (ctx, DFF__RELAY__KIND__START, order, done, user);
}

static void
dispatch_stop (void *ctx, const struct dff_run_order *order, dff_runner_func done, void *user)
{
	send_order (ctx, DFF__RELAY__KIND__STOP, order, done, user);
}

static void
dispatch_watch (void *ctx, const struct dff_run_watch *watch, dff_runner_func done, void *user)
{
	struct dff_dispatch *dispatch = ctx;
	const struct dff_runner *direct = dispatch->options.direct;
	struct dff_dispatch_relay *relay = choose_relay (dispatch, &watch->worker);
	if (relay != NULL) {
		uint64_t id = add_call (relay, &watch->worker, done, user);
		relay_batch_add_watch (relay->batch, id, watch);
		flush_within (dispatch, BATCH_DELAY_MS);
		return;
	}
	(*dispatch->n_direct)++;
	direct->watch (direct->ctx, watch, done, user);
}

static void
handle_flush (void *ctx)
{
	struct dff_dispatch *dispatch = ctx;
	dispatch->flush_ms = 0;
	for (guint i = 0; i < dispatch->relays->len; i++) {
		struct dff_dispatch_relay *relay = g_ptr_array_index (dispatch->relays, i);
		if (relay_batch_is_empty (relay->batch))
			continue;
		g_autoptr (GByteArray) bytes = relay_batch_pack (relay->batch);
		relay->link.send (relay->link.ctx, bytes->data, bytes->len);
	}
}

/* Ends the calls in progress through a relay that has been removed from the list. */
static void
end_calls (struct dff_dispatch_relay *relay)
{
	struct dff_dispatch *dispatch = relay->dispatch;
	struct dff_runner_result result = {.outcome = DFF_RUNNER_UNKNOWN};
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, relay->calls);
	while (g_hash_table_iter_next (&iter, NULL, &value)) {
		struct call *call = value;
		(*dispatch->n_lost)++;
		call->done (call->user, &result);
	}
}

static void
drop_relay (struct dff_dispatch_relay *relay, const char *reason)
{
	struct dff_dispatch *dispatch = relay->dispatch;
	g_ptr_array_remove_fast (dispatch->relays, relay);
	*dispatch->n_relays = dispatch->relays->len;
	dff_log (DFF_LOG_UPSTREAM, DFF_LOG_INFO,
		 "Relay lost. relay=%s reason=%s calls=%u heard_ms_ago=%" PRId64 " relays=%u",
		 relay->name.data, reason, g_hash_table_size (relay->calls),
		 now_ms (dispatch) - relay->last_received_ms, dispatch->relays->len);
	relay->dropped = true;
	end_calls (relay);
	relay_unref (relay);
}

/* The time by which a check is late does not count as silence of the relays. Otherwise a pause of
 * this process of a second or more, during which messages wait to be read, would drop all relays at
 * once, and every worker would be called again. */
static void
handle_check (void *ctx)
{
	struct dff_dispatch *dispatch = ctx;
	int64_t now = now_ms (dispatch);
	int64_t late_ms = MAX (now - dispatch->checked_ms - CHECK_INTERVAL_MS, 0);
	dispatch->checked_ms = now;
	dff_timer_start (dispatch->check, CHECK_INTERVAL_MS);
	for (guint i = dispatch->relays->len; i > 0; i--) {
		/* The callback of a call that ends with its relay may have dropped others. */
		if (i > dispatch->relays->len)
			continue;
		struct dff_dispatch_relay *relay = g_ptr_array_index (dispatch->relays, i - 1);
		relay->last_received_ms += late_ms;
		if (now - relay->last_received_ms < RELAY_TIMEOUT_MS)
			continue;
		relay->link.close (relay->link.ctx);
		drop_relay (relay, "silent");
	}
}

/* Returns: (nullable): a connection that has not sent its name. */
static struct dff_dispatch_relay *
find_unnamed (const struct dff_dispatch *dispatch)
{
	for (guint i = 0; i < dispatch->relays->len; i++) {
		struct dff_dispatch_relay *relay = g_ptr_array_index (dispatch->relays, i);
		if (dff_name_is_empty (&relay->name))
			return relay;
	}
	return NULL;
}

/* Returns: whether another relay may be added. A relay sends its name at once, so connections that
 * have not sent one must not keep relays out. */
static bool
make_room (struct dff_dispatch *dispatch)
{
	if ((int32_t)dispatch->relays->len < dispatch->limit)
		return true;
	struct dff_dispatch_relay *unnamed = dispatch->limit > 0 ? find_unnamed (dispatch) : NULL;
	if (unnamed == NULL)
		return false;
	unnamed->link.close (unnamed->link.ctx);
	drop_relay (unnamed, "unnamed");
	return true;
}

struct dff_dispatch_relay *
dff_dispatch_add (struct dff_dispatch *dispatch, const struct dff_relay_link *link)
{
	if (!make_room (dispatch)) {
		link->close (link->ctx);
		return NULL;
	}
	struct dff_dispatch_relay *relay = g_new0 (struct dff_dispatch_relay, 1);
	g_ref_count_init (&relay->refs);
	relay->dispatch = dispatch;
	relay->link = *link;
	relay->last_received_ms = now_ms (dispatch);
	relay->batch = relay_batch_new ();
	relay->calls = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
	g_ptr_array_add (dispatch->relays, relay);
	*dispatch->n_relays = dispatch->relays->len;
	return relay;
}

void
dff_dispatch_remove (struct dff_dispatch_relay *relay)
{
	drop_relay (relay, "disconnected");
}

struct answered_call {
	struct dff_dispatch *dispatch;
	struct call *call;
};

static void
take_result (void *user, const struct dff_runner_result *result)
{
	const struct answered_call *answered_call = user;
	record_outcome (answered_call->dispatch, &answered_call->call->worker, result->outcome);
	answered_call->call->done (answered_call->call->user, result);
}

static void
take_answer (struct dff_dispatch_relay *relay, const Dff__Relay__Answer *answer)
{
	gpointer id = NULL, value = NULL;
	if (!g_hash_table_steal_extended (relay->calls, &answer->id, &id, &value))
		return;
	struct answered_call answered_call = {.dispatch = relay->dispatch, .call = value};
	relay_answer_read (answer, take_result, &answered_call);
	g_free (id);
	g_free (value);
}

void
dff_dispatch_receive (struct dff_dispatch_relay *relay, const uint8_t *data, size_t len)
{
	Dff__Relay__Batch *batch = relay_batch_unpack (data, len, RELAY_UNPACKED_BYTES_MAX);
	struct dff_name name = {0};
	bool named = batch != NULL && batch->name.len > 0;
	if (batch == NULL || (named && !relay_name_read (&batch->name, &name))) {
		if (batch != NULL)
			relay_batch_free_unpacked (batch);
		relay->link.close (relay->link.ctx);
		drop_relay (relay, "unreadable");
		return;
	}
	relay->last_received_ms = now_ms (relay->dispatch);
	if (named && dff_name_is_empty (&relay->name)) {
		relay->name = name;
		dff_log (DFF_LOG_UPSTREAM, DFF_LOG_INFO, "Relay connected. relay=%s relays=%u",
			 name.data, relay->dispatch->relays->len);
	}
	relay->leaving |= batch->leaving;
	/* An answer may make this process step down, which drops the relay. */
	g_ref_count_inc (&relay->refs);
	for (size_t i = 0; i < batch->n_answers && !relay->dropped; i++)
		take_answer (relay, batch->answers[i]);
	relay_unref (relay);
	relay_batch_free_unpacked (batch);
}

/* Disconnects all relays when this process steps down: the next holder needs them. */
static void
drop_all_relays (struct dff_dispatch *dispatch)
{
	while (dispatch->relays->len > 0) {
		struct dff_dispatch_relay *relay =
			g_ptr_array_index (dispatch->relays, dispatch->relays->len - 1);
		relay->link.close (relay->link.ctx);
		drop_relay (relay, "let_go");
	}
}

void
dff_dispatch_set_limit (struct dff_dispatch *dispatch, int32_t limit)
{
	dispatch->limit = limit;
	if (limit > 0)
		return;
	g_hash_table_remove_all (dispatch->unanswered);
	drop_all_relays (dispatch);
}

int32_t
dff_dispatch_n_relays (const struct dff_dispatch *dispatch)
{
	return (int32_t)dispatch->relays->len;
}

const struct dff_runner *
dff_dispatch_interface (struct dff_dispatch *dispatch)
{
	return &dispatch->interface;
}

static void
open_metrics (struct dff_dispatch *dispatch)
{
	struct dff_metrics *metrics = dispatch->options.metrics;
	dispatch->n_relays = dff_metrics_gauge (metrics, "dff_relay_relays",
						"Processes that carry calls for this one.");
	dispatch->n_relayed = dff_metrics_counter (metrics, "dff_relay_calls_relayed_total",
						   "Calls to workers through other processes.");
	dispatch->n_direct = dff_metrics_counter (metrics, "dff_relay_calls_direct_total",
						  "Calls to workers from this process.");
	dispatch->n_lost = dff_metrics_counter (metrics, "dff_relay_calls_lost_total",
						"Calls that were under way when their relay was "
						"lost.");
}

struct dff_dispatch *
dff_dispatch_new (const struct dff_dispatch_options *options)
{
	struct dff_dispatch *dispatch = g_new0 (struct dff_dispatch, 1);
	dispatch->options = *options;
	dispatch->interface = (struct dff_runner){.start = dispatch_start,
						  .stop = dispatch_stop,
						  .watch = dispatch_watch,
						  .ctx = dispatch};
	dispatch->relays = g_ptr_array_new ();
	dispatch->unanswered =
		g_hash_table_new_full (dff_name_hash, dff_name_equal_func, g_free, NULL);
	open_metrics (dispatch);
	dispatch->flush = dff_timer_new (options->timers, handle_flush, dispatch);
	dispatch->check = dff_timer_new (options->timers, handle_check, dispatch);
	dispatch->checked_ms = now_ms (dispatch);
	dff_timer_start (dispatch->check, CHECK_INTERVAL_MS);
	return dispatch;
}

void
dff_dispatch_free (struct dff_dispatch *dispatch)
{
	for (guint i = 0; i < dispatch->relays->len; i++) {
		struct dff_dispatch_relay *relay = g_ptr_array_index (dispatch->relays, i);
		relay->link.close (relay->link.ctx);
		relay->dropped = true;
		relay_unref (relay);
	}
	g_ptr_array_unref (dispatch->relays);
	dff_timer_free (dispatch->flush);
	dff_timer_free (dispatch->check);
	g_hash_table_unref (dispatch->unanswered);
	g_free (dispatch);
}
