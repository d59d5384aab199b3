#include "core/core_private.h"

#include <math.h>

/* Translates the pool's weights into settings. Between the two presets the settings change
 * gradually; times and factors by equal ratios. See docs/decisions/core-order.md for the values. */

/** Fragmentation share of the weights in the two presets. */
#define COMPLETION_SHARE 0.3
#define FRAGMENTATION_SHARE 0.7

/** Range of the exponent of a job's accelerators in its score: 1 orders by area, less favours wide
 * jobs. */
#define WIDTH_POWER_RANGE 0.75
/** Settings for completion (C) and for fragmentation (F), ms: see struct dff_core_policy. */
#define AGEING_C 28800000.0
#define AGEING_F 1800000.0
#define FIRST_TURN_C 14400000.0
#define FIRST_TURN_F 300000.0
#define DISPLACE_LOSS_C 300000.0
#define DISPLACE_LOSS_F 1200000.0

static double
between (double completion, double fragmentation, double share)
{
	return completion * pow (fragmentation / completion, share);
}

struct dff_core_policy
dff_core_policy_from (const struct dff_weights *weights)
{
	double sum = weights->completion + weights->fragmentation;
	double fragmentation = sum > 0.0 ? weights->fragmentation / sum : 0.5;
	double share =
		(fragmentation - COMPLETION_SHARE) / (FRAGMENTATION_SHARE - COMPLETION_SHARE);
	share = CLAMP (share, 0.0, 1.0);
	return (struct dff_core_policy){
		.width_power = 1.0 - WIDTH_POWER_RANGE * share,
		.ageing_ms = between (AGEING_C, AGEING_F, share),
		.first_turn_ms = between (FIRST_TURN_C, FIRST_TURN_F, share),
		.displace_loss_ms = between (DISPLACE_LOSS_C, DISPLACE_LOSS_F, share),
		.moves_jobs = share >= 0.5,
	};
}
