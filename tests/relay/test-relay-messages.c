#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <event2/event.h>
#include <string.h>

#include "common/event_loop.h"
#include "relay/message.h"
#include "relay/stream.h"

/* Messages between the holder and a relay: as bytes on a connection, and once decoded. */

struct stream_test {
	struct event_base *base;
	struct dff_stream *client;
	struct dff_stream *server;
	GString *received;
	int n_messages;
	bool connected;
	bool ended;
};

static void
handle_connected (void *ctx)
{
	((struct stream_test *)ctx)->connected = true;
}

static void
handle_message (void *ctx, const uint8_t *data, size_t len)
{
	struct stream_test *test = ctx;
	g_string_append_len (test->received, (const char *)data, (gssize)len);
	test->n_messages++;
}

static void
handle_ended (void *ctx)
{
	((struct stream_test *)ctx)->ended = true;
}

static void
handle_accept (void *ctx, evutil_socket_t fd)
{
	struct stream_test *test = ctx;
	struct dff_stream_handlers handlers = {
		.message = handle_message, .ended = handle_ended, .ctx = test};
	test->server = dff_stream_accept (test->base, fd, &handlers);
}

/* Messages of any length arrive whole and in order; closing one end is reported to the other. */
static void
test_stream_keeps_messages_whole (void **state)
{
	(void)state;
	struct stream_test test = {.base = dff_event_base_new (), .received = g_string_new (NULL)};
	struct dff_name any = dff_name_from ("127.0.0.1:0");
	struct dff_stream_listener *listener =
		dff_stream_listen (test.base, &any, handle_accept, &test);
	struct dff_name address = dff_stream_listener_address (listener);
	struct dff_stream_handlers handlers = {.connected = handle_connected,
					       .message = handle_message,
					       .ended = handle_ended,
					       .ctx = &test};
	test.client = dff_stream_connect (test.base, &address, &handlers);
	while (!test.connected || test.server == NULL)
		event_base_loop (test.base, EVLOOP_ONCE);
	static uint8_t large[300000];
	memset (large, 'x', sizeof (large));
	dff_stream_send (test.client, (const uint8_t *)"a", 1);
	dff_stream_send (test.client, large, 0);
	dff_stream_send (test.client, large, 300000);
	dff_stream_send (test.client, (const uint8_t *)"z", 1);
	while (test.n_messages < 4)
		event_base_loop (test.base, EVLOOP_ONCE);
	assert_int_equal (test.received->len, 300002);
	assert_int_equal (test.received->str[0], 'a');
	assert_int_equal (test.received->str[300001], 'z');
	dff_stream_free (test.client);
	while (!test.ended)
		event_base_loop (test.base, EVLOOP_ONCE);
	dff_stream_free (test.server);
	dff_stream_listener_free (listener);
	g_string_free (test.received, TRUE);
	event_base_free (test.base);
}

/* Guards against a message that takes a hundred times its size once decoded, and against a decoder
 * that does not survive a failed allocation: below the memory that a batch takes, at any maximum,
 * it is rejected. */
static void
test_decoded_batch_is_bounded (void **state)
{
	(void)state;
	const struct dff_run_active running = {.task = dff_str_from ("5c0e7a21d94b36f8.0.1.17"),
					       .run = 2,
					       .checkpoint = dff_str_from ("00000bb8")};
	const struct dff_runner_result result = {
		.outcome = DFF_RUNNER_DONE, .running = &running, .n_running = 1};
	struct relay_batch *batch = relay_batch_new ();
	for (uint64_t id = 1; id <= 20; id++)
		relay_batch_add_answer (batch, id, &result);
	g_autoptr (GByteArray) bytes = relay_batch_pack (batch);
	relay_batch_free (batch);
	size_t max_bytes = 0;
	Dff__Relay__Batch *decoded = NULL;
	while (decoded == NULL && max_bytes < RELAY_UNPACKED_BYTES_MAX)
		decoded = relay_batch_unpack (bytes->data, bytes->len, ++max_bytes);
	assert_non_null (decoded);
	assert_int_equal (decoded->n_answers, 20);
	assert_true (max_bytes > bytes->len);
	relay_batch_free_unpacked (decoded);
	static const uint8_t empty_call[] = {0x0a, 0x00};
	g_autoptr (GByteArray) calls = g_byte_array_new ();
	for (int i = 0; i < 500000; i++)
		g_byte_array_append (calls, empty_call, sizeof (empty_call));
	assert_null (relay_batch_unpack (calls->data, calls->len, RELAY_UNPACKED_BYTES_MAX));
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_stream_keeps_messages_whole),
		cmocka_unit_test (test_decoded_batch_is_bounded),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
