#include "peer/zmq_transport.h"

#include <errno.h>
#include <sodium.h>
#include <string.h>
#include <zmq.h>

#include "common/log.h"
#include "peer/message.h"
#include "peer/zmq_keys.h"
#include "peer/zmq_zap.h"

/** Most messages in one queue. */
#define QUEUE_MAX 64

/** Most messages received in one iteration of the event loop. */
#define RECEIVE_BATCH 256

#define RECONNECT_MS 100
#define RECONNECT_MAX_MS 2000
#define CONNECT_TIMEOUT_MS 2000
/** A refused peer gets no answer and retries after this time. */
#define HANDSHAKE_TIMEOUT_MS 1000
#define PROBE_INTERVAL_MS 3000
#define PROBE_TIMEOUT_MS 2000

/** Interval of idle checks, s. A check closes connections on which nothing was sent since the last
 * one. */
#define IDLE_S 20

/** An unlisted peer is dropped after this many idle checks without a message from it. */
#define SILENT_CHECKS_MAX 2

struct zmq_peer {
	struct dff_instance instance;
	uint8_t key[DFF_ZMQ_KEY_SIZE];
	/** NULL: not connected. */
	void *dealer;
	/** A message was sent to the peer since the last idle check. */
	bool used;
	/** Idle checks since the last message from the peer, at most SILENT_CHECKS_MAX. */
	int32_t silent_checks;
	bool listed;
};

struct dff_zmq_transport {
	struct dff_zmq_transport_options options;
	uint8_t public_key[DFF_ZMQ_KEY_SIZE];
	uint8_t secret_key[DFF_ZMQ_KEY_SIZE];
	struct dff_name endpoint;
	void *context;
	void *router;
	struct dff_zmq_zap *zap;
	struct event *readable;
	struct event *idle_check;
	/** Peer id to struct zmq_peer; the key points into the value. */
	GHashTable *peers;
	int64_t *n_dropped;
	int64_t *n_reset;
	int64_t *n_refused;
};

GQuark
dff_zmq_transport_error_quark (void)
{
	return g_quark_from_static_string ("dff-zmq-transport-error-quark");
}

static bool
set_int (void *socket, int option, int value)
{
	return zmq_setsockopt (socket, option, &value, sizeof (value)) == 0;
}

static bool
set_common_options (const struct dff_zmq_transport *transport, void *socket)
{
	return set_int (socket, ZMQ_LINGER, 0) && set_int (socket, ZMQ_SNDHWM, QUEUE_MAX) &&
	       set_int (socket, ZMQ_RCVHWM, QUEUE_MAX) &&
	       set_int (socket, ZMQ_HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS) &&
	       zmq_setsockopt (socket, ZMQ_CURVE_SECRETKEY, transport->secret_key,
			       sizeof (transport->secret_key)) == 0;
}

static bool
set_router_options (const struct dff_zmq_transport *transport)
{
	int64_t max_size = DFF_MESSAGE_MAX_BYTES;
	return set_common_options (transport, transport->router) &&
	       set_int (transport->router, ZMQ_CURVE_SERVER, 1) &&
	       zmq_setsockopt (transport->router, ZMQ_MAXMSGSIZE, &max_size, sizeof (max_size)) ==
		       0 &&
	       zmq_setsockopt (transport->router, ZMQ_ZAP_DOMAIN, DFF_ZMQ_ZAP_DOMAIN,
			       strlen (DFF_ZMQ_ZAP_DOMAIN)) == 0;
}

/* A middlebox may drop the state of an open connection: nothing arrives any more, and no error is
 * reported. ZeroMQ's probes detect that and reconnect. Only the connecting end probes, and sends
 * the other end the time to wait for the next probe. Probes from both ends would cost twice as much
 * without detecting more. */
static bool
set_probe_options (const struct dff_zmq_transport *transport, void *dealer)
{
	int interval_ms = transport->options.probe_interval_ms;
	int timeout_ms = transport->options.probe_timeout_ms;
	return set_int (dealer, ZMQ_HEARTBEAT_IVL, interval_ms) &&
	       set_int (dealer, ZMQ_HEARTBEAT_TIMEOUT, timeout_ms) &&
	       set_int (dealer, ZMQ_HEARTBEAT_TTL, interval_ms + timeout_ms);
}

