#include "front/front.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "common/log.h"
#include "holder/tables.h"

/** Timeout of one call to the store, ms. Long enough for the answers of a store that is sixty times
 * slower than usual. */
#define CALL_TIMEOUT_MS 1000
/** Least time left for which another call to the store is made, ms. */
#define CALL_MIN_MS 20
/** Delay before repeating a write whose result is not known, or a failed read, ms. */
#define RETRY_DELAY_MS 40
/** Part of the caller's time that is reserved for delivering the answer, ms. */
#define REPLY_MARGIN_MS 60
/** Number of refusals by the store after which the call ends as DFF_FRONT_UNAVAILABLE. Another
 * process may be served while this one is refused. */
#define REFUSALS_MAX 2

struct dff_front {
	struct dff_front_options options;
	int64_t *accepted;
	int64_t *repeated;
	int64_t *unavailable;
	int64_t *unknown;
	int64_t *cancelled;
	int64_t *states;
};

static const char *const cause_names[] = {
	[DFF_FRONT_CAUSE_NONE] = "none",
	[DFF_FRONT_CAUSE_STORE_SILENT] = "store_silent",
	[DFF_FRONT_CAUSE_REFUSED] = "refused",
	[DFF_FRONT_CAUSE_DEADLINE] = "deadline",
	[DFF_FRONT_CAUSE_UNREADABLE] = "unreadable",
};

const char *
dff_front_cause_name (enum dff_front_cause cause)
{
	return cause_names[cause];
}

struct request;

typedef void (*request_step_func) (struct request *request);

/** One call of a caller, which may take several calls to the store. */
struct request {
	struct dff_front *front;
	struct dff_front_reply reply;
	struct dff_name job;
	/** Submission: the job's row. Count: the name of the class. */
	GString *value;
	/** Key of the row to be written. */
	GString *key;
	int64_t started_ms;
	/** Step that the retry timer repeats. */
	request_step_func step;
	struct dff_timer *retry;
	/** Number of writes whose result is not known; each may still take effect. */
	int32_t n_unresolved;
	int32_t n_refused;
	/** State query: whether the state is read from the store because the holder did not answer
	 * with one. */
	bool reads_store;
};

static struct request *
request_new (struct dff_front *front,
	     const struct dff_name *job,
	     const struct dff_front_reply *reply)
{
	struct request *request = g_new0 (struct request, 1);
	request->front = front;
	request->reply = *reply;
	request->job = *job;
	request->value = g_string_new (NULL);
	request->key = g_string_new (job->data);
	request->started_ms = dff_clock_now_ms (front->options.timers->clock);
	return request;
}

static void
request_finish (struct request *request, const struct dff_front_result *result)
{
	struct dff_front *front = request->front;
	(*front->unavailable) += result->outcome == DFF_FRONT_UNAVAILABLE;
	(*front->unknown) += result->outcome == DFF_FRONT_UNKNOWN;
	request->reply.done (request->reply.user, result);
	if (request->retry != NULL)
		dff_timer_free (request->retry);
	g_string_free (request->value, TRUE);
	g_string_free (request->key, TRUE);
	g_free (request);
}

static void
request_end (struct request *request, enum dff_front_outcome outcome)
{
	struct dff_front_result result = {.outcome = outcome};
	request_finish (request, &result);
}

/* Ends a request that was not done, or of which that is not known. */
static void
request_give_up (struct request *request,
		 enum dff_front_outcome outcome,
		 enum dff_front_cause cause)
{
	struct dff_front_result result = {.outcome = outcome,
					  .cause = cause,
					  .n_refused = request->n_refused,
					  .n_unresolved = request->n_unresolved};
	request_finish (request, &result);
}

static int64_t
request_left_ms (const struct request *request)
{
	return request->reply.deadline_ms - REPLY_MARGIN_MS -
	       dff_clock_now_ms (request->front->options.timers->clock);
}

static int32_t
request_timeout_ms (const struct request *request)
{
	return (int32_t)CLAMP (request_left_ms (request), CALL_MIN_MS, CALL_TIMEOUT_MS);
}

static void
handle_retry (void *ctx)
{
	struct request *request = ctx;
	request->step (request);
}

/* Repeats a step after a delay. Fails the request when the caller's remaining time does not allow
 * another try. */
static void
request_retry (struct request *request, request_step_func step)
{
	if (request_left_ms (request) < RETRY_DELAY_MS + CALL_MIN_MS) {
		request_give_up (request,
				 request->n_unresolved > 0 ? DFF_FRONT_UNKNOWN
							   : DFF_FRONT_UNAVAILABLE,
				 DFF_FRONT_CAUSE_DEADLINE);
		return;
	}
	request->step = step;
	if (request->retry == NULL)
		request->retry =
			dff_timer_new (request->front->options.timers, handle_retry, request);
	dff_timer_start (request->retry, RETRY_DELAY_MS);
}

