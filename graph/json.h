#ifndef DFF_GRAPH_JSON_H
#define DFF_GRAPH_JSON_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"

/* Members of a JSON object by name; one that is missing, or of another type, reads as 0. */

int64_t dff_json_int (const json_t *object, const char *key);

/** The same within 32 bits: what is beyond them is the nearest that is not. */
int32_t dff_json_int32 (const json_t *object, const char *key);

/** Returns: an integer of an array, within 32 bits; 0 where there is none. */
int32_t dff_json_int32_at (const json_t *array, size_t index);

bool dff_json_bool (const json_t *object, const char *key);

/** Returns: the empty name where the member is missing or no name. */
struct dff_name dff_json_name (const json_t *object, const char *key);

/** Prints @root without spaces and releases it. Returns: (transfer full): the text. */
GString *dff_json_print (json_t *root);

#endif
