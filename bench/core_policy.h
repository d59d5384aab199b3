#ifndef DFF_BENCH_CORE_POLICY_H
#define DFF_BENCH_CORE_POLICY_H

#include "bench/policy.h"

/** Initialises @policy with the decision core. */
void dff_core_policy_init (struct dff_policy *policy, const struct dff_pool *pool, uint64_t seed);

#endif
