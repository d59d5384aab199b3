#include "standin/memory_link.h"

#define HOP_MS 1

struct end {
	struct dff_memory_link *link;
	/** Whether this end still wants to be told. */
	bool up;
};

struct dff_memory_link {
	struct dff_virtual_loop *loop;
	struct end at_dispatch;
	struct end at_relay;
	struct dff_dispatch_relay *dispatch_relay;
	struct dff_relay *relay;
	bool silent;
	bool freed;
	/** Messages and ends under way. */
	int32_t n_pending;
};

struct message {
	struct dff_memory_link *link;
	bool to_relay;
	/** (nullable): NULL: the other end has closed. */
	GByteArray *bytes;
};

static void
release (struct dff_memory_link *link)
{
	if (link->freed && link->n_pending == 0)
		g_free (link);
}

static void
deliver_to_relay (struct dff_memory_link *link, const GByteArray *bytes)
{
	if (!link->at_relay.up)
		return;
	if (bytes != NULL) {
		dff_relay_receive (link->relay, bytes->data, bytes->len);
		return;
	}
	link->at_relay.up = false;
	dff_relay_disconnected (link->relay);
}

static void
deliver_to_dispatch (struct dff_memory_link *link, const GByteArray *bytes)
{
	if (!link->at_dispatch.up)
		return;
	if (bytes != NULL) {
		dff_dispatch_receive (link->dispatch_relay, bytes->data, bytes->len);
		return;
	}
	link->at_dispatch.up = false;
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
	release (link);
}

static void
post (struct dff_memory_link *link, bool to_relay, GByteArray *bytes)
{
	struct message *message = g_new0 (struct message, 1);
	message->link = link;
	message->to_relay = to_relay;
	message->bytes = bytes;
	link->n_pending++;
	dff_virtual_loop_schedule (link->loop, HOP_MS, deliver, message);
}

static void
end_send (void *ctx, const uint8_t *data, size_t len)
{
	struct end *end = ctx;
	GByteArray *bytes = g_byte_array_new ();
	g_byte_array_append (bytes, data, (guint)len);
	post (end->link, end == &end->link->at_dispatch, bytes);
}

static void
end_close (void *ctx)
{
	struct end *end = ctx;
	end->up = false;
	post (end->link, end == &end->link->at_dispatch, NULL);
}

struct dff_memory_link *
dff_memory_link_new (struct dff_virtual_loop *loop,
		     struct dff_dispatch *dispatch,
		     struct dff_relay *relay)
{
	struct dff_memory_link *link = g_new0 (struct dff_memory_link, 1);
	link->loop = loop;
	link->relay = relay;
	link->at_dispatch = (struct end){.link = link, .up = true};
	link->at_relay = (struct end){.link = link, .up = true};
	struct dff_relay_link near = {end_send, end_close, &link->at_dispatch};
	struct dff_relay_link far = {end_send, end_close, &link->at_relay};
	link->dispatch_relay = dff_dispatch_add (dispatch, &near);
	dff_relay_connected (relay, &far);
	return link;
}

void
dff_memory_link_free (struct dff_memory_link *link)
{
	deliver_to_relay (link, NULL);
	deliver_to_dispatch (link, NULL);
	link->freed = true;
	release (link);
}

void
dff_memory_link_silence (struct dff_memory_link *link, bool silent)
{
	link->silent = silent;
}

void
dff_memory_link_inject (struct dff_memory_link *link, const uint8_t *data, size_t len)
{
	end_send (&link->at_relay, data, len);
}

void
dff_memory_link_end_relay (struct dff_memory_link *link)
{
	link->at_relay.up = false;
}

bool
dff_memory_link_is_up (const struct dff_memory_link *link)
{
	return link->at_dispatch.up && link->at_relay.up;
}
