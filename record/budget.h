#ifndef DFF_RECORD_BUDGET_H
#define DFF_RECORD_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/* A token bucket: at most so many transactions in any second. */

struct dff_budget {
	int64_t tokens_milli;
	int64_t capacity_milli;
	/** Tokens a second, which is also thousandths of a token a millisecond. */
	int64_t refill_per_s;
	int64_t refilled_ms;
};

void dff_budget_init (struct dff_budget *budget, int32_t max_per_s, int64_t now_ms);

/** Changes the maximum; what was sent lately still counts. */
void dff_budget_set_max (struct dff_budget *budget, int32_t max_per_s);

/** Returns: whether one transaction may be sent now. */
bool dff_budget_is_available (struct dff_budget *budget, int64_t now_ms);

/** Like dff_budget_is_available(); the transaction counts as sent. */
bool dff_budget_take (struct dff_budget *budget, int64_t now_ms);

#endif
