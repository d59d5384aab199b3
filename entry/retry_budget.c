#include "entry/retry_budget.h"

#include <glib.h>

/** Cost of one retry, in hundredths. */
#define RETRY_COST 100
/** Deposit of one success, in hundredths: ten successes pay for one retry. */
#define DEPOSIT 10
#define INITIAL_BALANCE (20 * RETRY_COST)
#define MAX_BALANCE (200 * RETRY_COST)

void
dff_retry_budget_init (struct dff_retry_budget *budget)
{
	budget->hundredths = INITIAL_BALANCE;
}

void
dff_retry_budget_deposit (struct dff_retry_budget *budget)
{
	budget->hundredths = MIN (MAX_BALANCE, budget->hundredths + DEPOSIT);
}

bool
dff_retry_budget_withdraw (struct dff_retry_budget *budget)
{
	if (budget->hundredths < RETRY_COST)
		return false;
	budget->hundredths -= RETRY_COST;
	return true;
}
