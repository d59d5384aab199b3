#ifndef DFF_POOL_PRIVATE_H
#define DFF_POOL_PRIVATE_H

#include "pool/pool.h"

/** Returns: (transfer full): a pool without entries. */
struct dff_pool *dff_pool_new (void);

#endif
