#include "cell/cell.h"

#include <inttypes.h>
#include <string.h>

#include "cell/cell_private.h"
#include "common/log.h"

/* docs/decisions/ownership.md gives the reasons for these defaults. */
#define DEFAULT_LEASE_MS 4000
#define DEFAULT_RENEW_MS 1000
#define DEFAULT_MARGIN_MS 500
#define DEFAULT_TASK_LEASE_MS 10000
#define DEFAULT_BATCH_STALL_MS 600000
#define DEFAULT_RETENTION_S (7 * 24 * 3600)

void
dff_cell_options_init (struct dff_cell_options *options)
{
	memset (options, 0, sizeof (*options));
	options->lease_ms = DEFAULT_LEASE_MS;
	options->renew_ms = DEFAULT_RENEW_MS;
	options->lease_margin_ms = DEFAULT_MARGIN_MS;
	options->task_lease_ms = DEFAULT_TASK_LEASE_MS;
	options->batch_stall_ms = DEFAULT_BATCH_STALL_MS;
	options->retention_s = DEFAULT_RETENTION_S;
	dff_core_options_init (&options->core);
}

int64_t
dff_cell_now_ms (const struct dff_cell *cell)
{
	return dff_clock_now_ms (cell->options.clock);
}

int64_t
dff_cell_backoff_ms (struct dff_cell *cell, int32_t tries)
{
	int64_t wait_ms = (int64_t)DFF_CELL_RETRY_MIN_MS << MIN (MAX (tries, 0), 8);
	wait_ms = MIN (wait_ms, DFF_CELL_RETRY_MAX_MS);
	return wait_ms / 2 + g_rand_int_range (cell->rand, 0, (gint32)wait_ms / 2 + 1);
}

static void
open_metrics (struct dff_cell *cell, struct dff_metrics *metrics)
{
	struct dff_cell_metrics *m = &cell->metrics;
	m->recoveries = dff_metrics_counter (metrics, "dff_cell_recoveries_total",
					     "Take-overs whose tables were rebuilt.");
	m->recovery_ms = dff_metrics_gauge (metrics, "dff_cell_recovery_ms",
					    "Time that the last rebuild took.");
	m->starts = dff_metrics_counter (metrics, "dff_cell_starts_total", "Members started.");
	m->retries = dff_metrics_counter (metrics, "dff_cell_call_retries_total",
					  "Calls to workers that were repeated.");
	m->conflicts = dff_metrics_counter (metrics, "dff_cell_write_conflicts_total",
					    "Job rows that somebody else changed in between.");
	m->orphans = dff_metrics_counter (metrics, "dff_cell_orphans_total",
					  "Tasks found running that no open attempt owns.");
	m->lost = dff_metrics_counter (metrics, "dff_cell_tasks_lost_total",
				       "Tasks whose lease lapsed.");
	m->batch_stalls = dff_metrics_counter (metrics, "dff_cell_batch_stalls_total",
					       "Times a batch was without progress.");
	m->batches_stalled = dff_metrics_gauge (metrics, "dff_cell_batches_stalled",
						"Batches without progress now.");
	m->expired = dff_metrics_counter (metrics, "dff_cell_jobs_expired_total",
					  "Ended jobs whose rows were deleted after retention_s.");
	m->attempts_expired =
		dff_metrics_counter (metrics, "dff_cell_attempts_expired_total",
				     "Records of requests that were deleted after retention_s.");
	m->bad_rows = dff_metrics_counter (metrics, "dff_cell_bad_rows_total",
					   "Job rows that could not be read.");
}

static void
open_lease (struct dff_cell *cell)
{
	const struct dff_cell_options *options = &cell->options;
	const struct dff_lease_options lease_options = {
		.instance = options->instance,
		.region = options->region,
		.table = options->table,
		.clock = options->clock,
		.metrics = options->metrics,
		.seed = options->seed,
		.lease_ms = options->lease_ms,
		.renew_ms = options->renew_ms,
		.margin_ms = options->lease_margin_ms,
	};
	cell->lease = dff_lease_new (&lease_options);
}