static bool
set_dealer_options (const struct dff_zmq_transport *transport, const struct zmq_peer *peer)
{
	void *dealer = peer->dealer;
	return set_common_options (transport, dealer) && set_probe_options (transport, dealer) &&
	       set_int (dealer, ZMQ_RECONNECT_IVL, RECONNECT_MS) &&
	       set_int (dealer, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS) &&
	       set_int (dealer, ZMQ_CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS) &&
	       zmq_setsockopt (dealer, ZMQ_CURVE_PUBLICKEY, transport->public_key,
			       sizeof (transport->public_key)) == 0 &&
	       zmq_setsockopt (dealer, ZMQ_CURVE_SERVERKEY, peer->key, sizeof (peer->key)) == 0;
}

static void
disconnect_peer (struct zmq_peer *peer)
{
	if (peer->dealer != NULL)
		zmq_close (peer->dealer);
	peer->dealer = NULL;
}

static void
peer_free (gpointer data)
{
	struct zmq_peer *peer = data;
	disconnect_peer (peer);
	g_free (peer);
}

static void
connect_peer (const struct dff_zmq_transport *transport, struct zmq_peer *peer)
{
	peer->dealer = zmq_socket (transport->context, ZMQ_DEALER);
	if (peer->dealer == NULL)
		return;
	g_autofree char *endpoint = g_strdup_printf ("tcp://%s", peer->instance.peer_address.data);
	if (set_dealer_options (transport, peer) && zmq_connect (peer->dealer, endpoint) == 0)
		return;
	dff_log (DFF_LOG_PEER, DFF_LOG_WARNING, "Connection to peer failed. member=%s error=\"%s\"",
		 peer->instance.id.data, zmq_strerror (zmq_errno ()));
	disconnect_peer (peer);
}

static bool
try_send (void *dealer, const uint8_t *data, size_t len)
{
	return zmq_send (dealer, data, len, ZMQ_DONTWAIT) >= 0;
}

static void
send_to_peer (void *ctx, const struct dff_instance *member, const uint8_t *data, size_t len)
{
	struct dff_zmq_transport *transport = ctx;
	struct zmq_peer *peer = g_hash_table_lookup (transport->peers, &member->id);
	if (peer == NULL) {
		*transport->n_dropped += 1;
		return;
	}
	peer->used = true;
	if (peer->dealer == NULL)
		connect_peer (transport, peer);
	if (peer->dealer == NULL || try_send (peer->dealer, data, len))
		return;
	/* The queue is full because the peer does not receive. Its messages would be outdated when
	 * the peer receives them, and would arrive before the new ones. */
	*transport->n_reset += 1;
	disconnect_peer (peer);
	connect_peer (transport, peer);
	if (peer->dealer == NULL || !try_send (peer->dealer, data, len))
		*transport->n_dropped += 1;
}

struct dff_peer_transport
dff_zmq_transport_interface (struct dff_zmq_transport *transport)
{
	struct dff_peer_transport interface = {.send = send_to_peer, .ctx = transport};
	return interface;
}

static struct zmq_peer *
find_peer_by_key (const struct dff_zmq_transport *transport, const char *key)
{
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, transport->peers);
	while (g_hash_table_iter_next (&iter, NULL, &value)) {
		struct zmq_peer *peer = value;
		if (g_str_equal (peer->instance.peer_key.data, key))
			return peer;
	}
	return NULL;
}

/* An incoming connection stays open when its key is removed from the list; its messages are
 * dropped. */
static void
deliver (struct dff_zmq_transport *transport, zmq_msg_t *payload)
{
	const char *key = zmq_msg_gets (payload, "User-Id");
	struct zmq_peer *peer = key != NULL ? find_peer_by_key (transport, key) : NULL;
	if (peer == NULL) {
		*transport->n_dropped += 1;
		return;
	}
	peer->silent_checks = 0;
	transport->options.receive (transport->options.receive_ctx, zmq_msg_data (payload),
				    zmq_msg_size (payload));
}

/* Receives one message of two frames: the identity that ROUTER prepends, and the payload. Returns:
 * false when there is no message. */
