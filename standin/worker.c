#include "standin/worker.h"

#include <string.h>

#include "common/log.h"
#include "standin/worker_objects.h"
#include "standin/worker_payload.h"

#define STATUS_OK 200
#define STATUS_BAD_REQUEST 400
#define STATUS_TOO_MANY 429
#define STATUS_FAILED 500
#define STATUS_LEAVING 503

struct dff_standin_worker {
	struct dff_standin_worker_options options;
	struct dff_worker_tasks *tasks;
	struct dff_worker_objects *objects;
	/** Elements: struct request, in order of due time. */
	GQueue requests;
	/** Elements: struct waiter. */
	GQueue waiters;
	void (*changed) (void *ctx);
	void *changed_ctx;
	/** Reused. Elements: struct dff_task_report. */
	GArray *reports;
};

/** A renewal that is answered once there is something to report, or at @until_ms. */
struct waiter {
	GList link;
	struct dff_worker_renewal renewal;
	int64_t until_ms;
	dff_worker_func done;
	void *user;
};

/** A short request in progress. */
struct request {
	int64_t due_ms;
	int64_t answer_bytes;
	struct dff_name id;
	dff_request_func done;
	void *user;
};

static void
write_result (void *ctx, const struct dff_task_id *task, int64_t result_bytes)
{
	struct dff_standin_worker *worker = ctx;
	dff_worker_objects_write_result (worker->objects, task, result_bytes);
}

static void
load_checkpoint (void *ctx, const struct dff_task_id *task)
{
	struct dff_standin_worker *worker = ctx;
	dff_worker_objects_load (worker->objects, task);
}

static void
task_ran (void *ctx, const struct dff_task_id *task, const struct dff_name *tag)
{
	const struct dff_standin_worker *worker = ctx;
	if (worker->options.run_log != NULL)
		dff_run_log_task (worker->options.run_log, task, tag);
}

static void
tasks_changed (void *ctx)
{
	struct dff_standin_worker *worker = ctx;
	if (worker->changed != NULL && worker->waiters.length > 0)
		worker->changed (worker->changed_ctx);
}

struct dff_standin_worker *
dff_standin_worker_new (const struct dff_standin_worker_options *options)
{
	struct dff_standin_worker *worker = g_new0 (struct dff_standin_worker, 1);
	worker->options = *options;
	struct dff_worker_tasks_options tasks_options = {
		.clock = options->clock,
		.capacity = options->capacity,
		.check_epochs = options->check_epochs,
		.incarnation = options->incarnation,
		.callbacks = {.finish = write_result,
			      .load = load_checkpoint,
			      .changed = tasks_changed,
			      .ran = task_ran,
			      .ctx = worker},
	};
	worker->tasks = dff_worker_tasks_new (&tasks_options);
	worker->objects = dff_worker_objects_new (options->store, options->clock, worker->tasks);
	worker->reports = g_array_new (FALSE, TRUE, sizeof (struct dff_task_report));
	return worker;
}

static void
waiter_free (struct dff_standin_worker *worker, struct waiter *waiter)
{
	g_queue_unlink (&worker->waiters, &waiter->link);
	g_free (waiter);
}

void
dff_standin_worker_free (struct dff_standin_worker *worker)
{
	g_queue_clear_full (&worker->requests, g_free);
	while (!g_queue_is_empty (&worker->waiters))
		waiter_free (worker, worker->waiters.head->data);
	g_array_unref (worker->reports);
	dff_worker_objects_free (worker->objects);
	dff_worker_tasks_free (worker->tasks);
	g_free (worker);
}

struct dff_worker_tasks *
dff_standin_worker_tasks (struct dff_standin_worker *worker)
{
	return worker->tasks;
}

static void
answer_call (struct dff_standin_worker *worker,
	     enum dff_worker_outcome outcome,
	     const struct dff_task_report *reports,
	     size_t n_reports,
	     dff_worker_func done,
	     void *user)
{
	struct dff_worker_result result = {
		.outcome = outcome,
		.leaving = dff_worker_tasks_is_leaving (worker->tasks),
		.reports = reports,
		.n_reports = n_reports,
		.sequence = dff_worker_tasks_sequence (worker->tasks),
		.incarnation = dff_worker_tasks_incarnation (worker->tasks),
		.clock_ms = dff_clock_now_ms (worker->options.clock),
	};
	done (user, &result);
}

/** A checkpoint being written. */
struct checkpoint {
	struct dff_standin_worker *worker;
	struct dff_task_id task;
	dff_worker_func done;
	void *user;
};

static void
checkpoint_saved (void *user, bool saved)
{
	struct checkpoint checkpoint = *(struct checkpoint *)user;
	g_free (user);
	struct dff_standin_worker *worker = checkpoint.worker;
	struct dff_task_report report = {.task = checkpoint.task};
	if (saved)
		dff_worker_tasks_checkpointed (worker->tasks, &checkpoint.task, &report);
	answer_call (worker, saved ? DFF_WORKER_OK : DFF_WORKER_REFUSED, &report, saved ? 1 : 0,
		     checkpoint.done, checkpoint.user);
}

