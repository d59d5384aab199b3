#ifndef DFF_PLATFORM_INCARNATION_H
#define DFF_PLATFORM_INCARNATION_H

#include <jansson.h>
#include <stdint.h>

#include "upstream/incarnation.h"

/** dff_platform_read_started_ms:
 * @object: (nullable): what a worker says of itself, or its answer
 *
 * Returns: when the life that says so started, ms since 1970, DFF_START_UNREPORTED or
 * DFF_START_UNREADABLE.
 */
int64_t dff_platform_read_started_ms (const json_t *object);

#endif
