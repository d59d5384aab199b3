#include <string.h>

#include "bench/baseline.h"
#include "bench/core_policy.h"
#include "bench/policy.h"

bool
dff_policy_init (struct dff_policy *policy,
		 const char *name,
		 const struct dff_pool *pool,
		 uint64_t seed)
{
	if (strcmp (name, "fifo") == 0)
		dff_baseline_init (policy, pool, dff_fifo_schedule);
	else if (strcmp (name, "backfill") == 0)
		dff_baseline_init (policy, pool, dff_backfill_schedule);
	else if (strcmp (name, "dragonflyfold") == 0)
		dff_core_policy_init (policy, pool, seed);
	else
		return false;
	return true;
}
