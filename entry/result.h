#ifndef DFF_ENTRY_RESULT_H
#define DFF_ENTRY_RESULT_H

#include "common/cleanup.h"
#include "common/str.h"

/* Callers that wait for the end of a job, and the delivery of results to them. */

struct dff_entry;
struct dff_results;

struct dff_results *dff_results_new (struct dff_entry *entry);

/** Drops all waiting callers without answering them. */
void dff_results_free (struct dff_results *results);

DFF_DEFINE_CLEANUP (dff_results, dff_results_free);

/** Wakes the callers that wait for @job. */
void dff_results_job_ended (struct dff_results *results, const struct dff_name *job);

/** Reads the rows of waiting jobs again at intervals, because notifications may be lost. When the
 * process is leaving, answers all waiting callers that the job has not ended. */
void dff_results_tick (struct dff_results *results);

#endif
