#ifndef DFF_POOL_POOL_ROW_H
#define DFF_POOL_POOL_ROW_H

#include <glib.h>
#include <stdint.h>

#include "common/str.h"

/* The table row that holds the accepted pool file: {"generation": N, "text": FILE} as JSON. */

/** Key of the row. There is one pool for all regions. */
#define DFF_POOL_ROW_KEY "pool"

/** Returns: (transfer full): the row's value. @text must be valid UTF-8. */
GString *dff_pool_row_encode (int64_t generation, struct dff_str text);

/**
 * dff_pool_row_decode:
 * @generation: (out): number of files accepted up to this one, at least 1
 *
 * Returns: (transfer full) (nullable): the file's text.
 */
GString *dff_pool_row_decode (struct dff_str value, int64_t *generation, GError **error);

#endif
