#ifndef DFF_POOL_PACKING_H
#define DFF_POOL_PACKING_H

#include "pool/pool.h"

/** The first guaranteed shape that found no place. */
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
 * Packs all guaranteed shapes into the empty racks at once: in one rack where the shape fits one,
 * else over the fewest neighbouring racks of one region, all but the last of them whole. The gangs
 * of one guarantee share a region. Largest first into the tightest rack; where that fails, a search
 * bounded in steps tries other racks, so a file is refused only after both.
 */
struct dff_pool_pack_failure dff_pool_pack (const struct dff_pool *pool);

#endif
