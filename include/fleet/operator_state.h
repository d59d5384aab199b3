#ifndef DFF_FLEET_OPERATOR_STATE_H
#define DFF_FLEET_OPERATOR_STATE_H

#include "common/cleanup.h"
#include "common/metrics.h"
#include "common/timer.h"
#include "fleet/config.h"
#include "rows/rows.h"

/*
 * What operators have put in force, as this process knows it: the configuration, and the data
 * centres that are to be emptied. Both are rows of one table that is followed; how often the store
 * is asked goes by the time within which operators count on a change.
 */

struct dff_operator_state;

struct dff_operator_state_options {
	const struct dff_timers *timers;
	const struct dff_rows *rows;
	struct dff_metrics *metrics;
	/** Time within which operators count on a change, ms. */
	int32_t bound_ms;
	void (*config_changed) (void *ctx, const struct dff_fleet_config *config);
	/** All data centres that are to be emptied now. */
	void (*evacuations_changed) (void *ctx,
				     const struct dff_name *data_centres,
				     size_t n_data_centres);
	void *ctx;
};

/** Begins to follow the table. */
struct dff_operator_state *
dff_operator_state_new (const struct dff_operator_state_options *options);

/** The store's calls in progress do not call back any more. */
void dff_operator_state_free (struct dff_operator_state *state);

DFF_DEFINE_CLEANUP (dff_operator_state, dff_operator_state_free);

/** Returns: (transfer none) (nullable): the configuration; NULL when none is known, or what is
 * known is too old to go by. */
const struct dff_fleet_config *dff_operator_state_config (const struct dff_operator_state *state);

/** Returns: whether a configuration is known that will not soon be too old. */
bool dff_operator_state_is_fresh (const struct dff_operator_state *state);

/** Returns: how old what is known is, ms; INT64_MAX: nothing is. */
int64_t dff_operator_state_age_ms (const struct dff_operator_state *state);

/** Returns: the same of evacuations, of which nothing is known before the whole table is. */
int64_t dff_operator_state_evacuations_age_ms (const struct dff_operator_state *state);

/** The store was silent and answers again. */
void dff_operator_state_wake (struct dff_operator_state *state);

/** The process that decides starts nothing by old knowledge of evacuations, and asks as often as
 * that takes. */
void dff_operator_state_set_holding (struct dff_operator_state *state, bool holding);

#endif
