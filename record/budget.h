#ifndef DFF_RECORD_BUDGET_H
#define DFF_RECORD_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/* A token bucket that limits the number of transactions in any second. */

struct dff_budget {
	int64_t tokens_milli;
	int64_t capacity_milli;
	/** Tokens per second, which equals thousandths of a token per millisecond. */
	int64_t refill_per_s;
	int64_t refilled_ms;
};

void dff_budget_init (struct dff_budget *budget, int32_t max_per_s, int64_t now_ms);

/** Changes the limit. Transactions already sent still count against it. */
void dff_budget_set_max (struct dff_budget *budget, int32_t max_per_s);

/** Returns: whether one transaction may be sent now. */
bool dff_budget_is_available (struct dff_budget *budget, int64_t now_ms);

/** As dff_budget_is_available(), and takes the token if there is one. */
bool dff_budget_take (struct dff_budget *budget, int64_t now_ms);

#endif
