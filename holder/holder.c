#include "holder/holder_private.h"

/** Interval of the periodic step, ms: as the holder, it bounds the delay of a start; otherwise,
 * the delay of a takeover. */
#define TICK_HOLDING_MS 20
#define TICK_WATCHING_MS 100

/* Defaults. */
/** Long enough for a takeover after all processes lost power for a second or two, and for most
 * network outages; short enough that tasks of a lost worker are delayed by no more. */
#define LEASE_MS 7000
#define LEASE_MAX_MS 10000
/** Three missed heartbeats. */
#define SUSPECT_MS 900
#define GANG_WAIT_MS 3000
/** Time without a recorded transaction from which a probed holder releases the lease if asked to,
 * ms: longer than a lost answer and its repetition take. */
#define UNWRITABLE_MS 300
/** A shorter list is read whole in less than 0.1 s, so reading only its changes saves nothing. */
#define FEED_MIN_WORKERS 100
/** Below this number the holder calls all workers itself: that keeps its connections and processor
 * time far below the capacity of the smallest machine, and orders take one hop. */
#define RELAY_MIN_WORKERS 150
#define RETENTION_MS 150000
#define LOCALITY_WAIT_MS 4000
/** A gang on two racks takes three times the worker time: a later start costs less than that. */
#define RACK_WAIT_MS 15000

/** Memory of open jobs above which new ones are refused, bytes. */
#define OPEN_JOBS_MAX_BYTES ((size_t)48 << 20)

void
dff_holder_options_init (struct dff_holder_options *options)
{
	*options = (struct dff_holder_options){
		.lease_ms = LEASE_MS,
		.lease_max_ms = LEASE_MAX_MS,
		.suspect_ms = SUSPECT_MS,
		.gang_wait_ms = GANG_WAIT_MS,
		.feed_min_workers = FEED_MIN_WORKERS,
		.relay_min_workers = RELAY_MIN_WORKERS,
		.retention_ms = RETENTION_MS,
		.open_jobs_max_bytes = OPEN_JOBS_MAX_BYTES,
		.locality_wait_ms = LOCALITY_WAIT_MS,
		.rack_wait_ms = RACK_WAIT_MS,
	};
}

int64_t
holder_now_ms (const struct dff_holder *holder)
{
	return dff_clock_now_ms (holder->options.timers->clock);
}

gpointer
holder_call_begin (struct dff_holder *holder, gsize size)
{
	struct holder_call *call = g_malloc0 (size);
	call->holder = holder;
	call->term = holder->term;
	call->begun_ms = holder_now_ms (holder);
	return call;
}

struct dff_holder *
holder_call_end (const struct holder_call *call)
{
	return call->term == call->holder->term ? call->holder : NULL;
}

void
holder_names_set (GArray *array, const struct dff_name *names, size_t n_names)
{
	g_array_set_size (array, 0);
	if (n_names > 0)
		g_array_append_vals (array, names, (guint)n_names);
}

bool
holder_names_have (const GArray *array, const struct dff_name *name)
{
	for (guint i = 0; i < array->len; i++) {
		if (dff_name_equal (&g_array_index (array, struct dff_name, i), name))
			return true;
	}
	return false;
}

void
holder_wake (struct dff_holder *holder)
{
	dff_timer_start (holder->step_timer, 0);
}

static void
schedule_tick (struct dff_holder *holder)
{
	bool idle = holder->phase == DFF_HOLDER_WATCHING;
	dff_timer_start (holder->tick_timer, idle ? TICK_WATCHING_MS : TICK_HOLDING_MS);
}

static void
handle_step (void *ctx)
{
	struct dff_holder *holder = ctx;
	lease_step (holder);
	queries_step (holder);
	if (holder->phase < DFF_HOLDER_READING)
		return;
	lease_probe_former (holder);
	workers_step (holder);
	if (holder->phase == DFF_HOLDER_READING)
		recovery_step (holder);
	if (holder->phase == DFF_HOLDER_HOLDING) {
		speeds_step (holder);
		jobs_step (holder);
		inbox_step (holder);
		runs_step (holder);
		watch_step (holder);
		evacuation_count (holder);
		submissions_step (holder);
	}
	commit_step (holder);
}

static void
handle_tick (void *ctx)
{
	handle_step (ctx);
	schedule_tick (ctx);
}

