#ifndef DFF_STANDIN_WORKER_FAULTS_H
#define DFF_STANDIN_WORKER_FAULTS_H

#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"

/* Faults that are injected into a stand-in worker process. */

struct dff_worker_faults {
	/** Connections are accepted and stay open; calls take no effect and are not answered. */
	bool silent;
	/** As @silent, for the connections that are open now; new connections work. */
	bool silence_open;
	/** Delay of every answer, ms. */
	int64_t slow_ms;
	bool fail_everything;
	/** Number of next calls that take effect and are not answered. */
	int64_t lose_answers;
	/** The process exits immediately. */
	bool die;
};

/** Parses a set of faults. Returns: false, with @faults unchanged, when @text is invalid. */
bool dff_worker_faults_parse (struct dff_str text, struct dff_worker_faults *faults);

#endif
