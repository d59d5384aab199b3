#include "holder/holder_private.h"

/* Duration of a task on its worker, estimated from its progress there. It is reported to the core
 * once per run, and the core learns from it which workers are slow. Times are on the worker's
 * clock. */

/** Least progress and least time for a report, percent and ms: progress is in whole percents, and
 * late by the transit time of an answer. */
#define PERCENT_MIN 8
#define WORKED_MIN_MS 300
/** Least progress for an upper bound of a task's duration, percent: the bound is a third too high
 * then. */
#define PACE_PERCENT_MIN 4

void
duration_note_started (struct holder_run *run)
{
	/* The duration of a run that was inherited or that resumes from a checkpoint is measured
	 * from the first worker report that lists it. */
	bool from_start = !run->inherited && run->checkpoint == NULL;
	if (run->measured_from_clock_ms > 0 || (!from_start && run->percent < 0))
		return;
	run->measured_from_clock_ms = run->worker->clock_ms;
	run->measured_from_percent = MAX (run->percent, 0);
}

/* The members of a gang start working when the last of them has started. */
static int64_t
waited_ms (const struct holder_run *run)
{
	int64_t last_ms = run->open_ms;
	for (int32_t i = 0; i < run->unit->n_members; i++) {
		const struct holder_run *member = run->unit->runs[i];
		if (member != NULL)
			last_ms = MAX (last_ms, member->open_ms);
	}
	return last_ms - run->open_ms;
}

/* Outside the rack of its data a task takes longer on every worker. */
static bool
is_near_data (const struct holder_run *run)
{
	const struct dff_step *step = dff_plan_step (run->unit->job->plan, run->unit->unit.step);
	return dff_name_is_empty (&step->data_rack) ||
	       dff_name_equal (&step->data_rack, &run->worker->upstream.rack);
}

/* Peer group: the tasks of one step. For a gang it is the tasks of one run, because the next run
 * may be spread over racks and take longer as a whole. */
static uint64_t
peer_group_of (const struct holder_run *run)
{
	const struct holder_unit *unit = run->unit;
	uint32_t part = ((uint32_t)unit->unit.occurrence << 8U) ^ (uint32_t)unit->unit.step;
	if (unit->n_members > 1)
		part ^= (uint32_t)run->run << 24U;
	return ((uint64_t)dff_name_hash (&unit->job->id) << 32U) | part;
}

static void
report_duration (struct dff_holder *holder, struct holder_run *run, int32_t percent)
{
	if (run->duration_reported || run->measured_from_clock_ms == 0)
		return;
	int64_t worked_ms = run->worker->clock_ms - run->measured_from_clock_ms;
	if (run->measured_from_percent == 0)
		worked_ms -= waited_ms (run);
	int32_t done = percent - run->measured_from_percent;
	if (done < PERCENT_MIN || worked_ms < WORKED_MIN_MS)
		return;
	run->duration_reported = true;
	if (!is_near_data (run))
		return;
	struct dff_event event = {.type = DFF_EVENT_TASK_DURATION,
				  .worker = run->worker->upstream.incarnation.id,
				  .peer_group = peer_group_of (run),
				  .duration_ms = worked_ms * 100 / done};
	dff_core_handle_event (holder->core, &event, holder_now_ms (holder));
}

uint64_t
duration_peer_group (const struct holder_run *run)
{
	return peer_group_of (run);
}

/* Notes the time since the progress last changed. The time until the first percent, in which the
 * task starts or restores a checkpoint, shows nothing of its pace. */
static void
note_gap (struct holder_run *run)
{
	int64_t clock_ms = run->worker->clock_ms;
	if (run->pace_from_percent == 0) {
		run->pace_from_percent = run->percent;
		run->pace_from_clock_ms = clock_ms;
	} else {
		run->pace_gap_ms = MAX (run->pace_gap_ms, clock_ms - run->pace_clock_ms);
	}
	run->pace_clock_ms = clock_ms;
}

/* Both ends of the measured progress are rounded down to whole percents. The longest gap is left
 * out of the lower bound, so that one pause does not make a task look slow. */
static void
measure_pace (const struct holder_run *run, struct dff_event *event)
{
	int64_t worked_ms = run->pace_clock_ms - run->pace_from_clock_ms;
	int32_t done = run->percent - run->pace_from_percent;
	if (done < 1)
		return;
	event->least_duration_ms = (worked_ms - run->pace_gap_ms) * 100 / (done + 1);
	if (done >= PACE_PERCENT_MIN)
		event->duration_ms = worked_ms * 100 / (done - 1);
}

/* Bounds the duration by the time since the start, too: a short task may do much of its work
 * before the first report. */
static void
bound_by_start (const struct holder_run *run, struct dff_event *event)
{
	if (run->measured_from_percent > 0 || run->percent < PERCENT_MIN)
		return;
	int64_t worked_ms = run->worker->clock_ms - run->measured_from_clock_ms - waited_ms (run);
	int64_t duration_ms = worked_ms * 100 / run->percent;
	if (duration_ms > 0 && (event->duration_ms == 0 || duration_ms < event->duration_ms))
		event->duration_ms = duration_ms;
}

void
duration_note_percent (struct dff_holder *holder, struct holder_run *run)
{
	struct dff_event event = {.type = DFF_EVENT_TASK_PACE,
				  .job = run->unit->name,
				  .attempt = run->attempt,
				  .member = run->member,
				  .percent = run->percent,
				  .peer_group = peer_group_of (run)};
	if (run->percent > 0) {
		note_gap (run);
		measure_pace (run, &event);
		bound_by_start (run, &event);
	}
	dff_core_handle_event (holder->core, &event, holder_now_ms (holder));
}

void
duration_note_progress (struct dff_holder *holder, struct holder_run *run)
{
	/* A completed member waits for the others. */
	if (run->percent < 100)
		report_duration (holder, run, run->percent);
}

void
duration_note_completed (struct dff_holder *holder, struct holder_run *run)
{
	if (run->unit->n_members == 1)
		report_duration (holder, run, 100);
}
