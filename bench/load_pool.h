#ifndef DFF_BENCH_LOAD_POOL_H
#define DFF_BENCH_LOAD_POOL_H

#include "pool/pool.h"

/** Reads a pool file; prints errors to stderr. Returns: (transfer full) (nullable): the pool. */
struct dff_pool *dff_load_pool (const char *path);

#endif
