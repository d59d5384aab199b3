#include "fleet/presence.h"

#include <event2/buffer.h>
#include <string.h>

#include "common/http_client.h"

/** Path at which a process tells its name, on the address for readiness, and the time that one who
 * asks waits, ms. */
#define INSTANCE_PATH "/instance"
#define QUERY_YIELD "yield"
#define PRESENCE_TIMEOUT_MS 300
/** Status of an answer whose body is the name of a process that does not hold the cell. */
#define STATUS_IDLE 203

struct dff_presence {
	struct dff_presence_options options;
	struct dff_http_client *client;
};

static void
handle_request (struct evhttp_request *request, void *ctx)
{
	const struct dff_presence *presence = ctx;
	const char *query = evhttp_uri_get_query (evhttp_request_get_evhttp_uri (request));
	bool yield = query != NULL && strcmp (query, QUERY_YIELD) == 0;
	struct dff_holder *holder = presence->options.holder;
	bool idle = dff_holder_answer_presence (holder, yield) == DFF_HOLDER_IDLE;
	evbuffer_add (evhttp_request_get_output_buffer (request), presence->options.life.data,
		      presence->options.life.len);
	evhttp_send_reply (request, idle ? STATUS_IDLE : HTTP_OK, NULL, NULL);
}

struct presence_call {
	const struct dff_clock *clock;
	struct dff_name instance;
	int64_t begun_ms;
	dff_holder_presence_func done;
	void *user;
};

static enum dff_holder_presence
judge (const struct presence_call *call, const struct dff_http_response *response)
{
	int64_t took_ms = dff_clock_now_ms (call->clock) - call->begun_ms;
	bool named = response->status == HTTP_OK || response->status == STATUS_IDLE;
	if (response->outcome == DFF_HTTP_ANSWERED && named) {
		struct dff_str instance = {call->instance.data, call->instance.len};
		if (!dff_str_equal (response->body, instance))
			return DFF_HOLDER_REPLACED;
		return response->status == HTTP_OK ? DFF_HOLDER_PRESENT : DFF_HOLDER_IDLE;
	}
	/* Refused before its time is up: nobody listens there. */
	if (response->outcome == DFF_HTTP_UNSENT && took_ms < PRESENCE_TIMEOUT_MS / 2)
		return DFF_HOLDER_REFUSED;
	return DFF_HOLDER_UNHEARD;
}

static void
handle_response (void *user, const struct dff_http_response *response)
{
	struct presence_call *call = user;
	call->done (call->user, judge (call, response));
	g_free (call);
}

void
dff_presence_ask (void *ctx,
		  const struct dff_name *address,
		  const struct dff_name *instance,
		  bool yield,
		  dff_holder_presence_func done,
		  void *user)
{
	struct dff_presence *presence = ctx;
	struct presence_call *call = g_new0 (struct presence_call, 1);
	call->clock = presence->options.clock;
	call->instance = *instance;
	call->begun_ms = dff_clock_now_ms (presence->options.clock);
	call->done = done;
	call->user = user;
	struct dff_http_request request = {.address = *address,
					   .method = EVHTTP_REQ_GET,
					   .path = yield ? INSTANCE_PATH "?" QUERY_YIELD
							 : INSTANCE_PATH,
					   .timeout_ms = PRESENCE_TIMEOUT_MS};
	dff_http_client_send (presence->client, &request, handle_response, call);
}

struct dff_presence *
dff_presence_new (const struct dff_presence_options *options)
{
	struct dff_presence *presence = g_new0 (struct dff_presence, 1);
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
dff_presence_free (struct dff_presence *presence)
{
	dff_http_client_free (presence->client);
	g_free (presence);
}

void
dff_presence_set_holder (struct dff_presence *presence, struct dff_holder *holder)
{
	presence->options.holder = holder;
}

void
dff_presence_serve (struct dff_presence *presence, struct evhttp *http)
{
	evhttp_set_cb (http, INSTANCE_PATH, handle_request, presence);
}