/* A refused write had no effect: after REFUSALS_MAX refusals the caller is answered that nothing
 * was done, unless an earlier write may still take effect. */
static void
request_refused (struct request *request, request_step_func step)
{
	request->n_refused++;
	if (request->n_unresolved == 0 && request->n_refused >= REFUSALS_MAX) {
		request_give_up (request, DFF_FRONT_UNAVAILABLE, DFF_FRONT_CAUSE_REFUSED);
		return;
	}
	request_retry (request, step);
}

static void
write_row (struct request *request, struct dff_str value, dff_rows_func done)
{
	const struct dff_rows *rows = request->front->options.rows;
	struct dff_rows_condition condition = {.table = DFF_TABLE_JOBS,
					       .key = {request->key->str, request->key->len}};
	struct dff_rows_write writes[] = {
		{.table = DFF_TABLE_JOBS, .key = condition.key, .value = value},
		{.table = DFF_TABLE_INBOX, .key = condition.key, .value = dff_str_from ("{}")},
	};
	struct dff_rows_commit commit = {.conditions = &condition,
					 .n_conditions = 1,
					 .writes = writes,
					 .n_writes = G_N_ELEMENTS (writes),
					 .timeout_ms = request_timeout_ms (request)};
	rows->commit (rows->ctx, &commit, done, request);
}

static void
reject_step (struct request *request)
{
	request_give_up (request, DFF_FRONT_UNAVAILABLE, DFF_FRONT_CAUSE_STORE_SILENT);
}

/* Runs the first step of a request, or rejects the request if @allowed is false. When the store
 * does not answer, the result of a write would stay open until the caller's deadline. Nothing is
 * sent to the store then, so that the caller is answered at once that nothing was done and when to
 * retry. */
static void
request_begin_if (struct request *request, request_step_func step, bool allowed)
{
	const struct dff_front_options *options = &request->front->options;
	if (allowed) {
		step (request);
		return;
	}
	/* Asynchronous: callbacks are never called before the call returns. */
	request->step = reject_step;
	request->retry = dff_timer_new (options->timers, handle_retry, request);
	dff_timer_start (request->retry, 0);
}

static bool
store_answers (const struct dff_front_options *options)
{
	return !options->store_is_silent (options->ctx);
}

static void
request_begin (struct request *request, request_step_func step)
{
	request_begin_if (request, step, store_answers (&request->front->options));
}

/* As request_begin(), for a request that only writes: the store may answer the process that the row
 * is forwarded to. */
static void
request_begin_write (struct request *request, request_step_func step)
{
	const struct dff_front_options *options = &request->front->options;
	bool forwarded =
		options->writes_forwarded != NULL && options->writes_forwarded (options->ctx);
	request_begin_if (request, step, forwarded || store_answers (options));
}

/* Submission */

static void submit_step (struct request *request);

static void
log_accepted (const struct request *request, bool repeated, int64_t revision)
{
	dff_log (DFF_LOG_ENTRY, DFF_LOG_INFO,
		 "Job accepted. job=%s repeated=%d revision=%" PRId64 " took_ms=%" PRId64
		 " open_writes=%d",
		 request->job.data, repeated, revision,
		 dff_clock_now_ms (request->front->options.timers->clock) - request->started_ms,
		 request->n_unresolved);
}

static void
handle_submitted (void *user, const struct dff_rows_result *result)
{
	struct request *request = user;
	switch (result->outcome) {
	case DFF_ROWS_DONE:
		(*request->front->accepted)++;
		log_accepted (request, false, result->revision);
		request_end (request, DFF_FRONT_OK);
		return;
	case DFF_ROWS_CONFLICT:
		/* The row exists: an earlier call for the same job wrote it. */
		(*request->front->repeated)++;
		log_accepted (request, true, result->revision);
		request_end (request, DFF_FRONT_OK);
		return;
	case DFF_ROWS_UNKNOWN:
		request->n_unresolved++;
		request_retry (request, submit_step);
		return;
	default:
		request_refused (request, submit_step);
		return;
	}
}

static void
submit_step (struct request *request)
{
	write_row (request, (struct dff_str){request->value->str, request->value->len},
		   handle_submitted);
}

void
dff_front_submit (struct dff_front *front,
		  const struct dff_plan *plan,
		  const struct dff_front_reply *reply)
{
	struct request *request = request_new (front, &plan->id, reply);
	g_string_free (request->value, TRUE);
	request->value = dff_plan_encode (plan);
	request_begin_write (request, submit_step);
}

