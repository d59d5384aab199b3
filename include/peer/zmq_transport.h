#ifndef DFF_PEER_ZMQ_TRANSPORT_H
#define DFF_PEER_ZMQ_TRANSPORT_H

#include <event2/event.h>
#include <glib.h>

#include "common/cleanup.h"
#include "common/metrics.h"
#include "peer/peer.h"

/* The peer transport over ZeroMQ with CURVE: one ROUTER socket bound, one DEALER for each member. A
 * peer whose public key is not in the instance list is refused at the handshake. */

struct dff_zmq_transport;

typedef void (*dff_peer_receive_func) (void *ctx, const uint8_t *data, size_t len);

struct dff_zmq_transport_options {
	struct event_base *base;
	struct dff_metrics *metrics;
	/** "IP:PORT" to bind. */
	struct dff_name listen;
	/** base64url without padding, 43 characters each. */
	struct dff_name public_key;
	struct dff_name secret_key;
	dff_peer_receive_func receive;
	void *receive_ctx;
};

struct dff_zmq_transport *dff_zmq_transport_new (const struct dff_zmq_transport_options *options,
						 GError **error);

void dff_zmq_transport_free (struct dff_zmq_transport *transport);

DFF_DEFINE_CLEANUP (dff_zmq_transport, dff_zmq_transport_free);

/** Returns: the interface that dff_peer_options takes. */
struct dff_peer_transport dff_zmq_transport_interface (struct dff_zmq_transport *transport);

/** Replaces the set of known peers: connections to others are closed, their keys refused. */
void dff_zmq_transport_set_instances (struct dff_zmq_transport *transport,
				      const struct dff_instance *instances,
				      size_t n_instances);

/** Writes a new CURVE key pair, base64url without padding. */
void dff_zmq_keypair (struct dff_name *public_key, struct dff_name *secret_key);

#endif
