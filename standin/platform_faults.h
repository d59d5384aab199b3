#ifndef DFF_STANDIN_PLATFORM_FAULTS_H
#define DFF_STANDIN_PLATFORM_FAULTS_H

#include <jansson.h>
#include <stdbool.h>

#include "backing/memory.h"

/* Faults and counters of the stand-in platform as JSON. */

/**
 * dff_platform_faults_from_json:
 * @now_ms: monotonic time that "outage_ms" and "silent_ms" count from
 * @faults: (out): every fault that is not named is lifted
 *
 * Returns: false when @root is no object, or holds an unknown key or a value out of range. The key
 * "instance" is the server's and is passed over.
 */
bool dff_platform_faults_from_json (const json_t *root,
				    int64_t now_ms,
				    struct dff_memory_faults *faults);

json_t *dff_platform_counts_to_json (const struct dff_memory_counts *counts);

#endif
