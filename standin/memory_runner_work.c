#include "standin/memory_runner_private.h"

#include <inttypes.h>

#include <string.h>

/* How workers execute runs, and the checks for violations of invariants. */

/** Interval at which a worker checks its lease, its gangs and the progress of its runs, ms. */
#define CHECK_MS 10
/** Longest lease that a worker accepts, ms. */
#define LEASE_MAX_MS 10000
/** A failing run fails after 1/FAILS_AFTER of its duration. */
#define FAILS_AFTER 2
/** After CRASHES_MAX crashes of a task, the STARTS_AFTER_CRASHES_MAX-th start is a violation. */
#define CRASHES_MAX 3
#define STARTS_AFTER_CRASHES_MAX 3

int64_t
memory_runner_now_ms (const struct dff_memory_runner *runner)
{
	return dff_virtual_loop_now_ms (runner->options.loop);
}

int64_t
memory_worker_clock_ms (const struct worker *worker)
{
	int64_t age_ms = memory_runner_now_ms (worker->runner) - worker->started_ms;
	/* The clock starts at 1: 0 is not a valid time. */
	return age_ms * worker->clock_permille / 1000 + 1;
}

static void G_GNUC_PRINTF (2, 3) violate (struct dff_memory_runner *runner, const char *format, ...)
{
	if (runner->violation != NULL)
		return;
	va_list args;
	va_start (args, format);
	g_autofree char *text = g_strdup_vprintf (format, args);
	va_end (args);
	runner->violation = g_strdup_printf ("at %" G_GINT64_FORMAT " ms: %s",
					     memory_runner_now_ms (runner), text);
}

struct history *
memory_runner_history (struct dff_memory_runner *runner, const struct dff_name *task)
{
	struct history *history = g_hash_table_lookup (runner->histories, task);
	if (history != NULL)
		return history;
	history = g_new0 (struct history, 1);
	g_hash_table_insert (runner->histories, dff_name_dup (task), history);
	return history;
}

static void
refuse_runs_up_to (struct worker *worker, const struct dff_name *task, int32_t run)
{
	int32_t before = GPOINTER_TO_INT (g_hash_table_lookup (worker->refused, task));
	if (run > before)
		g_hash_table_insert (worker->refused, dff_name_dup (task), GINT_TO_POINTER (run));
}

static void
record_end (struct worker *worker, const struct run *run, enum dff_run_end reason)
{
	struct end end = {.number = ++worker->n_ends,
			  .task = run->task,
			  .run = run->run,
			  .end = reason,
			  .at_ms = memory_runner_now_ms (worker->runner)};
	if (run->spec.checkpoints && run->done_ms > 0)
		g_snprintf (end.checkpoint, sizeof (end.checkpoint), "%" G_GINT64_FORMAT,
			    run->done_ms);
	g_array_append_val (worker->ends, end);
	refuse_runs_up_to (worker, &run->task, run->run);
	g_hash_table_remove (worker->runs, &end.task);
}

static bool
same_unit (const struct dff_name *one, const struct dff_name *other)
{
	const char *dot = strrchr (one->data, '.');
	const char *other_dot = strrchr (other->data, '.');
	size_t length = (size_t)(dot - one->data);
	return length == (size_t)(other_dot - other->data) &&
	       memcmp (one->data, other->data, length) == 0;
}

/* Returns: the members of a run's gang on live workers, including the run. */
static GPtrArray *
gang_of (struct dff_memory_runner *runner, const struct run *run)
{
	GPtrArray *members = g_ptr_array_new ();
	for (guint i = 0; i < runner->workers->len; i++) {
		struct worker *worker = g_ptr_array_index (runner->workers, i);
		GHashTableIter iter;
		gpointer value;
		g_hash_table_iter_init (&iter, worker->runs);
		while (!worker->dead && g_hash_table_iter_next (&iter, NULL, &value)) {
			const struct run *other = value;
			if (other->run == run->run && same_unit (&other->task, &run->task))
				g_ptr_array_add (members, value);
		}
	}
	return members;
}

