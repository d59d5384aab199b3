#include "client/call.h"

#include <event2/event.h>
#include <openssl/ssl.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "client/command.h"
#include "common/clock.h"
#include "common/digest.h"
#include "common/http_client.h"

#define DEFAULT_ANSWER_TIMEOUT_MS 10000
#define MAX_ANSWER_BYTES ((size_t)256 * 1024 * 1024)
#define FIRST_BACKOFF_MS 200
#define MAX_BACKOFF_MS 2000
#define MAX_HEADERS 7

struct dff_api_client {
	struct event_base *base;
	struct dff_metrics *metrics;
	struct dff_http_client *http;
	SSL_CTX *tls;
	GArray *servers;
	GString *authorization;
	guint next_server;
	int64_t deadline_ms;
};

/* A request that waits for its answer. */
struct exchange {
	struct event_base *base;
	struct dff_call_response *response;
	enum dff_http_outcome outcome;
};

static int64_t
now_ms (void)
{
	return dff_clock_now_ms (dff_clock_system ());
}

struct dff_api_client *
dff_api_client_new_on (const struct dff_connection *connection, struct event_base *base)
{
	struct dff_api_client *client = g_new0 (struct dff_api_client, 1);
	client->base = base;
	client->metrics = dff_metrics_new ();
	struct dff_http_client_options options;
	dff_http_client_options_init (&options);
	options.base = client->base;
	options.metrics = client->metrics;
	options.max_body_bytes = MAX_ANSWER_BYTES;
	options.tls = connection->tls;
	if (connection->tls != NULL)
		SSL_CTX_up_ref (connection->tls);
	client->tls = connection->tls;
	client->http = dff_http_client_new (&options);
	client->servers = g_array_copy (connection->servers);
	client->authorization = g_string_new (NULL);
	if (connection->token->len > 0)
		g_string_printf (client->authorization, "Bearer %s", connection->token->str);
	client->deadline_ms = now_ms () + connection->timeout_ms;
	return client;
}

struct dff_api_client *
dff_api_client_new (const struct dff_connection *connection)
{
	return dff_api_client_new_on (connection, event_base_new ());
}

void
dff_api_client_free (struct dff_api_client *client)
{
	if (client == NULL)
		return;
	dff_http_client_free (client->http);
	dff_metrics_free (client->metrics);
	event_base_free (client->base);
	SSL_CTX_free (client->tls);
	g_array_unref (client->servers);
	g_string_free (client->authorization, TRUE);
	g_free (client);
}

int64_t
dff_api_client_remaining_ms (const struct dff_api_client *client)
{
	return MAX (client->deadline_ms - now_ms (), 0);
}

guint
dff_api_client_n_servers (const struct dff_api_client *client)
{
	return client->servers->len;
}

static void
stop_loop (evutil_socket_t fd, short events, void *base)
{
	(void)fd;
	(void)events;
	event_base_loopbreak (base);
}

void
dff_api_client_sleep (struct dff_api_client *client, int64_t ms)
{
	int64_t pause_ms = MIN (ms, dff_api_client_remaining_ms (client));
	if (pause_ms <= 0)
		return;
	struct timeval time = {pause_ms / 1000, (pause_ms % 1000) * 1000};
	event_base_once (client->base, -1, EV_TIMEOUT, stop_loop, client->base, &time);
	event_base_dispatch (client->base);
}

struct dff_call_response *
dff_call_response_new (void)
{
	struct dff_call_response *response = g_new0 (struct dff_call_response, 1);
	response->body = g_string_new (NULL);
	response->etag = g_string_new (NULL);
	response->digest = g_string_new (NULL);
	return response;
}

void
dff_call_response_free (struct dff_call_response *response)
{
	if (response == NULL)
		return;
	g_string_free (response->body, TRUE);
	g_string_free (response->etag, TRUE);
	g_string_free (response->digest, TRUE);
	g_free (response);
}

static void
copy_header (struct evkeyvalq *headers, const char *name, GString *value)
{
	const char *found = headers != NULL ? evhttp_find_header (headers, name) : NULL;
	g_string_assign (value, found != NULL ? found : "");
}

