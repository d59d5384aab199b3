#include "upstream/http_worker.h"

#include <string.h>

#include "upstream/worker_wire.h"

#define COMMAND_TIMEOUT_MS 500
#define RENEW_TIMEOUT_MS 1000
#define HTTP_TOO_MANY_REQUESTS 429
#define HTTP_UNAVAILABLE 503
/** Transit time allowed for the answer after the worker's own deadline, ms. */
#define ANSWER_TRANSIT_MS 50
/** Maximum number of workers whose last clock is kept. When it is reached, all are dropped, which
 * costs each worker one renewal that does not prolong leases. */
#define MAX_CLOCKS 4096

struct dff_http_worker {
	struct dff_http_client *http;
	int32_t command_timeout_ms;
	int32_t renew_timeout_ms;
	int32_t renew_wait_ms;
	struct dff_worker_client client;
	/** Reused for each answer. Elements: struct dff_task_report. */
	GArray *reports;
	/** Reused for each body; the HTTP client copies it. */
	GString *body;
	/** Elements: struct worker_call. Calls that are still in progress are freed with this
	 * struct, because a freed HTTP client does not call back. */
	GQueue calls;
	/** Key: struct dff_name, address; value: int64_t, worker's clock in its last answer. */
	GHashTable *last_clocks;
	int64_t *uncertain;
	int64_t *malformed;
};

/** A call in progress. */
struct worker_call {
	/** Link in dff_http_worker.calls; its data is this struct. */
	GList link;
	struct dff_http_worker *worker;
	struct dff_name address;
	/** Exactly one of the two is set. */
	dff_worker_func done;
	dff_request_func request_done;
	void *user;
};

static enum dff_worker_outcome
no_answer_outcome (struct dff_http_worker *worker, enum dff_http_outcome outcome)
{
	if (outcome == DFF_HTTP_UNSENT)
		return DFF_WORKER_UNSENT;
	(*worker->uncertain)++;
	return DFF_WORKER_UNCERTAIN;
}

/* Only a 4xx proves that the call had no effect. A 5xx or a body that cannot be parsed may come
 * from a worker that failed half-way: a refusal would report a running task as not run. */
static enum dff_worker_outcome
command_outcome (struct dff_http_worker *worker,
		 const struct dff_http_response *response,
		 struct dff_worker_result *result)
{
	if (response->outcome != DFF_HTTP_ANSWERED)
		return no_answer_outcome (worker, response->outcome);
	bool valid = dff_worker_wire_parse_answer (response->body, result, worker->reports);
	if (response->status >= 400 && response->status < 500)
		return DFF_WORKER_REFUSED;
	if (valid && response->status == 200)
		return DFF_WORKER_OK;
	if (!valid)
		(*worker->malformed)++;
	return no_answer_outcome (worker, DFF_HTTP_UNCERTAIN);
}

static struct worker_call *
call_new (struct dff_http_worker *worker, void *user)
{
	struct worker_call *call = g_new0 (struct worker_call, 1);
	call->link.data = call;
	call->worker = worker;
	call->user = user;
	g_queue_push_tail_link (&worker->calls, &call->link);
	return call;
}

/** Removes and frees a call. Returns: a copy of it. */
static struct worker_call
call_finish (struct worker_call *call)
{
	struct worker_call finished = *call;
	g_queue_unlink (&call->worker->calls, &call->link);
	g_free (call);
	return finished;
}

static void
store_clock (struct dff_http_worker *worker,
	     const struct dff_name *address,
	     int64_t worker_clock_ms)
{
	int64_t *clock_ms = g_hash_table_lookup (worker->last_clocks, address);
	if (clock_ms != NULL) {
		*clock_ms = worker_clock_ms;
		return;
	}
	if (g_hash_table_size (worker->last_clocks) >= MAX_CLOCKS)
		g_hash_table_remove_all (worker->last_clocks);
	clock_ms = g_new (int64_t, 1);
	*clock_ms = worker_clock_ms;
	g_hash_table_insert (worker->last_clocks, dff_name_dup (address), clock_ms);
}

static void
handle_command_response (void *user, const struct dff_http_response *response)
{
	struct worker_call call = call_finish (user);
	struct dff_worker_result result = {0};
	result.outcome = command_outcome (call.worker, response, &result);
	if (result.outcome == DFF_WORKER_OK)
		store_clock (call.worker, &call.address, result.clock_ms);
	call.done (call.user, &result);
}

