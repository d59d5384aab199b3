#ifndef DFF_STANDIN_RUN_LOG_H
#define DFF_STANDIN_RUN_LOG_H

#include <glib.h>

#include "common/cleanup.h"
#include "upstream/worker_client.h"

/*
 * A log of the requests and tasks that a worker has started, one line each. The line is appended
 * before the execution, so that a benchmark also counts executions on workers that have died:
 *
 *   request ID TAG
 *   task JOB ATTEMPT MEMBER TAG
 *
 * TAG is "-" where the payload has none. Several workers may append to one file.
 */

struct dff_run_log;

/** Returns: (nullable): NULL with @error set when the file cannot be opened. */
struct dff_run_log *dff_run_log_open (const char *path, GError **error);

void dff_run_log_close (struct dff_run_log *log);

DFF_DEFINE_CLEANUP (dff_run_log, dff_run_log_close);

/** Logs the start of a short request. */
void dff_run_log_request (struct dff_run_log *log,
			  const struct dff_name *id,
			  const struct dff_name *tag);

/** Logs the start of a task. */
void dff_run_log_task (struct dff_run_log *log,
		       const struct dff_task_id *task,
		       const struct dff_name *tag);

#endif
