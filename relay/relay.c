#include "relay/relay.h"

#include "common/log.h"
#include "relay/message.h"

/** Time for which answers are collected into a batch before it is sent, ms. Each message wakes the
 * holder; a longer delay postpones the report of a completed task. */
#define BATCH_DELAY_MS 10
/** Longest interval between two messages to the holder, ms; an empty batch serves as heartbeat. The
 * holder drops a relay that sends nothing. */
#define HEARTBEAT_INTERVAL_MS 300
/** Time without a message after which the holder is reported as silent, because another process may
 * have become the holder, ms. The holder renews the leases of each relay's workers several times a
 * second. */
#define HOLDER_TIMEOUT_MS 700

struct dff_relay {
	struct dff_relay_options options;
	struct dff_relay_link link;
	bool connected;
	/** Time of the holder's last message, or of the connection before the first message, ms. */
	int64_t last_received_ms;
	/** Number of the current connection, to detect calls from an earlier one. */
	int64_t connection;
	/** Calls in progress. Elements: struct call *. */
	GHashTable *calls;
	struct relay_batch *batch;
	struct dff_timer *flush;
	struct dff_timer *heartbeat;
	int64_t *n_calls;
};

struct call {
	struct dff_relay *relay;
	int64_t connection;
	uint64_t id;
};

static int64_t
now_ms (const struct dff_relay *relay)
{
	return dff_clock_now_ms (relay->options.timers->clock);
}

static void
send_batch (struct dff_relay *relay)
{
	g_autoptr (GByteArray) bytes = relay_batch_pack (relay->batch);
	relay->link.send (relay->link.ctx, bytes->data, bytes->len);
	dff_timer_start (relay->heartbeat, HEARTBEAT_INTERVAL_MS);
}

static void
handle_flush (void *ctx)
{
	struct dff_relay *relay = ctx;
	if (relay->connected && !relay_batch_is_empty (relay->batch))
		send_batch (relay);
}

static void
handle_heartbeat (void *ctx)
{
	struct dff_relay *relay = ctx;
	if (!relay->connected)
		return;
	send_batch (relay);
	if (now_ms (relay) - relay->last_received_ms >= HOLDER_TIMEOUT_MS &&
	    relay->options.holder_silent != NULL)
		relay->options.holder_silent (relay->options.ctx);
}

static void
handle_result (void *user, const struct dff_runner_result *result)
{
	struct call *call = user;
	struct dff_relay *relay = call->relay;
	if (relay->connected && call->connection == relay->connection) {
		if (relay_batch_is_empty (relay->batch))
			dff_timer_start (relay->flush, BATCH_DELAY_MS);
		relay_batch_add_answer (relay->batch, call->id, result);
	}
	g_hash_table_remove (relay->calls, call);
}

static bool
execute_call (struct dff_relay *relay, const Dff__Relay__Call *message)
{
	const struct dff_runner *runner = relay->options.runner;
	struct dff_run_order order;
	struct dff_run_watch watch;
	if (!relay_call_read (message, &order, &watch))
		return false;
	struct call *call = g_new0 (struct call, 1);
	call->relay = relay;
	call->connection = relay->connection;
	call->id = message->id;
	g_hash_table_add (relay->calls, call);
	(*relay->n_calls)++;
	if (message->kind == DFF__RELAY__KIND__START)
		runner->start (runner->ctx, &order, handle_result, call);
	else if (message->kind == DFF__RELAY__KIND__STOP)
		runner->stop (runner->ctx, &order, handle_result, call);
	else
		runner->watch (runner->ctx, &watch, handle_result, call);
	return true;
}

static void
handle_unreadable_message (struct dff_relay *relay)
{
	dff_log (DFF_LOG_UPSTREAM, DFF_LOG_ERROR,
		 "Malformed message from the holder; closing the connection. relay=%s",
		 relay->options.name.data);
	relay->link.close (relay->link.ctx);
	dff_relay_disconnected (relay);
}

void
dff_relay_receive (struct dff_relay *relay, const uint8_t *data, size_t len)
{
	Dff__Relay__Batch *batch = relay_batch_unpack (data, len, RELAY_UNPACKED_BYTES_MAX);
	if (batch == NULL) {
		handle_unreadable_message (relay);
		return;
	}
	relay->last_received_ms = now_ms (relay);
	bool readable = true;
	for (size_t i = 0; i < batch->n_calls && readable; i++)
		readable = execute_call (relay, batch->calls[i]);
	relay_batch_free_unpacked (batch);
	if (!readable)
		handle_unreadable_message (relay);
}

void
dff_relay_connected (struct dff_relay *relay, const struct dff_relay_link *link)
{
	relay->link = *link;
	relay->connected = true;
	relay->last_received_ms = now_ms (relay);
	relay->connection++;
	/* Answers to calls from an earlier connection must not be sent over this one. */
	relay_batch_free (relay->batch);
	relay->batch = relay_batch_new ();
	relay_batch_set_name (relay->batch, &relay->options.name);
	send_batch (relay);
	relay_batch_set_name (relay->batch, &(struct dff_name){0});
}

void
dff_relay_disconnected (struct dff_relay *relay)
{
	relay->connected = false;
	dff_timer_stop (relay->flush);
	dff_timer_stop (relay->heartbeat);
}

void
dff_relay_leave (struct dff_relay *relay)
{
	relay_batch_set_leaving (relay->batch, true);
	if (relay->connected)
		send_batch (relay);
}

struct dff_relay *
dff_relay_new (const struct dff_relay_options *options)
{
	struct dff_relay *relay = g_new0 (struct dff_relay, 1);
	relay->options = *options;
	relay->calls = g_hash_table_new_full (NULL, NULL, g_free, NULL);
	relay->batch = relay_batch_new ();
	relay->flush = dff_timer_new (options->timers, handle_flush, relay);
	relay->heartbeat = dff_timer_new (options->timers, handle_heartbeat, relay);
	relay->n_calls = dff_metrics_counter (options->metrics, "dff_relay_calls_carried_total",
					      "Calls carried out for the process that decides.");
	return relay;
}

void
dff_relay_free (struct dff_relay *relay)
{
	g_hash_table_unref (relay->calls);
	relay_batch_free (relay->batch);
	dff_timer_free (relay->flush);
	dff_timer_free (relay->heartbeat);
	g_free (relay);
}