static struct worker *
worker_of (struct dff_memory_runner *runner, const struct run *run)
{
	for (guint i = 0; i < runner->workers->len; i++) {
		struct worker *worker = g_ptr_array_index (runner->workers, i);
		if (g_hash_table_lookup (worker->runs, &run->task) == run)
			return worker;
	}
	g_assert_not_reached ();
}

/* Ends the other running members of a gang with @reason. */
static void
end_gang (struct dff_memory_runner *runner, const struct run *run, enum dff_run_end reason)
{
	if (run->spec.gang == 0)
		return;
	g_autoptr (GPtrArray) members = gang_of (runner, run);
	for (guint i = 0; i < members->len; i++) {
		struct run *member = g_ptr_array_index (members, i);
		if (member != run && member->running)
			record_end (worker_of (runner, member), member, reason);
	}
}

static void
start_if_gang_complete (struct dff_memory_runner *runner, struct run *run)
{
	if (run->running)
		return;
	if (run->spec.gang > 0) {
		g_autoptr (GPtrArray) members = gang_of (runner, run);
		if ((int32_t)members->len < run->spec.gang)
			return;
	}
	run->running = true;
	run->counted_ms = memory_runner_now_ms (runner);
}

/* Advances a run's work, and ends the run when it is due. Returns: whether it has ended. */
static bool
advance_run (struct worker *worker, struct run *run)
{
	struct dff_memory_runner *runner = worker->runner;
	int64_t now_ms = memory_runner_now_ms (runner);
	if (run->stop_at_ms > 0 && now_ms >= run->stop_at_ms) {
		end_gang (runner, run, DFF_RUN_GANG_BROKEN);
		record_end (worker, run, DFF_RUN_STOPPED);
		return true;
	}
	start_if_gang_complete (runner, run);
	if (!run->running) {
		if (now_ms - run->placed_ms < runner->options.gang_wait_ms)
			return false;
		record_end (worker, run, DFF_RUN_GANG_TIMEOUT);
		return true;
	}
	int64_t worked_ms = now_ms - run->counted_ms;
	int32_t times = MAX (worker->faults.slow_times, 1);
	if (!worker->faults.hung)
		run->done_ms += worked_ms / times;
	/* What is less than a millisecond of work counts at the next check. */
	run->counted_ms = now_ms - (worker->faults.hung ? 0 : worked_ms % times);
	bool fails = run->run <= run->spec.failing_runs &&
		     run->done_ms >= run->spec.duration_ms / FAILS_AFTER;
	if (fails || worker->faults.fails) {
		end_gang (runner, run, DFF_RUN_GANG_BROKEN);
		record_end (worker, run, DFF_RUN_FAILED);
		return true;
	}
	if (run->done_ms < run->spec.duration_ms)
		return false;
	end_gang (runner, run, DFF_RUN_COMPLETED);
	record_end (worker, run, DFF_RUN_COMPLETED);
	return true;
}

/* Ends the members on other workers of the gangs that have a member on @worker. */
static void
break_gangs (struct worker *worker)
{
	g_autoptr (GList) runs = g_hash_table_get_values (worker->runs);
	for (GList *link = runs; link != NULL; link = link->next) {
		const struct run *run = link->data;
		/* @run itself need not be running: members elsewhere may have found the gang
		 * complete earlier. */
		if (run->spec.gang == 0)
			continue;
		g_autoptr (GPtrArray) members = gang_of (worker->runner, run);
		for (guint i = 0; i < members->len; i++) {
			struct run *member = g_ptr_array_index (members, i);
			struct worker *other = worker_of (worker->runner, member);
			if (other != worker && member->running)
				record_end (other, member, DFF_RUN_GANG_BROKEN);
		}
	}
}

static void
expire_lease (struct worker *worker)
{
	worker->lease_expired_ms = memory_runner_now_ms (worker->runner);
	break_gangs (worker);
	g_autoptr (GList) runs = g_hash_table_get_values (worker->runs);
	for (GList *link = runs; link != NULL; link = link->next)
		record_end (worker, link->data, DFF_RUN_LEASE_EXPIRED);
}

void
memory_worker_kill (struct worker *worker)
{
	break_gangs (worker);
	worker->dead = true;
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, worker->runs);
	while (g_hash_table_iter_next (&iter, NULL, &value)) {
		const struct run *run = value;
		memory_runner_history (worker->runner, &run->task)->n_incarnations_ended++;
	}
}

