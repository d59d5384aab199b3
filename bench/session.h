#ifndef DFF_BENCH_SESSION_H
#define DFF_BENCH_SESSION_H

#include <glib.h>
#include <stdint.h>

#include "common/cleanup.h"
#include "core/job.h"

/* Sessions: events of a pool by time, one JSON object per line (docs/SESSIONS.md). */

enum dff_session_event_type {
	DFF_SESSION_SUBMIT,
	DFF_SESSION_CANCEL,
	DFF_SESSION_WORKER_UP,
	DFF_SESSION_WORKER_DOWN,
	DFF_SESSION_WORKER_LEAVING,
	DFF_SESSION_WORKER_FAILS_EVERYTHING,
	DFF_SESSION_RACK_UP,
	DFF_SESSION_RACK_DOWN,
};

struct dff_session_event {
	enum dff_session_event_type type;
	/** Time since the start of the session, ms. */
	int64_t time_ms;
	/** Line number in the file, from 1. */
	int line;
	/** Job, worker or rack. */
	struct dff_name subject;
	/** Job of a submission. The gang may be larger than DFF_JOB_GANG_MAX. */
	struct dff_job_spec spec;
	/** Actual run time of the job, ms. */
	int64_t actual_ms;
};

struct dff_session {
	GArray *events; /**< Elements: struct dff_session_event. */
};

/**
 * dff_session_load:
 * @path: file to read
 * @error: names file, line and what was expected
 *
 * Returns: (transfer full) (nullable): the session.
 */
struct dff_session *dff_session_load (const char *path, GError **error);

/** Like dff_session_load(), from memory; @source names the text in messages. */
struct dff_session *dff_session_parse (struct dff_str text, const char *source, GError **error);

void dff_session_free (struct dff_session *session);

DFF_DEFINE_CLEANUP (dff_session, dff_session_free);

#endif