static void
open_run_counters (struct dff_holder *holder)
{
	struct dff_metrics *metrics = holder->options.metrics;
	static const char *const end_names[DFF_RUN_GANG_TIMEOUT + 1] = {
		[DFF_RUN_COMPLETED] = "dff_holder_runs_ended_total{end=\"completed\"}",
		[DFF_RUN_FAILED] = "dff_holder_runs_ended_total{end=\"failed\"}",
		[DFF_RUN_STOPPED] = "dff_holder_runs_ended_total{end=\"stopped\"}",
		[DFF_RUN_LEASE_EXPIRED] = "dff_holder_runs_ended_total{end=\"lapsed\"}",
		[DFF_RUN_GANG_BROKEN] = "dff_holder_runs_ended_total{end=\"broken\"}",
		[DFF_RUN_GANG_TIMEOUT] = "dff_holder_runs_ended_total{end=\"alone\"}",
	};
	for (size_t i = 0; i < G_N_ELEMENTS (end_names); i++)
		holder->metrics.ends[i] = dff_metrics_counter (metrics, end_names[i],
							       "Runs whose end a worker listed.");
	holder->metrics.starts =
		dff_metrics_counter (metrics, "dff_holder_starts_total", "Starts sent to workers.");
	holder->metrics.starts_rejected = dff_metrics_counter (
		metrics, "dff_holder_starts_rejected_total", "Starts that a worker rejected.");
	holder->metrics.starts_withdrawn =
		dff_metrics_counter (metrics, "dff_holder_starts_withdrawn_total",
				     "Recorded starts withdrawn because of an evacuation.");
	holder->metrics.units_stopped = dff_metrics_counter (
		metrics, "dff_holder_units_stopped_total", "Units told to stop before their end.");
	holder->metrics.runs_lost = dff_metrics_counter (metrics, "dff_holder_runs_lost_total",
							 "Runs that ended with their worker.");
	holder->metrics.orphans = dff_metrics_counter (metrics, "dff_holder_strays_total",
						       "Runs that workers list and no record has.");
	holder->metrics.unlisted_runs =
		dff_metrics_counter (metrics, "dff_holder_runs_unlisted_total",
				     "Runs on record that their worker does not list.");
	holder->metrics.incomplete_reports =
		dff_metrics_counter (metrics, "dff_holder_reports_incomplete_total",
				     "Reports of workers that may leave out ended runs.");
}

static void
open_retry_counters (struct dff_holder *holder)
{
	struct dff_metrics *metrics = holder->options.metrics;
	static const char *const retry_names[DFF_RETRY_LOST + 1] = {
		[DFF_RETRY_WORKER] = "dff_holder_retries_total{cause=\"worker\"}",
		[DFF_RETRY_JOB] = "dff_holder_retries_total{cause=\"job\"}",
		[DFF_RETRY_LOST] = "dff_holder_retries_total{cause=\"lost\"}",
	};
	for (size_t i = DFF_RETRY_WORKER; i < G_N_ELEMENTS (retry_names); i++) {
		holder->metrics.retries[i] = dff_metrics_counter (
			metrics, retry_names[i],
			"Attempts with a failed or lost task that are followed by another.");
	}
	holder->metrics.kept_tasks = dff_metrics_counter (
		metrics, "dff_holder_kept_tasks_total",
		"Tasks of gangs that lost a member whose places were kept for the next attempt.");
	holder->metrics.kept_tasks_used =
		dff_metrics_counter (metrics, "dff_holder_kept_tasks_used_total",
				     "Tasks that were placed where a place was kept for them.");
}

static void
open_store_counters (struct dff_holder *holder)
{
	struct dff_metrics *metrics = holder->options.metrics;
	holder->metrics.takeovers = dff_metrics_counter (metrics, "dff_holder_takeovers_total",
							 "Times that this process took the cell.");
	holder->metrics.commits = dff_metrics_counter (metrics, "dff_holder_commits_total",
						       "Transactions of the holder.");
	holder->metrics.commit_unknown =
		dff_metrics_counter (metrics, "dff_holder_commits_unknown_total",
				     "Transactions of the holder without an answer.");
	holder->metrics.commit_conflicts =
		dff_metrics_counter (metrics, "dff_holder_commit_conflicts_total",
				     "Transactions that found the holder's row changed.");
	holder->metrics.submissions = dff_metrics_counter (
		metrics, "dff_holder_submissions_total",
		"Rows of callers to be written with the holder's own transactions.");
	holder->metrics.submissions_refused =
		dff_metrics_counter (metrics, "dff_holder_submissions_refused_total",
				     "Of these, jobs refused because too many are open.");
}