/* Ends the worker's incarnation if the crash of one of its runs is due. */
static void
crash_if_due (struct worker *worker)
{
	struct dff_memory_runner *runner = worker->runner;
	int64_t now_ms = memory_runner_now_ms (runner);
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, worker->runs);
	while (!worker->dead && g_hash_table_iter_next (&iter, NULL, &value)) {
		const struct run *run = value;
		if (!run->spec.crashes || now_ms - run->placed_ms < run->spec.crashes_after_ms)
			continue;
		memory_runner_history (runner, &run->task)->n_crashes++;
		memory_worker_kill (worker);
		if (runner->options.crashed != NULL)
			runner->options.crashed (runner->options.ctx, worker->id);
	}
}

static void
handle_check (void *user)
{
	struct worker *worker = user;
	if (!worker->dead)
		crash_if_due (worker);
	if (worker->dead)
		return;
	/* The lease belongs to the worker and expires also when nothing runs there. */
	if (worker->deadline_ms > 0 && memory_worker_clock_ms (worker) >= worker->deadline_ms)
		expire_lease (worker);
	/* The end of a run may end others in its gang, so iteration restarts after each. */
	bool ended = true;
	while (ended) {
		ended = false;
		g_autoptr (GList) runs = g_hash_table_get_values (worker->runs);
		for (GList *link = runs; link != NULL && !ended; link = link->next)
			ended = advance_run (worker, link->data);
	}
	dff_virtual_loop_schedule (worker->runner->options.loop, CHECK_MS, handle_check, worker);
}

static int32_t
accelerators_used (const struct worker *worker)
{
	int32_t used = 0;
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, worker->runs);
	while (g_hash_table_iter_next (&iter, NULL, &value))
		used += ((struct run *)value)->spec.accelerators;
	return used;
}

static void
check_capacity (const struct worker *worker, const struct dff_name *task, int32_t accelerators)
{
	struct dff_memory_runner *runner = worker->runner;
	bool former = memory_runner_now_ms (runner) < worker->former_until_ms;
	int32_t capacity = MAX (worker->accelerators, former ? worker->former_accelerators : 0);
	int32_t used = accelerators_used (worker);
	if (used + accelerators > capacity)
		violate (runner, "%s is started on %s, where %d of %d accelerators are in use",
			 task->data, worker->id, used, capacity);
}

static void
check_attempts (const struct worker *worker,
		const struct dff_name *task,
		const struct history *history)
{
	struct dff_memory_runner *runner = worker->runner;
	if (history->n_failures >= runner->options.max_attempts)
		violate (runner, "%s was started on %s after %d failed runs", task->data,
			 worker->id, history->n_failures);
}

static void
check_crashes (const struct worker *worker, const struct dff_name *task, struct history *history)
{
	if (history->n_crashes < CRASHES_MAX)
		return;
	history->n_starts_after_crashes++;
	if (history->n_starts_after_crashes >= STARTS_AFTER_CRASHES_MAX)
		violate (worker->runner, "%s was started on %s, start %d after %d worker crashes",
			 task->data, worker->id, history->n_starts_after_crashes, CRASHES_MAX);
}

static void
check_start (struct worker *worker, const struct dff_name *task, int32_t number)
{
	struct dff_memory_runner *runner = worker->runner;
	struct history *history = memory_runner_history (runner, task);
	if (history->completed)
		violate (runner, "%s run %d starts on %s after its completion was acknowledged",
			 task->data, number, worker->id);
	for (guint i = 0; i < runner->workers->len; i++) {
		const struct worker *other = g_ptr_array_index (runner->workers, i);
		if (!other->dead && g_hash_table_contains (other->runs, task))
			violate (runner, "%s run %d starts on %s while another run is active on %s",
				 task->data, number, worker->id, other->id);
	}
	history->n_failures += history->n_failures_since_start;
	history->n_failures_since_start = 0;
	check_attempts (worker, task, history);
	check_crashes (worker, task, history);
	history->n_starts++;
	history->last_start_ms = memory_runner_now_ms (runner);
}

