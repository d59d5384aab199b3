#include "standin/memory_link.h"

/** Latency in one direction, ms. */
#define LINK_DELAY_MS 1

struct endpoint {
	struct dff_memory_link *link;
	/** Whether messages and the disconnection are still delivered to this end. */
	bool connected;
};

struct dff_memory_link {
	struct dff_virtual_loop *loop;
	struct endpoint at_dispatch;
	struct endpoint at_relay;
	struct dff_dispatch_relay *dispatch_relay;
	struct dff_relay *relay;
	bool silent;
	bool freed;
	/** Messages and disconnections in transit. */
	int32_t n_pending;
};

struct message {
	struct dff_memory_link *link;
	bool to_relay;
	/** (nullable): NULL: the sending end has closed the connection. */
	GByteArray *bytes;
};

static void
free_when_idle (struct dff_memory_link *link)
{
	if (link->freed && link->n_pending == 0)
		g_free (link);
}

static void
deliver_to_relay (struct dff_memory_link *link, const GByteArray *bytes)
{
	if (!link->at_relay.connected)
		return;
	if (bytes != NULL) {
		dff_relay_receive (link->relay, bytes->data, bytes->len);
		return;
	}
	link->at_relay.connected = false;
	dff_relay_disconnected (link->relay);
}

static void
deliver_to_dispatch (struct dff_memory_link *link, const GByteArray *bytes)
{
	if (!link->at_dispatch.connected)
		return;
	if (bytes != NULL) {
		dff_dispatch_receive (link->dispatch_relay, bytes->data, bytes->len);
		return;
	}
	link->at_dispatch.connected = false;
	dff_dispatch_remove (link->dispatch_relay);
}

static void
deliver (void *user)
{
	struct message *message = user;
	struct dff_memory_link *link = message->link;
	link->n_pending--;
	if (!link->freed && !link->silent && message->to_relay)
		deliver_to_relay (link, message->bytes);
	else if (!link->freed && !link->silent)
		deliver_to_dispatch (link, message->bytes);
	if (message->bytes != NULL)
		g_byte_array_unref (message->bytes);
	g_free (message);
	free_when_idle (link);
}

static void
post (struct dff_memory_link *link, bool to_relay, GByteArray *bytes)
{
	struct message *message = g_new0 (struct message, 1);
	message->link = link;
	message->to_relay = to_relay;
	message->bytes = bytes;
	link->n_pending++;
	dff_virtual_loop_schedule (link->loop, LINK_DELAY_MS, deliver, message);
}

static void
endpoint_send (void *ctx, const uint8_t *data, size_t len)
{
	struct endpoint *endpoint = ctx;
	GByteArray *bytes = g_byte_array_new ();
	g_byte_array_append (bytes, data, (guint)len);
	post (endpoint->link, endpoint == &endpoint->link->at_dispatch, bytes);
}

static void
endpoint_close (void *ctx)
{
	struct endpoint *endpoint = ctx;
	endpoint->connected = false;
	post (endpoint->link, endpoint == &endpoint->link->at_dispatch, NULL);
}

struct dff_memory_link *
dff_memory_link_new (struct dff_virtual_loop *loop,
		     struct dff_dispatch *dispatch,
		     struct dff_relay *relay)
{
	struct dff_memory_link *link = g_new0 (struct dff_memory_link, 1);
	link->loop = loop;
	link->relay = relay;
	link->at_dispatch = (struct endpoint){.link = link, .connected = true};
	link->at_relay = (struct endpoint){.link = link, .connected = true};
	struct dff_relay_link dispatch_link = {endpoint_send, endpoint_close, &link->at_dispatch};
	struct dff_relay_link relay_link = {endpoint_send, endpoint_close, &link->at_relay};
	link->dispatch_relay = dff_dispatch_add (dispatch, &dispatch_link);
	dff_relay_connected (relay, &relay_link);
	return link;
}

void
dff_memory_link_free (struct dff_memory_link *link)
{
	deliver_to_relay (link, NULL);
	deliver_to_dispatch (link, NULL);
	link->freed = true;
	free_when_idle (link);
}

void
dff_memory_link_silence (struct dff_memory_link *link, bool silent)
{
	link->silent = silent;
}

void
dff_memory_link_inject (struct dff_memory_link *link, const uint8_t *data, size_t len)
{
	endpoint_send (&link->at_relay, data, len);
}

void
dff_memory_link_end_relay (struct dff_memory_link *link)
{
	link->at_relay.connected = false;
}

bool
dff_memory_link_is_up (const struct dff_memory_link *link)
{
	return link->at_dispatch.connected && link->at_relay.connected;
}
