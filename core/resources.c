#include "core/core_private.h"

/* Arithmetic on resource vectors. */

void
dff_resources_add (struct dff_resources *sum, const struct dff_resources *term, int32_t times)
{
	sum->slots += times * term->slots;
	sum->cores += times * term->cores;
	sum->memory_gb += times * term->memory_gb;
	sum->accelerators += times * term->accelerators;
}

struct dff_resources
dff_resources_less (const struct dff_resources *a, const struct dff_resources *b)
{
	struct dff_resources rest = *a;
	dff_resources_add (&rest, b, -1);
	return rest;
}

struct dff_resources
dff_resources_min (const struct dff_resources *a, const struct dff_resources *b)
{
	return (struct dff_resources){
		.slots = MIN (a->slots, b->slots),
		.cores = MIN (a->cores, b->cores),
		.memory_gb = MIN (a->memory_gb, b->memory_gb),
		.accelerators = MIN (a->accelerators, b->accelerators),
	};
}

int32_t
dff_resources_fits (const struct dff_resources *available,
		    const struct dff_resources *need,
		    int32_t limit)
{
	int32_t count = limit;
	if (need->slots > 0)
		count = MIN (count, available->slots / need->slots);
	if (need->cores > 0)
		count = MIN (count, available->cores / need->cores);
	if (need->memory_gb > 0)
		count = MIN (count, available->memory_gb / need->memory_gb);
	if (need->accelerators > 0)
		count = MIN (count, available->accelerators / need->accelerators);
	return MAX (count, 0);
}

bool
dff_resources_covered (const struct dff_resources *available)
{
	return available->slots >= 0 && available->cores >= 0 && available->memory_gb >= 0 &&
	       available->accelerators >= 0;
}

bool
dff_resources_equal (const struct dff_resources *a, const struct dff_resources *b)
{
	return a->slots == b->slots && a->cores == b->cores && a->memory_gb == b->memory_gb &&
	       a->accelerators == b->accelerators;
}
