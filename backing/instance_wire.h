#ifndef DFF_BACKING_INSTANCE_WIRE_H
#define DFF_BACKING_INSTANCE_WIRE_H

#include <jansson.h>
#include <stdbool.h>

#include "backing/instance_list.h"

/* JSON encoding of instances (docs/BACKING.md), used by the client and the stand-in platform. */

json_t *dff_instance_wire_to_json (const struct dff_instance *instance);

/** Returns: false when @object lacks an id, a role or an address, or a field is malformed. */
bool dff_instance_wire_from_json (const json_t *object, struct dff_instance *instance);

#endif
