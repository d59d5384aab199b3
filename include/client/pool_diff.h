#ifndef DFF_CLIENT_POOL_DIFF_H
#define DFF_CLIENT_POOL_DIFF_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

/**
 * dff_pool_diff:
 * @before: (nullable): pool file in force
 * @after: pool file to be applied
 * @out: receives one line per change: "+" added, "-" removed, "~" changed
 *
 * Returns: whether anything differs.
 */
bool dff_pool_diff (const json_t *before, const json_t *after, GString *out);

#endif