static void
take_checkpoint (struct dff_standin_worker *worker,
		 const struct dff_worker_command *command,
		 dff_worker_func done,
		 void *user)
{
	int64_t done_ms = 0;
	struct dff_task_report report;
	enum dff_worker_outcome outcome = dff_worker_tasks_checkpoint (
		worker->tasks, &command->task, command->epoch, &done_ms, &report);
	if (outcome != DFF_WORKER_OK) {
		answer_call (worker, outcome, &report, 1, done, user);
		return;
	}
	struct checkpoint *checkpoint = g_new (struct checkpoint, 1);
	*checkpoint = (struct checkpoint){worker, command->task, done, user};
	dff_worker_objects_save (worker->objects, &command->task, report.checkpoints + 1, done_ms,
				 checkpoint_saved, checkpoint);
}

static enum dff_worker_outcome
execute (struct dff_standin_worker *worker,
	 const struct dff_worker_call *call,
	 struct dff_task_report *report)
{
	const struct dff_worker_command *command = &call->command;
	struct dff_worker_tasks *tasks = worker->tasks;
	switch (call->type) {
	case DFF_WORKER_CALL_START:
		return dff_worker_tasks_start (tasks, &call->start, report);
	case DFF_WORKER_CALL_RELEASE:
		return dff_worker_tasks_release (tasks, &command->task, command->epoch, report);
	case DFF_WORKER_CALL_THROTTLE:
		return dff_worker_tasks_throttle (tasks, &command->task, command->epoch,
						  command->percent, report);
	default:
		return dff_worker_tasks_stop (tasks, &command->task, command->epoch, report);
	}
}

static void
answer_query (struct dff_standin_worker *worker, dff_worker_func done, void *user)
{
	g_array_set_size (worker->reports, 0);
	dff_worker_tasks_query (worker->tasks, worker->reports);
	answer_call (worker, DFF_WORKER_OK, (const struct dff_task_report *)worker->reports->data,
		     worker->reports->len, done, user);
}

static void
answer_renewal (struct dff_standin_worker *worker,
		const struct dff_worker_renewal *renewal,
		dff_worker_func done,
		void *user)
{
	g_array_set_size (worker->reports, 0);
	dff_worker_tasks_renew (worker->tasks, renewal, worker->reports);
	answer_call (worker, DFF_WORKER_OK, (const struct dff_task_report *)worker->reports->data,
		     worker->reports->len, done, user);
}

static bool
has_report (const struct dff_standin_worker *worker, const struct dff_worker_renewal *renewal)
{
	return dff_worker_tasks_is_leaving (worker->tasks) ||
	       dff_worker_tasks_sequence (worker->tasks) != renewal->after_sequence;
}

/* Renews leases at once, also when the answer waits; the clock in the answer is read when it is
 * sent. */
static void
handle_renewal (struct dff_standin_worker *worker,
		const struct dff_worker_renewal *renewal,
		dff_worker_func done,
		void *user)
{
	if (renewal->wait_ms == 0 || has_report (worker, renewal)) {
		answer_renewal (worker, renewal, done, user);
		return;
	}
	g_array_set_size (worker->reports, 0);
	dff_worker_tasks_renew (worker->tasks, renewal, worker->reports);
	struct waiter *waiter = g_new0 (struct waiter, 1);
	waiter->link.data = waiter;
	waiter->renewal = *renewal;
	waiter->until_ms = dff_clock_now_ms (worker->options.clock) + renewal->wait_ms;
	waiter->done = done;
	waiter->user = user;
	g_queue_push_tail_link (&worker->waiters, &waiter->link);
}

static void
answer_waiters (struct dff_standin_worker *worker, int64_t now_ms)
{
	GList *at = worker->waiters.head;
	while (at != NULL) {
		struct waiter waiter = *(struct waiter *)at->data;
		struct waiter *current = at->data;
		at = at->next;
		if (!has_report (worker, &waiter.renewal) && waiter.until_ms > now_ms)
			continue;
		waiter_free (worker, current);
		answer_renewal (worker, &waiter.renewal, waiter.done, waiter.user);
	}
}

void
dff_standin_worker_call (struct dff_standin_worker *worker,
			 const struct dff_worker_call *call,
			 dff_worker_func done,
			 void *user)
{
	struct dff_task_report report;
	enum dff_worker_outcome outcome;
	switch (call->type) {
	case DFF_WORKER_CALL_QUERY:
		answer_query (worker, done, user);
		return;
	case DFF_WORKER_CALL_RENEW:
		handle_renewal (worker, &call->renewal, done, user);
		return;
	case DFF_WORKER_CALL_CHECKPOINT:
		take_checkpoint (worker, &call->command, done, user);
		return;
	default:
		outcome = execute (worker, call, &report);
		answer_call (worker, outcome, &report, 1, done, user);
		return;
	}
}

