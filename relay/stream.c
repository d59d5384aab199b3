#include "relay/stream.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/tcp.h>

#include "common/address.h"
#include "common/http_connection.h"

/** Maximum length of a message, bytes: 100 times a batch of calls to some dozens of workers. */
#define MESSAGE_BYTES_MAX (4 << 20)
/** Unsent bytes beyond which the connection ends: the amount that the link of a small machine
 * carries in two seconds. */
#define UNSENT_BYTES_MAX (4 << 20)
/** Time after which a connection attempt fails, and time after which a connection with
 * unacknowledged bytes ends, ms. A peer that has lost power does not close its connections. */
#define CONNECT_TIMEOUT_MS 1000
#define UNACKNOWLEDGED_MS 2000
#define LENGTH_BYTES 4

struct dff_stream {
	struct bufferevent *events;
	struct dff_stream_handlers handlers;
	/** One reference until the stream is freed, and one while messages are handled. */
	grefcount refs;
	bool freed;
};

struct dff_stream_listener {
	struct evconnlistener *listener;
	dff_stream_accept_func accept;
	void *ctx;
};

/* Passes the next message to the handler. Returns: whether a complete message had arrived.
 * @within_limit: (out): whether the length of the message is allowed. */
static bool
take_message (struct dff_stream *stream, bool *within_limit)
{
	struct evbuffer *input = bufferevent_get_input (stream->events);
	uint32_t length;
	*within_limit = true;
	if (evbuffer_copyout (input, &length, LENGTH_BYTES) < LENGTH_BYTES)
		return false;
	length = ntohl (length);
	*within_limit = length <= MESSAGE_BYTES_MAX;
	if (!*within_limit || evbuffer_get_length (input) < LENGTH_BYTES + (size_t)length)
		return false;
	evbuffer_drain (input, LENGTH_BYTES);
	g_autofree uint8_t *message = g_malloc (length + 1);
	evbuffer_remove (input, message, length);
	stream->handlers.message (stream->handlers.ctx, message, length);
	return true;
}

static void
stream_unref (struct dff_stream *stream)
{
	if (!g_ref_count_dec (&stream->refs))
		return;
	bufferevent_free (stream->events);
	g_free (stream);
}

static void
handle_read (struct bufferevent *events, void *ctx)
{
	(void)events;
	struct dff_stream *stream = ctx;
	bool within_limit = true;
	/* A handler may free the stream. */
	g_ref_count_inc (&stream->refs);
	while (!stream->freed && take_message (stream, &within_limit))
		continue;
	if (!stream->freed && !within_limit)
		stream->handlers.ended (stream->handlers.ctx);
	stream_unref (stream);
}

static void
handle_event (struct bufferevent *events, short what, void *ctx)
{
	struct dff_stream *stream = ctx;
	if ((what & BEV_EVENT_CONNECTED) != 0) {
		bufferevent_set_timeouts (events, NULL, NULL);
		stream->handlers.connected (stream->handlers.ctx);
		return;
	}
	stream->handlers.ended (stream->handlers.ctx);
}

static struct dff_stream *
stream_new (struct event_base *base, evutil_socket_t fd, const struct dff_stream_handlers *handlers)
{
	struct dff_stream *stream = g_new0 (struct dff_stream, 1);
	g_ref_count_init (&stream->refs);
	stream->handlers = *handlers;
	stream->events = bufferevent_socket_new (base, fd, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb (stream->events, handle_read, NULL, handle_event, stream);
	return stream;
}

static void
set_options (evutil_socket_t fd)
{
	int on = 1;
	unsigned int unacknowledged_ms = UNACKNOWLEDGED_MS;
	setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof (on));
	setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_ms,
		    sizeof (unacknowledged_ms));
}

struct dff_stream *
dff_stream_connect (struct event_base *base,
		    const struct dff_name *address,
		    const struct dff_stream_handlers *handlers)
{
	struct sockaddr_in parsed;
	if (!dff_address_to_sockaddr (address, &parsed))
		return NULL;
	DFF_AUTO (dff_stream) stream = stream_new (base, -1, handlers);
	struct timeval timeout = dff_timeval_from_ms (CONNECT_TIMEOUT_MS);
	bufferevent_set_timeouts (stream->events, NULL, &timeout);
	bufferevent_enable (stream->events, EV_READ | EV_WRITE);
	if (bufferevent_socket_connect (stream->events, (struct sockaddr *)&parsed,
					sizeof (parsed)) != 0)
		return NULL;
	set_options (bufferevent_getfd (stream->events));
	return g_steal_pointer (&stream);
}

struct dff_stream *
dff_stream_accept (struct event_base *base,
		   evutil_socket_t fd,
		   const struct dff_stream_handlers *handlers)
{
	struct dff_stream *stream = stream_new (base, fd, handlers);
	set_options (fd);
	bufferevent_enable (stream->events, EV_READ | EV_WRITE);
	return stream;
}

void
dff_stream_free (struct dff_stream *stream)
{
	stream->freed = true;
	stream_unref (stream);
}

void
dff_stream_send (struct dff_stream *stream, const uint8_t *data, size_t len)
{
	struct evbuffer *output = bufferevent_get_output (stream->events);
	uint32_t length = htonl ((uint32_t)len);
	if (evbuffer_get_length (output) > UNSENT_BYTES_MAX) {
		/* The end is reported in the next iteration of the event loop, because the caller
		 * may not be prepared for it during the call. */
		bufferevent_trigger_event (stream->events, BEV_EVENT_ERROR,
					   BEV_OPT_DEFER_CALLBACKS);
		return;
	}
	evbuffer_add (output, &length, LENGTH_BYTES);
	evbuffer_add (output, data, len);
}

static void
handle_accept (struct evconnlistener *listener,
	       evutil_socket_t fd,
	       struct sockaddr *address,
	       int length,
	       void *ctx)
{
	(void)listener;
	(void)address;
	(void)length;
	const struct dff_stream_listener *self = ctx;
	self->accept (self->ctx, fd);
}

struct dff_stream_listener *
dff_stream_listen (struct event_base *base,
		   const struct dff_name *address,
		   dff_stream_accept_func accept,
		   void *ctx)
{
	struct sockaddr_in parsed;
	if (!dff_address_to_sockaddr (address, &parsed))
		return NULL;
	struct dff_stream_listener *listener = g_new0 (struct dff_stream_listener, 1);
	listener->accept = accept;
	listener->ctx = ctx;
	listener->listener = evconnlistener_new_bind (base, handle_accept, listener,
						      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
						      (struct sockaddr *)&parsed, sizeof (parsed));
	if (listener->listener != NULL)
		return listener;
	g_free (listener);
	return NULL;
}

void
dff_stream_listener_free (struct dff_stream_listener *listener)
{
	evconnlistener_free (listener->listener);
	g_free (listener);
}

struct dff_name
dff_stream_listener_address (const struct dff_stream_listener *listener)
{
	return dff_address_of_socket (evconnlistener_get_fd (listener->listener));
}
