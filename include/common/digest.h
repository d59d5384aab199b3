#ifndef DFF_COMMON_DIGEST_H
#define DFF_COMMON_DIGEST_H

#include <stdint.h>

#include "common/str.h"

#define DFF_DIGEST_BYTES 32
/** Length of a digest in hex, without terminator. */
#define DFF_DIGEST_HEX_LEN 64

/** SHA-256 of @data. */
void dff_digest (struct dff_str data, uint8_t out[DFF_DIGEST_BYTES]);

/** SHA-256 of @data in lower-case hex, with terminator. */
void dff_digest_hex (struct dff_str data, char out[DFF_DIGEST_HEX_LEN + 1]);

#endif
