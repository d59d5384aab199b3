#ifndef DFF_PEER_POOL_PUSH_H
#define DFF_PEER_POOL_PUSH_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"
#include "peer/message.h"

/*
 * Distribution of the pool file. A process that applies a new generation announces it with a
 * heartbeat at once. A process with an older generation requests the file from one that has it, and
 * from another one if no file comes. No process sends the file without a request: with nine
 * processes, each would receive it eight times.
 */

struct dff_peer;

struct dff_pool_push {
	/** Generation in force in this process; 0: none. */
	int64_t generation;
	int64_t revision;
	GBytes *text;
	/** Newest requested generation, number of requests for it, and time of the next one. */
	int64_t requested_generation;
	int32_t n_requests;
	int64_t next_request_ms;
};

void dff_pool_push_clear (struct dff_pool_push *push);

/** Sets the generation in force. Returns: false, without a change, if it is not newer. */
bool dff_pool_push_set (struct dff_pool_push *push,
			int64_t generation,
			int64_t revision,
			struct dff_str text);

/** Requests the newest generation that a member reports, if it is newer than this process's. */
void dff_pool_push_request (struct dff_peer *peer);

/** Answers a request for @generation or a newer one. */
void
dff_pool_push_answer (struct dff_peer *peer, const struct dff_name *requester, int64_t generation);

/** Handles a received file; a newer one goes to the pool_received callback. */
void dff_pool_push_receive (struct dff_peer *peer, const struct dff_pool_file *file);

#endif