static void
open_worker_counters (struct dff_holder *holder)
{
	struct dff_metrics *metrics = holder->options.metrics;
	holder->metrics.lapsed_workers =
		dff_metrics_counter (metrics, "dff_holder_workers_lost_total",
				     "Workers whose runs were given up as over.");
	holder->metrics.stalled_workers = dff_metrics_counter (
		metrics, "dff_holder_workers_stalled_total", "Workers whose tasks stood still.");
	holder->metrics.restarted_workers =
		dff_metrics_counter (metrics, "dff_holder_restarted_workers_total",
				     "Workers that have started again under their ids.");
	holder->metrics.invalid_starts = dff_metrics_counter (
		metrics, "dff_holder_odd_births_total",
		"Starts of workers that were told and not taken: missing, unreadable, or earlier "
		"than one known.");
	holder->metrics.unreadable_entries =
		dff_metrics_counter (metrics, "dff_holder_unreadable_entries_total",
				     "Entries of the list of workers that were not understood.");
}

static void
open_speeds_counters (struct dff_holder *holder)
{
	struct dff_metrics *metrics = holder->options.metrics;
	holder->metrics.speeds_recorded = dff_metrics_counter (
		metrics, "dff_holder_speeds_recorded_total",
		"Times that the relative durations of the workers were recorded.");
	holder->metrics.speeds_taken_over =
		dff_metrics_counter (metrics, "dff_holder_speeds_taken_over_total",
				     "Workers whose relative duration was taken over from the "
				     "former holder.");
	holder->metrics.speeds_undecodable = dff_metrics_counter (
		metrics, "dff_holder_speeds_undecodable_total",
		"Recorded relative durations that could not be read at a takeover.");
	holder->metrics.speeds_refused = dff_metrics_counter (
		metrics, "dff_holder_speeds_refused_total",
		"Transactions that failed because of the relative durations in them.");
}

static void
open_job_counters (struct dff_holder *holder)
{
	struct dff_metrics *metrics = holder->options.metrics;
	holder->metrics.jobs_completed = dff_metrics_counter (
		metrics, "dff_holder_jobs_completed_total", "Jobs that completed.");
	holder->metrics.jobs_failed =
		dff_metrics_counter (metrics, "dff_holder_jobs_failed_total", "Jobs that failed.");
	holder->metrics.jobs_cancelled = dff_metrics_counter (
		metrics, "dff_holder_jobs_cancelled_total", "Jobs that were cancelled.");
	holder->metrics.queries_answered =
		dff_metrics_counter (metrics, "dff_holder_looks_answered_total",
				     "States told from memory, here or to other processes.");
}

static void
open_gauges (struct dff_holder *holder)
{
	struct dff_metrics *metrics = holder->options.metrics;
	holder->metrics.is_holding = dff_metrics_gauge (
		metrics, "dff_holder_is_holding", "1 while this process decides for the cell.");
	holder->metrics.open_jobs =
		dff_metrics_gauge (metrics, "dff_holder_open_jobs", "Jobs that are not over.");
	holder->metrics.open_runs = dff_metrics_gauge (metrics, "dff_holder_open_runs",
						       "Runs that are recorded and not over.");
	holder->metrics.evacuated_runs =
		dff_metrics_gauge (metrics, "dff_holder_evacuated_runs",
				   "Runs that are open in evacuated data centres.");
}

static void
open_histograms (struct dff_holder *holder)
{
	struct dff_metrics *metrics = holder->options.metrics;
	holder->metrics.commit_latency = dff_metrics_histogram (
		metrics, "dff_holder_commit_ms", "Time of the holder's transactions.");
	holder->metrics.job_wait = dff_metrics_histogram (
		metrics, "dff_holder_job_wait_ms", "Time from taking a job in to its first start.");
	holder->metrics.retry_delay = dff_metrics_histogram (
		metrics, "dff_holder_retry_delay_ms",
		"Time from the first failure or loss in an attempt to the placement of the next.");
}

static void
open_metrics (struct dff_holder *holder)
{
	open_run_counters (holder);
	open_retry_counters (holder);
	open_store_counters (holder);
	open_worker_counters (holder);
	open_speeds_counters (holder);
	open_job_counters (holder);
	open_gauges (holder);
	open_histograms (holder);
}

