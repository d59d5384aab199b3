#ifndef DFF_ENTRY_RETRY_BUDGET_H
#define DFF_ENTRY_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/* Retries as a share of recent successes, so that a failing fleet is not asked more than a healthy
 * one. */

struct dff_retry_budget {
	/** Retries left, in hundredths. */
	int32_t hundredths;
};

/** Starts with a few retries, so that a process without history can make some. */
void dff_retry_budget_init (struct dff_retry_budget *budget);

/** A request was answered. */
void dff_retry_budget_deposit (struct dff_retry_budget *budget);

/** Takes one retry. Returns: false when there is none left. */
bool dff_retry_budget_withdraw (struct dff_retry_budget *budget);

#endif
