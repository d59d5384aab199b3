#ifndef DFF_STANDIN_MEMORY_LINK_H
#define DFF_STANDIN_MEMORY_LINK_H

#include "relay/dispatch.h"
#include "relay/relay.h"
#include "standin/virtual_loop.h"

/* An in-memory connection between the holder and a relay, under a virtual clock, with faults. */

struct dff_memory_link;

/** Connects @relay to @dispatch. The latency is one millisecond in each direction. */
struct dff_memory_link *dff_memory_link_new (struct dff_virtual_loop *loop,
					     struct dff_dispatch *dispatch,
					     struct dff_relay *relay);

/** Disconnects both ends, where they are still connected. Messages in transit are dropped. */
void dff_memory_link_free (struct dff_memory_link *link);

DFF_DEFINE_CLEANUP (dff_memory_link, dff_memory_link_free);

/** While @silent, messages in both directions are dropped, and neither end is disconnected. */
void dff_memory_link_silence (struct dff_memory_link *link, bool silent);

/** Sends bytes to the holder's end as if the relay had sent them. */
void dff_memory_link_inject (struct dff_memory_link *link, const uint8_t *data, size_t len);

/** Simulates the end of the relay's process: nothing is delivered to its end any more. */
void dff_memory_link_end_relay (struct dff_memory_link *link);

/** Returns: whether both ends are connected. */
bool dff_memory_link_is_up (const struct dff_memory_link *link);

#endif
