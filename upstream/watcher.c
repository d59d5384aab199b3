#include "upstream/watcher.h"

#include <string.h>

#define INTERVAL_MS 1000
#define RETRY_MS 250
#define LEASE_MS 9000
#define FAILURES_UNREACHABLE 2
#define REPORT_REPEAT_MS 5000
/** Delay of the renewal after a change, ms: changes within it are reported together. */
#define CHANGE_BATCH_MS 50
#define JITTER_DIVISOR 8
/** Maximum number of task reports in one worker report: peers limit the length of a message. */
#define MAX_REPORTS 512
#define MAX_RETRY_DOUBLINGS 6

struct dff_watcher {
	struct dff_watcher_options options;
	/** Key: struct dff_name, the worker's name; value: struct watched. */
	GHashTable *workers;
	/** Elements: struct watched, in the order in which they were added. */
	GPtrArray *order;
	/** Elements: struct watched that left the share while a renewal was in progress. */
	GPtrArray *removed;
	GRand *random;
	int64_t *renewals;
	int64_t *failures;
	int64_t *reports;
	int64_t *restarts;
};

struct watched {
	struct dff_watcher *watcher;
	struct dff_name name;
	struct dff_name address;
	/** Time of the next renewal, ms. */
	int64_t due_ms;
	int64_t sent_ms;
	bool in_progress;
	/** Left the share: the answer to the renewal in progress is dropped. */
	bool removed;
	/** Sequence number sent in the renewal in progress, and the last one received. */
	int64_t requested_sequence;
	int64_t sequence;
	int64_t incarnation;
	/** Time of the last answer, ms; before the first, the time at which watching began. */
	int64_t last_answer_ms;
	int32_t failures;
	/** Contents of the last report to the holder; @reported is false when there is none. */
	bool reported;
	bool reported_reachable;
	bool reported_leaving;
	int64_t reported_silent_ms;
	/** The renewal in progress was sent before dff_watcher_report_all(): its answer has only
	 * changes, not all tasks. */
	bool renewal_outdated;
	/** Time at which changes after @repeat_sequence are repeated, ms; 0: none is due. */
	int64_t repeat_at_ms;
	int64_t repeat_sequence;
	/** The renewal in progress requests the changes to be repeated. */
	bool repeating;
};

void
dff_watcher_options_init (struct dff_watcher_options *options)
{
	memset (options, 0, sizeof (*options));
	options->interval_ms = INTERVAL_MS;
	options->retry_ms = RETRY_MS;
	options->report_repeat_ms = REPORT_REPEAT_MS;
	options->lease_ms = LEASE_MS;
	options->failures_unreachable = FAILURES_UNREACHABLE;
}

struct dff_watcher *
dff_watcher_new (const struct dff_watcher_options *options)
{
	struct dff_watcher *watcher = g_new0 (struct dff_watcher, 1);
	struct dff_metrics *metrics = options->metrics;
	watcher->options = *options;
	watcher->workers = g_hash_table_new (dff_name_hash, dff_name_equal_func);
	watcher->order = g_ptr_array_new_with_free_func (g_free);
	watcher->removed = g_ptr_array_new_with_free_func (g_free);
	watcher->random = g_rand_new_with_seed ((guint32)options->seed);
	watcher->renewals = dff_metrics_counter (metrics, "dff_watch_renewals_total",
						 "Renewals sent to workers.");
	watcher->failures = dff_metrics_counter (metrics, "dff_watch_failures_total",
						 "Renewals without a proper answer.");
	watcher->reports = dff_metrics_counter (metrics, "dff_watch_sightings_total",
						"Changes told to the holder.");
	watcher->restarts = dff_metrics_counter (metrics, "dff_watch_restarts_total",
						 "Workers found to have started anew.");
	return watcher;
}

void
dff_watcher_free (struct dff_watcher *watcher)
{
	g_hash_table_unref (watcher->workers);
	g_ptr_array_unref (watcher->order);
	g_ptr_array_unref (watcher->removed);
	g_rand_free (watcher->random);
	g_free (watcher);
}

static int64_t
now_ms (const struct dff_watcher *watcher)
{
	return dff_clock_now_ms (watcher->options.clock);
}

/** Returns: a jittered interval. Without the jitter, all workers would be renewed at the same
 * moment in every process after an outage, and remain synchronised. */
static int32_t
jittered (struct dff_watcher *watcher, int32_t interval_ms)
{
	int32_t spread = MAX (interval_ms / JITTER_DIVISOR, 1);
	return interval_ms + g_rand_int_range (watcher->random, -spread, spread + 1);
}

