#ifndef DFF_PLATFORM_LIFE_H
#define DFF_PLATFORM_LIFE_H

#include <jansson.h>
#include <stdint.h>

#include "upstream/life.h"

/** dff_platform_read_born:
 * @object: (nullable): what a worker says of itself, or its answer
 *
 * Returns: when the life that says so started, ms since 1970, DFF_BORN_UNTOLD or
 * DFF_BORN_UNREADABLE.
 */
int64_t dff_platform_read_born (const json_t *object);

#endif
