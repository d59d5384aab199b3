#ifndef DFF_PEER_ZMQ_TRANSPORT_H
#define DFF_PEER_ZMQ_TRANSPORT_H

#include <event2/event.h>
#include <glib.h>

#include "common/cleanup.h"
#include "common/metrics.h"
#include "peer/peer.h"

/*
 * The peer transport over ZeroMQ with CURVE: one bound ROUTER socket, and one DEALER socket for
 * each member that messages are sent to. A peer whose public key is not in the instance list is
 * refused at the handshake. Queues are bounded; messages that do not fit are dropped. ZeroMQ does
 * its I/O on a thread of its own; this module runs on the thread of the event loop.
 */

struct dff_zmq_transport;

#define DFF_ZMQ_TRANSPORT_ERROR (dff_zmq_transport_error_quark ())

enum dff_zmq_transport_error {
	/** A key of this process is not 43 characters of base64url. */
	DFF_ZMQ_TRANSPORT_ERROR_KEY,
	/** A socket could not be set up or bound. */
	DFF_ZMQ_TRANSPORT_ERROR_SOCKET,
};

GQuark dff_zmq_transport_error_quark (void);

typedef void (*dff_peer_receive_func) (void *ctx, const uint8_t *data, size_t len);

struct dff_zmq_transport_options {
	struct event_base *base;
	struct dff_metrics *metrics;
	/** "IP:PORT" to bind; port 0: any free port. */
	struct dff_name listen;
	/** base64url without padding, 43 characters each. */
	struct dff_name public_key;
	struct dff_name secret_key;
	/** Interval of probes on each connection, ms; 0: the default, 3000. A connection is
	 * replaced when a probe is not answered within probe_timeout_ms; 0: the default, 2000. */
	int32_t probe_interval_ms;
	int32_t probe_timeout_ms;
	dff_peer_receive_func receive;
	void *receive_ctx;
};

struct dff_zmq_transport *dff_zmq_transport_new (const struct dff_zmq_transport_options *options,
						 GError **error);

void dff_zmq_transport_free (struct dff_zmq_transport *transport);

DFF_DEFINE_CLEANUP (dff_zmq_transport, dff_zmq_transport_free);

/** Returns: the interface for dff_peer_options. */
struct dff_peer_transport dff_zmq_transport_interface (struct dff_zmq_transport *transport);

/** Returns: the bound "IP:PORT" with the actual port. */
struct dff_name dff_zmq_transport_endpoint (const struct dff_zmq_transport *transport);

/** Replaces the set of known peers. Connections to other processes are closed, new connections from
 * them refused and their messages dropped. As the list lags, an unlisted peer stays known until no
 * message has come from it for 20 to 40 s. */
void dff_zmq_transport_set_instances (struct dff_zmq_transport *transport,
				      const struct dff_instance *instances,
				      size_t n_instances);

/** Generates a CURVE key pair, base64url without padding. */
void dff_zmq_keypair (struct dff_name *public_key, struct dff_name *secret_key);

#endif
