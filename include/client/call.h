#ifndef DFF_CLIENT_CALL_H
#define DFF_CLIENT_CALL_H

#include <event2/http.h>
#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "client/connection.h"
#include "common/cleanup.h"
#include "common/str.h"

/* Calls to any of several servers, one at a time. A call runs the event loop until the whole answer
 * has arrived. */

struct dff_api_client;

/** Returns: (transfer full): a client with a copy of the options in @connection. */
struct dff_api_client *dff_api_client_new (const struct dff_connection *connection);

/** Like dff_api_client_new(), with the event loop @base, which the client then owns. */
struct dff_api_client *dff_api_client_new_on (const struct dff_connection *connection,
					      struct event_base *base);

void dff_api_client_free (struct dff_api_client *client);

DFF_DEFINE_CLEANUP (dff_api_client, dff_api_client_free);

struct dff_call_request {
	enum evhttp_cmd_type method;
	/** Path with query. */
	const char *path;
	struct dff_str body;
	/** (nullable): media type of @body. */
	const char *content_type;
	/** (nullable): values of the headers Idempotency-Key, If-Match and Batch-Count. */
	const char *idempotency_key;
	const char *if_match;
	const char *batch_count;
	/** No earlier call used @idempotency_key: a refusal then proves that nothing ran. */
	bool key_is_new;
	/** Whether the request may be repeated when it is not known whether it took effect. */
	bool idempotent;
	/** Whether to send once and return the first outcome. */
	bool no_retry;
	/** Timeout of one answer, ms; 0: 10 seconds. */
	int32_t answer_timeout_ms;
	/** Index of the only server to ask, plus 1; 0: any. */
	guint only_server;
};

struct dff_call_response {
	/** HTTP status; 0: no answer. */
	int status;
	/** Whether there is no answer, and the request may have taken effect. */
	bool uncertain;
	/** Whether the body does not match the digest in its answer. */
	bool digest_mismatch;
	GString *body;
	/** Values of the headers; empty when the header is missing. */
	GString *etag;
	GString *digest;
	int64_t retry_after_s;
};

/** Returns: (transfer full): a response without status and body. */
struct dff_call_response *dff_call_response_new (void);

void dff_call_response_free (struct dff_call_response *response);

DFF_DEFINE_CLEANUP (dff_call_response, dff_call_response_free);

/**
 * dff_call:
 *
 * Sends @request to the servers in turn until one gives a final answer or the timeout passes. A
 * request that was not sent, or is idempotent and has no answer, goes to the next server. An
 * idempotent request that gets 429, 503 or 504 is retried, after Retry-After once all servers were
 * asked.
 */
struct dff_call_response *dff_call (struct dff_api_client *client,
				    const struct dff_call_request *request);

/** Returns: time left until the timeout of the command line, ms; 0: expired. */
int64_t dff_api_client_remaining_ms (const struct dff_api_client *client);

/** Sleeps for @ms, at most for the time that is left. */
void dff_api_client_sleep (struct dff_api_client *client, int64_t ms);

/** Returns: number of servers. */
guint dff_api_client_n_servers (const struct dff_api_client *client);

/** Returns: (transfer full) (nullable): the body as JSON. */
json_t *dff_call_response_json (const struct dff_call_response *response);

/** Returns: whether the status is in the range 200 to 299. */
bool dff_call_response_is_success (const struct dff_call_response *response);

/** Prints on standard error why a call did not succeed. Returns: the exit code. */
int dff_call_response_fail (const struct dff_call_response *response);

/** Returns: the exit code for an HTTP status; 0: no answer. */
int dff_exit_code_for_status (int status);

/** Returns: whether the body matches the SHA-256 in the Digest header, or there is no header. */
bool dff_call_response_matches_digest (const struct dff_call_response *response);

#endif
