#include "bench/core_policy.h"

#include "core/core.h"

static bool
core_admit (void *ctx, const struct dff_job_spec *spec)
{
	return dff_core_admit (ctx, spec).admitted;
}

static void
core_handle_event (void *ctx, const struct dff_event *event, int64_t now_ms)
{
	dff_core_handle_event (ctx, event, now_ms);
}

static void
core_tick (void *ctx, int64_t now_ms, GArray *commands)
{
	dff_core_tick (ctx, now_ms, commands);
}

static int64_t
core_next_wake_ms (void *ctx)
{
	return dff_core_next_wake_ms (ctx);
}

static char *
core_check (void *ctx)
{
	return dff_core_check (ctx);
}

static void
core_free (void *ctx)
{
	dff_core_free (ctx);
}

void
dff_core_policy_init (struct dff_policy *policy, const struct dff_pool *pool, uint64_t seed)
{
	struct dff_core_options options;
	dff_core_options_init (&options);
	options.seed = seed;
	struct dff_core *core = dff_core_new (&options);
	dff_core_set_pool (core, pool, 0);
	*policy = (struct dff_policy){
		.admit = core_admit,
		.handle_event = core_handle_event,
		.tick = core_tick,
		.next_wake_ms = core_next_wake_ms,
		.check = core_check,
		.free = core_free,
		.ctx = core,
	};
}
