#ifndef DFF_POOL_PRIVATE_H
#define DFF_POOL_PRIVATE_H

#include "pool/pool.h"

/** Bytes of a stored token digest, SHA-256. */
#define DFF_POOL_DIGEST_SIZE 32

/** Returns: (transfer full): a pool without entries. */
struct dff_pool *dff_pool_new (void);

#endif
