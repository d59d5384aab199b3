#include "common/http_connection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/bufferevent_ssl.h>
#include <glib.h>
#include <openssl/ssl.h>
#include <openssl/x509v3.h>

#include "common/clock.h"

#define MS_PER_S 1000
#define US_PER_MS 1000L
#define MAX_HEADERS_BYTES 16384

struct dff_http_connection {
	struct evhttp_connection *evcon;
	struct evbuffer *output;
	struct evbuffer_cb_entry *output_callback;
	struct evbuffer *input;
	struct evbuffer_cb_entry *input_callback;
	struct dff_http_traffic traffic;
	bool busy;
	bool sent;
	int64_t idle_since_ms;
};

struct timeval
dff_timeval_from_ms (int32_t ms)
{
	struct timeval time = {.tv_sec = ms / MS_PER_S, .tv_usec = (ms % MS_PER_S) * US_PER_MS};
	return time;
}

static int64_t
now_ms (void)
{
	return dff_clock_now_ms (dff_clock_system ());
}

/* evhttp does not distinguish failures. Without this callback, a request that a worker has read but
 * whose answer was lost would look like a refused connection and would be sent again. evhttp fills
 * the output buffer only once the connection is established, and bytes leave the buffer only when
 * they are written or the connection is reset, so that a sent request is never reported as
 * unsent. */
static void
output_changed (struct evbuffer *buffer, const struct evbuffer_cb_info *info, void *ctx)
{
	(void)buffer;
	struct dff_http_connection *connection = ctx;
	if (info->n_deleted > 0)
		connection->sent = true;
	*connection->traffic.sent_bytes += (int64_t)info->n_deleted;
}

static void
input_changed (struct evbuffer *buffer, const struct evbuffer_cb_info *info, void *ctx)
{
	(void)buffer;
	const struct dff_http_connection *connection = ctx;
	*connection->traffic.received_bytes += (int64_t)info->n_added;
}

/* Without this check, another process's certificate of the same issuer would be accepted. */
static struct bufferevent *
new_tls_bufferevent (struct event_base *base, const char *host, SSL_CTX *tls)
{
	SSL *ssl = SSL_new (tls);
	X509_VERIFY_PARAM_set1_ip_asc (SSL_get0_param (ssl), host);
	return bufferevent_openssl_socket_new (base, -1, ssl, BUFFEREVENT_SSL_CONNECTING,
					       BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
}

struct dff_http_connection *
dff_http_connection_new (struct event_base *base,
			 const char *host,
			 uint16_t port,
			 size_t max_body_bytes,
			 const struct dff_http_traffic *traffic,
			 struct ssl_ctx_st *tls)
{
	struct dff_http_connection *connection = g_new0 (struct dff_http_connection, 1);
	struct bufferevent *tls_bev = tls != NULL ? new_tls_bufferevent (base, host, tls) : NULL;
	connection->evcon =
		evhttp_connection_base_bufferevent_new (base, NULL, tls_bev, host, port);
	/* By default evhttp retries a failed request, although only the caller knows whether this
	 * is safe: a worker would receive a non-idempotent request twice. */
	evhttp_connection_set_retries (connection->evcon, 0);
	evhttp_connection_set_max_body_size (connection->evcon, (ev_ssize_t)max_body_bytes);
	evhttp_connection_set_max_headers_size (connection->evcon, MAX_HEADERS_BYTES);
	struct bufferevent *bev = evhttp_connection_get_bufferevent (connection->evcon);
	connection->output = bufferevent_get_output (bev);
	connection->output_callback =
		evbuffer_add_cb (connection->output, output_changed, connection);
	connection->input = bufferevent_get_input (bev);
	connection->input_callback = evbuffer_add_cb (connection->input, input_changed, connection);
	connection->traffic = *traffic;
	connection->idle_since_ms = now_ms ();
	return connection;
}

void
dff_http_connection_free (struct dff_http_connection *connection)
{
	evbuffer_remove_cb_entry (connection->output, connection->output_callback);
	evbuffer_remove_cb_entry (connection->input, connection->input_callback);
	evhttp_connection_free (connection->evcon);
	g_free (connection);
}

bool
dff_http_connection_send (struct dff_http_connection *connection,
			  struct evhttp_request *request,
			  enum evhttp_cmd_type method,
			  const char *path,
			  int32_t timeout_ms)
{
	struct timeval timeout = dff_timeval_from_ms (timeout_ms);
	evhttp_connection_set_timeout_tv (connection->evcon, &timeout);
	connection->busy = true;
	connection->sent = false;
	return evhttp_make_request (connection->evcon, request, method, path) == 0;
}

void
dff_http_connection_set_idle (struct dff_http_connection *connection)
{
	connection->busy = false;
	connection->idle_since_ms = now_ms ();
}

bool
dff_http_connection_is_busy (const struct dff_http_connection *connection)
{
	return connection->busy;
}

int64_t
dff_http_connection_idle_since_ms (const struct dff_http_connection *connection)
{
	return connection->idle_since_ms;
}

bool
dff_http_connection_has_sent (const struct dff_http_connection *connection)
{
	return connection->sent;
}
