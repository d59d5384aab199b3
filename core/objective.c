#include "core/objective.h"

#include <glib.h>
#include <math.h>

static const char *const prospect_names[] = {
	[DFF_PROSPECT_IN_TIME] = "in_time",
	[DFF_PROSPECT_LATE] = "late",
	[DFF_PROSPECT_MISSED] = "missed",
	[DFF_PROSPECT_NONE] = "none",
};

const char *
dff_prospect_name (enum dff_prospect prospect)
{
	return prospect_names[prospect];
}

int64_t
dff_objective_limit_ms (const struct dff_objective *objective, double ratio)
{
	double chain_ms = ratio * (double)objective->chain_ms;
	return (int64_t)(objective->stretch * chain_ms) + objective->target_ms;
}

struct dff_objective_assessment
dff_objective_assess (const struct dff_objective *objective, double ratio)
{
	if (objective->stretch <= 0.0)
		return (struct dff_objective_assessment){.prospect = DFF_PROSPECT_NONE};
	int64_t limit_ms = dff_objective_limit_ms (objective, ratio);
	int64_t end_ms = objective->age_ms + (int64_t)(ratio * (double)objective->tail_ms);
	if (end_ms <= limit_ms)
		return (struct dff_objective_assessment){DFF_PROSPECT_IN_TIME, limit_ms - end_ms};
	int64_t late_ms = DFF_OBJECTIVE_LATE_FACTOR * limit_ms;
	return (struct dff_objective_assessment){
		.prospect = end_ms <= late_ms ? DFF_PROSPECT_LATE : DFF_PROSPECT_MISSED,
		.slack_ms = late_ms - end_ms,
	};
}

/* A duration of ratio r keeps the objective if age + r tail <= factor (r stretch chain + target):
 * from some r on, because longer work is given more time. */
double
dff_objective_chance (const struct dff_objective *objective,
		      double ratio,
		      double deviation,
		      double factor)
{
	double over_ms = (double)objective->age_ms - factor * (double)objective->target_ms;
	double spare_ms = factor * objective->stretch * (double)objective->chain_ms -
			  (double)objective->tail_ms;
	if (over_ms <= 0.0 && spare_ms >= 0.0)
		return 1.0;
	if (spare_ms <= 0.0 || ratio <= 0.0 || deviation <= 0.0)
		return over_ms <= ratio * spare_ms ? 1.0 : 0.0;
	double z = log (over_ms / (spare_ms * ratio)) / deviation;
	return 0.5 * erfc (z / G_SQRT2);
}