struct dff_cell *
dff_cell_new (const struct dff_cell_options *options)
{
	struct dff_cell *cell = g_new0 (struct dff_cell, 1);
	cell->options = *options;
	cell->rand = g_rand_new_with_seed ((guint32)options->seed);
	cell->prefix = g_string_new (NULL);
	g_string_printf (cell->prefix, "job/%s/", options->region.data);
	cell->events = g_array_new (FALSE, TRUE, sizeof (struct dff_event));
	cell->commands = g_array_new (FALSE, TRUE, sizeof (struct dff_command));
	cell->jobs =
		g_hash_table_new_full (dff_name_hash, dff_name_equal_func, NULL, dff_cell_job_free);
	cell->workers = g_hash_table_new_full (dff_name_hash, dff_name_equal_func, NULL, g_free);
	cell->batches = g_hash_table_new_full (dff_name_hash, dff_name_equal_func, NULL, g_free);
	cell->agenda = g_sequence_new (g_free);
	cell->calls = g_hash_table_new_full (NULL, NULL, g_free, NULL);
	cell->recovery.reports =
		g_array_new (FALSE, TRUE, sizeof (struct dff_cell_recovery_report));
	dff_cell_retention_init (cell);
	dff_cell_attempt_retention_init (cell);
	open_metrics (cell, options->metrics);
	dff_cell_core_metrics_init (cell, options->metrics);
	open_lease (cell);
	return cell;
}

/* Stops waiting for the outcome of writes that were sent: the next holder reads the rows. */
static void
abandon_writes (struct dff_cell *cell)
{
	GHashTableIter iter;
	gpointer key;
	g_hash_table_iter_init (&iter, cell->calls);
	while (g_hash_table_iter_next (&iter, &key, NULL)) {
		const struct dff_cell_call *call = key;
		if (call->type != DFF_CELL_CALL_WRITE)
			continue;
		dff_recorder_abandon (cell->options.recorder, call->ticket);
		g_hash_table_iter_remove (&iter);
	}
}

static void
clear_tables (struct dff_cell *cell)
{
	abandon_writes (cell);
	g_array_set_size (cell->events, 0);
	g_hash_table_remove_all (cell->jobs);
	dff_cell_batches_clear (cell);
	dff_cell_retention_clear (cell);
	dff_cell_attempt_retention_clear (cell);
	g_sequence_remove_range (g_sequence_get_begin_iter (cell->agenda),
				 g_sequence_get_end_iter (cell->agenda));
	memset (cell->ended, 0, sizeof (cell->ended));
	if (cell->core == NULL)
		return;
	dff_cell_core_metrics_end (cell);
	dff_core_free (cell->core);
	cell->core = NULL;
}

void
dff_cell_free (struct dff_cell *cell)
{
	clear_tables (cell);
	dff_cell_retention_free (cell);
	dff_cell_attempt_retention_free (cell);
	dff_lease_free (cell->lease);
	dff_pool_free (cell->pool);
	g_rand_free (cell->rand);
	g_string_free (cell->prefix, TRUE);
	g_array_unref (cell->events);
	g_array_unref (cell->commands);
	g_array_unref (cell->recovery.reports);
	g_hash_table_unref (cell->jobs);
	g_hash_table_unref (cell->workers);
	g_hash_table_unref (cell->batches);
	g_hash_table_unref (cell->calls);
	g_sequence_free (cell->agenda);
	g_free (cell);
}

void
dff_cell_queue_event (struct dff_cell *cell, const struct dff_event *event)
{
	g_array_append_val (cell->events, *event);
}

void
dff_cell_deliver_events (struct dff_cell *cell)
{
	int64_t now_ms = dff_cell_now_ms (cell);
	for (guint i = 0; i < cell->events->len; i++) {
		const struct dff_event *event = &g_array_index (cell->events, struct dff_event, i);
		dff_core_handle_event (cell->core, event, now_ms);
	}
	g_array_set_size (cell->events, 0);
}

struct dff_cell_call *
dff_cell_call_begin (struct dff_cell *cell, enum dff_cell_call_type type)
{
	struct dff_cell_call *call = g_new0 (struct dff_cell_call, 1);
	call->cell = cell;
	call->type = type;
	call->term = cell->term;
	call->sent_ms = dff_cell_now_ms (cell);
	g_hash_table_add (cell->calls, call);
	return call;
}

bool
dff_cell_call_end (struct dff_cell_call *call, struct dff_cell_call *copy)
{
	*copy = *call;
	struct dff_cell *cell = copy->cell;
	g_hash_table_remove (cell->calls, call);
	return copy->term == cell->term;
}

/** Drops all state of the holder; answers that are still outstanding are ignored. */
static void
step_down (struct dff_cell *cell)
{
	bool was_active = cell->phase == DFF_CELL_ACTIVE;
	dff_log (DFF_LOG_CELL, DFF_LOG_WARNING, "Stepped down as holder. region=%s epoch=%" PRId64,
		 cell->options.region.data, cell->epoch);
	clear_tables (cell);
	cell->phase = DFF_CELL_STANDBY;
	cell->term += 1;
	if (was_active && cell->options.callbacks.holder_changed != NULL)
		cell->options.callbacks.holder_changed (cell->options.callbacks.ctx, false,
							cell->epoch);
}

