#include "fleet/operator_state.h"

#include <glib.h>
#include <inttypes.h>

#include "common/log.h"
#include "fleet/evacuations.h"
#include "holder/tables.h"
#include "platform/decode.h"
#include "rows/subscription.h"

/** How long the store holds an answer back, ms: by the process that decides, and by others at the
 * least and at the most. */
#define WAIT_MS 500
#define WAIT_MAX_MS 2000
/** The others' part of the time within which operators count on a change: what is known is up to
 * two waits old. */
#define WAIT_PART 4
/** Time beyond the wait after which the path counts as silent, ms. */
#define PATIENCE_MS 1000
/** Age, beyond two waits, from which on nothing is decided by what is known, ms: a credential may
 * have been revoked, a class dropped; and from which on it is not fresh. */
#define STALE_MS 2000
#define FRESH_MS 1500

struct dff_operator_state {
	struct dff_operator_state_options options;
	struct dff_subscription *follower;
	struct dff_evacuations *evacuations;
	/** (nullable) */
	struct dff_fleet_config *config;
	int64_t *version;
};

/* Idle processes make most of the calls to the store, so that they wait as long as the bound
 * allows. */
static int32_t
wait_ms (const struct dff_operator_state *in_force)
{
	return CLAMP (in_force->options.bound_ms / WAIT_PART, WAIT_MS, WAIT_MAX_MS);
}

/* A process never goes back to an older configuration: an answer that was under way for long may
 * still bring one. */
static void
take_config (struct dff_operator_state *in_force, const struct dff_row *row)
{
	DFF_AUTO (dff_fleet_config) config = dff_platform_read_config (row->value);
	if (config == NULL) {
		dff_log (DFF_LOG_POOL, DFF_LOG_ERROR,
			 "Configuration cannot be read. revision=%" PRId64, row->revision);
		return;
	}
	int64_t before = in_force->config != NULL ? in_force->config->version : 0;
	if (config->version <= before)
		return;
	dff_log (DFF_LOG_POOL, DFF_LOG_INFO,
		 "Configuration in force. version=%" PRId64 " before=%" PRId64 " revision=%" PRId64
		 " classes=%u teams=%u",
		 config->version, before, row->revision, config->classes->len, config->teams->len);
	g_clear_pointer (&in_force->config, dff_fleet_config_free);
	in_force->config = g_steal_pointer (&config);
	*in_force->version = in_force->config->version;
	in_force->options.config_changed (in_force->options.ctx, in_force->config);
}

static void
handle_row (void *ctx, const struct dff_row *row)
{
	struct dff_operator_state *in_force = ctx;
	struct dff_name data_centre;
	switch (dff_platform_read_evacuation (row, &data_centre)) {
	case DFF_PLATFORM_REQUEST_EVACUATION:
		dff_evacuations_note (in_force->evacuations, &data_centre, !row->removed,
				      row->revision, dff_subscription_age_ms (in_force->follower));
		return;
	case DFF_PLATFORM_REQUEST_UNREADABLE:
		if (!row->removed)
			dff_evacuations_note_unreadable (in_force->evacuations, row->key,
							 row->revision);
		return;
	case DFF_PLATFORM_REQUEST_OTHER:
		if (!row->removed && dff_str_equal (row->key, dff_str_from (DFF_KEY_CONFIG)))
			take_config (in_force, row);
		return;
	}
}

static void
handle_begin (void *ctx)
{
	const struct dff_operator_state *in_force = ctx;
	dff_evacuations_begin_snapshot (in_force->evacuations);
}

static void
handle_whole (void *ctx)
{
	const struct dff_operator_state *in_force = ctx;
	dff_evacuations_end_snapshot (in_force->evacuations);
}

const struct dff_fleet_config *
dff_operator_state_config (const struct dff_operator_state *in_force)
{
	int64_t stale_ms = 2 * wait_ms (in_force) + STALE_MS;
	return dff_operator_state_age_ms (in_force) <= stale_ms ? in_force->config : NULL;
}

bool
dff_operator_state_is_fresh (const struct dff_operator_state *in_force)
{
	int64_t fresh_ms = 2 * wait_ms (in_force) + FRESH_MS;
	return in_force->config != NULL && dff_operator_state_age_ms (in_force) <= fresh_ms;
}

int64_t
dff_operator_state_age_ms (const struct dff_operator_state *in_force)
{
	return dff_subscription_age_ms (in_force->follower);
}

int64_t
dff_operator_state_evacuations_age_ms (const struct dff_operator_state *in_force)
{
	return dff_subscription_is_ready (in_force->follower) ? dff_operator_state_age_ms (in_force)
							      : INT64_MAX;
}

void
dff_operator_state_wake (struct dff_operator_state *in_force)
{
	dff_subscription_wake (in_force->follower);
}

void
dff_operator_state_set_holding (struct dff_operator_state *in_force, bool deciding)
{
	dff_subscription_set_wait (in_force->follower, deciding ? WAIT_MS : wait_ms (in_force));
}

struct dff_operator_state *
dff_operator_state_new (const struct dff_operator_state_options *options)
{
	struct dff_operator_state *in_force = g_new0 (struct dff_operator_state, 1);
	in_force->options = *options;
	in_force->version = dff_metrics_gauge (options->metrics, "dff_fleet_config_version",
					       "Version of the configuration in force.");
	struct dff_evacuations_options evacuations = {.metrics = options->metrics,
						      .changed = options->evacuations_changed,
						      .ctx = options->ctx};
	in_force->evacuations = dff_evacuations_new (&evacuations);
	struct dff_subscription_options follower = {
		.timers = options->timers,
		.rows = options->rows,
		.table = DFF_TABLE_CONFIG,
		.wait_ms = WAIT_MS,
		.timeout_margin_ms = PATIENCE_MS,
		.sink = {.row = handle_row,
			 .begin_snapshot = handle_begin,
			 .end_snapshot = handle_whole,
			 .ctx = in_force},
	};
	in_force->follower = dff_subscription_new (&follower);
	return in_force;
}

void
dff_operator_state_free (struct dff_operator_state *in_force)
{
	dff_subscription_free (in_force->follower);
	dff_evacuations_free (in_force->evacuations);
	g_clear_pointer (&in_force->config, dff_fleet_config_free);
	g_free (in_force);
}