static void
send_call (struct dff_http_worker *worker,
	   const struct dff_name *address,
	   struct dff_http_request *request,
	   dff_worker_func done,
	   void *user)
{
	struct worker_call *call = call_new (worker, user);
	call->done = done;
	call->address = *address;
	request->address = *address;
	dff_http_client_send (worker->http, request, handle_command_response, call);
}

static void
send_body (struct dff_http_worker *worker,
	   const struct dff_name *address,
	   const char *path,
	   int32_t timeout_ms,
	   dff_worker_func done,
	   void *user)
{
	struct dff_http_request request = {
		.method = EVHTTP_REQ_POST,
		.path = path,
		.body = {worker->body->str, worker->body->len},
		.timeout_ms = timeout_ms,
	};
	send_call (worker, address, &request, done, user);
}

static void
send_start (void *ctx,
	    const struct dff_name *address,
	    const struct dff_task_start *start,
	    dff_worker_func done,
	    void *user)
{
	struct dff_http_worker *worker = ctx;
	g_string_truncate (worker->body, 0);
	dff_worker_wire_append_start (worker->body, start);
	struct dff_http_header header = {"traceparent", start->traceparent};
	struct dff_http_request request = {
		.method = EVHTTP_REQ_POST,
		.path = DFF_WORKER_PATH_START,
		.headers = &header,
		.n_headers = start->traceparent.len > 0 ? 1 : 0,
		.body = {worker->body->str, worker->body->len},
		.timeout_ms = worker->command_timeout_ms,
	};
	send_call (worker, address, &request, done, user);
}

static void
send_command (struct dff_http_worker *worker,
	      const struct dff_name *address,
	      const char *path,
	      const struct dff_worker_command *command,
	      dff_worker_func done,
	      void *user)
{
	g_string_truncate (worker->body, 0);
	dff_worker_wire_append_command (worker->body, command);
	send_body (worker, address, path, worker->command_timeout_ms, done, user);
}

static void
send_release (void *ctx,
	      const struct dff_name *address,
	      const struct dff_task_id *task,
	      int64_t epoch,
	      dff_worker_func done,
	      void *user)
{
	struct dff_worker_command command = {.task = *task, .epoch = epoch};
	send_command (ctx, address, DFF_WORKER_PATH_RELEASE, &command, done, user);
}

static void
send_checkpoint (void *ctx,
		 const struct dff_name *address,
		 const struct dff_task_id *task,
		 int64_t epoch,
		 dff_worker_func done,
		 void *user)
{
	struct dff_worker_command command = {.task = *task, .epoch = epoch};
	send_command (ctx, address, DFF_WORKER_PATH_CHECKPOINT, &command, done, user);
}

static void
send_throttle (void *ctx,
	       const struct dff_name *address,
	       const struct dff_task_id *task,
	       int64_t epoch,
	       int32_t percent,
	       dff_worker_func done,
	       void *user)
{
	struct dff_worker_command command = {.task = *task, .epoch = epoch, .percent = percent};
	send_command (ctx, address, DFF_WORKER_PATH_THROTTLE, &command, done, user);
}

static void
send_stop (void *ctx,
	   const struct dff_name *address,
	   const struct dff_task_id *task,
	   int64_t epoch,
	   dff_worker_func done,
	   void *user)
{
	struct dff_worker_command command = {.task = *task, .epoch = epoch};
	send_command (ctx, address, DFF_WORKER_PATH_STOP, &command, done, user);
}

static void
send_query (void *ctx, const struct dff_name *address, dff_worker_func done, void *user)
{
	struct dff_http_worker *worker = ctx;
	struct dff_http_request request = {
		.method = EVHTTP_REQ_GET,
		.path = DFF_WORKER_PATH_QUERY,
		.timeout_ms = worker->renew_timeout_ms,
	};
	send_call (worker, address, &request, done, user);
}

static void
send_renew (void *ctx,
	    const struct dff_name *address,
	    int32_t lease_ms,
	    int64_t after_sequence,
	    dff_worker_func done,
	    void *user)
{
	struct dff_http_worker *worker = ctx;
	const int64_t *clock_ms = g_hash_table_lookup (worker->last_clocks, address);
	struct dff_worker_renewal renewal = {
		lease_ms, after_sequence, clock_ms == NULL ? 0 : *clock_ms, worker->renew_wait_ms};
	g_string_truncate (worker->body, 0);
	dff_worker_wire_append_renewal (worker->body, &renewal);
	send_body (worker, address, DFF_WORKER_PATH_RENEW,
		   worker->renew_timeout_ms + worker->renew_wait_ms, done, user);
}

static bool
has_leaving_header (const struct dff_http_response *response)
{
	return response->headers != NULL &&
	       evhttp_find_header (response->headers, DFF_WORKER_HEADER_LEAVING) != NULL;
}

