#ifndef DFF_STANDIN_MEMORY_LINK_H
#define DFF_STANDIN_MEMORY_LINK_H

#include "relay/dispatch.h"
#include "relay/relay.h"
#include "standin/virtual_loop.h"

/* A connection in memory between a process that decides and one of its relays, under a virtual
 * clock, with faults. */

struct dff_memory_link;

/** Connects @relay to @dispatch. Each way takes a millisecond. */
struct dff_memory_link *dff_memory_link_new (struct dff_virtual_loop *loop,
					     struct dff_dispatch *dispatch,
					     struct dff_relay *relay);

/** Ends that are still connected are told so. Messages under way are dropped. */
void dff_memory_link_free (struct dff_memory_link *link);

DFF_DEFINE_CLEANUP (dff_memory_link, dff_memory_link_free);

/** Has messages of both directions be lost, and nobody told. */
void dff_memory_link_silence (struct dff_memory_link *link, bool silent);

/** Passes bytes to the end at the deciding process, as if the relay had sent them. */
void dff_memory_link_inject (struct dff_memory_link *link, const uint8_t *data, size_t len);

/** The relay's process is gone: its end is not told of anything any more. */
void dff_memory_link_end_relay (struct dff_memory_link *link);

/** Returns: whether both ends are connected. */
bool dff_memory_link_is_up (const struct dff_memory_link *link);

#endif
