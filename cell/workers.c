#include "cell/cell_private.h"

#include <inttypes.h>

#include "common/log.h"

/* The state of the region's workers that a holder needs: their addresses, whether they may get
 * tasks, and how long they have been silent. Watchers renew the leases of their tasks. */

/** Interval at which worker states and silences are checked, ms. */
#define WORKERS_INTERVAL_MS 100
/** One busy worker is queried for its tasks at this interval, in turn, ms. With 360 workers each is
 * queried every 15 minutes, which costs about 2 KB/s. */
#define AUDIT_INTERVAL_MS 2500
/** Interval of queries of a worker that is silent or not in the instance list, ms. */
#define SUSPECT_INTERVAL_MS 1000

struct dff_cell_worker *
dff_cell_worker_find (const struct dff_cell *cell, const struct dff_name *name)
{
	return g_hash_table_lookup (cell->workers, name);
}

struct dff_cell_worker *
dff_cell_worker_add (struct dff_cell *cell, const struct dff_name *name)
{
	struct dff_cell_worker *worker = dff_cell_worker_find (cell, name);
	if (worker != NULL)
		return worker;
	worker = g_new0 (struct dff_cell_worker, 1);
	worker->name = *name;
	worker->reachable = true;
	worker->since_ms = dff_cell_now_ms (cell);
	g_hash_table_insert (cell->workers, &worker->name, worker);
	return worker;
}

void
dff_cell_worker_answered (struct dff_cell *cell,
			  const struct dff_name *name,
			  const struct dff_worker_result *result)
{
	struct dff_cell_worker *worker = dff_cell_worker_find (cell, name);
	if (worker == NULL)
		return;
	worker->reachable = true;
	worker->reports_leaving = result->leaving;
	if (result->incarnation == 0 || result->incarnation == worker->incarnation)
		return;
	bool restarted = worker->incarnation != 0;
	worker->incarnation = result->incarnation;
	if (!restarted)
		return;
	dff_log (DFF_LOG_CELL, DFF_LOG_WARNING, "Worker restarted. worker=%s incarnation=%" PRId64,
		 name->data, result->incarnation);
	/* A takeover already queries each worker, and counts the answers. */
	if (cell->phase == DFF_CELL_ACTIVE)
		dff_cell_worker_query (cell, name, dff_cell_now_ms (cell));
}

void
dff_cell_worker_query (struct dff_cell *cell, const struct dff_name *name, int64_t due_ms)
{
	struct dff_cell_worker *worker = dff_cell_worker_find (cell, name);
	if (worker == NULL || worker->querying)
		return;
	worker->querying = true;
	worker->queried_ms = due_ms;
	struct dff_cell_due due = {
		.due_ms = due_ms,
		.type = DFF_CELL_DUE_QUERY,
		.worker = *name,
	};
	dff_cell_agenda_add (cell, &due);
}

/** Time since the last known renewal of its tasks' lease, or since the worker was added, ms. */
static int64_t
silent_ms (const struct dff_cell *cell, const struct dff_cell_worker *worker)
{
	int64_t last_ms = worker->renewed_ms != 0 ? worker->renewed_ms : worker->since_ms;
	return dff_cell_now_ms (cell) - last_ms;
}

/** Returns: whether the worker's tasks must have ended, because their lease has expired and the
 * worker has stopped them. */
static bool
lease_lapsed (const struct dff_cell *cell, const struct dff_cell_worker *worker)
{
	int64_t limit_ms = (int64_t)cell->options.task_lease_ms + DFF_CELL_SILENCE_MARGIN_MS;
	return silent_ms (cell, worker) > limit_ms;
}

/* A watcher that is cut off from a worker reports it as silent while other watchers renew the
 * leases of its tasks. If that report were enough, a running task would count as lost. Tasks of a
 * silent worker are therefore marked lost only when the holder's own query is not answered either.
 */
void
dff_cell_worker_unanswered (struct dff_cell *cell, const struct dff_name *name)
{
	struct dff_cell_worker *worker = dff_cell_worker_find (cell, name);
	worker->reachable = false;
	if (!lease_lapsed (cell, worker))
		return;
	dff_cell_mark_tasks_lost (cell, name);
	if (!worker->listed)
		g_hash_table_remove (cell->workers, name);
}

static enum dff_worker_state
state_of (const struct dff_cell_worker *worker)
{
	if (!worker->listed || !worker->reachable)
		return DFF_WORKER_DOWN;
	if (worker->listed_leaving || worker->reports_leaving)
		return DFF_WORKER_LEAVING;
	return DFF_WORKER_UP;
}

static void
report_state (struct dff_cell *cell, struct dff_cell_worker *worker)
{
	enum dff_worker_state state = state_of (worker);
	if (worker->reported && worker->reported_state == state)
		return;
	worker->reported = true;
	worker->reported_state = state;
	struct dff_event event = {
		.type = DFF_EVENT_WORKER_STATE,
		.worker = worker->name,
		.worker_state = state,
	};
	dff_cell_queue_event (cell, &event);
}

void
dff_cell_workers_report (struct dff_cell *cell, bool again)
{
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, cell->workers);
	while (g_hash_table_iter_next (&iter, NULL, &value)) {
		struct dff_cell_worker *worker = value;
		worker->reported = worker->reported && !again;
		report_state (cell, worker);
	}
}