static void
on_answer (void *user, const struct dff_http_response *http)
{
	struct exchange *exchange = user;
	struct dff_call_response *response = exchange->response;
	exchange->outcome = http->outcome;
	response->uncertain = http->outcome == DFF_HTTP_UNCERTAIN;
	response->status = http->outcome == DFF_HTTP_ANSWERED ? http->status : 0;
	g_string_truncate (response->body, 0);
	if (http->outcome == DFF_HTTP_ANSWERED) {
		g_autoptr (GString) retry_after = g_string_new (NULL);
		g_string_append_len (response->body, http->body.data, (gssize)http->body.len);
		copy_header (http->headers, "ETag", response->etag);
		copy_header (http->headers, "Digest", response->digest);
		copy_header (http->headers, "Retry-After", retry_after);
		response->retry_after_s = g_ascii_strtoll (retry_after->str, NULL, 10);
	}
	event_base_loopbreak (exchange->base);
}

static size_t
add_header (struct dff_http_header *headers, size_t n, const char *name, const char *value)
{
	if (value == NULL || *value == '\0')
		return n;
	headers[n].name = name;
	headers[n].value = dff_str_from (value);
	return n + 1;
}

static enum dff_http_outcome
send_to_server (struct dff_api_client *client,
		const struct dff_name *server,
		const struct dff_call_request *request,
		bool first,
		struct dff_call_response *response)
{
	struct dff_http_header headers[MAX_HEADERS];
	size_t n = add_header (headers, 0, "Authorization", client->authorization->str);
	n = add_header (headers, n, "Content-Type", request->content_type);
	n = add_header (headers, n, "Idempotency-Key", request->idempotency_key);
	n = add_header (headers, n, "Attempt", first ? "1" : NULL);
	n = add_header (headers, n, "If-Match", request->if_match);
	n = add_header (headers, n, "Batch-Count", request->batch_count);
	int64_t limit = request->answer_timeout_ms > 0 ? request->answer_timeout_ms
						       : DEFAULT_ANSWER_TIMEOUT_MS;
	struct dff_http_request http = {
		.address = *server,
		.method = request->method,
		.path = request->path,
		.headers = headers,
		.n_headers = n,
		.body = request->body,
		.timeout_ms = (int32_t)MAX (MIN (limit, dff_api_client_remaining_ms (client)), 1),
	};
	struct exchange exchange = {.base = client->base, .response = response};
	dff_http_client_send (client->http, &http, on_answer, &exchange);
	event_base_dispatch (client->base);
	return exchange.outcome;
}

/* Returns: whether the server asks for a retry. After 429 and 503 the request had no effect. After
 * 504 its effect is not known, and repeating the request shows it. */
static bool
asks_to_retry (const struct dff_call_response *response)
{
	return response->status == 429 || response->status == 503 || response->status == 504;
}

/* Returns: whether the request may be sent again, to another server or later to the same one. */
static bool
may_retry (const struct dff_call_request *request,
	   const struct dff_call_response *response,
	   enum dff_http_outcome outcome)
{
	if (outcome == DFF_HTTP_UNSENT)
		return true;
	if (outcome == DFF_HTTP_UNCERTAIN)
		return request->idempotent;
	return asks_to_retry (response) && request->idempotent;
}

/* Returns: whether a request with the header "Attempt: 1" is certain to have had no effect. */
static bool
had_no_effect (const struct dff_call_response *response, enum dff_http_outcome outcome)
{
	return outcome == DFF_HTTP_UNSENT || response->status == 429 || response->status == 503;
}

static int64_t
add_jitter (int64_t ms)
{
	return ms / 2 + (int64_t)randombytes_uniform ((uint32_t)(ms / 2 + 1));
}

