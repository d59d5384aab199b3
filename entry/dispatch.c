#include <math.h>

#include "common/log.h"
#include "entry/request_private.h"

/** Maximum number of times that one request is sent, hedging included. */
#define SENT_MAX 4
/** Time for which a worker is avoided after it could not be reached, or refused a request, ms. */
#define AVOID_UNREACHABLE_MS 1000
#define AVOID_REFUSED_MS 200
/** Upper bound of the first backoff, ms; doubled with each retry. */
#define BACKOFF_MS 20
/** A request with less time than this until its deadline is not sent, ms. */
#define DEADLINE_MIN_MS 2
/** Hedging: an idempotent request without an answer is also sent to a second worker after the
 * longer of HEDGE_MIN_MS and HEDGE_FACTOR times the average service time, and at the latest after
 * half of its remaining time. */
#define HEDGE_MIN_MS 500
#define HEDGE_FACTOR 5
/** Weight of the newest sample in the average service time. */
#define AVERAGE_WEIGHT 0.1

/** One request sent to one worker. */
struct worker_request {
	struct dff_request *request;
	/** Holds a reference: an answer may arrive after the requests' state is freed. */
	struct dff_entry *entry;
	struct dff_name worker;
	int64_t sent_ms;
};

static void arm_hedge (struct dff_request *request);

static int64_t
now_ms (const struct dff_request *request)
{
	return dff_entry_now_ms (request->owner->entry);
}

static int64_t
remaining_ms (const struct dff_request *request)
{
	return request->deadline_ms - now_ms (request);
}

/* Retry-After of a request that could not be completed, s: 1 or 2. */
static int32_t
jittered_retry_after_s (struct dff_request *request)
{
	return 1 + g_rand_int_range (request->owner->entry->rng, 0, 2);
}

static void
count_service_time (const struct worker_request *worker_request)
{
	struct dff_requests *requests = worker_request->entry->requests;
	double duration_ms =
		(double)(dff_entry_now_ms (worker_request->entry) - worker_request->sent_ms);
	if (requests->service_ms == 0)
		requests->service_ms = duration_ms;
	requests->service_ms += AVERAGE_WEIGHT * (duration_ms - requests->service_ms);
}

static void
finish_answered (struct dff_request *request, const struct dff_request_result *result)
{
	struct dff_problem failed = {
		.status = 502,
		.code = "worker_failed",
		.outcome = DFF_OUTCOME_FAILED,
		.detail = "The worker ran the request and failed.",
	};
	dff_retry_budget_deposit (&request->owner->budget);
	if (result->status >= 500)
		dff_request_fail (request, &failed);
	else
		dff_request_finish (request, dff_answer_new (result->status, result->body,
							     DFF_OUTCOME_COMPLETED));
}

static void
backoff_elapsed (void *user)
{
	struct dff_request *request = user;
	request->timer = NULL;
	dff_request_ref (request);
	dff_request_dispatch (request);
	dff_request_unref (request);
}

static void
back_off (struct dff_request *request)
{
	double range_ms = BACKOFF_MS * pow (2, request->n_sent - 1);
	double wait_ms = g_rand_double_range (request->owner->entry->rng, range_ms / 2, range_ms);
	request->state = DFF_REQUEST_BACKING_OFF;
	dff_request_set_timer (request, now_ms (request) + (int64_t)wait_ms, backoff_elapsed);
}

/* Retries a request that did not run or is idempotent, on another worker if one has a free slot.
 * Without time, sends or retry budget left the request is answered now: waiting would not help. */
static void
retry_on_other_worker (struct dff_request *request)
{
	struct dff_requests *requests = request->owner;
	if (remaining_ms (request) < DEADLINE_MIN_MS || request->n_sent >= SENT_MAX) {
		dff_request_give_up (request, "upstream_unavailable",
				     jittered_retry_after_s (request));
		return;
	}
	if (!dff_retry_budget_withdraw (&requests->budget)) {
		(*requests->counters.retries_denied)++;
		dff_request_give_up (request, "upstream_unavailable",
				     jittered_retry_after_s (request));
		return;
	}
	(*requests->counters.retries)++;
	back_off (request);
}

