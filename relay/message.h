#ifndef DFF_RELAY_MESSAGE_H
#define DFF_RELAY_MESSAGE_H

#include <glib.h>

#include "relay/relay.pb-c.h"
#include "upstream/runner.h"

/* Batches of calls and answers between the holder and a relay, and their conversion to and from the
 * types of the runner. */

/** A batch that collects calls and answers until it is sent. Everything that is added is copied. */
struct relay_batch;

struct relay_batch *relay_batch_new (void);

void relay_batch_free (struct relay_batch *batch);

bool relay_batch_is_empty (const struct relay_batch *batch);

/** @kind: DFF__RELAY__KIND__START or DFF__RELAY__KIND__STOP. */
void relay_batch_add_order (struct relay_batch *batch,
			    uint64_t id,
			    Dff__Relay__Kind kind,
			    const struct dff_run_order *order);

void
relay_batch_add_watch (struct relay_batch *batch, uint64_t id, const struct dff_run_watch *watch);

void relay_batch_add_answer (struct relay_batch *batch,
			     uint64_t id,
			     const struct dff_runner_result *result);

void relay_batch_set_name (struct relay_batch *batch, const struct dff_name *name);

void relay_batch_set_leaving (struct relay_batch *batch, bool leaving);

/** Returns: (transfer full): the batch in its encoded form. Afterwards the batch has no calls and
 * no answers; the sender's name and leaving flag stay. */
GByteArray *relay_batch_pack (struct relay_batch *batch);

/** Default of the memory that a decoded batch may take, bytes: several times what a relay with
 * fifty workers sends at most. */
#define RELAY_UNPACKED_BYTES_MAX (24 << 20)

/**
 * relay_batch_unpack:
 * @max_bytes: maximum memory for the decoded batch
 *
 * Decodes a received batch. An empty call takes two bytes in a message and a hundred times as much
 * in memory, so the length of the message is no bound.
 *
 * Returns: (nullable): NULL if the message is malformed or takes more than @max_bytes; to be freed
 * with relay_batch_free_unpacked().
 */
Dff__Relay__Batch *relay_batch_unpack (const uint8_t *data, size_t len, size_t max_bytes);

void relay_batch_free_unpacked (Dff__Relay__Batch *batch);

/** Converts a call to @order or @watch, depending on its kind. The results refer to memory of
 * @call. Returns: whether the call's kind, times and names are valid. */
bool relay_call_read (const Dff__Relay__Call *call,
		      struct dff_run_order *order,
		      struct dff_run_watch *watch);

typedef void (*relay_answer_func) (void *user, const struct dff_runner_result *result);

/** Converts an answer and passes it to @done; the result is valid during this callback only. An
 * unrecognized outcome of the call becomes DFF_RUNNER_UNKNOWN, an unrecognized end of a run
 * DFF_RUN_STOPPED. */
void relay_answer_read (const Dff__Relay__Answer *answer, relay_answer_func done, void *user);

/** Parses a name. @name: (out): empty if @bytes is not a valid name. Returns: whether it is valid.
 */
bool relay_name_read (const ProtobufCBinaryData *bytes, struct dff_name *name);

#endif
