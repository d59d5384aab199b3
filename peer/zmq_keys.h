#ifndef DFF_PEER_ZMQ_KEYS_H
#define DFF_PEER_ZMQ_KEYS_H

#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"

/* CURVE keys: 32 bytes in ZeroMQ, base64url without padding in settings and the instance list. */

#define DFF_ZMQ_KEY_SIZE 32

/** Returns: false when @text is not 32 bytes in base64url. */
bool dff_zmq_key_parse (const struct dff_name *text, uint8_t key[DFF_ZMQ_KEY_SIZE]);

/** Returns: @key in base64url. */
struct dff_name dff_zmq_key_format (const uint8_t key[DFF_ZMQ_KEY_SIZE]);

#endif