void
memory_worker_renew (struct worker *worker, int64_t deadline_ms)
{
	int64_t longest_ms = memory_worker_clock_ms (worker) + LEASE_MAX_MS;
	worker->deadline_ms = MAX (worker->deadline_ms, MIN (deadline_ms, longest_ms));
}

enum dff_runner_outcome
memory_worker_start (struct worker *worker,
		     const struct dff_run_order *order,
		     const char *checkpoint)
{
	const struct run *present = g_hash_table_lookup (worker->runs, &order->task);
	if (memory_worker_clock_ms (worker) >= order->deadline_ms)
		return DFF_RUNNER_DEADLINE_PASSED;
	memory_worker_renew (worker, order->deadline_ms);
	if (present != NULL && present->run == order->run)
		return DFF_RUNNER_DONE;
	if (order->run <= GPOINTER_TO_INT (g_hash_table_lookup (worker->refused, &order->task)))
		return DFF_RUNNER_OLD_RUN;
	if (worker->faults.refuses)
		return DFF_RUNNER_UNHEALTHY;
	struct dff_memory_task spec =
		worker->runner->options.describe (worker->runner->options.ctx, &order->task);
	if (accelerators_used (worker) + spec.accelerators > worker->accelerators) {
		if (!worker->runner->options.unenforced)
			return DFF_RUNNER_NO_CAPACITY;
		check_capacity (worker, &order->task, spec.accelerators);
	}
	check_start (worker, &order->task, order->run);
	struct run *run = g_new0 (struct run, 1);
	run->task = order->task;
	run->run = order->run;
	run->spec = spec;
	run->placed_ms = memory_runner_now_ms (worker->runner);
	run->counted_ms = run->placed_ms;
	run->done_ms = g_ascii_strtoll (checkpoint, NULL, 10);
	g_hash_table_insert (worker->runs, &run->task, run);
	return DFF_RUNNER_DONE;
}

void
memory_worker_check_allowed (const struct worker *worker, const struct dff_run_order *order)
{
	int64_t from_ms = worker->faults.no_starts_from_ms;
	if (from_ms > 0 && memory_runner_now_ms (worker->runner) >= from_ms)
		violate (worker->runner, "%s run %d starts on %s, forbidden since %" PRId64,
			 order->task.data, order->run, worker->id, from_ms);
}

enum dff_runner_outcome
memory_worker_stop (struct worker *worker, const struct dff_run_order *order)
{
	struct run *run = g_hash_table_lookup (worker->runs, &order->task);
	refuse_runs_up_to (worker, &order->task, order->run);
	if (run != NULL && run->run <= order->run && run->stop_at_ms == 0)
		run->stop_at_ms = memory_runner_now_ms (worker->runner) +
				  worker->runner->options.stop_grace_ms;
	return DFF_RUNNER_DONE;
}

static void
record_failure (const struct worker *worker, const struct end *end)
{
	struct history *history = memory_runner_history (worker->runner, &end->task);
	bool started_since = history->last_start_ms > end->at_ms;
	history->n_failures += started_since;
	history->n_failures_since_start += !started_since;
	check_attempts (worker, &end->task, history);
}

static void
record_completion (const struct worker *worker, const struct end *end)
{
	struct history *history = memory_runner_history (worker->runner, &end->task);
	if (history->last_start_ms > end->at_ms)
		violate (worker->runner, "%s run %d had completed on %s before the last start",
			 end->task.data, end->run, worker->id);
	history->completed = true;
}

void
memory_worker_acknowledge (struct worker *worker, int64_t number)
{
	while (worker->ends->len > 0) {
		struct end end = g_array_index (worker->ends, struct end, 0);
		if (end.number > number)
			return;
		g_array_remove_index (worker->ends, 0);
		/* If the lease has expired since, the holder may have counted the run as lost. */
		bool counts = worker->lease_expired_ms <= end.at_ms;
		if (end.end == DFF_RUN_FAILED && counts)
			record_failure (worker, &end);
		if (end.end == DFF_RUN_COMPLETED && counts)
			record_completion (worker, &end);
	}
}

void
memory_worker_start_checks (struct worker *worker)
{
	dff_virtual_loop_schedule (worker->runner->options.loop, CHECK_MS, handle_check, worker);
}
