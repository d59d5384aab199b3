#include "fleet/state_link.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

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
	dff_front_state_func done;
	void *user;
};

static void
handle_sight (void *user, const struct dff_holder_sight *sight)
{
	g_autofree struct question *question = user;
	question->done (question->user, sight->known, sight->state);
}

static void
handle_response (void *user, const struct dff_http_response *response)
{
	g_autofree struct question *question = user;
	struct dff_state_link *link = question->link;
	bool answered = response->outcome == DFF_HTTP_ANSWERED;
	enum dff_job_state state = DFF_JOB_STATE_QUEUED;
	bool known = answered && response->status == HTTP_OK &&
		     dff_job_state_parse (response->body, &state);
	if (!answered) {
		(*link->unanswered)++;
		link->avoid_until_ms = dff_clock_now_ms (link->options.clock) + AVOID_MS;
		link->options.decider_lost (link->options.ctx);
	}
	question->done (question->user, known, state);
}

bool
dff_state_link_ask (void *ctx, const struct dff_name *job, dff_front_state_func done, void *user)
{
	struct dff_state_link *link = ctx;
	bool reached = !dff_name_is_empty (&link->decider) &&
		       dff_clock_now_ms (link->options.clock) >= link->avoid_until_ms;
	if (!link->is_decider && !reached)
		return false;
	struct question *question = g_new0 (struct question, 1);
	*question = (struct question){.link = link, .done = done, .user = user};
	(*link->asked)++;
	if (link->is_decider) {
		dff_holder_look (link->holder, job, handle_sight, question);
		return true;
	}
	g_autofree char *path = g_strdup_printf (STATE_PATH "?" QUERY_JOB "=%s", job->data);
	struct dff_http_request request = {.address = link->decider,
					   .method = EVHTTP_REQ_GET,
					   .path = path,
					   .timeout_ms = ASK_TIMEOUT_MS};
	dff_http_client_send (link->client, &request, handle_response, question);
	return true;
}

static void
answer_sight (void *user, const struct dff_holder_sight *sight)
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
	dff_holder_look (link->holder, &job, answer_sight, request);
}

void
dff_state_link_serve (struct dff_state_link *link, struct evhttp *http)
{
	evhttp_set_cb (http, STATE_PATH, handle_question, link);
}

void
dff_state_link_set_holder (struct dff_state_link *link, struct dff_holder *holder)
{
	link->holder = holder;
}

void
dff_state_link_set_decider (struct dff_state_link *link, const struct dff_name *address, bool self)
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
