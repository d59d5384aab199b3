#include "core/restart.h"

#include <glib.h>

/** Standstill that a busy worker may show although its tasks progress, ms: an answer may be some
 * hundred milliseconds late. */
#define STANDING_MIN_MS 600
/** Number of percents that a task must have been able to complete in a standstill: progress is
 * reported in whole percents, so that the first may not show yet. */
#define STANDING_PERCENTS 2
/** Excess of the duration elsewhere, as a divisor of it, up to which a restart must still gain
 * time: tasks of one step differ by about a quarter. */
#define GAIN_MARGIN_DIVISOR 4

static const char *const reason_names[DFF_RESTART_N_REASONS] = {
	[DFF_RESTART_SLOW] = "slow",
	[DFF_RESTART_STANDING] = "standing",
	[DFF_RESTART_KEPT_BULK] = "bulk",
	[DFF_RESTART_KEPT_RESTARTED] = "restarted_before",
	[DFF_RESTART_KEPT_FAILED] = "failed_before",
	[DFF_RESTART_KEPT_UNKNOWN] = "unknown",
	[DFF_RESTART_KEPT_IN_TIME] = "in_time",
	[DFF_RESTART_KEPT_UNPROVEN] = "unproven",
	[DFF_RESTART_KEPT_TOLERATED] = "tolerated",
	[DFF_RESTART_KEPT_NO_CAPACITY] = "no_capacity",
	[DFF_RESTART_KEPT_LATE_ELSEWHERE] = "late_elsewhere",
	[DFF_RESTART_KEPT_NO_GAIN] = "no_gain",
};

const char *
dff_restart_reason_name (enum dff_restart_reason reason)
{
	return reason_names[reason];
}

bool
dff_restart_is_restart (enum dff_restart_reason reason)
{
	return reason == DFF_RESTART_SLOW || reason == DFF_RESTART_STANDING;
}

int64_t
dff_restart_least_standstill_ms (int64_t typical_ms, bool since_start)
{
	return STANDING_MIN_MS + STANDING_PERCENTS * typical_ms / 100 +
	       (since_start ? DFF_RESTART_START_MS : 0);
}

/* Returns: time until the unit has ended elsewhere, if it is stopped now. */
static int64_t
restart_ms (const struct dff_restart_input *input, int64_t elsewhere_ms)
{
	int64_t left_ms = elsewhere_ms * (100 - input->kept_percent) / 100;
	int64_t restore_ms = input->kept_percent > 0 ? input->restore_ms : 0;
	return DFF_RESTART_STOP_MS + DFF_RESTART_START_MS + restore_ms + left_ms;
}

/* Returns: why the unit is not considered at all; DFF_RESTART_SLOW: it is. */
static enum dff_restart_reason
excluded (const struct dff_restart_input *input)
{
	if (input->objective == NULL || input->objective->stretch <= 0.0 ||
	    input->priority > DFF_RESTART_LAST_PRIORITY)
		return DFF_RESTART_KEPT_BULK;
	if (input->failed)
		return DFF_RESTART_KEPT_FAILED;
	if (input->restarted)
		return DFF_RESTART_KEPT_RESTARTED;
	return DFF_RESTART_SLOW;
}

bool
dff_restart_is_allowed (const struct dff_restart_input *input)
{
	return excluded (input) == DFF_RESTART_SLOW;
}

/* A unit that stands still is given until the report after which a restart would be too late. */
static enum dff_restart_reason
decide_standing (const struct dff_restart_input *input, const struct dff_restart_decision *decision)
{
	int64_t slack_ms = decision->objective_ms - decision->restarted_end_ms;
	if (input->standing_ms <
	    dff_restart_least_standstill_ms (input->typical_ms, input->standing_since_start))
		return DFF_RESTART_KEPT_UNPROVEN;
	if (slack_ms >= input->next_report_ms)
		return DFF_RESTART_KEPT_TOLERATED;
	if (input->elsewhere_ms <= 0)
		return DFF_RESTART_KEPT_NO_CAPACITY;
	return slack_ms >= 0 ? DFF_RESTART_STANDING : DFF_RESTART_KEPT_LATE_ELSEWHERE;
}

static enum dff_restart_reason
decide_slow (const struct dff_restart_input *input, const struct dff_restart_decision *decision)
{
	if (decision->kept_end_ms <= decision->objective_ms)
		return DFF_RESTART_KEPT_IN_TIME;
	if (input->elsewhere_ms <= 0)
		return DFF_RESTART_KEPT_NO_CAPACITY;
	if (decision->restarted_end_ms > decision->objective_ms)
		return DFF_RESTART_KEPT_LATE_ELSEWHERE;
	int64_t longest_ms = input->elsewhere_ms + input->elsewhere_ms / GAIN_MARGIN_DIVISOR;
	return restart_ms (input, longest_ms) < input->remaining_ms ? DFF_RESTART_SLOW
								    : DFF_RESTART_KEPT_NO_GAIN;
}

struct dff_restart_decision
dff_restart_decide (const struct dff_restart_input *input)
{
	struct dff_restart_decision decision = {.reason = excluded (input)};
	if (decision.reason == DFF_RESTART_SLOW && input->typical_ms <= 0)
		decision.reason = DFF_RESTART_KEPT_UNKNOWN;
	if (decision.reason != DFF_RESTART_SLOW)
		return decision;
	const struct dff_objective *objective = input->objective;
	double ratio = (double)input->typical_ms / (double)MAX (input->declared_ms, 1);
	int64_t after_ms = (int64_t)(ratio * (double)(objective->tail_ms - input->declared_ms));
	int64_t from_ms = objective->age_ms + MAX (after_ms, 0);
	int64_t elsewhere_ms = input->elsewhere_ms > 0 ? input->elsewhere_ms : input->typical_ms;
	decision.objective_ms = dff_objective_limit_ms (objective, ratio);
	decision.kept_end_ms = from_ms + input->remaining_ms;
	decision.restarted_end_ms = from_ms + restart_ms (input, elsewhere_ms);
	decision.reason = input->standing_ms > 0 ? decide_standing (input, &decision)
						 : decide_slow (input, &decision);
	return decision;
}
