#ifndef DFF_TESTS_CELL_PROMISES_H
#define DFF_TESTS_CELL_PROMISES_H

#include "tests/cell/cell_harness.h"

/* Advances the virtual clock step by step and checks the invariants after each step. */

/* A start may be sent only when its intent is on record. */
static inline void
harness_check_start (void *ctx, const struct dff_task_id *task)
{
	struct harness *harness = ctx;
	for (int i = 0; i < harness->n_jobs; i++) {
		const struct dff_job_row *row = harness_row (harness, i);
		if (dff_name_equal (&row->spec.id, &task->job) && row->attempt < task->attempt)
			fail_msg ("job %d: attempt %d is sent but not on record", i, task->attempt);
	}
}

static inline int
harness_holder (const struct harness *harness)
{
	int holder = -1;
	for (int i = 0; i < HARNESS_PROCESSES; i++) {
		const struct harness_process *process = &harness->processes[i];
		if (!process->alive || !dff_cell_is_holder (process->cell))
			continue;
		if (holder >= 0)
			fail_msg ("two holders: %d and %d", holder, i);
		holder = i;
	}
	return holder;
}

static inline void
harness_renew (struct fake_worker *worker, int64_t until_ms)
{
	for (guint i = 0; i < worker->tasks->len; i++)
		g_array_index (worker->tasks, struct fake_task, i).lease_until_ms = until_ms;
}

/** A watcher renews the leases at each worker and reports to the cells. */
static inline void
harness_watch (struct harness *harness)
{
	int64_t now_ms = harness->clock.now_ms;
	if (now_ms < harness->next_watch_ms)
		return;
	harness->next_watch_ms = now_ms + 500;
	for (int i = 0; i < HARNESS_WORKERS; i++) {
		struct fake_worker *worker = &harness->fleet.workers[i];
		bool reachable = !worker->down && (harness->unwatched >> i & 1) == 0;
		if (reachable)
			harness_renew (worker, now_ms + 10000);
		reachable = reachable && (harness->reported_silent >> i & 1) == 0;
		if (reachable)
			harness->renewed_ms[i] = now_ms;
		g_autoptr (GArray) reports =
			g_array_new (FALSE, TRUE, sizeof (struct dff_task_report));
		for (guint j = 0; reachable && j < worker->tasks->len; j++)
			g_array_append_val (
				reports, g_array_index (worker->tasks, struct fake_task, j).report);
		const struct dff_worker_report worker_report = {
			.worker = worker->name,
			.reachable = reachable,
			.leaving = worker->leaving,
			.silent_ms = now_ms - harness->renewed_ms[i],
			.reports = (const struct dff_task_report *)(void *)reports->data,
			.n_reports = reports->len,
			.complete = reachable,
		};
		for (int j = 0; j < HARNESS_PROCESSES; j++) {
			const struct harness_process *process = &harness->processes[j];
			bool lost = fake_chance (&harness->fleet, harness->report_loss_permille);
			if (process->alive && !process->paused && !lost)
				dff_cell_handle_worker_report (process->cell, &worker_report);
		}
	}
}

/* A member may run only once every member of its attempt was held. */
static inline void
harness_check_gang (const struct harness *harness, const struct fake_task *task, int gang)
{
	for (int member = 0; member < gang; member++) {
		struct dff_task_id other = task->report.task;
		other.member = member;
		if (fake_count (harness->fleet.held, &other) == 0)
			fail_msg ("job %s attempt %d: member %d runs, member %d was never held",
				  other.job.data, other.attempt, task->report.task.member, member);
	}
}

static inline void
harness_check_job (struct harness *harness, int index)
{
	const struct dff_job_row *row = harness_row (harness, index);
	int gang = row->spec.gang;
	for (int member = 0; member < gang; member++) {
		const struct dff_task_id last = {row->spec.id, row->attempt, member};
		int times = harness_member_runs (harness, index, member, row->attempt);
		if (row->outcome == DFF_OUTCOME_NOT_RUN && times > 0)
			fail_msg ("job %d is reported as not_run, but ran", index);
		if (row->outcome == DFF_OUTCOME_COMPLETED &&
		    fake_count (harness->fleet.runs, &last) == 0)
			fail_msg ("job %d is reported as completed, but member %d never ran", index,
				  member);
		if (!row->spec.idempotent && times > 1)
			fail_msg ("job %d, not idempotent: member %d ran %d times", index, member,
				  times);
	}
	for (int i = 0; i < HARNESS_WORKERS; i++) {
		const GArray *tasks = harness->fleet.workers[i].tasks;
		for (guint j = 0; j < tasks->len; j++) {
			const struct fake_task *task = &g_array_index (tasks, struct fake_task, j);
			if (task->report.ran &&
			    dff_name_equal (&task->report.task.job, &row->spec.id))
				harness_check_gang (harness, task, gang);
		}
	}
}

static inline void
harness_check (struct harness *harness)
{
	int holder = harness_holder (harness);
	int64_t revision = dff_memory_revision (harness->memory);
	if (harness->fleet.n_records == harness->checked_records &&
	    revision == harness->checked_revision)
		return;
	harness->checked_records = harness->fleet.n_records;
	harness->checked_revision = revision;
	for (int i = 0; i < harness->n_jobs; i++)
		harness_check_job (harness, i);
	if (holder < 0)
		return;
	g_autofree char *broken = dff_core_check (harness->processes[holder].cell->core);
	if (broken != NULL)
		fail_msg ("core: %s", broken);
}

static inline void
harness_step (struct harness *harness)
{
	harness->clock.now_ms += HARNESS_STEP_MS;
	dff_memory_tick (harness->memory);
	fake_fleet_tick (&harness->fleet);
	harness_watch (harness);
	for (int i = 0; i < HARNESS_PROCESSES; i++) {
		struct harness_process *process = &harness->processes[i];
		if (!process->alive || process->paused)
			continue;
		dff_recorder_tick (process->recorder);
		dff_cell_tick (process->cell);
	}
	harness_check (harness);
}

static inline void
harness_run (struct harness *harness, int64_t duration_ms)
{
	int64_t until_ms = harness->clock.now_ms + duration_ms;
	while (harness->clock.now_ms < until_ms)
		harness_step (harness);
}

/** Runs until job @index has ended. Returns: its outcome; NONE if it does not end in time. */
static inline enum dff_outcome
harness_run_job (struct harness *harness, int index, int64_t limit_ms)
{
	int64_t until_ms = harness->clock.now_ms + limit_ms;
	while (harness->clock.now_ms < until_ms) {
		harness_step (harness);
		if (harness_outcome (harness, index) != DFF_OUTCOME_NONE)
			break;
	}
	return harness_outcome (harness, index);
}

/** Runs until a process is the holder. Returns: the time taken, ms. */
static inline int64_t
harness_run_holder (struct harness *harness, int64_t limit_ms)
{
	int64_t begin_ms = harness->clock.now_ms;
	while (harness_holder (harness) < 0 && harness->clock.now_ms < begin_ms + limit_ms)
		harness_step (harness);
	return harness->clock.now_ms - begin_ms;
}

#endif
