#ifndef DFF_POOL_LOCATE_H
#define DFF_POOL_LOCATE_H

#include "common/str.h"

/**
 * dff_pool_locate:
 * @text: valid JSON
 * @path: "teams[2].guarantees[0].accelerators"; empty: the whole text
 *
 * jansson keeps positions for syntax errors only, so the line of an entry is found by walking the
 * text along its path.
 *
 * Returns: the line, from 1, of the deepest entry of @path that exists.
 */
int dff_pool_locate (struct dff_str text, const char *path);

#endif
