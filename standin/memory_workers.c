#include "standin/memory_workers.h"

struct dff_memory_workers {
	const struct dff_clock *clock;
	int32_t timeout_ms;
	struct dff_worker_client client;
	/** Elements: struct memory_worker, in the order they were added. */
	GPtrArray *workers;
	/** Elements: struct memory_call, in the order they were made. */
	GQueue calls;
};

struct memory_worker {
	struct dff_name address;
	struct dff_memory_worker_faults faults;
	struct dff_standin_worker_options options;
	struct dff_standin_worker *worker;
	/** The worker's clock in the last answer that the caller received, ms; 0: none yet. */
	int64_t last_clock_ms;
};

/** A call in transit or in progress; a short request when @request_done is set. */
struct memory_call {
	GList link;
	struct dff_memory_workers *workers;
	/** (nullable): NULL: there is no worker at the address. */
	struct memory_worker *target;
	struct dff_worker_call call;
	/** Copy of the payload of a start or of the body of a request. */
	GString *payload;
	struct dff_name request_id;
	dff_worker_func done;
	dff_request_func request_done;
	void *user;
	/** Time at which the call takes effect, ms; INT64_MAX: never, or it already has. */
	int64_t arrive_ms;
	/** Time at which the call ends without an answer, ms; INT64_MAX: it has ended. */
	int64_t deadline_ms;
	bool unsent;
	bool lose_answer;
	/** The worker is executing the call and will answer. */
	bool in_progress;
};

static struct memory_worker *
find_worker (struct dff_memory_workers *workers, const struct dff_name *address)
{
	for (guint i = 0; i < workers->workers->len; i++) {
		struct memory_worker *worker = g_ptr_array_index (workers->workers, i);
		if (dff_name_equal (&worker->address, address))
			return worker;
	}
	return NULL;
}

static bool
consume_one (int32_t *count)
{
	if (*count == 0)
		return false;
	(*count)--;
	return true;
}

static void
apply_faults (struct memory_call *call, struct dff_memory_worker_faults *faults, int64_t now_ms)
{
	call->arrive_ms = now_ms + faults->delay_ms;
	call->unsent = faults->unreachable;
	if (call->unsent || faults->silent || consume_one (&faults->lose_calls)) {
		call->arrive_ms = INT64_MAX;
		return;
	}
	call->lose_answer = consume_one (&faults->lose_answers);
	if (consume_one (&faults->late_calls)) {
		call->arrive_ms = now_ms + faults->late_ms;
		call->lose_answer = true;
	}
}

static struct memory_call *
call_new (struct dff_memory_workers *workers,
	  const struct dff_name *address,
	  int32_t timeout_ms,
	  void *user)
{
	int64_t now_ms = dff_clock_now_ms (workers->clock);
	struct memory_call *call = g_new0 (struct memory_call, 1);
	call->link.data = call;
	call->workers = workers;
	call->payload = g_string_new (NULL);
	call->user = user;
	call->target = find_worker (workers, address);
	call->arrive_ms = INT64_MAX;
	call->unsent = true;
	if (call->target != NULL)
		apply_faults (call, &call->target->faults, now_ms);
	call->deadline_ms = call->unsent ? now_ms : now_ms + timeout_ms;
	g_queue_push_tail_link (&workers->calls, &call->link);
	return call;
}

static void
call_free (struct memory_call *call)
{
	g_queue_unlink (&call->workers->calls, &call->link);
	g_string_free (call->payload, TRUE);
	g_free (call);
}

static struct memory_call *
task_call (void *ctx,
	   const struct dff_name *address,
	   enum dff_worker_call_type type,
	   dff_worker_func done,
	   void *user)
{
	struct dff_memory_workers *workers = ctx;
	struct memory_call *call = call_new (workers, address, workers->timeout_ms, user);
	call->call.type = type;
	call->done = done;
	return call;
}

static void
call_start (void *ctx,
	    const struct dff_name *address,
	    const struct dff_task_start *start,
	    dff_worker_func done,
	    void *user)
{
	struct memory_call *call = task_call (ctx, address, DFF_WORKER_CALL_START, done, user);
	g_string_append_len (call->payload, start->payload.data, (gssize)start->payload.len);
	call->call.start = *start;
	call->call.start.payload = (struct dff_str){call->payload->str, call->payload->len};
	call->call.start.traceparent = (struct dff_str){"", 0};
}

