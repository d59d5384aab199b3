#ifndef DFF_PEER_ZMQ_ZAP_H
#define DFF_PEER_ZMQ_ZAP_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/cleanup.h"

/* Answers ZeroMQ's question, for each new connection, whether its key may come in (ZAP, RFC 27). It
 * runs on the loop, in the thread of the sockets it answers for. */

#define DFF_ZMQ_ZAP_DOMAIN "dragonflyfold"

struct dff_zmq_zap;

/** @key: 32 bytes. Returns: whether the key may come in. */
typedef bool (*dff_zmq_zap_func) (void *ctx, const uint8_t *key);

/** Returns: (nullable): NULL with zmq_errno() set. To be called before a socket of @context is
 * bound. */
struct dff_zmq_zap *
dff_zmq_zap_new (void *context, struct event_base *base, dff_zmq_zap_func is_known, void *ctx);

void dff_zmq_zap_free (struct dff_zmq_zap *zap);

DFF_DEFINE_CLEANUP (dff_zmq_zap, dff_zmq_zap_free);

#endif
