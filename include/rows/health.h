#ifndef DFF_ROWS_HEALTH_H
#define DFF_ROWS_HEALTH_H

#include "common/cleanup.h"
#include "common/metrics.h"
#include "common/timer.h"
#include "rows/rows.h"

/*
 * A store of rows that knows whether the store behind it answers this process. Calls pass through
 * unchanged. The path counts as silent when a call had no answer for a while and nothing that was
 * sent after it had one either; the next call that is served ends that. While it is silent,
 * one small row is read again and again, so that its return is noticed at once.
 */

struct dff_rows_health;

struct dff_rows_health_options {
	const struct dff_timers *timers;
	struct dff_metrics *metrics;
	/** The store, borrowed. */
	const struct dff_rows *rows;
	/** Table and key that are read to see whether a silent store answers again. */
	const char *probe_table;
	const char *probe_key;
	/** (nullable): a silent store answers again. */
	void (*recovered) (void *ctx);
	void *recovered_ctx;
};

/** Returns: (transfer full): a store in front of another; @options is copied. */
struct dff_rows_health *dff_rows_health_new (const struct dff_rows_health_options *options);

/** To be called when no call is in progress, or none will call back any more. */
void dff_rows_health_free (struct dff_rows_health *health);

DFF_DEFINE_CLEANUP (dff_rows_health, dff_rows_health_free);

/** Returns: (transfer none): the store to be called, valid as long as @health. */
const struct dff_rows *dff_rows_health_interface (struct dff_rows_health *health);

/** Returns: whether a call that is made now would most likely have no answer. */
bool dff_rows_health_is_silent (struct dff_rows_health *health);

/** Returns: when the latest call was begun that has been served; INT64_MIN: none. */
int64_t dff_rows_health_served_ms (const struct dff_rows_health *health);

#endif
