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

/* One call at a time to any of several servers: runs the event loop until the whole answer is
 * there. */

struct dff_api_client;

/** Returns: (transfer full): a client over a copy of @connection's options. */
struct dff_api_client *dff_api_client_new (const struct dff_connection *connection);

/** Like dff_api_client_new(), over @base, which the client then owns. */
struct dff_api_client *dff_api_client_new_on (const struct dff_connection *connection,
					      struct event_base *base);

void dff_api_client_free (struct dff_api_client *client);

DFF_DEFINE_CLEANUP (dff_api_client, dff_api_client_free);

struct dff_call_request {
	enum evhttp_cmd_type method;
	/** Path with query. */
	const char *path;
	struct dff_str body;
	/** (nullable): of @body. */
	const char *content_type;
	/** (nullable): values of Idempotency-Key, If-Match and Batch-Count. */
	const char *idempotency_key;
	const char *if_match;
	const char *batch_count;
	/** No earlier call carried @idempotency_key: a refusal then proves that nothing ran. */
	bool key_is_new;
	/** May be sent again when it is not known whether it took effect. */
	bool idempotent;
	/** Send once and take what comes. */
	bool no_retry;
	/** Time to wait for one answer, ms; 0: 10 seconds. */
	int32_t answer_timeout_ms;
	/** Index of the only server to ask, plus 1; 0: any. */
	guint only_server;
};

struct dff_call_response {
	/** HTTP status; 0: no answer. */
	int status;
	/** No answer, and it may have taken effect. */
	bool uncertain;
	/** An answer, but not the bytes that its digest states. */
	bool digest_mismatch;
	GString *body;
	/** Empty where the header is missing. */
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
 * Sends @request to each server in turn until one answers for good: a request that was not sent, or
 * is idempotent, goes to the next server; 429, 503 and 504 to an idempotent one are obeyed: it
 * comes back after the time that the server named. Gives up when the connection's time is over.
 */
struct dff_call_response *dff_call (struct dff_api_client *client,
				    const struct dff_call_request *request);

/** Returns: ms left of the time that the command line allows, 0 when it is over. */
int64_t dff_api_client_remaining_ms (const struct dff_api_client *client);

/** Lets @ms pass, at most what remains. */
void dff_api_client_sleep (struct dff_api_client *client, int64_t ms);

/** Returns: number of servers. */
guint dff_api_client_n_servers (const struct dff_api_client *client);

/** Returns: (transfer full) (nullable): the body as JSON. */
json_t *dff_call_response_json (const struct dff_call_response *response);

/** Whether the status is one of 200 to 299. */
bool dff_call_response_is_success (const struct dff_call_response *response);

/** Says on standard error why a call was not answered with success. Returns: the exit code. */
int dff_call_response_fail (const struct dff_call_response *response);

/** Returns: the exit code for an HTTP status; 0: no answer. */
int dff_exit_code_for_status (int status);

/** Whether the body has the SHA-256 that the Digest header states; true without the header. */
bool dff_call_response_matches_digest (const struct dff_call_response *response);

#endif
