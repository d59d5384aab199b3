#ifndef DFF_BENCH_SLOPES_RELAY_H
#define DFF_BENCH_SLOPES_RELAY_H

#include <event2/event.h>
#include <stdint.h>

#include "common/cleanup.h"
#include "common/str.h"

/* Relays TCP connections to an address and counts the traffic, both directions together. */

struct relay;

struct relay_counts {
	int64_t connections;
	/** Reads that returned data: about one per message. */
	int64_t messages;
	/** Of payload, HTTP headers included. */
	int64_t bytes;
	/** Bytes with the TCP and IP headers of segments and acknowledgements. */
	int64_t wire_bytes;
};

struct relay *relay_new (struct event_base *base, const struct dff_name *target);

void relay_free (struct relay *relay);

DFF_DEFINE_CLEANUP (relay, relay_free);

const struct dff_name *relay_address (const struct relay *relay);

struct relay_counts relay_counts (const struct relay *relay);

#endif