static bool
receive_one (struct dff_zmq_transport *transport)
{
	zmq_msg_t frame;
	zmq_msg_init (&frame);
	if (zmq_msg_recv (&frame, transport->router, ZMQ_DONTWAIT) < 0) {
		zmq_msg_close (&frame);
		return false;
	}
	int n_frames = 1;
	while (zmq_msg_more (&frame)) {
		if (zmq_msg_recv (&frame, transport->router, ZMQ_DONTWAIT) < 0)
			break;
		n_frames++;
	}
	if (n_frames == 2)
		deliver (transport, &frame);
	else
		*transport->n_dropped += 1;
	zmq_msg_close (&frame);
	return true;
}

/* ZeroMQ's descriptor is edge-triggered: messages that are left in the queue would stay there until
 * the next one arrives. So this receives until the queue is empty, or schedules itself again. */
static void
handle_readable (evutil_socket_t fd, short what, void *ctx)
{
	(void)fd;
	(void)what;
	struct dff_zmq_transport *transport = ctx;
	for (int i = 0; i < RECEIVE_BATCH; i++) {
		if (!receive_one (transport))
			return;
	}
	event_active (transport->readable, EV_READ, 0);
}

static void
handle_idle_check (evutil_socket_t fd, short what, void *ctx)
{
	(void)fd;
	(void)what;
	struct dff_zmq_transport *transport = ctx;
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, transport->peers);
	while (g_hash_table_iter_next (&iter, NULL, &value)) {
		struct zmq_peer *peer = value;
		if (!peer->used)
			disconnect_peer (peer);
		peer->used = false;
		peer->silent_checks = MIN (peer->silent_checks + 1, SILENT_CHECKS_MAX);
		if (!peer->listed && peer->silent_checks == SILENT_CHECKS_MAX)
			g_hash_table_iter_remove (&iter);
	}
}

static bool
key_is_known (void *ctx, const uint8_t *key)
{
	struct dff_zmq_transport *transport = ctx;
	struct dff_name text = dff_zmq_key_format (key);
	if (find_peer_by_key (transport, text.data) != NULL)
		return true;
	*transport->n_refused += 1;
	return false;
}

static bool
bind_router (struct dff_zmq_transport *transport)
{
	transport->router = zmq_socket (transport->context, ZMQ_ROUTER);
	if (transport->router == NULL || !set_router_options (transport))
		return false;
	g_autofree char *endpoint = g_strdup_printf ("tcp://%s", transport->options.listen.data);
	if (zmq_bind (transport->router, endpoint) != 0)
		return false;
	char bound[256];
	size_t size = sizeof (bound);
	if (zmq_getsockopt (transport->router, ZMQ_LAST_ENDPOINT, bound, &size) != 0)
		return false;
	const char *address = bound + strlen ("tcp://");
	return dff_name_parse (dff_str_from (address), &transport->endpoint);
}

static bool
start (struct dff_zmq_transport *transport)
{
	transport->context = zmq_ctx_new ();
	if (transport->context == NULL)
		return false;
	/* Must precede binding of the ROUTER: without a ZAP handler ZeroMQ accepts every key. */
	transport->zap = dff_zmq_zap_new (transport->context, transport->options.base, key_is_known,
					  transport);
	if (transport->zap == NULL || !bind_router (transport))
		return false;
	int fd;
	size_t size = sizeof (fd);
	if (zmq_getsockopt (transport->router, ZMQ_FD, &fd, &size) != 0)
		return false;
	struct event_base *base = transport->options.base;
	transport->readable =
		event_new (base, fd, EV_READ | EV_PERSIST, handle_readable, transport);
	transport->idle_check = event_new (base, -1, EV_PERSIST, handle_idle_check, transport);
	struct timeval interval = {.tv_sec = IDLE_S};
	event_add (transport->idle_check, &interval);
	event_add (transport->readable, NULL);
	/* The edge of messages that arrived before event_add() is already over. */
	event_active (transport->readable, EV_READ, 0);
	return true;
}

static void
set_up (struct dff_zmq_transport *transport, const struct dff_zmq_transport_options *options)
{
	transport->options = *options;
	if (transport->options.probe_interval_ms == 0)
		transport->options.probe_interval_ms = PROBE_INTERVAL_MS;
	if (transport->options.probe_timeout_ms == 0)
		transport->options.probe_timeout_ms = PROBE_TIMEOUT_MS;
	transport->peers =
		g_hash_table_new_full (dff_name_hash, dff_name_equal_func, NULL, peer_free);
	transport->n_dropped =
		dff_metrics_counter (options->metrics, "dff_peer_transport_dropped_total",
				     "Messages to or from peers dropped");
	transport->n_reset =
		dff_metrics_counter (options->metrics, "dff_peer_transport_reset_total",
				     "Connections to peers dropped with a full queue");
	transport->n_refused = dff_metrics_counter (options->metrics, "dff_peer_refused_total",
						    "Connections refused for an unknown key");
}

