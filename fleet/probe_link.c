#include "fleet/probe_link.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <inttypes.h>

#include "common/address.h"
#include "common/http_client.h"

/** Path at which a process tells its name, on the address for readiness, and the time that one who
 * asks waits, ms. */
#define INSTANCE_PATH "/instance"
/** Queries: to let go without a store, and to hand over to a process that takes so long, ms. */
#define QUERY_YIELD "yield"
#define QUERY_TAKEOVER "takeover"
/** Where the asker is reached that has taken the cell, and its epoch. */
#define QUERY_DECIDER "decider"
#define QUERY_EPOCH "epoch"
#define PRESENCE_TIMEOUT_MS 300
/** Status of an answer whose body is the name of a process that does not hold the cell. */
#define STATUS_IDLE 203

struct dff_probe_link {
	struct dff_probe_link_options options;
	struct dff_http_client *client;
};

/* A query that is not understood asks for nothing. */
static struct dff_holder_probe
read_question (const char *query)
{
	struct dff_holder_probe question = {0};
	struct evkeyvalq fields;
	if (query == NULL || evhttp_parse_query_str (query, &fields) != 0)
		return question;
	const char *takeover = evhttp_find_header (&fields, QUERY_TAKEOVER);
	question.release_if_unwritable = evhttp_find_header (&fields, QUERY_YIELD) != NULL;
	question.asker_takeover_ms = takeover != NULL ? g_ascii_strtoll (takeover, NULL, 10) : 0;
	const char *decider = evhttp_find_header (&fields, QUERY_DECIDER);
	const char *epoch = evhttp_find_header (&fields, QUERY_EPOCH);
	if (decider != NULL && epoch != NULL &&
	    dff_address_from_text (dff_str_from (decider), &question.new_holder))
		question.epoch = g_ascii_strtoll (epoch, NULL, 10);
	evhttp_clear_headers (&fields);
	return question;
}

static GString *
question_path (const struct dff_holder_probe *question)
{
	GString *path = g_string_new (INSTANCE_PATH "?");
	if (question->release_if_unwritable)
		g_string_append (path, QUERY_YIELD "=1&");
	if (question->asker_takeover_ms > 0)
		g_string_append_printf (path, QUERY_TAKEOVER "=%" PRId64 "&",
					question->asker_takeover_ms);
	if (!dff_name_is_empty (&question->new_holder))
		g_string_append_printf (path, QUERY_DECIDER "=%s&" QUERY_EPOCH "=%" PRId64 "&",
					question->new_holder.data, question->epoch);
	/* The mark that is left over. */
	g_string_truncate (path, path->len - 1);
	return path;
}

static void
handle_request (struct evhttp_request *request, void *ctx)
{
	const struct dff_probe_link *presence = ctx;
	const char *query = evhttp_uri_get_query (evhttp_request_get_evhttp_uri (request));
	struct dff_holder_probe question = read_question (query);
	struct dff_holder *holder = presence->options.holder;
	bool idle = dff_holder_answer_probe (holder, &question) == DFF_HOLDER_PROBE_IDLE;
	evbuffer_add (evhttp_request_get_output_buffer (request),
		      presence->options.incarnation.data, presence->options.incarnation.len);
	evhttp_send_reply (request, idle ? STATUS_IDLE : HTTP_OK, NULL, NULL);
}

struct presence_call {
	const struct dff_clock *clock;
	struct dff_name instance;
	int64_t begun_ms;
	dff_holder_probe_func done;
	void *user;
};

static enum dff_holder_probe_result
judge (const struct presence_call *call, const struct dff_http_response *response)
{
	int64_t took_ms = dff_clock_now_ms (call->clock) - call->begun_ms;
	bool named = response->status == HTTP_OK || response->status == STATUS_IDLE;
	if (response->outcome == DFF_HTTP_ANSWERED && named) {
		struct dff_str instance = {call->instance.data, call->instance.len};
		if (!dff_str_equal (response->body, instance))
			return DFF_HOLDER_PROBE_REPLACED;
		return response->status == HTTP_OK ? DFF_HOLDER_PROBE_ACTIVE
						   : DFF_HOLDER_PROBE_IDLE;
	}
	/* Refused before its time is up: nobody listens there. */
	if (response->outcome == DFF_HTTP_UNSENT && took_ms < PRESENCE_TIMEOUT_MS / 2)
		return DFF_HOLDER_PROBE_REFUSED;
	return DFF_HOLDER_PROBE_TIMED_OUT;
}

static void
handle_response (void *user, const struct dff_http_response *response)
{
	struct presence_call *call = user;
	call->done (call->user, judge (call, response));
	g_free (call);
}

void
dff_probe_link_send (void *ctx,
		     const struct dff_name *address,
		     const struct dff_name *instance,
		     const struct dff_holder_probe *question,
		     dff_holder_probe_func done,
		     void *user)
{
	struct dff_probe_link *presence = ctx;
	struct presence_call *call = g_new0 (struct presence_call, 1);
	call->clock = presence->options.clock;
	call->instance = *instance;
	call->begun_ms = dff_clock_now_ms (presence->options.clock);
	call->done = done;
	call->user = user;
	GString *path = question_path (question);
	struct dff_http_request request = {.address = *address,
					   .method = EVHTTP_REQ_GET,
					   .path = path->str,
					   .timeout_ms = PRESENCE_TIMEOUT_MS};
	dff_http_client_send (presence->client, &request, handle_response, call);
	g_string_free (path, TRUE);
}

struct dff_probe_link *
dff_probe_link_new (const struct dff_probe_link_options *options)
{
	struct dff_probe_link *presence = g_new0 (struct dff_probe_link, 1);
	struct dff_http_client_options client;
	dff_http_client_options_init (&client);
	client.base = options->base;
	client.metrics = options->metrics;
	client.max_connections = 1;
	presence->options = *options;
	presence->client = dff_http_client_new (&client);
	return presence;
}

void
dff_probe_link_free (struct dff_probe_link *presence)
{
	dff_http_client_free (presence->client);
	g_free (presence);
}

void
dff_probe_link_set_local_holder (struct dff_probe_link *presence, struct dff_holder *holder)
{
	presence->options.holder = holder;
}

void
dff_probe_link_serve (struct dff_probe_link *presence, struct evhttp *http)
{
	evhttp_set_cb (http, INSTANCE_PATH, handle_request, presence);
}
