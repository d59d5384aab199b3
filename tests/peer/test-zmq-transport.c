#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <string.h>

#include "peer/zmq_transport.h"

/* Real sockets on loopback. Tests wait for events without a timeout; the time limit of the test
 * program ends a test that hangs. */

struct end {
	struct dff_zmq_transport *transport;
	struct dff_metrics *metrics;
	struct dff_instance instance;
	struct dff_name secret_key;
	int32_t n_received;
	char last[64];
};

static void
receive (void *ctx, const uint8_t *data, size_t len)
{
	struct end *end = ctx;
	assert_true (len < sizeof (end->last));
	memcpy (end->last, data, len);
	end->last[len] = '\0';
	end->n_received++;
}

static struct dff_zmq_transport_options
options_of (struct event_base *base, struct end *end)
{
	struct dff_zmq_transport_options options = {
		.base = base,
		.metrics = end->metrics,
		.listen = dff_name_from ("127.0.0.1:0"),
		.public_key = end->instance.peer_key,
		.secret_key = end->secret_key,
		.probe_interval_ms = 200,
		.probe_timeout_ms = 200,
		.receive = receive,
		.receive_ctx = end,
	};
	return options;
}

static void
open_end (struct event_base *base, struct end *end, const char *id)
{
	memset (end, 0, sizeof (*end));
	end->metrics = dff_metrics_new ();
	end->instance.id = dff_name_from (id);
	end->instance.role = DFF_INSTANCE_ENTRY;
	dff_zmq_keypair (&end->instance.peer_key, &end->secret_key);
	struct dff_zmq_transport_options options = options_of (base, end);
	g_autoptr (GError) error = NULL;
	end->transport = dff_zmq_transport_new (&options, &error);
	assert_non_null (end->transport);
	end->instance.peer_address = dff_zmq_transport_endpoint (end->transport);
}

static void
close_end (struct end *end)
{
	dff_zmq_transport_free (end->transport);
	dff_metrics_free (end->metrics);
}

static void
send_text (struct end *from, const struct dff_instance *to, const char *text)
{
	struct dff_peer_transport interface = dff_zmq_transport_interface (from->transport);
	interface.send (interface.ctx, to, (const uint8_t *)text, strlen (text));
}

static void
wait_for (struct event_base *base, const struct end *end, const char *text)
{
	while (strcmp (end->last, text) != 0)
		event_base_loop (base, EVLOOP_ONCE);
}

static void
test_messages_both_ways (void **state)
{
	(void)state;
	struct event_base *base = event_base_new ();
	struct end a;
	struct end b;
	open_end (base, &a, "a");
	open_end (base, &b, "b");
	struct dff_instance both[] = {a.instance, b.instance};
	dff_zmq_transport_set_instances (a.transport, both, 2);
	dff_zmq_transport_set_instances (b.transport, both, 2);
	send_text (&a, &b.instance, "to b");
	wait_for (base, &b, "to b");
	send_text (&b, &a.instance, "to a");
	wait_for (base, &a, "to a");
	close_end (&a);
	close_end (&b);
	event_base_free (base);
}

/* Guards against messages that stay in ZeroMQ's queue until another one arrives: many arrive
 * between two iterations of the event loop, and the descriptor is raised once, not once per
 * message. */
static void
test_many_messages_in_one_loop_turn (void **state)
{
	(void)state;
	struct event_base *base = event_base_new ();
	struct end b;
	struct end senders[8];
	struct dff_instance all[9];
	open_end (base, &b, "b");
	all[8] = b.instance;
	for (int i = 0; i < 8; i++) {
		open_end (base, &senders[i],
			  (const char *[]){"s0", "s1", "s2", "s3", "s4", "s5", "s6", "s7"}[i]);
		all[i] = senders[i].instance;
	}
	dff_zmq_transport_set_instances (b.transport, all, 9);
	for (int i = 0; i < 8; i++) {
		dff_zmq_transport_set_instances (senders[i].transport, all, 9);
		for (int j = 0; j < 60; j++)
			send_text (&senders[i], &b.instance, "x");
	}
	while (b.n_received < 8 * 60)
		event_base_loop (base, EVLOOP_ONCE);
	for (int i = 0; i < 8; i++)
		close_end (&senders[i]);
	close_end (&b);
	event_base_free (base);
}

