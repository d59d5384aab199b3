#include "cell/cell_private.h"

#include <inttypes.h>

#include "common/log.h"

/*
 * Takeover: reads every job row, queries every worker for its tasks, then rebuilds the core from
 * both. Nothing else is sent before that is done. What runs continues to run; the core stops the
 * rest, and the workers' answers decide how it ends.
 */

/** Longest wait for the workers' answers, ms: a worker that is down must not delay the others. */
#define QUERY_TIMEOUT_MS 1500

void
dff_cell_recovery_begin (struct dff_cell *cell)
{
	cell->phase = DFF_CELL_SCANNING;
	cell->epoch = dff_lease_epoch (cell->lease);
	cell->recovery.begun_ms = dff_cell_now_ms (cell);
	cell->recovery.n_queries = 0;
	cell->recovery.query_until_ms = 0;
	g_array_set_size (cell->recovery.reports, 0);
	dff_cell_feed_start (cell);
}

void
dff_cell_recovery_apply_row (struct dff_cell *cell, struct dff_job_row *row)
{
	const struct dff_name id = row->spec.id;
	/* A row that changed while the pages were read appears again, with its newer value. */
	dff_cell_job_remove (cell, &id);
	if (row->state == DFF_JOB_ROW_ENDED) {
		cell->ended[row->outcome] += 1;
		dff_job_row_free (row);
		return;
	}
	struct dff_cell_job *job = dff_cell_job_add (cell, row);
	if (row->state == DFF_JOB_ROW_OPEN)
		dff_cell_job_open (job);
}

void
dff_cell_recovery_scanned (struct dff_cell *cell)
{
	cell->phase = DFF_CELL_QUERYING;
}

/** Adds workers that open attempts name but the instance list does not, so that their silence is
 * detected. */
static void
add_placed_workers (struct dff_cell *cell)
{
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, cell->jobs);
	while (g_hash_table_iter_next (&iter, NULL, &value)) {
		const struct dff_cell_job *job = value;
		for (guint i = 0; i < job->members->len; i++) {
			const struct dff_cell_member *member =
				&g_array_index (job->members, struct dff_cell_member, i);
			dff_cell_worker_add (cell, &member->placement.worker);
		}
	}
}

static void
query_workers (struct dff_cell *cell)
{
	int64_t now_ms = dff_cell_now_ms (cell);
	add_placed_workers (cell);
	cell->recovery.query_until_ms = now_ms + QUERY_TIMEOUT_MS;
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, cell->workers);
	while (g_hash_table_iter_next (&iter, NULL, &value)) {
		struct dff_cell_worker *worker = value;
		worker->since_ms = now_ms;
		worker->renewed_ms = 0;
		worker->reachable = true;
		worker->querying = false;
		worker->reported = false;
		cell->recovery.n_queries += 1;
		dff_cell_worker_query (cell, &worker->name, now_ms);
	}
}

void
dff_cell_recovery_answer (struct dff_cell *cell,
			  const struct dff_name *name,
			  const struct dff_worker_result *result)
{
	cell->recovery.n_queries -= 1;
	if (result->outcome != DFF_WORKER_OK) {
		dff_cell_worker_find (cell, name)->reachable = false;
		return;
	}
	for (size_t i = 0; i < result->n_reports; i++) {
		struct dff_cell_recovery_report found = {
			.worker = *name,
			.incarnation = result->incarnation,
			.report = result->reports[i],
		};
		g_array_append_val (cell->recovery.reports, found);
	}
}

static void
set_recovered_states (struct dff_cell *cell)
{
	for (guint i = 0; i < cell->recovery.reports->len; i++) {
		const struct dff_cell_recovery_report *found =
			&g_array_index (cell->recovery.reports, struct dff_cell_recovery_report, i);
		struct dff_cell_job *job = dff_cell_job_find (cell, &found->report.task.job);
		struct dff_cell_member *member =
			job != NULL ? dff_cell_job_member (job, &found->report.task) : NULL;
		if (member != NULL && dff_name_equal (&member->placement.worker, &found->worker))
			member->recovered_state = found->report.state;
	}
}

static bool
is_present (const struct dff_cell_member *member)
{
	return member->recovered_state == DFF_TASK_HELD ||
	       member->recovered_state == DFF_TASK_RUNNING ||
	       member->recovered_state == DFF_TASK_COMPLETED;
}

/** Returns: whether the attempt can continue: every member is held, runs or has completed. */
static bool
is_whole (const struct dff_cell_job *job)
{
	for (guint i = 0; i < job->members->len; i++) {
		if (!is_present (&g_array_index (job->members, struct dff_cell_member, i)))
			return false;
	}
	return job->members->len > 0;
}

