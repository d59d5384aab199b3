#ifndef DFF_GRAPH_JSON_H
#define DFF_GRAPH_JSON_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"

/* Readers for the members of a JSON object. A member that is missing or has another type reads as
 * 0. */

int64_t dff_json_int (const json_t *object, const char *key);

/** As dff_json_int(), clamped to the range of 32 bits. */
int32_t dff_json_int32 (const json_t *object, const char *key);

/** Returns: the integer at @index, clamped to the range of 32 bits; 0 if there is none. */
int32_t dff_json_int32_at (const json_t *array, size_t index);

bool dff_json_bool (const json_t *object, const char *key);

/** Returns: the empty name if the member is missing or not a valid name. */
struct dff_name dff_json_name (const json_t *object, const char *key);

/** Serializes @root without spaces and releases it. Returns: (transfer full): the text. */
GString *dff_json_print (json_t *root);

#endif