static void
update_worker (const struct worker_request *worker_request, const struct dff_request_result *result)
{
	struct dff_slots *slots = worker_request->entry->requests->slots;
	int64_t now = dff_entry_now_ms (worker_request->entry);
	dff_slots_release (slots, &worker_request->worker);
	if (result->leaving)
		dff_slots_handle_worker_leaving (slots, &worker_request->worker, now);
	if (result->outcome == DFF_WORKER_OK)
		count_service_time (worker_request);
	else if (result->outcome == DFF_WORKER_REFUSED)
		dff_slots_avoid (slots, &worker_request->worker, now + AVOID_REFUSED_MS);
	else
		dff_slots_avoid (slots, &worker_request->worker, now + AVOID_UNREACHABLE_MS);
}

static void
handle_result (struct dff_request *request, const struct dff_request_result *result)
{
	if (result->outcome == DFF_WORKER_OK) {
		finish_answered (request, result);
		return;
	}
	if (result->outcome == DFF_WORKER_UNCERTAIN)
		request->may_have_run = true;
	/* Another worker has the request and has not answered yet. */
	if (request->n_outstanding > 0)
		return;
	/* A request that is not idempotent is not sent again once it may have run: a client could
	 * be billed twice. */
	if (request->may_have_run && !request->idempotent)
		dff_request_give_up (request, "upstream_lost", jittered_retry_after_s (request));
	else
		retry_on_other_worker (request);
}

static void
worker_replied (void *user, const struct dff_request_result *result)
{
	struct worker_request *worker_request = user;
	struct dff_request *request = worker_request->request;
	struct dff_entry *entry = worker_request->entry;
	request->n_outstanding--;
	if (!entry->closed) {
		update_worker (worker_request, result);
		if (request->state != DFF_REQUEST_ENDED)
			handle_result (request, result);
		dff_requests_dispatch_waiting (entry->requests);
	}
	dff_request_unref (request);
	dff_entry_unref (entry);
	g_free (worker_request);
}

static void
send_to (struct dff_request *request, const struct dff_slot *slot)
{
	struct dff_entry *entry = request->owner->entry;
	const struct dff_worker_client *workers = entry->options.workers;
	struct dff_str body = {request->body->str, request->body->len};
	char traceparent[DFF_TRACEPARENT_LEN + 1];
	struct worker_request *worker_request = g_new0 (struct worker_request, 1);
	worker_request->request = dff_request_ref (request);
	worker_request->entry = dff_entry_ref (entry);
	worker_request->worker = slot->worker;
	worker_request->sent_ms = now_ms (request);
	dff_trace_context_format (&request->span.context, traceparent);
	request->state = DFF_REQUEST_SENT;
	request->worker = slot->worker;
	request->n_sent++;
	request->n_outstanding++;
	dff_deadlines_clear (entry->deadlines, &request->timer);
	if (request->idempotent)
		arm_hedge (request);
	workers->request (workers->ctx, &slot->address, &request->service, &request->upstream_id,
			  body, dff_str_from (traceparent), (int32_t)remaining_ms (request),
			  worker_replied, worker_request);
}

/* A middlebox may lose track of the connection to a worker: requests sent on it are lost while new
 * connections work. Without hedging the caller would wait until its deadline although any other
 * worker would have answered. The first answer counts; the retry budget limits hedging. */
static void
hedge_due (void *user)
{
	struct dff_request *request = user;
	struct dff_requests *requests = request->owner;
	struct dff_slots *slots = requests->slots;
	struct dff_slot slot;
	request->timer = NULL;
	if (requests->entry->closed || request->n_sent >= SENT_MAX)
		return;
	dff_slots_avoid (slots, &request->worker, now_ms (request) + AVOID_UNREACHABLE_MS);
	if (!dff_retry_budget_withdraw (&requests->budget)) {
		(*requests->counters.retries_denied)++;
		return;
	}
	if (dff_slots_acquire (slots, now_ms (request), &slot) != DFF_SLOT_ACQUIRED)
		return;
	(*requests->counters.hedges)++;
	send_to (request, &slot);
}

