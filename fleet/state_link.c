#include "fleet/state_link.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

#include "common/address.h"
#include "common/http_client.h"

#define STATE_PATH "/state"
#define QUERY_JOB "job"
/** Maximum number of connections to the holder. More than one, as a query may wait there for a
 * tenth of a second. */
#define CONNECTIONS 4
/** Timeout of a query, ms: the longest wait at the holder, and as long again for a process that is
 * short of processor time. */
#define QUERY_TIMEOUT_MS 200
/** Time for which the store is read instead after a query without an answer, ms. The holder may
 * have failed, and the next holder is known within this time. */
#define HOLDER_AVOID_MS 500
/** Status with which a process that is not the holder answers; the body is the holder's address, or
 * empty if it is not known. */
#define STATUS_MISDIRECTED 421
/** Maximum number of processes that are queried in turn, while each answers that it is not the
 * holder. */
#define QUERIES_MAX 3

struct dff_state_link {
	struct dff_state_link_options options;
	struct dff_http_client *client;
	struct dff_holder *holder;
	struct dff_name holder_address;
	bool is_holder;
	int64_t avoid_until_ms;
	int64_t *queries;
	int64_t *unanswered;
};

struct state_query {
	struct dff_state_link *link;
	struct dff_name job;
	int32_t n_sent;
	dff_front_state_func done;
	void *user;
};

static void
handle_local_state (void *user, const struct dff_holder_job_state *job_state)
{
	g_autofree struct state_query *state_query = user;
	state_query->done (state_query->user, job_state->known, job_state->state);
}

static void send_query (struct state_query *state_query);

static bool
holder_reachable (const struct dff_state_link *link)
{
	return !dff_name_is_empty (&link->holder_address) &&
	       dff_clock_now_ms (link->options.clock) >= link->avoid_until_ms;
}

/* Handles a holder that has not answered or is not the holder any more. If its answer named another
 * process, that process is queried; otherwise the holder is not queried for HOLDER_AVOID_MS. */
static void
handle_holder_unavailable (struct dff_state_link *link, const struct dff_name *next)
{
	if (!dff_name_is_empty (next) && !dff_name_equal (next, &link->holder_address)) {
		dff_state_link_set_holder_address (link, next, false);
		link->options.holder_moved (link->options.ctx, next);
	} else {
		link->avoid_until_ms = dff_clock_now_ms (link->options.clock) + HOLDER_AVOID_MS;
	}
	link->options.holder_lost (link->options.ctx);
}

static void
handle_response (void *user, const struct dff_http_response *response)
{
	struct state_query *state_query = user;
	struct dff_state_link *link = state_query->link;
	bool answered = response->outcome == DFF_HTTP_ANSWERED;
	bool misdirected = answered && response->status == STATUS_MISDIRECTED;
	enum dff_job_state state = DFF_JOB_STATE_QUEUED;
	bool known = answered && response->status == HTTP_OK &&
		     dff_job_state_parse (response->body, &state);
	(*link->unanswered) += !answered;
	if (!answered || misdirected) {
		struct dff_name next = {0};
		if (misdirected)
			dff_address_from_text (response->body, &next);
		handle_holder_unavailable (link, &next);
	}
	if (misdirected && !link->is_holder && holder_reachable (link) &&
	    state_query->n_sent < QUERIES_MAX) {
		send_query (state_query);
		return;
	}
	state_query->done (state_query->user, known, state);
	g_free (state_query);
}

static void
send_query (struct state_query *state_query)
{
	struct dff_state_link *link = state_query->link;
	g_autofree char *path =
		g_strdup_printf (STATE_PATH "?" QUERY_JOB "=%s", state_query->job.data);
	struct dff_http_request request = {.address = link->holder_address,
					   .method = EVHTTP_REQ_GET,
					   .path = path,
					   .timeout_ms = QUERY_TIMEOUT_MS};
	state_query->n_sent++;
	dff_http_client_send (link->client, &request, handle_response, state_query);
}

bool
dff_state_link_query (void *ctx, const struct dff_name *job, dff_front_state_func done, void *user)
{
	struct dff_state_link *link = ctx;
	if (!link->is_holder && !holder_reachable (link))
		return false;
	struct state_query *state_query = g_new0 (struct state_query, 1);
	*state_query = (struct state_query){.link = link, .job = *job, .done = done, .user = user};
	(*link->queries)++;
	if (link->is_holder)
		dff_holder_query_state (link->holder, job, handle_local_state, state_query);
	else
		send_query (state_query);
	return true;
}

static void
reply_job_state (void *user, const struct dff_holder_job_state *job_state)
{
	struct evhttp_request *request = user;
	const char *name = dff_job_state_name (job_state->state);
	if (job_state->known)
		evbuffer_add_printf (evhttp_request_get_output_buffer (request), "%s", name);
	evhttp_send_reply (request, job_state->known ? HTTP_OK : HTTP_NOTFOUND, NULL, NULL);
}

static bool
parse_query_job (struct evhttp_request *request, struct dff_name *job)
{
	struct evkeyvalq fields;
	const char *query = evhttp_uri_get_query (evhttp_request_get_evhttp_uri (request));
	if (query == NULL || evhttp_parse_query_str (query, &fields) != 0)
		return false;
	const char *name = evhttp_find_header (&fields, QUERY_JOB);
	bool valid = name != NULL && dff_name_parse (dff_str_from (name), job);
	evhttp_clear_headers (&fields);
	return valid;
}

static void
handle_query_request (struct evhttp_request *request, void *ctx)
{
	const struct dff_state_link *link = ctx;
	struct dff_name job;
	if (!parse_query_job (request, &job)) {
		evhttp_send_reply (request, HTTP_BADREQUEST, NULL, NULL);
		return;
	}
	if (!link->is_holder) {
		evbuffer_add (evhttp_request_get_output_buffer (request), link->holder_address.data,
			      link->holder_address.len);
		evhttp_send_reply (request, STATUS_MISDIRECTED, NULL, NULL);
		return;
	}
	dff_holder_query_state (link->holder, &job, reply_job_state, request);
}

void
dff_state_link_serve (struct dff_state_link *link, struct dff_http_server *server)
{
	dff_http_server_add_path (server, STATE_PATH, handle_query_request, link);
}

void
dff_state_link_set_local_holder (struct dff_state_link *link, struct dff_holder *holder)
{
	link->holder = holder;
}

void
dff_state_link_set_holder_address (struct dff_state_link *link,
				   const struct dff_name *address,
				   bool self)
{
	if (!dff_name_equal (&link->holder_address, address))
		link->avoid_until_ms = 0;
	link->holder_address = *address;
	link->is_holder = self;
}

struct dff_state_link *
dff_state_link_new (const struct dff_state_link_options *options)
{
	struct dff_state_link *link = g_new0 (struct dff_state_link, 1);
	struct dff_http_client_options client;
	dff_http_client_options_init (&client);
	client.base = options->base;
	client.metrics = options->metrics;
	client.max_connections = CONNECTIONS;
	link->options = *options;
	link->client = dff_http_client_new (&client);
	link->queries = dff_metrics_counter (options->metrics, "dff_state_asked_total",
					     "States asked of the process that decides.");
	link->unanswered = dff_metrics_counter (options->metrics, "dff_state_unanswered_total",
						"Of these, questions without an answer.");
	return link;
}

void
dff_state_link_free (struct dff_state_link *link)
{
	dff_http_client_free (link->client);
	g_free (link);
}
