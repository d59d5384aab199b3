#include "harness.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent_ssl.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

/* Callers' connections. */

static void
client_read (struct bufferevent *bev, void *ctx)
{
	struct harness_client *client = ctx;
	struct evbuffer *input = bufferevent_get_input (bev);
	size_t len = evbuffer_get_length (input);
	g_string_append_len (client->received, (const char *)evbuffer_pullup (input, -1),
			     (gssize)len);
	evbuffer_drain (input, len);
}

static void
client_event (struct bufferevent *bev, short what, void *ctx)
{
	(void)bev;
	struct harness_client *client = ctx;
	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		client->closed = true;
}

/* Takes ownership of @bev. */
static struct harness_client *
connect_with (struct harness *harness, int process, struct bufferevent *bev)
{
	struct harness_client *client = g_new0 (struct harness_client, 1);
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons (dff_entry_port (harness->processes[process].entry)),
		.sin_addr.s_addr = htonl (INADDR_LOOPBACK),
	};
	client->harness = harness;
	client->received = g_string_new (NULL);
	client->bev = bev;
	bufferevent_setcb (client->bev, client_read, NULL, client_event, client);
	bufferevent_enable (client->bev, EV_READ | EV_WRITE);
	bufferevent_socket_connect (client->bev, (struct sockaddr *)&address, sizeof (address));
	return client;
}

struct harness_client *
harness_connect (struct harness *harness, int process)
{
	struct bufferevent *bev = bufferevent_socket_new (harness->base, -1, BEV_OPT_CLOSE_ON_FREE);
	return connect_with (harness, process, bev);
}

struct harness_client *
harness_connect_tls (struct harness *harness, int process, SSL_CTX *tls)
{
	struct bufferevent *bev =
		bufferevent_openssl_socket_new (harness->base, -1, SSL_new (tls),
						BUFFEREVENT_SSL_CONNECTING, BEV_OPT_CLOSE_ON_FREE);
	return connect_with (harness, process, bev);
}

void
harness_client_free (struct harness_client *client)
{
	bufferevent_free (client->bev);
	g_string_free (client->received, TRUE);
	g_free (client);
}

void
harness_client_send (struct harness_client *client, const char *bytes, size_t len)
{
	bufferevent_write (client->bev, bytes, len);
}

bool
harness_client_is_whole (const struct harness_client *client)
{
	static const char header[] = "\r\nContent-Length: ";
	const char *end = strstr (client->received->str, "\r\n\r\n");
	const char *length = strstr (client->received->str, header);
	if (end == NULL || length == NULL || length > end)
		return false;
	size_t body = strtoul (length + strlen (header), NULL, 10);
	return client->received->len >= (size_t)(end + 4 - client->received->str) + body;
}

bool
harness_client_wait (struct harness_client *client)
{
	for (int64_t i = 0; i < HARNESS_TIMEOUT_MS; i++) {
		if (harness_client_is_whole (client))
			return true;
		if (client->closed)
			return false;
		harness_step (client->harness);
	}
	fail_msg ("no response before the timeout");
	return false;
}

int
harness_client_status (const struct harness_client *client)
{
	const char *space = strchr (client->received->str, ' ');
	return space == NULL ? 0 : (int)strtol (space + 1, NULL, 10);
}
