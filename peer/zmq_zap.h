#ifndef DFF_PEER_ZMQ_ZAP_H
#define DFF_PEER_ZMQ_ZAP_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/cleanup.h"

/* ZAP handler (RFC 27): authorizes the key of each new ZeroMQ connection. It runs on the event
 * loop, in the thread of the sockets that it serves. */

#define DFF_ZMQ_ZAP_DOMAIN "dragonflyfold"

struct dff_zmq_zap;

/** @key: 32 bytes. Returns: whether the key is authorized. */
typedef bool (*dff_zmq_zap_func) (void *ctx, const uint8_t *key);

/** Must be called before a socket of @context is bound. Returns: (nullable): NULL on failure, with
 * zmq_errno() set. */
struct dff_zmq_zap *
dff_zmq_zap_new (void *context, struct event_base *base, dff_zmq_zap_func is_known, void *ctx);

void dff_zmq_zap_free (struct dff_zmq_zap *zap);

DFF_DEFINE_CLEANUP (dff_zmq_zap, dff_zmq_zap_free);

#endif
