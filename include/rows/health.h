#ifndef DFF_ROWS_HEALTH_H
#define DFF_ROWS_HEALTH_H

#include "common/cleanup.h"
#include "common/metrics.h"
#include "common/timer.h"
#include "rows/rows.h"

/*
 * A store of rows that monitors whether the store behind it answers this process. Calls pass
 * through unchanged. The store counts as silent when a call is unanswered after its timeout and no
 * call that was sent later has been served either. The next served call ends the silence. While the
 * store is silent, one small row is read periodically, so that its recovery is detected at once.
 */

struct dff_rows_health;

struct dff_rows_health_options {
	const struct dff_timers *timers;
	struct dff_metrics *metrics;
	/** The store behind this one, borrowed. */
	const struct dff_rows *rows;
	/** Table and key of the row that is read to probe a silent store. */
	const char *probe_table;
	const char *probe_key;
	/** (nullable): called when a silent store answers again. */
	void (*recovered) (void *ctx);
	void *recovered_ctx;
};

/** Returns: (transfer full): a monitor in front of the store; @options is copied. */
struct dff_rows_health *dff_rows_health_new (const struct dff_rows_health_options *options);

/** To be called only when no call is in progress, or when calls in progress will not call back. */
void dff_rows_health_free (struct dff_rows_health *health);

DFF_DEFINE_CLEANUP (dff_rows_health, dff_rows_health_free);

/** Returns: (transfer none): the store for the callers to use, valid as long as @health. */
const struct dff_rows *dff_rows_health_interface (struct dff_rows_health *health);

/** Returns: whether the store counts as silent: a call made now would most likely be unanswered. */
bool dff_rows_health_is_silent (struct dff_rows_health *health);

/** Returns: start time of the most recently started call that has been served, ms; INT64_MIN:
 * none. */
int64_t dff_rows_health_served_ms (const struct dff_rows_health *health);

#endif