static void
arm_hedge (struct dff_request *request)
{
	double typical_ms = HEDGE_FACTOR * request->owner->service_ms;
	double wait_ms = MAX (typical_ms, HEDGE_MIN_MS);
	int64_t half_ms = remaining_ms (request) / 2;
	dff_request_set_timer (request, now_ms (request) + MIN ((int64_t)wait_ms, half_ms),
			       hedge_due);
}

/* Estimates the time until a request that joins the queue now is answered, ms, from the average
 * service time. */
static int64_t
expected_wait_ms (const struct dff_requests *requests)
{
	int32_t granted = dff_slots_granted (requests->slots, dff_entry_now_ms (requests->entry));
	double rounds = (double)(requests->waiting.length + 1) / MAX (1, granted);
	return (int64_t)((rounds + 1) * requests->service_ms);
}

static void
wait_timed_out (void *user)
{
	struct dff_request *request = user;
	request->timer = NULL;
	dff_request_ref (request);
	dff_request_give_up (request, "overloaded", jittered_retry_after_s (request));
	dff_request_unref (request);
}

/* A request that cannot be answered in time is refused at once. Letting it wait would only delay
 * the requests behind it. */
static void
wait_for_slot (struct dff_request *request)
{
	struct dff_requests *requests = request->owner;
	int64_t wait_ms = expected_wait_ms (requests);
	if (wait_ms > remaining_ms (request)) {
		int32_t retry_after_s = (int32_t)MIN (60, 1 + wait_ms / 1000);
		dff_request_give_up (request, "overloaded", retry_after_s);
		return;
	}
	request->state = DFF_REQUEST_WAITING;
	g_queue_push_tail (&requests->waiting, request);
	dff_request_set_timer (request, request->deadline_ms - DEADLINE_MIN_MS, wait_timed_out);
}

/* A request that is not idempotent must not be sent once all its callers are disconnected.
 * Otherwise a caller that disconnects while the request waits for a slot could repeat it through
 * another process and get not_run there, and the first request would run afterwards. */
static bool
is_still_needed (const struct dff_request *request)
{
	for (guint i = 0; i < request->calls->len; i++) {
		if (dff_call_is_open (request->calls->pdata[i]))
			return true;
	}
	return request->idempotent;
}

void
dff_request_dispatch (struct dff_request *request)
{
	struct dff_requests *requests = request->owner;
	struct dff_slot slot;
	if (remaining_ms (request) < DEADLINE_MIN_MS || requests->entry->closed) {
		dff_request_give_up (request, "overloaded", jittered_retry_after_s (request));
		return;
	}
	if (!is_still_needed (request)) {
		dff_request_give_up (request, "caller_gone", 0);
		return;
	}
	if (!g_queue_is_empty (&requests->waiting)) {
		wait_for_slot (request);
		return;
	}
	switch (dff_slots_acquire (requests->slots, now_ms (request), &slot)) {
	case DFF_SLOT_ACQUIRED:
		send_to (request, &slot);
		return;
	case DFF_SLOT_BUSY:
		wait_for_slot (request);
		return;
	case DFF_SLOT_NO_GRANT:
	default:
		dff_request_give_up (request, "no_worker", jittered_retry_after_s (request));
	}
}

void
dff_requests_dispatch_waiting (struct dff_requests *requests)
{
	struct dff_slot slot;
	while (!g_queue_is_empty (&requests->waiting)) {
		struct dff_request *request = g_queue_peek_head (&requests->waiting);
		if (!is_still_needed (request)) {
			dff_request_give_up (request, "caller_gone", 0);
			continue;
		}
		enum dff_slot_outcome outcome =
			dff_slots_acquire (requests->slots, now_ms (request), &slot);
		if (outcome == DFF_SLOT_BUSY)
			return;
		if (outcome == DFF_SLOT_NO_GRANT) {
			dff_request_give_up (request, "no_worker",
					     jittered_retry_after_s (request));
			continue;
		}
		g_queue_pop_head (&requests->waiting);
		send_to (request, &slot);
	}
}
