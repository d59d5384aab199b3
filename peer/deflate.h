#ifndef DFF_PEER_DEFLATE_H
#define DFF_PEER_DEFLATE_H

#include <glib.h>
#include <stdint.h>

#include "common/str.h"

/* Compression of pool files in messages: the files are repetitive, and each change of a file is
 * sent to every process. */

/** Returns: (transfer full): @text, compressed. */
GByteArray *dff_deflate (struct dff_str text);

/**
 * dff_inflate:
 * @length: expected size of the text, from the message; the caller must bound it
 *
 * Returns: (transfer full) (nullable): @length bytes, to be freed with g_free(); NULL when @data is
 * damaged or does not inflate to @length bytes.
 */
char *dff_inflate (const uint8_t *data, size_t len, size_t length);

#endif
