#ifndef DFF_RELAY_MESSAGE_H
#define DFF_RELAY_MESSAGE_H

#include <glib.h>

#include "relay/relay.pb-c.h"
#include "upstream/runner.h"

/* Batches of calls and answers between the two ends of a relay, and the types of the runner that
 * they stand for. */

/** A batch being gathered. Adding copies what it is given. */
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

/** Returns: (transfer full): the batch as bytes; it is empty afterwards, but for what it says of
 * the sender. */
GByteArray *relay_batch_pack (struct relay_batch *batch);

/** Reads a call into one of @order and @watch, by its kind. What they refer to is @call's. Returns:
 * whether its names are well formed. */
bool relay_call_read (const Dff__Relay__Call *call,
		      struct dff_run_order *order,
		      struct dff_run_watch *watch);

typedef void (*relay_answer_func) (void *user, const struct dff_runner_result *result);

/** Reads an answer and passes it to @done, where it is valid. Outcomes and ends that are not known
 * are taken for unknown and for stopped. */
void relay_answer_read (const Dff__Relay__Answer *answer, relay_answer_func done, void *user);

/** Returns: what @bytes says. @name: (out): empty where they are no name. */
bool relay_name_read (const ProtobufCBinaryData *bytes, struct dff_name *name);

#endif