static void
update_phase (struct dff_cell *cell)
{
	bool held = dff_lease_is_held (cell->lease);
	bool ours = held && dff_lease_epoch (cell->lease) == cell->epoch;
	if (cell->phase != DFF_CELL_STANDBY && !ours)
		step_down (cell);
	if (cell->phase == DFF_CELL_STANDBY && held && !cell->draining)
		dff_cell_recovery_begin (cell);
}

static bool
writes_outstanding (const struct dff_cell *cell)
{
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, cell->jobs);
	while (g_hash_table_iter_next (&iter, NULL, &value)) {
		const struct dff_cell_job *job = value;
		if (!g_queue_is_empty ((GQueue *)&job->writes))
			return true;
	}
	return false;
}

static void
drain_tick (struct dff_cell *cell)
{
	if (cell->phase == DFF_CELL_ACTIVE && writes_outstanding (cell)) {
		dff_cell_agenda_run (cell);
		return;
	}
	if (cell->phase != DFF_CELL_STANDBY)
		step_down (cell);
	if (!cell->released) {
		cell->released = true;
		dff_lease_release (cell->lease);
	}
}

static void
decide (struct dff_cell *cell)
{
	int64_t now_ms = dff_cell_now_ms (cell);
	/* A tick without an event or a due deadline is skipped: it is costly in a large region. */
	if (cell->events->len == 0 && now_ms < dff_core_next_wake_ms (cell->core))
		return;
	cell->decide_ms = now_ms;
	dff_cell_deliver_events (cell);
	dff_core_tick (cell->core, now_ms, cell->commands);
	dff_cell_execute (cell, cell->commands);
}

/* A process without the workers' addresses cannot query them for their tasks. If it took the lease,
 * it would stop everything that runs, as no worker would have reported a task to it. Until a
 * process has received the instance list, the cell has no holder; a holder could do nothing. */
static bool
may_take_lease (const struct dff_cell *cell)
{
	return cell->pool != NULL && cell->instances_known && !cell->draining;
}

void
dff_cell_tick (struct dff_cell *cell)
{
	dff_lease_set_candidate (cell->lease, may_take_lease (cell));
	dff_lease_tick (cell->lease);
	update_phase (cell);
	if (cell->draining) {
		drain_tick (cell);
		return;
	}
	if (cell->phase == DFF_CELL_SCANNING || cell->phase == DFF_CELL_QUERYING)
		dff_cell_recovery_tick (cell);
	if (cell->phase != DFF_CELL_ACTIVE || !dff_lease_is_held (cell->lease))
		return;
	dff_cell_feed_tick (cell);
	dff_cell_workers_tick (cell);
	dff_cell_batches_tick (cell);
	decide (cell);
	dff_cell_agenda_run (cell);
	dff_cell_retention_tick (cell);
	dff_cell_attempt_retention_tick (cell);
	dff_cell_core_metrics_tick (cell);
}

void
dff_cell_set_pool (struct dff_cell *cell, const struct dff_pool *pool)
{
	dff_pool_free (cell->pool);
	/* The pool is borrowed for this call, and each takeover creates a core that needs it. */
	cell->pool = dff_pool_copy (pool);
	if (cell->core != NULL)
		dff_core_set_pool (cell->core, cell->pool, dff_cell_now_ms (cell));
	/* The core does not know the workers that the new pool adds until they are reported. */
	if (cell->core != NULL)
		dff_cell_workers_report (cell, true);
}

void
dff_cell_set_rank (struct dff_cell *cell, int32_t rank)
{
	dff_lease_set_rank (cell->lease, rank);
}

void
dff_cell_handle_job_hint (struct dff_cell *cell, const struct dff_name *job)
{
	(void)job;
	cell->feed.hinted = true;
	if (!cell->feed.scanning)
		cell->feed.due_ms = 0;
}

bool
dff_cell_is_holder (const struct dff_cell *cell)
{
	return cell->phase == DFF_CELL_ACTIVE && dff_lease_is_held (cell->lease);
}

int64_t
dff_cell_epoch (const struct dff_cell *cell)
{
	return dff_lease_epoch (cell->lease);
}

void
dff_cell_drain (struct dff_cell *cell)
{
	cell->draining = true;
}

bool
dff_cell_is_drained (const struct dff_cell *cell)
{
	return cell->released && dff_lease_is_released (cell->lease);
}
