#include "fleet/relays.h"

#include <event2/event.h>
#include <sodium.h>

#include "relay/dispatch.h"
#include "relay/relay.h"
#include "relay/stream.h"

/** Delay before reconnecting to the holder, doubled after each attempt up to the limit, ms. A
 * holder that has enough relays must not receive connections from a thousand processes all the
 * time. */
#define RECONNECT_MIN_MS 1000
#define RECONNECT_MAX_MS 30000

struct dff_fleet_relays {
	struct dff_fleet_relays_options options;
	struct dff_dispatch *dispatch;
	struct dff_relay *relay;
	struct dff_stream_listener *listener;
	/** Accepted connections of relays. Elements: struct accepted *. */
	GPtrArray *accepted;
	/** (nullable): the connection to the holder. */
	struct dff_stream *stream;
	struct dff_name holder_address;
	int64_t next_connect_ms;
	int32_t reconnect_delay_ms;
	bool leaving;
};

struct accepted {
	struct dff_fleet_relays *relays;
	struct dff_stream *stream;
	/** (nullable): NULL once the relay is removed on both sides. */
	struct dff_dispatch_relay *relay;
};

static int64_t
now_ms (const struct dff_fleet_relays *relays)
{
	return dff_clock_now_ms (relays->options.timers->clock);
}

static void
free_accepted (gpointer data)
{
	struct accepted *accepted = data;
	dff_stream_free (accepted->stream);
	g_free (accepted);
}

static void
send_accepted (void *ctx, const uint8_t *data, size_t len)
{
	struct accepted *accepted = ctx;
	dff_stream_send (accepted->stream, data, len);
}

static void
close_accepted (void *ctx)
{
	struct accepted *accepted = ctx;
	accepted->relay = NULL;
	g_ptr_array_remove_fast (accepted->relays->accepted, accepted);
}

static void
handle_accepted_message (void *ctx, const uint8_t *data, size_t len)
{
	struct accepted *accepted = ctx;
	dff_dispatch_receive (accepted->relay, data, len);
}

static void
handle_accepted_end (void *ctx)
{
	struct accepted *accepted = ctx;
	dff_dispatch_remove (accepted->relay);
	close_accepted (accepted);
}

static void
handle_accept (void *ctx, evutil_socket_t fd)
{
	struct dff_fleet_relays *relays = ctx;
	struct accepted *accepted = g_new0 (struct accepted, 1);
	struct dff_stream_handlers handlers = {
		.message = handle_accepted_message, .ended = handle_accepted_end, .ctx = accepted};
	accepted->relays = relays;
	accepted->stream = dff_stream_accept (relays->options.base, fd, &handlers);
	g_ptr_array_add (relays->accepted, accepted);
	struct dff_relay_link link = {
		.send = send_accepted, .close = close_accepted, .ctx = accepted};
	struct dff_dispatch_relay *relay = dff_dispatch_add (relays->dispatch, &link);
	/* If there are enough relays already, dff_dispatch_add() has closed the link and freed
	 * @accepted. */
	if (relay != NULL)
		accepted->relay = relay;
}

static void
drop_stream (struct dff_fleet_relays *relays)
{
	if (relays->stream == NULL)
		return;
	dff_relay_disconnected (relays->relay);
	g_clear_pointer (&relays->stream, dff_stream_free);
}

static void
send_stream (void *ctx, const uint8_t *data, size_t len)
{
	struct dff_fleet_relays *relays = ctx;
	dff_stream_send (relays->stream, data, len);
}

/* Delays the next connection after the other process has closed the last one. */
static void
delay_reconnect (struct dff_fleet_relays *relays)
{
	int32_t jitter_ms = (int32_t)randombytes_uniform ((uint32_t)relays->reconnect_delay_ms);
	relays->next_connect_ms = now_ms (relays) + relays->reconnect_delay_ms + jitter_ms;
	relays->reconnect_delay_ms = MIN (relays->reconnect_delay_ms * 2, RECONNECT_MAX_MS);
}