/* A worker answers 429 and 503 only before it begins a request. Such a request has not run and may
 * be sent to another worker, even if it is not idempotent. */
static enum dff_worker_outcome
request_outcome (struct dff_http_worker *worker, const struct dff_http_response *response)
{
	if (response->outcome != DFF_HTTP_ANSWERED)
		return no_answer_outcome (worker, response->outcome);
	if (response->status == HTTP_TOO_MANY_REQUESTS || response->status == HTTP_UNAVAILABLE)
		return DFF_WORKER_REFUSED;
	return DFF_WORKER_OK;
}

static void
handle_request_response (void *user, const struct dff_http_response *response)
{
	struct worker_call call = call_finish (user);
	struct dff_request_result result = {
		.outcome = request_outcome (call.worker, response),
		.status = response->status,
		.body = response->body,
		.leaving = has_leaving_header (response),
	};
	call.request_done (call.user, &result);
}

static void
send_request (void *ctx,
	      const struct dff_name *address,
	      const struct dff_name *service,
	      const struct dff_name *request_id,
	      struct dff_str body,
	      struct dff_str traceparent,
	      int32_t deadline_ms,
	      dff_request_func done,
	      void *user)
{
	struct dff_http_worker *worker = ctx;
	char path[sizeof (DFF_WORKER_PATH_SERVICES "/requests") + DFF_NAME_MAX];
	char deadline[12];
	g_snprintf (path, sizeof (path), DFF_WORKER_PATH_SERVICES "%s/requests", service->data);
	g_snprintf (deadline, sizeof (deadline), "%d", deadline_ms);
	const struct dff_http_header headers[] = {
		{"Request-Id", {request_id->data, request_id->len}},
		{"Deadline-Ms", dff_str_from (deadline)},
		{"traceparent", traceparent},
	};
	struct dff_http_request request = {
		.address = *address,
		.method = EVHTTP_REQ_POST,
		.path = path,
		.headers = headers,
		.n_headers = G_N_ELEMENTS (headers) - (traceparent.len > 0 ? 0 : 1),
		.body = body,
		.timeout_ms = deadline_ms + ANSWER_TRANSIT_MS,
	};
	struct worker_call *call = call_new (worker, user);
	call->request_done = done;
	dff_http_client_send (worker->http, &request, handle_request_response, call);
}

void
dff_http_worker_options_init (struct dff_http_worker_options *options)
{
	memset (options, 0, sizeof (*options));
	options->command_timeout_ms = COMMAND_TIMEOUT_MS;
	options->renew_timeout_ms = RENEW_TIMEOUT_MS;
}

static const struct dff_worker_client http_interface = {
	.start = send_start,
	.release = send_release,
	.checkpoint = send_checkpoint,
	.throttle = send_throttle,
	.stop = send_stop,
	.query = send_query,
	.renew = send_renew,
	.request = send_request,
};

struct dff_http_worker *
dff_http_worker_new (const struct dff_http_worker_options *options)
{
	struct dff_http_worker *worker = g_new0 (struct dff_http_worker, 1);
	worker->http = options->http;
	worker->command_timeout_ms = options->command_timeout_ms;
	worker->renew_timeout_ms = options->renew_timeout_ms;
	worker->renew_wait_ms = options->renew_wait_ms;
	worker->client = http_interface;
	worker->client.ctx = worker;
	worker->reports = g_array_new (FALSE, TRUE, sizeof (struct dff_task_report));
	worker->body = g_string_new (NULL);
	worker->last_clocks =
		g_hash_table_new_full (dff_name_hash, dff_name_equal_func, g_free, g_free);
	worker->uncertain = dff_metrics_counter (options->metrics, "dff_upstream_uncertain_total",
						 "Calls to workers without a whole answer.");
	worker->malformed = dff_metrics_counter (options->metrics, "dff_upstream_malformed_total",
						 "Answers of workers that could not be read.");
	return worker;
}

void
dff_http_worker_free (struct dff_http_worker *worker)
{
	while (!g_queue_is_empty (&worker->calls))
		call_finish (worker->calls.head->data);
	g_hash_table_unref (worker->last_clocks);
	g_array_unref (worker->reports);
	g_string_free (worker->body, TRUE);
	g_free (worker);
}

void
dff_http_worker_set_renew_wait (struct dff_http_worker *worker, int32_t renew_wait_ms)
{
	worker->renew_wait_ms = renew_wait_ms;
}

const struct dff_worker_client *
dff_http_worker_interface (struct dff_http_worker *worker)
{
	return &worker->client;
}