/* Reads the rows of the job itself: the submitted plan, and the cancellation if there is one. */
static void
read_job_rows (struct request *request, dff_rows_func done)
{
	const struct dff_rows *rows = request->front->options.rows;
	g_autofree char *to = g_strconcat (request->job.data, "/", NULL);
	struct dff_rows_range range = {.table = DFF_TABLE_JOBS,
				       .from = {request->job.data, request->job.len},
				       .to = dff_str_from (to),
				       .limit = 2,
				       .timeout_ms = request_timeout_ms (request)};
	rows->get (rows->ctx, &range, done, request);
}

static const struct dff_row *
find_row (const struct dff_rows_result *result, struct dff_str key)
{
	for (size_t i = 0; i < result->n_rows; i++) {
		if (dff_str_equal (result->rows[i].key, key))
			return &result->rows[i];
	}
	return NULL;
}

/* Cancellation */

static void cancel_step (struct request *request);

static void
handle_cancelled (void *user, const struct dff_rows_result *result)
{
	struct request *request = user;
	switch (result->outcome) {
	case DFF_ROWS_DONE:
	case DFF_ROWS_CONFLICT:
		(*request->front->cancelled)++;
		dff_log (DFF_LOG_ENTRY, DFF_LOG_INFO,
			 "Cancellation accepted. job=%s repeated=%d took_ms=%" PRId64,
			 request->job.data, result->outcome == DFF_ROWS_CONFLICT,
			 dff_clock_now_ms (request->front->options.timers->clock) -
				 request->started_ms);
		request_end (request, DFF_FRONT_OK);
		return;
	case DFF_ROWS_UNKNOWN:
		request->n_unresolved++;
		request_retry (request, cancel_step);
		return;
	default:
		request_refused (request, cancel_step);
		return;
	}
}

static void
cancel_step (struct request *request)
{
	write_row (request, dff_str_from ("{}"), handle_cancelled);
}

static void
use_cancel_key (struct request *request)
{
	g_string_assign (request->key, request->job.data);
	g_string_append (request->key, DFF_KEY_CANCEL_SUFFIX);
}

static void cancel_find_step (struct request *request);

static void
handle_cancel_found (void *user, const struct dff_rows_result *result)
{
	struct request *request = user;
	if (result->outcome != DFF_ROWS_DONE) {
		request_refused (request, cancel_find_step);
		return;
	}
	if (find_row (result, (struct dff_str){request->job.data, request->job.len}) == NULL) {
		request_end (request, DFF_FRONT_NOT_FOUND);
		return;
	}
	use_cancel_key (request);
	cancel_step (request);
}

static void
cancel_find_step (struct request *request)
{
	read_job_rows (request, handle_cancel_found);
}

/* If the holder knows the job, the job was accepted and its row need not be read. */
static void
handle_cancel_query (void *user, bool known, G_GNUC_UNUSED enum dff_job_state state)
{
	struct request *request = user;
	if (!known) {
		request_begin (request, cancel_find_step);
		return;
	}
	use_cancel_key (request);
	request_begin_write (request, cancel_step);
}

void
dff_front_cancel (struct dff_front *front,
		  const struct dff_name *job,
		  const struct dff_front_reply *reply)
{
	const struct dff_front_options *options = &front->options;
	struct request *request = request_new (front, job, reply);
	if (options->query_state == NULL ||
	    !options->query_state (options->query_ctx, job, handle_cancel_query, request))
		request_begin (request, cancel_find_step);
}

/* State query */

static void state_step (struct request *request);
static void state_job_step (struct request *request);

static void
finish_state (struct request *request, enum dff_job_state state)
{
	struct dff_front_result result = {.outcome = DFF_FRONT_OK, .state = state};
	(*request->front->states)++;
	dff_log (DFF_LOG_ENTRY, DFF_LOG_INFO,
		 "State told. job=%s state=%s from=%s took_ms=%" PRId64, request->job.data,
		 dff_job_state_name (state), request->reads_store ? "row" : "decider",
		 dff_clock_now_ms (request->front->options.timers->clock) - request->started_ms);
	request_finish (request, &result);
}

static void
handle_job_rows (void *user, const struct dff_rows_result *result)
{
	struct request *request = user;
	if (result->outcome != DFF_ROWS_DONE) {
		request_refused (request, state_job_step);
		return;
	}
	struct dff_str key = {request->job.data, request->job.len};
	if (find_row (result, key) == NULL)
		request_end (request, DFF_FRONT_NOT_FOUND);
	else if (result->n_rows > 1)
		finish_state (request, DFF_JOB_STATE_CANCELLED);
	else
		finish_state (request, DFF_JOB_STATE_QUEUED);
}

static void
state_job_step (struct request *request)
{
	read_job_rows (request, handle_job_rows);
}