struct dff_zmq_transport *
dff_zmq_transport_new (const struct dff_zmq_transport_options *options, GError **error)
{
	DFF_AUTO (dff_zmq_transport) transport = g_new0 (struct dff_zmq_transport, 1);
	set_up (transport, options);
	if (!dff_zmq_key_parse (&options->public_key, transport->public_key) ||
	    !dff_zmq_key_parse (&options->secret_key, transport->secret_key)) {
		g_set_error_literal (error, DFF_ZMQ_TRANSPORT_ERROR, DFF_ZMQ_TRANSPORT_ERROR_KEY,
				     "peer keys: expected 43 characters of base64url each");
		return NULL;
	}
	if (!start (transport)) {
		g_set_error (error, DFF_ZMQ_TRANSPORT_ERROR, DFF_ZMQ_TRANSPORT_ERROR_SOCKET,
			     "cannot open peer socket on %s: %s", options->listen.data,
			     zmq_strerror (zmq_errno ()));
		return NULL;
	}
	return g_steal_pointer (&transport);
}

void
dff_zmq_transport_free (struct dff_zmq_transport *transport)
{
	if (transport->readable != NULL)
		event_free (transport->readable);
	if (transport->idle_check != NULL)
		event_free (transport->idle_check);
	g_hash_table_destroy (transport->peers);
	if (transport->router != NULL)
		zmq_close (transport->router);
	if (transport->zap != NULL)
		dff_zmq_zap_free (transport->zap);
	if (transport->context != NULL)
		zmq_ctx_term (transport->context);
	sodium_memzero (transport->secret_key, sizeof (transport->secret_key));
	sodium_memzero (&transport->options.secret_key, sizeof (transport->options.secret_key));
	g_free (transport);
}

struct dff_name
dff_zmq_transport_endpoint (const struct dff_zmq_transport *transport)
{
	return transport->endpoint;
}

static bool
same_endpoint (const struct zmq_peer *peer, const struct dff_instance *instance)
{
	return dff_name_equal (&peer->instance.peer_address, &instance->peer_address) &&
	       dff_name_equal (&peer->instance.peer_key, &instance->peer_key);
}

/* Moves the peer of @instance from @old to @fresh, or adds a new one to @fresh. */
static void
keep_or_add_peer (GHashTable *old, GHashTable *fresh, const struct dff_instance *instance)
{
	struct zmq_peer *peer = g_hash_table_lookup (old, &instance->id);
	if (peer != NULL && same_endpoint (peer, instance)) {
		g_hash_table_steal (old, &instance->id);
	} else {
		peer = g_new0 (struct zmq_peer, 1);
		peer->instance = *instance;
		peer->silent_checks = SILENT_CHECKS_MAX;
		if (!dff_zmq_key_parse (&instance->peer_key, peer->key)) {
			g_free (peer);
			return;
		}
	}
	peer->listed = true;
	g_hash_table_replace (fresh, &peer->instance.id, peer);
}

/* Keeps an unlisted peer that still sends messages, because the list lags. */
static gboolean
keep_active_peer (gpointer key, gpointer value, gpointer fresh)
{
	struct zmq_peer *peer = value;
	if (peer->silent_checks == SILENT_CHECKS_MAX || g_hash_table_contains (fresh, key))
		return FALSE;
	peer->listed = false;
	g_hash_table_replace (fresh, &peer->instance.id, peer);
	return TRUE;
}

void
dff_zmq_transport_set_instances (struct dff_zmq_transport *transport,
				 const struct dff_instance *instances,
				 size_t n_instances)
{
	GHashTable *old = transport->peers;
	GHashTable *fresh =
		g_hash_table_new_full (dff_name_hash, dff_name_equal_func, NULL, peer_free);
	for (size_t i = 0; i < n_instances; i++) {
		if (instances[i].role == DFF_INSTANCE_ENTRY)
			keep_or_add_peer (old, fresh, &instances[i]);
	}
	g_hash_table_foreach_steal (old, keep_active_peer, fresh);
	transport->peers = fresh;
	g_hash_table_destroy (old);
}
