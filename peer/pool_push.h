#ifndef DFF_PEER_POOL_PUSH_H
#define DFF_PEER_POOL_PUSH_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"
#include "peer/message.h"

/*
 * The pool file on its way to every process. A process that puts a generation in force announces it
 * with a heartbeat at once; one that is behind asks one of those that have it, and asks another
 * when no file comes. No process sends the file unasked: with nine processes each would get it
 * eight times.
 */

struct dff_peer;

struct dff_pool_push {
	/** In force here; 0: none. */
	int64_t generation;
	int64_t revision;
	GBytes *text;
	/** Newest generation asked for, how often, and when to ask again. */
	int64_t requested_generation;
	int32_t n_requests;
	int64_t next_request_ms;
};

void dff_pool_push_clear (struct dff_pool_push *push);

/** Takes over a generation put in force. Returns: false, and nothing changes, when it is not newer.
 */
bool dff_pool_push_set (struct dff_pool_push *push,
			int64_t generation,
			int64_t revision,
			struct dff_str text);

/** Asks for the newest generation that is known of when this process is behind. */
void dff_pool_push_request (struct dff_peer *peer);

/** Answers a process that asked for @generation or newer. */
void
dff_pool_push_answer (struct dff_peer *peer, const struct dff_name *requester, int64_t generation);

/** Takes a file in and hands a newer one on. */
void dff_pool_push_receive (struct dff_peer *peer, const struct dff_pool_file *file);

#endif
