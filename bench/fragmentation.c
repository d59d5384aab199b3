#include "bench/fragmentation.h"

void
dff_fragmentation_init (struct dff_fragmentation *fragmentation,
			int32_t unit,
			guint n_racks,
			int64_t until_ms)
{
	*fragmentation = (struct dff_fragmentation){.unit = unit, .until_ms = until_ms};
	fragmentation->free = g_array_new (FALSE, TRUE, sizeof (int32_t));
	g_array_set_size (fragmentation->free, n_racks);
}

void
dff_fragmentation_clear (struct dff_fragmentation *fragmentation)
{
	g_array_unref (fragmentation->free);
}

void
dff_fragmentation_advance (struct dff_fragmentation *fragmentation, int64_t now_ms)
{
	int64_t end_ms = MIN (now_ms, fragmentation->until_ms);
	double passed_ms = (double)(end_ms - fragmentation->last_ms);
	if (passed_ms <= 0.0)
		return;
	fragmentation->last_ms = end_ms;
	if (fragmentation->total < fragmentation->unit)
		return;
	double unusable = 1.0 - (double)fragmentation->usable / (double)fragmentation->total;
	fragmentation->weighted_ms += unusable * passed_ms;
	fragmentation->counted_ms += passed_ms;
}

void
dff_fragmentation_add (struct dff_fragmentation *fragmentation, guint rack, int32_t delta)
{
	int32_t *free = &g_array_index (fragmentation->free, int32_t, rack);
	fragmentation->usable -= *free - *free % fragmentation->unit;
	*free += delta;
	fragmentation->usable += *free - *free % fragmentation->unit;
	fragmentation->total += delta;
}

double
dff_fragmentation_mean (const struct dff_fragmentation *fragmentation)
{
	if (fragmentation->counted_ms <= 0.0)
		return 0.0;
	return fragmentation->weighted_ms / fragmentation->counted_ms;
}
