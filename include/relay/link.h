#ifndef DFF_RELAY_LINK_H
#define DFF_RELAY_LINK_H

#include <stddef.h>
#include <stdint.h>

/* Interface of a connection between two processes that carries whole messages in order. The program
 * implements it with sockets, tests in memory. */

struct dff_relay_link {
	/** Sends a message. The message is lost if the connection is lost; the loss of the
	 * connection is reported to the other end. */
	void (*send) (void *ctx, const uint8_t *data, size_t len);
	/** Closes the connection; no message is received from it any more. The end of the
	 * connection is not reported to the side that closes it. */
	void (*close) (void *ctx);
	void *ctx;
};

#endif