static void
command_call (void *ctx,
	      const struct dff_name *address,
	      enum dff_worker_call_type type,
	      const struct dff_worker_command *command,
	      dff_worker_func done,
	      void *user)
{
	struct memory_call *call = task_call (ctx, address, type, done, user);
	call->call.command = *command;
}

static void
call_release (void *ctx,
	      const struct dff_name *address,
	      const struct dff_task_id *task,
	      int64_t epoch,
	      dff_worker_func done,
	      void *user)
{
	struct dff_worker_command command = {*task, epoch, 0};
	command_call (ctx, address, DFF_WORKER_CALL_RELEASE, &command, done, user);
}

static void
call_checkpoint (void *ctx,
		 const struct dff_name *address,
		 const struct dff_task_id *task,
		 int64_t epoch,
		 dff_worker_func done,
		 void *user)
{
	struct dff_worker_command command = {*task, epoch, 0};
	command_call (ctx, address, DFF_WORKER_CALL_CHECKPOINT, &command, done, user);
}

static void
call_throttle (void *ctx,
	       const struct dff_name *address,
	       const struct dff_task_id *task,
	       int64_t epoch,
	       int32_t percent,
	       dff_worker_func done,
	       void *user)
{
	struct dff_worker_command command = {*task, epoch, percent};
	command_call (ctx, address, DFF_WORKER_CALL_THROTTLE, &command, done, user);
}

static void
call_stop (void *ctx,
	   const struct dff_name *address,
	   const struct dff_task_id *task,
	   int64_t epoch,
	   dff_worker_func done,
	   void *user)
{
	struct dff_worker_command command = {*task, epoch, 0};
	command_call (ctx, address, DFF_WORKER_CALL_STOP, &command, done, user);
}

static void
call_query (void *ctx, const struct dff_name *address, dff_worker_func done, void *user)
{
	task_call (ctx, address, DFF_WORKER_CALL_QUERY, done, user);
}

static void
call_renew (void *ctx,
	    const struct dff_name *address,
	    int32_t lease_ms,
	    int64_t after_sequence,
	    dff_worker_func done,
	    void *user)
{
	struct memory_call *call = task_call (ctx, address, DFF_WORKER_CALL_RENEW, done, user);
	int64_t last_clock_ms = call->target == NULL ? 0 : call->target->last_clock_ms;
	call->call.renewal = (struct dff_worker_renewal){lease_ms, after_sequence, last_clock_ms};
}

static void
call_request (void *ctx,
	      const struct dff_name *address,
	      const struct dff_name *service,
	      const struct dff_name *request_id,
	      struct dff_str body,
	      struct dff_str traceparent,
	      int32_t deadline_ms,
	      dff_request_func done,
	      void *user)
{
	(void)service;
	(void)traceparent;
	struct memory_call *call = call_new (ctx, address, deadline_ms, user);
	g_string_append_len (call->payload, body.data, (gssize)body.len);
	call->request_id = *request_id;
	call->request_done = done;
}

static void
time_out (struct memory_call *call)
{
	enum dff_worker_outcome outcome = call->unsent ? DFF_WORKER_UNSENT : DFF_WORKER_UNCERTAIN;
	call->deadline_ms = INT64_MAX;
	if (call->request_done != NULL) {
		struct dff_request_result result = {.outcome = outcome};
		call->request_done (call->user, &result);
		return;
	}
	struct dff_worker_result result = {.outcome = outcome};
	call->done (call->user, &result);
}

/** Ends the worker's part of a call. Returns: whether the caller is to be answered now. */
static bool
finish_call (struct memory_call *call)
{
	bool answer = call->deadline_ms != INT64_MAX && !call->lose_answer &&
		      !call->target->faults.silent;
	call->in_progress = false;
	if (answer)
		call->deadline_ms = INT64_MAX;
	return answer;
}

static void
task_answered (void *user, const struct dff_worker_result *result)
{
	struct memory_call *call = user;
	if (!finish_call (call))
		return;
	call->target->last_clock_ms = MAX (call->target->last_clock_ms, result->clock_ms);
	call->done (call->user, result);
}

static void
request_answered (void *user, const struct dff_request_result *result)
{
	struct memory_call *call = user;
	if (finish_call (call))
		call->request_done (call->user, result);
}

