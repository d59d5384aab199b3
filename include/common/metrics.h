#ifndef DFF_COMMON_METRICS_H
#define DFF_COMMON_METRICS_H

#include <glib.h>

#include "common/cleanup.h"
#include <stdint.h>

/* Counters, gauges and histograms in the Prometheus text format. The registry is passed in, one for
 * each process, so that a test can run several processes. */

struct dff_metrics;

struct dff_metrics *dff_metrics_new (void);

void dff_metrics_free (struct dff_metrics *metrics);

DFF_DEFINE_CLEANUP (dff_metrics, dff_metrics_free);

/**
 * dff_metrics_counter:
 * @name: "dff_..._total", a static string; labels may be part of it: name{label="value"}
 * @help: one line, static
 *
 * Returns: the counter, the same for the same @name; valid as long as @metrics. Add to it directly.
 */
int64_t *dff_metrics_counter (struct dff_metrics *metrics, const char *name, const char *help);

/** Like dff_metrics_counter(), for a value that also goes down. */
int64_t *dff_metrics_gauge (struct dff_metrics *metrics, const char *name, const char *help);

struct dff_histogram;

/**
 * dff_metrics_histogram:
 * @name: "dff_..._ms", a static string without labels
 *
 * Returns: a histogram of times in milliseconds, the same for the same @name; valid as long as
 * @metrics.
 */
struct dff_histogram *
dff_metrics_histogram (struct dff_metrics *metrics, const char *name, const char *help);

/** Adds one observation. */
void dff_histogram_observe (struct dff_histogram *histogram, int64_t ms);

/** Appends every metric in the Prometheus text format, in order of name. */
void dff_metrics_print (const struct dff_metrics *metrics, GString *out);

#endif
