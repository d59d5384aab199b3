#ifndef DFF_RELAY_STREAM_H
#define DFF_RELAY_STREAM_H

#include <event2/event.h>

#include "common/cleanup.h"
#include "common/str.h"
#include "relay/link.h"

/* Framed messages over TCP: the message's length in four bytes, big-endian, then its bytes. */

struct dff_stream;

struct dff_stream_handlers {
	/** An outgoing connection is established. Not called for an accepted connection. */
	void (*connected) (void *ctx);
	void (*message) (void *ctx, const uint8_t *data, size_t len);
	/** The connection has ended or could not be established. The owner has to free the stream,
	 * in this callback or later. */
	void (*ended) (void *ctx);
	void *ctx;
};

/** Returns: (transfer full) (nullable): a stream that connects to @address, "IP:PORT". */
struct dff_stream *dff_stream_connect (struct event_base *base,
				       const struct dff_name *address,
				       const struct dff_stream_handlers *handlers);

/** Returns: (transfer full): a stream over the connected socket @fd, which it owns. */
struct dff_stream *dff_stream_accept (struct event_base *base,
				      evutil_socket_t fd,
				      const struct dff_stream_handlers *handlers);

/** Closes the connection and frees the stream. Unsent bytes are dropped. */
void dff_stream_free (struct dff_stream *stream);

DFF_DEFINE_CLEANUP (dff_stream, dff_stream_free);

/** Sends a message. If too many bytes are unsent because the peer does not read them, the
 * connection ends. */
void dff_stream_send (struct dff_stream *stream, const uint8_t *data, size_t len);

struct dff_stream_listener;

typedef void (*dff_stream_accept_func) (void *ctx, evutil_socket_t fd);

/** Returns: (transfer full) (nullable): a listener that accepts connections at @address, "IP:PORT";
 * NULL on failure. */
struct dff_stream_listener *dff_stream_listen (struct event_base *base,
					       const struct dff_name *address,
					       dff_stream_accept_func accept,
					       void *ctx);

void dff_stream_listener_free (struct dff_stream_listener *listener);

/** Returns: the bound address, "IP:PORT". */
struct dff_name dff_stream_listener_address (const struct dff_stream_listener *listener);

#endif