static void
arrive (struct memory_call *call)
{
	struct dff_standin_worker *worker = call->target->worker;
	struct dff_str payload = {call->payload->str, call->payload->len};
	call->arrive_ms = INT64_MAX;
	if (call->target->faults.silent)
		return;
	call->in_progress = true;
	if (call->request_done == NULL) {
		dff_standin_worker_call (worker, &call->call, task_answered, call);
		return;
	}
	dff_standin_worker_request (worker, &call->request_id, payload, request_answered, call);
}

/** Handles what is due for one call. Returns: whether the call has ended for both sides. */
static bool
advance_call (struct memory_call *call, int64_t now_ms)
{
	if (call->arrive_ms <= now_ms)
		arrive (call);
	if (call->deadline_ms <= now_ms)
		time_out (call);
	return !call->in_progress && call->arrive_ms == INT64_MAX && call->deadline_ms == INT64_MAX;
}

/* Calls made by callbacks wait for the next tick: a caller that retries immediately would otherwise
 * keep the tick from ending. */
void
dff_memory_workers_tick (struct dff_memory_workers *workers)
{
	int64_t now_ms = dff_clock_now_ms (workers->clock);
	for (guint i = 0; i < workers->workers->len; i++) {
		struct memory_worker *worker = g_ptr_array_index (workers->workers, i);
		dff_standin_worker_tick (worker->worker);
	}
	GList *at = workers->calls.head;
	for (guint left = workers->calls.length; left > 0; left--) {
		struct memory_call *call = at->data;
		bool over = advance_call (call, now_ms);
		at = at->next;
		if (over)
			call_free (call);
	}
}

static const struct dff_worker_client memory_calls = {
	.start = call_start,
	.release = call_release,
	.checkpoint = call_checkpoint,
	.throttle = call_throttle,
	.stop = call_stop,
	.query = call_query,
	.renew = call_renew,
	.request = call_request,
};

static void
worker_free (gpointer data)
{
	struct memory_worker *worker = data;
	dff_standin_worker_free (worker->worker);
	g_free (worker);
}

struct dff_memory_workers *
dff_memory_workers_new (const struct dff_clock *clock, int32_t timeout_ms)
{
	struct dff_memory_workers *workers = g_new0 (struct dff_memory_workers, 1);
	workers->clock = clock;
	workers->timeout_ms = timeout_ms;
	workers->client = memory_calls;
	workers->client.ctx = workers;
	workers->workers = g_ptr_array_new_with_free_func (worker_free);
	return workers;
}

void
dff_memory_workers_free (struct dff_memory_workers *workers)
{
	while (!g_queue_is_empty (&workers->calls))
		call_free (workers->calls.head->data);
	g_ptr_array_unref (workers->workers);
	g_free (workers);
}

void
dff_memory_workers_add (struct dff_memory_workers *workers,
			const struct dff_name *address,
			const struct dff_standin_worker_options *options)
{
	struct memory_worker *worker = g_new0 (struct memory_worker, 1);
	worker->address = *address;
	worker->options = *options;
	worker->options.clock = workers->clock;
	worker->options.incarnation = 1;
	worker->worker = dff_standin_worker_new (&worker->options);
	g_ptr_array_add (workers->workers, worker);
}

void
dff_memory_workers_restart (struct dff_memory_workers *workers, const struct dff_name *address)
{
	struct memory_worker *worker = find_worker (workers, address);
	for (GList *at = workers->calls.head; at != NULL; at = at->next) {
		struct memory_call *call = at->data;
		if (call->target == worker)
			call->in_progress = false;
	}
	dff_standin_worker_free (worker->worker);
	worker->options.incarnation++;
	worker->last_clock_ms = 0;
	worker->worker = dff_standin_worker_new (&worker->options);
}

struct dff_memory_worker_faults *
dff_memory_workers_faults (struct dff_memory_workers *workers, const struct dff_name *address)
{
	return &find_worker (workers, address)->faults;
}

struct dff_worker_tasks *
dff_memory_workers_tasks (struct dff_memory_workers *workers, const struct dff_name *address)
{
	return dff_standin_worker_tasks (find_worker (workers, address)->worker);
}

const struct dff_worker_client *
dff_memory_workers_interface (struct dff_memory_workers *workers)
{
	return &workers->client;
}