static void
send_report (struct watched *worker, struct dff_worker_report *report)
{
	struct dff_watcher *watcher = worker->watcher;
	worker->reported = true;
	worker->reported_reachable = report->reachable;
	worker->reported_leaving = report->leaving;
	worker->reported_silent_ms = report->silent_ms;
	report->worker = worker->name;
	(*watcher->reports)++;
	watcher->options.report (watcher->options.ctx, report);
}

/** Schedules an immediate renewal that requests all tasks. */
static void
request_all (struct watched *worker)
{
	worker->sequence = 0;
	worker->due_ms = now_ms (worker->watcher);
}

static bool
has_changes (const struct watched *worker, const struct dff_worker_result *result)
{
	return !worker->reported || !worker->reported_reachable ||
	       result->sequence != worker->sequence || result->leaving != worker->reported_leaving;
}

/* A report can be lost on its way, or reach a holder that is stepping down. Without a repeat, a job
 * that has completed would count as running until its worker is queried for another reason. */
static void
schedule_repeat (struct watched *worker, int64_t after_sequence)
{
	struct dff_watcher *watcher = worker->watcher;
	if (worker->repeat_at_ms != 0) {
		worker->repeat_sequence = MIN (worker->repeat_sequence, after_sequence);
		return;
	}
	worker->repeat_at_ms =
		now_ms (watcher) + jittered (watcher, watcher->options.report_repeat_ms);
	worker->repeat_sequence = after_sequence;
}

static void
report_answer (struct watched *worker, const struct dff_worker_result *result)
{
	size_t n_remaining = result->n_reports;
	struct dff_worker_report chunk = {
		.reachable = true,
		.leaving = result->leaving,
		.reports = result->reports,
		.complete = worker->requested_sequence == 0 && n_remaining <= MAX_REPORTS,
	};
	do {
		chunk.n_reports = MIN (n_remaining, MAX_REPORTS);
		n_remaining -= chunk.n_reports;
		send_report (worker, &chunk);
		chunk.reports += chunk.n_reports;
	} while (n_remaining > 0);
}

static void
handle_answer (struct watched *worker, const struct dff_worker_result *result)
{
	/* A restarted worker has lost its tasks and restarts its sequence numbers. The answer to a
	 * renewal with an old sequence number would hide both, so all tasks are requested. */
	bool restarted = worker->incarnation != 0 && worker->incarnation != result->incarnation;
	worker->last_answer_ms = now_ms (worker->watcher);
	worker->failures = 0;
	if (worker->renewal_outdated || (restarted && worker->requested_sequence != 0)) {
		worker->renewal_outdated = false;
		request_all (worker);
		return;
	}
	bool repeat = worker->repeating;
	bool changed = restarted || has_changes (worker, result);
	if (repeat)
		worker->repeat_at_ms = 0;
	if (changed)
		schedule_repeat (worker, restarted ? 0 : worker->sequence);
	*worker->watcher->restarts += restarted;
	worker->incarnation = result->incarnation;
	worker->sequence = result->sequence;
	if (changed || repeat)
		report_answer (worker, result);
	if (changed)
		worker->due_ms = worker->last_answer_ms + CHANGE_BATCH_MS;
}

/** Step in which the time without an answer is reported: each interval until well past the lease,
 * so that the holder detects its expiry in time, then increasingly longer. */
static int64_t
silence_step_ms (const struct watched *worker)
{
	const struct dff_watcher_options *options = &worker->watcher->options;
	if (worker->reported_silent_ms < 2 * (int64_t)options->lease_ms)
		return options->interval_ms;
	return worker->reported_silent_ms / 2;
}

/** Returns: the time of the next retry. The first retry comes soon, because only one connection may
 * have stopped answering; later ones approach the interval. The delay counts from the sending of
 * the failed renewal, as its timeout has already passed. */
static int64_t
retry_at_ms (const struct watched *worker)
{
	struct dff_watcher *watcher = worker->watcher;
	const struct dff_watcher_options *options = &watcher->options;
	int32_t doublings = MIN (worker->failures - 1, MAX_RETRY_DOUBLINGS);
	int32_t after_ms = MIN (options->retry_ms << doublings, options->interval_ms);
	int64_t earliest_ms = now_ms (watcher) + jittered (watcher, options->retry_ms);
	return MAX (worker->sent_ms + jittered (watcher, after_ms), earliest_ms);
}

