#include "fleet/probe_link.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <inttypes.h>

#include "common/address.h"
#include "common/http_client.h"

/** Path at which a process answers with the name of its incarnation, on the readiness address. */
#define INSTANCE_PATH "/instance"
/** Query parameters: to release the lease if the store is not writable, and to hand over to the
 * asking process, whose takeover takes this long, ms. */
#define QUERY_RELEASE "yield"
#define QUERY_TAKEOVER "takeover"
/** Query parameters: address of the asking process if it has acquired the lease, and its epoch. */
#define QUERY_HOLDER "decider"
#define QUERY_EPOCH "epoch"
/** Timeout of a probe, ms. */
#define PROBE_TIMEOUT_MS 300
/** Status with which a process that does not hold the lease answers; the body is its incarnation as
 * well. */
#define STATUS_IDLE 203

struct dff_probe_link {
	struct dff_probe_link_options options;
	struct dff_http_client *client;
};

/* Parses a probe. A query string that cannot be parsed requests nothing. */
static struct dff_holder_probe
parse_probe (const char *query)
{
	struct dff_holder_probe probe = {0};
	struct evkeyvalq fields;
	if (query == NULL || evhttp_parse_query_str (query, &fields) != 0)
		return probe;
	const char *takeover = evhttp_find_header (&fields, QUERY_TAKEOVER);
	probe.release_if_unwritable = evhttp_find_header (&fields, QUERY_RELEASE) != NULL;
	probe.asker_takeover_ms = takeover != NULL ? g_ascii_strtoll (takeover, NULL, 10) : 0;
	const char *holder_address = evhttp_find_header (&fields, QUERY_HOLDER);
	const char *epoch = evhttp_find_header (&fields, QUERY_EPOCH);
	if (holder_address != NULL && epoch != NULL &&
	    dff_address_from_text (dff_str_from (holder_address), &probe.new_holder))
		probe.epoch = g_ascii_strtoll (epoch, NULL, 10);
	evhttp_clear_headers (&fields);
	return probe;
}

static GString *
probe_path (const struct dff_holder_probe *probe)
{
	GString *path = g_string_new (INSTANCE_PATH "?");
	if (probe->release_if_unwritable)
		g_string_append (path, QUERY_RELEASE "=1&");
	if (probe->asker_takeover_ms > 0)
		g_string_append_printf (path, QUERY_TAKEOVER "=%" PRId64 "&",
					probe->asker_takeover_ms);
	if (!dff_name_is_empty (&probe->new_holder))
		g_string_append_printf (path, QUERY_HOLDER "=%s&" QUERY_EPOCH "=%" PRId64 "&",
					probe->new_holder.data, probe->epoch);
	/* The trailing '&' or '?'. */
	g_string_truncate (path, path->len - 1);
	return path;
}

static void
handle_request (struct evhttp_request *request, void *ctx)
{
	const struct dff_probe_link *link = ctx;
	const char *query = evhttp_uri_get_query (evhttp_request_get_evhttp_uri (request));
	struct dff_holder_probe probe = parse_probe (query);
	struct dff_holder *holder = link->options.holder;
	bool idle = dff_holder_answer_probe (holder, &probe) == DFF_HOLDER_PROBE_IDLE;
	evbuffer_add (evhttp_request_get_output_buffer (request), link->options.incarnation.data,
		      link->options.incarnation.len);
	evhttp_send_reply (request, idle ? STATUS_IDLE : HTTP_OK, NULL, NULL);
}

struct probe_call {
	const struct dff_clock *clock;
	struct dff_name incarnation;
	int64_t started_ms;
	dff_holder_probe_func done;
	void *user;
};

static enum dff_holder_probe_result
evaluate_response (const struct probe_call *call, const struct dff_http_response *response)
{
	int64_t took_ms = dff_clock_now_ms (call->clock) - call->started_ms;
	bool named = response->status == HTTP_OK || response->status == STATUS_IDLE;
	if (response->outcome == DFF_HTTP_ANSWERED && named) {
		struct dff_str incarnation = {call->incarnation.data, call->incarnation.len};
		if (!dff_str_equal (response->body, incarnation))
			return DFF_HOLDER_PROBE_REPLACED;
		return response->status == HTTP_OK ? DFF_HOLDER_PROBE_ACTIVE
						   : DFF_HOLDER_PROBE_IDLE;
	}
	/* The connection was refused before the timeout: no process listens at the address. */
	if (response->outcome == DFF_HTTP_UNSENT && took_ms < PROBE_TIMEOUT_MS / 2)
		return DFF_HOLDER_PROBE_REFUSED;
	return DFF_HOLDER_PROBE_TIMED_OUT;
}

static void
handle_response (void *user, const struct dff_http_response *response)
{
	struct probe_call *call = user;
	call->done (call->user, evaluate_response (call, response));
	g_free (call);
}

void
dff_probe_link_send (void *ctx,
		     const struct dff_name *address,
		     const struct dff_name *incarnation,
		     const struct dff_holder_probe *probe,
		     dff_holder_probe_func done,
		     void *user)
{
	struct dff_probe_link *link = ctx;
	struct probe_call *call = g_new0 (struct probe_call, 1);
	call->clock = link->options.clock;
	call->incarnation = *incarnation;
	call->started_ms = dff_clock_now_ms (link->options.clock);
	call->done = done;
	call->user = user;
	GString *path = probe_path (probe);
	struct dff_http_request request = {.address = *address,
					   .method = EVHTTP_REQ_GET,
					   .path = path->str,
					   .timeout_ms = PROBE_TIMEOUT_MS};
	dff_http_client_send (link->client, &request, handle_response, call);
	g_string_free (path, TRUE);
}

struct dff_probe_link *
dff_probe_link_new (const struct dff_probe_link_options *options)
{
	struct dff_probe_link *link = g_new0 (struct dff_probe_link, 1);
	struct dff_http_client_options client;
	dff_http_client_options_init (&client);
	client.base = options->base;
	client.metrics = options->metrics;
	client.max_connections = 1;
	link->options = *options;
	link->client = dff_http_client_new (&client);
	return link;
}

void
dff_probe_link_free (struct dff_probe_link *link)
{
	dff_http_client_free (link->client);
	g_free (link);
}

void
dff_probe_link_set_local_holder (struct dff_probe_link *link, struct dff_holder *holder)
{
	link->options.holder = holder;
}

void
dff_probe_link_serve (struct dff_probe_link *link, struct dff_http_server *server)
{
	dff_http_server_add_path (server, INSTANCE_PATH, handle_request, link);
}
