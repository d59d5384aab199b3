#ifndef DFF_COMMON_HTTP_CONNECTION_H
#define DFF_COMMON_HTTP_CONNECTION_H

#include <event2/event.h>
#include <event2/http.h>
#include <stdbool.h>
#include <stdint.h>

/* One keep-alive connection of the HTTP client. In addition to evhttp, it records whether a byte of
 * the current request has left the process. */

/* OpenSSL's SSL_CTX. */
struct ssl_ctx_st;

struct dff_http_connection;

/** Counters updated by a connection, in bytes of HTTP, without TLS, TCP and IP. */
struct dff_http_traffic {
	int64_t *sent_bytes;
	int64_t *received_bytes;
};

struct timeval dff_timeval_from_ms (int32_t ms);

/**
 * dff_http_connection_new:
 * @tls: (nullable): use TLS
 *
 * Returns: (transfer full): a connection; it is established at its first request.
 */
struct dff_http_connection *dff_http_connection_new (struct event_base *base,
						     const char *host,
						     uint16_t port,
						     size_t max_body_bytes,
						     const struct dff_http_traffic *traffic,
						     struct ssl_ctx_st *tls);

/** Closes the connection without a callback of its request. Must not be called from one. */
void dff_http_connection_free (struct dff_http_connection *connection);

/**
 * dff_http_connection_send:
 * @request: owned by the connection from then on, also if the call fails
 * @timeout_ms: evhttp's own timeout; longer than the caller's deadline
 *
 * The request's callback may run before this call returns.
 *
 * Returns: false when evhttp refused the request.
 */
bool dff_http_connection_send (struct dff_http_connection *connection,
			       struct evhttp_request *request,
			       enum evhttp_cmd_type method,
			       const char *path,
			       int32_t timeout_ms);

/** Marks the current request as ended. */
void dff_http_connection_set_idle (struct dff_http_connection *connection);

/** Returns: whether a request is being sent or answered. */
bool dff_http_connection_is_busy (const struct dff_http_connection *connection);

/** Returns: the time at which the last request ended, monotonic ms; valid only while not busy. */
int64_t dff_http_connection_idle_since_ms (const struct dff_http_connection *connection);

/** Returns: whether a byte of the last request may have left this process. */
bool dff_http_connection_has_sent (const struct dff_http_connection *connection);

#endif
