#ifndef DFF_PEER_DEFLATE_H
#define DFF_PEER_DEFLATE_H

#include <glib.h>
#include <stdint.h>

#include "common/str.h"

/* Pool files on their way between processes, compressed: a file is mostly the same words again, and
 * every change of it goes to every process. */

/** Returns: (transfer full): @text, compressed. */
GByteArray *dff_deflate (struct dff_str text);

/**
 * dff_inflate:
 * @length: what it is to become, from the message: to be bounded by the caller
 *
 * Returns: (transfer full) (nullable): @length bytes, to be freed with g_free(); NULL when @data is
 * damaged or does not become that long.
 */
char *dff_inflate (const uint8_t *data, size_t len, size_t length);

#endif
