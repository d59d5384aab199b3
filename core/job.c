#include "core/job.h"

#include <glib.h>

static const char *const outcome_names[] = {
	[DFF_OUTCOME_NONE] = "none",       [DFF_OUTCOME_COMPLETED] = "completed",
	[DFF_OUTCOME_FAILED] = "failed",   [DFF_OUTCOME_CANCELLED] = "cancelled",
	[DFF_OUTCOME_NOT_RUN] = "not_run", [DFF_OUTCOME_UNKNOWN] = "unknown",
};

const char *
dff_outcome_name (enum dff_outcome outcome)
{
	g_assert ((size_t)outcome < G_N_ELEMENTS (outcome_names));
	return outcome_names[outcome];
}

bool
dff_outcome_parse (struct dff_str text, enum dff_outcome *outcome)
{
	*outcome = DFF_OUTCOME_NONE;
	for (size_t i = 0; i < G_N_ELEMENTS (outcome_names); i++) {
		if (!dff_str_equal (text, dff_str_from (outcome_names[i])))
			continue;
		*outcome = (enum dff_outcome)i;
		return true;
	}
	return false;
}