static void
handle_progress_row (void *user, const struct dff_rows_result *result)
{
	struct request *request = user;
	if (result->outcome != DFF_ROWS_DONE) {
		request_refused (request, state_step);
		return;
	}
	enum dff_job_state state;
	if (result->n_rows == 0) {
		state_job_step (request);
		return;
	}
	if (dff_progress_decode_state (result->rows[0].value, &state)) {
		finish_state (request, state);
		return;
	}
	dff_log (DFF_LOG_ENTRY, DFF_LOG_ERROR, "Cannot decode the progress row of a job. job=%s",
		 request->job.data);
	request_give_up (request, DFF_FRONT_UNAVAILABLE, DFF_FRONT_CAUSE_UNREADABLE);
}

static void
state_step (struct request *request)
{
	const struct dff_rows *rows = request->front->options.rows;
	request->reads_store = true;
	g_autofree char *to = g_strconcat (request->job.data, "!", NULL);
	struct dff_rows_range range = {.table = DFF_TABLE_PROGRESS,
				       .from = {request->job.data, request->job.len},
				       .to = dff_str_from (to),
				       .limit = 1,
				       .timeout_ms = request_timeout_ms (request)};
	rows->get (rows->ctx, &range, handle_progress_row, request);
}

static void
handle_state_query (void *user, bool known, enum dff_job_state state)
{
	struct request *request = user;
	if (known)
		finish_state (request, state);
	else
		request_begin (request, state_step);
}

/* The holder knows of a completion before its record can be read, and it answers while the store
 * does not. It has no state of a job that it has not ingested yet or that was never submitted; the
 * rows are read then. */
void
dff_front_read_state (struct dff_front *front,
		      const struct dff_name *job,
		      const struct dff_front_reply *reply)
{
	const struct dff_front_options *options = &front->options;
	struct request *request = request_new (front, job, reply);
	if (options->query_state == NULL ||
	    !options->query_state (options->query_ctx, job, handle_state_query, request))
		request_begin (request, state_step);
}

/* Count of waiting jobs */

static void waiting_step (struct request *request);

/* Returns: the count of a class in a row of "CLASS COUNT\n" lines. */
static int32_t
parse_count (struct dff_str text, const GString *class_name)
{
	g_autofree char *copy = g_strndup (text.data, text.len);
	g_auto (GStrv) lines = g_strsplit (copy, "\n", -1);
	for (char **line = lines; *line != NULL; line++) {
		gsize length = class_name->len;
		if (strncmp (*line, class_name->str, length) == 0 && (*line)[length] == ' ')
			return (int32_t)g_ascii_strtoll (*line + length + 1, NULL, 10);
	}
	return 0;
}

static void
handle_waiting_row (void *user, const struct dff_rows_result *result)
{
	struct request *request = user;
	if (result->outcome != DFF_ROWS_DONE) {
		request_refused (request, waiting_step);
		return;
	}
	struct dff_front_result answer = {.outcome = DFF_FRONT_OK};
	if (result->n_rows > 0)
		answer.waiting = parse_count (result->rows[0].value, request->value);
	request_finish (request, &answer);
}

static void
waiting_step (struct request *request)
{
	const struct dff_rows *rows = request->front->options.rows;
	struct dff_rows_range range = {.table = DFF_TABLE_CELL,
				       .from = dff_str_from (DFF_KEY_WAITING),
				       .to = dff_str_from (DFF_KEY_WAITING "!"),
				       .limit = 1,
				       .timeout_ms = request_timeout_ms (request)};
	rows->get (rows->ctx, &range, handle_waiting_row, request);
}

void
dff_front_count_waiting (struct dff_front *front,
			 const struct dff_name *class_name,
			 const struct dff_front_reply *reply)
{
	struct request *request = request_new (front, class_name, reply);
	g_string_assign (request->value, class_name->data);
	request_begin (request, waiting_step);
}

struct dff_front *
dff_front_new (const struct dff_front_options *options)
{
	struct dff_front *front = g_new0 (struct dff_front, 1);
	struct dff_metrics *metrics = options->metrics;
	front->options = *options;
	front->accepted =
		dff_metrics_counter (metrics, "dff_front_accepted_total", "Jobs accepted here.");
	front->repeated = dff_metrics_counter (metrics, "dff_front_repeated_total",
					       "Submissions of jobs that were accepted before.");
	front->unavailable = dff_metrics_counter (metrics, "dff_front_unavailable_total",
						  "Calls that were refused and not done.");
	front->unknown = dff_metrics_counter (metrics, "dff_front_unknown_total",
					      "Calls given up with their fate open.");
	front->cancelled = dff_metrics_counter (metrics, "dff_front_cancelled_total",
						"Cancellations accepted here.");
	front->states =
		dff_metrics_counter (metrics, "dff_front_states_total", "States told here.");
	return front;
}

void
dff_front_free (struct dff_front *front)
{
	g_free (front);
}