static void
query_if_silent (struct dff_cell *cell, struct dff_cell_worker *worker)
{
	bool unavailable = !worker->reachable || !worker->listed;
	if (!unavailable || worker->querying)
		return;
	/* The query is repeated at intervals, so that a worker that answers again is used soon. */
	int64_t now_ms = dff_cell_now_ms (cell);
	dff_cell_worker_query (cell, &worker->name, now_ms + SUSPECT_INTERVAL_MS);
}

/** Returns: workers on which a member is known to run; keys: struct dff_name in @cell. */
static GHashTable *
busy_workers (const struct dff_cell *cell)
{
	GHashTable *busy = g_hash_table_new (dff_name_hash, dff_name_equal_func);
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, cell->jobs);
	while (g_hash_table_iter_next (&iter, NULL, &value)) {
		const struct dff_cell_job *job = value;
		for (guint i = 0; i < job->members->len; i++) {
			struct dff_cell_member *member =
				&g_array_index (job->members, struct dff_cell_member, i);
			if (member->started && !member->ended)
				g_hash_table_add (busy, &member->placement.worker);
		}
	}
	return busy;
}

/* Watchers report a change twice, and both messages may be lost. A task that has ended would then
 * count as running for ever, with its accelerators idle. Querying each worker that has a running
 * task in turn bounds that time. The other workers are not queried: an answer names every task that
 * ended within the hour, and querying them cost an idle holder 5 KB/s after a burst of 500 jobs. */
static void
audit (struct dff_cell *cell)
{
	int64_t now_ms = dff_cell_now_ms (cell);
	if (now_ms < cell->audit_due_ms)
		return;
	cell->audit_due_ms = now_ms + AUDIT_INTERVAL_MS;
	g_autoptr (GHashTable) busy = busy_workers (cell);
	const struct dff_cell_worker *next = NULL;
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, cell->workers);
	while (g_hash_table_iter_next (&iter, NULL, &value)) {
		const struct dff_cell_worker *worker = value;
		if (worker->listed && g_hash_table_contains (busy, &worker->name) &&
		    (next == NULL || worker->queried_ms < next->queried_ms))
			next = worker;
	}
	if (next != NULL)
		dff_cell_worker_query (cell, &next->name, now_ms);
}

void
dff_cell_workers_tick (struct dff_cell *cell)
{
	if (dff_cell_now_ms (cell) < cell->workers_due_ms)
		return;
	cell->workers_due_ms = dff_cell_now_ms (cell) + WORKERS_INTERVAL_MS;
	dff_cell_workers_report (cell, false);
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, cell->workers);
	while (g_hash_table_iter_next (&iter, NULL, &value))
		query_if_silent (cell, value);
	audit (cell);
}

void
dff_cell_set_instances (struct dff_cell *cell,
			const struct dff_instance *instances,
			size_t n_instances)
{
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, cell->workers);
	while (g_hash_table_iter_next (&iter, NULL, &value))
		((struct dff_cell_worker *)value)->listed = false;
	for (size_t i = 0; i < n_instances; i++) {
		const struct dff_instance *instance = &instances[i];
		if (instance->role != DFF_INSTANCE_WORKER ||
		    !dff_name_equal (&instance->region, &cell->options.region))
			continue;
		struct dff_cell_worker *worker = dff_cell_worker_add (cell, &instance->id);
		worker->listed = true;
		worker->listed_leaving = instance->leaving;
		worker->address = instance->address;
		if (worker->incarnation == 0 && cell->phase == DFF_CELL_ACTIVE)
			dff_cell_worker_query (cell, &worker->name, dff_cell_now_ms (cell));
	}
	cell->instances_known = true;
	cell->workers_due_ms = 0;
}

static bool
misses_task (const struct dff_cell *cell, const struct dff_worker_report *worker_report)
{
	GHashTableIter iter;
	gpointer value;
	int32_t placed = 0;
	g_hash_table_iter_init (&iter, cell->jobs);
	while (g_hash_table_iter_next (&iter, NULL, &value)) {
		const struct dff_cell_job *job = value;
		for (guint i = 0; i < job->members->len; i++) {
			const struct dff_cell_member *member =
				&g_array_index (job->members, struct dff_cell_member, i);
			placed +=
				member->started && !member->ended &&
				dff_name_equal (&member->placement.worker, &worker_report->worker);
		}
	}
	for (size_t i = 0; i < worker_report->n_reports; i++) {
		const struct dff_task_report *report = &worker_report->reports[i];
		struct dff_cell_job *job = dff_cell_job_find (cell, &report->task.job);
		const struct dff_cell_member *member =
			job != NULL ? dff_cell_job_member (job, &report->task) : NULL;
		placed -= member != NULL && member->started && !member->ended;
	}
	return placed > 0;
}

void
dff_cell_handle_worker_report (struct dff_cell *cell, const struct dff_worker_report *worker_report)
{
	struct dff_cell_worker *worker = dff_cell_worker_find (cell, &worker_report->worker);
	if (worker == NULL || !dff_cell_is_holder (cell))
		return;
	int64_t now_ms = dff_cell_now_ms (cell);
	worker->renewed_ms = MAX (worker->renewed_ms, now_ms - worker_report->silent_ms);
	worker->reachable = worker_report->reachable;
	if (worker_report->reachable)
		worker->reports_leaving = worker_report->leaving;
	cell->workers_due_ms = 0;
	if (worker_report->complete && misses_task (cell, worker_report))
		dff_cell_worker_query (cell, &worker_report->worker, now_ms);
	for (size_t i = 0; i < worker_report->n_reports; i++)
		dff_cell_apply_report (cell, &worker_report->worker, 0, &worker_report->reports[i]);
}