static GArray *
find_running (struct dff_cell *cell, struct dff_cell_job *job, bool whole)
{
	GArray *running = g_array_new (FALSE, TRUE, sizeof (bool));
	for (guint i = 0; i < job->members->len; i++) {
		struct dff_cell_member *member =
			&g_array_index (job->members, struct dff_cell_member, i);
		bool runs = whole || member->recovered_state == DFF_TASK_RUNNING ||
			    member->recovered_state == DFF_TASK_COMPLETED;
		member->sent = true;
		member->in_doubt = true;
		member->started = runs;
		member->started_ms = dff_cell_now_ms (cell);
		g_array_append_val (running, runs);
	}
	return running;
}

/* The former holder failed between recording and releasing the gang. The members that are still
 * held are released, so that the gang continues instead of being stopped. */
static void
release_held (struct dff_cell *cell, struct dff_cell_job *job)
{
	for (guint i = 0; i < job->members->len; i++) {
		const struct dff_cell_member *member =
			&g_array_index (job->members, struct dff_cell_member, i);
		if (member->recovered_state == DFF_TASK_HELD)
			dff_cell_set_wanted (cell, job, (int32_t)i, DFF_CELL_WANT_RELEASE);
	}
}

static void
recover_job (struct dff_cell *cell, struct dff_cell_job *job)
{
	const struct dff_job_row *row = job->row;
	bool open = row->state == DFF_JOB_ROW_OPEN;
	bool whole = open && is_whole (job);
	g_autoptr (GArray) running = find_running (cell, job, whole);
	job->recovered = open;
	if (whole || !open)
		dff_cell_span_next (cell, job, "ok", whole ? "run" : "queue");
	job->cancel_reported = row->cancel_requested;
	const struct dff_recovered_attempt recovered = {
		.attempt = row->attempt,
		.open = open,
		.cancelled = row->cancel_requested,
		.placements = row->placements,
		.running = running,
	};
	const struct dff_event event = {
		.type = DFF_EVENT_JOB_RECOVERED,
		.job = row->spec.id,
		.spec = &row->spec,
		.recovered = &recovered,
	};
	dff_core_handle_event (cell->core, &event, dff_cell_now_ms (cell));
	if (whole && !row->cancel_requested)
		release_held (cell, job);
}

static gint
compare_revision (gconstpointer a, gconstpointer b)
{
	const struct dff_cell_job *first = *(struct dff_cell_job *const *)a;
	const struct dff_cell_job *second = *(struct dff_cell_job *const *)b;
	if (first->row->revision != second->row->revision)
		return first->row->revision < second->row->revision ? -1 : 1;
	return dff_name_compare (&first->row->spec.id, &second->row->spec.id);
}

/** Returns: jobs in order of their last change, so that the same rows rebuild the same core. */
static GPtrArray *
jobs_in_order (const struct dff_cell *cell)
{
	GPtrArray *jobs = g_ptr_array_new ();
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, cell->jobs);
	while (g_hash_table_iter_next (&iter, NULL, &value))
		g_ptr_array_add (jobs, value);
	g_ptr_array_sort (jobs, compare_revision);
	return jobs;
}

static void
apply_reports (struct dff_cell *cell)
{
	for (guint i = 0; i < cell->recovery.reports->len; i++) {
		const struct dff_cell_recovery_report *found =
			&g_array_index (cell->recovery.reports, struct dff_cell_recovery_report, i);
		dff_cell_apply_report (cell, &found->worker, found->incarnation, &found->report);
	}
	g_array_set_size (cell->recovery.reports, 0);
}

static void
rebuild (struct dff_cell *cell)
{
	int64_t now_ms = dff_cell_now_ms (cell);
	cell->core = dff_core_new (&cell->options.core);
	dff_core_set_pool (cell->core, cell->pool, now_ms);
	dff_cell_workers_report (cell, true);
	dff_cell_deliver_events (cell);
	set_recovered_states (cell);
	g_autoptr (GPtrArray) jobs = jobs_in_order (cell);
	for (guint i = 0; i < jobs->len; i++)
		recover_job (cell, g_ptr_array_index (jobs, i));
	cell->phase = DFF_CELL_ACTIVE;
	apply_reports (cell);
	int64_t took_ms = now_ms - cell->recovery.begun_ms;
	*cell->metrics.recoveries += 1;
	*cell->metrics.recovery_ms = took_ms;
	dff_log (DFF_LOG_CELL, DFF_LOG_INFO,
		 "Cell recovered. region=%s epoch=%" PRId64 " jobs=%u ms=%" PRId64,
		 cell->options.region.data, cell->epoch, jobs->len, took_ms);
	if (cell->options.callbacks.holder_changed != NULL)
		cell->options.callbacks.holder_changed (cell->options.callbacks.ctx, true,
							cell->epoch);
}

void
dff_cell_recovery_tick (struct dff_cell *cell)
{
	if (cell->phase == DFF_CELL_SCANNING) {
		dff_cell_feed_tick (cell);
		return;
	}
	int64_t now_ms = dff_cell_now_ms (cell);
	struct dff_cell_recovery *recovery = &cell->recovery;
	if (recovery->query_until_ms == 0)
		query_workers (cell);
	dff_cell_agenda_run (cell);
	if (recovery->n_queries <= 0 || now_ms >= recovery->query_until_ms)
		rebuild (cell);
}
