#include "entry/retry_budget.h"

#include <glib.h>

/** One retry, in hundredths. */
#define RETRY 100
/** What one success adds: one retry for ten successes. */
#define DEPOSIT 10
#define START (20 * RETRY)
#define MOST (200 * RETRY)

void
dff_retry_budget_init (struct dff_retry_budget *budget)
{
	budget->hundredths = START;
}

void
dff_retry_budget_deposit (struct dff_retry_budget *budget)
{
	budget->hundredths = MIN (MOST, budget->hundredths + DEPOSIT);
}

bool
dff_retry_budget_withdraw (struct dff_retry_budget *budget)
{
	if (budget->hundredths < RETRY)
		return false;
	budget->hundredths -= RETRY;
	return true;
}
