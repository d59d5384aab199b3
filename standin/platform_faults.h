#ifndef DFF_STANDIN_PLATFORM_FAULTS_H
#define DFF_STANDIN_PLATFORM_FAULTS_H

#include <jansson.h>
#include <stdbool.h>

#include "backing/memory.h"

/* JSON form of the stand-in platform's faults and counters. */

/**
 * dff_platform_faults_from_json:
 * @now_ms: monotonic time from which "outage_ms" and "silent_ms" are counted
 * @faults: (out): the faults in @root; all others are cleared
 *
 * Returns: false when @root is not an object, or holds an unknown key or a value out of range. The
 * key "instance" is skipped: the server reads it.
 */
bool dff_platform_faults_from_json (const json_t *root,
				    int64_t now_ms,
				    struct dff_memory_faults *faults);

json_t *dff_platform_counts_to_json (const struct dff_memory_counts *counts);

#endif
