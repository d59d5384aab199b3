#include "peer/zmq_zap.h"

#include <string.h>
#include <zmq.h>

#include "common/log.h"
#include "peer/zmq_keys.h"

#define ENDPOINT "inproc://zeromq.zap.01"
#define VERSION "1.0"
#define MECHANISM "CURVE"

/** Frames of a request: version, request id, domain, address, identity, mechanism, key. */
#define REQUEST_FRAMES 7
#define FRAME_MAX 256

struct dff_zmq_zap {
	void *socket;
	struct event *readable;
	dff_zmq_zap_func is_known;
	void *ctx;
};

struct frame {
	uint8_t data[FRAME_MAX];
	size_t len;
};

struct zap_request {
	struct frame frames[REQUEST_FRAMES];
	int n_frames;
};

/* Returns: false when there is no request. */
static bool
receive_request (void *socket, struct zap_request *request)
{
	request->n_frames = 0;
	int more = 1;
	while (more) {
		struct frame rest;
		struct frame *frame = request->n_frames < REQUEST_FRAMES
					      ? &request->frames[request->n_frames]
					      : &rest;
		int len = zmq_recv (socket, frame->data, FRAME_MAX, ZMQ_DONTWAIT);
		if (len < 0)
			return false;
		frame->len = MIN ((size_t)len, (size_t)FRAME_MAX);
		request->n_frames++;
		size_t size = sizeof (more);
		zmq_getsockopt (socket, ZMQ_RCVMORE, &more, &size);
	}
	return true;
}

static bool
frame_is (const struct frame *frame, const char *text)
{
	return frame->len == strlen (text) && memcmp (frame->data, text, frame->len) == 0;
}

static bool
is_authorized (const struct dff_zmq_zap *zap, const struct zap_request *request)
{
	const struct frame *frames = request->frames;
	if (request->n_frames != REQUEST_FRAMES || !frame_is (&frames[0], VERSION))
		return false;
	if (!frame_is (&frames[2], DFF_ZMQ_ZAP_DOMAIN) || !frame_is (&frames[5], MECHANISM))
		return false;
	return frames[6].len == DFF_ZMQ_KEY_SIZE && zap->is_known (zap->ctx, frames[6].data);
}

static void
send_text (void *socket, const char *text, int flags)
{
	zmq_send (socket, text, strlen (text), ZMQ_DONTWAIT | flags);
}

static void
answer (const struct dff_zmq_zap *zap, const struct zap_request *request)
{
	bool known = is_authorized (zap, request);
	const struct frame *address = &request->frames[3];
	if (!known) {
		dff_log (DFF_LOG_PEER, DFF_LOG_INFO,
			 "Peer connection refused: unknown key. address=%.*s", (int)address->len,
			 (const char *)address->data);
	}
	send_text (zap->socket, VERSION, ZMQ_SNDMORE);
	const struct frame *id = &request->frames[1];
	zmq_send (zap->socket, id->data, id->len, ZMQ_DONTWAIT | ZMQ_SNDMORE);
	/* 300 (temporary failure), not 400: the instance list lags, and the key of a process that
	 * has just started may be listed a moment later. After 400 ZeroMQ never reconnects, and the
	 * two processes would stay disconnected. */
	send_text (zap->socket, known ? "200" : "300", ZMQ_SNDMORE);
	send_text (zap->socket, known ? "OK" : "Unknown key", ZMQ_SNDMORE);
	/* The user id of the connection, by which the sender of each message is checked. */
	struct dff_name key = {0};
	if (known)
		key = dff_zmq_key_format (request->frames[6].data);
	send_text (zap->socket, key.data, ZMQ_SNDMORE);
	send_text (zap->socket, "", 0);
}

/* The descriptor is edge-triggered, so this handles requests until none is left. */
static void
handle_readable (evutil_socket_t fd, short what, void *ctx)
{
	(void)fd;
	(void)what;
	const struct dff_zmq_zap *zap = ctx;
	struct zap_request request = {0};
	while (receive_request (zap->socket, &request))
		answer (zap, &request);
}

static bool
start (struct dff_zmq_zap *zap, void *context, struct event_base *base)
{
	zap->socket = zmq_socket (context, ZMQ_REP);
	if (zap->socket == NULL)
		return false;
	int linger = 0;
	int fd;
	size_t size = sizeof (fd);
	if (zmq_setsockopt (zap->socket, ZMQ_LINGER, &linger, sizeof (linger)) != 0 ||
	    zmq_bind (zap->socket, ENDPOINT) != 0 ||
	    zmq_getsockopt (zap->socket, ZMQ_FD, &fd, &size) != 0)
		return false;
	zap->readable = event_new (base, fd, EV_READ | EV_PERSIST, handle_readable, zap);
	event_add (zap->readable, NULL);
	event_active (zap->readable, EV_READ, 0);
	return true;
}

struct dff_zmq_zap *
dff_zmq_zap_new (void *context, struct event_base *base, dff_zmq_zap_func is_known, void *ctx)
{
	struct dff_zmq_zap *zap = g_new0 (struct dff_zmq_zap, 1);
	zap->is_known = is_known;
	zap->ctx = ctx;
	if (start (zap, context, base))
		return zap;
	dff_zmq_zap_free (zap);
	return NULL;
}

void
dff_zmq_zap_free (struct dff_zmq_zap *zap)
{
	if (zap->readable != NULL)
		event_free (zap->readable);
	if (zap->socket != NULL)
		zmq_close (zap->socket);
	g_free (zap);
}
