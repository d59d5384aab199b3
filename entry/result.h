#ifndef DFF_ENTRY_RESULT_H
#define DFF_ENTRY_RESULT_H

#include "common/cleanup.h"
#include "common/str.h"

/* Callers who wait for the end of a job, and the results on their way to them. */

struct dff_entry;
struct dff_results;

struct dff_results *dff_results_new (struct dff_entry *entry);

/** Drops who still waits, without an answer. */
void dff_results_free (struct dff_results *results);

DFF_DEFINE_CLEANUP (dff_results, dff_results_free);

/** Wakes who waits for @job. */
void dff_results_job_ended (struct dff_results *results, const struct dff_name *job);

/** Reads the rows of waiting jobs again from time to time, as notices may be lost, and sends
 * everybody away when the process drains. */
void dff_results_tick (struct dff_results *results);

#endif