static void
close_stream (void *ctx)
{
	struct dff_fleet_relays *relays = ctx;
	g_clear_pointer (&relays->stream, dff_stream_free);
	delay_reconnect (relays);
}

static void
handle_connected (void *ctx)
{
	struct dff_fleet_relays *relays = ctx;
	struct dff_relay_link link = {.send = send_stream, .close = close_stream, .ctx = relays};
	dff_relay_connected (relays->relay, &link);
}

static void
handle_message (void *ctx, const uint8_t *data, size_t len)
{
	struct dff_fleet_relays *relays = ctx;
	dff_relay_receive (relays->relay, data, len);
}

static void
handle_end (void *ctx)
{
	struct dff_fleet_relays *relays = ctx;
	drop_stream (relays);
	delay_reconnect (relays);
	relays->options.holder_lost (relays->options.ctx);
}

static void
connect_to (struct dff_fleet_relays *relays)
{
	struct dff_stream_handlers handlers = {.connected = handle_connected,
					       .message = handle_message,
					       .ended = handle_end,
					       .ctx = relays};
	relays->stream =
		dff_stream_connect (relays->options.base, &relays->holder_address, &handlers);
	if (relays->stream == NULL)
		delay_reconnect (relays);
}

void
dff_fleet_relays_connect (void *ctx, const struct dff_name *address, int32_t n_relays)
{
	struct dff_fleet_relays *relays = ctx;
	if (n_relays == 0 || relays->leaving || dff_name_is_empty (address)) {
		drop_stream (relays);
		relays->holder_address = (struct dff_name){0};
		return;
	}
	if (!dff_name_equal (address, &relays->holder_address)) {
		drop_stream (relays);
		relays->holder_address = *address;
		relays->next_connect_ms = 0;
		relays->reconnect_delay_ms = RECONNECT_MIN_MS;
	}
	if (relays->stream == NULL && now_ms (relays) >= relays->next_connect_ms)
		connect_to (relays);
}

void
dff_fleet_relays_set_limit (void *ctx, int32_t n_relays)
{
	struct dff_fleet_relays *relays = ctx;
	dff_dispatch_set_limit (relays->dispatch, n_relays);
}

void
dff_fleet_relays_leave (struct dff_fleet_relays *relays)
{
	relays->leaving = true;
	if (relays->stream != NULL)
		dff_relay_leave (relays->relay);
}

const struct dff_runner *
dff_fleet_relays_runner (struct dff_fleet_relays *relays)
{
	return dff_dispatch_interface (relays->dispatch);
}

struct dff_fleet_relays *
dff_fleet_relays_new (const struct dff_fleet_relays_options *options)
{
	struct dff_fleet_relays *relays = g_new0 (struct dff_fleet_relays, 1);
	relays->options = *options;
	relays->reconnect_delay_ms = RECONNECT_MIN_MS;
	relays->accepted = g_ptr_array_new_with_free_func (free_accepted);
	struct dff_dispatch_options dispatch = {
		.timers = options->timers, .metrics = options->metrics, .direct = options->direct};
	relays->dispatch = dff_dispatch_new (&dispatch);
	struct dff_relay_options relay = {.timers = options->timers,
					  .metrics = options->metrics,
					  .runner = options->direct,
					  .name = options->incarnation,
					  .holder_silent = options->holder_lost,
					  .ctx = options->ctx};
	relays->relay = dff_relay_new (&relay);
	relays->listener =
		dff_stream_listen (options->base, &options->address, handle_accept, relays);
	if (relays->listener != NULL)
		return relays;
	dff_fleet_relays_free (relays);
	return NULL;
}

void
dff_fleet_relays_free (struct dff_fleet_relays *relays)
{
	if (relays->listener != NULL)
		dff_stream_listener_free (relays->listener);
	drop_stream (relays);
	/* Closes the accepted connections. */
	dff_dispatch_free (relays->dispatch);
	dff_relay_free (relays->relay);
	g_ptr_array_unref (relays->accepted);
	g_free (relays);
}
