#ifndef DFF_POOL_ENTRIES_H
#define DFF_POOL_ENTRIES_H

#include <jansson.h>

#include "pool/pool.h"
#include "pool/reader.h"

/* Element functions of the pool file's tables; @user is the struct dff_pool to which the entry is
 * added. check.c checks afterwards what concerns several entries. */

void dff_pool_read_rack (struct dff_pool_reader *reader, const json_t *value, void *user);
void dff_pool_read_team (struct dff_pool_reader *reader, const json_t *value, void *user);
void dff_pool_read_service (struct dff_pool_reader *reader, const json_t *value, void *user);
void dff_pool_read_operator (struct dff_pool_reader *reader, const json_t *value, void *user);

#endif
