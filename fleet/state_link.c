#include "fleet/state_link.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

#include "common/address.h"
#include "common/http_client.h"

#define STATE_PATH "/state"
#define QUERY_JOB "job"
/** Connections to the process that decides: a question may wait there for a tenth of a second. */
#define CONNECTIONS 4
/** Timeout of a question, ms: the longest wait there, and as much for a process that is short of
 * processor time. */
#define ASK_TIMEOUT_MS 200
/** How long rows are read instead after a question without an answer, ms: the process may be gone,
 * and the next is known within that. */
#define AVOID_MS 500
/** Status of an answer of a process that does not decide; its body is the address of the one that
 * does, or empty. */
#define STATUS_MISDIRECTED 421
/** Processes that are asked, one after the other, while each says that it does not decide. */
#define ASKED_MAX 3

struct dff_state_link {
	struct dff_state_link_options options;
	struct dff_http_client *client;
	struct dff_holder *holder;
	struct dff_name decider;
	bool is_decider;
	int64_t avoid_until_ms;
	int64_t *asked;
	int64_t *unanswered;
};

struct question {
	struct dff_state_link *link;
	struct dff_name job;
	int32_t n_asked;
	dff_front_state_func done;
	void *user;
};

static void
handle_sight (void *user, const struct dff_holder_job_state *sight)
{
	g_autofree struct question *question = user;
	question->done (question->user, sight->known, sight->state);
}

static void ask (struct question *question);

static bool
is_reached (const struct dff_state_link *link)
{
	return !dff_name_is_empty (&link->decider) &&
	       dff_clock_now_ms (link->options.clock) >= link->avoid_until_ms;
}

/* The process that was asked has not answered, or does not decide: it is left alone for a moment,
 * unless it names another one. */
static void
leave_decider (struct dff_state_link *link, const struct dff_name *next)
{
	if (!dff_name_is_empty (next) && !dff_name_equal (next, &link->decider)) {
		dff_state_link_set_holder_address (link, next, false);
		link->options.holder_moved (link->options.ctx, next);
	} else {
		link->avoid_until_ms = dff_clock_now_ms (link->options.clock) + AVOID_MS;
	}
	link->options.holder_lost (link->options.ctx);
}

static void
handle_response (void *user, const struct dff_http_response *response)
{
	struct question *question = user;
	struct dff_state_link *link = question->link;
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
		leave_decider (link, &next);
	}
	if (misdirected && !link->is_decider && is_reached (link) &&
	    question->n_asked < ASKED_MAX) {
		ask (question);
		return;
	}
	question->done (question->user, known, state);
	g_free (question);
}

static void
ask (struct question *question)
{
	struct dff_state_link *link = question->link;
	g_autofree char *path =
		g_strdup_printf (STATE_PATH "?" QUERY_JOB "=%s", question->job.data);
	struct dff_http_request request = {.address = link->decider,
					   .method = EVHTTP_REQ_GET,
					   .path = path,
					   .timeout_ms = ASK_TIMEOUT_MS};
	question->n_asked++;
	dff_http_client_send (link->client, &request, handle_response, question);
}

bool
dff_state_link_query (void *ctx, const struct dff_name *job, dff_front_state_func done, void *user)
{
	struct dff_state_link *link = ctx;
	if (!link->is_decider && !is_reached (link))
		return false;
	struct question *question = g_new0 (struct question, 1);
	*question = (struct question){.link = link, .job = *job, .done = done, .user = user};
	(*link->asked)++;
	if (link->is_decider)
		dff_holder_query_state (link->holder, job, handle_sight, question);
	else
		ask (question);
	return true;
}

static void
answer_sight (void *user, const struct dff_holder_job_state *sight)
{
	struct evhttp_request *request = user;
	const char *name = dff_job_state_name (sight->state);
	if (sight->known)
		evbuffer_add_printf (evhttp_request_get_output_buffer (request), "%s", name);
	evhttp_send_reply (request, sight->known ? HTTP_OK : HTTP_NOTFOUND, NULL, NULL);
}

static bool
read_job (struct evhttp_request *request, struct dff_name *job)
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
handle_question (struct evhttp_request *request, void *ctx)
{
	const struct dff_state_link *link = ctx;
	struct dff_name job;
	if (!read_job (request, &job)) {
		evhttp_send_reply (request, HTTP_BADREQUEST, NULL, NULL);
		return;
	}
	if (!link->is_decider) {
		evbuffer_add (evhttp_request_get_output_buffer (request), link->decider.data,
			      link->decider.len);
		evhttp_send_reply (request, STATUS_MISDIRECTED, NULL, NULL);
		return;
	}
	dff_holder_query_state (link->holder, &job, answer_sight, request);
}

void
dff_state_link_serve (struct dff_state_link *link, struct evhttp *http)
{
	evhttp_set_cb (http, STATE_PATH, handle_question, link);
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
	if (!dff_name_equal (&link->decider, address))
		link->avoid_until_ms = 0;
	link->decider = *address;
	link->is_decider = self;
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
	link->asked = dff_metrics_counter (options->metrics, "dff_state_asked_total",
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
