#ifndef DFF_COMMON_JSON_LOCATE_H
#define DFF_COMMON_JSON_LOCATE_H

#include <glib.h>

#include "common/str.h"

/* Line numbers of values in a JSON text, for error messages. jansson keeps positions for syntax
 * errors only, so the text is scanned a second time. */

/**
 * dff_json_locate:
 * @text: valid JSON
 * @path: "teams[2].guarantees[0].accelerators"; empty: the whole text
 *
 * Returns: the line, from 1, of the deepest entry of @path that exists.
 */
int dff_json_locate (struct dff_str text, const char *path);

/**
 * dff_json_key_lines:
 * @text: valid JSON
 *
 * Keys are identified by their order, so that keys with '.', '[' or escapes, which a path cannot
 * express, are found as well.
 *
 * Returns: (transfer full): the line, from 1, of each key of the outermost object, in the order of
 * the text; empty when the text is not an object. Elements: int.
 */
GArray *dff_json_key_lines (struct dff_str text);

#endif