/* Guards against a new process that can never connect to a peer: it connects before its key is in
 * the peer's copy of the list, is refused, and ZeroMQ treats the refusal as final. */
static void
test_unknown_key_is_refused_until_listed (void **state)
{
	(void)state;
	struct event_base *base = event_base_new ();
	struct end a;
	struct end b;
	open_end (base, &a, "a");
	open_end (base, &b, "b");
	dff_zmq_transport_set_instances (a.transport, &b.instance, 1);
	int64_t *refused = dff_metrics_counter (b.metrics, "dff_peer_refused_total", "");
	send_text (&a, &b.instance, "hello");
	while (*refused < 2)
		event_base_loop (base, EVLOOP_ONCE);
	assert_int_equal (b.n_received, 0);
	dff_zmq_transport_set_instances (b.transport, &a.instance, 1);
	wait_for (base, &b, "hello");
	close_end (&a);
	close_end (&b);
	event_base_free (base);
}

/* Guards against dropping a running peer that the lagging instance list omits for a while although
 * its messages arrive. */
static void
test_active_peer_stays_when_unlisted (void **state)
{
	(void)state;
	struct event_base *base = event_base_new ();
	struct end a;
	struct end b;
	open_end (base, &a, "a");
	open_end (base, &b, "b");
	dff_zmq_transport_set_instances (a.transport, &b.instance, 1);
	dff_zmq_transport_set_instances (b.transport, &a.instance, 1);
	send_text (&a, &b.instance, "first");
	wait_for (base, &b, "first");
	dff_zmq_transport_set_instances (b.transport, NULL, 0);
	send_text (&a, &b.instance, "second");
	wait_for (base, &b, "second");
	send_text (&b, &a.instance, "back");
	wait_for (base, &a, "back");
	close_end (&a);
	close_end (&b);
	event_base_free (base);
}

/* Guards against accepting messages of a process whose key was replaced in the list after it
 * connected: ZeroMQ checks keys only at the handshake. */
static void
test_messages_of_replaced_key_are_dropped (void **state)
{
	(void)state;
	struct event_base *base = event_base_new ();
	struct end a;
	struct end b;
	open_end (base, &a, "a");
	open_end (base, &b, "b");
	dff_zmq_transport_set_instances (a.transport, &b.instance, 1);
	dff_zmq_transport_set_instances (b.transport, &a.instance, 1);
	send_text (&a, &b.instance, "first");
	wait_for (base, &b, "first");
	struct dff_instance replaced = a.instance;
	struct dff_name secret;
	dff_zmq_keypair (&replaced.peer_key, &secret);
	dff_zmq_transport_set_instances (b.transport, &replaced, 1);
	int64_t *dropped = dff_metrics_counter (b.metrics, "dff_peer_transport_dropped_total", "");
	send_text (&a, &b.instance, "second");
	while (*dropped == 0)
		event_base_loop (base, EVLOOP_ONCE);
	assert_string_equal (b.last, "first");
	close_end (&a);
	close_end (&b);
	event_base_free (base);
}

static void
test_bad_settings_are_errors (void **state)
{
	(void)state;
	struct event_base *base = event_base_new ();
	struct end a;
	open_end (base, &a, "a");
	g_autoptr (GError) error = NULL;
	struct dff_zmq_transport_options options = options_of (base, &a);
	options.secret_key = dff_name_from ("short");
	assert_null (dff_zmq_transport_new (&options, &error));
	assert_true (g_error_matches (error, DFF_ZMQ_TRANSPORT_ERROR, DFF_ZMQ_TRANSPORT_ERROR_KEY));
	g_clear_error (&error);
	options.secret_key = a.secret_key;
	options.listen = a.instance.peer_address;
	assert_null (dff_zmq_transport_new (&options, &error));
	assert_true (
		g_error_matches (error, DFF_ZMQ_TRANSPORT_ERROR, DFF_ZMQ_TRANSPORT_ERROR_SOCKET));
	close_end (&a);
	event_base_free (base);
}

/* Forwards bytes between a client and a server; a frozen connection swallows them. */
struct middlebox {
	struct event_base *base;
	struct evconnlistener *listener;
	struct sockaddr_in server;
	struct flow *flows[64];
	int32_t n_flows;
};

struct flow {
	bool frozen;
	struct bufferevent *ends[2];
};

