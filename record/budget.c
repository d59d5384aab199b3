#include "record/budget.h"

#include <glib.h>

#define MILLI 1000
/** The burst is the limit per second divided by this. */
#define BURST_DIVISOR 10

/* Burst and refill of one second add up to the limit, so that no second exceeds it. */
void
dff_budget_set_max (struct dff_budget *budget, int32_t max_per_s)
{
	int64_t burst = MAX (1, max_per_s / BURST_DIVISOR);
	budget->capacity_milli = burst * MILLI;
	budget->tokens_milli = MIN (budget->tokens_milli, budget->capacity_milli);
	budget->refill_per_s = MAX (1, max_per_s - burst);
}

void
dff_budget_init (struct dff_budget *budget, int32_t max_per_s, int64_t now_ms)
{
	budget->tokens_milli = INT64_MAX;
	budget->refilled_ms = now_ms;
	dff_budget_set_max (budget, max_per_s);
}

bool
dff_budget_is_available (struct dff_budget *budget, int64_t now_ms)
{
	int64_t refill = (now_ms - budget->refilled_ms) * budget->refill_per_s;
	budget->tokens_milli = MIN (budget->capacity_milli, budget->tokens_milli + refill);
	budget->refilled_ms = now_ms;
	return budget->tokens_milli >= MILLI;
}

bool
dff_budget_take (struct dff_budget *budget, int64_t now_ms)
{
	if (!dff_budget_is_available (budget, now_ms))
		return false;
	budget->tokens_milli -= MILLI;
	return true;
}