static void
handle_failure (struct watched *worker)
{
	struct dff_watcher *watcher = worker->watcher;
	int64_t silent_ms = now_ms (watcher) - worker->last_answer_ms;
	(*watcher->failures)++;
	worker->failures++;
	worker->renewal_outdated = false;
	worker->due_ms = retry_at_ms (worker);
	if (worker->failures < watcher->options.failures_unreachable)
		return;
	bool flipped = !worker->reported || worker->reported_reachable;
	if (!flipped && silent_ms < worker->reported_silent_ms + silence_step_ms (worker))
		return;
	struct dff_worker_report report = {
		.reachable = false,
		.leaving = worker->reported_leaving,
		.silent_ms = silent_ms,
	};
	send_report (worker, &report);
}

static void
handle_renewal (void *user, const struct dff_worker_result *result)
{
	struct watched *worker = user;
	worker->in_progress = false;
	if (worker->removed) {
		g_ptr_array_remove_fast (worker->watcher->removed, worker);
		return;
	}
	if (result->outcome == DFF_WORKER_OK)
		handle_answer (worker, result);
	else
		handle_failure (worker);
}

static void
renew (struct watched *worker)
{
	struct dff_watcher *watcher = worker->watcher;
	const struct dff_worker_client *workers = watcher->options.workers;
	worker->in_progress = true;
	worker->sent_ms = now_ms (watcher);
	worker->repeating = worker->repeat_at_ms != 0 && worker->repeat_at_ms <= worker->sent_ms;
	worker->requested_sequence = worker->sequence;
	if (worker->repeating)
		worker->requested_sequence = MIN (worker->sequence, worker->repeat_sequence);
	worker->due_ms = worker->sent_ms + jittered (watcher, watcher->options.interval_ms);
	(*watcher->renewals)++;
	workers->renew (workers->ctx, &worker->address, watcher->options.lease_ms,
			worker->requested_sequence, handle_renewal, worker);
}

void
dff_watcher_set_interval (struct dff_watcher *watcher, int32_t interval_ms)
{
	watcher->options.interval_ms = interval_ms;
}

void
dff_watcher_tick (struct dff_watcher *watcher)
{
	int64_t now = now_ms (watcher);
	for (guint i = 0; i < watcher->order->len; i++) {
		struct watched *worker = g_ptr_array_index (watcher->order, i);
		if (!worker->in_progress && worker->due_ms <= now)
			renew (worker);
	}
}

static void
add_worker (struct dff_watcher *watcher, const struct dff_watched_worker *added)
{
	struct watched *worker = g_new0 (struct watched, 1);
	worker->watcher = watcher;
	worker->name = added->name;
	worker->address = added->address;
	worker->last_answer_ms = now_ms (watcher);
	worker->due_ms = worker->last_answer_ms +
			 g_rand_int_range (watcher->random, 0, watcher->options.interval_ms);
	g_hash_table_insert (watcher->workers, &worker->name, worker);
	g_ptr_array_add (watcher->order, worker);
}

static void
remove_worker (struct dff_watcher *watcher, guint at)
{
	struct watched *worker = g_ptr_array_index (watcher->order, at);
	g_hash_table_remove (watcher->workers, &worker->name);
	g_ptr_array_steal_index (watcher->order, at);
	worker->removed = true;
	if (worker->in_progress) {
		g_ptr_array_add (watcher->removed, worker);
		return;
	}
	g_free (worker);
}

static GHashTable *
index_workers (const struct dff_watched_worker *workers, size_t n_workers)
{
	GHashTable *index = g_hash_table_new (dff_name_hash, dff_name_equal_func);
	for (size_t i = 0; i < n_workers; i++)
		g_hash_table_insert (index, (gpointer)&workers[i].name, (gpointer)&workers[i]);
	return index;
}

void
dff_watcher_set_workers (struct dff_watcher *watcher,
			 const struct dff_watched_worker *workers,
			 size_t n_workers)
{
	g_autoptr (GHashTable) wanted = index_workers (workers, n_workers);
	for (guint at = watcher->order->len; at > 0; at--) {
		const struct watched *worker = g_ptr_array_index (watcher->order, at - 1);
		const struct dff_watched_worker *kept = g_hash_table_lookup (wanted, &worker->name);
		/* A changed address means a different worker. */
		if (kept == NULL || !dff_name_equal (&kept->address, &worker->address))
			remove_worker (watcher, at - 1);
	}
	for (size_t i = 0; i < n_workers; i++) {
		if (!g_hash_table_contains (watcher->workers, &workers[i].name))
			add_worker (watcher, &workers[i]);
	}
}

void
dff_watcher_report_all (struct dff_watcher *watcher)
{
	for (guint i = 0; i < watcher->order->len; i++) {
		struct watched *worker = g_ptr_array_index (watcher->order, i);
		worker->renewal_outdated = worker->in_progress;
		worker->sequence = 0;
		worker->reported = false;
	}
}