static void
forward (struct bufferevent *from, void *ctx)
{
	const struct flow *flow = ctx;
	struct bufferevent *to = flow->ends[from == flow->ends[0]];
	struct evbuffer *input = bufferevent_get_input (from);
	if (flow->frozen)
		evbuffer_drain (input, evbuffer_get_length (input));
	else
		bufferevent_write_buffer (to, input);
}

static void
accept_flow (struct evconnlistener *listener,
	     evutil_socket_t fd,
	     struct sockaddr *address,
	     int len,
	     void *ctx)
{
	(void)listener;
	(void)address;
	(void)len;
	struct middlebox *box = ctx;
	assert_true (box->n_flows < (int32_t)G_N_ELEMENTS (box->flows));
	struct flow *flow = g_new0 (struct flow, 1);
	box->flows[box->n_flows++] = flow;
	flow->ends[0] = bufferevent_socket_new (box->base, fd, BEV_OPT_CLOSE_ON_FREE);
	flow->ends[1] = bufferevent_socket_new (box->base, -1, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_socket_connect (flow->ends[1], (struct sockaddr *)&box->server,
				    sizeof (box->server));
	for (int i = 0; i < 2; i++) {
		bufferevent_setcb (flow->ends[i], forward, NULL, NULL, flow);
		bufferevent_enable (flow->ends[i], EV_READ | EV_WRITE);
	}
}

/* Returns: the address that the middlebox listens on. */
static struct dff_name
middlebox_open (struct middlebox *box, struct event_base *base, const struct dff_name *server)
{
	memset (box, 0, sizeof (*box));
	box->base = base;
	int len = sizeof (box->server);
	evutil_parse_sockaddr_port (server->data, (struct sockaddr *)&box->server, &len);
	struct sockaddr_in any = box->server;
	any.sin_port = 0;
	box->listener = evconnlistener_new_bind (base, accept_flow, box, LEV_OPT_CLOSE_ON_FREE, -1,
						 (struct sockaddr *)&any, sizeof (any));
	assert_non_null (box->listener);
	socklen_t size = sizeof (any);
	getsockname (evconnlistener_get_fd (box->listener), (struct sockaddr *)&any, &size);
	return dff_name_printf ("127.0.0.1:%d", g_ntohs (any.sin_port));
}

static void
middlebox_freeze (struct middlebox *box)
{
	for (int32_t i = 0; i < box->n_flows; i++)
		box->flows[i]->frozen = true;
}

static void
middlebox_close (struct middlebox *box)
{
	evconnlistener_free (box->listener);
	for (int32_t i = 0; i < box->n_flows; i++) {
		bufferevent_free (box->flows[i]->ends[0]);
		bufferevent_free (box->flows[i]->ends[1]);
		g_free (box->flows[i]);
	}
}

/* Guards against a dead connection that is kept because no error is reported: a middlebox loses its
 * state, so that bytes are dropped without notice, while new connections work. */
static void
test_silent_connection_is_replaced (void **state)
{
	(void)state;
	struct event_base *base = event_base_new ();
	struct middlebox box;
	struct end a;
	struct end b;
	open_end (base, &a, "a");
	open_end (base, &b, "b");
	struct dff_instance through_box = b.instance;
	through_box.peer_address = middlebox_open (&box, base, &b.instance.peer_address);
	dff_zmq_transport_set_instances (a.transport, &through_box, 1);
	dff_zmq_transport_set_instances (b.transport, &a.instance, 1);
	send_text (&a, &through_box, "before");
	wait_for (base, &b, "before");
	middlebox_freeze (&box);
	int32_t n_seen = box.n_flows;
	while (strcmp (b.last, "after") != 0) {
		event_base_loop (base, EVLOOP_ONCE);
		if (box.n_flows > n_seen)
			send_text (&a, &through_box, "after");
		n_seen = box.n_flows;
	}
	close_end (&a);
	close_end (&b);
	middlebox_close (&box);
	event_base_free (base);
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_messages_both_ways),
		cmocka_unit_test (test_many_messages_in_one_loop_turn),
		cmocka_unit_test (test_unknown_key_is_refused_until_listed),
		cmocka_unit_test (test_active_peer_stays_when_unlisted),
		cmocka_unit_test (test_messages_of_replaced_key_are_dropped),
		cmocka_unit_test (test_bad_settings_are_errors),
		cmocka_unit_test (test_silent_connection_is_replaced),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
