#ifndef DFF_POOL_PACKING_H
#define DFF_POOL_PACKING_H

#include "pool/pool.h"

/** The first guaranteed shape that could not be placed. */
struct dff_pool_pack_failure {
	bool found;
	/** Index into the pool's teams. */
	guint team;
	/** Index into the team's guarantees. */
	guint guarantee;
};

/**
 * dff_pool_pack:
 *
 * Packs all guaranteed shapes into the empty racks at once: in one rack if the shape fits in one,
 * else over the fewest neighbouring racks of one region, all but the last of them whole. The gangs
 * of one guarantee share a region. The largest shapes are placed first, into the tightest rack. If
 * that fails, a search with a limited number of steps tries other racks; a file is rejected only if
 * both fail.
 */
struct dff_pool_pack_failure dff_pool_pack (const struct dff_pool *pool);

#endif
