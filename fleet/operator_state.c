#include "fleet/operator_state.h"

#include <glib.h>
#include <inttypes.h>

#include "common/log.h"
#include "fleet/evacuations.h"
#include "holder/tables.h"
#include "platform/decode.h"
#include "rows/subscription.h"

/** Time for which the store may delay its answer to a poll, ms: WAIT_MS for the holder; from
 * WAIT_MS to WAIT_MAX_MS for other processes. */
#define WAIT_MS 500
#define WAIT_MAX_MS 2000
/** Divisor of the time within which operators rely on a change, giving the wait of other processes.
 * The state that a process knows is up to two waits old. */
#define WAIT_DIVISOR 4
/** Time beyond the wait after which the store counts as not answering, ms. */
#define TIMEOUT_MARGIN_MS 1000
/** Age of the state beyond two waits, ms. From STALE_MS on the state is stale and must not be used:
 * a credential may have been revoked or a class removed. From FRESH_MS on the process is not ready.
 */
#define STALE_MS 2000
#define FRESH_MS 1500

struct dff_operator_state {
	struct dff_operator_state_options options;
	struct dff_subscription *subscription;
	struct dff_evacuations *evacuations;
	/** (nullable) */
	struct dff_fleet_config *config;
	int64_t *version;
};

/* Idle processes make most of the calls to the store, so they poll as rarely as the bound allows.
 */
static int32_t
wait_ms (const struct dff_operator_state *state)
{
	return CLAMP (state->options.bound_ms / WAIT_DIVISOR, WAIT_MS, WAIT_MAX_MS);
}

/* Ignores a configuration that is not newer than the present one: a delayed answer may still carry
 * an older version. */
static void
apply_config (struct dff_operator_state *state, const struct dff_row *row)
{
	DFF_AUTO (dff_fleet_config) config = dff_platform_read_config (row->value);
	if (config == NULL) {
		dff_log (DFF_LOG_POOL, DFF_LOG_ERROR,
			 "Cannot decode the configuration row. revision=%" PRId64, row->revision);
		return;
	}
	int64_t before = state->config != NULL ? state->config->version : 0;
	if (config->version <= before)
		return;
	dff_log (DFF_LOG_POOL, DFF_LOG_INFO,
		 "Configuration in force. version=%" PRId64 " before=%" PRId64 " revision=%" PRId64
		 " classes=%u teams=%u",
		 config->version, before, row->revision, config->classes->len, config->teams->len);
	g_clear_pointer (&state->config, dff_fleet_config_free);
	state->config = g_steal_pointer (&config);
	*state->version = state->config->version;
	state->options.config_changed (state->options.ctx, state->config);
}

static void
handle_row (void *ctx, const struct dff_row *row)
{
	struct dff_operator_state *state = ctx;
	struct dff_name data_centre;
	switch (dff_platform_read_evacuation (row, &data_centre)) {
	case DFF_PLATFORM_REQUEST_EVACUATION:
		dff_evacuations_note (state->evacuations, &data_centre, !row->removed,
				      row->revision, dff_subscription_age_ms (state->subscription));
		return;
	case DFF_PLATFORM_REQUEST_UNREADABLE:
		if (!row->removed)
			dff_evacuations_note_unreadable (state->evacuations, row->key,
							 row->revision);
		return;
	case DFF_PLATFORM_REQUEST_OTHER:
		if (!row->removed && dff_str_equal (row->key, dff_str_from (DFF_KEY_CONFIG)))
			apply_config (state, row);
		return;
	}
}

static void
handle_snapshot_begin (void *ctx)
{
	const struct dff_operator_state *state = ctx;
	dff_evacuations_begin_snapshot (state->evacuations);
}

static void
handle_snapshot_end (void *ctx)
{
	const struct dff_operator_state *state = ctx;
	dff_evacuations_end_snapshot (state->evacuations);
}

const struct dff_fleet_config *
dff_operator_state_config (const struct dff_operator_state *state)
{
	int64_t stale_ms = 2 * wait_ms (state) + STALE_MS;
	return dff_operator_state_age_ms (state) <= stale_ms ? state->config : NULL;
}

bool
dff_operator_state_is_fresh (const struct dff_operator_state *state)
{
	int64_t fresh_ms = 2 * wait_ms (state) + FRESH_MS;
	return state->config != NULL && dff_operator_state_age_ms (state) <= fresh_ms;
}

int64_t
dff_operator_state_age_ms (const struct dff_operator_state *state)
{
	return dff_subscription_age_ms (state->subscription);
}

int64_t
dff_operator_state_evacuations_age_ms (const struct dff_operator_state *state)
{
	return dff_subscription_is_ready (state->subscription) ? dff_operator_state_age_ms (state)
							       : INT64_MAX;
}

void
dff_operator_state_wake (struct dff_operator_state *state)
{
	dff_subscription_wake (state->subscription);
}

void
dff_operator_state_set_holding (struct dff_operator_state *state, bool holding)
{
	dff_subscription_set_wait (state->subscription, holding ? WAIT_MS : wait_ms (state));
}

struct dff_operator_state *
dff_operator_state_new (const struct dff_operator_state_options *options)
{
	struct dff_operator_state *state = g_new0 (struct dff_operator_state, 1);
	state->options = *options;
	state->version = dff_metrics_gauge (options->metrics, "dff_fleet_config_version",
					    "Version of the configuration in force.");
	struct dff_evacuations_options evacuations = {.metrics = options->metrics,
						      .changed = options->evacuations_changed,
						      .ctx = options->ctx};
	state->evacuations = dff_evacuations_new (&evacuations);
	struct dff_subscription_options subscription = {
		.timers = options->timers,
		.rows = options->rows,
		.table = DFF_TABLE_CONFIG,
		.wait_ms = WAIT_MS,
		.timeout_margin_ms = TIMEOUT_MARGIN_MS,
		.sink = {.row = handle_row,
			 .begin_snapshot = handle_snapshot_begin,
			 .end_snapshot = handle_snapshot_end,
			 .ctx = state},
	};
	state->subscription = dff_subscription_new (&subscription);
	return state;
}

void
dff_operator_state_free (struct dff_operator_state *state)
{
	dff_subscription_free (state->subscription);
	dff_evacuations_free (state->evacuations);
	g_clear_pointer (&state->config, dff_fleet_config_free);
	g_free (state);
}
