#ifndef DFF_FLEET_OPERATOR_STATE_H
#define DFF_FLEET_OPERATOR_STATE_H

#include "common/cleanup.h"
#include "common/metrics.h"
#include "common/timer.h"
#include "fleet/config.h"
#include "rows/rows.h"

/*
 * Operator state as known to this process: the configuration, and the data centres to be evacuated.
 * Both are rows of one table to which the process subscribes. The polling interval follows from the
 * time within which operators rely on a change.
 */

struct dff_operator_state;

struct dff_operator_state_options {
	const struct dff_timers *timers;
	const struct dff_rows *rows;
	struct dff_metrics *metrics;
	/** Time within which operators rely on a change having taken effect, ms. */
	int32_t bound_ms;
	void (*config_changed) (void *ctx, const struct dff_fleet_config *config);
	/** @data_centres: all data centres that are to be evacuated now. */
	void (*evacuations_changed) (void *ctx,
				     const struct dff_name *data_centres,
				     size_t n_data_centres);
	void *ctx;
};

/** Subscribes to the table. */
struct dff_operator_state *
dff_operator_state_new (const struct dff_operator_state_options *options);

/** Calls to the store that are in progress do not call back any more. */
void dff_operator_state_free (struct dff_operator_state *state);

DFF_DEFINE_CLEANUP (dff_operator_state, dff_operator_state_free);

/** Returns: (transfer none) (nullable): the configuration; NULL: none is known, or the known one is
 * stale. */
const struct dff_fleet_config *dff_operator_state_config (const struct dff_operator_state *state);

/** Returns: whether a configuration is known and is not about to become stale. */
bool dff_operator_state_is_fresh (const struct dff_operator_state *state);

/** Returns: age of the operator state, ms; INT64_MAX: none is known. */
int64_t dff_operator_state_age_ms (const struct dff_operator_state *state);

/** Returns: age of the evacuation requests, ms; INT64_MAX: the first snapshot of the table is not
 * complete. */
int64_t dff_operator_state_evacuations_age_ms (const struct dff_operator_state *state);

/** Polls at once: the store answers again after it did not. */
void dff_operator_state_wake (struct dff_operator_state *state);

/** Sets whether this process is the holder. The holder must not start tasks by stale evacuation
 * requests, so it polls at the shortest interval. */
void dff_operator_state_set_holding (struct dff_operator_state *state, bool holding);

#endif
