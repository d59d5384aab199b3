#ifndef DFF_BENCH_POLICY_H
#define DFF_BENCH_POLICY_H

#include <glib.h>
#include <stdbool.h>

#include "core/core.h"

/* Interface of a policy in the replay: the functions of the decision core as callbacks. */

struct dff_policy {
	bool (*admit) (void *ctx, const struct dff_job_spec *spec);
	void (*handle_event) (void *ctx, const struct dff_event *event, int64_t now_ms);
	/** Empties @commands (struct dff_command), then fills it. */
	void (*tick) (void *ctx, int64_t now_ms, GArray *commands);
	int64_t (*next_wake_ms) (void *ctx);
	/** (nullable): describes the first violated invariant; to be freed with g_free(). */
	char *(*check) (void *ctx);
	void (*free) (void *ctx);
	void *ctx;
};

/**
 * dff_policy_init:
 * @name: "fifo", "backfill" or "dragonflyfold"
 *
 * Returns: false when no policy is called @name. Free with policy->free (policy->ctx).
 */
bool dff_policy_init (struct dff_policy *policy,
		      const char *name,
		      const struct dff_pool *pool,
		      uint64_t seed);

#endif
