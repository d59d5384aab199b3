#ifndef DFF_PLATFORM_INCARNATION_H
#define DFF_PLATFORM_INCARNATION_H

#include <jansson.h>
#include <stdint.h>

#include "upstream/incarnation.h"

/**
 * dff_platform_read_started_ms:
 * @object: (nullable): a worker's entry in the list of workers, or an answer of the worker
 *
 * Returns: start of the worker's incarnation, ms since 1970; DFF_START_UNREPORTED: the object has
 * no start; DFF_START_UNREADABLE: its value is not valid.
 */
int64_t dff_platform_read_started_ms (const json_t *object);

#endif
