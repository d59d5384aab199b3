#ifndef DFF_RELAY_LINK_H
#define DFF_RELAY_LINK_H

#include <stddef.h>
#include <stdint.h>

/* A connection between two processes that carries whole messages in order, as an interface: sockets
 * in the program, memory in tests. */

struct dff_relay_link {
	/** Sends a message; it is lost if the connection is, which the other end is told of. */
	void (*send) (void *ctx, const uint8_t *data, size_t len);
	/** Ends the connection; nothing is received from it any more. The end that does so is not
	 * told. */
	void (*close) (void *ctx);
	void *ctx;
};

#endif
