#ifndef DFF_COMMON_HTTP_CLIENT_H
#define DFF_COMMON_HTTP_CLIENT_H

#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <stdint.h>

#include "common/cleanup.h"
#include "common/metrics.h"
#include "common/str.h"

/*
 * HTTP/1.1 client over evhttp with a bounded pool of keep-alive connections for each address, which
 * are replaced when they stop answering, and a deadline for each request. It never retries.
 */

/* OpenSSL's SSL_CTX. */
struct ssl_ctx_st;

struct dff_http_client;

struct dff_http_client_options {
	struct event_base *base;
	struct dff_metrics *metrics;
	/** Maximum number of connections to each address; further requests wait in order. */
	int32_t max_connections;
	/** Maximum number of waiting requests for each address; more end as UNSENT at once. */
	int32_t max_waiting;
	/** Maximum idle time, ms. Older connections are closed, not reused: a middlebox may have
	 * dropped their state without notice. */
	int32_t max_idle_ms;
	size_t max_body_bytes;
	/** (nullable): use TLS; the server's certificate has to name the IP address connected
	 * to. */
	struct ssl_ctx_st *tls;
};

/** Sets the defaults. */
void dff_http_client_options_init (struct dff_http_client_options *options);

/** Returns: (transfer full): a client without connections; @options is copied. */
struct dff_http_client *dff_http_client_new (const struct dff_http_client_options *options);

/** Drops requests in progress without calling back. Not to be called from a callback. */
void dff_http_client_free (struct dff_http_client *client);

DFF_DEFINE_CLEANUP (dff_http_client, dff_http_client_free);

struct dff_http_header {
	const char *name;
	struct dff_str value;
};

/** Borrowed for the length of the call. */
struct dff_http_request {
	/** "IP:PORT". */
	struct dff_name address;
	enum evhttp_cmd_type method;
	/** Path with query. */
	const char *path;
	const struct dff_http_header *headers;
	size_t n_headers;
	struct dff_str body;
	int32_t timeout_ms;
};

enum dff_http_outcome {
	/** A whole response was read. */
	DFF_HTTP_ANSWERED,
	/** Provably not sent: no byte of the request left this process, or no connection was
	 * made. */
	DFF_HTTP_UNSENT,
	/** At least partly sent, and no complete response arrived in time. */
	DFF_HTTP_UNCERTAIN,
};

struct dff_http_response {
	enum dff_http_outcome outcome;
	int status;
	/** Valid in the callback only. */
	struct dff_str body;
	/** (nullable): response headers, valid in the callback only. */
	struct evkeyvalq *headers;
};

typedef void (*dff_http_func) (void *user, const struct dff_http_response *response);

/** Sends a request; @done is called once, never before this call returns. */
void dff_http_client_send (struct dff_http_client *client,
			   const struct dff_http_request *request,
			   dff_http_func done,
			   void *user);

#endif
