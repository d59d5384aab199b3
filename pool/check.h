#ifndef DFF_POOL_CHECK_H
#define DFF_POOL_CHECK_H

#include "pool/pool.h"
#include "pool/reader.h"

/** Reports errors between the entries of a pool: duplicates, references, guarantees. */
void dff_pool_check (struct dff_pool_reader *reader, const struct dff_pool *pool);

#endif
