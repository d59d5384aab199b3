#ifndef DFF_STANDIN_WORKER_FAULTS_H
#define DFF_STANDIN_WORKER_FAULTS_H

#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"

/* Faults that a stand-in worker process is told to have. */

struct dff_worker_faults {
	/** Connections are accepted and kept, nothing takes effect, nothing is answered. */
	bool silent;
	/** The same for the connections that are open now; new ones work. */
	bool silence_open;
	/** Every answer comes this much later. */
	int64_t slow_ms;
	bool fail_everything;
	/** So many calls take effect and are not answered. */
	int64_t lose_answers;
	/** The process ends at once. */
	bool die;
};

/** Reads the whole set. Returns: false when it cannot be read; @faults is then unchanged. */
bool dff_worker_faults_parse (struct dff_str text, struct dff_worker_faults *faults);

#endif
