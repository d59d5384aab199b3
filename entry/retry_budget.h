#ifndef DFF_ENTRY_RETRY_BUDGET_H
#define DFF_ENTRY_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/* Limits retries to a share of recent successes, so that failing workers do not get more requests
 * than healthy ones. */

struct dff_retry_budget {
	/** Balance in hundredths of a retry. */
	int32_t hundredths;
};

/** Sets an initial balance, so that a process can retry before its first successes. */
void dff_retry_budget_init (struct dff_retry_budget *budget);

/** Handles a successful request. */
void dff_retry_budget_deposit (struct dff_retry_budget *budget);

/** Withdraws one retry. Returns: false when the balance is too low. */
bool dff_retry_budget_withdraw (struct dff_retry_budget *budget);

#endif