struct dff_holder *
dff_holder_new (const struct dff_holder_options *options)
{
	struct dff_holder *holder = g_new0 (struct dff_holder, 1);
	holder->options = *options;
	holder->teams = g_array_new (FALSE, FALSE, sizeof (struct dff_holder_team));
	holder->evacuated = g_array_new (FALSE, FALSE, sizeof (struct dff_name));
	holder->unenforced = g_array_new (FALSE, FALSE, sizeof (struct dff_name));
	holder->committed_jobs = g_ptr_array_new ();
	holder->waiting_recorded = g_string_new (NULL);
	holder->waiting_in_flight = g_string_new (NULL);
	holder->finished_names = g_hash_table_new (dff_name_hash, dff_name_equal_func);
	holder->seen_revision = -1;
	holder->ended_revision = -1;
	holder->active_revision = -1;
	open_metrics (holder);
	queries_open (holder);
	g_queue_init (&holder->submissions);
	holder->tick_timer = dff_timer_new (options->timers, handle_tick, holder);
	holder->step_timer = dff_timer_new (options->timers, handle_step, holder);
	schedule_tick (holder);
	return holder;
}

void
dff_holder_free (struct dff_holder *holder)
{
	submissions_drop_waiters (holder);
	if (holder->phase >= DFF_HOLDER_READING)
		lease_step_down (holder, "stopped");
	dff_timer_free (holder->tick_timer);
	dff_timer_free (holder->step_timer);
	queries_close (holder);
	g_hash_table_unref (holder->finished_names);
	g_array_unref (holder->teams);
	g_array_unref (holder->evacuated);
	g_array_unref (holder->unenforced);
	g_ptr_array_unref (holder->committed_jobs);
	g_string_free (holder->waiting_recorded, TRUE);
	g_string_free (holder->waiting_in_flight, TRUE);
	g_free (holder);
}

void
dff_holder_set_teams (struct dff_holder *holder,
		      const struct dff_holder_team *teams,
		      size_t n_teams)
{
	for (guint i = 0; i < holder->teams->len; i++)
		g_array_index (holder->teams, struct dff_holder_team, i).assured_accelerators = 0;
	for (size_t i = 0; i < n_teams; i++) {
		guint at = 0;
		while (at < holder->teams->len &&
		       !dff_name_equal (
			       &g_array_index (holder->teams, struct dff_holder_team, at).name,
			       &teams[i].name))
			at++;
		if (at == holder->teams->len)
			g_array_append_val (holder->teams, teams[i]);
		else
			g_array_index (holder->teams, struct dff_holder_team, at) = teams[i];
	}
	holder->pool_changed = true;
}

void
dff_holder_step_down (struct dff_holder *holder)
{
	holder->stepping_down = true;
	holder_wake (holder);
}

int64_t
dff_holder_store_latency_ms (const struct dff_holder *holder)
{
	return MAX (holder->commit_duration_ms, holder->read_duration_ms);
}

bool
dff_holder_is_holding (const struct dff_holder *holder)
{
	return holder->phase == DFF_HOLDER_HOLDING;
}

static bool
is_unwritable (const struct dff_holder *holder)
{
	const struct dff_holder_options *options = &holder->options;
	/* On a process that is short of processor time, large transactions are late while other
	 * calls are answered. */
	return holder->phase >= DFF_HOLDER_READING && holder->store_lost &&
	       holder_now_ms (holder) - holder->store_lost_ms >= UNWRITABLE_MS &&
	       options->store_served_ms (options->store_ctx) <= holder->lost_begun_ms;
}

enum dff_holder_probe_result
dff_holder_answer_probe (struct dff_holder *holder, const struct dff_holder_probe *question)
{
	if (question->release_if_unwritable && is_unwritable (holder))
		lease_step_down (holder, "store_lost");
	handover_answer (holder, question->asker_takeover_ms);
	if (!dff_name_is_empty (&question->new_holder))
		relays_note_holder (holder, &question->new_holder, question->epoch);
	return holder->phase == DFF_HOLDER_WATCHING ? DFF_HOLDER_PROBE_IDLE
						    : DFF_HOLDER_PROBE_ACTIVE;
}

bool
dff_holder_has_stepped_down (const struct dff_holder *holder)
{
	return holder->stepping_down && holder->phase == DFF_HOLDER_WATCHING;
}