struct dff_call_response *
dff_call (struct dff_api_client *client, const struct dff_call_request *request)
{
	struct dff_call_response *response = dff_call_response_new ();
	guint n_candidates = request->only_server > 0 ? 1 : client->servers->len;
	int64_t backoff_ms = FIRST_BACKOFF_MS;
	int64_t retry_after_ms = 0;
	bool first = request->key_is_new;
	for (guint attempt = 1;; attempt++) {
		guint index =
			request->only_server > 0 ? request->only_server - 1 : client->next_server;
		const struct dff_name *server =
			&g_array_index (client->servers, struct dff_name, index);
		enum dff_http_outcome outcome =
			send_to_server (client, server, request, first, response);
		first = first && had_no_effect (response, outcome);
		if (request->no_retry || !may_retry (request, response, outcome))
			return response;
		if (asks_to_retry (response))
			retry_after_ms = MAX (retry_after_ms, response->retry_after_s * 1000);
		client->next_server = (client->next_server + 1) % client->servers->len;
		if (attempt % n_candidates != 0)
			continue;
		int64_t pause_ms = MAX (add_jitter (backoff_ms), retry_after_ms);
		if (pause_ms >= dff_api_client_remaining_ms (client))
			return response;
		dff_api_client_sleep (client, pause_ms);
		backoff_ms = MIN (backoff_ms * 2, MAX_BACKOFF_MS);
		retry_after_ms = 0;
	}
}

json_t *
dff_call_response_json (const struct dff_call_response *response)
{
	return json_loadb (response->body->str, response->body->len, 0, NULL);
}

bool
dff_call_response_is_success (const struct dff_call_response *response)
{
	return response->status >= 200 && response->status < 300;
}

int
dff_exit_code_for_status (int status)
{
	if (status >= 200 && status < 300)
		return DFF_EXIT_OK;
	if (status == 0 || status == 429 || status == 502 || status == 503 || status == 504)
		return DFF_EXIT_UNAVAILABLE;
	if (status == 410)
		return DFF_EXIT_NOT_COMPLETED;
	return status >= 400 && status < 500 ? DFF_EXIT_REFUSED : DFF_EXIT_FAILED;
}

static void
print_errors (const json_t *errors)
{
	size_t index;
	json_t *error;
	json_array_foreach (errors, index, error)
	{
		if (json_is_string (error))
			fprintf (stderr, "  %s\n", json_string_value (error));
	}
}

static void
print_problem (const struct dff_call_response *response, const json_t *problem)
{
	const char *code = json_string_value (json_object_get (problem, "code"));
	const char *detail = json_string_value (json_object_get (problem, "detail"));
	const char *outcome = json_string_value (json_object_get (problem, "outcome"));
	const json_t *generation = json_object_get (problem, "generation");
	fprintf (stderr, "dragonflyfold: %d", response->status);
	if (code != NULL)
		fprintf (stderr, " %s", code);
	if (detail != NULL)
		fprintf (stderr, ": %s", detail);
	if (outcome != NULL)
		fprintf (stderr, " (outcome %s)", outcome);
	if (json_is_integer (generation))
		fprintf (stderr, " (generation in force: %" JSON_INTEGER_FORMAT ")",
			 json_integer_value (generation));
	if (asks_to_retry (response) && response->retry_after_s > 0)
		fprintf (stderr, " (come back in %" G_GINT64_FORMAT " s)", response->retry_after_s);
	fputc ('\n', stderr);
	print_errors (json_object_get (problem, "errors"));
}

int
dff_call_response_fail (const struct dff_call_response *response)
{
	if (response->status == 0) {
		fputs (response->uncertain
			       ? "dragonflyfold: no answer; the request may have taken effect\n"
			       : "dragonflyfold: no server could be reached\n",
		       stderr);
		return DFF_EXIT_UNAVAILABLE;
	}
	json_t *problem = dff_call_response_json (response);
	print_problem (response, problem);
	json_decref (problem);
	return dff_exit_code_for_status (response->status);
}

bool
dff_call_response_matches_digest (const struct dff_call_response *response)
{
	const char *prefix = "sha-256=";
	if (response->digest->len == 0)
		return true;
	if (!g_str_has_prefix (response->digest->str, prefix))
		return false;
	uint8_t digest[DFF_DIGEST_BYTES];
	dff_digest ((struct dff_str){response->body->str, response->body->len}, digest);
	char text[sodium_base64_ENCODED_LEN (sizeof (digest), sodium_base64_VARIANT_ORIGINAL)];
	sodium_bin2base64 (text, sizeof (text), digest, sizeof (digest),
			   sodium_base64_VARIANT_ORIGINAL);
	return strcmp (response->digest->str + strlen (prefix), text) == 0;
}
