#ifndef DFF_COMMON_HTTP_CONNECTION_H
#define DFF_COMMON_HTTP_CONNECTION_H

#include <event2/event.h>
#include <event2/http.h>
#include <stdbool.h>
#include <stdint.h>

/* One keep-alive connection of the HTTP client, with what evhttp does not tell: whether a byte of
 * the current request has left the process. */

/* OpenSSL's SSL_CTX. */
struct ssl_ctx_st;

struct dff_http_connection;

/** Counters that a connection adds to: bytes of HTTP, without TLS, TCP and IP. */
struct dff_http_traffic {
	int64_t *sent_bytes;
	int64_t *received_bytes;
};

/** Returns: @ms as libevent wants it. */
struct timeval dff_timeval_from_ms (int32_t ms);

/**
 * dff_http_connection_new:
 * @tls: (nullable): speak TLS
 *
 * Returns: a connection that is made when it is first used.
 */
struct dff_http_connection *dff_http_connection_new (struct event_base *base,
						     const char *host,
						     uint16_t port,
						     size_t max_body_bytes,
						     const struct dff_http_traffic *traffic,
						     struct ssl_ctx_st *tls);

/** Closes it; no callback of its request comes. Not to be called from one. */
void dff_http_connection_free (struct dff_http_connection *connection);

/**
 * dff_http_connection_send:
 * @request: owned by the connection from then on, whatever is returned
 * @timeout_ms: evhttp's own limit; longer than the deadline that the caller keeps
 *
 * The request's callback may run before this returns.
 *
 * Returns: false when evhttp refused it.
 */
bool dff_http_connection_send (struct dff_http_connection *connection,
			       struct evhttp_request *request,
			       enum evhttp_cmd_type method,
			       const char *path,
			       int32_t timeout_ms);

/** Marks the end of its request. */
void dff_http_connection_set_idle (struct dff_http_connection *connection);

/** Returns: whether a request is being sent or answered. */
bool dff_http_connection_is_busy (const struct dff_http_connection *connection);

/** Returns: monotonic ms at which its last request ended; only while it is not busy. */
int64_t dff_http_connection_idle_since_ms (const struct dff_http_connection *connection);

/** Returns: whether a byte of the last request may have left this process. */
bool dff_http_connection_has_sent (const struct dff_http_connection *connection);

#endif