static void
answer_request (struct dff_standin_worker *worker,
		int status,
		struct dff_str body,
		dff_request_func done,
		void *user)
{
	bool refused = status == STATUS_TOO_MANY || status == STATUS_LEAVING;
	struct dff_request_result result = {
		.outcome = refused ? DFF_WORKER_REFUSED : DFF_WORKER_OK,
		.status = status,
		.body = body,
		.leaving = dff_worker_tasks_is_leaving (worker->tasks),
	};
	done (user, &result);
}

/** Answers with the request's id and filler, so that an answer to the wrong caller is detected. */
static void
finish_request (struct dff_standin_worker *worker, const struct request *request)
{
	dff_worker_tasks_end_request (worker->tasks);
	g_autoptr (GString) body = g_string_new (request->id.data);
	g_string_append_c (body, '\n');
	gsize length = MAX (body->len, (gsize)request->answer_bytes);
	gsize filled = body->len;
	g_string_set_size (body, length);
	memset (body->str + filled, '.', length - filled);
	answer_request (worker, STATUS_OK, (struct dff_str){body->str, body->len}, request->done,
			request->user);
}

static int
compare_due (gconstpointer a, gconstpointer b, gpointer user_data)
{
	(void)user_data;
	const struct request *left = a;
	const struct request *right = b;
	return left->due_ms < right->due_ms ? -1 : left->due_ms > right->due_ms;
}

static void
begin_request (struct dff_standin_worker *worker, const struct request *request)
{
	dff_log (DFF_LOG_STANDIN, DFF_LOG_DEBUG, "Request started. id=%s", request->id.data);
	if (request->due_ms <= dff_clock_now_ms (worker->options.clock)) {
		finish_request (worker, request);
		return;
	}
	g_queue_insert_sorted (&worker->requests, g_memdup2 (request, sizeof (*request)),
			       compare_due, NULL);
}

void
dff_standin_worker_request (struct dff_standin_worker *worker,
			    const struct dff_name *request_id,
			    struct dff_str payload,
			    dff_request_func done,
			    void *user)
{
	static const struct dff_str none = {"", 0};
	struct dff_request_payload request;
	if (!dff_request_payload_parse (payload, &request)) {
		answer_request (worker, STATUS_BAD_REQUEST, none, done, user);
		return;
	}
	if (!dff_worker_tasks_begin_request (worker->tasks)) {
		bool leaving = dff_worker_tasks_is_leaving (worker->tasks);
		answer_request (worker, leaving ? STATUS_LEAVING : STATUS_TOO_MANY, none, done,
				user);
		return;
	}
	if (dff_worker_tasks_fails_everything (worker->tasks)) {
		dff_worker_tasks_end_request (worker->tasks);
		answer_request (worker, STATUS_FAILED, none, done, user);
		return;
	}
	struct request started = {
		.due_ms = dff_clock_now_ms (worker->options.clock) + request.work_ms,
		.answer_bytes = request.answer_bytes,
		.id = *request_id,
		.done = done,
		.user = user,
	};
	if (worker->options.run_log != NULL)
		dff_run_log_request (worker->options.run_log, request_id, &request.tag);
	begin_request (worker, &started);
}

static void
finish_due_requests (struct dff_standin_worker *worker, int64_t now_ms)
{
	while (!g_queue_is_empty (&worker->requests)) {
		struct request *request = worker->requests.head->data;
		if (request->due_ms > now_ms)
			return;
		g_queue_pop_head (&worker->requests);
		finish_request (worker, request);
		g_free (request);
	}
}

void
dff_standin_worker_tick (struct dff_standin_worker *worker)
{
	int64_t now_ms = dff_clock_now_ms (worker->options.clock);
	dff_worker_tasks_tick (worker->tasks);
	dff_worker_objects_tick (worker->objects);
	finish_due_requests (worker, now_ms);
	answer_waiters (worker, now_ms);
}

int64_t
dff_standin_worker_next_due_ms (const struct dff_standin_worker *worker)
{
	int64_t due_ms = dff_worker_tasks_next_due_ms (worker->tasks);
	const struct request *first = g_queue_peek_head ((GQueue *)&worker->requests);
	if (first != NULL)
		due_ms = MIN (due_ms, first->due_ms);
	for (const GList *at = worker->waiters.head; at != NULL; at = at->next) {
		const struct waiter *waiter = at->data;
		due_ms = MIN (due_ms, has_report (worker, &waiter->renewal) ? 0 : waiter->until_ms);
	}
	return due_ms;
}

void
dff_standin_worker_on_change (struct dff_standin_worker *worker,
			      void (*changed) (void *ctx),
			      void *ctx)
{
	worker->changed = changed;
	worker->changed_ctx = ctx;
}

void
dff_standin_worker_leave (struct dff_standin_worker *worker)
{
	dff_worker_tasks_leave (worker->tasks);
	tasks_changed (worker);
}

bool
dff_standin_worker_is_busy (const struct dff_standin_worker *worker)
{
	return dff_worker_tasks_busy (worker->tasks) > 0 ||
	       dff_worker_objects_busy (worker->objects);
}
